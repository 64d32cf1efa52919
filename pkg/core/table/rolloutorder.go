package table

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// RolloutOrder is an operator's order to move a service to another version of its software,
// or to end the move under way.
type RolloutOrder struct {
	Service units.ServiceName     `json:"service"`
	To      units.SoftwareVersion `json:"to"`
	// Duration is the time in which the rollout is to end. Without one the version is put
	// in force at once, which is done only where no other one takes calls.
	Duration time.Duration `json:"duration"`
	// Abort is set to end the rollout under way; To and Duration aren't used then.
	Abort    bool   `json:"abort,omitempty"`
	Operator string `json:"operator,omitempty"`
	// Base is the revision of the table that the replica held which took the order. An order
	// that was delayed while another rollout began or ended is known by it.
	Base units.Revision `json:"-"`
}

// RolloutStep is the leader's decision on the next stage of a rollout.
type RolloutStep struct {
	Service units.ServiceName
	// Order names the rollout that the step is for.
	Order   units.Revision
	Stage   RolloutStage
	Share   units.Percent
	Targets []units.TargetID
	Elapsed time.Duration
	Reason  string
}

// RolloutOutcome says what became of an order.
type RolloutOutcome int32

// The outcomes.
const (
	// RolloutAccepted: the rollout is under way or has ended, by this order or the same one
	// that was sent before.
	RolloutAccepted RolloutOutcome = iota + 1
	// RolloutConflict: a rollout to another version is under way.
	RolloutConflict
	// RolloutUnknownService: there is no such service.
	RolloutUnknownService
	// RolloutNoVersion: no version of the service is in force yet.
	RolloutNoVersion
	// RolloutAlreadyInForce: the version is in force already.
	RolloutAlreadyInForce
	// RolloutEnded: the rollout to be ended isn't under way any more.
	RolloutEnded
	// RolloutSuperseded: a rollout of the service has begun or ended since the order was taken.
	RolloutSuperseded
)

// rolloutRetryWindow is how long after a rollout was ordered an order of the same version counts
// as the same order, sent again. Without that, an order whose acknowledgement was lost would
// start a version again that was rolled back meanwhile.
const rolloutRetryWindow = 30 * time.Second

// ApplyRolloutOrder carries out an order at a time that the whole cluster agrees on. The
// delta is nil when the table isn't changed. A version that no target has yet is tried once
// its first target has registered.
func (s *State) ApplyRolloutOrder(o *RolloutOrder, at units.WallTime) (RolloutOutcome, *Delta) {
	held, inForce := s.table.Rollout(o.Service), s.table.SoftwareInForce(o.Service)
	switch {
	case o.Abort:
		return s.abortRollout(held, o)
	case o.Duration == 0:
		return RolloutAccepted, s.setInitialSoftware(o)
	case held.Active() && held.To == o.To:
		return RolloutAccepted, nil
	case held.Active():
		return RolloutConflict, nil
	case held != nil && held.To == o.To && (held.Stage == RolloutCompleted && inForce == o.To || held.orderedRecently(at)):
		return RolloutAccepted, nil
	case held != nil && held.Since > o.Base:
		return RolloutSuperseded, nil
	case s.table.Services[o.Service] == nil:
		return RolloutUnknownService, nil
	case inForce == "":
		return RolloutNoVersion, nil
	case inForce == o.To:
		return RolloutAlreadyInForce, nil
	}
	delta := s.newDelta()
	delta.Rollouts = []Rollout{{
		Service: o.Service, From: inForce, To: o.To, Stage: RolloutTrial, Order: delta.Revision, Since: delta.Revision,
		Duration: o.Duration, Operator: o.Operator, At: at, Reason: "ordered; no target is tried yet",
	}}
	return RolloutAccepted, s.commit(delta)
}

// orderedRecently tells whether the rollout was ordered within rolloutRepeat of a time, whichever
// replica's wall clock is ahead.
func (r *Rollout) orderedRecently(at units.WallTime) bool {
	since := at - r.At
	return max(since, -since) < units.WallTime(rolloutRetryWindow.Milliseconds())
}

// abortRollout rolls back the rollout under way, unless it began after the order was taken.
func (s *State) abortRollout(held *Rollout, o *RolloutOrder) (RolloutOutcome, *Delta) {
	switch {
	case held == nil:
		return RolloutUnknownService, nil
	case held.Order > o.Base:
		return RolloutSuperseded, nil
	case held.Stage == RolloutRolledBack:
		return RolloutAccepted, nil
	case held.Stage == RolloutCompleted:
		return RolloutEnded, nil
	}
	reason := "ended by an operator"
	if o.Operator != "" {
		reason = "ended by " + o.Operator
	}
	delta := s.newDelta()
	delta.Rollouts = []Rollout{held.rolledBack(delta.Revision, reason)}
	return RolloutAccepted, s.commit(delta)
}

// rolledBack returns the record as of a roll back at a revision.
func (r *Rollout) rolledBack(since units.Revision, reason string) Rollout {
	next := *r
	next.Stage, next.Since, next.Reason, next.Share = RolloutRolledBack, since, reason, 0
	return next
}

// setInitialSoftware puts a version in force where none is, or where no target of the one in
// force is left.
func (s *State) setInitialSoftware(o *RolloutOrder) *Delta {
	present := s.table.SoftwareInForce(o.Service)
	if s.table.Rollout(o.Service).Active() || o.To == present || s.hasSoftware(o.Service, present) {
		return nil
	}
	delta := s.newDelta()
	delta.InForce = []SoftwareInForce{{Service: o.Service, Software: o.To}}
	return s.commit(delta)
}

// hasSoftware tells whether a target of a version is registered; none is of no version.
func (s *State) hasSoftware(service units.ServiceName, software units.SoftwareVersion) bool {
	if software == "" {
		return false
	}
	for _, r := range s.targets {
		if r.Service == service && r.Software == software {
			return true
		}
	}
	return false
}

// ApplyRolloutStep takes a leader's decision. One that names another rollout, or one that
// has ended, or that leads back, changes nothing and gives no delta.
func (s *State) ApplyRolloutStep(x *RolloutStep) *Delta {
	held := s.table.Rollout(x.Service)
	if !held.Active() || held.Order != x.Order || x.Stage < held.Stage {
		return nil
	}
	if x.Stage == RolloutCompleted && held.Stage != RolloutShifted {
		return nil
	}
	delta := s.newDelta()
	next := *held
	next.Elapsed = max(held.Elapsed, x.Elapsed)
	if !held.sameStep(x) {
		next.Stage, next.Since, next.Reason = x.Stage, delta.Revision, x.Reason
		next.Share, next.Targets = x.Share, x.Targets
	}
	switch next.Stage {
	case RolloutCompleted:
		delta.InForce = []SoftwareInForce{{Service: held.Service, Software: held.To}}
	case RolloutRolledBack:
		next = next.rolledBack(delta.Revision, x.Reason)
	}
	delta.Rollouts = []Rollout{next}
	return s.commit(delta)
}

// sameStep tells whether a step says nothing new but the time: its stage, and the targets of
// a trial, hold already.
func (r *Rollout) sameStep(x *RolloutStep) bool {
	return r.Stage == x.Stage && r.Share == x.Share && slices.Equal(r.Targets, x.Targets)
}

// rollBackRemovedServices rolls back the rollouts of services that a delta removes: nothing can be said
// any more about their versions.
func (s *State) rollBackRemovedServices(d *Delta) {
	for _, name := range d.Removed {
		if held := s.table.Rollout(name); held.Active() {
			d.Rollouts = append(d.Rollouts, held.rolledBack(d.Revision, "the service was removed"))
		}
	}
}

var rolloutRules = []rule[RolloutOrder]{
	{"service", func(o *RolloutOrder) bool { return validName(string(o.Service)) }, "use 1 to 64 of a-z, 0-9, '-', '.' and '_'"},
	{"version", func(o *RolloutOrder) bool { return o.Abort || o.To != "" && len(o.To) <= MaxNameLength }, "use 1 to 64 characters"},
	{"operator", func(o *RolloutOrder) bool { return len(o.Operator) <= MaxNameLength }, "use at most 64 characters"},
}

// CheckRolloutOrder returns what is wrong with an order, or nothing.
func CheckRolloutOrder(o *RolloutOrder) []Problem { return check(rolloutRules, o) }
