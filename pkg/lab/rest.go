package lab

import (
	"sync"
	"time"
)

// restGrace is how long after a target has asked for rest calls may still come that were under
// way then.
const restGrace = 500 * time.Millisecond

// restCount counts what reaches a target while it rests. It is exact for a target with one box.
type restCount struct {
	lock          sync.Mutex
	asked         time.Time
	until         time.Time
	rests         int64
	calls, probes int64
}

// ask begins a rest, or makes the present one longer.
func (r *restCount) ask(now time.Time, rest time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if now.After(r.until) {
		r.asked = now
		r.rests++
	}
	if end := now.Add(rest); end.After(r.until) {
		r.until = end
	}
}

func (r *restCount) inRest(now time.Time) bool {
	return now.After(r.asked.Add(restGrace)) && now.Before(r.until)
}

func (r *restCount) noteCall(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.inRest(now) {
		r.calls++
	}
}

func (r *restCount) noteProbe(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.inRest(now) {
		r.probes++
	}
}

// addTo adds the counts to what a target knows of its load.
func (r *restCount) addTo(s *TargetStats) {
	r.lock.Lock()
	defer r.lock.Unlock()
	s.Rests, s.Unrested, s.UnrestedProbes = r.rests, r.calls, r.probes
}
