package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Operators evacuate a failure domain before work on it: its targets get no further calls, neither
// first sends nor retries, hedges and probes, while calls in flight there are allowed to finish.
// Targets of a domain that is restored may have become cold meanwhile.

// updateEvacuations records which failure domains a new table restores, and reports whether its
// evacuations differ from those of the last one. The first table of a box restores all domains that
// were ever evacuated: the box can't know how long ago that was.
func (r *Router) updateEvacuations(before, after []table.Evacuation) bool {
	r.restoredDomains = r.restoredDomains[:0]
	for _, x := range after {
		if !x.Active && !slices.Contains(before, x) {
			r.restoredDomains = append(r.restoredDomains, x.Domain)
		}
	}
	return !slices.Equal(before, after)
}

// applyEvacuations applies the evacuations of the table to a service's targets.
func (r *Router) applyEvacuations(s *service) {
	for _, t := range s.targets {
		t.evacuated = r.table.Evacuated(t.row.Domain)
		if t.availability == nil && t.row.Domain != "" && r.enabled(DomainAvailability) {
			t.availability = r.availabilityOf(t.row.Domain)
		}
		if r.wasRestored(t.row.Domain) {
			r.markPossiblyCold(t)
		}
	}
}

func (r *Router) wasRestored(d units.Domain) bool { return slices.Contains(r.restoredDomains, d) }

// noTargetReason returns why a service has no target for a call.
func (s *service) noTargetReason(c *call, now units.Instant) Reason {
	if s.isExcludedByRegion(c) {
		return RegionNotAllowed
	}
	if s.hasEligibleTarget(c) {
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

// refuseUnservable refuses the waiting calls of a service that has no target for them: none will
// become free.
func (r *Router) refuseUnservable(s *service, e *Effects) {
	if len(s.held.waiting())+len(s.waiting) == 0 || s.hasUnblockedTarget(r.now) && !r.routes.restrictsRegions {
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

// isServable reports whether the service has a target for a waiting call.
func (r *Router) isServable(s *service, id CallID) bool {
	c := r.calls.Get(id)
	return c != nil && s.canServe(c, r.now)
}

// canServe reports whether the service has a target for a call, regardless of its health and
// limits, that accepts calls before the call's time to wait is over.
func (s *service) canServe(c *call, now units.Instant) bool {
	return s.hasEligibleTarget(c) && !s.isBlockedTooLong(c, now)
}

// hasUnblockedTarget reports whether a target may serve calls, regardless of its health and the
// limits of the table, and isn't blocked.
func (s *service) hasUnblockedTarget(now units.Instant) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.isEligible() && !t.isBlocked(now) })
}

// refuseWaitingCall refuses a call that still waits for a target of the service and isn't in
// flight. A patient one is held until its hold time ends, unless its regions exclude all targets,
// or all of them rest or are limited for longer.
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
	r.refuse(id, c, Refusal{Reason: reason, Outcome: c.outcome(), RetryAfter: s.retryAfterFor(reason, r.now)}, e)
}
