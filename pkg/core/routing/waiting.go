package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A call that finds no suitable target waits for one: it probes again after an interval, and takes
// a slot as soon as an answer shows that one is free. Waiting calls are ordered by urgency, and by
// age where that is equal.

// waitingCall is an entry of a service's waiting list.
type waitingCall struct {
	id      CallID
	urgency urgency
}

const (
	// maxProbingCalls bounds the waiting calls of a service that probe at the same time.
	maxProbingCalls = 8
	// busyDuration is how long a service is considered busy after the last probe answer.
	busyDuration = 500 * time.Millisecond
	// busyThreshold is the fraction of probe answers without room from which on a service is
	// considered busy: nearly half of the calls, which probe two targets each, find none with room
	// then. busyGain is the weight of the newest answer in that moving average.
	busyThreshold = 0.65
	busyGain      = 0.1
)

const (
	// probeRetryInterval is the time between two rounds of probes of a call that found no target.
	probeRetryInterval = 15 * time.Millisecond
	// normalWaitFraction is the fraction of its latency objective after which a waiting call is
	// sent or refused; one that is sent then usually still meets the objective. busyWaitFraction
	// replaces it while the service is busy: a target that becomes free later is better used for a
	// call that has just arrived.
	normalWaitFraction = 0.45
	busyWaitFraction   = 0.25
	// defaultObjectiveFraction is the fraction of a call's deadline that is used as the latency
	// objective on a route without one, so that such a call also leaves most of its time for the
	// answer.
	defaultObjectiveFraction = 0.25
	// minBusyRetryAfter and maxBusyRetryAfter bound the retry delay that is reported when all
	// targets are busy. Few callers wait longer than the maximum with most of their time left.
	minBusyRetryAfter = 60 * time.Millisecond
	maxBusyRetryAfter = 800 * time.Millisecond
	// retryAfterJitter is how far a retry delay may deviate from its mean, as a fraction of it, so
	// that callers that were refused together don't retry together.
	retryAfterJitter = 0.25
)

// waitFraction is the fraction of its latency objective after which a waiting call is sent or
// refused.
func (s *service) waitFraction(now units.Instant) float64 {
	if s.isBusy(now) {
		return busyWaitFraction
	}
	return normalWaitFraction
}

// busyRetryAfter is the retry delay for a call that found all targets busy. A busy period is
// expected to last for as long as it has lasted already. A caller that retries before its end adds
// to the load, and is answered late all the same.
func (r *Router) busyRetryAfter(s *service) time.Duration {
	lasted := r.now.Sub(s.busySince)
	if !s.isBusy(r.now) {
		lasted = 0
	}
	after := max(minBusyRetryAfter, min(lasted, maxBusyRetryAfter))
	jitter := 1 + retryAfterJitter*(2*r.random.Float64()-1)
	return time.Duration(jitter * float64(after)).Round(time.Millisecond)
}

// latencyObjective returns that of the call's route, or a fraction of the call's deadline where the
// route has none, in nanoseconds.
func (c *call) latencyObjective() float64 {
	if c.route.latencyObjective > 0 {
		return float64(c.route.latencyObjective)
	}
	return defaultObjectiveFraction * float64(c.deadline.Sub(c.arrived))
}

// objectiveFractionUsed is the fraction of its latency objective that the call has used up so far.
func (c *call) objectiveFractionUsed(now units.Instant) float64 {
	return float64(now.Sub(c.arrived)) / c.latencyObjective()
}

// isBusy reports whether recent probes found most targets full or slow, so that two of them seldom
// include one with room. Targets without a recent load report are likely to be full as well then. A
// service that is overloaded (isOverloaded) needn't be busy: a smaller fraction is enough there, and it
// remains valid for longer. Only what targets answer counts: that a box may not probe, or that its
// calls wait, says nothing about the service.
func (s *service) isBusy(now units.Instant) bool {
	return s.busyFraction > busyThreshold && now.Sub(s.busyUpdatedAt) < busyDuration
}

// recordRoom updates the fraction of probe answers that show no room at their target.
func (s *service) recordRoom(now units.Instant, hasRoom bool) {
	x := 1.0
	if hasRoom {
		x = 0
	}
	wasBusy := s.isBusy(now)
	s.busyFraction += busyGain * (x - s.busyFraction)
	s.busyUpdatedAt = now
	if !wasBusy {
		s.busySince = now
	}
}

// enqueueWaiting inserts a call behind all waiting calls of the same or higher urgency.
func (s *service) enqueueWaiting(w waitingCall) {
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].urgency.compare(w.urgency) > 0 {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
}

// waitForTarget schedules the next round of probes of a call. A target that becomes free earlier
// goes to the first waiting call.
func (r *Router) waitForTarget(id CallID, c *call) {
	c.onNewVersion = false
	c.probeRound.pending = 0
	c.probeRound.number++
	overdue := r.isOverdue(c)
	if !c.probeRound.queued {
		c.probeRound.queued = true
		w := waitingCall{id: id, urgency: c.urgency()}
		w.urgency.overdue = overdue
		c.service.enqueueWaiting(w)
	}
	pause := probeRetryInterval
	if overdue {
		pause = overdueCheckInterval
	}
	r.timers.Push(timer{at: r.now.Add(pause), call: id, kind: probeTimer, probeRound: c.probeRound.number})
}

// dropFinishedWaiting removes calls that no longer wait from the front of the waiting list.
func (r *Router) dropFinishedWaiting(s *service) {
	for len(s.waiting) > 0 {
		if c := r.calls.Get(s.waiting[0].id); c != nil && c.probeRound.active && c.service == s {
			return
		}
		s.waiting = s.waiting[1:]
	}
}

// mayProbeAgain reports whether a waiting call may probe now. Probe answers are shared, so only the
// first few calls probe.
func (r *Router) mayProbeAgain(id CallID, c *call) bool {
	waiting := c.service.waiting
	first := waiting[:min(len(waiting), maxProbingCalls)]
	if slices.ContainsFunc(first, func(w waitingCall) bool { return w.id == id }) {
		return true
	}
	c.limitSearch(OthersProbe)
	return false
}

// serveWaiting sends waiting calls, in order, while there is a suitable target. It is called when
// an answer has shown that a target has a free slot.
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

// nextSuitableWaiting returns the index of the first waiting call that has a suitable target, and
// that target; nil for none. A call that is restricted to regions doesn't block calls with other
// restrictions.
func (r *Router) nextSuitableWaiting(s *service) (int, *target) {
	var blocked *table.AllowedRegions
	for i, w := range s.waiting {
		c := r.calls.Get(w.id)
		if c == nil || !c.probeRound.active || c.service != s || blocked != nil && blocked.Equal(c.regions) {
			continue
		}
		if t := r.choose(s, c); t != nil && (t.hasFreshReport(r.now) || t.notice.isLimited()) && r.isSuitable(c, t) {
			return i, t
		}
		if s.traffic.isMostlyOwn(r.now) {
			if t := r.bestSuitable(c); t != nil && t.hasFreshReport(r.now) {
				return i, t
			}
		}
		if c.regions == nil {
			return 0, nil
		}
		blocked = c.regions
	}
	return 0, nil
}
