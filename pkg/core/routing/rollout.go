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

// side says which calls a target takes, by the version of its software.
type side uint8

const (
	// inForce takes the service's calls.
	inForce side = iota
	// onTrial takes the part of the calls that a trial sends to the new version.
	onTrial
	// replaced took the calls until a rollout shifted them.
	replaced
	// closed takes no calls.
	closed
	// noSide is that of no target.
	noSide
)

// rolloutState is what a box keeps of a rollout of a service while that is under way.
type rolloutState struct {
	service *service
	record  *table.Rollout
	// exposure is what the newest grant says of the service; zero for nothing.
	exposure rollout.Exposure
	lot      lot
	stop     ownStop
	// urgentAt is when bad answers last brought about a request for a lease.
	urgentAt units.Instant
	evidence versionEvidence
}

// sideOf says which calls a row's target takes, given the version in force and the service's
// last rollout, which may be nil.
func sideOf(row *table.Row, current units.SoftwareVersion, x *table.Rollout) side {
	isOld := current == "" || row.Software == current
	isNew := x != nil && row.Software == x.To && row.Software != current
	switch {
	case isNew && x.Stage == table.RolloutShifted:
		return inForce
	case isNew && x.Stage == table.RolloutTrial && slices.Contains(x.Targets, row.Target):
		return onTrial
	case isNew && x.Stage != table.RolloutCompleted:
		return closed
	case isOld && x != nil && x.Stage == table.RolloutShifted:
		return replaced
	case isOld:
		return inForce
	}
	return closed
}

// versionsChanged tells whether two tables differ in what they say of versions.
func versionsChanged(before, after *table.Table) bool {
	same := func(a, b table.Rollout) bool {
		return a.Service == b.Service && a.Order == b.Order && a.Since == b.Since && a.Stage == b.Stage
	}
	return !slices.Equal(before.InForce, after.InForce) || !slices.EqualFunc(before.Rollouts, after.Rollouts, same)
}

// markVersions applies to a service's targets what the table says of versions.
func (r *Router) markVersions(s *service) {
	record := r.table.Rollout(s.row.Name)
	current := r.table.SoftwareInForce(s.row.Name)
	r.followRollout(s, record)
	for _, t := range s.targets {
		t.side = sideOf(&t.row, current, record)
	}
}

// followRollout begins, goes on with or ends what is kept of a service's rollout.
func (r *Router) followRollout(s *service, record *table.Rollout) {
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
	v := &rolloutState{service: s, record: record, lot: newLot(r.random)}
	v.exposure = r.exposureFor(record.Service)
	r.rollouts = append(r.rollouts, v)
	return v
}

// isOver tells whether a rollout is under way no more.
func (r *Router) isOver(v *rolloutState) bool {
	record := r.table.Rollout(v.record.Service)
	return !record.Active() || record.Order != v.record.Order
}

// openSide is the side whose targets take a service's calls that no lot sends elsewhere.
//
// Once a rollout has shifted them a box without a fresh exposure knows neither whether the
// new version was rolled back nor whether the old targets still run: it sends to neither. A
// box that serves without a lease, by its settings, takes the old ones: they were good when
// its link failed. One that has just started waits for its first grant.
func (r *Router) openSide(s *service) side {
	v := s.rollout
	if v == nil || v.record.Stage != table.RolloutShifted || v.exposed(r.now) {
		return inForce
	}
	if r.settings.ServeStale && r.leaseUntil != 0 && r.now >= r.leaseUntil {
		return replaced
	}
	return noSide
}

// callSide is the side that a call is tried at first.
func (r *Router) callSide(s *service, c *call) side {
	if c.onNewVersion && s.rollout != nil && s.rollout.exposed(r.now) {
		return onTrial
	}
	return r.openSide(s)
}

// notAfterOf returns when a choice of a target made now may be out of date.
func (r *Router) notAfterOf(t *target) units.Instant {
	v := t.service.rollout
	if v == nil || t.row.Software != v.record.To {
		return r.notAfter()
	}
	return min(r.notAfter(), v.exposure.ExpiresAt)
}

// hasOtherVersions tells whether targets of the service take no calls for their version alone.
func (s *service) hasOtherVersions() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.isActiveInTable() && !t.evacuated && t.side != inForce })
}
