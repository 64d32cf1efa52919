package subscription

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// newBoxInDomain returns a box that is attached to a seed in another domain and knows all replicas' domains.
func newBoxInDomain(id units.BoxID, domain units.Domain, names, domains []string) *box {
	b := &box{now: units.Instant(time.Second)}
	b.Subscription = NewSubscription(Settings{
		Box: table.Box{ID: id, Domain: domain}, Replicas: []units.ReplicaID{"seed"}, RenewInterval: 100 * time.Millisecond,
		ReplicaTimeout: 300 * time.Millisecond, Start: start,
	}, b.now)
	b.deliver(Tick{})
	m := grantOf(b.nonce(), 0, start)
	m.GetRenewResponse().Replicas, m.GetRenewResponse().ReplicaDomains = names, domains
	b.receive(m)
	return b
}

// renewFor renews the box's lease for a time and returns the replicas that it dials meanwhile.
func (b *box) renewFor(d time.Duration) [][]units.ReplicaID {
	var dialled [][]units.ReplicaID
	for end := b.now.Add(d); b.now < end; {
		b.advance(50 * time.Millisecond)
		if b.effects.Attach {
			dialled = append(dialled, b.effects.Replicas)
		}
		if b.link.state == linkUp && len(b.effects.Sends) > 0 {
			b.receive(grantOf(b.nonce(), 0, start))
		}
	}
	return dialled
}

var (
	replicaNames   = []string{"seed", "a1", "a2", "b1"}
	replicaDomains = []string{"c", "a", "a", "b"}
)

func TestABoxMovesToAReplicaOfItsDomain(t *testing.T) {
	b := newBoxInDomain("box", "a", replicaNames, replicaDomains)
	dialled := b.renewFor(3 * time.Second)
	if len(dialled) != 1 || len(dialled[0]) != 1 || b.replicas.domains[dialled[0][0]] != "a" {
		t.Fatalf("the box dials %v", dialled)
	}
	if b.LeaseUntil() <= b.now {
		t.Error("the box has lost its lease while it moved")
	}
	if dialled := b.renewFor(20 * time.Second); len(dialled) > 0 {
		t.Errorf("a box attached to its preferred replica dials %v", dialled)
	}
}

// An unreachable preferred replica must be dialled only occasionally, and must not cost the box its lease.
func TestABoxWhoseHomeIsOutOfReachStays(t *testing.T) {
	b := newBoxInDomain("box", "b", replicaNames, replicaDomains)
	b.renewFor(400 * time.Millisecond)
	b.unreachable = true
	dials := 0
	for range 20 * 60 {
		b.advance(50 * time.Millisecond)
		if b.effects.Attach {
			preferred := slices.Equal(b.effects.Replicas, []units.ReplicaID{"b1"})
			if preferred {
				dials++
			}
			b.unreachable = preferred
			if !preferred {
				b.deliver(Attached{Attachment: b.attachment, Replica: b.effects.Replicas[0]})
			} else {
				b.deliver(Detached{Attachment: b.attachment})
			}
		}
		if b.link.state == linkUp && len(b.effects.Sends) > 0 {
			b.receive(grantOf(b.nonce(), 0, start))
		}
		if b.LeaseUntil() <= b.now {
			t.Fatal("the box has lost its lease")
		}
	}
	if dials == 0 || dials > 8 {
		t.Errorf("the preferred replica was dialled %d times in a minute", dials)
	}
}

// Boxes of a domain without a replica are spread over all replicas, other boxes over those of their domain.
func TestBoxesAreSpreadOverReplicas(t *testing.T) {
	count := map[units.ReplicaID]int{}
	for i := range 600 {
		domain := []units.Domain{"a", "b", "none"}[i%3]
		l := newReplicaList(nil, nil)
		l.updateListed(replicaNames, replicaDomains)
		preferred := l.preferred(units.BoxID(fmt.Sprint("box", i)), domain, 0)
		if domain != "none" && l.domains[preferred] != domain {
			t.Fatalf("a box of domain %s prefers replica %s", domain, preferred)
		}
		count[preferred]++
	}
	if count["a1"] < 100 || count["a2"] < 100 || count["b1"] < 200 || count["seed"] < 25 {
		t.Errorf("the boxes per replica are %v", count)
	}
}

// A leader that learns of another replica's domain must send its list again, so the checksum must cover
// domains.
func TestTheChecksumKnowsDomains(t *testing.T) {
	if wire.ChecksumReplicas(replicaNames, replicaDomains) == wire.ChecksumReplicas(replicaNames, []string{"c", "a", "a", ""}) {
		t.Error("the checksum doesn't cover domains")
	}
}
