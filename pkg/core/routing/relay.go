package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A box that is cut off from the targets of a call relays the call to another box. That one admits
// it like a call of its own: it chooses the target, keeps to limits, rests, regions and the retry
// budget, and returns a whole answer or a refusal. It never relays the call further. The relaying
// box has already checked the key, charged the quota and waited for a canary grant.

const (
	// maxRelays bounds the boxes that one call is relayed to, whatever their reasons to decline. Those
	// that are known to reach the targets decline rarely.
	maxRelays = 16
	// relayTrialRate, in calls per second, and relayTrialBurst, in calls, bound the calls that are
	// relayed before the box takes itself to be cut off.
	relayTrialRate  = 20
	relayTrialBurst = 20
	// maxRelayStaleness is for how long a box with an older table than the relaying one may be without
	// word that it is current.
	maxRelayStaleness = time.Second
	// unreachableRetryAfter is the least retry delay reported for a call that no box seems able to
	// serve.
	unreachableRetryAfter = 500 * time.Millisecond
	// minRelayTime is the least time that a call must have left to be relayed.
	minRelayTime = 5 * time.Millisecond
)

// RelayedCall is what a box that relays a call tells about it.
type RelayedCall struct {
	From units.BoxID
	// Elapsed is the time since the call arrived at that box.
	Elapsed time.Duration
	// Attempts is the number of targets that the call may still be sent to.
	Attempts int
	// Revision is that of the table by which the relaying box has admitted the call.
	Revision units.Revision
}

// relaySend is a relay of a call that is in flight. Its number is zero where there is none.
type relaySend struct {
	number   AttemptNumber
	helper   *helper
	endpoint *Endpoint
	// attempts is how many targets the other box may send the call to.
	attempts int
}

// relayState is a box's state on relayed calls, its own and those of other boxes.
type relayState struct {
	// others is the number of other boxes that may take calls.
	others int
	// helpers are the other boxes of which something is known. candidates are all those that may take
	// calls, domains their failure domains; nil until they are needed with the present list of boxes.
	helpers    map[units.BoxID]*helper
	candidates []*helper
	domains    []helperDomain
	// cuts are the targets that this box is cut off from, those least recently checked first. cutsSince
	// is when the first of them began, or one before that has ended since.
	cuts      []*reach
	cutsSince units.Instant
	checks    linkChecks
	search    helperSearch
	// heardAt is when any target was last heard, nextVerifyAt when this box may verify its links again on
	// request of others.
	heardAt, nextVerifyAt units.Instant
	trials                tokenBucket
	// inFlight counts other boxes' calls that this box has accepted.
	inFlight int
	status   RelayStatus
}

// RelayStatus counts relayed calls.
type RelayStatus struct {
	// Cuts counts how often the box was cut off from a service's targets.
	Cuts uint64 `json:"cuts"`
	// Sent counts the calls relayed to other boxes, by how they ended: Served, Declined by a box
	// that couldn't serve them either, or Failed on the way.
	Sent     uint64 `json:"sent"`
	Served   uint64 `json:"served"`
	Declined uint64 `json:"declined"`
	Failed   uint64 `json:"failed"`
	// Accepted counts other boxes' calls that were accepted here, Refused those that weren't.
	Accepted uint64 `json:"accepted"`
	Refused  uint64 `json:"refused"`
	// Queries counts the boxes asked which targets they reach.
	Queries uint64 `json:"queries"`
	// PassedOver counts the boxes that weren't chosen for a relay, by the reason, summed over all
	// choices.
	PassedOver StandingCounts `json:"passedOver"`
	// Boxes are the other boxes during a cut.
	Boxes []HelperStatus `json:"boxes,omitempty"`
	// InFlight is the number of other boxes' calls that are in flight here.
	InFlight int `json:"inFlight"`
}

// relayIfCutOff relays a call that has just arrived, or refuses it, if the box is cut off from its
// targets. It reports whether it did. A call of another box is refused on suspicion: a further box
// serves it sooner than this one finds out.
func (r *Router) relayIfCutOff(id CallID, c *call, e *Effects) bool {
	x := c.reachOf()
	if c.isRelayed() {
		r.recordPeerCutOff(c.relayedBy, x)
	}
	inDoubt := !x.cutOff && r.isInDoubt(x)
	if (x.cutOff || inDoubt) && !c.service.hasEligibleTarget(c) {
		// No box has a target for the call.
		return false
	}
	if inDoubt {
		// The call may not be able to bear being sent to a silent target to find out.
		x.begin(r.now)
		x.assumed = true
		r.cutBegan(x, e)
	}
	if !x.cutOff && !(c.isRelayed() && x.isSuspected()) {
		return false
	}
	r.timers.Push(timer{at: c.deadline, call: id, kind: deadlineTimer})
	if r.relay(id, c, x, e) {
		return true
	}
	if c.route.work == table.Patient && !c.isRelayed() {
		r.holdOrRefuse(id, c, e)
		return true
	}
	r.refuseUnreachable(id, c, x, e)
	return true
}

// refuseUnreachable refuses a call whose targets neither this box nor others seem to reach.
func (r *Router) refuseUnreachable(id CallID, c *call, x *reach, e *Effects) {
	after := minRetryAfter
	if x.unreachable {
		after = unreachableRetryAfter
	}
	jitter := 1 + retryAfterJitter*r.random.Float64()
	retryAfter := time.Duration(jitter * float64(after)).Round(time.Millisecond)
	r.refuseFinally(id, c, Refusal{Reason: Unreachable, Outcome: c.outcome(), RetryAfter: retryAfter, Helpers: r.survey(x)}, e)
}

// relayInsteadOfRefusal relays a call that would be refused for a reason that another box may not
// have, if targets have been lost.
func (r *Router) relayInsteadOfRefusal(id CallID, c *call, reason Reason, e *Effects) bool {
	if !relayableReasons[reason] {
		return false
	}
	x := c.reachOf()
	if x == nil || !x.isSuspected() && !(reason == NoTargetReached && c.unreachableSends >= contactsToSuspect) {
		return false
	}
	if !x.cutOff && !r.relays.trials.take(r.now, relayTrialRate, relayTrialBurst) {
		return false
	}
	return r.relay(id, c, x, e)
}

// declinesAsUnreachable reports whether a call of another box is refused as unreachable in place of a
// reason. A box that hasn't heard the targets since the call came can't tell busy ones from those that
// it doesn't reach.
func (c *call) declinesAsUnreachable(reason Reason) bool {
	if !c.isRelayed() || !relayableReasons[reason] || c.outcome() != NotRun {
		return false
	}
	x := c.reachOf()
	return x != nil && (x.cutOff || x.heardAt <= c.relayReceivedAt)
}

// relayableReasons are the reasons for a refusal that a box may give because it has lost targets.
var relayableReasons = [reasonCount]bool{
	TargetsBusy: true, NoTargetReached: true, WaitTooLong: true, HoldExpired: true, TooManyHeld: true, AttemptBroken: true,
}

// mayRelay reports whether a call may be relayed now.
func (r *Router) mayRelay(c *call) bool {
	switch {
	case !r.canRelay(), c.hasNoBodyLeft(), c.isRelayed(), c.relay.number != 0, c.streaming, c.isQuarantineTrial():
		return false
	case c.relays >= maxRelays, c.possibleArrivals >= c.maxAttempts(), c.inFlight() >= maxConcurrentAttempts:
		return false
	case !r.leased(), r.now.Add(minRelayTime) >= c.deadline:
		return false
	}
	return c.outcome() == NotRun || c.route.work == table.Repeatable
}

// relay relays a call to another box. It returns false if the call may not be relayed, or no box
// seems to reach its targets.
func (r *Router) relay(id CallID, c *call, x *reach, e *Effects) bool {
	if !r.mayRelay(c) || !r.mayResend(c) {
		return false
	}
	survey := r.survey(x)
	r.recordPassedOver(survey)
	r.setUnreachable(x, survey, e)
	h := r.chooseHelper(survey, c)
	if h == nil {
		return false
	}
	if c.outcome() != NotRun && !c.hasPaidForSend() && !c.service.spendRetry() {
		return false
	}
	c.held = false
	c.onNewVersion = false
	c.probeRound.active = false
	c.sends++
	if c.relays == 0 {
		c.firstRelayAt = r.now
	}
	c.relays++
	c.relay = relaySend{
		number: c.sends, helper: h, attempts: c.maxAttempts() - c.possibleArrivals,
		endpoint: &Endpoint{Service: c.service.row.Name, Address: h.box.Address, Domain: h.box.Domain, Relay: h.box.ID},
	}
	h.inFlight++
	r.relays.status.Sent++
	e.add(Effect{
		Kind: Send, Call: id, Helpers: survey, Owner: c.owner, Attempt: c.relay.number, Purpose: RelaySend, Workspace: c.workspaceName(),
		Endpoint: c.relay.endpoint,
		Relay:    RelayedCall{From: r.settings.Box, Elapsed: r.now.Sub(c.arrived), Attempts: c.relay.attempts, Revision: r.table.Revision},
		Deadline: c.deadline, NotAfter: r.selectionExpiry(), AtMostOnce: c.route.work == table.AtMostOnce,
		LatencyObjective: c.route.latencyObjective, LargeAnswer: c.route.largeAnswers,
	})
	return true
}

// hasPaidForSend reports whether the call is probing for a retry or hedge, whose token it has spent.
func (c *call) hasPaidForSend() bool { return c.probeRound.active && c.probeRound.purpose != FirstSend }

// setUnreachable sets whether the targets are taken as unreachable for every box. Deferred failures
// are then the targets' own, unless another box has served calls during the cut.
func (r *Router) setUnreachable(x *reach, v *HelperSurvey, e *Effects) {
	before := x.unreachable
	x.unreachable = x.cutOff && r.nobodyReaches(v)
	if x.unreachable && !before {
		e.add(Effect{Kind: SearchEnded, Reach: r.describeSearch(x)})
	}
	if x.unreachable && !x.othersReach() {
		r.countDeferredFailures(x, e)
	}
}

// relayAfterCuts relays the calls that the cuts which an event began concern.
func (r *Router) relayAfterCuts(e *Effects) {
	for len(r.newCuts) > 0 {
		x := r.newCuts[len(r.newCuts)-1]
		r.newCuts = r.newCuts[:len(r.newCuts)-1]
		r.relayPending(x, e)
	}
}

// relayPending relays the calls that wait for targets that the box is cut off from, and repeatable
// calls in flight there. Waiting calls that can't be relayed are refused, except patient ones.
func (r *Router) relayPending(x *reach, e *Effects) {
	var pending []CallID
	r.calls.Each(func(id CallID, c *call) {
		waits := c.held || c.probeRound.active && c.inFlight() == 0
		silent := c.route != nil && c.route.work == table.Repeatable && c.inFlight() == 1
		if c.service == x.service && (waits || silent) && c.regions.Equal(x.regions) {
			pending = append(pending, id)
		}
	})
	slices.Sort(pending)
	for _, id := range pending {
		if c := r.calls.Get(id); c != nil && c.isCutOff() {
			r.relayOrRefuse(id, c, e)
		}
	}
}

// relayOrRefuse relays a call that waits for targets that the box is cut off from, or refuses it. It
// leaves a patient call held, and one in flight where it is.
func (r *Router) relayOrRefuse(id CallID, c *call, e *Effects) {
	x := c.reachOf()
	switch {
	case r.relay(id, c, x, e):
	case c.inFlight() > 0:
		c.endProbing()
	case !c.held || c.route.work != table.Patient:
		r.refuseUnreachable(id, c, x, e)
	}
}

// relayEnded handles the end of a relay.
func (r *Router) relayEnded(v *AttemptEnded, c *call, e *Effects) {
	sent := c.relay
	x := c.reachOf()
	r.endRelay(c)
	if c.streaming {
		r.streamEnded(v, c)
		return
	}
	if v.HelperLoad >= 0 && (v.Result == Answered || v.Result == Declined) {
		sent.helper.load = v.HelperLoad
	}
	switch v.Result {
	case Answered:
		r.recordRelayServed(x, sent.helper, e)
		r.deliver(v, c, v.Endpoint, e)
	case Declined:
		r.relays.status.Declined++
		c.possibleArrivals += v.Declined.Arrivals
		c.mayHaveRun = c.mayHaveRun || v.Declined.Outcome == Unknown
		r.relayDeclined(v, c, x, sent.helper, e)
	case NotSent, Withheld:
		r.recordRelayFailed(sent.helper)
		r.relayAgain(v.Call, c, x, Refusal{Reason: Unreachable}, e)
	default:
		r.recordRelayFailed(sent.helper)
		c.mayHaveRun = true
		c.possibleArrivals += sent.attempts
		r.relayAgain(v.Call, c, x, Refusal{Reason: AttemptBroken}, e)
	}
}

// relayDeclined continues with a call that another box refused: with a further box if the reason is
// that box's own, else with its refusal.
func (r *Router) relayDeclined(v *AttemptEnded, c *call, x *reach, h *helper, e *Effects) {
	reason := v.Declined.Reason
	switch {
	case reason == Unreachable:
		h.recordDeclined(r.now, x.key())
	case reason == RelayLimit:
		h.fullUntil = r.now.Add(helperBusyTime)
	case tableReasons[reason]:
		h.avoidUntil = r.now.Add(helperFailureTime)
	case helperReasons[reason]:
		h.avoidUntil = r.now.Add(helperBusyTime)
	default:
		if c.inFlight() == 0 {
			r.refuseFinally(v.Call, c, Refusal{Reason: reason, Outcome: c.outcome(), RetryAfter: v.Declined.RetryAfter}, e)
		}
		return
	}
	r.relayAgain(v.Call, c, x, v.Declined, e)
}

// relayAgain relays a call to a further box, or refuses it.
func (r *Router) relayAgain(id CallID, c *call, x *reach, last Refusal, e *Effects) {
	if c.inFlight() > 0 || r.relay(id, c, x, e) {
		return
	}
	// What another box lacks is no answer to the caller: its table may not even have the route.
	if helperReasons[last.Reason] {
		r.refuseUnreachable(id, c, x, e)
		return
	}
	r.refuseFinally(id, c, Refusal{Reason: last.Reason, Outcome: c.outcome(), RetryAfter: max(last.RetryAfter, minRetryAfter)}, e)
}

// recordRelayFailed records that a relay failed on the way to another box or back.
func (r *Router) recordRelayFailed(h *helper) {
	r.relays.status.Failed++
	h.recordFailed(r.now)
}

// recordRelayServed records that another box reached the targets.
func (r *Router) recordRelayServed(x *reach, h *helper, e *Effects) {
	r.relays.status.Served++
	h.recordServed(r.now, x.key())
	if !x.cutOff {
		return
	}
	isFirst := x.unreachable || !x.othersReach()
	x.servedAt, x.unreachable = r.now, false
	if isFirst {
		r.survey(x)
		e.add(Effect{Kind: SearchEnded, Reach: r.describeSearch(x)})
	}
}

// relayStarted starts streaming the answer to a relayed call.
func (r *Router) relayStarted(v *AttemptStarted, c *call, e *Effects) {
	c.streaming = true
	c.identity = nil
	r.recordRelayServed(c.reachOf(), c.relay.helper, e)
	e.add(Effect{Kind: Deliver, Call: v.Call, Owner: c.owner, Attempt: v.Attempt, Endpoint: v.Endpoint})
	r.cancelAttempts(v.Call, c, e)
	c.endProbing()
}

// endRelay ends the relay in flight of a call, if there is one.
func (r *Router) endRelay(c *call) {
	if c.relay.number == 0 {
		return
	}
	c.relay.helper.inFlight--
	c.relay = relaySend{}
}

// cancelRelay cancels the relay in flight of a call, if there is one.
func (r *Router) cancelRelay(id CallID, c *call, e *Effects) {
	if c.relay.number == 0 {
		return
	}
	e.add(Effect{Kind: Cancel, Call: id, Owner: c.owner, Attempt: c.relay.number, Endpoint: c.relay.endpoint})
	r.endRelay(c)
}

// isRelayed reports whether another box relayed the call to this one.
func (c *call) isRelayed() bool { return c.relayedBy != "" }

// maxAttempts is the number of targets that the call may be sent to.
func (c *call) maxAttempts() int {
	if c.isRelayed() {
		return min(c.route.maxAttempts, c.grantedAttempts)
	}
	return c.route.maxAttempts
}

// acceptRelayed admits a call that another box has relayed, or refuses it.
func (r *Router) acceptRelayed(id CallID, c *call, v *CallArrived, e *Effects) {
	c.relayedBy, c.grantedAttempts = v.Relayed.From, v.Relayed.Attempts
	c.relayReceivedAt = r.now
	c.arrived = r.now.Add(-v.Relayed.Elapsed)
	r.relays.inFlight++
	if reason, retryAfter := r.reasonToDecline(v.Relayed); reason != 0 {
		r.relays.status.Refused++
		r.refuse(id, c, Refusal{Reason: reason, Outcome: NotRun, RetryAfter: retryAfter}, e)
		return
	}
	r.relays.status.Accepted++
	r.admit(id, c, v, e)
}

// reasonToDecline returns why a relayed call isn't accepted, and when to retry; zero if it is.
func (r *Router) reasonToDecline(x *RelayedCall) (Reason, time.Duration) {
	switch {
	case r.tableIsEmpty():
		return NoTable, noTableRetryAfter
	case !r.leased():
		return NoLease, noLeaseRetryAfter
	case r.isBehind(x.Revision):
		return StaleTable, minRetryAfter
	case !r.takesRelays() || r.relays.inFlight > r.settings.MaxRelayed:
		return RelayLimit, minRetryAfter
	}
	return 0, 0
}

// takesRelays reports whether the box takes calls of other boxes, as far as their number allows.
func (r *Router) takesRelays() bool { return r.enabled(Relaying) && !r.isShort }

// isBehind reports whether the box may have missed changes that another box has. One that has lately
// heard that its table is current gets them within moments.
func (r *Router) isBehind(revision units.Revision) bool {
	return r.table.Revision < revision && r.now.Sub(r.leaseConfirmedAt) > maxRelayStaleness
}

// releaseCall removes a call that has ended.
func (r *Router) releaseCall(id CallID, c *call) {
	if c.isRelayed() {
		r.relays.inFlight--
	}
	c.reset()
	r.calls.Release(id)
}
