package control

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// singleReplica is a replica that forms a cluster of its own, with a disk that syncs at once.
type singleReplica struct {
	core      *Replica
	now       units.Instant
	sentBytes int
	// snapshotBytes counts the bytes of the snapshots that it wrote.
	snapshotBytes int
	// onBoxSend is called with each message to a box, if it is set.
	onBoxSend func(BoxSend)
	e         Effects
}

func newSingleReplica(b testing.TB) *singleReplica {
	s := Settings{
		Replication: replication.Settings{ID: "r", Incarnation: "i", Boot: 1, ElectionTimeout: 400 * time.Millisecond, Heartbeat: 100 * time.Millisecond},
		Lease:       DefaultLease, LeaseMargin: DefaultLeaseMargin, EditTimeout: DefaultEditTimeout, SnapshotEvery: DefaultSnapshotEvery,
		KeepEntries: DefaultKeepEntries, SilentAfter: time.Minute,
	}
	core, err := NewReplica(s, &replication.DurableState{}, 0)
	if err != nil {
		b.Fatal(err)
	}
	r := &singleReplica{core: core, now: units.Instant(time.Second)}
	r.deliver(FormRequested{Request: 1, Cluster: "c"})
	for range 100 {
		r.now = r.now.Add(20 * time.Millisecond)
		r.deliver(Tick{})
	}
	if !core.node.IsLeader() {
		b.Fatal("the replica doesn't lead")
	}
	return r
}

// deliver has the replica handle an event, and syncs what it writes.
func (r *singleReplica) deliver(event Event) {
	r.core.Reduce(r.now, 1, event, &r.e)
	for len(r.e.Writes) > 0 {
		for _, w := range r.e.Writes {
			if w.Snapshot != nil {
				r.snapshotBytes += len(w.Snapshot.State)
			}
		}
		last := r.e.Writes[len(r.e.Writes)-1].Sequence
		r.countSends()
		r.core.Reduce(r.now, 1, DiskSynced{Sequence: last}, &r.e)
	}
	r.countSends()
}

// renew delivers a box's lease request.
func (r *singleReplica) renew(c ConnectionID, request *wire.RenewRequest) {
	request.Nonce, request.Start = uint64(r.now), 1
	r.deliver(BoxMessage{Connection: c, Envelope: &wire.Envelope{Body: &wire.Envelope_RenewRequest{RenewRequest: request}}})
}

// countSends counts the bytes sent to boxes, encoded as for a connection.
func (r *singleReplica) countSends() {
	for _, s := range r.e.BoxSends {
		data, err := proto.Marshal(s.Envelope)
		if err == nil {
			r.sentBytes += len(data)
		}
		if r.onBoxSend != nil {
			r.onBoxSend(s)
		}
	}
	r.e = Effects{}
}

// BenchmarkRegistrations measures the time that a replica spends per target while 10,000 targets
// register at 1,600 a second and attached boxes renew their leases, and the longest time for one
// event: 104 us and 27 ms with 100 boxes (215 us and 240 ms while a round was one event), 212 us
// and 90 ms with 300 (580 us and 1.1 s).
func BenchmarkRegistrations(b *testing.B) {
	for _, boxes := range []int{100, 300} {
		b.Run(fmt.Sprint(boxes, "-boxes"), func(b *testing.B) { registerMany(b, boxes) })
	}
}

func registerMany(b *testing.B, boxes int) {
	const targets, domains = 10_000, 6
	var longest time.Duration
	for range b.N {
		b.StopTimer()
		r := newSingleReplica(b)
		r.deliver(DocumentSubmitted{Request: 2, Document: &table.Document{Version: 1, Services: []table.Service{
			{Name: "s0", Work: table.Repeatable, Deadline: time.Second}, {Name: "s1", Work: table.Repeatable, Deadline: time.Second},
			{Name: "s2", Work: table.Repeatable, Deadline: time.Second},
		}}})
		renew := func(i int) {
			r.renew(ConnectionID(i+1), &wire.RenewRequest{
				Box: &wire.Box{Id: fmt.Sprintf("box-%04d", i), Domain: fmt.Sprint("d", i%domains), Address: "10.0.0.1:7000"}, Revision: uint64(r.core.Table().Revision),
			})
		}
		for i := range boxes {
			renew(i)
		}
		b.StartTimer()
		for i := range targets {
			r.now = r.now.Add(625 * time.Microsecond)
			t := testRegistration(i, 1, table.Active)
			t.Service = units.ServiceName([]string{"s0", "s1", "s2", "s2"}[i%4])
			t.Domain = units.Domain(fmt.Sprint("d", i%domains))
			t.Address = fmt.Sprintf("10.%d.%d.%d:8080", 1+i/62500, i/250%250, i%250)
			began := time.Now()
			r.deliver(TargetReported{Request: RequestID(i + 10), Registration: t})
			longest = max(longest, time.Since(began))
			if i%6 == 0 {
				renew(i / 6 % boxes)
			}
		}
		b.StopTimer()
		if n := r.core.state.RegistrationCount(); n != targets {
			b.Fatalf("%d targets are registered", n)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/targets, "us/registration")
	b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest-event")
}
