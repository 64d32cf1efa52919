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
	// silentPatience is how many times its route's typical time a call may be out before its
	// answer is missed: what else runs on a target's machine slows work down fivefold for moments, but
	// seldom for all of a call, and callers wait for about ten times the typical time.
	silentPatience = 4
	// quantilePatience is how many times the time within which nearly all calls end one may be
	// out: of work that lasts exponentially long one call in 160,000 takes longer. sureQuantile
	// is how many answers of a target that time is learnt from: it moves by a twentieth with
	// each.
	quantilePatience = 4
	sureQuantile     = 50
	// leastPatience keeps calls of some milliseconds from being missed when a packet is lost
	// and sent again.
	leastPatience = 100 * time.Millisecond
	// silencePause is the time between two looks at a call whose answer is missed; a caller
	// that still waits then has some such pauses left.
	silencePause = 100 * time.Millisecond
	// overtakenSure is how many later calls a target must have answered: one may have been
	// shorter work in another slot.
	overtakenSure = 2
	// silenceMemory is the age at which an unanswered call counts for a half as a sign that
	// its service hangs when full: crowds last for seconds and come back within minutes.
	silenceMemory = time.Minute
	// hangsSure is how many such calls are a sign: one may be an answer that was lost.
	hangsSure = 1.5
	// leastHanging is the least number of calls at which a target is taken to hang.
	leastHanging = 2
)

// silence is what a box has learnt of a service's unanswered calls.
type silence struct {
	calls  uint64
	recent float64
	at     units.Instant
	// from is the least number of calls at a target with which one went unanswered; zero
	// where that isn't known.
	from float64
	// doubtUntil is set when a call was answered that the target's reports had left out;
	// they prove nothing until then.
	doubtUntil units.Instant
	// hanging is set while the service is known to hang when full.
	hanging bool
}

// weight is how many of the last unanswered calls count now.
func (x *silence) weight(now units.Instant) float64 {
	return x.recent * freshness(now.Sub(x.at), silenceMemory)
}

// hangs tells whether the service's targets are known not to answer what they can't queue.
func (x *silence) hangs(now units.Instant) bool { return x.weight(now) >= hangsSure }

// note takes an unanswered call that was the n-th at its target, as far as that is known;
// true means that the service is found to hang by it.
func (x *silence) note(now units.Instant, n float64) bool {
	if !x.hangs(now) {
		x.hanging, x.from = false, 0
	}
	x.recent = x.weight(now) + 1
	x.at = now
	x.calls++
	if n > 0 && (x.from == 0 || n < x.from) {
		x.from = n
	}
	found := x.hangs(now) && !x.hanging
	x.hanging = x.hanging || found
	return found
}

// mayHang tells whether one more call might be one that the target never answers.
func (t *target) mayHang(now units.Instant) bool {
	x := &t.service.silence
	return x.from > 0 && x.hangs(now) && t.load(now)+1 >= x.from
}

// patience is how long a call may be out before its answer is missed: all of its time where
// it isn't known how long its like take.
func (c *call) patience(t *target, now units.Instant) time.Duration {
	switch usual := time.Duration(c.route.sureTime()); {
	case usual > 0:
		return max(leastPatience, silentPatience*usual)
	case c.service.latency.count >= sureAnswers && t.latency.count >= sureAnswers:
		return c.longPatience(t, now)
	case c.route.aim > 0:
		return max(leastPatience, silentPatience*c.route.aim)
	}
	return c.deadline.Sub(now)
}

// longPatience is how long a call may be out before it counts that later ones overtook it:
// work of very uneven length does so by itself, at a slow target above all.
func (c *call) longPatience(t *target, now units.Instant) time.Duration {
	if t.latency.count < sureQuantile {
		return c.deadline.Sub(now)
	}
	usual := max(c.service.latency.quantile(), t.latency.quantile())
	return max(leastPatience, quantilePatience*usual)
}

// isUnanswered tells whether the attempt's target serves others and won't answer it.
func (a *attempt) isUnanswered(now units.Instant) bool {
	out := now.Sub(a.sent)
	return a.missing && out >= a.patience || a.overtaken >= overtakenSure && out >= a.longPatience
}

// noteOvertaken notes that the target has answered an attempt before older ones.
func (t *target) noteOvertaken(answered *attempt) {
	for a := t.oldest; a != nil && a != answered; a = a.next {
		a.overtaken++
	}
}

// noteMissing marks the calls that a report leaves out: when the target was asked, it had
// fewer calls in all than this box waits for. The oldest are the ones it hasn't got.
func (t *target) noteMissing(now units.Instant, x Reading, asked units.Instant) {
	if !x.HasLoad || now < t.service.silence.doubtUntil {
		return
	}
	left := -int(x.InFlight)
	for a := t.oldest; a != nil && a.sent < asked; a = a.next {
		left++
	}
	for a := t.oldest; a != nil && left > 0; a = a.next {
		a.missing = a.missing || now.Sub(a.sent) >= a.patience
		left--
	}
}

// noteAnswer takes an answer to an attempt: a late one shows that reports leave calls out.
func (t *target) noteAnswer(now units.Instant, a *attempt) {
	t.noteOvertaken(a)
	if a.missing {
		t.service.silence.doubtUntil = now.Add(silenceMemory)
	}
}

// watch has a call looked at once its answer is missed. Calls that are hedged before that are
// watched from then on only: few take that long, and each timer costs the others.
func (r *Router) watch(id CallID, c *call, a *attempt) {
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

// checkSilence looks at a call whose answer is missed, and will look again. While it can't tell
// whether the target will answer it probes that.
func (r *Router) checkSilence(id CallID, c *call, e *Effects) {
	c.watched = false
	if c.held || c.streaming || c.underWay() == 0 {
		return
	}
	c.watched = true
	r.timers.Push(timer{at: r.now.Add(silencePause), call: id, kind: silenceTimer})
	if r.judgeSilence(id, c, e) {
		return
	}
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && r.now.Sub(a.sent) >= a.patience {
			r.probeSilent(id, c, a, e)
		}
	}
	// A hedge may have gone unanswered too.
	if r.hedges(c) && c.mayHedge() && r.missesAnswer(c) {
		r.tryHedge(id, c, e)
	}
}

// judgeSilence gives up the first attempt of a call that won't be answered, and tells
// whether there is one.
func (r *Router) judgeSilence(id CallID, c *call, e *Effects) bool {
	if c.streaming {
		return false
	}
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && !r.saysNothing(a) && a.isUnanswered(r.now) {
			r.giveUp(id, c, a, e)
			return true
		}
	}
	return false
}

// missesAnswer tells whether the call has been out for longer than its answer should take.
func (r *Router) missesAnswer(c *call) bool {
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

// probeSilent probes the target of a call whose answer is missed, to learn whether the target
// still serves others.
func (r *Router) probeSilent(id CallID, c *call, a *attempt, e *Effects) {
	t := a.target
	if t.gone || !c.mayUse(t) || t.notice.forbids(r.now) || !c.service.probesTargets() || t.awaitsProbe(r.now) || t.lacksPermit(r.now) || !r.spendProbes(c.service, 1) {
		return
	}
	r.probe(id, c, t, silenceProbe, e)
}

// silenceProbe is the number of a probe that probeSilent sends; no round of probes has it.
const silenceProbe AttemptNumber = 0

// giveUp deals with an attempt that its target won't answer. Its connection is closed once
// the call is under way elsewhere. Without another target or a budget the call stays where
// it is, and is looked at again: calls earn budget.
func (r *Router) giveUp(id CallID, c *call, a *attempt, e *Effects) {
	r.noteUnanswered(c, a, e)
	if c.route.work != table.Repeatable || c.probeRound.open {
		return
	}
	if c.underWay() > 1 {
		r.cancel(id, c, a, e)
		return
	}
	r.retry(id, c, false, e)
}

// wentUnanswered tells whether an attempt that ends without an answer is one that its target
// wouldn't have answered, and counts it.
func (r *Router) wentUnanswered(c *call, a *attempt, e *Effects) bool {
	if !r.on(UnansweredCalls) || r.saysNothing(a) || !a.isUnanswered(r.now) {
		return false
	}
	r.noteUnanswered(c, a, e)
	return true
}

// noteUnanswered counts an unanswered attempt once, and its target as full.
func (r *Router) noteUnanswered(c *call, a *attempt, e *Effects) {
	if a.counted {
		return
	}
	a.counted = true
	c.mayHaveRun = true
	t := a.target
	t.unansweredCalls++
	t.noteFailure(r.now, 1)
	t.reading.contradicted()
	// The call itself still counts, but takes nothing of what the target can do.
	t.window = min(t.window, max(minWindow, float64(t.inFlight))+1)
	t.notBefore = max(t.notBefore, r.now.Add(t.latency.mean()/2))
	n := 0.0
	if a.ahead+1 > t.knownSlots() {
		n = max(leastHanging, a.ahead+1)
	}
	if t.service.silence.note(r.now, n) {
		e.add(Effect{
			Kind: ServiceHangs, Endpoint: t.endpoint, Failures: int(t.service.silence.calls),
			Selection: Selection{
				Load: a.ahead, Pace: t.expectedPace(r.now), Slowdown: float64(r.now.Sub(a.sent)) / float64(max(1, a.patience)),
				ReadingAge: -1, Revision: r.table.Revision,
			},
		})
	}
}

// knownSlots is how many calls the target is known to work on at a time; zero where neither
// it nor the table says so.
func (t *target) knownSlots() float64 {
	if t.reading.Slots > 0 {
		return t.reading.Slots
	}
	return float64(t.row.Slots)
}

// mustBeSure tells whether a call may go only to a target that is known to have room: if it
// were never answered it would be lost, since it can't be sent twice.
func (r *Router) mustBeSure(c *call) bool {
	return r.on(UnansweredCalls) && c.route.work != table.Repeatable && c.service.silence.hangs(r.now)
}
