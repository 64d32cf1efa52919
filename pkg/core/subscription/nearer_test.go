package subscription

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// dialTimes are how long connecting to each replica takes.
var dialTimes = map[units.ReplicaID]time.Duration{
	"r1": 17 * time.Millisecond, "r2": 17 * time.Millisecond, "r3": 2 * time.Millisecond,
}

// farBox is attached to r1, in another region, and has a lease.
func farBox(severalRegions bool) *box {
	b := newBox()
	b.settings.SeveralRegions = severalRegions
	b.attachTo("r1")
	return b
}

// attachTo has the attempt under way end at a replica, which names all as being at work.
func (b *box) attachTo(id units.ReplicaID) {
	b.Reduce(b.now, Attached{Attachment: b.attachment, Replica: id, Took: dialTimes[id]}, &b.effects)
	b.renewWith("r1", "r2", "r3")
}

func (b *box) renewWith(names ...string) {
	m := grantOf(b.Subscription.nonce, 0, start)
	m.GetRenewResponse().Replicas = names
	b.receive(m)
}

// passWithGrants lets time pass while the present replica is at work, until the box dials.
func (b *box) passWithGrants(d time.Duration) (dialled bool) {
	before := b.attaches
	for end := b.now.Add(d); b.now < end && b.attaches == before; {
		b.dark = true
		b.pass(50 * time.Millisecond)
		if b.attaches == before {
			b.renewWith("r1", "r2", "r3")
		}
	}
	return b.attaches > before
}

func TestABoxMovesToAReplicaOfItsOwnRegion(t *testing.T) {
	b := farBox(true)
	if !b.passWithGrants(moveAfter + moveSpread + time.Second) {
		t.Fatal("the box stays at a replica that is far")
	}
	if last := b.effects.Replicas[len(b.effects.Replicas)-1]; last != "r1" {
		t.Errorf("the box dials %v, the far one should come last", b.effects.Replicas)
	}
	b.attachTo("r3")
	if b.passWithGrants(time.Minute) {
		t.Error("the box leaves a replica that is near")
	}
}

// A search that interrupts a working link for nothing becomes rare, and ends once all replicas
// are known to be far.
func TestABoxSettlesWhereNoReplicaIsNear(t *testing.T) {
	b := farBox(true)
	for _, id := range []units.ReplicaID{"r1", "r1", "r1"} {
		began := b.now
		if !b.passWithGrants(time.Minute) {
			t.Fatal("the box no longer looks though it doesn't know all replicas")
		}
		t.Logf("it looked after %s", b.now.Sub(began))
		b.attachTo(id)
	}
	if b.moves != 3 {
		t.Errorf("%d searches in vain are counted, not 3", b.moves)
	}
	b.replicas.noteDial("r2", farDial)
	b.replicas.noteDial("r3", farDial)
	b.moveAt = 0
	if b.passWithGrants(10 * time.Minute) {
		t.Error("the box looks on though all replicas are far")
	}
}

func TestABoxOfASingleRegionStays(t *testing.T) {
	if farBox(false).passWithGrants(time.Minute) {
		t.Error("the box leaves its replica, though there is one region only")
	}
}
