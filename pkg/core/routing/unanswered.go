package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may drop a call that it can't queue without answering it, and then answer nothing more
// on that connection. Such an unanswered call is distinguished from a slow one by what the target
// does meanwhile: it answers later calls, or reports fewer calls in flight than this box has sent
// it. The target is then treated as full rather than as failed. A repeatable call is sent to
// another target. Any other call is left until its deadline, and is then refused with the outcome
// that it may have run.
//
// An answer is overdue once the call has been in flight for longer than its answer timeout.

const (
	// answerTimeoutFactor is the answer timeout as a multiple of the route's typical time. Other
	// processes on a target's machine may slow work down fivefold for moments, but seldom for all
	// of a call, and callers wait for about ten times the typical time.
	answerTimeoutFactor = 4
	// quantileTimeoutFactor is the timeout as a multiple of the latency quantile that nearly all
	// calls meet: with exponentially distributed work one call in 160,000 takes longer.
	// minQuantileSamples is the number of answers before a target's quantile is used, as each moves
	// it by a twentieth.
	quantileTimeoutFactor = 4
	minQuantileSamples    = 50
	// minAnswerTimeout keeps a call of a few milliseconds from being overdue after a single packet
	// loss and retransmission.
	minAnswerTimeout = 100 * time.Millisecond
	// overdueCheckInterval is the time between two checks of an overdue call. It allows several
	// checks before a typical caller's deadline.
	overdueCheckInterval = 100 * time.Millisecond
	// minOvertakes is how many later calls the target must have answered. A single one may have
	// been shorter work in another slot.
	minOvertakes = 2
	// unansweredHalfLife is the age at which an unanswered call has half its weight as evidence
	// that its service hangs when full: overload lasts for seconds and recurs within minutes. It is
	// also how long a target's reports aren't trusted after they left out a call that was answered.
	unansweredHalfLife = time.Minute
	// hangThreshold is the weight of unanswered calls from which on a service is considered to
	// hang: a single one may be an answer that was lost.
	hangThreshold = 1.5
	// minHangLoad is the lowest number of calls at which a target is assumed to hang.
	minHangLoad = 2
)

// unansweredStats tracks the unanswered calls of a service.
type unansweredStats struct {
	total       uint64
	recentCalls float64
	updatedAt   units.Instant
	// hangLoad is the lowest number of calls at a target, counting the unanswered one, with which a
	// call went unanswered; zero if that isn't known.
	hangLoad float64
	// reportsUntrustedUntil is set when a call was answered although the target's reports had left
	// it out. Until then, missing calls in reports are no evidence.
	reportsUntrustedUntil units.Instant
	// hanging is set while the service is classified as hanging when full.
	hanging bool
}

// recentWeight returns the decayed count of unanswered calls.
func (x *unansweredStats) recentWeight(now units.Instant) float64 {
	return x.recentCalls * hyperbolicDecay(now.Sub(x.updatedAt), unansweredHalfLife)
}

// hangs reports whether the service's targets are known not to answer calls that they can't queue.
func (x *unansweredStats) hangs(now units.Instant) bool { return x.recentWeight(now) >= hangThreshold }

// record adds an unanswered call that was the n-th at its target, or n = 0 if that isn't known. It
// returns true if the service is newly found to hang.
func (x *unansweredStats) record(now units.Instant, n float64) bool {
	if !x.hangs(now) {
		x.hanging, x.hangLoad = false, 0
	}
	x.recentCalls = x.recentWeight(now) + 1
	x.updatedAt = now
	x.total++
	if n > 0 && (x.hangLoad == 0 || n < x.hangLoad) {
		x.hangLoad = n
	}
	newlyHanging := x.hangs(now) && !x.hanging
	x.hanging = x.hanging || newlyHanging
	return newlyHanging
}

// mayHang reports whether the target might never answer one more call.
func (t *target) mayHang(now units.Instant) bool {
	x := &t.service.unanswered
	return x.hangLoad > 0 && x.hangs(now) && t.load(now)+1 >= x.hangLoad
}

// answerTimeout returns how long a call may be in flight before its answer is overdue. Without an
// estimate for such calls that is the time until its deadline.
func (c *call) answerTimeout(t *target, now units.Instant) time.Duration {
	switch usual := time.Duration(c.route.knownTypicalTime()); {
	case usual > 0:
		return max(minAnswerTimeout, answerTimeoutFactor*usual)
	case c.service.latency.count >= minTimeSamples && t.latency.count >= minTimeSamples:
		return c.overtakenTimeout(t, now)
	case c.route.latencyObjective > 0:
		return max(minAnswerTimeout, answerTimeoutFactor*c.route.latencyObjective)
	}
	return c.deadline.Sub(now)
}

// overtakenTimeout returns how long a call must be in flight before being overtaken by later calls
// is evidence: work of very uneven length is overtaken without any fault, most of all at a slow
// target.
func (c *call) overtakenTimeout(t *target, now units.Instant) time.Duration {
	if t.latency.count < minQuantileSamples {
		return c.deadline.Sub(now)
	}
	usual := max(c.service.latency.quantile(), t.latency.quantile())
	return max(minAnswerTimeout, quantileTimeoutFactor*usual)
}

// isUnanswered reports whether the attempt's target serves other calls and won't answer this one.
func (a *attempt) isUnanswered(now units.Instant) bool {
	elapsed := now.Sub(a.sent)
	return a.missingFromReport && elapsed >= a.answerTimeout || a.overtakenBy >= minOvertakes && elapsed >= a.overtakenTimeout
}

// countOvertaken increments the overtaken count of all attempts older than the answered one.
func (t *target) countOvertaken(answered *attempt) {
	for a := t.oldestAttempt; a != nil && a != answered; a = a.next {
		a.overtakenBy++
	}
}

// markMissing marks the calls that a load report leaves out: when the probe was sent, the target
// had fewer calls in all than this box waits for. The oldest ones are assumed to be missing.
func (t *target) markMissing(now units.Instant, x TargetReport, probeSentAt units.Instant) {
	if !x.HasLoad || now < t.service.unanswered.reportsUntrustedUntil {
		return
	}
	missing := -int(x.InFlight)
	for a := t.oldestAttempt; a != nil && a.sent < probeSentAt; a = a.next {
		missing++
	}
	for a := t.oldestAttempt; a != nil && missing > 0; a = a.next {
		a.missingFromReport = a.missingFromReport || now.Sub(a.sent) >= a.answerTimeout
		missing--
	}
}

// recordAnswer records an answer to an attempt. If the attempt had been marked as missing, the
// target's reports aren't trusted for a while.
func (t *target) recordAnswer(now units.Instant, a *attempt) {
	t.countOvertaken(a)
	if a.missingFromReport {
		t.service.unanswered.reportsUntrustedUntil = now.Add(unansweredHalfLife)
	}
}

// scheduleOverdueCheck schedules a check for when the call becomes overdue. A call that is hedged
// before that is checked only from its hedge on: few calls take that long, and each timer has a
// cost.
func (r *Router) scheduleOverdueCheck(id CallID, c *call, a *attempt) {
	if c.overdueTimerSet || a.target == nil || a.streamsBody || !r.enabled(UnansweredCalls) {
		return
	}
	at := max(r.now, a.sent.Add(a.answerTimeout))
	if at >= c.deadline {
		return
	}
	c.overdueTimerSet = true
	r.timers.Push(timer{at: at, call: id, kind: overdueTimer})
}

// checkOverdue checks an overdue call and schedules the next check. If it can't decide whether the
// target will answer, it sends the target a probe.
func (r *Router) checkOverdue(id CallID, c *call, e *Effects) {
	c.overdueTimerSet = false
	if c.held || c.streaming || c.inFlight() == 0 {
		return
	}
	c.overdueTimerSet = true
	r.timers.Push(timer{at: r.now.Add(overdueCheckInterval), call: id, kind: overdueTimer})
	if r.abandonUnanswered(id, c, e) {
		return
	}
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && r.now.Sub(a.sent) >= a.answerTimeout {
			r.probeOverdue(id, c, a, e)
			r.checkIfUnheard(c.reachOf(), a.sent, targetsToRejoin, e)
		}
	}
	// The hedge may have gone unanswered too.
	if r.isHedged(c) && c.mayHedge() && r.isOverdue(c) {
		r.tryHedge(id, c, e)
	}
}

// abandonUnanswered abandons the call's first unanswered attempt and reports whether there is one.
func (r *Router) abandonUnanswered(id CallID, c *call, e *Effects) bool {
	if c.streaming {
		return false
	}
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && !r.isInconclusive(a) && a.isUnanswered(r.now) {
			r.abandon(id, c, a, e)
			return true
		}
	}
	return false
}

// isOverdue reports whether an attempt of the call is overdue.
func (r *Router) isOverdue(c *call) bool {
	if !r.enabled(UnansweredCalls) {
		return false
	}
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && r.now.Sub(a.sent) >= a.answerTimeout {
			return true
		}
	}
	return false
}

// probeOverdue probes the target of an overdue call to find out whether it still serves others.
func (r *Router) probeOverdue(id CallID, c *call, a *attempt, e *Effects) {
	t := a.target
	if t.removed || !c.mayUse(t) || t.notice.forbidsSending(r.now) || !c.service.probesTargets() || t.hasProbeInFlight(r.now) || t.lacksPermit(r.now) || !r.spendProbeBudget(c.service, 1, e) {
		return
	}
	r.probe(id, c, t, overdueProbe, e)
}

// overdueProbe is the attempt number of the probes that probeOverdue sends; no probe round has it.
const overdueProbe AttemptNumber = 0

// abandon handles an attempt that its target won't answer. The attempt's connection is closed once
// another attempt of the call is in flight. Without another target or budget the call stays where
// it is and is checked again later, since the retry budget grows with each call.
func (r *Router) abandon(id CallID, c *call, a *attempt, e *Effects) {
	r.recordUnanswered(c, a, e)
	if c.route.work != table.Repeatable || c.probeRound.active {
		return
	}
	if c.inFlight() > 1 {
		r.cancel(id, c, a, e)
		return
	}
	r.retry(id, c, false, e)
}

// recordIfUnanswered reports whether an attempt that ended without an answer is classified as
// unanswered, and counts it if so.
func (r *Router) recordIfUnanswered(c *call, a *attempt, e *Effects) bool {
	if !r.enabled(UnansweredCalls) || r.isInconclusive(a) || !a.isUnanswered(r.now) {
		return false
	}
	r.recordUnanswered(c, a, e)
	return true
}

// recordUnanswered counts an unanswered attempt once and treats its target as full.
func (r *Router) recordUnanswered(c *call, a *attempt, e *Effects) {
	if a.countedUnanswered {
		return
	}
	a.countedUnanswered = true
	c.mayHaveRun = true
	t := a.target
	t.unansweredCalls++
	t.updateFailureRate(r.now, 1)
	t.report.reduceTrust()
	// The call still counts as in flight but doesn't reduce the capacity for others.
	t.window = min(t.window, max(minWindow, float64(t.inFlight))+1)
	t.backoffUntil = max(t.backoffUntil, r.now.Add(t.latency.mean()/2))
	n := 0.0
	if a.callsAhead+1 > t.knownSlots() {
		n = max(minHangLoad, a.callsAhead+1)
	}
	if t.service.unanswered.record(r.now, n) {
		e.add(Effect{
			Kind: ServiceHangs, Endpoint: t.endpoint, Failures: int(t.service.unanswered.total),
			Selection: Selection{
				Load: a.callsAhead, Pace: t.expectedPace(r.now), Slowdown: float64(r.now.Sub(a.sent)) / float64(max(1, a.answerTimeout)),
				ReportAge: -1, Revision: r.table.Revision,
			},
		})
	}
}

// knownSlots returns how many calls the target runs at a time, or zero if neither its reports nor
// the table contain that.
func (t *target) knownSlots() float64 {
	if t.report.Slots > 0 {
		return t.report.Slots
	}
	return float64(t.row.Slots)
}

// requiresKnownFreeSlot reports whether a call may go only to a target that is known to have a free
// slot: the call can't be sent twice, so it would be lost if it were never answered.
func (r *Router) requiresKnownFreeSlot(c *call) bool {
	return r.enabled(UnansweredCalls) && c.route.work != table.Repeatable && c.service.unanswered.hangs(r.now)
}
