package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// reachCheckInterval is the time between two rounds of probes of a box that is cut off.
	reachCheckInterval = 100 * time.Millisecond
	// probesPerReachCheck is the number of targets probed in a round, so that a single round can end
	// a cut.
	probesPerReachCheck = targetsToRejoin
	// maxOverdrawnChecks is the number of probes by which checks may overdraw a service's budget.
	maxOverdrawnChecks = 8
)

// reachProbe is the attempt number of probes that check whether targets can be reached.
const reachProbe AttemptNumber = 2

// checkReach probes targets that haven't been probed lately on new connections: open ones may have
// gone silent alone. At a service without a budget for probes it only opens connections.
func (r *Router) checkReach(x *reach, e *Effects) {
	x.nextCheckAt = r.now.Add(reachCheckInterval)
	r.scheduleSweep(x.service, x.nextCheckAt)
	connectOnly := r.probeBudgetRate(x.service) <= 0
	for range probesPerReachCheck {
		t := r.nextToCheck(x, e)
		if t == nil || !r.leased() || !connectOnly && !r.spendForReachCheck(x.service) {
			return
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
}

// spendForReachCheck takes a probe from the service's probe budget, which may be overdrawn by some:
// calls that wait for silent targets may have used it up.
func (r *Router) spendForReachCheck(s *service) bool {
	if r.spendProbeBudget(s, 1) {
		return true
	}
	if s.probeBudget.tokens < 1-maxOverdrawnChecks {
		return false
	}
	s.probeBudget.overdraw(1)
	return true
}

// nextToCheck returns the target whose last check is the longest ago. Before a cut, those that are
// lost already aren't checked. For a target that announces a limit it requests a permit first.
func (r *Router) nextToCheck(x *reach, e *Effects) *target {
	var next *target
	for _, t := range x.service.targets {
		if !x.cutOff && slices.Contains(x.lost, t) || !x.regions.Allows(t.region) || !t.isEligible() || t.notice.forbidsSending(r.now) {
			continue
		}
		if t.lacksPermit(r.now) {
			if t.notice.limit.mayRequest(r.now) {
				r.requestTargetPermits(t, 1, e)
			}
			continue
		}
		if t.reachCheckedAt != 0 && r.now.Sub(t.reachCheckedAt) < reachCheckInterval {
			continue
		}
		if next == nil || t.reachCheckedAt < next.reachCheckedAt {
			next = t
		}
	}
	return next
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
	if slices.ContainsFunc(r.sortedServices, func(s *service) bool { return s != cut && s.hasCut() }) {
		return
	}
	for _, s := range r.sortedServices {
		if s == cut || !slices.ContainsFunc(s.targets, func(t *target) bool { return t.inFlight > 0 }) {
			continue
		}
		if x := s.reach(); r.now >= x.nextCheckAt {
			r.checkReach(x, e)
		}
	}
}

// sweepReach continues the checks that are due, and finds a way for calls that wait during a cut.
func (r *Router) sweepReach(s *service, e *Effects) {
	for _, x := range s.reaches {
		if x.nextCheckAt != 0 && r.now >= x.nextCheckAt {
			r.continueChecks(x, e)
		}
		if x.nextCheckAt != 0 {
			s.sweepAt = min(s.sweepAt, x.nextCheckAt)
		}
	}
}

// continueChecks evaluates the last round of checks, and begins another one during a cut.
func (r *Router) continueChecks(x *reach, e *Effects) {
	r.recordSilentChecks(x, e)
	x.nextCheckAt = 0
	if x.cutOff {
		r.checkReach(x, e)
		r.newCuts = append(r.newCuts, x)
	}
}

// checkIfUnheard checks whether the box is cut off if no target has been heard since a time at which
// a contact began or failed.
func (r *Router) checkIfUnheard(x *reach, since units.Instant, e *Effects) {
	if r.canRelay() && !x.cutOff && x.heardAt <= since && r.now >= x.nextCheckAt {
		r.checkReach(x, e)
	}
}

// isBoxAtFault reports whether failures of a target may be the box's own, as other targets fail too
// and none is heard.
func (r *Router) isBoxAtFault(t *target) bool {
	x := t.service.reach()
	return r.canRelay() && x.isSuspected() && x.countEligible() >= contactsToSuspect
}
