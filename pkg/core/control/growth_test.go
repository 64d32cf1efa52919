package control

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// growthFaults are the actions for a cluster that grows by itself and may lose two of its five
// disks at once.
var growthFaults = append([]faultAction{
	{"document", func(w *world, n int) { w.putDocument(w.replicas[n%len(w.replicas)], false) }},
	{"document again", func(w *world, n int) { w.putDocument(w.replicas[n%len(w.replicas)], n%2 == 0) }},
	{"read", func(w *world, n int) { w.readDocument(w.replicas[n%len(w.replicas)]) }},
	{"read all", func(w *world, n int) {
		for _, r := range w.replicas {
			w.readDocument(r)
		}
	}},
	{"target", func(w *world, n int) { w.changeTarget(n) }},
	{"two targets", func(w *world, n int) { w.changeTarget(n); w.changeTarget(n / 3) }},
	{"lose two disks", func(w *world, n int) { w.loseTwoDisks(n) }},
	{"crash all", func(w *world, n int) { w.crashAll(0) }},
}, faults...)

// loseTwoDisks replaces two disks by empty ones at once; depending on n, all other replicas crash
// at the same time. It does nothing while voters are missing, or if n selects one replica twice.
func (w *world) loseTwoDisks(n int) {
	if w.voters() < w.growth.Voters {
		return
	}
	first, second := n%len(w.replicas), (n/7)%len(w.replicas)
	if first == second {
		return
	}
	for i, r := range w.replicas {
		switch {
		case i == first || i == second:
			w.loseDisk(r)
		case n%3 == 0:
			w.crash(r)
		}
	}
	for _, r := range w.replicas {
		if !r.up {
			w.startReplica(r)
		}
	}
}

func TestAClusterFormsFromSeedsAndGrows(t *testing.T) {
	for seed := range uint64(30) {
		w := newGrowingWorld(t, seed, 5, 5, 2)
		if n := w.voters(); n != 5 {
			t.Fatalf("seed %d: %d of 5 replicas vote", seed, n)
		}
		clusters := map[string]bool{}
		for _, r := range w.replicas {
			clusters[r.core.Status(w.now).Log.Cluster] = true
		}
		if len(clusters) != 1 {
			t.Fatalf("seed %d: several clusters formed: %v", seed, clusters)
		}
	}
}

func TestNothingIsAcknowledgedBeforeEnoughDisksHoldIt(t *testing.T) {
	w := emptyWorld(t, 1, 5, 1)
	w.seeds = 3
	w.growth = &replication.Growth{Bootstrap: true, Voters: 5, ReplaceAfter: time.Second}
	// Only two of the three seeds run, so no cluster may form.
	w.startReplica(w.replicas[0])
	w.startReplica(w.replicas[1])
	w.run(2 * time.Second)
	w.putDocument(w.replicas[0], false)
	w.run(2 * time.Second)
	if w.orders.highestDocument != 0 {
		t.Fatal("a document was acknowledged by two replicas of five")
	}
	w.startReplica(w.replicas[2])
	w.run(2 * time.Second)
	// One of the three voters is down: the other two are still a quorum of the new cluster, but
	// their two disks could both be lost.
	w.crash(w.replicas[2])
	w.putDocument(w.replicas[0], false)
	w.run(2 * time.Second)
	if w.orders.highestDocument != 0 {
		t.Fatal("a document was acknowledged that only two disks hold")
	}
	w.growth.Bootstrap = false
	// endFaults restarts the crashed voter and starts the last two replicas for the first time.
	w.endFaults()
	w.run(3 * time.Second)
	w.putDocument(w.replicas[4], false)
	w.run(time.Second)
	if w.orders.highestDocument != w.orders.lastVersion {
		t.Fatalf("document %d wasn't acknowledged by a grown cluster", w.orders.lastVersion)
	}
}

func TestNoSecondClusterFormsFromEmptyDisks(t *testing.T) {
	w := newGrowingWorld(t, 5, 5, 5, 1)
	cluster := w.leader().core.Status(w.now).Log.Cluster
	for _, r := range w.replicas[:2] {
		w.loseDisk(r)
		w.startReplica(r)
	}
	w.run(4 * time.Second)
	for _, r := range w.replicas {
		if s := r.core.Status(w.now).Log; s.Cluster != cluster || !s.Voter {
			t.Fatalf("%s: %+v; the cluster is %s", r.id, s, cluster)
		}
	}
}

func TestAVoterThatIsGoneIsReplaced(t *testing.T) {
	w := newGrowingWorld(t, 9, 6, 5, 1)
	if n := w.voters(); n != 5 {
		t.Fatalf("%d voters, not 5", n)
	}
	w.crash(w.votingFollower())
	w.run(6 * time.Second)
	if n := w.voters(); n != 5 {
		t.Fatalf("%d voters long after one was lost, not 5", n)
	}
}

// A voter whose disk hangs still answers heartbeats, but it holds nothing new.
func TestAVoterWhoseDiskHangsIsReplaced(t *testing.T) {
	for seed := range uint64(5) {
		w := newGrowingWorld(t, seed, 6, 5, 1)
		hanging := w.votingFollower()
		hanging.stalled = true
		w.putDocument(w.leader(), false)
		w.run(4 * time.Second)
		if slices.Contains(w.leader().core.node.Voters(), hanging.id) {
			t.Fatalf("seed %d: %s votes, though its disk has been hanging for 4 s", seed, hanging.id)
		}
	}
}

// A replica that returns after it was replaced must find the leader, even one that joined meanwhile.
func TestAReplicaThatWasReplacedFollowsAgain(t *testing.T) {
	for seed := range uint64(5) {
		w := newGrowingWorld(t, seed, 6, 5, 1)
		w.putDocument(w.replicas[0], false)
		w.run(500 * time.Millisecond)
		var late *fakeReplica
		for _, r := range w.replicas {
			if !r.core.Status(w.now).Log.Voter {
				late = r
			}
		}
		w.loseDisk(late)
		w.run(time.Second)
		returning := w.otherReplica(late, w.leader())
		w.crash(returning)
		w.startReplica(late)
		w.run(4 * time.Second)
		w.makeLeader(late)
		w.startReplica(returning)
		w.run(3 * time.Second)
		if have := returning.core.Table().Document; have < w.orders.highestDocument {
			t.Fatalf("seed %d: %s holds document %d after its return, %d was acknowledged", seed, returning.id, have, w.orders.highestDocument)
		}
	}
}

// makeLeader restarts leaders until a replica leads.
func (w *world) makeLeader(r *fakeReplica) {
	for range 50 {
		leader := w.leader()
		if leader == r {
			return
		}
		if leader != nil {
			w.crash(leader)
			w.run(500 * time.Millisecond)
			w.startReplica(leader)
		}
		w.run(500 * time.Millisecond)
	}
	w.t.Fatalf("%s never leads", r.id)
}

// With one voter fewer, even for a moment, the loss of two disks would leave no quorum.
func TestAVoterIsReplacedWithoutFewerVoters(t *testing.T) {
	for seed := range uint64(5) {
		w := newGrowingWorld(t, seed, 7, 5, 1)
		w.crash(w.votingFollower())
		for range 4000 {
			w.run(time.Millisecond)
			for _, r := range w.replicas {
				if n := len(r.core.node.Voters()); r.up && n < 5 {
					t.Fatalf("seed %d: %s knows %d voters while one is replaced", seed, r.id, n)
				}
			}
		}
		if n := w.voters(); n != 5 {
			t.Fatalf("seed %d: %d voters long after one was lost, not 5", seed, n)
		}
	}
}

// Over the life of a process, more replicas may be replaced than it keeps in memory.
func TestReplicasAreReplacedAgainAndAgain(t *testing.T) {
	const replaced = 70
	w := emptyWorld(t, 1, 5+replaced, 0)
	w.grow(w.replicas[:5], replication.Growth{Voters: 5, ReplaceAfter: time.Second}, 3*time.Second)
	for i, successor := range w.replicas[5:] {
		// The first replica stays, and so do its peers.
		gone := w.replicas[i+1]
		w.crash(gone)
		w.gone = append(w.gone, gone)
		w.run(200 * time.Millisecond)
		w.startReplica(successor)
		w.run(3 * time.Second)
		if n := w.voters(); n != 5 {
			t.Fatalf("%d of 5 replicas vote after %d were replaced", n, i+1)
		}
	}
}

func TestLateReportsBringNobodyBack(t *testing.T) {
	w := newGrowingWorld(t, 11, 5, 5, 2)
	w.putDocument(w.replicas[0], false)
	w.report(w.replicas[1], "t1", table.Active, 1)
	w.report(w.replicas[1], "t2", table.Active, 1)
	w.run(200 * time.Millisecond)
	w.report(w.replicas[2], "t1", table.Leaving, 7)
	w.depart(w.replicas[3], "t2")
	w.run(200 * time.Millisecond)
	if !w.orders.leaving["t1"] || !w.orders.gone["t2"] {
		t.Fatal("draining and departure weren't acknowledged")
	}
	w.report(w.replicas[4], "t1", table.Active, 6)
	w.report(w.replicas[4], "t2", table.Active, 9)
	w.crashAll(0)
	w.run(2 * time.Second)
	w.checkOrders()
}

func TestSilenceOfAllIsNotTakenForTheirs(t *testing.T) {
	w := newGrowingWorld(t, 13, 5, 5, 1)
	w.putDocument(w.replicas[0], false)
	for _, id := range []string{"t1", "t2"} {
		w.report(w.replicas[1], units.TargetID(id), table.Active, 1)
	}
	w.run(3 * time.Second)
	if n := w.silent(); n != 0 {
		t.Fatalf("%d targets count as silent while no target reports at all", n)
	}
	for i := range 30 {
		w.report(w.replicas[2], "t1", table.Active, uint64(i+2))
		w.run(100 * time.Millisecond)
	}
	if n := w.silent(); n != 1 {
		t.Fatalf("%d targets count as silent, one should", n)
	}
	for i := range 10 {
		w.report(w.replicas[3], "t2", table.Active, uint64(i+2))
		w.report(w.replicas[2], "t1", table.Active, uint64(i+50))
		w.run(100 * time.Millisecond)
	}
	if n := w.silent(); n != 0 {
		t.Fatalf("%d targets count as silent after both have reported", n)
	}
}

// silent counts the targets that are silent in the leader's state.
func (w *world) silent() int {
	n := 0
	w.leader().core.state.EachRegistration(func(r *table.Registration) {
		if r.Silent {
			n++
		}
	})
	return n
}

func TestRandomFaultsOfAGrowingClusterBreakNoPromise(t *testing.T) {
	t.Parallel()
	checkGrowingCluster(t, 5)
}

// With more replicas than voters, voters are replaced all the time.
func TestRandomFaultsBesideFurtherReplicasBreakNoPromise(t *testing.T) {
	t.Parallel()
	checkGrowingCluster(t, 8)
}

// checkGrowingCluster runs random schedules of a cluster of five voters.
func checkGrowingCluster(t *testing.T, replicas int) {
	tried := 0
	rapid.Check(t, func(rt *rapid.T) {
		tried++
		w := newGrowingWorld(rt, rapid.Uint64().Draw(rt, "seed"), replicas, 5, 3)
		steps := rapid.SliceOfN(rapid.IntRange(0, len(growthFaults)*1000-1), 10, 60).Draw(rt, "faults")
		for _, s := range steps {
			f := growthFaults[s%len(growthFaults)]
			f.do(w, s/len(growthFaults))
			w.run(stepDuration(s))
		}
		w.checkRecovery()
		w.checkOrders()
		for _, r := range w.replicas {
			w.readDocument(r)
		}
		w.run(time.Second)
	})
	t.Logf("%d schedules ran", tried)
}
