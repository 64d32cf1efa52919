package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// reachCheckInterval is the time after which a round of checks is evaluated, and the least time
	// between checks of one target.
	reachCheckInterval = 100 * time.Millisecond
	// minCheckDelay and maxCheckDelay are the shortest and longest time between two checks of a box
	// that is cut off, of the targets of all services together. A check opens a connection.
	minCheckDelay = 50 * time.Millisecond
	maxCheckDelay = 300 * time.Millisecond
	// hurriedCheckDelay is that delay once the targets of a service have answered again.
	hurriedCheckDelay = 10 * time.Millisecond
	// maxOverdrawnChecks is the number of probes by which checks may overdraw a service's budget.
	maxOverdrawnChecks = 8
)

// reachProbe is the attempt number of probes that check whether targets can be reached.
const reachProbe AttemptNumber = 2

// linkChecks paces the checks of a box that is cut off.
type linkChecks struct {
	// nextAt is when the next check is due, delay the time between the last two.
	nextAt units.Instant
	delay  time.Duration
	// hurried is the number of cuts still to be checked at once because another one has ended.
	hurried int
	// assumedChecked is set once a cut that is only assumed has been checked at its beginning.
	assumedChecked bool
	// awaitsPermit is set if the last check wasn't made for want of a permit, which was requested.
	awaitsPermit bool
}

// begin begins the checks with the first cut.
func (k *linkChecks) begin(now units.Instant) {
	*k = linkChecks{nextAt: now.Add(minCheckDelay), delay: minCheckDelay}
}

// mayCheckAssumed reports whether a cut that is only assumed may be checked at its beginning. The first one
// may: it shows whether the targets of a single service are down, or the box is cut off from all.
func (k *linkChecks) mayCheckAssumed() bool {
	first := !k.assumedChecked
	k.assumedChecked = true
	return first
}

// hurry has the next checks follow soon.
func (k *linkChecks) hurry(now units.Instant, cuts int) { k.nextAt, k.hurried = now, cuts }

// next schedules the check after one that is made now.
func (k *linkChecks) next(now units.Instant) {
	if k.hurried > 0 {
		k.hurried--
		k.nextAt = now.Add(hurriedCheckDelay)
		return
	}
	k.delay = min(2*k.delay, maxCheckDelay)
	k.nextAt = now.Add(k.delay)
}

// checkCuts makes the check that is due, of the cut whose last one is the longest ago, and finds a way
// for calls that wait during it.
func (r *Router) checkCuts(e *Effects) {
	k := &r.relays.checks
	if !r.hasCut() {
		return
	}
	if r.now >= k.nextAt {
		r.checkNextCut(e)
	}
	r.sweepAt = min(r.sweepAt, k.nextAt)
}

// checkNext has a cut checked next, and soon: the permit for that has been requested.
func (r *Router) checkNext(x *reach) {
	r.removeCut(x)
	r.relays.cuts = slices.Insert(r.relays.cuts, 0, x)
	k := &r.relays.checks
	k.nextAt = min(k.nextAt, r.now.Add(hurriedCheckDelay))
}

// checkNextCut checks the cut whose last check is the longest ago. One that lacks a permit is checked
// again soon, as permits don't last until its next turn.
func (r *Router) checkNextCut(e *Effects) {
	k := &r.relays.checks
	x := r.relays.cuts[0]
	// Silent checks may begin further cuts, which must not be checked in this turn.
	k.nextAt = r.now.Add(minCheckDelay)
	r.recordSilentChecks(x, e)
	r.newCuts = append(r.newCuts, x)
	n := 1
	if k.hurried > 0 {
		n = targetsToRejoin
	}
	if awaitsPermit := r.checkReach(x, n, e); awaitsPermit && !k.awaitsPermit {
		k.awaitsPermit = true
		return
	}
	k.awaitsPermit = false
	r.removeCut(x)
	r.relays.cuts = append(r.relays.cuts, x)
	k.next(r.now)
}

// checkReach probes some targets that haven't been probed lately, on new connections: open ones may
// have gone silent alone. At a service without a budget for probes it only opens connections. It
// reports whether it probed none, and requested a permit.
func (r *Router) checkReach(x *reach, n int, e *Effects) (awaitsPermit bool) {
	if !x.cutOff {
		x.nextCheckAt = r.now.Add(reachCheckInterval)
		r.scheduleSweep(x.service, x.nextCheckAt)
	}
	connectOnly := r.probeBudgetRate(x.service) <= 0
	for i := range n {
		t, requested := r.nextToCheck(x, e)
		if t == nil {
			return requested && i == 0
		}
		if !r.leased() || !connectOnly && !r.spendForReachCheck(x.service, e) {
			return false
		}
		t.reachCheckedAt = r.now
		t.reachCheckOpen = true
		if !connectOnly {
			t.probesSent++
		}
		p := r.newProbe(t)
		p.Attempt, p.ProbePath = reachProbe, x.service.row.ProbePath
		p.NewConnection, p.ConnectOnly = true, connectOnly
		e.add(p)
	}
	return false
}

// spendForReachCheck takes a probe from the service's probe budget, which may be overdrawn by some:
// calls that wait for silent targets may have used it up.
func (r *Router) spendForReachCheck(s *service, e *Effects) bool {
	if r.spendProbeBudget(s, 1, e) {
		return true
	}
	if s.probeBudget.tokens < 1-maxOverdrawnChecks {
		return false
	}
	s.probeBudget.overdraw(1)
	return true
}

// nextToCheck returns the target whose last check is the longest ago, a random one of several: boxes
// that are cut off together must neither check the same ones nor judge by those that are listed first.
// Before a cut, those that are lost already aren't checked. For a target that announces a limit it
// requests a permit first.
func (r *Router) nextToCheck(x *reach, e *Effects) (next *target, requested bool) {
	equal := 0
	for _, t := range x.service.targets {
		if !x.cutOff && slices.Contains(x.lost, t) || !x.regions.Allows(t.region) || !t.isEligible() || t.notice.forbidsSending(r.now) {
			continue
		}
		if t.lacksPermit(r.now) {
			if t.notice.limit.mayRequest(r.now) {
				r.requestTargetPermits(t, 1, e)
			}
			requested = true
			continue
		}
		if t.reachCheckedAt != 0 && r.now.Sub(t.reachCheckedAt) < reachCheckInterval {
			continue
		}
		switch {
		case next == nil || t.reachCheckedAt < next.reachCheckedAt:
			next, equal = t, 1
		case t.reachCheckedAt == next.reachCheckedAt:
			equal++
			if r.random.IntN(equal) == 0 {
				next = t
			}
		}
	}
	return next, requested
}

// recordCheckFailed starts the search for boxes that reach the targets: the box has been cut off, and
// has checked that.
func (r *Router) recordCheckFailed(e *Effects) {
	if s := &r.relays.search; r.hasCut() && s.queries == 0 {
		s.nextAt = r.now
		r.searchHelpers(e)
	}
}

// recordSilentChecks records the targets that leave checks unanswered.
func (r *Router) recordSilentChecks(x *reach, e *Effects) {
	for _, t := range x.service.targets {
		if t.reachCheckOpen && r.now.Sub(t.reachCheckedAt) >= probeSilence {
			t.reachCheckOpen = false
			r.recordContactFailed(t, t.reachCheckedAt, e)
		}
	}
}

// checkOtherServices checks the links to the targets of the other services with calls in flight when
// the box is first cut off from one: these calls may all wait for answers that won't come. Services
// without any are checked by their next calls.
func (r *Router) checkOtherServices(cut *service, e *Effects) {
	for _, s := range r.sortedServices {
		if s == cut || !slices.ContainsFunc(s.targets, func(t *target) bool { return t.inFlight > 0 }) {
			continue
		}
		if x := s.reach(); r.now >= x.nextCheckAt {
			r.checkReach(x, targetsToRejoin, e)
		}
	}
}

// sweepReach evaluates the checks of a box that may be cut off.
func (r *Router) sweepReach(s *service, e *Effects) {
	for _, x := range s.reaches {
		if x.nextCheckAt != 0 && r.now >= x.nextCheckAt {
			x.nextCheckAt = 0
			r.recordSilentChecks(x, e)
		}
		if x.nextCheckAt != 0 {
			s.sweepAt = min(s.sweepAt, x.nextCheckAt)
		}
	}
}

// checkIfUnheard checks n targets if none has been heard since a time at which a contact began or failed:
// the box may be cut off.
func (r *Router) checkIfUnheard(x *reach, since units.Instant, n int, e *Effects) {
	if r.canRelay() && !x.cutOff && x.heardAt <= since && r.now >= x.nextCheckAt {
		r.checkReach(x, n, e)
	}
}

// isBoxAtFault reports whether failures of a target may be the box's own, as other targets fail too
// and none is heard.
func (r *Router) isBoxAtFault(t *target) bool {
	x := t.service.reach()
	return r.canRelay() && x.isSuspected() && x.countEligible() >= contactsToSuspect
}
