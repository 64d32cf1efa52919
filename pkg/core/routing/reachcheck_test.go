package routing

import (
	"testing"

	"github.com/madderpond/madderpond/pkg/units"
)

// Boxes that were cut off together all checked the targets that are listed first.
func TestBoxesCheckDifferentTargetsFirst(t *testing.T) {
	f := newReachFleet(reachFleetOptions{domains: 4, boxes: 24, services: 1, targets: 24, seed: 1, maxRelayed: DefaultMaxRelayed})
	first := map[units.TargetID]int{}
	for _, b := range f.boxes {
		var e Effects
		first[b.router.nextToCheck(b.router.services["s0"].reach(), &e).row.Target]++
	}
	for id, n := range first {
		if mean := len(f.boxes) / 24; n > 4*mean {
			t.Errorf("%d of %d boxes check %s first", n, len(f.boxes), id)
		}
	}
}
