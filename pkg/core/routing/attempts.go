package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// send starts an attempt of a call at a target.
func (r *Router) send(id CallID, c *call, t *target, purpose Purpose, e *Effects) {
	hedge := purpose == HedgeSend
	selection := r.selectionFor(t)
	a := c.freeAttempt()
	c.sends++
	c.possibleArrivals++
	c.triedTargets[c.sendsSinceHeld%maxSends] = t
	c.sendsSinceHeld++
	// A call that the new version fails is retried at the old one.
	c.onNewVersion = false
	*a = attempt{
		number: c.sends, target: t, sent: r.now, hedge: hedge, typicalTime: c.route.knownTypicalTime(),
		atUsualPace: t.report.Pace > 0 && t.expectedPace(r.now) < maxGoodPace,
		nearlyFull:  t.load(r.now)+1 >= nearlyFullUtilization*t.slots(),
		cold:        t.isCold(r.now),
		callsAhead:  t.load(r.now), answerTimeout: c.answerTimeout(t, r.now), overtakenTimeout: c.overtakenTimeout(t, r.now),
		streamsBody: c.streamedBody,
	}
	a.permitUntil = r.usePermit(t)
	a.limitVersion = t.limitState().Version
	if !t.hasOwnFreeSlot() {
		a.loan = t.freeLoan(r.now)
		if a.loan != nil {
			a.loan.inUse = true
		}
	}
	r.expectInbound(c.route, a)
	t.addAttempt(a)
	t.countSend()
	t.sends++
	t.sentSinceReport++
	if t.row.MaxRate > 0 {
		t.callBucket.take(r.now, t.rateShare.value, rateBurst)
	}
	t.countColdSend(r.now)
	e.add(Effect{
		Kind: Send, Call: id, Owner: c.owner, Attempt: a.number, Endpoint: t.endpoint,
		Deadline: c.deadline, NotAfter: r.targetSelectionExpiry(t), Connections: t.maxConnections, AtMostOnce: c.route.work == table.AtMostOnce,
		PermitUntil: a.permitUntil, Purpose: purpose, Selection: selection, LatencyObjective: c.route.latencyObjective, LargeAnswer: c.route.largeAnswers,
		Workspace: c.workspaceName(),
	})
	hedged := !hedge && r.isHedged(c)
	if hedged {
		r.timers.Push(timer{at: r.now.Add(c.hedgeDelay()), call: id, kind: hedgeTimer})
	}
	if !hedged || a.answerTimeout < c.hedgeDelay() {
		r.scheduleOverdueCheck(id, c, a)
	}
}

// selectionFor returns the estimates of a target's state on which a send is based.
func (r *Router) selectionFor(t *target) Selection {
	x := Selection{
		Load: t.load(r.now), Pace: t.expectedPace(r.now), Slowdown: t.currentSlowdown(r.now), ReportAge: -1,
		Revision: r.table.Revision,
	}
	if t.report.HasLoad {
		x.ReportAge = r.now.Sub(t.report.receivedAt)
	}
	return x
}

// release frees an attempt's slot at its target.
func (r *Router) release(c *call, a *attempt, e *Effects) {
	t := a.target
	t.removeAttempt(a)
	r.releaseInbound(a)
	if a.loan != nil {
		r.releaseLoan(a.loan, e)
	}
	a.target = nil
	a.loan = nil
	r.freedServices = append(r.freedServices, t.service)
}

// cancelDelay is how long a target may take to notice that a call was canceled; until then the call
// still occupies a slot of the target's limit.
const cancelDelay = 10 * time.Millisecond

// cancel cancels an attempt whose answer is no longer needed.
func (r *Router) cancel(id CallID, c *call, a *attempt, e *Effects) {
	t := a.target
	e.add(Effect{Kind: Cancel, Call: id, Owner: c.owner, Attempt: a.number, Endpoint: t.endpoint})
	if t.inFlightShare.value < unlimited && a.loan == nil {
		t.cancelingSlots++
		r.timers.Push(timer{at: r.now.Add(cancelDelay), kind: canceledSlotTimer, target: t})
	}
	if a.loan != nil {
		a.loan.cooldownUntil = r.now.Add(cancelDelay)
	}
	r.release(c, a, e)
}

// findAttempt returns a call and its attempt; nil for one that has ended.
func (r *Router) findAttempt(id CallID, n AttemptNumber) (*call, *attempt) {
	c := r.calls.Get(id)
	if c == nil {
		return nil, nil
	}
	return c, c.findAttempt(n)
}

// attemptStarted starts streaming an answer whose head has been received, and cancels the call's
// other attempts.
func (r *Router) attemptStarted(v *AttemptStarted, e *Effects) {
	c, a := r.findAttempt(v.Call, v.Attempt)
	if v.Endpoint != nil && v.Endpoint.Relay != "" {
		if c != nil && c.relay.number == v.Attempt {
			r.relayStarted(v, c, e)
		}
		return
	}
	r.handleNotice(v.Endpoint, v.Report, false, a.limitVersionAtSend(), e)
	if a == nil || c.streaming {
		return
	}
	c.streaming = true
	a.bodyTime = v.BodyTime
	// The shell may release the request once its answer is streamed.
	c.identity = nil
	r.recordHeard(a.target, false, e)
	r.recordNoLimit(a, v.Report.Limit, e)
	r.recordAnswerStart(c, a, v.Remaining)
	a.target.recordReport(r.now, v.Report)
	e.add(Effect{Kind: Deliver, Call: v.Call, Owner: c.owner, Attempt: v.Attempt, Endpoint: a.target.endpoint})
	r.cancelOthers(v.Call, c, a, e)
	r.cancelRelay(v.Call, c, e)
	c.endProbing()
}

// endProbing ends a call's probing for a further send, which is unnecessary once an answer is being
// streamed. If the call were sent all the same, it would count as in flight at its target forever.
func (c *call) endProbing() {
	if !c.probeRound.active {
		return
	}
	c.probeRound.active = false
	if c.probeRound.purpose == HedgeSend {
		c.service.hedges.refund()
	}
}

// cancelOthers cancels the other attempts of a call once one is being answered, and updates the
// estimates of their targets.
func (r *Router) cancelOthers(id CallID, c *call, winner *attempt, e *Effects) {
	r.recordVersionOvertaken(c, winner)
	for i := range c.attempts {
		a := &c.attempts[i]
		if a == winner || a.target == nil {
			continue
		}
		// An overdue attempt that is canceled is still a latency sample of its target.
		a.target.latency.add(r.timeAtTarget(c, a))
		r.recordIfUnanswered(c, a, e)
		r.cancel(id, c, a, e)
	}
}

// attemptEnded updates the estimates of an attempt's target from its result, then delivers the
// answer or continues with the call.
func (r *Router) attemptEnded(v *AttemptEnded, e *Effects) {
	c, a := r.findAttempt(v.Call, v.Attempt)
	if c != nil {
		c.spendBody(v.Result)
	}
	if c != nil && c.relay.number != 0 && c.relay.number == v.Attempt {
		r.relayEnded(v, c, e)
		return
	}
	if v.Endpoint != nil && v.Endpoint.Relay != "" {
		return
	}
	r.handleNotice(v.Endpoint, v.Report, v.Result == Misdirected, a.limitVersionAtSend(), e)
	if a == nil {
		return
	}
	a.bodyTime = v.BodyTime
	took := r.timeAtTarget(c, a)
	t := a.target
	if v.Result == Answered {
		c.route.recordShortAnswer(a)
	}
	if a.atUsualPace && v.Result == Answered {
		t.recordAnswerTime(r.now, c.route, took, a)
	}
	if v.Result == Answered {
		r.recordNoLimit(a, v.Report.Limit, e)
	}
	if v.Result == NotSent || v.Result == Withheld {
		r.restorePermit(t, a.permitUntil, e)
	}
	r.recordContact(v, a, e)
	wasEjected := t.health.ejected
	if v.Result == Broken && r.recordIfUnanswered(c, a, e) {
		t.lastObservedAt = r.now
	} else {
		r.updateTarget(t, v, took, e)
	}
	r.recordResult(c, t, v.Result, took, t.health.ejected && !wasEjected, e)
	switch {
	case v.Result == Broken:
		r.recordBrokenCall(c, a, e)
	case v.Refused:
		r.recordConnectionRefused(t, e)
	case v.Result == Answered || v.Result == Failed:
		r.recordWatchedAnswer(c, e)
		r.clearSuspicion(c, e)
	}
	if v.Result == Answered || v.Result == Failed || v.Result == Shed {
		t.recordAnswer(r.now, a)
		t.recordAlive(r.now)
	}
	r.release(c, a, e)
	if c.streaming {
		r.streamEnded(v, c)
		return
	}
	switch v.Result {
	case Answered:
		r.deliver(v, c, t.endpoint, e)
	case Failed:
		c.mayHaveRun = true
		r.handleFailedAnswer(v, c, t, e)
	case Shed, Misdirected:
		r.resend(v.Call, c, TargetShed, e)
	case NotSent, Withheld:
		c.possibleArrivals--
		if v.Unreachable {
			c.unreachableSends++
		}
		r.resend(v.Call, c, NoTargetReached, e)
	case Broken, Canceled:
		c.mayHaveRun = true
		r.handleBrokenAttempt(v.Call, c, e)
	}
}

// recordContact records what the result of an attempt shows about the box's link to a target.
func (r *Router) recordContact(v *AttemptEnded, a *attempt, e *Effects) {
	t := a.target
	switch {
	case v.Result == Answered, v.Result == Failed, v.Result == Shed, v.Result == Misdirected:
		r.recordHeard(t, false, e)
	case v.Result == Broken:
		r.recordContactFailed(t, r.now, e)
	case v.Unreachable:
		r.recordContactFailed(t, a.sent, e)
	}
}

// updateTarget updates a target's state from the result of an attempt.
func (r *Router) updateTarget(t *target, v *AttemptEnded, took time.Duration, e *Effects) {
	if v.Result == Withheld {
		return
	}
	t.recordReport(r.now, v.Report)
	if v.Report.HasLoad {
		// The attempt that has ended still counts as in flight here.
		t.service.traffic.record(r.now, float64(t.inFlight-1), v.Report.InFlight)
	}
	if v.Report.Cold > 0 {
		r.markCold(t, v.Report.Cold)
	}
	t.lastObservedAt = r.now
	changed := false
	switch v.Result {
	case Answered:
		t.recordReachability(r.now, true)
		t.answers++
		t.updateFailureRate(r.now, 0)
		t.service.recordReport(v.Report)
		t.latency.add(took)
		t.service.latency.add(took)
		t.growWindow()
		changed = t.health.recordSuccess(r.now)
	case Failed, Broken:
		t.failures++
		t.updateFailureRate(r.now, 1)
		changed = t.health.recordFailure(r.now)
	case NotSent:
		t.recordReachability(r.now, false)
		t.failures++
		changed = t.health.recordUnreachable(r.now)
	case Misdirected:
		t.sheds++
		changed = t.health.recordMisdirected(r.now)
	case Shed:
		t.sheds++
		if t.row.Registered && r.enabled(FailingTargets) && t.hasReportedFreeSlot(r.now) {
			// The target has free slots, so avoiding it for longer than the rest that it asked for
			// would not help.
			t.updateFailureRate(r.now, 1)
			break
		}
		t.report.reduceTrust()
		t.shrinkWindow()
		t.backoffUntil = max(t.backoffUntil, r.now.Add(t.latency.mean()/2))
	}
	if changed {
		r.healthChanged(t, e)
	}
}

// healthChanged recomputes the weights after a target was ejected or readmitted, and reports the
// change.
func (r *Router) healthChanged(t *target, e *Effects) {
	t.service.updateWeights(r.now)
	r.scheduleSweep(t.service, r.now)
	e.add(Effect{Kind: EjectionChanged, Endpoint: t.endpoint, Ejected: t.health.ejected, Failures: t.health.consecutiveFailures})
}

func (r *Router) streamEnded(v *AttemptEnded, c *call) {
	r.releaseCall(v.Call, c)
}

func (r *Router) deliver(v *AttemptEnded, c *call, x *Endpoint, e *Effects) {
	r.recordVersionOvertaken(c, nil)
	e.add(Effect{Kind: Deliver, Call: v.Call, Owner: c.owner, Attempt: v.Attempt, Endpoint: x, RelaysInFlight: r.relays.inFlight})
	r.finish(v.Call, c, e)
}

// handleFailedAnswer handles a complete answer that reports a server error: a repeatable call may
// be retried at another target, any other call gets the answer as it is.
func (r *Router) handleFailedAnswer(v *AttemptEnded, c *call, t *target, e *Effects) {
	if c.hasPendingSend() || c.route.work == table.Repeatable && r.retry(v.Call, c, false, e) {
		r.keepAnswer(v, c, t, e)
		return
	}
	r.deliver(v, c, t.endpoint, e)
}

// keepAnswer has the shell keep a failed answer while the call is retried at another target. Only
// the first one is kept.
func (r *Router) keepAnswer(v *AttemptEnded, c *call, t *target, e *Effects) {
	if c.kept.endpoint != nil {
		return
	}
	c.kept = keptAnswer{attempt: v.Attempt, endpoint: t.endpoint}
	e.add(Effect{Kind: Keep, Call: v.Call, Owner: c.owner, Attempt: v.Attempt, Endpoint: t.endpoint})
}

// deliverKept ends a call with the failed answer that was kept: it has more information for the
// caller than a refusal.
func (r *Router) deliverKept(id CallID, c *call, e *Effects) {
	e.add(Effect{Kind: Deliver, Call: id, Owner: c.owner, Attempt: c.kept.attempt, Endpoint: c.kept.endpoint})
	r.finish(id, c, e)
}

// handleBrokenAttempt handles an attempt of which it isn't known whether the target ran it.
func (r *Router) handleBrokenAttempt(id CallID, c *call, e *Effects) {
	if c.hasPendingSend() {
		return
	}
	if c.route.work == table.Repeatable && r.retry(id, c, false, e) {
		return
	}
	r.refuse(id, c, Refusal{Reason: AttemptBroken, Outcome: c.outcome(), RetryAfter: c.service.retryAfter(r.now)}, e)
}
