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

// orderRollout takes an operator's order. It carries what this replica held when it came: a
// copy that waits here behind a cut must not begin a version again that was rolled back, nor
// end a rollout that was ordered later.
func (r *Replica) orderRollout(v RolloutOrdered, log *replication.Effects, e *Effects) {
	if err := r.checkRolloutOrder(&v.Order); err != nil {
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	v.Order.Base = r.state.Table().Revision
	c := &wire.Command{Kind: &wire.Command_Rollout{Rollout: wire.FromRolloutOrder(&v.Order)}}
	r.submitCommand(v.Request, c, fmt.Sprintf("order of a rollout of %s", v.Order.Service), log, e)
}

// checkRolloutOrder returns what is wrong with an order by itself, or nil.
func (r *Replica) checkRolloutOrder(o *table.RolloutOrder) error {
	if !r.settings.Rollouts.Enabled {
		return fault.New(fault.Invalid, "set control.rollout.enabled on all control replicas", "rollouts aren't enabled")
	}
	if problems := table.CheckRolloutOrder(o); len(problems) > 0 {
		return fault.New(fault.Invalid, problems[0].Remedy, "the order has a bad %s", problems[0].Column)
	}
	if !o.Abort && (o.Duration < rollout.MinDuration || o.Duration > rollout.MaxDuration) {
		return fault.New(fault.Invalid, fmt.Sprintf("give it %s to %s", rollout.MinDuration, rollout.MaxDuration),
			"a rollout can't be done within %s", o.Duration)
	}
	return nil
}

// applyRolloutOrder applies an order of the log; the error is the answer to one that is refused.
func (r *Replica) applyRolloutOrder(o *table.RolloutOrder, at units.WallTime) (*table.Delta, error) {
	outcome, delta := r.state.ApplyRolloutOrder(o, at)
	return delta, rolloutError(o, outcome)
}

// rolloutError is the answer to an order that was applied, by its outcome; nil where it is taken.
func rolloutError(o *table.RolloutOrder, outcome table.RolloutOutcome) error {
	switch outcome {
	case table.RolloutConflict:
		return fault.New(fault.Conflict, "wait for its end, or end it first", "a rollout of %s to another version is under way", o.Service)
	case table.RolloutUnknownService:
		return fault.New(fault.NotFound, "name a service of the table", "there is no service %s, or no rollout of it", o.Service)
	case table.RolloutNoVersion:
		return fault.New(fault.Unavailable, "send it again once targets have registered", "it isn't known yet which version of %s is in force", o.Service)
	case table.RolloutAlreadyInForce:
		return fault.New(fault.Invalid, "name another version", "version %s of %s is in force already", o.To, o.Service)
	case table.RolloutSuperseded:
		return fault.New(fault.Unavailable, "look at its present state and send the order again if it is still wanted",
			"another rollout of %s began or ended first", o.Service)
	case table.RolloutEnded:
		return fault.New(fault.Conflict, "order a rollout to the version before", "the rollout of %s is completed", o.Service)
	}
	return nil
}

// noteRollouts takes what a delta changes in rollouts: when they were ordered by this
// replica's own clock, and the lines for the log.
func (r *Replica) noteRollouts(d *table.Delta, before *table.Table, e *Effects) {
	for i := range d.Rollouts {
		x := &d.Rollouts[i]
		r.rollouts.noteRecord(x, r.now)
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
