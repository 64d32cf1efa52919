package routing

import (
	"cmp"
	"time"
)

// Targets' load shifts faster than answers report it. Before a call is sent, the box may
// probe a few targets and send the call to the best of them. Probes draw on the measuring
// budget; without budget the box chooses by the readings that it has.

const (
	// probeTimeout is how long a call waits for the answers to its probes at the most, besides
	// the extra round trip to targets in other failure domains.
	probeTimeout = 12 * time.Millisecond
	// hedgeProbeTimeout is how long a hedge waits for them: its call is under way, so that
	// nothing is lost by waiting, and given up too soon the probes are spent for nothing.
	hedgeProbeTimeout = 100 * time.Millisecond
	// maxProbesPerSend bounds the targets that are probed for one send.
	maxProbesPerSend = 4
	// freshReadingAge is the age up to which a reading is as good as a new one.
	freshReadingAge = 30 * time.Millisecond
	// probeBurstTime is for how long a box may save up its part of the budget: probes are
	// worth most in the seconds in which many calls come. leastSavedUp is what it may save
	// up however small the part is, in probes.
	probeBurstTime = 4 * time.Second
	minProbeBurst  = 8
)

// maxGoodPace is the expected pace up to which a target is as good as any.
const maxGoodPace = 1.5

// Purpose is what a send is for.
type Purpose uint8

// The purposes of a send.
const (
	FirstSend Purpose = iota
	RetrySend
	HedgeSend
)

// String returns the word that logs show.
func (p Purpose) String() string { return [...]string{"first", "retry", "hedge"}[p] }

// probeRound is a call's present round of probes.
type probeRound struct {
	active  bool
	number  AttemptNumber
	pending int
	purpose Purpose
	// queued is set once the call stands among its service's queued ones.
	queued bool
	// rounds counts the rounds of probes that were sent.
	rounds int
}

// sendOrProbe sends a call to the target that seems best, or probes a few first.
func (r *Router) sendOrProbe(id CallID, c *call, best *target, why Purpose, e *Effects) {
	if !r.enabled(Probing) || !c.service.probesTargets() || best.notice.isLimited() || best.hasFreshReading(r.now) && r.isSuitable(c, best) || r.mayGoUnprobed(c, best) {
		r.send(id, c, best, why, e)
		return
	}
	c.probeRound.purpose = why
	c.probeRound.queued = false
	r.dropFinishedWaiting(c.service)
	if len(c.service.waiting) >= maxProbingCalls || !r.sendProbes(id, c, e) {
		if !c.service.isBusy(r.now) && !best.hasFreshReading(r.now) && !r.requiresKnownFreeSlot(c) {
			r.send(id, c, best, why, e)
			return
		}
		c.probeRound.active = true
		r.waitForTarget(id, c)
		r.requestPermits(c.service, c, 1, e)
	}
	if why == FirstSend {
		e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	}
}

// maxUnreported is how many answers in a row without a load report show that a service's
// targets send none.
const maxUnreported = 8

// recordReport notes whether an answer carried a load report.
func (s *service) recordReport(x Reading) {
	if x.Known {
		s.unreported = 0
		return
	}
	s.unreported++
}

// probesTargets tells whether targets are probed before a call is sent. Those that send no
// load reports aren't; the latency of their answers decides then, until one sends a report.
func (s *service) probesTargets() bool {
	return s.row.ProbeTargets > 0 && s.unreported < maxUnreported
}

// sendProbes probes the best targets; false means that there is none to probe or no budget
// for it.
func (r *Router) sendProbes(id CallID, c *call, e *Effects) bool {
	probed := r.targetsToProbe(c, min(c.service.row.ProbeTargets, maxProbesPerSend))
	if len(probed) < 1 || !r.spendProbeBudget(c.service, len(probed)) {
		return false
	}
	c.probeRound.active = true
	c.probeRound.number++
	c.probeRound.pending = len(probed)
	c.probeRound.rounds++
	limit := probeTimeout
	for _, t := range probed {
		limit = max(limit, t.probeTimeout())
		r.probe(id, c, t, c.probeRound.number, e)
	}
	if c.probeRound.purpose == HedgeSend {
		limit = max(limit, hedgeProbeTimeout)
	}
	r.timers.Push(timer{at: r.now.Add(limit), call: id, kind: probeTimer, probeRound: c.probeRound.number})
	return true
}

// probe probes a target for a call.
func (r *Router) probe(id CallID, c *call, t *target, number AttemptNumber, e *Effects) {
	t.recordProbeSent(r.now)
	e.add(Effect{
		Kind: Probe, PermitUntil: r.usePermit(t), Call: id, Owner: c.owner, Attempt: number, Endpoint: t.endpoint, NotAfter: r.notAfterOf(t),
		Connections: t.maxConnections, ProbePath: c.service.row.ProbePath,
	})
}

// spendProbeBudget takes n probes of a service's targets off the budget, or none.
func (r *Router) spendProbeBudget(s *service, n int) bool {
	rate := r.probeBudgetRate(s)
	burst := max(minProbeBurst, rate*probeBurstTime.Seconds())
	return s.probeBudget.takeN(r.now, float64(n), rate, burst)
}

// probeBudgetRate is how many probes a second this box may send to a service's targets.
func (r *Router) probeBudgetRate(s *service) float64 {
	rate := 0.0
	for _, t := range s.targets {
		if t.side <= onTrial {
			rate += r.probeRate(s, t)
		}
	}
	return rate
}

// targetsToProbe returns up to n available targets of the least cost that are worth a probe:
// the answer of one that was probed a moment ago serves all calls. The slice is used again
// by the next call.
func (r *Router) targetsToProbe(c *call, n int) []*target {
	from := r.callSide(c.service, c)
	set := candidates{
		service: c.service, now: r.now, call: c, anyHealth: r.anyHealth(c.service, c) && from != onTrial, fresh: c.sendsSinceHeld > 0,
		side: from,
	}
	r.best = r.best[:0]
	// Targets of the same cost come up in a random order, so that the boxes don't all probe
	// the same ones.
	targets := c.service.targets
	start := r.random.IntN(max(1, len(targets)))
	for k := range targets {
		i := (start + k) % len(targets)
		t := targets[i]
		// At a target that names a limit a probe would cost as much as the call.
		if t.notice.isLimited() || !set.Available(i) && !set.onlyInDoubt(i) || t.hasFreshReading(r.now) || t.hasProbeInFlight(r.now) {
			continue
		}
		if t.lastProbedAt != 0 && r.now.Sub(t.lastProbedAt) < t.probeTimeout() {
			continue
		}
		t.rankingCost = t.cost(r.now, c.route)
		r.best = insertByCost(r.best, t, n)
	}
	return r.best
}

// insertByCost keeps the n targets of the least cost, in order.
func insertByCost(best []*target, t *target, n int) []*target {
	i := len(best)
	for i > 0 && t.rankingCost < best[i-1].rankingCost {
		i--
	}
	if i >= n {
		return best
	}
	if len(best) < n {
		best = append(best, nil)
	}
	copy(best[i+1:], best[i:])
	best[i] = t
	return best
}

// probeAnswered takes an answer to a call's probe. A target that suits ends the wait; the
// other answers only add readings.
func (r *Router) probeAnswered(v *ProbeEnded, t *target, e *Effects) {
	c := r.calls.Get(v.Call)
	if c == nil || !c.probeRound.active || c.probeRound.number != v.Attempt {
		r.shareProbeAnswer(t)
		if c != nil && v.Attempt == overdueProbe {
			r.abandonUnanswered(v.Call, c, e)
		}
		return
	}
	c.probeRound.pending--
	if c.probeRound.pending == 0 || t != nil && t.hasFreshReading(r.now) && r.isSuitable(c, t) {
		r.concludeProbing(v.Call, c, e)
	}
}

// concludeProbing sends the call to what is now the best target, if that suits; else it
// probes others a moment later, as long as the call can wait.
func (r *Router) concludeProbing(id CallID, c *call, e *Effects) {
	wasOnTrial := c.onNewVersion
	t := r.choose(c.service, c)
	if wasOnTrial && (!c.onNewVersion || !r.isSuitable(c, t)) {
		r.leaveNewVersion(id, c, e)
		return
	}
	if t == nil && c.inFlight() == 0 && !c.service.canServe(c, r.now) {
		r.refuseWaitingCall(c.service, id, e)
		return
	}
	if c.probeRound.purpose != FirstSend && t != nil && !r.isSuitable(c, t) {
		t = cmp.Or(r.bestSuitable(c), t)
	}
	late := c.aimFractionUsed(r.now) >= c.service.waitFraction(r.now) || !r.enabled(Waiting)
	if t != nil && (r.isSuitable(c, t) || late && r.acceptsUnsuitable(c)) {
		c.probeRound.active = false
		if !c.probeRound.queued {
			c.service.recordTargetFound(r.now, true)
		}
		r.send(id, c, t, c.probeRound.purpose, e)
		return
	}
	if !late || r.isOverdue(c) {
		r.waitForTarget(id, c)
		r.requestPermits(c.service, c, 1, e)
		return
	}
	c.probeRound.active = false
	if c.inFlight() > 0 {
		if c.probeRound.purpose == HedgeSend {
			c.service.hedges.refund()
			r.scheduleHedge(id, c)
		}
		return
	}
	r.refuse(id, c, Refusal{Reason: TargetsBusy, Outcome: c.outcome(), RetryAfter: r.busyRetryAfter(c.service)}, e)
}

// leaveNewVersion has a call that finds no room at the new version go to the others, as a new call
// would.
func (r *Router) leaveNewVersion(id CallID, c *call, e *Effects) {
	c.onNewVersion = false
	if t := r.choose(c.service, c); t != nil && t.hasFreshReading(r.now) && r.isSuitable(c, t) || !r.sendProbes(id, c, e) {
		r.concludeProbing(id, c, e)
	}
}

// bestSuitable is the target of the least cost among those that suit a call, or nil. A call
// that is late takes a nearly full target that is known rather than wait for a better one.
func (r *Router) bestSuitable(c *call) *target {
	set := candidates{
		service: c.service, now: r.now, call: c, anyHealth: r.anyHealth(c.service, c), fresh: true, side: r.callSide(c.service, c),
	}
	var best *target
	for i, t := range c.service.targets {
		if !set.Available(i) || !r.isSuitable(c, t) {
			continue
		}
		if best == nil || t.cost(r.now, c.route) < best.cost(r.now, c.route) {
			best = t
		}
	}
	return best
}

// probeTimerFired goes on without the answers that haven't come, or probes again.
func (r *Router) probeTimerFired(id CallID, c *call, e *Effects) {
	if r.sendUnprobed(id, c, e) {
		return
	}
	r.dropFinishedWaiting(c.service)
	if c.probeRound.pending > 0 || !c.service.mayProbe(id) || !r.sendProbes(id, c, e) {
		r.concludeProbing(id, c, e)
	}
}
