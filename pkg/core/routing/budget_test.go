package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// TestBoxesSaveUpNoMoreThanTheTableAllows sums the tokens saved by all boxes, for many numbers of
// boxes: at most the table's cap for both kinds beside what the calls of the last extraTokenAge earned,
// and at least half of it.
func TestBoxesSaveUpNoMoreThanTheTableAllows(t *testing.T) {
	for _, boxes := range []int{1, 3, 17, 47, 50, 95, 110, 473} {
		for _, extra := range []int{1, 18, 52, 70, 189} {
			for _, interval := range []time.Duration{10 * time.Second, extraTokenAge, 20 * time.Millisecond} {
				saved := totalSaved(t, boxes, extra, interval)
				both := float64(extraKinds * extra)
				recent := extraKinds * float64(boxes) * min(2*float64(extra), 1+float64(extraTokenAge/interval))
				if saved > both+recent+1e-6 || saved < both/2 {
					t.Errorf("%d boxes with a call each %v save %.2f of %.0f tokens beside the %.0f of recent calls", boxes, interval, saved, both, recent)
				}
			}
		}
	}
}

func totalSaved(t *testing.T, boxes, extra int, interval time.Duration) float64 {
	var list []table.Box
	for i := range boxes {
		list = append(list, table.Box{ID: units.BoxID(fmt.Sprintf("box-%03d", i))})
	}
	total := 0.0
	for _, b := range list {
		router, err := NewRouter(Settings{Box: b.ID}, units.Instant(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		router.rank = rankOf(b.ID, list)
		s := newService(table.Service{Name: "shop", ExtraBurst: extra, RetryBudget: 100, HedgeBudget: 100})
		router.divideExtraBurst(s)
		for i := range 2 * extra {
			s.earnExtraTokens(units.Instant(time.Second).Add(time.Duration(i) * interval))
		}
		total += s.retries.tokens + s.hedges.tokens
	}
	return total
}
