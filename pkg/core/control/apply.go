package control

import (
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// applyLogEffects copies the log's effects to e and applies the entries that it committed.
func (r *Replica) applyLogEffects(log *replication.Effects, e *Effects) {
	if log.Restored != nil {
		r.restore(log.Restored, e)
	}
	for _, entry := range log.Committed {
		r.applyCommitted(entry, e)
	}
	e.Writes = append(e.Writes, log.Writes...)
	e.PeerSends = append(e.PeerSends, log.Sends...)
	if log.Halt != nil {
		e.Halt = log.Halt
	}
}

func (r *Replica) restore(s *wire.Snapshot, e *Effects) {
	state, err := wire.DecodeState(s.State)
	if err != nil {
		e.Halt = err
		return
	}
	r.state = state
	r.previousTables.clear()
	e.TableChanged = true
	r.answerRestoredEdits(e)
}

// applyCommitted applies a committed entry. The changes of entries that are replayed after a restart
// aren't written to the program's log output, since an earlier process of this replica usually has
// written them, and hundreds of lines at once would delay the boxes that are attached to this replica.
func (r *Replica) applyCommitted(entry *wire.Entry, e *Effects) {
	changes := len(e.Changes)
	r.apply(entry, e)
	if r.replaying {
		r.replayed++
		e.Changes = e.Changes[:changes]
	}
}

// finishReplay ends the replay of the log after a restart and reports how many entries were
// replayed.
func (r *Replica) finishReplay(e *Effects) {
	if !r.replaying {
		return
	}
	r.replaying = false
	e.Changes = append(e.Changes, Change{Kind: LogReplayed, Entries: r.replayed, Term: r.node.Term(), Revision: r.state.Table().Revision})
}

func (r *Replica) apply(entry *wire.Entry, e *Effects) {
	if len(entry.Command) == 0 {
		return
	}
	c, err := wire.DecodeCommand(entry.Command)
	if err != nil {
		e.Halt = fault.Wrap(err, fault.Damaged, "start this replica with an empty data folder", "log entry %d can't be applied", entry.Index)
		return
	}
	var delta *table.Delta
	var refused error
	before := r.state.Table()
	switch k := c.Kind.(type) {
	case *wire.Command_Edit:
		delta = r.applyEdit(k.Edit, units.WallTime(c.At), e)
	case *wire.Command_Boxes:
		delta = r.state.ApplyBoxes(wire.ToBoxChange(k.Boxes))
		r.leases.proposing = false
	case *wire.Command_Evacuation:
		delta, refused = r.applyEvacuation(wire.ToEvacuationOrder(k.Evacuation), units.WallTime(c.At), e)
	case *wire.Command_Rollout:
		delta, refused = r.applyRolloutOrder(wire.ToRolloutOrder(k.Rollout), units.WallTime(c.At))
	case *wire.Command_RolloutStep:
		delta = r.state.ApplyRolloutStep(wire.ToRolloutStep(k.RolloutStep))
	case *wire.Command_Quarantine:
		delta, refused = r.applyQuarantine(wire.ToQuarantineStep(k.Quarantine), units.WallTime(c.At), e)
	default:
		delta = r.applyDocumentOrTarget(c, e)
	}
	r.answerCommand(c, refused, e)
	if delta == nil {
		return
	}
	r.recordRolloutChanges(delta, before, e)
	r.previousTables.push(before, delta)
	e.TableChanged = true
}

// applyDocumentOrTarget applies a document, or a change of registered targets: a registration, a
// departure or silence.
func (r *Replica) applyDocumentOrTarget(c *wire.Command, e *Effects) *table.Delta {
	var delta *table.Delta
	change := Change{}
	switch k := c.Kind.(type) {
	case *wire.Command_Document:
		delta = r.state.ApplyDocument(wire.ToDocument(k.Document))
		change = Change{Kind: DocumentInForce, Document: units.DocumentVersion(k.Document.Version)}
	case *wire.Command_Registration:
		registration := wire.ToRegistration(k.Registration)
		delta = r.state.ApplyRegistration(registration)
		change = Change{Kind: TargetActive, Target: registration.Target, Sequence: registration.Sequence}
		if registration.State == table.Leaving {
			change.Kind = TargetLeaving
		}
	case *wire.Command_Departure:
		id := units.TargetID(k.Departure.Target)
		delta = r.state.ApplyDeparture(id, units.WallTime(k.Departure.Born))
		delete(r.liveness.lastReport, id)
		change = Change{Kind: TargetGone, Target: id}
	case *wire.Command_Silence:
		r.liveness.proposing = false
		delta = r.state.ApplySilence(targetIDs(k.Silence.Silent), targetIDs(k.Silence.Heard))
		r.recordSilenceChanges(k.Silence, e)
		return delta
	}
	if delta != nil {
		change.Revision = delta.Revision
		e.Changes = append(e.Changes, change)
	}
	return delta
}

// applyEvacuation applies an order to evacuate or restore a failure domain. It returns an
// Unavailable fault if another order changed the domain first, and a NotFound fault if the domain is
// unknown.
func (r *Replica) applyEvacuation(o *table.EvacuationOrder, at units.WallTime, e *Effects) (*table.Delta, error) {
	outcome, delta := r.state.ApplyEvacuation(o, at)
	if delta != nil {
		change := Change{Kind: DomainRestored, Domain: o.Domain, Operator: o.Operator, Revision: delta.Revision}
		if o.Evacuate {
			change.Kind = DomainEvacuated
		}
		e.Changes = append(e.Changes, change)
	}
	return delta, evacuationError(o, outcome)
}

func (r *Replica) recordSilenceChanges(s *wire.Silence, e *Effects) {
	revision := r.state.Table().Revision
	for _, id := range s.Silent {
		e.Changes = append(e.Changes, Change{Kind: TargetSilent, Target: units.TargetID(id), Revision: revision})
	}
	for _, id := range s.Heard {
		e.Changes = append(e.Changes, Change{Kind: TargetHeard, Target: units.TargetID(id), Revision: revision})
	}
}
