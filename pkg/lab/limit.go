package lab

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A target that names a limit takes so many calls a second from all boxes together. The promise is
// checked in each window of limitWindow that begins limitGrace or longer after it first named one: no more
// than limitToleranceFactor times what the limit allows, and limitSlackCalls, from the boxes that were told in time.
const (
	limitWindow          = 4 * time.Second
	limitGrace           = 3 * time.Second
	limitToleranceFactor = 1.5
	limitSlackCalls      = 5
	// informedGrace is how long after a box was told its calls may still be under way.
	informedGrace = 500 * time.Millisecond
)

// LimitBreach is a window in which a target got more than its limit allows.
type LimitBreach struct {
	// LimitedSince is when the target began to name a limit, At the end of the window.
	LimitedSince time.Time `json:"since"`
	At           time.Time `json:"at"`
	Rate         float64   `json:"rate"`
	// Calls are the window's calls, by the entry that they came by; Allowed is how many may have come.
	Calls   map[string]int `json:"calls"`
	Allowed float64        `json:"allowed"`
}

// Count is how many calls came in the window.
func (b *LimitBreach) Count() int {
	n := 0
	for _, k := range b.Calls {
		n += k
	}
	return n
}

// limitMonitor is what a target has named, to whom, and what came all the same.
type limitMonitor struct {
	lock sync.Mutex
	// limitedSince is when the target began to name a limit; zero while it names none.
	limitedSince time.Time
	// rates are the limits that were named, each from a time on.
	rates []reportedRate
	// informedAt is when each box was first informedAt of the present limit.
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

// setLimit notes that the target names a limit from now on, or none.
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

// recordInformed notes that a box gets an answer that names the limit.
func (w *limitMonitor) recordInformed(box string, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if _, told := w.informedAt[box]; !w.limitedSince.IsZero() && !told {
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

// recordCall notes a call that has come by a box, and returns the breach that it makes, if any.
func (w *limitMonitor) recordCall(box string, now time.Time) *LimitBreach {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.limitedSince.IsZero() {
		return nil
	}
	w.calls++
	if told, ok := w.informedAt[box]; !ok || now.Sub(told) < informedGrace {
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

// allowed is how many calls the limits of a window come to. A limit that falls counts from when boxes
// have had limitGrace to hear of it, one that rises at once.
func (w *limitMonitor) allowed(begin, end time.Time) float64 {
	const step = 100 * time.Millisecond
	sum := 0.0
	for at := begin; at.Before(end); at = at.Add(step) {
		sum += w.rateAt(at) * step.Seconds()
	}
	return sum
}

// rateAt is the highest limit that was named within limitGrace before a time. Before the first one
// what was named first counts.
func (w *limitMonitor) rateAt(at time.Time) float64 {
	rate := 0.0
	for i, r := range w.rates {
		over := i+1 < len(w.rates) && w.rates[i+1].from.Add(limitGrace).Before(at)
		if (i == 0 || !r.from.After(at)) && !over {
			rate = max(rate, r.rate)
		}
	}
	return rate
}

// addTo adds the counts to what a target knows of its load.
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
