package replication

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Settings are what a node needs to know of itself and its cluster.
type Settings struct {
	ID          units.ReplicaID
	Incarnation units.Incarnation
	// Boot names this start of the replica; later starts have greater ones.
	Boot uint64
	// Peers are the other replicas, in an order that stays the same. With Growth
	// they are the seeds: where a replica that knows nobody begins to ask.
	Peers []units.ReplicaID
	// Growth lets the cluster form and grow by itself; nil leaves both to the
	// operator and to Peers.
	Growth *Growth
	// MinCopies is how many disks must hold an entry before it is committed, where
	// that is more than a quorum; zero asks for a quorum.
	MinCopies int
	// ElectionTimeout is the least time without a leader before an election; the
	// actual time is drawn between it and its double.
	ElectionTimeout time.Duration
	// Heartbeat is the time between a leader's messages to each follower.
	Heartbeat time.Duration
	// Seed feeds the node's own random numbers.
	Seed uint64
}

// Growth says how a cluster forms from its seeds and grows by itself.
type Growth struct {
	// Bootstrap lets this replica form a cluster, if it is the first of the seeds
	// and all of them are present and empty.
	Bootstrap bool
	// Seed is set for a replica that is one of the seeds.
	Seed bool
	// Voters is how many voting replicas the cluster grows to; others that report
	// follow it, and take the place of a voter that is gone.
	Voters int
	// ReplaceAfter is how long a voter must be silent for another replica to take
	// its place.
	ReplaceAfter time.Duration
}

// DefaultReplaceAfter is longer than a restart or a cut of some seconds takes.
const DefaultReplaceAfter = 8 * time.Second

// Default timings; a cluster over regions needs longer ones.
const (
	DefaultElectionTimeout = 400 * time.Millisecond
	DefaultHeartbeat       = 50 * time.Millisecond
)
