package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fixedseed"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// drawList draws a sorted list of boxes.
func drawList(t *rapid.T) []table.Box {
	var boxes []table.Box
	for i, in := range rapid.SliceOfN(rapid.Bool(), 1, 9).Draw(t, "boxes") {
		if in {
			boxes = append(boxes, table.Box{ID: units.BoxID(fmt.Sprintf("b%d", i))})
		}
	}
	return boxes
}

// Through any changes of the list, the parts of all listed boxes settle to the
// limit exactly, and at no moment add up to more.
func TestPartsNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		now := units.Instant(time.Second)
		var routers []*Router
		for i := range 9 {
			r, err := NewRouter(Settings{Box: units.BoxID(fmt.Sprintf("b%d", i)), ShareDelay: time.Second, MaxDeadline: time.Hour}, now)
			if err != nil {
				t.Fatal(err)
			}
			routers = append(routers, r)
		}
		entry := &table.Entry{
			Service: table.Service{Name: "s", Hosts: []string{"s"}},
			Rows:    table.RowsOf(table.Row{Service: "s", Target: "t", Weight: 1, MaxInFlight: limit, State: table.Active}),
		}
		var e Effects
		listed := 0
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			next := &table.Table{Revision: units.Revision(step + 1), Boxes: drawList(t), Services: map[units.ServiceName]*table.Entry{"s": entry}}
			listed = len(next.Boxes)
			// The boxes see the change at different moments, all within the delay.
			for i, r := range routers {
				r.Reduce(now.Add(time.Duration(i)*50*time.Millisecond), &TableChanged{Table: next}, &e)
				if sum := sumOfShares(routers); sum > limit && !lostBoxKeeps(routers, next) {
					t.Fatalf("the parts add up to %d of %d", sum, limit)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(500, 2500).Draw(t, "pause")) * time.Millisecond)
			for _, r := range routers {
				r.Reduce(now, &Tick{}, &e)
			}
		}
		now = now.Add(3 * time.Second)
		for _, r := range routers {
			r.Reduce(now, &Tick{}, &e)
		}
		if sum := sumOfShares(routers); listed > 0 && sum != limit {
			t.Fatalf("the parts settle to %d of %d", sum, limit)
		}
	})
}

func sumOfShares(routers []*Router) int {
	sum := 0
	for _, r := range routers {
		if s := r.services["s"]; s != nil {
			sum += int(s.targets[0].inFlightShare.value)
		}
	}
	return sum
}

// lostBoxKeeps tells whether a box that has gone from the list hasn't seen it yet.
// It goes only once its lease has run out, so what it keeps is never used.
func lostBoxKeeps(routers []*Router, next *table.Table) bool {
	for _, r := range routers {
		rank := rankOf(r.settings.Box, next.Boxes)
		if s := r.services["s"]; !rank.listed && s != nil && s.targets[0].inFlightShare.value > 0 {
			return true
		}
	}
	return false
}
