package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may drop a call that it can't queue without an answer, and answer nothing more on
// that connection. Such an unanswered call is told apart from a slow one by what the target does
// meanwhile: it answers calls that came later, or reports fewer calls than this box has
// there. The target counts as full then, not as dead. A call that may run twice goes
// elsewhere; one that may not stays until its deadline, and its caller is told that it may have run.

const (
	// answerTimeoutFactor is how many times its route's typical time a call may be out before its
	// answer is missed: what else runs on a target's machine slows work down fivefold for moments, but
	// seldom for all of a call, and callers wait for about ten times the typical time.
	answerTimeoutFactor = 4
	// quantileTimeoutFactor is how many times the time within which nearly all calls end one may be
	// out: of work that lasts exponentially long one call in 160,000 takes longer. sureQuantile
	// is how many answers of a target that time is learnt from: it moves by a twentieth with
	// each.
	quantileTimeoutFactor = 4
	minQuantileSamples    = 50
	// minAnswerTimeout keeps calls of some milliseconds from being missed when a packet is lost
	// and sent again.
	minAnswerTimeout = 100 * time.Millisecond
	// overdueCheckInterval is the time between two looks at a call whose answer is missed; a caller
	// that still waits then has some such pauses left.
	overdueCheckInterval = 100 * time.Millisecond
	// minOvertakes is how many later calls a target must have answered: one may have been
	// shorter work in another slot.
	minOvertakes = 2
	// unansweredHalfLife is the age at which an unanswered call counts for a half as a sign that
	// its service hangs when full: crowds last for seconds and come back within minutes.
	unansweredHalfLife = time.Minute
	// hangThreshold is how many such calls are a sign: one may be an answer that was lost.
	hangThreshold = 1.5
	// minHangLoad is the least number of calls at which a target is taken to hang.
	minHangLoad = 2
)

// unansweredStats is what a box has learnt of a service's unanswered calls.
type unansweredStats struct {
	total       uint64
	recentCalls float64
	updatedAt   units.Instant
	// hangLoad is the least number of calls at a target with which one went unanswered; zero
	// where that isn't known.
	hangLoad float64
	// reportsUntrustedUntil is set when a call was answered that the target's reports had left out;
	// they prove nothing until then.
	reportsUntrustedUntil units.Instant
	// hanging is set while the service is known to hang when full.
	hanging bool
}

// recentWeight is how many of the last unanswered calls count now.
func (x *unansweredStats) recentWeight(now units.Instant) float64 {
	return x.recentCalls * hyperbolicDecay(now.Sub(x.updatedAt), unansweredHalfLife)
}

// hangs tells whether the service's targets are known not to answer what they can't queue.
func (x *unansweredStats) hangs(now units.Instant) bool { return x.recentWeight(now) >= hangThreshold }

// record takes an unanswered call that was the n-th at its target, as far as that is known;
// true means that the service is found to hang by it.
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
	found := x.hangs(now) && !x.hanging
	x.hanging = x.hanging || found
	return found
}

// mayHang tells whether one more call might be one that the target never answers.
func (t *target) mayHang(now units.Instant) bool {
	x := &t.service.silence
	return x.hangLoad > 0 && x.hangs(now) && t.load(now)+1 >= x.hangLoad
}

// answerTimeout is how long a call may be out before its answer is missed: all of its time where
// it isn't known how long its like take.
func (c *call) answerTimeout(t *target, now units.Instant) time.Duration {
	switch usual := time.Duration(c.route.knownTypicalTime()); {
	case usual > 0:
		return max(minAnswerTimeout, answerTimeoutFactor*usual)
	case c.service.latency.count >= minTimeSamples && t.latency.count >= minTimeSamples:
		return c.overtakenTimeout(t, now)
	case c.route.aim > 0:
		return max(minAnswerTimeout, answerTimeoutFactor*c.route.aim)
	}
	return c.deadline.Sub(now)
}

// overtakenTimeout is how long a call may be out before it counts that later ones overtook it:
// work of very uneven length does so by itself, at a slow target above all.
func (c *call) overtakenTimeout(t *target, now units.Instant) time.Duration {
	if t.latency.count < minQuantileSamples {
		return c.deadline.Sub(now)
	}
	usual := max(c.service.latency.quantile(), t.latency.quantile())
	return max(minAnswerTimeout, quantileTimeoutFactor*usual)
}

// isUnanswered tells whether the attempt's target serves others and won't answer it.
func (a *attempt) isUnanswered(now units.Instant) bool {
	out := now.Sub(a.sent)
	return a.missing && out >= a.patience || a.overtaken >= minOvertakes && out >= a.longPatience
}

// countOvertaken notes that the target has answered an attempt before older ones.
func (t *target) countOvertaken(answered *attempt) {
	for a := t.oldestAttempt; a != nil && a != answered; a = a.next {
		a.overtaken++
	}
}

// markMissing marks the calls that a report leaves out: when the target was asked, it had
// fewer calls in all than this box waits for. The oldest are the ones it hasn't got.
func (t *target) markMissing(now units.Instant, x Reading, asked units.Instant) {
	if !x.Known || now < t.service.silence.reportsUntrustedUntil {
		return
	}
	left := -int(x.InFlight)
	for a := t.oldestAttempt; a != nil && a.sent < asked; a = a.next {
		left++
	}
	for a := t.oldestAttempt; a != nil && left > 0; a = a.next {
		a.missing = a.missing || now.Sub(a.sent) >= a.patience
		left--
	}
}

// recordAnswer takes an answer to an attempt: a late one shows that reports leave calls out.
func (t *target) recordAnswer(now units.Instant, a *attempt) {
	t.countOvertaken(a)
	if a.missing {
		t.service.silence.reportsUntrustedUntil = now.Add(unansweredHalfLife)
	}
}

// scheduleOverdueCheck has a call looked at once its answer is missed. Calls that are hedged before that are
// watched from then on only: few take that long, and each timer costs the others.
func (r *Router) scheduleOverdueCheck(id CallID, c *call, a *attempt) {
	if c.watched || a.target == nil || !r.on(UnansweredCalls) {
		return
	}
	at := max(r.now, a.sent.Add(a.patience))
	if at >= c.deadline {
		return
	}
	c.watched = true
	r.timers.Push(timer{at: at, call: id, kind: silenceTimer})
}

// checkOverdue looks at a call whose answer is missed, and will look again. While it can't tell
// whether the target will answer it probes that.
func (r *Router) checkOverdue(id CallID, c *call, e *Effects) {
	c.watched = false
	if c.held || c.streaming || c.underWay() == 0 {
		return
	}
	c.watched = true
	r.timers.Push(timer{at: r.now.Add(overdueCheckInterval), call: id, kind: silenceTimer})
	if r.abandonUnanswered(id, c, e) {
		return
	}
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && r.now.Sub(a.sent) >= a.patience {
			r.probeOverdue(id, c, a, e)
		}
	}
	// A hedge may have gone unanswered too.
	if r.hedges(c) && c.mayHedge() && r.isOverdue(c) {
		r.tryHedge(id, c, e)
	}
}

// abandonUnanswered gives up the first attempt of a call that won't be answered, and tells
// whether there is one.
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

// isOverdue tells whether the call has been out for longer than its answer should take.
func (r *Router) isOverdue(c *call) bool {
	if !r.on(UnansweredCalls) {
		return false
	}
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && r.now.Sub(a.sent) >= a.patience {
			return true
		}
	}
	return false
}

// probeOverdue probes the target of a call whose answer is missed, to learn whether the target
// still serves others.
func (r *Router) probeOverdue(id CallID, c *call, a *attempt, e *Effects) {
	t := a.target
	if t.removed || !c.mayUse(t) || t.notice.forbidsSending(r.now) || !c.service.probesTargets() || t.awaitsProbe(r.now) || t.lacksPermit(r.now) || !r.spendProbes(c.service, 1) {
		return
	}
	r.probe(id, c, t, overdueProbe, e)
}

// overdueProbe is the number of a probe that probeSilent sends; no round of probes has it.
const overdueProbe AttemptNumber = 0

// abandon deals with an attempt that its target won't answer. Its connection is closed once
// the call is under way elsewhere. Without another target or a budget the call stays where
// it is, and is looked at again: calls earn budget.
func (r *Router) abandon(id CallID, c *call, a *attempt, e *Effects) {
	r.recordUnanswered(c, a, e)
	if c.route.work != table.Repeatable || c.probeRound.open {
		return
	}
	if c.underWay() > 1 {
		r.cancel(id, c, a, e)
		return
	}
	r.retry(id, c, false, e)
}

// recordIfUnanswered tells whether an attempt that ends without an answer is one that its target
// wouldn't have answered, and counts it.
func (r *Router) recordIfUnanswered(c *call, a *attempt, e *Effects) bool {
	if !r.on(UnansweredCalls) || r.isInconclusive(a) || !a.isUnanswered(r.now) {
		return false
	}
	r.recordUnanswered(c, a, e)
	return true
}

// recordUnanswered counts an unanswered attempt once, and its target as full.
func (r *Router) recordUnanswered(c *call, a *attempt, e *Effects) {
	if a.counted {
		return
	}
	a.counted = true
	c.mayHaveRun = true
	t := a.target
	t.unansweredCalls++
	t.updateFailureRate(r.now, 1)
	t.report.reduceTrust()
	// The call itself still counts, but takes nothing of what the target can do.
	t.window = min(t.window, max(minWindow, float64(t.inFlight))+1)
	t.backoffUntil = max(t.backoffUntil, r.now.Add(t.latency.mean()/2))
	n := 0.0
	if a.ahead+1 > t.knownSlots() {
		n = max(minHangLoad, a.ahead+1)
	}
	if t.service.silence.record(r.now, n) {
		e.add(Effect{
			Kind: ServiceHangs, Endpoint: t.endpoint, Failures: int(t.service.silence.total),
			Evidence: Evidence{
				Load: a.ahead, Pace: t.expectedPace(r.now), Slowdown: float64(r.now.Sub(a.sent)) / float64(max(1, a.patience)),
				ReadingAge: -1, Revision: r.table.Revision,
			},
		})
	}
}

// knownSlots is how many calls the target is known to work on at a time; zero where neither
// it nor the table says so.
func (t *target) knownSlots() float64 {
	if t.report.Slots > 0 {
		return t.report.Slots
	}
	return float64(t.row.Slots)
}

// requiresKnownFreeSlot tells whether a call may go only to a target that is known to have room: if it
// were never answered it would be lost, since it can't be sent twice.
func (r *Router) requiresKnownFreeSlot(c *call) bool {
	return r.on(UnansweredCalls) && c.route.work != table.Repeatable && c.service.silence.hangs(r.now)
}
