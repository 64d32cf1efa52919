package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Without pauses a box would ask all others again and again where nobody has a token left.
func TestABoxAsksSeldomForTokensThatNobodyHas(t *testing.T) {
	for _, lenders := range []int{1, 5, 17, 249} {
		now := units.Instant(time.Minute)
		var b tokenBorrowing
		ids := make([]units.BoxID, lenders)
		for range int(10 * time.Second / time.Millisecond) {
			now = now.Add(time.Millisecond)
			if now >= b.pauseUntil {
				b.nextLender(ids, now)
				b.recordFruitless(now)
			}
		}
		if b.status.Fruitless > 40 {
			t.Errorf("%d requests in 10 s to %d lenders without a token, at most 40 are wanted", b.status.Fruitless, lenders)
		}
	}
}

// A lender that is asked twice within a moment has saved nothing since.
func TestALapOverFewLendersTakesAWhile(t *testing.T) {
	now := units.Instant(time.Minute)
	var b tokenBorrowing
	ids := []units.BoxID{"a", "b", "c"}
	asked := 0
	for range int(time.Second / time.Millisecond) {
		now = now.Add(time.Millisecond)
		if now >= b.pauseUntil {
			b.nextLender(ids, now)
			asked++
		}
	}
	if most := len(ids) * int(time.Second/minLapTime); asked > most {
		t.Errorf("%d requests in a second to %d lenders, at most %d are wanted", asked, len(ids), most)
	}
}

// A lender keeps what its own calls need, and what is lent can't be spent twice.
func TestALenderKeepsProbesForItsOwnCalls(t *testing.T) {
	for _, x := range []struct {
		testName       string
		saved          float64
		callsPerSecond float64
		asked, lent    int
	}{
		{testName: "idle", saved: 20, asked: 10, lent: 10},
		{testName: "idle, few saved", saved: 8.5, asked: 10, lent: 6},
		{testName: "nothing saved", saved: 1, asked: 10},
		{testName: "calls of its own", saved: 30, callsPerSecond: 20, asked: 64, lent: 10},
		{testName: "nothing to spare", saved: 20, callsPerSecond: 30, asked: 10},
	} {
		r, err := NewRouter(Settings{Box: "me", ServeStale: true}, units.Instant(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		s := newService(table.Service{Name: "shop", ProbeTargets: 2})
		s.probeBudget = tokenBucket{tokens: x.saved, refilledAt: r.now}
		s.arrivals = eventRate{value: x.callsPerSecond, at: r.now}
		s.targets = []*target{{service: s, probeShare: delayedShare{value: 1}}}
		r.settings.ProbeCost = time.Millisecond
		s.row.MeasureBudget = 1
		if got := r.lendProbes(s, x.asked); got != x.lent {
			t.Errorf("%s: %d of %d probes lent, want %d", x.testName, got, x.asked, x.lent)
		}
		if got := r.lendProbes(s, x.asked); x.lent < x.asked && got != 0 {
			t.Errorf("%s: %d further probes lent, want none", x.testName, got)
		}
	}
}
