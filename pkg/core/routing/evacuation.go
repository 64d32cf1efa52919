package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Operators evacuate a failure domain before work on it: its targets get no further calls,
// neither first sends nor retries, hedges and probes, while calls under way there end by
// themselves. Targets of a domain that is restored may have become cold meanwhile.

// updateEvacuations notes which failure domains a new table restores, and tells whether it
// changes anything about evacuations. The first table of a box restores all domains that
// were ever evacuated: the box can't know how long ago that was.
func (r *Router) updateEvacuations(before, after []table.Evacuation) bool {
	r.restored = r.restored[:0]
	for _, x := range after {
		if !x.Active && !slices.Contains(before, x) {
			r.restored = append(r.restored, x.Domain)
		}
	}
	return !slices.Equal(before, after)
}

// applyEvacuations applies the evacuations of the table to a service's targets.
func (r *Router) applyEvacuations(s *service) {
	for _, t := range s.targets {
		t.evacuated = r.table.Evacuated(t.row.Domain)
		if t.availability == nil && t.row.Domain != "" && r.enabled(Outlook) {
			t.availability = r.availabilityOf(t.row.Domain)
		}
		if r.wasRestored(t.row.Domain) {
			r.markPossiblyCold(t)
		}
	}
}

func (r *Router) wasRestored(d units.Domain) bool { return slices.Contains(r.restored, d) }

// noTargetReason says why a service has no target that may take a call.
func (s *service) noTargetReason(c *call, now units.Instant) Reason {
	if s.isBarred(c) {
		return RegionNotAllowed
	}
	if s.hasActiveTarget(c) {
		return s.blockedReason(c, now)
	}
	if slices.ContainsFunc(s.targets, func(t *target) bool { return t.evacuated && t.isActiveInTable() && c.mayUse(t) }) {
		return Evacuated
	}
	if s.hasOtherVersions() {
		return OtherVersions
	}
	return NoTarget
}

// refuseUnservable refuses the calls that wait at a service without targets for them: none
// will come free.
func (r *Router) refuseUnservable(s *service, e *Effects) {
	if len(s.held.waiting())+len(s.waiting) == 0 || s.hasOpenTarget(r.now) && !r.routes.restricts {
		return
	}
	var unservable []CallID
	for _, id := range s.held.drain() {
		if r.isServable(s, id) {
			s.held.pushBack(id)
			continue
		}
		unservable = append(unservable, id)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingCall) bool {
		if r.isServable(s, w.id) {
			return false
		}
		unservable = append(unservable, w.id)
		return true
	})
	for _, id := range unservable {
		r.refuseWaitingCall(s, id, e)
	}
}

// isServable tells whether the service has a target for a call that waits.
func (r *Router) isServable(s *service, id CallID) bool {
	c := r.calls.Get(id)
	return c != nil && s.canServe(c, r.now)
}

// canServe tells whether a target may take a call, but for its health and limits, before the call
// can wait no longer.
func (s *service) canServe(c *call, now units.Instant) bool {
	return s.hasActiveTarget(c) && !s.isBlockedTooLong(c, now)
}

// hasOpenTarget tells whether a target may take calls, but for its health and limits of the table, and
// isn't closed.
func (s *service) hasOpenTarget(now units.Instant) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.isEligible() && !t.isBlocked(now) })
}

// refuseWaitingCall refuses a call that still waits for a target of the service and isn't under
// way. A patient one is held until its time is up, unless its regions rule all targets out, or all
// of them rest or are limited for longer.
func (r *Router) refuseWaitingCall(s *service, id CallID, e *Effects) {
	c := r.calls.Get(id)
	if c == nil || c.service != s || !c.held && !c.probeRound.active || c.inFlight() > 0 {
		return
	}
	reason := s.noTargetReason(c, r.now)
	if c.held && c.route.work == table.Patient && reason != RegionNotAllowed && reason != TargetsResting && reason != TargetsLimited {
		s.held.pushBack(id)
		return
	}
	r.refuse(id, c, Refusal{Reason: reason, Outcome: c.outcome(), RetryAfter: s.retryAfterOf(reason, r.now)}, e)
}
