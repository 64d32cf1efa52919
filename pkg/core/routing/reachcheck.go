package routing

import (
	"slices"
	"time"
)

const (
	// reachCheckInterval is the time between two rounds of probes of a box that is cut off.
	reachCheckInterval = 100 * time.Millisecond
	// probesPerReachCheck is the number of targets probed in a round, so that a single round can end
	// a cut.
	probesPerReachCheck = targetsToRejoin
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
		t := r.nextToCheck(x)
		if t == nil || !r.leased() || !connectOnly && !r.spendProbeBudget(x.service, 1) {
			return
		}
		t.reachCheckedAt = r.now
		t.reachCheckOpen = true
		if !connectOnly {
			t.probesSent++
		}
		e.add(Effect{
			Kind: Probe, SentAt: r.now, PermitUntil: r.usePermit(t), Attempt: reachProbe, Endpoint: t.endpoint, NotAfter: r.targetSelectionExpiry(t),
			Connections: t.maxConnections, ProbePath: x.service.row.ProbePath, NewConnection: true, ConnectOnly: connectOnly,
		})
	}
}

// nextToCheck returns the target whose last check is the longest ago. Before a cut, those that are
// lost already aren't checked.
func (r *Router) nextToCheck(x *reach) *target {
	var next *target
	for _, t := range x.service.targets {
		if !x.cutOff && slices.Contains(x.lost, t) || !x.regions.Allows(t.region) || !t.isEligible() || t.notice.forbidsSending(r.now) || t.lacksPermit(r.now) {
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

// checkOtherServices checks the links to the targets of the other services once the box is cut off
// from one: their calls may all wait for answers that won't come.
func (r *Router) checkOtherServices(cut *service, e *Effects) {
	for _, s := range r.sortedServices {
		if x := s.reachesOrDefault()[0]; s != cut && !x.cutOff && r.now >= x.nextCheckAt {
			r.checkReach(x, e)
		}
	}
}

// sweepReach checks the targets that the box is cut off from, and finds a way for held calls.
func (r *Router) sweepReach(s *service, e *Effects) {
	for _, x := range s.reaches {
		if r.now >= x.nextCheckAt && x.nextCheckAt != 0 {
			r.recordSilentChecks(x, e)
		}
		if !x.cutOff {
			if r.now >= x.nextCheckAt {
				x.nextCheckAt = 0
			}
			continue
		}
		if r.now >= x.nextCheckAt {
			r.checkReach(x, e)
			r.newCuts = append(r.newCuts, x)
		}
		s.sweepAt = min(s.sweepAt, x.nextCheckAt)
	}
}

// checkSilence checks whether the box is cut off when a target is silent for longer than a call
// should take and no other one was heard meanwhile.
func (r *Router) checkSilence(c *call, a *attempt, e *Effects) {
	x := c.reachOf()
	if r.canRelay() && !x.cutOff && x.heardAt <= a.sent && r.now >= x.nextCheckAt {
		r.checkReach(x, e)
	}
}

// checkOthers checks whether the box reaches other targets when one may have crashed under its calls
// and none was heard since.
func (r *Router) checkOthers(t *target, e *Effects) {
	x := t.service.reachesOrDefault()[0]
	if r.canRelay() && !x.cutOff && x.heardAt <= t.crash.broken[0].at && r.now >= x.nextCheckAt {
		r.checkReach(x, e)
	}
}

// isBoxAtFault reports whether failures of a target may be the box's own, as other targets fail too
// and none is heard.
func (r *Router) isBoxAtFault(t *target) bool {
	x := t.service.reachesOrDefault()[0]
	return r.canRelay() && x.isSuspected() && x.countEligible() >= contactsToSuspect
}
