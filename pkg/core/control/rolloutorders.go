package control

import (
	"fmt"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// submitRollout accepts an operator's rollout order. The order carries the revision that this
// replica held when it came: a copy that waits here during a network partition must not start a
// version again that was rolled back, nor end a rollout that was ordered later.
func (r *Replica) submitRollout(v RolloutOrdered, log *replication.Effects, e *Effects) {
	if err := r.checkRolloutOrder(&v.Order); err != nil {
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	v.Order.Base = r.state.Table().Revision
	c := &wire.Command{Kind: &wire.Command_Rollout{Rollout: wire.FromRolloutOrder(&v.Order)}}
	r.submitCommand(v.Request, c, fmt.Sprintf("order of a rollout of %s", v.Order.Service), log, e)
}

// checkRolloutOrder returns the error of an order that is invalid in itself, or nil.
func (r *Replica) checkRolloutOrder(o *table.RolloutOrder) error {
	if !r.settings.Rollouts.Enabled {
		return fault.New(fault.Invalid, "set control.rollout.enabled on all control replicas", "rollouts aren't enabled")
	}
	if problems := table.CheckRolloutOrder(o); len(problems) > 0 {
		return fault.New(fault.Invalid, problems[0].Remedy, "the order has an invalid %s", problems[0].Column)
	}
	if !o.Abort && (o.Duration < rollout.MinDuration || o.Duration > rollout.MaxDuration) {
		return fault.New(fault.Invalid, fmt.Sprintf("set a duration of %s to %s", rollout.MinDuration, rollout.MaxDuration),
			"a rollout can't complete within %s", o.Duration)
	}
	return nil
}

// applyRolloutOrder applies a committed order; the error is the answer to an order that is refused.
func (r *Replica) applyRolloutOrder(o *table.RolloutOrder, at units.WallTime) (*table.Delta, error) {
	outcome, delta := r.state.ApplyRolloutOrder(o, at)
	return delta, rolloutError(o, outcome)
}

// rolloutError returns the answer to an applied order by its outcome; nil if the order was
// accepted.
func rolloutError(o *table.RolloutOrder, outcome table.RolloutOutcome) error {
	switch outcome {
	case table.RolloutConflict:
		return fault.New(fault.Conflict, "wait until it ends, or abort it first", "a rollout of %s to another version is in progress", o.Service)
	case table.RolloutUnknownService:
		return fault.New(fault.NotFound, "name a service of the table", "there is no service %s, or no rollout of it", o.Service)
	case table.RolloutNoVersion:
		return fault.New(fault.Unavailable, "send it again once targets have registered", "it isn't known yet which version of %s is in force", o.Service)
	case table.RolloutAlreadyInForce:
		return fault.New(fault.Invalid, "name another version", "version %s of %s is in force already", o.To, o.Service)
	case table.RolloutSuperseded:
		return fault.New(fault.Unavailable, "check its current state and send the order again if it is still wanted",
			"another rollout of %s began or ended first", o.Service)
	case table.RolloutEnded:
		return fault.New(fault.Conflict, "order a rollout to the previous version", "the rollout of %s is completed", o.Service)
	}
	return nil
}

// recordRolloutChanges updates the state of rollouts from a delta, and adds the delta's rollout
// changes to e for the log.
func (r *Replica) recordRolloutChanges(d *table.Delta, before *table.Table, e *Effects) {
	for i := range d.Rollouts {
		x := &d.Rollouts[i]
		r.rollouts.updateRecord(x, r.now)
		if held := before.Rollout(x.Service); held == nil || held.Since != x.Since {
			e.Changes = append(e.Changes, Change{Kind: RolloutChanged, Rollout: x, Operator: x.Operator, Revision: d.Revision})
		}
		// The next step may be due at once.
		r.tickAt = r.now
	}
	for _, x := range d.InForce {
		e.Changes = append(e.Changes, Change{Kind: SoftwareInForce, Software: x, Revision: d.Revision})
	}
}
