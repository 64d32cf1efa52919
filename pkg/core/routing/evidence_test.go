package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The number of entries is bounded for any number of routes, and no answer is left out.
func TestEvidenceIsBounded(t *testing.T) {
	var v versionEvidence
	for i := range 100 {
		v.forRoute(true, fmt.Sprintf("host-%d", i), "/").addSuccess(time.Millisecond)
	}
	sum := uint64(0)
	for _, x := range v.new {
		sum += x.successes
	}
	if len(v.new) != maxEvidenceRoutes+1 || sum != 100 || len(v.old) != 0 {
		t.Fatalf("%d routes with %d answers", len(v.new), sum)
	}
}

// The number of chosen calls never exceeds the share by more than one call, however the share
// changes.
func TestLotKeepsToItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		l := newLot(random)
		want, got := 0.0, 0.0
		for range rapid.IntRange(1, 5).Draw(t, "shares") {
			share := rapid.Float64Range(0, 0.5).Draw(t, "share")
			for range 200 {
				want += share
				if l.draw(share, random) {
					got++
				}
				if math.Abs(got-want) > 1+1e-9 && got > want {
					t.Fatalf("%.0f calls were chosen instead of %.2f", got, want)
				}
			}
		}
		if got < 0.8*want-1 {
			t.Fatalf("%.0f calls were chosen instead of %.2f", got, want)
		}
	})
}
