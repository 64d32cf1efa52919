// Package control is the decision logic of a control replica: it accepts edits, replicates them,
// sends table updates to the boxes and grants them leases on the table. It does no I/O and reads no
// clock: events go in, effects come out. Package replication implements the log below it.
package control

import (
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// RequestID identifies a request of the shell, the code of this process that feeds the core with
// events and carries out its effects. The Answer carries the same id.
type RequestID uint64

// ConnectionID identifies a box's connection to this replica.
type ConnectionID uint64

// Event is an input of the core: a message, a request, a completed write or the passing of time.
type Event interface{ controlEvent() }

// Tick lets the replica act on the passing of time; it is due at NextWake.
type Tick struct{}

// PeerMessage is a message from another replica.
type PeerMessage struct {
	Envelope *wire.Envelope
	// Domain is the sender's failure domain; empty where it isn't known.
	Domain units.Domain
}

// DiskSynced reports that all writes up to a sequence are durable.
type DiskSynced struct{ Sequence replication.WriteSequence }

// DiskFailed reports that a write failed; the replica must stop.
type DiskFailed struct{ Cause error }

// EditSubmitted submits an operator's edit.
type EditSubmitted struct {
	Request RequestID
	Edit    *table.Edit
}

// FormRequested is an operator's request to form the cluster.
type FormRequested struct {
	Request RequestID
	// Cluster is the random name of the new cluster.
	Cluster string
	// State is the state that the cluster starts with, from RecoverState; empty for an empty table.
	State []byte
}

// DocumentSubmitted submits an operator's document: the services, routes and workspaces of the
// table, which are replaced as a unit.
type DocumentSubmitted struct {
	Request  RequestID
	Document *table.Document
}

// TargetReported is a report of a target that registers itself.
type TargetReported struct {
	Request      RequestID
	Registration *table.Registration
}

// TargetDeparted reports that a registered target leaves permanently.
type TargetDeparted struct {
	Request RequestID
	Target  units.TargetID
}

// EvacuationOrdered is an operator's order to evacuate a failure domain, or to restore it.
type EvacuationOrdered struct {
	Request RequestID
	Order   table.EvacuationOrder
}

// RolloutOrdered is an operator's order to move a service to another version of its software, or to
// abort such a rollout.
type RolloutOrdered struct {
	Request RequestID
	Order   table.RolloutOrder
}

// ReleaseOrdered is an operator's order to end the quarantine of a call.
type ReleaseOrdered struct {
	Request  RequestID
	Call     crash.Fingerprint
	Operator string
}

// ReadRequested asks for the newest state. The answer comes once this replica is sure to have
// applied everything that was committed before the request.
type ReadRequested struct{ Request RequestID }

// BoxMessage is a message from a box on its connection to this replica.
type BoxMessage struct {
	Connection ConnectionID
	Envelope   *wire.Envelope
}

// BoxDetached reports that a box's connection has ended.
type BoxDetached struct{ Connection ConnectionID }

// SeedsChanged reports the seeds of changed settings, which are the replicas to contact first. Those
// that aren't known yet become peers.
type SeedsChanged struct{ Seeds []units.ReplicaID }

// StopRequested reports that this replica is about to shut down as planned; a leader hands over its
// leadership.
type StopRequested struct{}

func (Tick) controlEvent()              {}
func (PeerMessage) controlEvent()       {}
func (DiskSynced) controlEvent()        {}
func (DiskFailed) controlEvent()        {}
func (EditSubmitted) controlEvent()     {}
func (FormRequested) controlEvent()     {}
func (DocumentSubmitted) controlEvent() {}
func (TargetReported) controlEvent()    {}
func (TargetDeparted) controlEvent()    {}
func (EvacuationOrdered) controlEvent() {}
func (RolloutOrdered) controlEvent()    {}
func (ReleaseOrdered) controlEvent()    {}
func (ReadRequested) controlEvent()     {}
func (BoxMessage) controlEvent()        {}
func (BoxDetached) controlEvent()       {}
func (SeedsChanged) controlEvent()      {}
func (StopRequested) controlEvent()     {}

// Answer is the answer to a request. Without an error, the requested change is on the disks of a
// majority of the voters, or of control.minCopies voters if that is more, or it was in force
// already. An error is of kind Invalid, NotFound, Conflict, Unavailable or, when the outcome isn't
// known in time, Unknown.
type Answer struct {
	Request RequestID
	Err     error
	// Result is the result of an edit: accepted, conflicted or rejected. The last two have no error,
	// but changed nothing.
	Result *table.Result
	// Document is the document in force, for a ReadRequested.
	Document *table.Document
	// Table is the newest table, for a ReadRequested.
	Table *table.Table
}

// BoxSend is a message to a box.
type BoxSend struct {
	Connection ConnectionID
	Envelope   *wire.Envelope
}

// Effects are what the shell must do, in this order: writes first, then sends and answers. Halt is
// set when the replica must stop.
type Effects struct {
	Writes    []*replication.Write
	PeerSends []*wire.Envelope
	BoxSends  []BoxSend
	Answers   []Answer
	// TableChanged is set when Replica.Table returns a new table.
	TableChanged bool
	Halt         error
	// Changes describes what this event changed in the state, for the log output of the process.
	Changes []Change
}

// ChangeKind is the kind of a Change, as logs name it.
type ChangeKind string

// The kinds of change.
const (
	DocumentInForce ChangeKind = "document"
	TargetActive    ChangeKind = "target-active"
	TargetLeaving   ChangeKind = "target-leaving"
	TargetGone      ChangeKind = "target-gone"
	TargetSilent    ChangeKind = "target-silent"
	TargetHeard     ChangeKind = "target-heard"
	LeaderChanged   ChangeKind = "leader"
	VotersChanged   ChangeKind = "voters"
	LogReplayed     ChangeKind = "log-replayed"
	DomainEvacuated ChangeKind = "domain-evacuated"
	DomainRestored  ChangeKind = "domain-restored"
	RolloutChanged  ChangeKind = "rollout"
	SoftwareInForce ChangeKind = "software-in-force"
	CallQuarantined ChangeKind = "call-quarantined"
	CallTried       ChangeKind = "call-tried"
	CallReleased    ChangeKind = "call-released"
)

// Change describes one change of a replica's state for the log output of the process. Only the
// fields that apply to its kind are set.
type Change struct {
	Kind     ChangeKind
	Revision units.Revision
	Target   units.TargetID
	Document units.DocumentVersion
	// Sequence is the sequence number that the target gave its report; it increases with each report
	// of an incarnation.
	Sequence uint64
	Domain   units.Domain
	Operator string
	Leader   units.ReplicaID
	Voters   []units.ReplicaID
	Term     units.Term
	// Rollout is the record of a rollout after the change.
	Rollout *table.Rollout
	// Software is the version of a service's software that is in force.
	Software table.SoftwareInForce
	// Call is the quarantined call, Targets are the targets that crashed while handling it, Trial
	// is the ordinal number of a trial within its quarantine, from 1.
	Call    crash.Fingerprint
	Targets []units.TargetID
	Trial   int
	// Entries is the number of log entries that were replayed since the start.
	Entries int
}

// BoxStatus is a replica's view of a box.
type BoxStatus struct {
	table.Box
	// Listed is set when the box is in the replicated list of boxes.
	Listed   bool           `json:"listed"`
	Revision units.Revision `json:"revision"`
	// InForce is set when the box has reported the current revision.
	InForce bool `json:"inForce"`
	// SilentFor is the time since the leader last received a lease request from the box, in ns.
	SilentFor int64 `json:"silentFor"`
	// StopsWithin is the remaining time of the box's lease, in ns: without a renewal it stops
	// serving calls by then.
	StopsWithin int64 `json:"stopsWithin"`
}
