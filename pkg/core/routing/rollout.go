package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A service's targets may run several versions of its software; the table sets the current one. A
// rollout moves the calls to another version: first a randomly selected share of them to a few
// targets, the trial, then all of them, the shift. A box sends calls to the new version only while
// it holds a valid exposure, so that a box without a link to the leader stops by itself.

// versionRole determines which calls a target receives, by the version of its software.
type versionRole uint8

const (
	// currentVersion is for the version that receives the service's calls: the current one, or the
	// new one after the shift.
	currentVersion versionRole = iota
	// trialVersion is for the new version during a trial, which receives a share of the calls.
	trialVersion
	// replacedVersion is for the old version after the shift.
	replacedVersion
	// inactiveVersion is for versions that receive no calls.
	inactiveVersion
	// noVersion matches no target.
	noVersion
)

// rolloutState is a box's state on an active rollout of a service.
type rolloutState struct {
	service *service
	record  *table.Rollout
	// exposure is the service's exposure in the newest grant; zero if there is none.
	exposure rollout.Exposure
	sampler  trialSampler
	stop     localStop
	// urgentRenewalAt is when bad answers last triggered a lease request.
	urgentRenewalAt units.Instant
	evidence        versionEvidence
}

// versionRoleOf returns the role of a row's target, given the current version and the service's
// last rollout, which may be nil.
func versionRoleOf(row *table.Row, current units.SoftwareVersion, x *table.Rollout) versionRole {
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

// versionsChanged reports whether two tables differ in current versions or rollouts.
func versionsChanged(before, after *table.Table) bool {
	same := func(a, b table.Rollout) bool {
		return a.Service == b.Service && a.Order == b.Order && a.Since == b.Since && a.Stage == b.Stage
	}
	return !slices.Equal(before.InForce, after.InForce) || !slices.EqualFunc(before.Rollouts, after.Rollouts, same)
}

// updateVersionRoles sets the roles of a service's targets from the table.
func (r *Router) updateVersionRoles(s *service) {
	record := r.table.Rollout(s.row.Name)
	current := r.table.SoftwareInForce(s.row.Name)
	r.updateRollout(s, record)
	for _, t := range s.targets {
		t.role = versionRoleOf(&t.row, current, record)
	}
}

// updateRollout begins, updates or ends the state of a service's rollout.
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

// beginRollout returns the state of a rollout. If a service left the table and came back, its
// earlier evidence is kept, since counts must never decrease.
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

// isOver reports whether a rollout has ended.
func (r *Router) isOver(v *rolloutState) bool {
	record := r.table.Rollout(v.record.Service)
	return !record.Active() || record.Order != v.record.Order
}

// defaultRole is the role of the targets that receive a service's calls unless a call is selected
// for a trial.
//
// After the shift a box without a valid exposure knows neither whether the new version was rolled
// back nor whether the old targets still run, and sends calls to neither. A box that is set to
// serve without a lease uses the old targets: they worked when its link failed. A box that has just
// started waits for its first grant.
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

// roleForCall is the role of the targets that a call is first sent to.
func (r *Router) roleForCall(s *service, c *call) versionRole {
	if c.onNewVersion && s.rollout != nil && s.rollout.exposed(r.now) {
		return trialVersion
	}
	return r.defaultRole(s)
}

// targetSelectionExpiry returns when a selection of the target made now may be out of date.
func (r *Router) targetSelectionExpiry(t *target) units.Instant {
	v := t.service.rollout
	if v == nil || t.row.Software != v.record.To {
		return r.selectionExpiry()
	}
	return min(r.selectionExpiry(), v.exposure.ExpiresAt)
}

// hasOtherVersions reports whether targets of the service receive no calls only because of their
// version.
func (s *service) hasOtherVersions() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.isActiveInTable() && !t.evacuated && t.role != currentVersion })
}
