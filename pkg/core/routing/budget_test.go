package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// TestBoxesSaveUpNoMoreThanTheTableAllows adds up what the boxes of groups of many sizes may
// save up: never more than the table's number for both kinds, and most of it.
func TestBoxesSaveUpNoMoreThanTheTableAllows(t *testing.T) {
	for _, boxes := range []int{1, 3, 17, 47, 50, 95, 110, 473} {
		for _, extra := range []int{1, 18, 52, 70, 189} {
			saved := savedUpBy(t, boxes, extra)
			both := float64(extraKinds * extra)
			if saved > both+1e-6 || saved < both/2 {
				t.Errorf("%d boxes save up %.2f of %.0f", boxes, saved, both)
			}
		}
	}
}

func savedUpBy(t *testing.T, boxes, extra int) float64 {
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
		for range 2 * extra {
			s.earnExtraTokens()
		}
		total += s.retries.tokens + s.hedges.tokens
	}
	return total
}
