package table

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/units"
)

func drawEntry(t *rapid.T, label string, version units.Version) *Entry {
	e := &Entry{Service: Service{Name: "s", Work: AtMostOnce, Deadline: 1}, Version: version}
	if rapid.IntRange(0, 4).Draw(t, label+" other settings") == 0 {
		e.Service.HoldCount = 7
	}
	for i, state := range rapid.SliceOfN(rapid.IntRange(0, 2), 0, 10).Draw(t, label) {
		if state > 0 {
			e.Rows = e.Rows.With(Row{Service: "s", Target: units.TargetID(fmt.Sprintf("t%02d", i)), State: RowState(state)})
		}
	}
	return e
}

func TestADifferenceLeadsToTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := &Table{Revision: 3, Services: map[units.ServiceName]*Entry{"s": drawEntry(t, "from", 3)}}
		whole := &Delta{From: 3, Revision: 4, Changed: []*Entry{drawEntry(t, "to", 4)}}
		want, _ := from.Patch(whole)
		have, ok := from.Patch(Difference(from, want))
		if !ok {
			t.Fatal("the difference doesn't follow")
		}
		if d := cmp.Diff(want, have, cmpopts.EquateEmpty()); d != "" {
			t.Fatal(d)
		}
		if !slices.IsSortedFunc(have.Services["s"].Rows.List(), func(a, b Row) int {
			return len(a.Target) - len(b.Target)
		}) {
			t.Fatal("the rows aren't sorted")
		}
	})
}

func TestAPatchOfAMissingServiceDoesNotFollow(t *testing.T) {
	d := &Delta{From: 0, Revision: 1, Patched: []*EntryPatch{{Service: "none"}}}
	if _, ok := NewTable().Patch(d); ok {
		t.Fatal("a service that isn't there was patched")
	}
}
