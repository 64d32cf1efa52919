package lab

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A target that names a limit takes so many calls a second from all boxes together. The promise is
// checked in each window of limitWindow that begins limitGrace or longer after it first named one: no more
// than limitPart times what the limit allows, and limitSlack, from the boxes that were told in time.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	limitPart   = 1.5
	limitSlack  = 5
	// toldGrace is how long after a box was told its calls may still be under way.
	toldGrace = 500 * time.Millisecond
)

// LimitBreach is a window in which a target got more than its limit allows.
type LimitBreach struct {
	// Since is when the target began to name a limit, At the end of the window.
	Since time.Time `json:"since"`
	At    time.Time `json:"at"`
	Rate  float64   `json:"rate"`
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

// limitWatch is what a target has named, to whom, and what came all the same.
type limitWatch struct {
	lock sync.Mutex
	// since is when the target began to name a limit; zero while it names none.
	since time.Time
	// rates are the limits that were named, each from a time on.
	rates []namedRate
	// told is when each box was first told of the present limit.
	told     map[string]time.Time
	arrivals []limitedArrival
	probes   int64
	worst    *LimitBreach
	breaches int64
	calls    int64
}

type namedRate struct {
	from time.Time
	rate float64
}

type limitedArrival struct {
	at  time.Time
	box string
}

// name notes that the target names a limit from now on, or none.
func (w *limitWatch) name(now time.Time, limited bool, rate float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !limited {
		w.since, w.rates, w.told, w.arrivals = time.Time{}, nil, nil, nil
		return
	}
	if w.since.IsZero() {
		w.since = now
		w.told = map[string]time.Time{}
	}
	if n := len(w.rates); n == 0 || w.rates[n-1].rate != rate {
		w.rates = append(w.rates, namedRate{from: now, rate: rate})
	}
}

// tell notes that a box gets an answer that names the limit.
func (w *limitWatch) tell(box string, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if _, told := w.told[box]; !w.since.IsZero() && !told {
		w.told[box] = now
	}
}

func (w *limitWatch) noteProbe() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.since.IsZero() {
		w.probes++
	}
}

// noteCall notes a call that has come by a box, and returns the breach that it makes, if any.
func (w *limitWatch) noteCall(box string, now time.Time) *LimitBreach {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.since.IsZero() {
		return nil
	}
	w.calls++
	if told, ok := w.told[box]; !ok || now.Sub(told) < toldGrace {
		return nil
	}
	w.arrivals = append(w.arrivals, limitedArrival{at: now, box: box})
	begin := now.Add(-limitWindow)
	w.arrivals = slices.DeleteFunc(w.arrivals, func(a limitedArrival) bool { return a.at.Before(begin) })
	if now.Sub(w.since) < limitGrace {
		return nil
	}
	allowed := limitPart*w.allowed(begin, now) + limitSlack
	if float64(len(w.arrivals)) <= allowed {
		return nil
	}
	w.breaches++
	b := &LimitBreach{Since: w.since, At: now, Rate: w.rates[len(w.rates)-1].rate, Calls: map[string]int{}, Allowed: allowed}
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
func (w *limitWatch) allowed(begin, end time.Time) float64 {
	const step = 100 * time.Millisecond
	sum := 0.0
	for at := begin; at.Before(end); at = at.Add(step) {
		sum += w.rateAt(at) * step.Seconds()
	}
	return sum
}

// rateAt is the highest limit that was named within limitGrace before a time. Before the first one
// what was named first counts.
func (w *limitWatch) rateAt(at time.Time) float64 {
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
func (w *limitWatch) addTo(s *TargetStats) {
	w.lock.Lock()
	defer w.lock.Unlock()
	s.Limited, s.LimitedProbes, s.LimitBreaches = w.calls, w.probes, w.breaches
	if w.worst != nil {
		b := *w.worst
		b.Calls = maps.Clone(b.Calls)
		s.WorstBreach = &b
	}
}
