// Package control is the decision logic of a control replica: it takes edits,
// replicates them, keeps the boxes up to date and grants them leases on the
// table. It is pure; see package replication for the log below it.
package control

import (
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// RequestID names a question of this process's shell; the answer carries it.
type RequestID uint64

// ConnectionID names a box's connection to this replica.
type ConnectionID uint64

// Event is something that happened outside of the core.
type Event interface{ controlEvent() }

// Tick says that time has passed; it is due at NextWake.
type Tick struct{}

// PeerMessage is a message from another replica.
type PeerMessage struct {
	Envelope *wire.Envelope
	// Domain is the other replica's failure domain; empty where that isn't known.
	Domain units.Domain
}

// DiskSynced says that all writes up to a sequence are on the disk.
type DiskSynced struct{ Sequence replication.WriteSequence }

// DiskFailed says that a write could not be done; the replica must stop.
type DiskFailed struct{ Cause error }

// EditSubmitted is an operator's edit.
type EditSubmitted struct {
	Request RequestID
	Edit    *table.Edit
}

// FormRequested is an operator's word that the cluster be formed.
type FormRequested struct {
	Request RequestID
	// Cluster is the new cluster's random name.
	Cluster string
}

// DocumentSubmitted is an operator's whole table.
type DocumentSubmitted struct {
	Request  RequestID
	Document *table.Document
}

// TargetReported is a report of a target that registers by itself.
type TargetReported struct {
	Request      RequestID
	Registration *table.Registration
}

// TargetDeparted is a registered target's word that it leaves for good.
type TargetDeparted struct {
	Request RequestID
	Target  units.TargetID
}

// EvacuationOrdered is an operator's order to evacuate a failure domain, or to restore it.
type EvacuationOrdered struct {
	Request RequestID
	Order   table.EvacuationOrder
}

// RolloutOrdered is an operator's order to move a service to another version of its software,
// or to end that.
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

// ReadRequested asks for the newest state; the answer comes once this replica is
// sure to have it.
type ReadRequested struct{ Request RequestID }

// BoxMessage is a message from a box on a connection of its own.
type BoxMessage struct {
	Connection ConnectionID
	Envelope   *wire.Envelope
}

// BoxDetached says that a box's connection has ended.
type BoxDetached struct{ Connection ConnectionID }

// SeedsChanged says that the settings name other replicas to report to.
type SeedsChanged struct{ Seeds []units.ReplicaID }

// StopRequested says that this replica is about to stop as planned.
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

// Answer is the answer to a request of this process's shell. Without an error, what was
// asked for is on enough disks, or held already; an error is of kind Invalid, NotFound,
// Conflict, Unavailable or, where it couldn't be learned in time, Unknown.
type Answer struct {
	Request RequestID
	Err     error
	// Result is what became of an edit.
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

// Effects are what the shell is to do, in this order: writes, then sends and
// answers. Halt is set when the replica must stop.
type Effects struct {
	Writes    []*replication.Write
	PeerSends []*wire.Envelope
	BoxSends  []BoxSend
	Answers   []Answer
	// TableChanged is set when Table returns a new table.
	TableChanged bool
	Halt         error
	// Changes says what this event changed in the state, for the log.
	Changes []Change
}

// ChangeKind says what a change is about.
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

// Change is something that a replica has come to believe.
type Change struct {
	Kind     ChangeKind
	Revision units.Revision
	Target   units.TargetID
	Document units.DocumentVersion
	// Sequence is the target's own count of its reports.
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
	// Call is the call that a quarantine is of, Targets are those that crashed under it, Trial
	// numbers a trial.
	Call    crash.Fingerprint
	Targets []units.TargetID
	Trial   int
	// Entries is how many entries of the log were read again since the start.
	Entries int
}

// BoxStatus is what the control state knows of a box.
type BoxStatus struct {
	table.Box
	// Listed is set when the box stands in the replicated list.
	Listed   bool           `json:"listed"`
	Revision units.Revision `json:"revision"`
	// InForce is set when the box has shown the present revision.
	InForce bool `json:"inForce"`
	// SilentFor is how long the leader hasn't heard of the box, in ns.
	SilentFor int64 `json:"silentFor"`
	// StopsWithin is when a silent box stops by itself at the latest, in ns.
	StopsWithin int64 `json:"stopsWithin"`
}
