package subscription

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	start     = uint64(7)
	testLease = time.Second
)

// box is a subscription with its last effects.
type box struct {
	*Subscription
	now     units.Instant
	effects Effects
	// unreachable is set while no replica can be reached.
	unreachable bool
	// dialCount is the number of dial attempts.
	dialCount int
}

func newBox() *box {
	b := &box{now: units.Instant(time.Second)}
	b.Subscription = NewSubscription(Settings{
		Box: table.Box{ID: "b"}, Replicas: []units.ReplicaID{"r1", "r2", "r3"}, RenewInterval: 100 * time.Millisecond,
		ReplicaTimeout: 300 * time.Millisecond, Start: start,
	}, b.now)
	b.deliver(Tick{})
	return b
}

func (b *box) deliver(e Event) {
	b.effects = Effects{}
	b.Reduce(b.now, e, &b.effects)
	if !b.effects.Attach {
		return
	}
	b.dialCount++
	if !b.unreachable {
		b.Reduce(b.now, Attached{Attachment: b.effects.Attachment, Replica: b.effects.Replicas[0]}, &b.effects)
	}
}

func (b *box) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.deliver(Tick{})
}

// nonce returns the nonce of the last request.
func (b *box) nonce() uint64 {
	return b.effects.Sends[len(b.effects.Sends)-1].GetRenewRequest().Nonce
}

func (b *box) receive(m *wire.Envelope) { b.deliver(Received{Attachment: b.attachment, Envelope: m}) }

func grantOf(nonce, revision, start uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_RenewResponse{RenewResponse: &wire.RenewResponse{
		Box: "b", Nonce: nonce, Revision: revision, Start: start, Duration: int64(testLease),
	}}}
}

func tableAt(revision uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Table{Table: &wire.Table{Revision: revision}}}
}

func TestALeaseCountsFromItsRequest(t *testing.T) {
	b := newBox()
	requestedAt, nonce := b.now, b.nonce()
	b.now = b.now.Add(400 * time.Millisecond)
	b.receive(grantOf(nonce, 0, start))
	if want := requestedAt.Add(testLease); b.LeaseUntil() != want {
		t.Fatalf("the lease ends at %d, not at %d", b.LeaseUntil(), want)
	}
}

func TestALeaseWaitsForItsRevision(t *testing.T) {
	b := newBox()
	b.receive(grantOf(b.nonce(), 5, start))
	if b.LeaseUntil() != 0 {
		t.Fatal("the lease is valid before its revision is reached")
	}
	b.receive(tableAt(4))
	if b.LeaseUntil() != 0 {
		t.Fatal("the lease is valid at an earlier revision")
	}
	b.receive(tableAt(5))
	if b.LeaseUntil() == 0 {
		t.Fatal("the lease isn't valid at its revision")
	}
}

func TestGrantsForOthersDoNotCount(t *testing.T) {
	scenarios := []struct {
		testName string
		grant    func(b *box) *wire.Envelope
	}{
		{"an unknown request", func(b *box) *wire.Envelope { return grantOf(b.nonce()+1, 0, start) }},
		{"an earlier run of the box", func(b *box) *wire.Envelope { return grantOf(b.nonce(), 0, start-1) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newBox()
			b.receive(s.grant(b))
			if b.LeaseUntil() != 0 {
				t.Fatal("the grant was accepted")
			}
		})
	}
}

func TestABoxNeverGoesBackAndMovesOnFromSilence(t *testing.T) {
	b := newBox()
	b.receive(tableAt(9))
	b.receive(tableAt(8))
	if b.Table().Revision != 9 {
		t.Fatalf("the box went back to revision %d", b.Table().Revision)
	}
	first := b.attachment
	for range 4 {
		b.advance(100 * time.Millisecond)
	}
	if b.attachment == first {
		t.Fatal("the box stayed with a replica that no longer responds")
	}
	b.deliver(Received{Attachment: first, Envelope: tableAt(10)})
	if b.Table().Revision != 9 {
		t.Fatal("a message of an earlier attachment was processed")
	}
}

func TestAMissedChangeIsNoticed(t *testing.T) {
	b := newBox()
	b.receive(tableAt(3))
	b.receive(&wire.Envelope{Body: &wire.Envelope_DeltaBatch{DeltaBatch: &wire.DeltaBatch{Deltas: []*wire.Delta{{From: 4, Revision: 5}}}}})
	if b.Table().Revision != 3 {
		t.Fatal("a delta that doesn't follow was applied")
	}
	before := b.attachment
	b.advance(100 * time.Millisecond)
	if b.attachment == before {
		t.Fatal("the box didn't attach again to get the whole table")
	}
}

// A replica that starts at the same time as a box may accept its connection without answering. As
// the box can't serve before its first grant, it must leave such a replica sooner than later ones.
func TestABoxWithoutAnyGrantMovesOnSooner(t *testing.T) {
	b := newBox()
	first := b.attachment
	b.advance(80 * time.Millisecond)
	if b.attachment == first {
		t.Fatal("it still waits for a replica that has never responded")
	}
	b.receive(grantOf(b.nonce(), 0, start))
	second := b.attachment
	b.advance(200 * time.Millisecond)
	if b.attachment != second {
		t.Fatal("it has left a replica that granted a lease a moment ago")
	}
}

// A replica that has just sent the whole table works, so the box must wait for its leader's grant.
func TestABoxStaysWhereItGotItsFirstTable(t *testing.T) {
	b := newBox()
	first := b.attachment
	b.advance(50 * time.Millisecond)
	b.receive(tableAt(3))
	b.advance(40 * time.Millisecond)
	if b.attachment != first {
		t.Fatal("it has left a replica that sent the table a moment ago")
	}
	b.advance(80 * time.Millisecond)
	if b.attachment == first {
		t.Fatal("it still waits for a grant")
	}
}

func TestReplicasAreDialledTogether(t *testing.T) {
	b := newBox()
	if d := cmp.Diff([]units.ReplicaID{"r1", "r2", "r3"}, slices.Sorted(slices.Values(b.effects.Replicas))); d != "" {
		t.Fatalf("other replicas are dialled:\n%s", d)
	}
	if len(b.effects.Sends) != 1 {
		t.Fatalf("%d renewals are sent on the new connection", len(b.effects.Sends))
	}
}

// A suspended process accepts connections as fast as one that works.
func TestAReplicaThatWasLeftIsNotDialledAtOnce(t *testing.T) {
	b := newBox()
	left := b.replicas.current
	b.advance(100 * time.Millisecond)
	if slices.Contains(b.effects.Replicas, left) {
		t.Fatalf("%s didn't respond and is dialled again with %v", left, b.effects.Replicas)
	}
	b.unreachable = true
	b.deliver(Detached{Attachment: b.attachment})
	for range 100 {
		b.advance(10 * time.Millisecond)
		if slices.Contains(b.effects.Replicas, left) {
			return
		}
	}
	t.Fatalf("%s is never dialled again though no other replica is reachable", left)
}

// Hundreds of boxes that dial without a backoff overload the replicas that are left.
func TestPausesGrowWhileNoReplicaIsInReach(t *testing.T) {
	scenarios := []struct {
		testName string
		// from and to limit the measured seconds without a replica.
		from, to int
		maxDials int
	}{
		{"the first second", 0, 1, 18},
		{"later", 6, 12, 6},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newBox()
			b.receive(grantOf(b.nonce(), 0, start))
			b.unreachable = true
			b.deliver(Detached{Attachment: b.attachment})
			for i := range s.to * 100 {
				if i == s.from*100 {
					b.dialCount = 0
				}
				b.advance(10 * time.Millisecond)
				if b.effects.Attach {
					b.deliver(Detached{Attachment: b.attachment})
				}
			}
			if b.dialCount > s.maxDials {
				t.Errorf("replicas were dialled %d times", b.dialCount)
			}
			b.unreachable = false
			b.advance(maxDialTimeout * 2)
			if b.link.state != linkUp {
				t.Error("the box isn't attached though replicas are reachable again")
			}
		})
	}
}

// Boxes that lose a replica at the same time must not dial the next one at the same time.
func TestBoxesDialAtDifferentTimes(t *testing.T) {
	limits := map[time.Duration]bool{}
	for seed := range uint64(20) {
		s := NewSubscription(Settings{Replicas: []units.ReplicaID{"r1"}, Seed: seed}, 1)
		limits[s.nextDialTimeout()] = true
	}
	if len(limits) < 15 {
		t.Errorf("20 boxes have %d different dial timeouts", len(limits))
	}
}

func TestALostConnectionIsMadeAnewWithoutDelay(t *testing.T) {
	b := newBox()
	b.receive(grantOf(b.nonce(), 0, start))
	b.advance(90 * time.Millisecond)
	before := b.attachment
	b.deliver(Detached{Attachment: before})
	if wake := b.NextWake(); wake > b.now {
		t.Fatalf("the box waits %v before it attaches again", wake.Sub(b.now))
	}
	b.advance(0)
	if b.attachment == before {
		t.Fatal("the box isn't attached again")
	}
}
