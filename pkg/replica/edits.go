package replica

import (
	"github.com/google/uuid"

	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// SubmitEdit submits an edit and returns its result. An edit without an ID gets a random one.
// The error is of kind Unknown or Unavailable.
func (r *Replica) SubmitEdit(edit *table.Edit) (table.Result, error) {
	if edit.ID == "" {
		edit.ID = units.EditID(uuid.NewString())
	}
	a := r.request(func(id control.RequestID) control.Event {
		return control.EditSubmitted{Request: id, Edit: edit}
	})
	if a.Err != nil {
		return table.Result{}, a.Err
	}
	return *a.Result, nil
}

// FormCluster forms the cluster with a recovered state, or with an empty table if there is none; see
// replication.Node.FormCluster for the errors. A state that can't be decoded is an Invalid fault.
func (r *Replica) FormCluster(state []byte) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.FormRequested{Request: id, Cluster: uuid.NewString(), State: state}
	}).Err
}

// History returns the last accepted edits, oldest first.
func (r *Replica) History() []table.Result {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.core.History()
}
