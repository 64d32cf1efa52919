package subscription

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/wire"
)

const testExposure = 900 * time.Millisecond

// grantWithExposure returns a grant with an exposure for a stage of a rollout.
func grantWithExposure(nonce, since uint64) *wire.Envelope {
	m := grantOf(nonce, 0, start)
	m.GetRenewResponse().Exposures = []*wire.Exposure{{Service: "s", Order: 3, Since: since, Share: 10, Duration: int64(testExposure)}}
	return m
}

func TestAnExposureCountsFromItsRequest(t *testing.T) {
	b := newBox()
	requestedAt, nonce := b.now, b.nonce()
	b.now = b.now.Add(200 * time.Millisecond)
	b.receive(grantWithExposure(nonce, 5))
	want := []rollout.Exposure{{Service: "s", Order: 3, Since: 5, Share: 10, RequestedAt: requestedAt, ExpiresAt: requestedAt.Add(testExposure)}}
	if difference := cmp.Diff(want, b.effects.Exposures); difference != "" || !b.effects.ExposuresChanged {
		t.Fatal(difference)
	}
}

func TestOnlyTheNewestGrantSaysWhatIsExposed(t *testing.T) {
	b := newBox()
	first := b.nonce()
	b.advance(100 * time.Millisecond)
	second := b.nonce()
	b.advance(100 * time.Millisecond)
	third := b.nonce()
	b.receive(grantWithExposure(second, 5))
	b.receive(grantWithExposure(first, 4))
	if b.effects.ExposuresChanged {
		t.Fatal("a grant for an earlier request was accepted")
	}
	b.receive(grantOf(third, 0, start))
	if !b.effects.ExposuresChanged || len(b.effects.Exposures) > 0 {
		t.Fatal("a newer grant without exposures doesn't end them")
	}
	b.receive(grantWithExposure(second, 5))
	if b.effects.ExposuresChanged {
		t.Fatal("a duplicate grant was accepted")
	}
}

func TestExposuresOfOthersAreNotTaken(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(r *wire.RenewResponse)
	}{
		{"an unknown request", func(r *wire.RenewResponse) { r.Nonce++ }},
		{"an earlier run of the box", func(r *wire.RenewResponse) { r.Start-- }},
		{"no leader", func(r *wire.RenewResponse) { r.Duration = 0 }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newBox()
			m := grantWithExposure(b.nonce(), 5)
			s.change(m.GetRenewResponse())
			b.receive(m)
			if b.effects.ExposuresChanged {
				t.Fatal("the exposure was accepted")
			}
		})
	}
}

func TestGrantsWithoutRolloutsChangeNothing(t *testing.T) {
	b := newBox()
	b.receive(grantOf(b.nonce(), 0, start))
	if b.effects.ExposuresChanged {
		t.Fatal("there was nothing to change")
	}
}

func TestUrgentNewsAreSentAtOnce(t *testing.T) {
	b := newBox()
	b.receive(grantOf(b.nonce(), 0, start))
	b.now = b.now.Add(time.Millisecond)
	b.deliver(RenewNow{})
	if len(b.effects.Sends) != 1 {
		t.Fatalf("%d requests were sent", len(b.effects.Sends))
	}
	if want := b.now.Add(100 * time.Millisecond); b.NextWake() != want {
		t.Fatalf("the next request is due at %d, not at %d", b.NextWake(), want)
	}
}

func TestUrgentNewsWaitForAReplica(t *testing.T) {
	b := newBox()
	b.unreachable = true
	b.deliver(Detached{Attachment: b.attachment})
	b.deliver(RenewNow{})
	if len(b.effects.Sends) > 0 {
		t.Fatal("a request was sent without a replica")
	}
}
