package routing

import (
	"cmp"
	"time"
)

// Targets' load shifts faster than answers report it. Before a call is sent, the box may
// probe a few targets and send the call to the best of them. Probes draw on the measuring
// budget; without budget the box chooses by the readings that it has.

const (
	// probeLimit is how long a call waits for the answers to its probes at the most, besides
	// the extra round trip to targets in other failure domains.
	probeLimit = 12 * time.Millisecond
	// hedgeProbeLimit is how long a hedge waits for them: its call is under way, so that
	// nothing is lost by waiting, and given up too soon the probes are spent for nothing.
	hedgeProbeLimit = 100 * time.Millisecond
	// maxProbed bounds the targets that are probed for one send.
	maxProbed = 4
	// freshReading is the age up to which a reading is as good as a new one.
	freshReading = 30 * time.Millisecond
	// saveUpTime is for how long a box may save up its part of the budget: probes are
	// worth most in the seconds in which many calls come. leastSavedUp is what it may save
	// up however small the part is, in probes.
	saveUpTime   = 4 * time.Second
	leastSavedUp = 8
)

// goodPace is the expected pace up to which a target is as good as any.
const goodPace = 1.5

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
	open    bool
	number  AttemptNumber
	pending int
	purpose Purpose
	// waiting is set once the call stands among its service's waiting ones.
	waiting bool
	// rounds counts the rounds of probes that were sent.
	rounds int
}

// place sends a call to the target that seems best, or probes a few first.
func (r *Router) place(id CallID, c *call, best *target, why Purpose, e *Effects) {
	if !r.on(Probing) || !c.service.probesTargets() || best.notice.isLimited() || best.isFresh(r.now) && r.isSuitable(c, best) || r.mayGoUnprobed(c, best) {
		r.send(id, c, best, why, e)
		return
	}
	c.probeRound.purpose = why
	c.probeRound.waiting = false
	r.dropServed(c.service)
	if len(c.service.waiting) >= maxProbing || !r.sendProbes(id, c, e) {
		if !c.service.isBusy(r.now) && !best.isFresh(r.now) && !r.requiresKnownFreeSlot(c) {
			r.send(id, c, best, why, e)
			return
		}
		c.probeRound.open = true
		r.waitForTarget(id, c)
		r.seekPermits(c.service, c, 1, e)
	}
	if why == FirstSend {
		e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	}
}

// unreportedLimit is how many answers in a row without a load report show that a service's
// targets send none.
const unreportedLimit = 8

// noteReport notes whether an answer carried a load report.
func (s *service) noteReport(x Reading) {
	if x.Known {
		s.unreported = 0
		return
	}
	s.unreported++
}

// probesTargets tells whether targets are probed before a call is sent. Those that send no
// load reports aren't; the latency of their answers decides then, until one sends a report.
func (s *service) probesTargets() bool {
	return s.row.ProbeTargets > 0 && s.unreported < unreportedLimit
}

// sendProbes probes the best targets; false means that there is none to probe or no budget
// for it.
func (r *Router) sendProbes(id CallID, c *call, e *Effects) bool {
	probed := r.bestTargets(c, min(c.service.row.ProbeTargets, maxProbed))
	if len(probed) < 1 || !r.spendProbes(c.service, len(probed)) {
		return false
	}
	c.probeRound.open = true
	c.probeRound.number++
	c.probeRound.pending = len(probed)
	c.probeRound.rounds++
	limit := probeLimit
	for _, t := range probed {
		limit = max(limit, t.probeTimeout())
		r.probe(id, c, t, c.probeRound.number, e)
	}
	if c.probeRound.purpose == HedgeSend {
		limit = max(limit, hedgeProbeLimit)
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

// spendProbes takes n probes of a service's targets off the budget, or none.
func (r *Router) spendProbes(s *service, n int) bool {
	rate := r.probeAllowance(s)
	burst := max(leastSavedUp, rate*saveUpTime.Seconds())
	return s.probeBudget.takeMany(r.now, float64(n), rate, burst)
}

// probeAllowance is how many probes a second this box may send to a service's targets.
func (r *Router) probeAllowance(s *service) float64 {
	rate := 0.0
	for _, t := range s.targets {
		if t.side <= onTrial {
			rate += r.probeRate(s, t)
		}
	}
	return rate
}

// bestTargets returns up to n available targets of the least cost that are worth a probe:
// the answer of one that was probed a moment ago serves all calls. The slice is used again
// by the next call.
func (r *Router) bestTargets(c *call, n int) []*target {
	from := r.callSide(c.service, c)
	set := candidates{
		service: c.service, now: r.now, call: c, anyHealth: r.anyHealth(c.service, c) && from != onTrial, fresh: c.tries > 0,
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
		if t.notice.isLimited() || !set.Available(i) && !set.onlyInDoubt(i) || t.isFresh(r.now) || t.awaitsProbe(r.now) {
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
	if c == nil || !c.probeRound.open || c.probeRound.number != v.Attempt {
		r.shareAnswer(t)
		if c != nil && v.Attempt == overdueProbe {
			r.abandonUnanswered(v.Call, c, e)
		}
		return
	}
	c.probeRound.pending--
	if c.probeRound.pending == 0 || t != nil && t.isFresh(r.now) && r.isSuitable(c, t) {
		r.concludeProbing(v.Call, c, e)
	}
}

// concludeProbing sends the call to what is now the best target, if that suits; else it
// probes others a moment later, as long as the call can wait.
func (r *Router) concludeProbing(id CallID, c *call, e *Effects) {
	wasOnTrial := c.onTrial
	t := r.choose(c.service, c)
	if wasOnTrial && (!c.onTrial || !r.isSuitable(c, t)) {
		r.leaveTrial(id, c, e)
		return
	}
	if t == nil && c.underWay() == 0 && !c.service.canServe(c, r.now) {
		r.refuseWaiting(c.service, id, e)
		return
	}
	if c.probeRound.purpose != FirstSend && t != nil && !r.isSuitable(c, t) {
		t = cmp.Or(r.bestSuitable(c), t)
	}
	late := c.aimSpent(r.now) >= c.service.waitLimit(r.now) || !r.on(Waiting)
	if t != nil && (r.isSuitable(c, t) || late && r.acceptsUnsuitable(c)) {
		c.probeRound.open = false
		if !c.probeRound.waiting {
			c.service.noteFound(r.now, true)
		}
		r.send(id, c, t, c.probeRound.purpose, e)
		return
	}
	if !late || r.isOverdue(c) {
		r.waitForTarget(id, c)
		r.seekPermits(c.service, c, 1, e)
		return
	}
	c.probeRound.open = false
	if c.underWay() > 0 {
		if c.probeRound.purpose == HedgeSend {
			c.service.hedges.refund()
			r.hedgeLater(id, c)
		}
		return
	}
	r.refuse(id, c, Refusal{Reason: TargetsBusy, Outcome: c.outcome(), RetryAfter: r.busyRetryAfter(c.service)}, e)
}

// leaveTrial has a call that finds no room at the new version go to the others, as a new call
// would.
func (r *Router) leaveTrial(id CallID, c *call, e *Effects) {
	c.onTrial = false
	if t := r.choose(c.service, c); t != nil && t.isFresh(r.now) && r.isSuitable(c, t) || !r.sendProbes(id, c, e) {
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

// probeTimePassed goes on without the answers that haven't come, or probes again.
func (r *Router) probeTimePassed(id CallID, c *call, e *Effects) {
	if r.sendUnprobed(id, c, e) {
		return
	}
	r.dropServed(c.service)
	if c.probeRound.pending > 0 || !c.service.mayProbe(id) || !r.sendProbes(id, c, e) {
		r.concludeProbing(id, c, e)
	}
}
