package routing

import (
	"cmp"
	"time"
)

// Targets' load changes faster than answers report it. Before a call is sent, the box may probe a
// few targets and send the call to the best of them. Probes draw on the measurement budget; without
// budget the box chooses by the load reports that it has.

const (
	// probeTimeout is the longest time a call waits for the answers to its probes, in addition to
	// the extra round trip to targets in other failure domains.
	probeTimeout = 12 * time.Millisecond
	// hedgeProbeTimeout is the longest time a hedge waits for probe answers. Its call is already in
	// flight, so that waiting costs nothing, and probes that are given up too early are wasted.
	hedgeProbeTimeout = 100 * time.Millisecond
	// maxProbesPerSend bounds the targets that are probed for one send.
	maxProbesPerSend = 4
	// probeBurstTime is the time for which a box may save up its share of the probe budget: probes
	// are most useful in the seconds in which many calls arrive. minProbeBurst is the minimum size
	// of that token bucket, in probes.
	probeBurstTime = 4 * time.Second
	minProbeBurst  = 8
)

// maxGoodPace is the expected pace up to which targets are considered equally good.
const maxGoodPace = 1.5

// Purpose is why a call is sent to a target.
type Purpose uint8

// The purposes of a send.
const (
	FirstSend Purpose = iota
	RetrySend
	HedgeSend
	RelaySend
)

// String returns the purpose as logs show it.
func (p Purpose) String() string { return [...]string{"first", "retry", "hedge", "relay"}[p] }

// probeRound is the current round of probes of a call.
type probeRound struct {
	active  bool
	number  AttemptNumber
	pending int
	purpose Purpose
	// queued is set once the call is in its service's waiting list.
	queued bool
	// rounds counts the rounds in which probes were sent, probes the probes.
	rounds, probes int
	// limit is what last kept the call from probing.
	limit SearchLimit
}

// sendOrProbe sends a call to the target that seems best, or probes a few targets first.
func (r *Router) sendOrProbe(id CallID, c *call, best *target, purpose Purpose, e *Effects) {
	if !r.enabled(Probing) || !c.service.probesTargets() || best.notice.isLimited() || best.hasFreshReport(r.now) && r.isSuitable(c, best) || r.maySkipProbes(c, best) {
		r.send(id, c, best, purpose, e)
		return
	}
	c.probeRound.purpose = purpose
	c.probeRound.queued = false
	r.dropFinishedWaiting(c.service)
	if !r.joinProbing(c) || !r.sendProbes(id, c, e) {
		if !c.service.isBusy(r.now) && !best.hasFreshReport(r.now) && !r.requiresKnownFreeSlot(c) && !c.reachOf().isSuspected() {
			r.send(id, c, best, purpose, e)
			return
		}
		c.probeRound.active = true
		r.waitForTarget(id, c)
		r.requestPermits(c.service, c, 1, e)
		r.borrowCalls(c.service, e)
	}
	if purpose == FirstSend {
		e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	}
}

// joinProbing reports whether few enough other calls wait for the service that this one may probe.
func (r *Router) joinProbing(c *call) bool {
	if len(c.service.waiting) < maxProbingCalls {
		return true
	}
	c.limitSearch(OthersProbe)
	return false
}

// limitSearch records what keeps the call from probing now.
func (c *call) limitSearch(l SearchLimit) {
	c.probeRound.limit = l
	c.service.limitedSearches[l]++
}

// maxUnreported is the number of consecutive answers without a load report after which a service's
// targets are assumed to send none.
const maxUnreported = 8

// recordReport records whether an answer carried a load report.
func (s *service) recordReport(x TargetReport) {
	if x.HasLoad {
		s.answersWithoutReport = 0
		return
	}
	s.answersWithoutReport++
}

// probesTargets reports whether targets are probed before a call is sent. Targets that send no load
// reports aren't: the latency of their answers decides then, until one sends a report.
func (s *service) probesTargets() bool {
	return s.row.ProbeTargets > 0 && s.answersWithoutReport < maxUnreported
}

// sendProbes probes the best targets for a call. It returns false if there is no target to probe or
// no budget for it.
func (r *Router) sendProbes(id CallID, c *call, e *Effects) bool {
	probed := r.targetsToProbe(c, min(c.service.row.ProbeTargets, maxProbesPerSend))
	if len(probed) < 1 {
		c.limitSearch(r.probeCandidateLimit)
		return false
	}
	if !r.spendProbeBudget(c.service, len(probed), e) {
		c.limitSearch(ProbeBudgetSpent)
		return false
	}
	c.probeRound.active = true
	c.probeRound.number++
	c.probeRound.pending = len(probed)
	c.probeRound.rounds++
	c.probeRound.probes += len(probed)
	limit := probeTimeout
	for _, t := range probed {
		limit = max(limit, t.probeTimeout())
		r.probe(id, c, t, c.probeRound.number, e)
	}
	if r.mayBeCutOff(c) {
		limit += probeSilence - probeTimeout
	}
	if c.probeRound.purpose == HedgeSend {
		limit = max(limit, hedgeProbeTimeout)
	}
	r.timers.Push(timer{at: r.now.Add(limit), call: id, kind: probeTimer, probeRound: c.probeRound.number})
	return true
}

// roundsUntilSilence is the number of rounds of probes that a call has sent while none of the service's
// targets is heard before it waits until these count as silent: the box may be cut off, and needs no more to
// find that out.
const roundsUntilSilence = 2

// mayBeCutOff reports whether there is reason to think that the box is cut off from a call's targets.
func (r *Router) mayBeCutOff(c *call) bool {
	x := c.reachOf()
	return r.canRelay() && (x.failures > 0 || c.probeRound.rounds >= roundsUntilSilence && x.heardAt < c.arrived)
}

// probe sends a probe to a target for a call.
func (r *Router) probe(id CallID, c *call, t *target, number AttemptNumber, e *Effects) {
	t.recordProbeSent(r.now)
	x := r.newProbe(t)
	x.Call, x.Owner, x.Attempt, x.ProbePath = id, c.owner, number, c.service.row.ProbePath
	e.add(x)
}

// spendProbeBudget takes n probes from the service's probe budget, or none if there aren't as many
// left.
func (r *Router) spendProbeBudget(s *service, n int, e *Effects) bool {
	r.refillProbeBudget(s)
	ok := s.spendProbes(r.now, n)
	r.borrowProbes(s, e)
	return ok
}

// refillProbeBudget adds what the box's part of the service's probe budget has gained since the last
// time.
func (r *Router) refillProbeBudget(s *service) {
	rate := r.probeBudgetRate(s)
	s.probeBudget.refill(r.now, rate, max(minProbeBurst, rate*probeBurstTime.Seconds()))
}

// probeBudgetRate is the rate at which this box may probe a service's targets, in probes per
// second.
func (r *Router) probeBudgetRate(s *service) float64 {
	rate := 0.0
	for _, t := range s.targets {
		if t.role <= trialVersion {
			rate += r.probeRate(s, t)
		}
	}
	return rate
}

// targetsToProbe returns up to n available targets of the lowest cost that have no recent load
// report and no probe in flight, since probe answers are shared by all calls. If it returns none,
// probeCandidateLimit tells why. The slice is reused by the next call.
func (r *Router) targetsToProbe(c *call, n int) []*target {
	role := r.roleForCall(c.service, c)
	set := candidates{
		service: c.service, now: r.now, call: c, ignoreHealth: r.ignoresHealth(c.service, c) && role != trialVersion, excludeTried: c.sendsSinceHeld > 0,
		role: role,
	}
	r.probeCandidates = r.probeCandidates[:0]
	r.probeCandidateLimit = AllReported
	// Targets of the same cost are compared in a random order, so that the boxes don't all probe
	// the same ones.
	targets := c.service.targets
	start := r.random.IntN(max(1, len(targets)))
	for k := range targets {
		i := (start + k) % len(targets)
		t := targets[i]
		// At a target with an announced rate limit a probe would cost as much as the call.
		if t.notice.isLimited() || !set.Available(i) && !set.availableIfWarm(i) || t.hasFreshReport(r.now) {
			continue
		}
		if t.hasProbeInFlight(r.now) || t.lastProbedAt != 0 && r.now.Sub(t.lastProbedAt) < t.probeTimeout() {
			r.probeCandidateLimit = ProbesInFlight
			continue
		}
		t.rankingCost = t.cost(r.now, c.route)
		r.probeCandidates = insertByCost(r.probeCandidates, t, n)
	}
	return r.probeCandidates
}

// insertByCost inserts a target into a list of the n lowest costs, in order.
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

// probeAnswered handles the answer to a probe for a call. A suitable target ends the call's wait;
// other answers only add load reports.
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
	if c.probeRound.pending == 0 || t != nil && t.hasFreshReport(r.now) && r.isSuitable(c, t) {
		r.concludeProbing(v.Call, c, e)
	}
}

// concludeProbing sends the call to the target that is now the best, if that is suitable. Otherwise
// the call probes again after an interval, as long as it can wait.
func (r *Router) concludeProbing(id CallID, c *call, e *Effects) {
	r.recordSilentProbes(c.service, e)
	if c.isCutOff() {
		r.relayOrRefuse(id, c, e)
		return
	}
	wasOnNewVersion := c.onNewVersion
	t := r.choose(c.service, c)
	if wasOnNewVersion && (!c.onNewVersion || !r.isSuitable(c, t)) {
		r.leaveNewVersion(id, c, e)
		return
	}
	if t == nil && c.inFlight() == 0 && !c.service.canServe(c, r.now) {
		r.refuseWaitingCall(c.service, id, e)
		return
	}
	late := c.objectiveFractionUsed(r.now) >= c.service.waitFraction(r.now) || !r.enabled(Waiting)
	if t != nil && !r.isSuitable(c, t) && (c.probeRound.purpose != FirstSend || late && r.mayTakeAnySuitable(c.service)) {
		t = cmp.Or(r.bestSuitable(c), t)
	}
	if t != nil && (r.isSuitable(c, t) || late && r.acceptsUnsuitable(c)) {
		c.probeRound.active = false
		r.send(id, c, t, c.probeRound.purpose, e)
		return
	}
	if !late || r.isOverdue(c) {
		r.waitForTarget(id, c)
		r.requestPermits(c.service, c, 1, e)
		r.borrowCalls(c.service, e)
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
	r.refuse(id, c, Refusal{Reason: TargetsBusy, Outcome: c.outcome(), RetryAfter: r.busyRetryAfter(c.service), Search: r.describeTargets(c)}, e)
}

// leaveNewVersion sends a call that finds no suitable target of a rollout's new version to the
// other targets, like a new call.
func (r *Router) leaveNewVersion(id CallID, c *call, e *Effects) {
	c.onNewVersion = false
	if t := r.choose(c.service, c); t != nil && t.hasFreshReport(r.now) && r.isSuitable(c, t) || !r.sendProbes(id, c, e) {
		r.concludeProbing(id, c, e)
	}
}

// mayTakeAnySuitable reports whether a call whose time is up may go to any suitable target. While the
// service is busy, reports of targets at which other boxes send most calls are soon out of date, and a
// slot that becomes free is better used for a call that has just arrived.
func (r *Router) mayTakeAnySuitable(s *service) bool {
	return !s.isBusy(r.now) || s.traffic.isMostlyOwn(r.now)
}

// bestSuitable returns the suitable target of the lowest cost for a call, or nil. A call that is
// late is sent to a nearly full target with a known load rather than wait for a better one.
func (r *Router) bestSuitable(c *call) *target {
	set := candidates{
		service: c.service, now: r.now, call: c, ignoreHealth: r.ignoresHealth(c.service, c), excludeTried: true, role: r.roleForCall(c.service, c),
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

// probeTimerFired continues without the outstanding probe answers, or probes again.
func (r *Router) probeTimerFired(id CallID, c *call, e *Effects) {
	if r.sendUnprobed(id, c, e) {
		return
	}
	r.recordSilentProbes(c.service, e)
	if c.isCutOff() {
		r.relayOrRefuse(id, c, e)
		return
	}
	r.dropFinishedWaiting(c.service)
	if c.probeRound.pending > 0 || !r.mayProbeAgain(id, c) || !r.sendProbes(id, c, e) {
		r.concludeProbing(id, c, e)
	}
}
