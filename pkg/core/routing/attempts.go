package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// send starts an attempt of a call at a target.
func (r *Router) send(id CallID, c *call, t *target, why Purpose, e *Effects) {
	hedge := why == HedgeSend
	evidence := r.evidenceOf(t)
	a := c.freePlace()
	c.sends++
	c.arrivals++
	c.past[c.tries%maxAttempts] = t
	c.tries++
	*a = attempt{
		number: c.sends, target: t, sent: r.now, hedge: hedge, typical: c.route.sureTime(),
		atPace: t.reading.Pace > 0 && t.expectedPace(r.now) < goodPace,
		full:   t.load(r.now)+1 >= nearlyFull*t.slots(),
		cold:   t.isCold(r.now),
	}
	if !t.ownRoom() {
		a.loan = t.freeLoan(r.now)
		if a.loan != nil {
			a.loan.inUse = true
		}
	}
	r.expect(c.route, a)
	t.link(a)
	t.noteSend()
	t.sends++
	t.sentSince++
	if t.row.MaxRate > 0 {
		t.rate.take(r.now, t.rateShare.value, rateBurst)
	}
	t.noteColdSend(r.now)
	e.add(Effect{
		Kind: Send, Call: id, Owner: c.owner, Attempt: a.number, Endpoint: t.endpoint,
		Deadline: c.deadline, NotAfter: r.notAfter(), Connections: t.connections, Once: c.route.work == table.Once,
		Purpose: why, Evidence: evidence, Aim: c.route.aim, LargeAnswer: c.route.largeAnswers,
	})
	if !hedge && c.route.work == table.Repeatable && r.on(Hedging) && c.service.row.HedgeBudget > 0 && c.route.maxAttempts > 1 {
		r.timers.Push(timer{at: r.now.Add(c.hedgeDelay()), call: id, kind: hedgeTimer})
	}
}

// evidenceOf is what is known of a target now.
func (r *Router) evidenceOf(t *target) Evidence {
	x := Evidence{
		Load: t.load(r.now), Pace: t.expectedPace(r.now), Slowdown: t.currentSlowdown(r.now), ReadingAge: -1,
		Revision: r.table.Revision,
	}
	if t.reading.Known {
		x.ReadingAge = r.now.Sub(t.reading.at)
	}
	return x
}

// hedgeDelay is how long a call may go unanswered before it is worth a second send:
// half of its aim, so that the second may still make it, or longer than nearly all
// calls take where there is no aim.
func (c *call) hedgeDelay() time.Duration {
	if c.route.aim > 0 {
		return max(minHedgeDelay, c.route.aim/2)
	}
	return c.service.hedgeDelay()
}

func (s *service) hedgeDelay() time.Duration {
	return max(minHedgeDelay, s.latency.quantile())
}

const minHedgeDelay = 2 * time.Millisecond

// hedge sends a call a second time if it is still without an answer, the budget
// allows it and another target has room. Otherwise it is tried again later: without that a
// call stayed for all of its route's 4 s at a target that had gone silent.
func (r *Router) hedge(id CallID, c *call, e *Effects) {
	s := c.service
	if c.held || c.streaming || c.probeRound.open || c.underWay() != 1 || c.spentAttempts() {
		return
	}
	if s.held.length > 0 || !r.leased() {
		r.hedgeLater(id, c)
		return
	}
	t := r.choose(s, c)
	if t == nil || !s.hedges.spend() {
		r.hedgeLater(id, c)
		return
	}
	r.place(id, c, t, HedgeSend, e)
}

// hedgeLater has a call that couldn't be hedged now looked at again.
func (r *Router) hedgeLater(id CallID, c *call) {
	r.timers.Push(timer{at: r.now.Add(c.hedgeDelay()), call: id, kind: hedgeTimer})
}

// release ends an attempt's claim on its target.
func (r *Router) release(c *call, a *attempt, e *Effects) {
	t := a.target
	t.unlink(a)
	r.attemptOver(a)
	if a.loan != nil {
		r.endLoanUse(a.loan, e)
	}
	a.target = nil
	a.loan = nil
	r.freed = append(r.freed, t.service)
}

// cancelTime is how long a target may take to learn that a call was canceled;
// until then the call still counts against the target's limit.
const cancelTime = 10 * time.Millisecond

// cancel ends an attempt whose answer nobody wants any more.
func (r *Router) cancel(id CallID, c *call, a *attempt, e *Effects) {
	t := a.target
	e.add(Effect{Kind: Cancel, Call: id, Owner: c.owner, Attempt: a.number, Endpoint: t.endpoint})
	if t.share.value < unlimited && a.loan == nil {
		t.cooling++
		r.timers.Push(timer{at: r.now.Add(cancelTime), kind: coolTimer, target: t})
	}
	if a.loan != nil {
		a.loan.coolUntil = r.now.Add(cancelTime)
	}
	r.release(c, a, e)
}

func (r *Router) attemptStarted(v *AttemptStarted, e *Effects) {
	c := r.calls.Get(v.Call)
	if c == nil {
		return
	}
	a := c.find(v.Attempt)
	if a == nil || c.streaming {
		return
	}
	c.streaming = true
	r.answerBegins(c, a, v.Coming)
	a.target.takeReading(r.now, v.Reading)
	e.add(Effect{Kind: Deliver, Call: v.Call, Owner: c.owner, Attempt: v.Attempt, Endpoint: a.target.endpoint})
	r.cancelOthers(v.Call, c, a, e)
	c.endProbing()
}

// endProbing ends a call's probing for a second send, which an answer that passes through
// makes needless. Sent all the same, it would count at its target for ever.
func (c *call) endProbing() {
	if !c.probeRound.open {
		return
	}
	c.probeRound.open = false
	if c.probeRound.purpose == HedgeSend {
		c.service.hedges.refund()
	}
}

func (r *Router) cancelOthers(id CallID, c *call, winner *attempt, e *Effects) {
	for i := range c.attempts {
		a := &c.attempts[i]
		if a == winner || a.target == nil {
			continue
		}
		// A loser that is overdue says something about its target.
		a.target.latency.add(r.timeAtTarget(c, a))
		r.cancel(id, c, a, e)
	}
}

func (r *Router) attemptEnded(v *AttemptEnded, e *Effects) {
	c := r.calls.Get(v.Call)
	if c == nil {
		return
	}
	a := c.find(v.Attempt)
	if a == nil {
		return
	}
	took := r.timeAtTarget(c, a)
	t := a.target
	if v.Result == Answered {
		c.route.noteShort(a)
	}
	if a.atPace && v.Result == Answered {
		t.noteTime(r.now, c.route, took, a)
	}
	r.learn(t, v, took, e)
	r.release(c, a, e)
	if c.streaming {
		r.streamEnded(v, c)
		return
	}
	switch v.Result {
	case Answered:
		r.deliver(v, c, t, e)
	case Failed:
		c.mayHaveRun = true
		r.failedAnswer(v, c, t, e)
	case Shed, Misdirected:
		r.resend(v.Call, c, TargetShed, e)
	case NotSent:
		c.arrivals--
		r.resend(v.Call, c, RetriesSpent, e)
	case Broken, Canceled:
		c.mayHaveRun = true
		r.brokenAnswer(v.Call, c, e)
	}
}

// learn takes what an attempt's end says about its target.
func (r *Router) learn(t *target, v *AttemptEnded, took time.Duration, e *Effects) {
	t.takeReading(r.now, v.Reading)
	if v.Reading.Cold > 0 {
		r.turnCold(t, v.Reading.Cold)
	}
	t.lastHeard = r.now
	turned := false
	switch v.Result {
	case Answered:
		t.noteTrial(r.now, true)
		t.answers++
		t.noteFailure(r.now, 0)
		t.service.noteReport(v.Reading)
		t.latency.add(took)
		t.service.latency.add(took)
		t.grow()
		turned = t.health.succeeded(r.now)
	case Failed, Broken:
		t.failures++
		t.noteFailure(r.now, 1)
		turned = t.health.failed(r.now)
	case NotSent:
		t.noteTrial(r.now, false)
		t.failures++
		turned = t.health.unreachable(r.now)
	case Misdirected:
		t.sheds++
		turned = t.health.misdirected(r.now)
	case Shed:
		t.sheds++
		if t.row.Registered && r.on(FailingTargets) && t.knownRoom(r.now) {
			// It isn't full, so that leaving it alone for a while would help nobody.
			t.noteFailure(r.now, 1)
			break
		}
		t.reading.contradicted()
		t.shrink()
		t.notBefore = r.now.Add(max(v.RetryAfter, t.latency.mean()/2))
	}
	if turned {
		r.healthTurned(t, e)
	}
}

// healthTurned does what follows when a target was ejected or has come back.
func (r *Router) healthTurned(t *target, e *Effects) {
	t.service.weigh(r.now)
	r.sweepBy(t.service, r.now)
	e.add(Effect{Kind: TargetTurned, Endpoint: t.endpoint, Ejected: t.health.ejected, Failures: t.health.failures})
}

func (r *Router) streamEnded(v *AttemptEnded, c *call) {
	c.reset()
	r.calls.Release(v.Call)
}

func (r *Router) deliver(v *AttemptEnded, c *call, t *target, e *Effects) {
	e.add(Effect{Kind: Deliver, Call: v.Call, Owner: c.owner, Attempt: v.Attempt, Endpoint: t.endpoint})
	r.finish(v.Call, c, e)
}

// failedAnswer deals with a whole answer that reports a server error: a
// repeatable call may be tried elsewhere, any other gets the answer as it is.
func (r *Router) failedAnswer(v *AttemptEnded, c *call, t *target, e *Effects) {
	if c.stillTrying() || c.route.work == table.Repeatable && r.retry(v.Call, c, false, e) {
		r.keep(v, c, t, e)
		return
	}
	r.deliver(v, c, t, e)
}

// keep has a failed answer kept while the call is tried elsewhere; the first one is enough.
func (r *Router) keep(v *AttemptEnded, c *call, t *target, e *Effects) {
	if c.kept.endpoint != nil {
		return
	}
	c.kept = keptAnswer{attempt: v.Attempt, endpoint: t.endpoint}
	e.add(Effect{Kind: Keep, Call: v.Call, Owner: c.owner, Attempt: v.Attempt, Endpoint: t.endpoint})
}

// deliverKept ends a call with the failed answer that was kept: it was there, and a refusal
// would say less.
func (r *Router) deliverKept(id CallID, c *call, e *Effects) {
	e.add(Effect{Kind: Deliver, Call: id, Owner: c.owner, Attempt: c.kept.attempt, Endpoint: c.kept.endpoint})
	r.finish(id, c, e)
}

// brokenAnswer deals with a call whose fate at the target isn't known.
func (r *Router) brokenAnswer(id CallID, c *call, e *Effects) {
	if c.stillTrying() {
		return
	}
	if c.route.work == table.Repeatable && r.retry(id, c, false, e) {
		return
	}
	r.refuse(id, c, Refusal{Reason: AttemptBroken, Outcome: c.outcome(), RetryAfter: c.service.retryAfter()}, e)
}

// retry sends a call again to another target, if the budget allows it. A retry is free
// when nothing of the call can have arrived anywhere.
func (r *Router) retry(id CallID, c *call, free bool, e *Effects) bool {
	if !r.on(Retrying) || c.spentAttempts() || !r.leased() || c.service.held.length > 0 {
		return false
	}
	t := r.choose(c.service, c)
	if t == nil || !free && !c.service.spendRetry() {
		return false
	}
	r.place(id, c, t, RetrySend, e)
	return true
}

// spendRetry takes what a retry costs. A call that failed is worth more than a hedge, so
// the budget for hedges stands in when that for retries is spent.
func (s *service) spendRetry() bool {
	return s.retries.spend() || s.row.HedgeBudget > 0 && s.hedges.spend()
}

// resend deals with an attempt that the target certainly didn't run. Any kind
// of work may be sent again then.
func (r *Router) resend(id CallID, c *call, reason Reason, e *Effects) {
	if c.stillTrying() {
		return
	}
	if r.retry(id, c, reason == RetriesSpent, e) {
		return
	}
	if c.route.work == table.Patient && r.holdAgain(id, c, e) {
		return
	}
	r.refuse(id, c, Refusal{Reason: reason, Outcome: c.outcome(), RetryAfter: r.resendRetryAfter(c.service, reason)}, e)
}

// shedRetry is when the caller of a call that targets with room shed may come back: the next
// target may take it, and waiting would only make the answer late. While all targets of a
// service shed 55 in 100 calls, 68 in 100 calls (those of other services among them) were
// answered in aim with a pause of 100 ms, and 72 with this one.
const shedRetry = 5 * time.Millisecond

// resendRetryAfter is when the caller of a call that no target took may come back.
func (r *Router) resendRetryAfter(s *service, reason Reason) time.Duration {
	if reason == TargetShed && !s.isCrowded(r.now) && s.held.length == 0 {
		return shedRetry
	}
	return s.retryAfter()
}

// holdAgain puts a patient call back at the front of those held, as long as it
// may be held at all.
func (r *Router) holdAgain(id CallID, c *call, e *Effects) bool {
	s := c.service
	until := min(c.deadline, c.arrived.Add(s.row.HoldLimit))
	if r.now >= until || s.held.length >= s.row.HoldCount {
		return false
	}
	c.held = true
	c.tries = 0
	s.held.pushFront(id)
	r.sweepBy(s, r.now.Add(sweepPeriod))
	r.timers.Push(timer{at: until, call: id, kind: holdTimer})
	r.askForLoans(s, e)
	return true
}
