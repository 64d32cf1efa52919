package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// A box can't throttle what targets send it: a large answer occupies the link while it is received
// and delays every answer behind it. But the box knows how much is being received. It therefore
// receives only few large answers at a time, and doesn't attribute delays that they cause to the
// targets.

const (
	// inboundObjectiveFraction bounds the transfer time of the large answers in flight, as a
	// fraction of the latency objective of the next call with a large answer. With more of them,
	// each would use much of the others' objectives, and all small answers would wait behind them.
	inboundObjectiveFraction = 0.25
	// inboundWaitFraction bounds how long such a call waits, as a fraction of its latency objective
	// or its deadline, whichever is shorter: enough to receive an average answer, and most of the
	// objective is left for its own.
	inboundWaitFraction = 0.125
	// minInboundWait is the least time between two checks of the link for a waiting call, so that
	// many waiting calls don't use up the box's processor time.
	minInboundWait = 2 * time.Millisecond
	// sizeGain is the weight of the newest answer in a route's expected answer size: the sizes on
	// one route may vary severalfold, so a call's wait must not depend on the newest alone.
	sizeGain = 0.1
	// inconclusiveFraction is the fraction of an unanswered attempt's time for which the link must
	// have been occupied for the attempt to be no evidence about its target.
	inconclusiveFraction = 0.5
	// maxOccupancy bounds how long one answer is assumed to occupy the link: a longer one shares it
	// with others by then, and the length that a target states may be wrong. One answer can't
	// suppress probes, or the ejection of targets, for longer than that.
	maxOccupancy = time.Second
)

// inboundLink tracks the large answers that the box is receiving.
type inboundLink struct {
	// bytesPerSecond is the capacity of the link; zero means that it isn't limited.
	bytesPerSecond float64
	// busyUntil is when all answers whose transfer has begun will have been received.
	busyUntil units.Instant
	// busyTotal is the total time since the box's start for which large answers have occupied the
	// link, including the time until busyUntil.
	busyTotal time.Duration
	// pendingTime is the sum of the transfer times of the answers being received.
	pendingTime time.Duration
}

// start records the start of a transfer and returns how long it occupies the link.
func (x *inboundLink) start(now units.Instant, bytes float64) time.Duration {
	duration := x.transferTime(bytes)
	x.pendingTime += duration
	x.busyUntil = max(x.busyUntil, now).Add(duration)
	x.busyTotal += duration
	return duration
}

// finish records that an answer with the given transfer time was received or abandoned. The link is
// then occupied for no longer than the remaining transfers take.
func (x *inboundLink) finish(now units.Instant, duration time.Duration) {
	x.pendingTime -= duration
	if excess := x.remaining(now) - x.pendingTime; excess > 0 {
		x.busyTotal -= excess
		x.busyUntil = x.busyUntil.Add(-excess)
	}
}

// transferTime returns how long a transfer of so many bytes occupies the link.
func (x *inboundLink) transferTime(bytes float64) time.Duration {
	if x.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(bytes / x.bytesPerSecond * float64(time.Second))
}

// remaining returns how long the link will still be occupied.
func (x *inboundLink) remaining(now units.Instant) time.Duration { return max(0, x.busyUntil.Sub(now)) }

// busyTime returns for how long the link has been occupied since the box's start.
func (x *inboundLink) busyTime(now units.Instant) time.Duration {
	return x.busyTotal - x.remaining(now)
}

// updateSize updates the expected size by the bytes of an answer that followed those buffered for a
// retry.
func (x *route) updateSize(bytes float64) {
	if x.hasAnswerSize {
		x.meanAnswerBytes += sizeGain * (bytes - x.meanAnswerBytes)
		return
	}
	x.meanAnswerBytes, x.hasAnswerSize = bytes, true
}

// recordAnswerStart records that an answer starts being streamed to the caller; remaining is how
// many bytes follow. If that is negative, thus unknown, the route's expected size is used.
func (r *Router) recordAnswerStart(c *call, a *attempt, remaining int) {
	a.timeToAnswer = r.timeAtTarget(c, a)
	a.answerStarted = true
	r.clearExpected(a)
	if remaining < 0 {
		a.linkTime = r.inbound.start(r.now, c.route.meanAnswerBytes)
		return
	}
	bytes := min(float64(remaining), r.inbound.bytesPerSecond*maxOccupancy.Seconds())
	c.route.updateSize(bytes)
	a.linkTime = r.inbound.start(r.now, bytes)
}

// expectInbound adds the expected size of the answer to an attempt that is being sent.
func (r *Router) expectInbound(x *route, a *attempt) {
	a.linkBusyAtSend = r.inbound.busyTime(r.now)
	if x.largeAnswers {
		a.expectedBytes = x.meanAnswerBytes
		r.expectedBytes += a.expectedBytes
	}
}

// releaseInbound removes an attempt's expected and pending transfers.
func (r *Router) releaseInbound(a *attempt) {
	r.clearExpected(a)
	r.inbound.finish(r.now, a.linkTime)
	a.linkTime = 0
}

// clearExpected removes the expected size of an attempt's answer, which has started or won't come.
func (r *Router) clearExpected(a *attempt) {
	r.expectedBytes -= a.expectedBytes
	a.expectedBytes = 0
}

// recordShortAnswer records that a route with large answers returned one that was complete at once.
func (x *route) recordShortAnswer(a *attempt) {
	if x.largeAnswers && !a.answerStarted {
		x.updateSize(0)
	}
}

// linkBusySince returns for how long large answers have occupied the link since the attempt was
// sent, so that its own answer may have been delayed. It is zero if the mechanism is off.
func (r *Router) linkBusySince(a *attempt) time.Duration {
	if !r.enabled(SharedLink) {
		return 0
	}
	return r.inbound.busyTime(r.now) - a.linkBusyAtSend
}

// timeAtTarget returns the part of an attempt's time that is attributed to its target. Time beyond
// the route's typical time is left out as far as other answers occupied the link, and so is the
// time for streaming the answer.
func (r *Router) timeAtTarget(c *call, a *attempt) time.Duration {
	if a.answerStarted {
		return a.timeToAnswer
	}
	took := max(0, r.now.Sub(a.sent)-a.bodyTime)
	linkBusy := r.linkBusySince(a)
	if linkBusy <= 0 {
		return took
	}
	return max(min(took, time.Duration(c.route.typicalLatency)), took-linkBusy)
}

// isInconclusive reports whether an attempt that wasn't answered in time is no evidence about its
// target: its answer is being streamed or may be waiting behind other answers, or its caller may still send.
func (r *Router) isInconclusive(a *attempt) bool {
	return a.answerStarted || a.streamsBody || float64(r.linkBusySince(a)) > inconclusiveFraction*float64(r.now.Sub(a.sent))
}

// maySkipProbes reports whether a call should be sent to a target based on existing data, since the
// answers to probes would be delayed by large answers. This doesn't apply while the service is
// busy: a target without recent data is likely to be full then, and calls wait anyway.
func (r *Router) maySkipProbes(c *call, t *target) bool {
	return r.linkDelaysProbes(c) && !r.isTooSlow(c, t) && t.load(r.now)+1 <= t.slots()
}

// linkDelaysProbes reports whether large answers delay the answers to probes for too long, at a
// service that isn't busy.
func (r *Router) linkDelaysProbes(c *call) bool {
	return r.enabled(SharedLink) && r.inbound.remaining(r.now) > probeTimeout && !c.service.isBusy(r.now)
}

// sendUnprobed sends a call whose probes are delayed by large answers to the best target according
// to existing data.
func (r *Router) sendUnprobed(id CallID, c *call, e *Effects) bool {
	if c.probeRound.pending == 0 || !r.linkDelaysProbes(c) {
		return false
	}
	t := r.choose(c.service, c)
	if t == nil || !r.maySkipProbes(c, t) {
		return false
	}
	c.probeRound.active = false
	r.send(id, c, t, c.probeRound.purpose, e)
	return true
}

// resumeAfterLinkWait continues a call that waited for large answers, unless the lease or service
// that it was admitted under is gone.
func (r *Router) resumeAfterLinkWait(id CallID, c *call, e *Effects) {
	if !r.leased() {
		r.refuse(id, c, noLeaseRefusal, e)
		return
	}
	if r.services[c.service.row.Name] != c.service {
		r.refuse(id, c, Refusal{Reason: NoService, Outcome: NotRun}, e)
		return
	}
	r.dispatch(id, c, e)
}

// waitForLink delays a call with a large answer while too many of them are being received, and
// reports whether it does. A call without an eligible target isn't delayed, so that it is refused
// at once.
func (r *Router) waitForLink(id CallID, c *call, e *Effects) bool {
	if !c.route.largeAnswers || !r.enabled(SharedLink) || c.route.latencyObjective == 0 || !c.service.hasEligibleTarget(c) {
		return false
	}
	expectedBusy := r.inbound.remaining(r.now) + r.inbound.transferTime(r.expectedBytes)
	allowed := time.Duration(inboundObjectiveFraction * float64(c.route.latencyObjective))
	waited := r.now.Sub(c.arrived)
	maxWait := time.Duration(inboundWaitFraction * float64(min(c.route.latencyObjective, c.deadline.Sub(c.arrived))))
	if expectedBusy <= allowed || waited >= maxWait {
		return false
	}
	r.linkWaits++
	e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	wait := max(minInboundWait, min(expectedBusy-allowed, maxWait-waited))
	r.timers.Push(timer{at: r.now.Add(wait), call: id, kind: linkTimer})
	return true
}
