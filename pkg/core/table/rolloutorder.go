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
	current, inForce := s.table.Rollout(o.Service), s.table.SoftwareInForce(o.Service)
	switch {
	case o.Abort:
		return s.abortRollout(current, o)
	case o.Duration == 0:
		return RolloutAccepted, s.setInitialSoftware(o)
	case current.Active() && current.To == o.To:
		return RolloutAccepted, nil
	case current.Active():
		return RolloutConflict, nil
	case current != nil && current.To == o.To && (current.Stage == RolloutCompleted && inForce == o.To || current.orderedRecently(at)):
		return RolloutAccepted, nil
	case current != nil && current.Since > o.Base:
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
func (s *State) abortRollout(current *Rollout, o *RolloutOrder) (RolloutOutcome, *Delta) {
	switch {
	case current == nil:
		return RolloutUnknownService, nil
	case current.Order > o.Base:
		return RolloutSuperseded, nil
	case current.Stage == RolloutRolledBack:
		return RolloutAccepted, nil
	case current.Stage == RolloutCompleted:
		return RolloutEnded, nil
	}
	reason := "ended by an operator"
	if o.Operator != "" {
		reason = "ended by " + o.Operator
	}
	delta := s.newDelta()
	delta.Rollouts = []Rollout{current.rolledBack(delta.Revision, reason)}
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
	current := s.table.SoftwareInForce(o.Service)
	if s.table.Rollout(o.Service).Active() || o.To == current || s.hasSoftware(o.Service, current) {
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
func (s *State) ApplyRolloutStep(step *RolloutStep) *Delta {
	current := s.table.Rollout(step.Service)
	if !current.Active() || current.Order != step.Order || step.Stage < current.Stage {
		return nil
	}
	if step.Stage == RolloutCompleted && current.Stage != RolloutShifted {
		return nil
	}
	delta := s.newDelta()
	next := *current
	next.Elapsed = max(current.Elapsed, step.Elapsed)
	if !current.sameStep(step) {
		next.Stage, next.Since, next.Reason = step.Stage, delta.Revision, step.Reason
		next.Share, next.Targets = step.Share, step.Targets
	}
	switch next.Stage {
	case RolloutCompleted:
		delta.InForce = []SoftwareInForce{{Service: current.Service, Software: current.To}}
	case RolloutRolledBack:
		next = next.rolledBack(delta.Revision, step.Reason)
	}
	delta.Rollouts = []Rollout{next}
	return s.commit(delta)
}

// sameStep tells whether a step says nothing new but the time: its stage, and the targets of
// a trial, hold already.
func (r *Rollout) sameStep(step *RolloutStep) bool {
	return r.Stage == step.Stage && r.Share == step.Share && slices.Equal(r.Targets, step.Targets)
}

// rollBackRemovedServices rolls back the rollouts of services that a delta removes: nothing can be said
// any more about their versions.
func (s *State) rollBackRemovedServices(d *Delta) {
	for _, name := range d.Removed {
		if current := s.table.Rollout(name); current.Active() {
			d.Rollouts = append(d.Rollouts, current.rolledBack(d.Revision, "the service was removed"))
		}
	}
}

var rolloutRules = []rule[RolloutOrder]{
	{"service", func(o *RolloutOrder) bool { return validName(string(o.Service)) }, "use 1 to 64 of a-z, 0-9, '-', '.' and '_'"},
	{"version", func(o *RolloutOrder) bool { return o.Abort || o.To != "" && len(o.To) <= MaxNameLength }, "use 1 to 64 characters"},
	{"operator", func(o *RolloutOrder) bool { return len(o.Operator) <= MaxNameLength }, "use at most 64 characters"},
}

// CheckRolloutOrder returns what is wrong with an order, or nothing.
func CheckRolloutOrder(o *RolloutOrder) []Problem { return findProblems(rolloutRules, o) }
