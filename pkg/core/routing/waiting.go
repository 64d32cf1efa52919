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
	// maxProbingCalls is how many of a service's waiting calls probe at a time.
	maxProbingCalls = 8
	// busyDuration is how long a service counts as busy after a call found no target.
	busyDuration = 500 * time.Millisecond
	// busyThreshold is the part of calls without a target from which on a service counts as
	// busy; busyGain is the weight of the newest call.
	busyThreshold = 0.5
	busyGain      = 0.2
)

const (
	// probeRetryInterval is the time between two rounds of probes of a call that found no target.
	probeRetryInterval = 15 * time.Millisecond
	// calmWaitFraction is the part of its aim at which a call that waits is sent or refused; one that
	// is sent then usually still ends within its aim. crowdedPart is that part while the
	// service is busy: a target that comes free later serves a call better that has just come.
	calmWaitFraction = 0.45
	busyWaitFraction = 0.25
	// defaultAimFraction is the part of a call's deadline that stands in for the aim of a route that
	// has none, so that such a call also leaves most of its time for the answer.
	defaultAimFraction = 0.25
	// minBusyRetryAfter and mostBusyRetry bound when the caller of a call that found all targets
	// busy may come back. Few callers wait longer than the latter with most of their time left.
	minBusyRetryAfter = 60 * time.Millisecond
	maxBusyRetryAfter = 800 * time.Millisecond
	// retryAfterJitter is how far the time to come back may lie from its mean, as a part of it, so
	// that callers who were refused together don't come back together.
	retryAfterJitter = 0.25
)

// waitFraction is the part of its aim at which a call that waits is sent or refused.
func (s *service) waitFraction(now units.Instant) float64 {
	if s.isBusy(now) {
		return busyWaitFraction
	}
	return calmWaitFraction
}

// busyRetryAfter is when the caller of a call that found all targets busy may come back. A
// busy time that has lasted is expected to last as long again. A caller who comes back before
// its end adds to the load, and is answered late all the same.
func (r *Router) busyRetryAfter(s *service) time.Duration {
	lasted := r.now.Sub(s.busySince)
	if !s.isBusy(r.now) {
		lasted = 0
	}
	after := max(minBusyRetryAfter, min(lasted, maxBusyRetryAfter))
	jitter := 1 + retryAfterJitter*(2*r.random.Float64()-1)
	return time.Duration(jitter * float64(after)).Round(time.Millisecond)
}

// aim is the aim of the call's route, or the part of its deadline that stands in for one.
func (c *call) aim() float64 {
	if c.route.aim > 0 {
		return float64(c.route.aim)
	}
	return defaultAimFraction * float64(c.deadline.Sub(c.arrived))
}

// aimFractionUsed is how much of its aim the call has spent so far.
func (c *call) aimFractionUsed(now units.Instant) float64 {
	return float64(now.Sub(c.arrived)) / c.aim()
}

// isBusy tells whether calls have lately found no target that suits. Then one that
// nothing recent is known of is likely to be full as well.
func (s *service) isBusy(now units.Instant) bool {
	return s.busyPart > busyThreshold && now.Sub(s.busyAt) < busyDuration
}

// recordTargetFound keeps account of how many of the calls that probe find no target at once.
func (s *service) recordTargetFound(now units.Instant, found bool) {
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

// enqueueWaiting puts a call behind those that are as urgent or more.
func (s *service) enqueueWaiting(w waitingCall) {
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].urgency.compare(w.urgency) > 0 {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
}

// waitForTarget has a call probe, or probe again, a moment later; a target that comes free
// before goes to the first of those that wait.
func (r *Router) waitForTarget(id CallID, c *call) {
	c.onNewVersion = false
	c.probeRound.pending = 0
	c.probeRound.number++
	missed := r.isOverdue(c)
	if !c.probeRound.queued {
		c.probeRound.queued = true
		w := waitingCall{id: id, urgency: c.urgency()}
		w.urgency.missed = missed
		if !missed {
			c.service.recordTargetFound(r.now, false)
		}
		c.service.enqueueWaiting(w)
	}
	pause := probeRetryInterval
	if missed {
		pause = overdueCheckInterval
	}
	r.timers.Push(timer{at: r.now.Add(pause), call: id, kind: probeTimer, probeRound: c.probeRound.number})
}

// dropFinishedWaiting drops the calls at the front of the waiting ones that wait no more.
func (r *Router) dropFinishedWaiting(s *service) {
	for len(s.waiting) > 0 {
		if c := r.calls.Get(s.waiting[0].id); c != nil && c.probeRound.active && c.service == s {
			return
		}
		s.waiting = s.waiting[1:]
	}
}

// mayProbe tells whether it is a waiting call's turn to probe: the answers serve all, so
// only the first ones do.
func (s *service) mayProbe(id CallID) bool {
	first := s.waiting[:min(len(s.waiting), maxProbingCalls)]
	return slices.ContainsFunc(first, func(w waitingCall) bool { return w.id == id })
}

// serveWaiting sends calls that wait for a suitable target, in their order, while there is
// one. It is done when an answer has shown that a target has room.
func (r *Router) serveWaiting(s *service, e *Effects) {
	for {
		r.dropFinishedWaiting(s)
		i, t := r.nextSuitableWaiting(s)
		if t == nil {
			return
		}
		id := s.waiting[i].id
		s.waiting = slices.Delete(s.waiting, i, i+1)
		c := r.calls.Get(id)
		c.probeRound.active = false
		r.send(id, c, t, c.probeRound.purpose, e)
	}
}

// nextSuitableWaiting returns the place of the first waiting call that a target suits, and that
// target; nil for none. Calls that may go to some regions only don't keep others waiting.
func (r *Router) nextSuitableWaiting(s *service) (int, *target) {
	var blocked *table.AllowedRegions
	for i, w := range s.waiting {
		c := r.calls.Get(w.id)
		if c == nil || !c.probeRound.active || c.service != s || blocked != nil && blocked.Equal(c.regions) {
			continue
		}
		if t := r.choose(s, c); t != nil && (t.hasFreshReading(r.now) || t.notice.isLimited()) && r.isSuitable(c, t) {
			return i, t
		}
		if c.regions == nil {
			return 0, nil
		}
		blocked = c.regions
	}
	return 0, nil
}
