// Package replication implements the replicated log of the control replicas: terms,
// elections with a pre-vote, quorum commits, snapshots and changes of
// membership. It follows Raft (Ongaro and Ousterhout, 2014), with single-member
// changes and a replica's incarnation as part of its identity, so that a
// replica which lost its disk never counts as the voter it was before.
//
// The package does no I/O of its own. Time, messages, completed disk writes and random seeds are
// arguments; messages to send and writes to make are returned in Effects, and the shell around
// the package executes them.
package replication

import (
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// WriteSequence numbers the writes of one process, which are executed in this order.
type WriteSequence uint64

// Write is one atomic change of the durable state. The shell makes it and reports its Sequence to
// Node.WritesSynced once it is synced.
type Write struct {
	Sequence WriteSequence
	// HardState is nil when term and vote are unchanged.
	HardState *wire.HardState
	// Snapshot, when set, replaces the log up to its index.
	Snapshot *wire.Snapshot
	// ResetLog drops every entry before the other parts of the write are applied.
	ResetLog bool
	// CompactTo drops the entries up to and including this index; zero drops none.
	CompactTo units.Index
	// Entries overwrite the log from the index of the first one on; stored entries
	// after the last one are dropped.
	Entries []*wire.Entry
}

// Effects collects the messages, writes and committed entries that Node's methods produce. The
// slices may be reused.
type Effects struct {
	Sends  []*wire.Envelope
	Writes []*Write
	// Committed are the entries that may now be applied, in order.
	Committed []*wire.Entry
	// Restored is a snapshot that replaces the applied state; it is applied before
	// Committed.
	Restored *wire.Snapshot
	// Halt is the reason for which this replica must stop, as its disk can't be trusted; nil if it may
	// continue.
	Halt error
}

// DurableState is what the disk holds when a node starts.
type DurableState struct {
	HardState wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
}
