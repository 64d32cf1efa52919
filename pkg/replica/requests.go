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

// PutDocument has a whole table put in force. Without an error it is on enough disks,
// or a table of its version or a higher one is. The error is of kind Invalid, Unknown
// or Unavailable.
func (r *Replica) PutDocument(d *table.Document) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.DocumentSubmitted{Request: id, Document: d}
	}).Err
}

// ReadDocument returns the newest document, or nil when there is none yet. The error
// is an Unavailable fault when this replica can't be sure of it.
func (r *Replica) ReadDocument() (*table.Document, error) {
	a := r.request(func(id control.RequestID) control.Event { return control.ReadRequested{Request: id} })
	return a.Document, a.Err
}

// ReportTarget takes the report of a target that registers by itself. Without an error what
// it says is on enough disks. The error is of kind Invalid, Unknown or Unavailable.
func (r *Replica) ReportTarget(t *table.Registration) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.TargetReported{Request: id, Registration: t}
	}).Err
}

// RemoveTarget takes a registered target out for good, as Report does.
func (r *Replica) RemoveTarget(t units.TargetID) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.TargetDeparted{Request: id, Target: t}
	}).Err
}

// OrderEvacuation evacuates a failure domain or restores it. Without an error that is on
// enough disks. The error is of kind Invalid, NotFound where no box or target is in such a
// domain, Unavailable where another order came first, or Unknown.
func (r *Replica) OrderEvacuation(o table.EvacuationOrder) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.EvacuationOrdered{Request: id, Order: o}
	}).Err
}

// OrderRollout orders a rollout, or ends the one under way. Without an error that is on enough
// disks. The error is of kind Invalid, NotFound for an unknown service, Conflict where another
// rollout is under way, Unavailable where no version is in force yet, or Unknown.
func (r *Replica) OrderRollout(o table.RolloutOrder) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.RolloutOrdered{Request: id, Order: o}
	}).Err
}

// ReleaseCall ends the quarantine of a call. Without an error that is on enough disks, or the call
// isn't in quarantine. The error is of kind Unavailable where the quarantine has begun anew, or
// Unknown.
func (r *Replica) ReleaseCall(f crash.Fingerprint, operator string) error {
	return r.request(func(id control.RequestID) control.Event {
		return control.ReleaseOrdered{Request: id, Call: f, Operator: operator}
	}).Err
}

// Quarantines returns the calls in quarantine as this replica knows them.
func (r *Replica) Quarantines() []control.QuarantineStatus {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.core.QuarantineStatuses(r.Clock.Now())
}

// Rollout returns the newest record of a service's last rollout, or nil when it had none. The
// error is an Unavailable fault when this replica can't be sure of it.
func (r *Replica) Rollout(service units.ServiceName) (*table.Rollout, error) {
	a := r.request(func(id control.RequestID) control.Event { return control.ReadRequested{Request: id} })
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Table.Rollout(service), nil
}

// TargetReport is what a replica knows of a registered target.
type TargetReport struct {
	table.Registration
	// SinceReport is how long ago the leader last heard of the target, in nanoseconds;
	// negative on other replicas and for one that it hasn't heard yet.
	SinceReport time.Duration `json:"heardBefore"`
}

// Targets returns the registered targets, sorted by id.
func (r *Replica) Targets() []TargetReport {
	r.lock.Lock()
	defer r.lock.Unlock()
	var all []TargetReport
	now := r.Clock.Now()
	r.core.EachTarget(now, func(t *table.Registration, heard time.Duration) {
		all = append(all, TargetReport{Registration: *t, SinceReport: heard})
	})
	slices.SortFunc(all, func(a, b TargetReport) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return all
}

// request gives the core a request and waits for its answer.
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

// logChange tells what this replica has come to believe.
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
	r.Log.WithFields(fields).Info("the control state has changed")
}
