package control

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// replicaWithBoxes returns a replica and the sessions of its boxes, which have the current table
// with the targets of one service.
func replicaWithBoxes(t *testing.T, boxes, targets int) (*Replica, []*session) {
	t.Helper()
	r, err := NewReplica(Settings{Replication: replication.Settings{ID: "r", ElectionTimeout: time.Second, Heartbeat: time.Second}}, &replication.DurableState{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.state.ApplyDocument(&table.Document{Version: 1, Services: []table.Service{{Name: "s", Work: table.Repeatable}}})
	var list []table.Box
	for i := range boxes {
		list = append(list, table.Box{ID: units.BoxID(fmt.Sprintf("box-%04d", i)), Domain: units.Domain(fmt.Sprint("d", i%6))})
	}
	r.state.ApplyBoxes(table.BoxChange{Put: list})
	for i := range targets {
		r.state.ApplyRegistration(testRegistration(i, 1, table.Active))
	}
	var sessions []*session
	for i := range list {
		sessions = append(sessions, &session{connection: ConnectionID(i + 1), box: list[i], sentRevision: r.Table().Revision, table: r.Table()})
	}
	return r, sessions
}

func testRegistration(i int, sequence uint64, state table.RowState) *table.Registration {
	return &table.Registration{
		Target: units.TargetID(fmt.Sprintf("i-%08x", i*2654435761%(1<<31))), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
		Domain: units.Domain(fmt.Sprint("d", i%6)), State: state, Sequence: sequence, Slots: 3,
	}
}

// sendChanges changes targets one after the other, and returns how many messages and bytes are sent
// to the boxes in total.
func sendChanges(r *Replica, sessions []*session, changes int) (messages, bytes int) {
	e := &Effects{}
	for i := range changes {
		r.state.ApplyRegistration(testRegistration(i, 2, table.Leaving))
		for _, s := range sessions {
			list := r.updateMessages(s, false, e)
			for _, m := range list {
				messages++
				bytes += proto.Size(m)
			}
		}
	}
	return messages, bytes
}

// A change of one target of a large service is sent only to the boxes that have the target, and
// their number doesn't grow with the fleet. When boxes got the whole service, each change was sent
// to every box.
func TestAChangeGoesToTheBoxesThatHoldTheTarget(t *testing.T) {
	const changes = 40
	r, sessions := replicaWithBoxes(t, 500, 3_000)
	messages, bytes := sendChanges(r, sessions, changes)
	r, sessions = replicaWithBoxes(t, 1_000, 6_000)
	messagesOfTwice, bytesOfTwice := sendChanges(r, sessions, changes)
	t.Logf("%d changes take %d and %d messages, %d and %d bytes", changes, messages, messagesOfTwice, bytes, bytesOfTwice)
	if messagesOfTwice > 2*messages*3/4 || messages > changes*len(sessions)/8 {
		t.Errorf("%d changes take %d messages among 500 boxes and %d among 1,000", changes, messages, messagesOfTwice)
	}
	if bytesOfTwice > 2*bytes*3/4 {
		t.Errorf("%d changes take %d bytes among 500 boxes and %d among 1,000", changes, bytes, bytesOfTwice)
	}
}

// A change that doesn't concern a box is sent with its next lease request: a lease names a
// revision, and the box must have that revision in force to use it.
func TestABoxIsBroughtUpToDateWhenItRenews(t *testing.T) {
	r, sessions := replicaWithBoxes(t, 500, 3_000)
	r.state.ApplyRegistration(testRegistration(7, 2, table.Leaving))
	e := &Effects{}
	for _, s := range sessions {
		if len(r.updateMessages(s, false, e)) > 0 {
			continue
		}
		had := s.sentRevision
		list := r.updateMessages(s, true, e)
		if len(list) != 1 {
			t.Fatalf("a box that requests a lease gets %d messages", len(list))
		}
		d := wire.ToDelta(list[0].GetDeltaBatch().Deltas[0])
		if d.From != had || d.Revision != r.Table().Revision || !d.Empty() {
			t.Fatalf("it gets the delta %+v", d)
		}
		return
	}
	t.Fatal("every box has the target")
}

// A replica with too many waiting commands refuses further ones at once, and accepts commands again
// when the waiting ones are applied.
func TestAReplicaThatCantKeepUpSaysSo(t *testing.T) {
	r := newSingleReplica(t)
	r.deliver(DocumentSubmitted{Request: 1, Document: &table.Document{Version: 1, Services: []table.Service{{Name: "s", Work: table.Repeatable, Deadline: time.Second}}}})
	var e Effects
	for i := range maxWaitingCommands + 1 {
		r.core.Reduce(r.now, 1, TargetReported{Request: RequestID(i + 2), Registration: testRegistration(i, 1, table.Active)}, &e)
	}
	last := RequestID(maxWaitingCommands + 2)
	if len(e.Answers) != 1 || e.Answers[0].Request != last || fault.KindOf(e.Answers[0].Err) != fault.Unavailable {
		t.Fatalf("answered at once: %+v", e.Answers)
	}
	e.Answers = nil
	r.core.Reduce(r.now, 1, DiskSynced{Sequence: e.Writes[len(e.Writes)-1].Sequence}, &e)
	if len(e.Answers) != maxWaitingCommands {
		t.Fatalf("%d commands were answered", len(e.Answers))
	}
	r.core.Reduce(r.now, 1, TargetReported{Request: last + 1, Registration: testRegistration(maxWaitingCommands+1, 1, table.Active)}, &e)
	if len(e.Answers) != maxWaitingCommands {
		t.Fatalf("a command was refused although none waits: %v", e.Answers[len(e.Answers)-1].Err)
	}
}

// Reports of a target with the same content are one command while the first one waits, and a
// command that is forwarded again is one log entry; all reporters are answered.
func TestWhatIsSentAgainIsNoMoreWork(t *testing.T) {
	r := newSingleReplica(t)
	r.deliver(DocumentSubmitted{Request: 1, Document: &table.Document{Version: 1, Services: []table.Service{{Name: "s", Work: table.Repeatable, Deadline: time.Second}}}})
	last := r.core.node.Status(r.now).LastIndex
	var e Effects
	for i := range 5 {
		r.core.Reduce(r.now, 1, TargetReported{Request: RequestID(i + 2), Registration: testRegistration(1, uint64(i+1), table.Active)}, &e)
	}
	command, err := wire.EncodeCommand(&wire.Command{
		Origin: originOf("other", 3), Number: 7, Kind: &wire.Command_Registration{Registration: wire.FromRegistration(testRegistration(2, 1, table.Active))},
	})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		r.core.Reduce(r.now, 1, PeerMessage{Envelope: &wire.Envelope{From: "other", Incarnation: "other", Boot: 3, Body: &wire.Envelope_ProposeRequest{
			ProposeRequest: &wire.ProposeRequest{Command: command, Number: 7},
		}}}, &e)
	}
	if n := r.core.node.Status(r.now).LastIndex - last; n != 2 {
		t.Errorf("%d entries for two targets", n)
	}
	r.core.Reduce(r.now, 1, DiskSynced{Sequence: e.Writes[len(e.Writes)-1].Sequence}, &e)
	if len(e.Answers) != 5 || len(r.core.requests.reports)+len(r.core.requests.proposed) > 0 {
		t.Errorf("%d answers, %d reports and %d proposals are kept", len(e.Answers), len(r.core.requests.reports), len(r.core.requests.proposed))
	}
}

// snapshotBytes returns how many bytes of snapshots a replica writes while targets register.
func snapshotBytes(t *testing.T, targets int) int {
	r := newSingleReplica(t)
	r.deliver(DocumentSubmitted{Request: 1, Document: &table.Document{Version: 1, Services: []table.Service{{Name: "s", Work: table.Repeatable, Deadline: time.Second}}}})
	for i := range targets {
		x := testRegistration(i, 1, table.Active)
		x.Address = fmt.Sprintf("10.%d.%d.%d:8080", 1+i/62500, i/250%250, i%250)
		r.deliver(TargetReported{Request: RequestID(i + 2), Registration: x})
	}
	return r.snapshotBytes
}

// The cost of snapshots per log entry must not grow with the number of targets.
func TestSnapshotsGrowAsTheLogDoes(t *testing.T) {
	half, whole := snapshotBytes(t, 5_000), snapshotBytes(t, 10_000)
	t.Logf("%d bytes of snapshots for 5,000 targets, %d for 10,000", half, whole)
	if whole > 3*half {
		t.Errorf("%d bytes of snapshots for 5,000 targets, %d for 10,000", half, whole)
	}
}
