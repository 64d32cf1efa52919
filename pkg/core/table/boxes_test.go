package table

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/fixedseed"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// drawBoxes draws a random sorted list of boxes.
func drawBoxes(t *rapid.T, label string) []Box {
	var boxes []Box
	for i, n := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 12).Draw(t, label) {
		if n > 0 {
			boxes = append(boxes, Box{ID: units.BoxID(fmt.Sprintf("b%02d", i)), Address: fmt.Sprint(n), Leaving: n == 3})
		}
	}
	return boxes
}

func TestADifferenceLeadsFromOneListToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawBoxes(t, "from"), drawBoxes(t, "to")
		change := BoxDifference(from, to)
		if d := cmp.Diff(to, patchBoxes(from, change), cmpopts.EquateEmpty()); d != "" {
			t.Fatal(d)
		}
		if cmp.Equal(from, to, cmpopts.EquateEmpty()) != change.Empty() {
			t.Fatalf("the change is %+v", change)
		}
	})
}
