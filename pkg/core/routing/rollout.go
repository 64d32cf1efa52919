package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A service's targets may run several versions of its software, of which the table names the
// one in force. A rollout moves the calls to another version: first a part of them, chosen
// by lot, to a few targets, then all of them. A box sends calls to the new version only
// while it holds a fresh exposure, so that a box without a link to the leader stops by itself.

// versionRole says which calls a target takes, by the version of its software.
type versionRole uint8

const (
	// currentVersion takes the service's calls.
	currentVersion versionRole = iota
	// trialVersion takes the part of the calls that a trial sends to the new version.
	trialVersion
	// replacedVersion took the calls until a rollout shifted them.
	replacedVersion
	// inactiveVersion takes no calls.
	inactiveVersion
	// noVersion is that of no target.
	noVersion
)

// rolloutState is what a box keeps of a rollout of a service while that is under way.
type rolloutState struct {
	service *service
	record  *table.Rollout
	// exposure is what the newest grant says of the service; zero for nothing.
	exposure rollout.Exposure
	sampler      trialSampler
	stop     localStop
	// urgentRenewalAt is when bad answers last brought about a request for a lease.
	urgentRenewalAt units.Instant
	evidence evidence
}

// versionRoleOf says which calls a row's target takes, given the version in force and the service's
// last rollout, which may be nil.
func versionRoleOf(row *table.Row, current units.Software, x *table.Rollout) versionRole {
	isOld := current == "" || row.Software == current
	isNew := x != nil && row.Software == x.To && row.Software != current
	switch {
	case isNew && x.Stage == table.RolloutShifted:
		return currentVersion
	case isNew && x.Stage == table.RolloutTrial && slices.Contains(x.Targets, row.Target):
		return trialVersion
	case isNew && x.Stage != table.RolloutCompleted:
		return inactiveVersion
	case isOld && x != nil && x.Stage == table.RolloutShifted:
		return replacedVersion
	case isOld:
		return currentVersion
	}
	return inactiveVersion
}

// versionsChanged tells whether two tables differ in what they say of versions.
func versionsChanged(before, after *table.Table) bool {
	same := func(a, b table.Rollout) bool {
		return a.Service == b.Service && a.Order == b.Order && a.Since == b.Since && a.Stage == b.Stage
	}
	return !slices.Equal(before.InForce, after.InForce) || !slices.EqualFunc(before.Rollouts, after.Rollouts, same)
}

// updateVersionRoles applies to a service's targets what the table says of versions.
func (r *Router) updateVersionRoles(s *service) {
	record := r.table.Rollout(s.row.Name)
	current := r.table.SoftwareInForce(s.row.Name)
	r.updateRollout(s, record)
	for _, t := range s.targets {
		t.side = versionRoleOf(&t.row, current, record)
	}
}

// updateRollout begins, goes on with or ends what is kept of a service's rollout.
func (r *Router) updateRollout(s *service, record *table.Rollout) {
	v := s.rollout
	if v != nil && (!record.Active() || v.record.Order != record.Order) {
		s.rollout = nil
	}
	if !record.Active() {
		return
	}
	if s.rollout == nil {
		s.rollout = r.beginRollout(s, record)
	}
	s.rollout.record = record
	s.rollout.service = s
}

// beginRollout returns what is kept of a rollout from now on. A service that left the table
// and came back goes on with the evidence that there was, since counts must only grow.
func (r *Router) beginRollout(s *service, record *table.Rollout) *rolloutState {
	for _, v := range r.rollouts {
		if v.record.Service == record.Service && v.record.Order == record.Order {
			return v
		}
	}
	v := &rolloutState{service: s, record: record, sampler: newTrialSampler(r.random)}
	v.exposure = r.exposureFor(record.Service)
	r.rollouts = append(r.rollouts, v)
	return v
}

// isOver tells whether a rollout is under way no more.
func (r *Router) isOver(v *rolloutState) bool {
	record := r.table.Rollout(v.record.Service)
	return !record.Active() || record.Order != v.record.Order
}

// defaultRole is the side whose targets take a service's calls that no lot sends elsewhere.
//
// Once a rollout has shifted them a box without a fresh exposure knows neither whether the
// new version was rolled back nor whether the old targets still run: it sends to neither. A
// box that serves without a lease, by its settings, takes the old ones: they were good when
// its link failed. One that has just started waits for its first grant.
func (r *Router) defaultRole(s *service) versionRole {
	v := s.rollout
	if v == nil || v.record.Stage != table.RolloutShifted || v.exposed(r.now) {
		return currentVersion
	}
	if r.settings.ServeStale && r.leaseUntil != 0 && r.now >= r.leaseUntil {
		return replacedVersion
	}
	return noVersion
}

// roleForCall is the side that a call is tried at first.
func (r *Router) roleForCall(s *service, c *call) versionRole {
	if c.onTrial && s.rollout != nil && s.rollout.exposed(r.now) {
		return trialVersion
	}
	return r.defaultRole(s)
}

// targetSelectionExpiry returns when a choice of a target made now may be out of date.
func (r *Router) targetSelectionExpiry(t *target) units.Instant {
	v := t.service.rollout
	if v == nil || t.row.Software != v.record.To {
		return r.selectionExpiry()
	}
	return min(r.selectionExpiry(), v.exposure.Until)
}

// hasOtherVersions tells whether targets of the service take no calls for their version alone.
func (s *service) hasOtherVersions() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.inTable() && !t.evacuated && t.side != currentVersion })
}
