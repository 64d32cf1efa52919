package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// A box can't slow down what targets send it: a large answer occupies the link while it comes
// in, and every answer behind it is late. The box knows how much is coming in, though. So it has
// few large answers on their way at a time, and doesn't count as a target's fault what is late
// because of one.

const (
	// inboundPart is the part of its aim that a call with a large answer leaves to the answers
	// that are already on their way. With more of them, each would take much of the others' aims,
	// and all small answers would wait behind them.
	inboundPart = 0.25
	// inboundWait is the part of its aim, or of its deadline if that is closer, that such a call
	// waits at the most: enough for an average answer to come in, and most of the aim is left
	// for its own.
	inboundWait = 0.125
	// leastInboundWait is the least time between two looks of a waiting call at the link, so that
	// many of them don't take the box's processor time.
	leastInboundWait = 2 * time.Millisecond
	// sizeGain is the weight of the newest answer in a route's expected size: sizes of one route
	// may vary by several times, so that a call's wait must not depend on the newest alone.
	sizeGain = 0.1
	// hiddenPart is the part of its time for which the link must have been occupied for a call
	// without an answer to say nothing of its target.
	hiddenPart = 0.5
	// mostOccupied is for how long one answer counts as occupying the link: longer ones share
	// it with others by then, and what a target says of an answer's length may be wrong. No
	// call may be kept from probing, and no target from being ejected, for longer by one.
	mostOccupied = time.Second
)

// inbound is what a box knows of the large answers on their way to it.
type inbound struct {
	// rate is in bytes a second; zero means that the link isn't limited.
	rate float64
	// busyUntil is when what has begun to come in will be there.
	busyUntil units.Instant
	// busyTotal is for how long the link has been occupied by large answers since the start,
	// and will be until busyUntil.
	busyTotal time.Duration
	// passing is for how long the answers that are coming in occupy the link, together.
	passing time.Duration
}

// begins notes that so many bytes of an answer are coming in now, and returns for how long
// they occupy the link.
func (x *inbound) begins(now units.Instant, bytes float64) time.Duration {
	takes := x.timeOf(bytes)
	x.passing += takes
	x.busyUntil = max(x.busyUntil, now).Add(takes)
	x.busyTotal += takes
	return takes
}

// ends notes that an answer which occupies the link for takes has come in, or was given up. The
// link isn't occupied for longer than the answers that are left take.
func (x *inbound) ends(now units.Instant, takes time.Duration) {
	x.passing -= takes
	if excess := x.left(now) - x.passing; excess > 0 {
		x.busyTotal -= excess
		x.busyUntil = x.busyUntil.Add(-excess)
	}
}

// timeOf is for how long so many bytes occupy the link.
func (x *inbound) timeOf(bytes float64) time.Duration {
	if x.rate <= 0 {
		return 0
	}
	return time.Duration(bytes / x.rate * float64(time.Second))
}

// left is for how long the link will still be occupied.
func (x *inbound) left(now units.Instant) time.Duration { return max(0, x.busyUntil.Sub(now)) }

// busyBy is for how long the link was occupied until now, since the start.
func (x *inbound) busyBy(now units.Instant) time.Duration { return x.busyTotal - x.left(now) }

// learnSize takes how many bytes of an answer came behind those that are held for a retry.
func (x *route) learnSize(bytes float64) {
	if x.hasAnswerSize {
		x.meanAnswerBytes += sizeGain * (bytes - x.meanAnswerBytes)
		return
	}
	x.meanAnswerBytes, x.hasAnswerSize = bytes, true
}

// answerBegins notes an answer that begins to pass through. One that doesn't say how long it
// is counts as its route's usual.
func (r *Router) answerBegins(c *call, a *attempt, coming int) {
	a.answered = r.timeAtTarget(c, a)
	a.begun = true
	r.expectNoMore(a)
	if coming < 0 {
		a.takes = r.inbound.begins(r.now, c.route.meanAnswerBytes)
		return
	}
	bytes := min(float64(coming), r.inbound.rate*mostOccupied.Seconds())
	c.route.learnSize(bytes)
	a.takes = r.inbound.begins(r.now, bytes)
}

// expect counts what an attempt that is being sent may bring.
func (r *Router) expect(x *route, a *attempt) {
	a.busyAt = r.inbound.busyBy(r.now)
	if x.largeAnswers {
		a.expected = x.meanAnswerBytes
		r.expectedBytes += a.expected
	}
}

// attemptOver ends what was counted of an attempt.
func (r *Router) attemptOver(a *attempt) {
	r.expectNoMore(a)
	r.inbound.ends(r.now, a.takes)
	a.takes = 0
}

// expectNoMore no longer counts the bytes that an attempt may bring: the answer has begun, or
// won't come.
func (r *Router) expectNoMore(a *attempt) {
	r.expectedBytes -= a.expected
	a.expected = 0
}

// noteShort notes that a route with large answers brought one that was whole at once.
func (x *route) noteShort(a *attempt) {
	if x.largeAnswers && !a.begun {
		x.learnSize(0)
	}
}

// hidden is for how long, since an attempt was sent, its answer may have waited behind
// large ones.
func (r *Router) hidden(a *attempt) time.Duration {
	if !r.on(SharedLink) {
		return 0
	}
	return r.inbound.busyBy(r.now) - a.busyAt
}

// timeAtTarget is how long an attempt's answer took, as far as its target is concerned. What
// it took beyond the route's typical time isn't the target's while other answers occupied
// the link, and what passing an answer through takes isn't at all.
func (r *Router) timeAtTarget(c *call, a *attempt) time.Duration {
	if a.begun {
		return a.answered
	}
	took := r.now.Sub(a.sent)
	hidden := r.hidden(a)
	if hidden <= 0 {
		return took
	}
	return max(min(took, time.Duration(c.route.typicalLatency)), took-hidden)
}

// saysNothing tells whether an attempt that wasn't answered in time says nothing of its
// target: the answer is passing through, or may be waiting behind others.
func (r *Router) saysNothing(a *attempt) bool {
	return a.begun || float64(r.hidden(a)) > hiddenPart*float64(r.now.Sub(a.sent))
}

// goesUnprobed tells whether a call had better go to a target by what is known of it than
// wait for probes, whose answers would come too late because of the large ones that are
// coming in. While the service is busy, a target that nothing is known of is likely to be
// full, and calls wait all the same.
func (r *Router) goesUnprobed(c *call, t *target) bool {
	return r.linkHidesProbes(c) && !r.isTooSlow(c, t) && t.load(r.now)+1 <= t.slots()
}

// linkHidesProbes tells whether probes' answers come too late, at a service that isn't busy.
func (r *Router) linkHidesProbes(c *call) bool {
	return r.on(SharedLink) && r.inbound.left(r.now) > probeLimit && !c.service.isBusy(r.now)
}

// sendUnprobed sends a call whose probes' answers wait behind large ones to the target that
// seems best by what is known of it.
func (r *Router) sendUnprobed(id CallID, c *call, e *Effects) bool {
	if c.probeRound.pending == 0 || !r.linkHidesProbes(c) {
		return false
	}
	t := r.choose(c.service, c)
	if t == nil || !r.goesUnprobed(c, t) {
		return false
	}
	c.probeRound.open = false
	r.send(id, c, t, c.probeRound.purpose, e)
	return true
}

// linkTimePassed goes on with a call that waited for large answers to come in, unless what
// it was admitted by is no longer there.
func (r *Router) linkTimePassed(id CallID, c *call, e *Effects) {
	if !r.leased() {
		r.refuse(id, c, Refusal{Reason: NoLease, Outcome: NotRun, RetryAfter: noLeaseRetry}, e)
		return
	}
	if r.services[c.service.row.Name] != c.service {
		r.refuse(id, c, Refusal{Reason: NoService, Outcome: NotRun}, e)
		return
	}
	r.start(id, c, e)
}

// waitsForLink has a call with a large answer wait while enough of them are on their way. One
// that no target can serve doesn't wait to be refused.
func (r *Router) waitsForLink(id CallID, c *call, e *Effects) bool {
	if !c.route.largeAnswers || !r.on(SharedLink) || c.route.aim == 0 || !c.service.hasActiveTarget(c) {
		return false
	}
	coming := r.inbound.left(r.now) + r.inbound.timeOf(r.expectedBytes)
	room := time.Duration(inboundPart * float64(c.route.aim))
	waited := r.now.Sub(c.arrived)
	most := time.Duration(inboundWait * float64(min(c.route.aim, c.deadline.Sub(c.arrived))))
	if coming <= room || waited >= most {
		return false
	}
	r.linkWaits++
	e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	wait := max(leastInboundWait, min(coming-room, most-waited))
	r.timers.Push(timer{at: r.now.Add(wait), call: id, kind: linkTimer})
	return true
}
