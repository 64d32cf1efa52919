// Package replication is the replicated log of the control replicas: terms,
// elections with a pre-vote, quorum commits, snapshots and changes of
// membership. It follows Raft (Ongaro and Ousterhout, 2014), with single-member
// changes and a replica's incarnation as part of its identity, so that a
// replica which lost its disk never counts as the one it was.
//
// The package is pure. Time, messages, disk completions and random seeds come
// in as arguments; sends and writes go out as data in Effects.
package replication

import (
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// WriteSequence numbers the writes of one process; they are carried out in
// this order.
type WriteSequence uint64

// Write is one change of the durable state. All of its parts take effect, or
// none, and the shell reports Sequence back once they are synced.
type Write struct {
	Sequence WriteSequence
	// HardState is nil when term and vote are unchanged.
	HardState *wire.HardState
	// Snapshot, when set, replaces the log up to its index.
	Snapshot *wire.Snapshot
	// ResetLog drops every entry before anything else is written.
	ResetLog bool
	// CompactTo drops the entries up to this index; zero drops none.
	CompactTo units.Index
	// Entries overwrite the log from the first one's index on; later entries
	// that stood in the log before are dropped.
	Entries []*wire.Entry
}

// Effects collects what the shell is to do. The slices may be reused.
type Effects struct {
	Sends  []*wire.Envelope
	Writes []*Write
	// Committed are the entries that may now be applied, in order.
	Committed []*wire.Entry
	// Restored is a snapshot that replaces the applied state; it comes before
	// Committed.
	Restored *wire.Snapshot
	// Halt is set when this replica must stop: its disk can't be trusted.
	Halt error
}

// DurableState is what a store hands over at start.
type DurableState struct {
	HardState wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
}
