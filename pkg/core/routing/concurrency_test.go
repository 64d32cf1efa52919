package routing

import (
	"testing"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// If filling the last slots of a target slows all of its calls by more than they add, they should
// be left free.
func TestConcurrencyFollowsWhatFullTargetsDo(t *testing.T) {
	for _, c := range []struct {
		name    string
		slots   int
		ratio   float64
		answers int
		want    float64
	}{
		{"six slots that slow down", 6, 1.7, 40, 4},
		{"three slots that slow down", 3, 1.7, 40, 2},
		{"twelve slots that slow down", 12, 1.7, 40, 9},
		{"six slots that don't", 6, 1, 40, 6},
		{"a loss that is worth it", 6, 1.3, 40, 6},
		{"too few answers to tell", 6, 1.7, minTimeSamples - 1, 6},
		{"a single slot", 1, 1.7, 40, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newService(table.Service{})
			v := newTarget(s, table.Row{})
			v.update(table.Row{Registered: true, Slots: c.slots})
			for range c.answers {
				s.whenFull.add(c.ratio)
			}
			if got := v.bestConcurrency(); got != c.want {
				t.Errorf("the best concurrency is %.0f, want %.0f", got, c.want)
			}
		})
	}
}
