package replica

import (
	"time"

	"github.com/google/uuid"

	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// Submit has an edit decided. The error is of kind Unknown or Unavailable.
func (r *Replica) Submit(edit *table.Edit) (table.Result, error) {
	if edit.ID == "" {
		edit.ID = units.EditID(uuid.NewString())
	}
	answer := make(chan control.EditAnswer, 1)
	r.lock.Lock()
	r.requests++
	id := r.requests
	r.answers[id] = answer
	r.reduce(control.EditSubmitted{Request: id, Edit: edit})
	r.lock.Unlock()
	defer r.forget(id)
	select {
	case a := <-answer:
		return a.Result, a.Err
	case <-time.After(r.Settings.Control.EditTimeout.Std() + time.Second):
		return table.Result{}, errUnknownEdit(edit.ID)
	case <-r.done:
		return table.Result{}, errUnknownEdit(edit.ID)
	}
}

func errUnknownEdit(id units.EditID) error {
	return fault.New(fault.Unknown, "send it again with the same id; it takes effect once at most", "it isn't known whether edit %s was accepted", id)
}

// Form forms the cluster; see replication.Node.Form for the errors.
func (r *Replica) Form() error {
	answer := make(chan error, 1)
	r.lock.Lock()
	r.requests++
	id := r.requests
	r.forms[id] = answer
	r.reduce(control.FormRequested{Request: id, Cluster: uuid.NewString()})
	r.lock.Unlock()
	defer r.forget(id)
	select {
	case err := <-answer:
		return err
	case <-r.done:
		return fault.New(fault.Unavailable, "ask again once it runs", "this replica is stopping")
	}
}

// History returns the last accepted edits, oldest first.
func (r *Replica) History() []table.Result {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.core.History()
}
