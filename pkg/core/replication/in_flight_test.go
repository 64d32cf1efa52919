package replication

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// newLeader returns the leader of three voters; answer delivers a follower's response to an append
// request.
func newLeader(t *testing.T, now units.Instant) (n *Node, answer func(m *wire.Envelope, match units.Index, e *Effects)) {
	t.Helper()
	membership := &wire.Membership{Cluster: "c", Voters: []*wire.Member{
		{Id: "a", Incarnation: "a.1"}, {Id: "b", Incarnation: "b.1"}, {Id: "c", Incarnation: "c.1"},
	}}
	durable := &DurableState{Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: membership}}
	durable.HardState.Term = 1
	n = NewNode(Settings{
		ID: "a", Incarnation: "a.1", Boot: 1, Peers: []units.ReplicaID{"b", "c"},
		ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond,
	}, durable, now)
	receive := func(from string, body wire.Body, e *Effects) {
		n.Receive(now, &wire.Envelope{From: from, To: "a", Incarnation: from + ".1", Boot: 1, Cluster: "c", Body: body}, e)
	}
	n.startElection(now, true, &Effects{})
	n.WritesSynced(now, n.lastWrite, &Effects{})
	receive("b", &wire.Envelope_VoteResponse{VoteResponse: &wire.VoteResponse{Term: uint64(n.Term()), Granted: true}}, &Effects{})
	if !n.IsLeader() {
		t.Fatal("the node isn't the leader")
	}
	return n, func(m *wire.Envelope, match units.Index, e *Effects) {
		r := m.GetAppendRequest()
		receive(m.To, &wire.Envelope_AppendResponse{AppendResponse: &wire.AppendResponse{
			Term: uint64(n.Term()), Match: uint64(match), Round: r.Round,
		}}, e)
	}
}

// appendsTo returns the append requests to a replica.
func appendsTo(e *Effects, id string) []*wire.Envelope {
	var list []*wire.Envelope
	for _, m := range e.Sends {
		if m.To == id && m.GetAppendRequest() != nil {
			list = append(list, m)
		}
	}
	return list
}

// A thousand commands that arrive before a follower's response must be batched into a few messages,
// without losing any, and the follower must receive their commit index.
func TestCommandsThatComeTogetherGoTogether(t *testing.T) {
	const commands, most = 1000, 6
	now := units.Instant(time.Second)
	n, answer := newLeader(t, now)
	e := &Effects{}
	for range commands {
		n.Propose(now, [][]byte{{1}}, e)
	}
	n.WritesSynced(now, n.lastWrite, e)
	sent := 0
	for i := 0; i < len(e.Sends); i++ {
		m := e.Sends[i]
		r := m.GetAppendRequest()
		if r == nil || m.To != "b" {
			continue
		}
		sent++
		answer(m, units.Index(r.PrevIndex)+units.Index(len(r.Entries)), e)
	}
	if sent > most {
		t.Errorf("%d commands were sent in %d messages", commands, sent)
	}
	if n.log.commit != n.log.last() {
		t.Errorf("the log is committed to %d of %d", n.log.commit, n.log.last())
	}
	list := appendsTo(e, "b")
	if sentCommit := list[len(list)-1].GetAppendRequest().Commit; units.Index(sentCommit) != n.log.commit {
		t.Errorf("the follower was sent the commit index %d, not %d", sentCommit, n.log.commit)
	}
}

// Lost responses to append requests must not block a leader's sending for longer than a heartbeat.
func TestLostAnswersHoldUpNothingForLong(t *testing.T) {
	now := units.Instant(time.Second)
	n, _ := newLeader(t, now)
	for range maxInFlightAppends {
		n.Propose(now, [][]byte{{1}}, &Effects{})
	}
	e := &Effects{}
	n.Propose(now, [][]byte{{2}}, e)
	if list := appendsTo(e, "b"); len(list) > 0 {
		t.Fatalf("%d requests were sent beyond the limit of unanswered ones", len(list))
	}
	n.Tick(now.Add(n.settings.Heartbeat), e)
	list := appendsTo(e, "b")
	if len(list) == 0 || len(list[0].GetAppendRequest().Entries) == 0 {
		t.Fatal("the entries weren't sent after a heartbeat interval")
	}
}
