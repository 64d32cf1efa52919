package lab

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A target that reports a limit accepts that many calls a second from all boxes together. The check
// covers each window of limitWindow that ends limitGrace or longer after the target first reported a
// limit: at most limitToleranceFactor times the calls that the limit allows, plus limitSlackCalls. Only
// calls of boxes that were informed at least informedGrace before are counted.
const (
	limitWindow          = 4 * time.Second
	limitGrace           = 3 * time.Second
	limitToleranceFactor = 1.5
	limitSlackCalls      = 5
	// informedGrace is how long calls may still be in flight after their box was informed of the limit.
	informedGrace = 500 * time.Millisecond
)

// LimitBreach is a window in which a target received more calls than its limit allows.
type LimitBreach struct {
	// LimitedSince is when the target began to report a limit, At the end of the window, Rate the limit in
	// calls a second.
	LimitedSince time.Time `json:"since"`
	At           time.Time `json:"at"`
	Rate         float64   `json:"rate"`
	// Calls are the window's calls by entry address; Allowed is the most that the check tolerates.
	Calls   map[string]int `json:"calls"`
	Allowed float64        `json:"allowed"`
}

// Count returns the number of calls in the window.
func (b *LimitBreach) Count() int {
	n := 0
	for _, k := range b.Calls {
		n += k
	}
	return n
}

// limitMonitor records the limits that a target reported, which boxes were informed, and the calls and
// probes that arrived meanwhile.
type limitMonitor struct {
	lock sync.Mutex
	// limitedSince is when the target began to report a limit; zero while it reports none.
	limitedSince time.Time
	// rates are the limits reported since then, in order of time.
	rates []reportedRate
	// informedAt is when each box was first informed since limitedSince, by entry address.
	informedAt map[string]time.Time
	arrivals   []limitedArrival
	probes     int64
	worst      *LimitBreach
	breaches   int64
	calls      int64
}

type reportedRate struct {
	from time.Time
	rate float64
}

type limitedArrival struct {
	at  time.Time
	box string
}

// setLimit sets the limit that the target reports from now on, in calls a second; without limited it
// reports none and the records are cleared.
func (w *limitMonitor) setLimit(now time.Time, limited bool, rate float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !limited {
		w.limitedSince, w.rates, w.informedAt, w.arrivals = time.Time{}, nil, nil, nil
		return
	}
	if w.limitedSince.IsZero() {
		w.limitedSince = now
		w.informedAt = map[string]time.Time{}
	}
	if n := len(w.rates); n == 0 || w.rates[n-1].rate != rate {
		w.rates = append(w.rates, reportedRate{from: now, rate: rate})
	}
}

// recordInformed records that a box received an answer that reports the limit.
func (w *limitMonitor) recordInformed(box string, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if _, informed := w.informedAt[box]; !w.limitedSince.IsZero() && !informed {
		w.informedAt[box] = now
	}
}

func (w *limitMonitor) recordProbe() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.limitedSince.IsZero() {
		w.probes++
	}
}

// recordCall records a call that arrived through a box, and returns the breach that it causes, or nil.
func (w *limitMonitor) recordCall(box string, now time.Time) *LimitBreach {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.limitedSince.IsZero() {
		return nil
	}
	w.calls++
	if informed, ok := w.informedAt[box]; !ok || now.Sub(informed) < informedGrace {
		return nil
	}
	w.arrivals = append(w.arrivals, limitedArrival{at: now, box: box})
	begin := now.Add(-limitWindow)
	w.arrivals = slices.DeleteFunc(w.arrivals, func(a limitedArrival) bool { return a.at.Before(begin) })
	if now.Sub(w.limitedSince) < limitGrace {
		return nil
	}
	allowed := limitToleranceFactor*w.allowed(begin, now) + limitSlackCalls
	if float64(len(w.arrivals)) <= allowed {
		return nil
	}
	w.breaches++
	b := &LimitBreach{LimitedSince: w.limitedSince, At: now, Rate: w.rates[len(w.rates)-1].rate, Calls: map[string]int{}, Allowed: allowed}
	for _, a := range w.arrivals {
		b.Calls[a.box]++
	}
	if w.worst == nil || float64(b.Count())-b.Allowed > float64(w.worst.Count())-w.worst.Allowed {
		w.worst = b
	}
	return b
}

// allowed integrates the limit over a window, in calls. A lower limit applies limitGrace after it was
// reported, since boxes need time to receive it; a higher one applies at once.
func (w *limitMonitor) allowed(begin, end time.Time) float64 {
	const step = 100 * time.Millisecond
	sum := 0.0
	for at := begin; at.Before(end); at = at.Add(step) {
		sum += w.rateAt(at) * step.Seconds()
	}
	return sum
}

// rateAt returns the highest limit in force at a time or up to limitGrace before, in calls a second.
// Before the first report, the first limit applies.
func (w *limitMonitor) rateAt(at time.Time) float64 {
	rate := 0.0
	for i, r := range w.rates {
		expired := i+1 < len(w.rates) && w.rates[i+1].from.Add(limitGrace).Before(at)
		if (i == 0 || !r.from.After(at)) && !expired {
			rate = max(rate, r.rate)
		}
	}
	return rate
}

// addTo writes the counts to a target's statistics.
func (w *limitMonitor) addTo(s *TargetStats) {
	w.lock.Lock()
	defer w.lock.Unlock()
	s.CallsWhileLimited, s.ProbesWhileLimited, s.LimitBreaches = w.calls, w.probes, w.breaches
	if w.worst != nil {
		b := *w.worst
		b.Calls = maps.Clone(b.Calls)
		s.WorstBreach = &b
	}
}
