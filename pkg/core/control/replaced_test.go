package control

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/replication"
)

var replacedSeeds = flag.Uint64("replaced-seeds", 5, "number of schedules in which a replica is replaced before others lose their disks")

const (
	// catchUpTime is how long a replica counts as lost after its return, or after its start if it is new.
	catchUpTime = 4 * time.Second
	// replaceDelay is the time from the loss of a replica to the start of its successor.
	replaceDelay = time.Second
	// acknowledgeTime is the longest time until a document is acknowledged.
	acknowledgeTime = 4 * time.Second
	// maxCalm is the longest time between the troubles of two leaders.
	maxCalm = 900 * time.Millisecond
)

// A replaced replica kept its vote for long after each change of the leader, and two lost disks
// then left no quorum.
func TestAReplacedReplicaKeepsNoVote(t *testing.T) {
	for seed := range *replacedSeeds {
		w := emptyWorld(t, seed, 6, 0)
		successor := w.replicas[5]
		w.grow(w.replicas[:5], replication.Growth{Voters: 5, ReplaceAfter: replication.ReplaceAfter(catchUpTime)}, 3*time.Second)
		gone := w.replicas[w.random.IntN(5)]
		w.crash(gone)
		w.run(replaceDelay)
		w.startReplica(successor)
		last := w.troubleLeaders(gone, catchUpTime)
		if !w.acknowledgeDocument(acknowledgeTime) {
			t.Fatalf("seed %d: no document is acknowledged any more", seed)
		}
		other := w.otherReplica(gone, successor, last)
		w.loseDisk(last)
		w.loseDisk(other)
		for _, r := range w.replicas {
			if w.random.IntN(2) == 0 && r.up {
				w.crash(r)
			}
		}
		for _, r := range w.replicas {
			if r != gone && !r.up {
				w.startReplica(r)
			}
		}
		w.run(5 * time.Second)
		if !w.acknowledgeDocument(acknowledgeTime) {
			t.Fatalf("seed %d: no document is acknowledged any more", seed)
		}
		w.run(100 * time.Millisecond)
		for _, r := range w.replicas {
			if have := r.core.Table().Document; r != gone && have < w.orders.highestDocument {
				t.Fatalf("seed %d: %s holds document %d, %d was acknowledged", seed, r.id, have, w.orders.highestDocument)
			}
		}
	}
}

// troubleLeaders has each leader freeze, restart or lose its links, one after the other, for a time, and
// returns the last of them. Only one has trouble at a time.
func (w *world) troubleLeaders(gone *fakeReplica, d time.Duration) *fakeReplica {
	var last *fakeReplica
	for end := w.now.Add(d); w.now < end || last == nil; {
		w.run(time.Duration(w.random.Int64N(int64(maxCalm))))
		r := w.leader()
		if r == nil || r == gone {
			continue
		}
		last = r
		lasts := 200*time.Millisecond + time.Duration(w.random.Int64N(int64(300*time.Millisecond)))
		switch w.random.IntN(3) {
		case 0:
			r.frozen = true
			w.run(lasts)
			w.unfreeze(r)
		case 1:
			w.crash(r)
			w.run(lasts)
			w.startReplica(r)
		case 2:
			r.partition = 1
			w.run(lasts)
			r.partition = 0
		}
	}
	w.run(500 * time.Millisecond)
	return last
}

// otherReplica returns a random replica that is none of some.
func (w *world) otherReplica(not ...*fakeReplica) *fakeReplica {
	for {
		r := w.replicas[w.random.IntN(len(w.replicas))]
		if !slices.Contains(not, r) {
			return r
		}
	}
}
