package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Calls that found no suitable target wait for one: they probe again after a pause, the
// most urgent first and the oldest of those, and take the slot that an answer shows free.

// waitingCall is a call that waits.
type waitingCall struct {
	id      CallID
	urgency urgency
}

const (
	// maxProbing is how many of a service's waiting calls probe at a time.
	maxProbing = 8
	// busyMemory is how long a service counts as busy after a call found no target.
	busyMemory = 500 * time.Millisecond
	// busyFrom is the part of calls without a target from which on a service counts as
	// busy; busyGain is the weight of the newest call.
	busyFrom = 0.5
	busyGain = 0.2
)

const (
	// probePause is the time between two rounds of probes of a call that found no target.
	probePause = 15 * time.Millisecond
	// calmPart is the part of its aim at which a call that waits is sent or refused; one that
	// is sent then usually still ends within its aim. crowdedPart is that part while the
	// service is busy: a target that comes free later serves a call better that has just come.
	calmPart    = 0.45
	crowdedPart = 0.25
	// aimOfDeadline is the part of a call's deadline that stands in for the aim of a route that
	// has none, so that such a call also leaves most of its time for the answer.
	aimOfDeadline = 0.25
	// leastBusyRetry and mostBusyRetry bound when the caller of a call that found all targets
	// busy may come back. Few callers wait longer than the latter with most of their time left.
	leastBusyRetry = 60 * time.Millisecond
	mostBusyRetry  = 800 * time.Millisecond
	// retryJitter is how far the time to come back may lie from its mean, as a part of it, so
	// that callers who were refused together don't come back together.
	retryJitter = 0.25
)

// waitLimit is the part of its aim at which a call that waits is sent or refused.
func (s *service) waitLimit(now units.Instant) float64 {
	if s.isBusy(now) {
		return crowdedPart
	}
	return calmPart
}

// busyRetryAfter is when the caller of a call that found all targets busy may come back. A
// busy time that has lasted is expected to last as long again. A caller who comes back before
// its end adds to the load, and is answered late all the same.
func (r *Router) busyRetryAfter(s *service) time.Duration {
	lasted := r.now.Sub(s.busySince)
	if !s.isBusy(r.now) {
		lasted = 0
	}
	after := max(leastBusyRetry, min(lasted, mostBusyRetry))
	jitter := 1 + retryJitter*(2*r.random.Float64()-1)
	return time.Duration(jitter * float64(after)).Round(time.Millisecond)
}

// aim is the aim of the call's route, or the part of its deadline that stands in for one.
func (c *call) aim() float64 {
	if c.route.aim > 0 {
		return float64(c.route.aim)
	}
	return aimOfDeadline * float64(c.deadline.Sub(c.arrived))
}

// aimSpent is how much of its aim the call has spent so far.
func (c *call) aimSpent(now units.Instant) float64 { return float64(now.Sub(c.arrived)) / c.aim() }

// isBusy tells whether calls have lately found no target that suits. Then one that
// nothing recent is known of is likely to be full as well.
func (s *service) isBusy(now units.Instant) bool {
	return s.busyPart > busyFrom && now.Sub(s.busyAt) < busyMemory
}

// noteFound keeps account of how many of the calls that probe find no target at once.
func (s *service) noteFound(now units.Instant, found bool) {
	miss := 1.0
	if found {
		miss = 0
	}
	wasBusy := s.isBusy(now)
	s.busyPart += busyGain * (miss - s.busyPart)
	s.busyAt = now
	if !wasBusy {
		s.busySince = now
	}
}

// addWaiting puts a call behind those that are as urgent or more.
func (s *service) addWaiting(w waitingCall) {
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].urgency.compare(w.urgency) > 0 {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
}

// waitForTarget has a call probe, or probe again, a moment later; a target that comes free
// before goes to the first of those that wait.
func (r *Router) waitForTarget(id CallID, c *call) {
	c.onTrial = false
	c.probeRound.pending = 0
	c.probeRound.number++
	missed := r.isOverdue(c)
	if !c.probeRound.waiting {
		c.probeRound.waiting = true
		w := waitingCall{id: id, urgency: c.urgency()}
		w.urgency.missed = missed
		if !missed {
			c.service.noteFound(r.now, false)
		}
		c.service.addWaiting(w)
	}
	pause := probePause
	if missed {
		pause = overdueCheckInterval
	}
	r.timers.Push(timer{at: r.now.Add(pause), call: id, kind: probeTimer, probeRound: c.probeRound.number})
}

// dropServed drops the calls at the front of the waiting ones that wait no more.
func (r *Router) dropServed(s *service) {
	for len(s.waiting) > 0 {
		if c := r.calls.Get(s.waiting[0].id); c != nil && c.probeRound.open && c.service == s {
			return
		}
		s.waiting = s.waiting[1:]
	}
}

// mayProbe tells whether it is a waiting call's turn to probe: the answers serve all, so
// only the first ones do.
func (s *service) mayProbe(id CallID) bool {
	first := s.waiting[:min(len(s.waiting), maxProbing)]
	return slices.ContainsFunc(first, func(w waitingCall) bool { return w.id == id })
}

// serveWaiting sends calls that wait for a suitable target, in their order, while there is
// one. It is done when an answer has shown that a target has room.
func (r *Router) serveWaiting(s *service, e *Effects) {
	for {
		r.dropServed(s)
		i, t := r.nextSuitable(s)
		if t == nil {
			return
		}
		id := s.waiting[i].id
		s.waiting = slices.Delete(s.waiting, i, i+1)
		c := r.calls.Get(id)
		c.probeRound.open = false
		r.send(id, c, t, c.probeRound.purpose, e)
	}
}

// nextSuitable returns the place of the first waiting call that a target suits, and that
// target; nil for none. Calls that may go to some regions only don't keep others waiting.
func (r *Router) nextSuitable(s *service) (int, *target) {
	var blocked *table.AllowedRegions
	for i, w := range s.waiting {
		c := r.calls.Get(w.id)
		if c == nil || !c.probeRound.open || c.service != s || blocked != nil && blocked.Equal(c.regions) {
			continue
		}
		if t := r.choose(s, c); t != nil && (t.isFresh(r.now) || t.notice.isLimited()) && r.isSuitable(c, t) {
			return i, t
		}
		if c.regions == nil {
			return 0, nil
		}
		blocked = c.regions
	}
	return 0, nil
}
