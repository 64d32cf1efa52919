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
	// inboundAimFraction is the part of its aim that a call with a large answer leaves to the answers
	// that are already on their way. With more of them, each would take much of the others' aims,
	// and all small answers would wait behind them.
	inboundAimFraction = 0.25
	// inboundWaitFraction is the part of its aim, or of its deadline if that is closer, that such a call
	// waits at the most: enough for an average answer to come in, and most of the aim is left
	// for its own.
	inboundWaitFraction = 0.125
	// minInboundWait is the least time between two looks of a waiting call at the link, so that
	// many of them don't take the box's processor time.
	minInboundWait = 2 * time.Millisecond
	// sizeGain is the weight of the newest answer in a route's expected size: sizes of one route
	// may vary by several times, so that a call's wait must not depend on the newest alone.
	sizeGain = 0.1
	// inconclusiveFraction is the part of its time for which the link must have been occupied for a call
	// without an answer to say nothing of its target.
	inconclusiveFraction = 0.5
	// maxOccupancy is for how long one answer counts as occupying the link: longer ones share
	// it with others by then, and what a target says of an answer's length may be wrong. No
	// call may be kept from probing, and no target from being ejected, for longer by one.
	maxOccupancy = time.Second
)

// inboundLink is what a box knows of the large answers on their way to it.
type inboundLink struct {
	// bytesPerSecond is in bytes a second; zero means that the link isn't limited.
	bytesPerSecond float64
	// busyUntil is when what has begun to come in will be there.
	busyUntil units.Instant
	// busyTotal is for how long the link has been occupied by large answers since the start,
	// and will be until busyUntil.
	busyTotal time.Duration
	// pendingTime is for how long the answers that are coming in occupy the link, together.
	pendingTime time.Duration
}

// start notes that so many bytes of an answer are coming in now, and returns for how long
// they occupy the link.
func (x *inboundLink) start(now units.Instant, bytes float64) time.Duration {
	takes := x.transferTime(bytes)
	x.pendingTime += takes
	x.busyUntil = max(x.busyUntil, now).Add(takes)
	x.busyTotal += takes
	return takes
}

// finish notes that an answer which occupies the link for takes has come in, or was given up. The
// link isn't occupied for longer than the answers that are left take.
func (x *inboundLink) finish(now units.Instant, takes time.Duration) {
	x.pendingTime -= takes
	if excess := x.remaining(now) - x.pendingTime; excess > 0 {
		x.busyTotal -= excess
		x.busyUntil = x.busyUntil.Add(-excess)
	}
}

// transferTime is for how long so many bytes occupy the link.
func (x *inboundLink) transferTime(bytes float64) time.Duration {
	if x.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(bytes / x.bytesPerSecond * float64(time.Second))
}

// remaining is for how long the link will still be occupied.
func (x *inboundLink) remaining(now units.Instant) time.Duration { return max(0, x.busyUntil.Sub(now)) }

// busyTime is for how long the link was occupied until now, since the start.
func (x *inboundLink) busyTime(now units.Instant) time.Duration {
	return x.busyTotal - x.remaining(now)
}

// updateSize takes how many bytes of an answer came behind those that are held for a retry.
func (x *route) updateSize(bytes float64) {
	if x.sized {
		x.size += sizeGain * (bytes - x.size)
		return
	}
	x.size, x.sized = bytes, true
}

// recordAnswerStart notes an answer that begins to pass through. One that doesn't say how long it
// is counts as its route's usual.
func (r *Router) recordAnswerStart(c *call, a *attempt, coming int) {
	a.answered = r.timeAtTarget(c, a)
	a.begun = true
	r.clearExpected(a)
	if coming < 0 {
		a.takes = r.inbound.start(r.now, c.route.size)
		return
	}
	bytes := min(float64(coming), r.inbound.bytesPerSecond*maxOccupancy.Seconds())
	c.route.updateSize(bytes)
	a.takes = r.inbound.start(r.now, bytes)
}

// expectInbound counts what an attempt that is being sent may bring.
func (r *Router) expectInbound(x *route, a *attempt) {
	a.busyAt = r.inbound.busyTime(r.now)
	if x.largeAnswers {
		a.expected = x.size
		r.expected += a.expected
	}
}

// releaseInbound ends what was counted of an attempt.
func (r *Router) releaseInbound(a *attempt) {
	r.clearExpected(a)
	r.inbound.finish(r.now, a.takes)
	a.takes = 0
}

// clearExpected no longer counts the bytes that an attempt may bring: the answer has begun, or
// won't come.
func (r *Router) clearExpected(a *attempt) {
	r.expected -= a.expected
	a.expected = 0
}

// recordShortAnswer notes that a route with large answers brought one that was whole at once.
func (x *route) recordShortAnswer(a *attempt) {
	if x.largeAnswers && !a.begun {
		x.updateSize(0)
	}
}

// linkBusySince is for how long, since an attempt was sent, its answer may have waited behind
// large ones.
func (r *Router) linkBusySince(a *attempt) time.Duration {
	if !r.on(SharedLink) {
		return 0
	}
	return r.inbound.busyTime(r.now) - a.busyAt
}

// timeAtTarget is how long an attempt's answer took, as far as its target is concerned. What
// it took beyond the route's typical time isn't the target's while other answers occupied
// the link, and what passing an answer through takes isn't at all.
func (r *Router) timeAtTarget(c *call, a *attempt) time.Duration {
	if a.begun {
		return a.answered
	}
	took := r.now.Sub(a.sent)
	hidden := r.linkBusySince(a)
	if hidden <= 0 {
		return took
	}
	return max(min(took, time.Duration(c.route.typical)), took-hidden)
}

// isInconclusive tells whether an attempt that wasn't answered in time says nothing of its
// target: the answer is passing through, or may be waiting behind others.
func (r *Router) isInconclusive(a *attempt) bool {
	return a.begun || float64(r.linkBusySince(a)) > inconclusiveFraction*float64(r.now.Sub(a.sent))
}

// mayGoUnprobed tells whether a call had better go to a target by what is known of it than
// wait for probes, whose answers would come too late because of the large ones that are
// coming in. While the service is busy, a target that nothing is known of is likely to be
// full, and calls wait all the same.
func (r *Router) mayGoUnprobed(c *call, t *target) bool {
	return r.linkDelaysProbes(c) && !r.isTooSlow(c, t) && t.load(r.now)+1 <= t.slots()
}

// linkDelaysProbes tells whether probes' answers come too late, at a service that isn't busy.
func (r *Router) linkDelaysProbes(c *call) bool {
	return r.on(SharedLink) && r.inbound.remaining(r.now) > probeLimit && !c.service.isBusy(r.now)
}

// sendUnprobed sends a call whose probes' answers wait behind large ones to the target that
// seems best by what is known of it.
func (r *Router) sendUnprobed(id CallID, c *call, e *Effects) bool {
	if c.probeRound.pending == 0 || !r.linkDelaysProbes(c) {
		return false
	}
	t := r.choose(c.service, c)
	if t == nil || !r.mayGoUnprobed(c, t) {
		return false
	}
	c.probeRound.open = false
	r.send(id, c, t, c.probeRound.purpose, e)
	return true
}

// resumeAfterLinkWait goes on with a call that waited for large answers to come in, unless what
// it was admitted by is no longer there.
func (r *Router) resumeAfterLinkWait(id CallID, c *call, e *Effects) {
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

// waitForLink has a call with a large answer wait while enough of them are on their way. One
// that no target can serve doesn't wait to be refused.
func (r *Router) waitForLink(id CallID, c *call, e *Effects) bool {
	if !c.route.largeAnswers || !r.on(SharedLink) || c.route.aim == 0 || !c.service.hasActiveTarget(c) {
		return false
	}
	coming := r.inbound.remaining(r.now) + r.inbound.transferTime(r.expected)
	room := time.Duration(inboundAimFraction * float64(c.route.aim))
	waited := r.now.Sub(c.arrived)
	most := time.Duration(inboundWaitFraction * float64(min(c.route.aim, c.deadline.Sub(c.arrived))))
	if coming <= room || waited >= most {
		return false
	}
	r.linkWaits++
	e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	wait := max(minInboundWait, min(coming-room, most-waited))
	r.timers.Push(timer{at: r.now.Add(wait), call: id, kind: linkTimer})
	return true
}
