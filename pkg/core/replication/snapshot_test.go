package replication

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// A late snapshot that covers less than the follower already holds must not remove entries that the
// follower has acknowledged.
func TestALateSnapshotTakesNoAcknowledgedEntry(t *testing.T) {
	membership := &wire.Membership{Cluster: "c", Voters: []*wire.Member{
		{Id: "a", Incarnation: "a.1"}, {Id: "b", Incarnation: "b.1"}, {Id: "c", Incarnation: "c.1"},
	}}
	start := &wire.Snapshot{Index: 1, Term: 1, Membership: membership}
	s := Settings{
		ID: "b", Incarnation: "b.1", Boot: 1, Peers: []units.ReplicaID{"a", "c"},
		ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond,
	}
	durable := &DurableState{Snapshot: start}
	durable.HardState.Term = 1
	now := units.Instant(time.Second)
	n := NewNode(s, durable, now)
	receive := func(body wire.Body) *Effects {
		e := &Effects{}
		n.Receive(now, &wire.Envelope{From: "a", To: "b", Incarnation: "a.1", Boot: 1, Cluster: "c", Body: body}, e)
		return e
	}
	entries := []*wire.Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 1}}
	receive(&wire.Envelope_AppendRequest{AppendRequest: &wire.AppendRequest{Term: 1, PrevIndex: 1, PrevTerm: 1, Entries: entries, Commit: 2}})
	late := &wire.Snapshot{Index: 3, Term: 1, Membership: membership}
	e := receive(&wire.Envelope_SnapshotRequest{SnapshotRequest: &wire.SnapshotRequest{Term: 1, Snapshot: late}})
	if last, commit := n.log.last(), n.log.commit; last != 4 || commit != 3 {
		t.Fatalf("the log ends at %d and is committed to %d", last, commit)
	}
	if e.Restored != nil || len(e.Committed) != 1 || e.Committed[0].Index != 3 {
		t.Fatalf("restored %v, committed %v", e.Restored, e.Committed)
	}
}
