package control

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// powerOff crashes all replicas at once; each restarts after its own delay.
func (w *world) powerOff(delays ...time.Duration) {
	for _, r := range w.replicas {
		w.crash(r)
	}
	for i, r := range w.replicas {
		w.after(delays[i%len(delays)], func() { w.startReplica(r) })
	}
}

// timeToLeader returns the time until a replica holds the leader's lease, at most limit.
func (w *world) timeToLeader(limit time.Duration) time.Duration {
	began := w.now
	for w.now.Sub(began) < limit {
		w.run(time.Millisecond)
		if l := w.leader(); l != nil && l.core.node.HasLease(w.now) {
			break
		}
	}
	return w.now.Sub(began)
}

// A leader's lease ends with its process: once the leader has restarted, and the others have heard
// of it, an election needn't wait for the lease to expire.
func TestAClusterThatLostPowerElectsAtOnce(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d replicas", size), func(t *testing.T) {
			for seed := range uint64(20) {
				w := newWorld(t, seed, size, 2)
				w.submit(w.leader(), newEdit("before", "s", 0, 1))
				w.run(200 * time.Millisecond)
				w.powerOff(10*time.Millisecond, 25*time.Millisecond, 40*time.Millisecond)
				// The last replica starts after 40 ms; the rest of the time allows for slow syncs
				// and split votes.
				if took := w.timeToLeader(3 * testElection); took > 3*testElection/2 {
					t.Errorf("seed %d: no leader for %s", seed, took)
				}
				w.checkRecovery()
			}
		})
	}
}

// While the leader that held the lease hasn't restarted, an election must wait until the lease has
// expired.
func TestNobodyLeadsBeforeALostLeadersLeaseHasRunOut(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 5, 1)
		old := w.leader()
		w.run(50 * time.Millisecond)
		old.frozen = true
		for _, r := range w.replicas {
			if r != old {
				w.crash(r)
				w.startReplica(r)
			}
		}
		began := w.now
		for w.now.Sub(began) < testElection*9/10 {
			w.run(time.Millisecond)
			for _, r := range w.replicas {
				if r != old && r.core.node.IsLeader() {
					t.Fatalf("seed %d: %s leads after %s, before the lease has expired", seed, r.id, w.now.Sub(began))
				}
			}
		}
	}
}

// After replaying its log a replica sends a box the table once, not each step of its history.
func TestAReplicaThatReadsItsLogSendsTheTableOnce(t *testing.T) {
	w := newWorld(t, 1, 3, 1)
	for i := range 12 {
		w.submit(w.leader(), newEdit(fmt.Sprintf("e%d", i), "s", versionAt(w.leader(), "s"), i))
		w.run(50 * time.Millisecond)
	}
	newest := w.leader().core.Table().Revision
	w.powerOff(time.Millisecond)
	seen := map[units.Revision]bool{}
	w.startBox(w.boxes[0])
	for range 1000 {
		w.run(time.Millisecond)
		seen[w.boxes[0].core.Table().Revision] = true
	}
	for revision := range seen {
		if revision != 0 && revision < newest {
			t.Errorf("the box was at revision %d, an earlier one than %d", revision, newest)
		}
	}
}

// A table whose transfer takes longer than a box without a lease waits for an answer arrives
// nevertheless, and isn't sent again and again.
func TestALargeTableComesThroughASlowLink(t *testing.T) {
	w := newGrowingWorld(t, 1, 3, 3, 1)
	w.run(2 * time.Second)
	large := &table.Document{Version: 1, Source: []byte("large"), Services: []table.Service{
		{Name: "s", Work: table.AtMostOnce, Deadline: time.Second},
	}}
	for i := range 1500 {
		// Random names, which don't compress.
		name := fmt.Sprintf("%016x%016x", w.random.Uint64(), w.random.Uint64())
		large.Routes = append(large.Routes, &table.Route{
			Name: fmt.Sprintf("r%d", i), Host: name, PathPrefix: "/" + name + "/", Work: table.AtMostOnce,
			Deadline: time.Second, Services: []table.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	w.order(w.leader(), func(id RequestID) Event { return DocumentSubmitted{Request: id, Document: large} }, func(a Answer) {
		if a.Err != nil {
			t.Fatal(a.Err)
		}
	})
	w.run(time.Second)
	// The whole table takes half a second; the box waits a tenth of that for an answer.
	w.boxRate = float64(proto.Size(wire.FromTable(w.leader().core.Table()))) * 2
	w.startBox(w.boxes[0])
	w.run(time.Second)
	if got := w.boxes[0].core.Table().Document; got != 1 {
		t.Errorf("after a second the box has document %d: %+v", got, w.boxes[0].core.Status(w.now))
	}
}

// Many changes in a row are sent to the boxes together: each update costs every box a message and
// the work of putting a table in force.
func TestChangesInARowReachTheBoxesTogether(t *testing.T) {
	const targets = 60
	w := newGrowingWorld(t, 1, 3, 3, 2)
	w.run(2 * time.Second)
	w.putDocument(w.leader(), false)
	w.run(time.Second)
	before := w.updates
	for i := range targets {
		w.report(w.leader(), units.TargetID(fmt.Sprintf("t%d", 1000+i)), table.Active, 1)
		w.run(time.Millisecond)
	}
	w.run(500 * time.Millisecond)
	if n := w.updates - before; n == 0 || n > targets {
		t.Errorf("%d messages to 2 boxes for %d changes", n, targets)
	}
	for _, b := range w.boxes {
		if got, want := b.core.Table().Revision, w.leader().core.Table().Revision; got != want {
			t.Errorf("box %s is at revision %d, not %d", b.id, got, want)
		}
	}
}

// A delayed message from a leader's previous disk doesn't end the lease that the leader holds now.
func TestALateMessageOfAnEarlierDiskEndsNoLease(t *testing.T) {
	w := newWorld(t, 1, 3, 1)
	late := &wire.Envelope{
		From: "r0", To: "r1", Incarnation: "r0.0", Boot: 1,
		Body: &wire.Envelope_Presence{Presence: &wire.Presence{Formed: true}},
	}
	w.loseDisk(w.replicas[0])
	w.startReplica(w.replicas[0])
	w.run(2 * time.Second)
	for w.leader() != w.replicas[0] {
		w.deliver(w.leader(), StopRequested{})
		w.run(500 * time.Millisecond)
	}
	follower, candidate := w.replicas[1], w.replicas[2]
	w.deliver(follower, PeerMessage{Envelope: w.copyMessage(late)})
	if !follower.core.node.HasRecentLeader(w.now) {
		t.Fatalf("%s would vote for %s while %s holds the lease", follower.id, candidate.id, w.replicas[0].id)
	}
}

// revisionsSeen runs the world and returns the revisions that a box had meanwhile.
func (w *world) revisionsSeen(b *fakeBox, d time.Duration) map[units.Revision]bool {
	seen := map[units.Revision]bool{}
	for end := w.now.Add(d); w.now < end; {
		w.run(time.Millisecond)
		seen[b.core.Table().Revision] = true
	}
	return seen
}

// acceptEdits has a number of edits accepted and returns the newest revision.
func (w *world) acceptEdits(n int) units.Revision {
	for i := range n {
		w.submit(w.leader(), newEdit(fmt.Sprintf("e%d", i), "s", versionAt(w.leader(), "s"), i))
		w.run(50 * time.Millisecond)
	}
	return w.leader().core.Table().Revision
}

// After a power loss the snapshots on the disks are older than what was accepted. A box that got
// one of them first would spend its link and processor time on it, and send calls to targets that
// no longer exist.
func TestABoxGetsTheNewestTableFirst(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 5, 1)
		newest := w.acceptEdits(30)
		w.powerOff(time.Millisecond, 20*time.Millisecond, 60*time.Millisecond)
		w.startBox(w.boxes[0])
		for revision := range w.revisionsSeen(w.boxes[0], time.Second) {
			if revision != 0 && revision < newest {
				t.Errorf("seed %d: the box was at revision %d, an earlier one than %d", seed, revision, newest)
			}
		}
		if got := w.boxes[0].core.Table().Revision; got < newest {
			t.Errorf("seed %d: the box is at revision %d, not %d", seed, got, newest)
		}
	}
}

// A box gets its table and lease as soon as there is a leader, without asking again.
func TestABoxGetsTableAndLeaseAsSoonAsALeaderStands(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 3, 1)
		newest := w.acceptEdits(10)
		w.powerOff(30 * time.Millisecond)
		b := w.boxes[0]
		w.renewInterval, w.replicaTimeout = 4*time.Second, 4*time.Second
		w.startBox(b)
		w.timeToLeader(3 * testElection)
		elected := w.now
		for b.core.Table().Revision < newest || b.core.LeaseUntil() == 0 {
			w.run(time.Millisecond)
			if w.now.Sub(elected) > 4*maxLatency {
				t.Errorf("seed %d: %s after the leader's election the box is at revision %d, its lease ends at %d",
					seed, w.now.Sub(elected), b.core.Table().Revision, b.core.LeaseUntil())
				break
			}
		}
	}
}

// Without a quorum no replica can know the newest table; an older one is better than none then.
func TestABoxGetsAnOlderTableWhereNoLeaderStands(t *testing.T) {
	w := newWorld(t, 1, 3, 1)
	w.acceptEdits(30)
	for _, r := range w.replicas {
		w.crash(r)
	}
	w.startReplica(w.replicas[0])
	w.startBox(w.boxes[0])
	w.run(3 * time.Second)
	if w.boxes[0].core.Table().Revision == 0 {
		t.Errorf("the box has no table: %+v", w.boxes[0].core.Status(w.now))
	}
}
