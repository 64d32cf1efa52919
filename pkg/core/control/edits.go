package control

import (
	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// waitingEdit is an edit that was submitted to this replica and has no result yet.
type waitingEdit struct {
	edit     *table.Edit
	requests []RequestID
	deadline units.Instant
	retryAt  units.Instant
}

// editQueue holds the edits that were submitted to this replica and have no result yet, and the ids
// of the edits that it has proposed as the leader and not applied yet, including those that other
// replicas forwarded.
type editQueue struct {
	waiting *container.OrderedMap[units.EditID, *waitingEdit]
	// proposed keeps a leader from adding a resent edit to the log twice.
	proposed map[units.EditID]bool
}

func newEditQueue() editQueue {
	return editQueue{waiting: container.NewOrderedMap[units.EditID, *waitingEdit](), proposed: map[units.EditID]bool{}}
}

func (q *editQueue) clearProposed() {
	q.proposed = map[units.EditID]bool{}
}

// submitEdit accepts an operator's edit. If the state of this replica already holds the edit's
// result, the edit is committed, so a resent one is answered with that result.
func (r *Replica) submitEdit(v EditSubmitted, log *replication.Effects, e *Effects) {
	if result := r.state.Lookup(v.Edit.ID); result != nil {
		e.Answers = append(e.Answers, Answer{Request: v.Request, Result: result})
		return
	}
	if !r.node.Formed() {
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: errNotFormed()})
		return
	}
	w := r.edits.waiting.Get(v.Edit.ID)
	if w != nil {
		w.requests = append(w.requests, v.Request)
		return
	}
	w = &waitingEdit{edit: v.Edit, requests: []RequestID{v.Request}, deadline: r.now.Add(r.settings.EditTimeout)}
	r.edits.waiting.Put(v.Edit.ID, w)
	r.forwardEdit(w, log)
}

func errNotFormed() error {
	return fault.New(fault.Unavailable, "form the cluster with madderctl form, or wait until this replica has joined it", "this replica belongs to no cluster yet")
}

// forwardEdit proposes a waiting edit if this replica is the leader, and sends it to the leader
// otherwise.
func (r *Replica) forwardEdit(w *waitingEdit, log *replication.Effects) {
	w.retryAt = r.now.Add(retryPeriod)
	if r.node.IsLeader() {
		r.proposeEdit(w.edit, log)
		return
	}
	r.sendToLeader(&wire.Envelope_ProposeRequest{ProposeRequest: &wire.ProposeRequest{Edit: wire.FromEdit(w.edit)}}, log)
}

func (r *Replica) proposeEdit(edit *table.Edit, log *replication.Effects) {
	if !r.node.IsLeader() || r.edits.proposed[edit.ID] || r.state.Lookup(edit.ID) != nil {
		return
	}
	c := &wire.Command{At: int64(r.wall), Kind: &wire.Command_Edit{Edit: wire.FromEdit(edit)}}
	if r.proposeCommand(c, log) {
		r.edits.proposed[edit.ID] = true
	}
}

func (r *Replica) proposeCommand(c *wire.Command, log *replication.Effects) bool {
	data, err := wire.EncodeCommand(c)
	if err != nil {
		return false
	}
	return r.node.Propose(r.now, [][]byte{data}, log)
}

func (r *Replica) applyEdit(w *wire.Edit, at units.WallTime, e *Effects) *table.Delta {
	edit := wire.ToEdit(w)
	result, delta := r.state.ApplyEdit(edit, at)
	delete(r.edits.proposed, edit.ID)
	r.answerEdit(edit.ID, &result, e)
	return delta
}

func (r *Replica) answerEdit(id units.EditID, result *table.Result, e *Effects) {
	w := r.edits.waiting.Get(id)
	if w == nil {
		return
	}
	for _, q := range w.requests {
		e.Answers = append(e.Answers, Answer{Request: q, Result: result})
	}
	r.edits.waiting.Delete(id)
}

// answerRestoredEdits answers the waiting edits whose results came with a restored snapshot.
func (r *Replica) answerRestoredEdits(e *Effects) {
	for _, id := range r.edits.waiting.Keys() {
		if result := r.state.Lookup(id); result != nil {
			r.answerEdit(id, result, e)
		}
	}
}

// retryEdits forwards the waiting edits whose retry is due, and expires those past their deadline.
func (r *Replica) retryEdits(log *replication.Effects, e *Effects) {
	for _, id := range r.edits.waiting.Keys() {
		w := r.edits.waiting.Get(id)
		if r.now >= w.deadline {
			r.expireEdit(id, w, e)
			continue
		}
		if r.now >= w.retryAt {
			r.forwardEdit(w, log)
		}
	}
}

func (r *Replica) expireEdit(id units.EditID, w *waitingEdit, e *Effects) {
	err := fault.New(fault.Unknown, "send it again with the same id; it takes effect once at most",
		"no quorum of control replicas answered in time, so it isn't known whether edit %s was accepted", id)
	for _, q := range w.requests {
		e.Answers = append(e.Answers, Answer{Request: q, Err: err})
	}
	r.edits.waiting.Delete(id)
}

func (r *Replica) envelope() *wire.Envelope {
	s := &r.settings.Replication
	return &wire.Envelope{From: string(s.ID), Incarnation: string(s.Incarnation), Boot: s.Boot}
}
