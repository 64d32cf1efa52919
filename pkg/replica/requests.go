package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// PutDocument submits a document. If it returns no error, this document, or one of the same or
// a higher version, is committed. The error is of kind Invalid, Unknown or Unavailable.
func (r *Replica) PutDocument(d *table.Document) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.DocumentSubmitted{Request: id, Document: d}
	}).Err
}

// ReadDocument returns the newest document, or nil if there is none yet. The error is an
// Unavailable fault if this replica can't ensure that it is the newest.
func (r *Replica) ReadDocument() (*table.Document, error) {
	a := r.request(func(id control.RequestID) control.Event { return control.ReadRequested{Request: id} })
	return a.Document, a.Err
}

// ReadTable returns the newest table. The error is an Unavailable fault if this replica can't ensure
// that it is the newest.
func (r *Replica) ReadTable() (*table.Table, error) {
	a := r.request(func(id control.RequestID) control.Event { return control.ReadRequested{Request: id} })
	return a.Table, a.Err
}

// ReportTarget submits the report of a target that registers itself. If it returns no error,
// the registration is committed. The error is of kind Invalid, Unknown or Unavailable.
func (r *Replica) ReportTarget(t *table.Registration) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.TargetReported{Request: id, Registration: t}
	}).Err
}

// RemoveTarget permanently removes a registered target. Commitment and errors are as for
// ReportTarget.
func (r *Replica) RemoveTarget(t units.TargetID) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.TargetDeparted{Request: id, Target: t}
	}).Err
}

// SubmitEvacuation evacuates a failure domain or restores it. If it returns no error, the order
// is committed. The error is of kind Invalid, NotFound if no box or target is in the domain,
// Unavailable if another order came first, or Unknown.
func (r *Replica) SubmitEvacuation(o table.EvacuationOrder) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.EvacuationOrdered{Request: id, Order: o}
	}).Err
}

// SubmitRollout starts a rollout, or aborts the one in progress. If it returns no error, the order
// is committed. The error is of kind Invalid, NotFound for an unknown service, Conflict if another
// rollout is in progress, Unavailable if no version is in force yet, or Unknown.
func (r *Replica) SubmitRollout(o table.RolloutOrder) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.RolloutOrdered{Request: id, Order: o}
	}).Err
}

// SubmitRelease ends the quarantine of a call. If it returns no error, the release is committed, or
// the call isn't in quarantine. The error is of kind Unavailable if the call has been quarantined
// again since, or Unknown.
func (r *Replica) SubmitRelease(f crash.Fingerprint, operator string) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.ReleaseOrdered{Request: id, Call: f, Operator: operator}
	}).Err
}

// Quarantines returns the calls in quarantine according to this replica, which may lag behind.
func (r *Replica) Quarantines() []control.QuarantineStatus {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.core.QuarantineStatuses(r.Clock.Now())
}

// Rollout returns the newest state of a service's last rollout, or nil if it had none. The
// error is an Unavailable fault if this replica can't ensure that it is the newest.
func (r *Replica) Rollout(service units.ServiceName) (*table.Rollout, error) {
	t, err := r.ReadTable()
	if err != nil {
		return nil, err
	}
	return t.Rollout(service), nil
}

// TargetReport is a registered target with the age of its last report.
type TargetReport struct {
	table.Registration
	// SinceReport is how long ago the leader last received a report of the target, in
	// nanoseconds in JSON; negative on other replicas, and if there was no report yet.
	SinceReport time.Duration `json:"heardBefore"`
}

// Targets returns the registered targets, sorted by ID.
func (r *Replica) Targets() []TargetReport {
	r.lock.Lock()
	defer r.lock.Unlock()
	var all []TargetReport
	now := r.Clock.Now()
	r.core.EachTarget(now, func(t *table.Registration, sinceReport time.Duration) {
		all = append(all, TargetReport{Registration: *t, SinceReport: sinceReport})
	})
	slices.SortFunc(all, func(a, b TargetReport) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return all
}

// request passes an event with a new request ID to the core and waits for the answer. If there
// is none in time, the answer's error is an Unknown fault.
func (r *Replica) request(event func(control.RequestID) control.Event) control.Answer {
	answer := make(chan control.Answer, 1)
	r.lock.Lock()
	r.lastRequest++
	id := r.lastRequest
	r.pendingAnswers[id] = answer
	r.reduce(event(id))
	r.lock.Unlock()
	defer r.removePendingAnswer(id)
	timer := time.NewTimer(r.Settings.Control.EditTimeout.Std() + time.Second)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a
	case <-timer.C:
	case <-r.done:
	}
	return control.Answer{Err: fault.New(fault.Unknown, "send it again; it takes effect once at most", "this replica can't answer now")}
}

// logChange logs a change of the control state as this replica has observed it.
func (r *Replica) logChange(c control.Change) {
	fields := logrus.Fields{"kind": string(c.Kind), "revision": c.Revision}
	switch c.Kind {
	case control.DocumentInForce:
		fields["document"] = c.Document
	case control.LeaderChanged:
		fields["leader"], fields["term"] = c.Leader, c.Term
	case control.VotersChanged:
		fields["voters"], fields["term"] = c.Voters, c.Term
	case control.DomainEvacuated, control.DomainRestored:
		fields["domain"], fields["operator"] = c.Domain, c.Operator
	case control.RolloutChanged:
		x := c.Rollout
		fields["service"], fields["from"], fields["to"], fields["stage"] = x.Service, x.From, x.To, x.Stage.String()
		fields["targets"], fields["elapsed"], fields["operator"], fields["reason"] = x.Targets, x.Elapsed.String(), x.Operator, x.Reason
	case control.SoftwareInForce:
		fields["service"], fields["software"] = c.Software.Service, c.Software.Software
	case control.CallQuarantined, control.CallTried, control.CallReleased:
		fields["call"], fields["targets"], fields["trial"], fields["operator"] = c.Call.String(), c.Targets, c.Trial, c.Operator
	case control.LogReplayed:
		fields["entries"], fields["term"] = c.Entries, c.Term
	default:
		fields["target"], fields["sequence"] = c.Target, c.Sequence
	}
	r.Log.WithFields(fields).Info("control state changed")
}
