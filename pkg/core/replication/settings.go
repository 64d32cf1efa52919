package replication

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Settings are the parameters of a node.
type Settings struct {
	ID          units.ReplicaID
	Incarnation units.Incarnation
	// Boot numbers the starts of the replica, in increasing order.
	Boot uint64
	// Peers are the other replicas, in a fixed order. With Growth they are the seeds, which a replica
	// without a cluster asks first.
	Peers []units.ReplicaID
	// Growth lets the cluster form and grow automatically. If it is nil, an operator forms the cluster
	// and Peers are its other members.
	Growth *Growth
	// MinCopies is how many voters must have synced an entry before it is committed, if
	// that is more than a quorum; zero requires a quorum.
	MinCopies int
	// ElectionTimeout is the minimum time without a leader before an election; the
	// actual time is random between it and its double.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between a leader's messages to each follower.
	Heartbeat time.Duration
	// Seed is the seed of the node's random numbers.
	Seed uint64
}

// Growth holds the parameters of a cluster that forms from its seeds and grows automatically.
type Growth struct {
	// Bootstrap lets this replica form a cluster, if it is the first of the seeds
	// and all of them are present and empty.
	Bootstrap bool
	// Seed is set for a replica that is one of the seeds.
	Seed bool
	// Voters is the number of voters that the cluster grows to. Further replicas
	// follow without a vote, and replace voters that are gone.
	Voters int
	// ReplaceAfter is the time without a response from a voter after which another replica may replace
	// it.
	ReplaceAfter time.Duration
}

// DefaultReplaceAfter is longer than a restart or a network interruption of a few seconds.
const DefaultReplaceAfter = 8 * time.Second

// Default timings. A cluster across regions needs longer ones.
const (
	DefaultElectionTimeout = 400 * time.Millisecond
	DefaultHeartbeat       = 50 * time.Millisecond
)

// replaceDivisor divides the catch-up time into the time after which a silent replica gives its vote to its
// successor. All processes may restart meanwhile, which begins that time anew.
const replaceDivisor = 8

// ReplaceAfter returns the time without a response from a voter after which another replica may replace it, where a
// replica that was lost counts as lost until its successor has had the catch-up time.
func ReplaceAfter(catchUp time.Duration) time.Duration {
	return max(DefaultElectionTimeout, catchUp/replaceDivisor)
}
