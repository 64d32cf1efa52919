package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// attachedBoxes are boxes at a lone replica, with the tables that it has told them.
type attachedBoxes struct {
	t          *testing.T
	replica    *singleReplica
	boxes      []table.Box
	tables     []*table.Table
	assemblies []wire.Assembly
	// updatesSent counts the changes that one event tells, wholes the whole tables of each box.
	updatesSent int
	wholeTables []int
}

func attachBoxes(t *testing.T, n int) *attachedBoxes {
	t.Helper()
	a := &attachedBoxes{t: t, replica: newSingleReplica(t), tables: make([]*table.Table, n), assemblies: make([]wire.Assembly, n), wholeTables: make([]int, n)}
	a.replica.deliver(DocumentSubmitted{Request: 2, Document: &table.Document{Version: 1, Services: []table.Service{{Name: "s", Work: table.Repeatable, Deadline: time.Second}}}})
	for i := range n {
		a.boxes = append(a.boxes, table.Box{ID: units.BoxID(fmt.Sprintf("box-%04d", i)), Domain: units.Domain(fmt.Sprint("d", i%6)), Address: "10.0.0.1:7000"})
	}
	a.replica.onBoxSend = a.receive
	return a
}

// renew has a box ask for a lease.
func (a *attachedBoxes) renew(i int) {
	b, revision := &a.boxes[i], units.Revision(0)
	if a.tables[i] != nil {
		revision = a.tables[i].Revision
	}
	a.replica.renew(ConnectionID(i+1), &wire.RenewRequest{
		Box: &wire.Box{Id: string(b.ID), Domain: string(b.Domain), Address: string(b.Address)}, Revision: uint64(revision),
	})
}

func (a *attachedBoxes) renewAll() {
	for i := range a.boxes {
		a.renew(i)
	}
}

// receive has a box put in force what it is told.
func (a *attachedBoxes) receive(s BoxSend) {
	i, m := int(s.Connection)-1, s.Envelope
	if f := m.GetFragment(); f != nil {
		whole, err := a.assemblies[i].Add(f)
		if err != nil {
			a.t.Fatal(err)
		}
		if whole == nil {
			return
		}
		m = whole
	}
	switch body := m.Body.(type) {
	case *wire.Envelope_Table:
		a.updatesSent++
		a.wholeTables[i]++
		a.tables[i] = wire.ToTable(body.Table)
	case *wire.Envelope_DeltaBatch:
		a.updatesSent++
		a.patch(i, wire.ToDelta(body.DeltaBatch.Deltas[0]))
	}
}

func (a *attachedBoxes) patch(i int, d *table.Delta) {
	next, ok := a.tables[i].Patch(d)
	if !ok {
		a.t.Fatalf("box %d at revision %d is told a change from %d", i, a.tables[i].Revision, d.From)
	}
	a.tables[i] = next
}

// runFor lets the replica do what is due, event by event, while boxes renew their leases, and returns the
// most boxes that one event told.
func (a *attachedBoxes) runFor(d time.Duration) (most int) {
	r := a.replica
	renewAt := r.now
	for end := r.now.Add(d); r.now < end; {
		if r.now >= renewAt {
			renewAt = r.now.Add(DefaultLease / 2)
			a.renewAll()
		}
		a.updatesSent = 0
		r.deliver(Tick{})
		most = max(most, a.updatesSent)
		r.now = max(r.core.NextWake(), r.now.Add(time.Millisecond))
	}
	return most
}

// Targets of a large service that register together are told to 300 boxes a few at a time, so that
// elections and leases don't wait for all parts; each box has its own when the round's period is over.
func TestARoundGoesSliceBySlice(t *testing.T) {
	const boxes, targets, together = 300, 1_200, 100
	a := attachBoxes(t, boxes)
	a.runFor(time.Second)
	for i := range targets {
		a.replica.deliver(TargetReported{Request: RequestID(i + 10), Registration: testRegistration(i, 1, table.Active)})
		if i%together != 0 {
			continue
		}
		if most := a.runFor(time.Second); most > pushBatch && a.replica.core.Table().Divided() {
			t.Fatalf("one event tells %d boxes of their parts", most)
		}
	}
	if !a.replica.core.Table().Divided() {
		t.Fatal("the service isn't divided")
	}
	a.runFor(boxes * pushPeriodPerBox)
	for i := range boxes {
		a.renew(i)
		want := a.replica.core.Table().Divider().For(&a.boxes[i])
		if d := cmp.Diff(want, a.tables[i], cmpopts.EquateEmpty(), cmpopts.IgnoreFields(table.Entry{}, "Version")); d != "" {
			t.Fatalf("box %d holds another part than is its own (-want +got):\n%s", i, d)
		}
	}
}

// A third of a fleet that starts together asks for whole tables at once, and again while it waits. The replica works
// out one part an event, and one a box, and has time for elections and leases between them.
func TestBoxesThatStartTogetherAreServedOneByOne(t *testing.T) {
	const boxes, targets = 300, 1_200
	a := attachBoxes(t, boxes)
	a.runFor(time.Second)
	for i := range targets {
		a.replica.deliver(TargetReported{Request: RequestID(i + 10), Registration: testRegistration(i, 1, table.Active)})
	}
	a.runFor(time.Second)
	if !a.replica.core.Table().Divided() {
		t.Fatal("the service isn't divided")
	}
	clear(a.wholeTables)
	for i := range boxes {
		a.replica.deliver(BoxDetached{Connection: ConnectionID(i + 1)})
		a.tables[i] = nil
	}
	for i := range boxes {
		a.updatesSent = 0
		a.renew(i)
		if a.updatesSent > 1 {
			t.Fatalf("one request takes %d whole tables", a.updatesSent)
		}
	}
	if most := a.runFor(boxes * pushBatchInterval); most > 1 {
		t.Errorf("one event takes %d whole tables", most)
	}
	for i, n := range a.wholeTables {
		if n != 1 {
			t.Fatalf("box %d is sent %d whole tables", i, n)
		}
	}
}

// A box that asks in the middle of a round is brought to the round's table, as all others are: what leads
// there is worked out once, however many commits come meanwhile.
func TestARoundLeadsToOneTable(t *testing.T) {
	const boxes, targets = 300, 1_200
	a := attachBoxes(t, boxes)
	a.renewAll()
	for i := range targets {
		a.replica.deliver(TargetReported{Request: RequestID(i + 10), Registration: testRegistration(i, 1, table.Active)})
	}
	a.runFor(time.Second)
	differences := map[*table.Table]bool{}
	for i := range boxes {
		a.replica.deliver(TargetReported{Request: RequestID(i + targets + 10), Registration: testRegistration(i, 2, table.Leaving)})
		a.renew(i)
		differences[a.replica.core.cachedUpdate.to] = true
	}
	if len(differences) > 2 {
		t.Errorf("%d differences were worked out for %d boxes within one period", len(differences), boxes)
	}
}
