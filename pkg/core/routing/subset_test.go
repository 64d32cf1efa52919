package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// subsetTable returns a table of boxes and targets, all in one failure domain.
func subsetTable(boxes, targets int) *table.Table {
	t := table.NewTable()
	t.Revision = 1
	for i := range boxes {
		t.Boxes = append(t.Boxes, table.Box{ID: units.BoxID(fmt.Sprintf("box-%d", i)), Domain: "here"})
	}
	entry := &table.Entry{Service: table.Service{Name: "s"}, Version: 1}
	for i := range targets {
		entry.Rows = entry.Rows.With(table.Row{
			Service: "s", Target: units.TargetID(fmt.Sprintf("t%d", i)), Domain: "here", Weight: 100, State: table.Active, Registered: true,
		})
	}
	t.Services["s"] = entry
	return t
}

// subsetOf returns the targets that a box prefers with the given table.
func subsetOf(t *testing.T, box units.BoxID, x *table.Table, off ...Mechanism) map[units.TargetID]bool {
	t.Helper()
	r, err := NewRouter(Settings{Box: box, Domain: "here", MaxDeadline: time.Minute, Disable: off}, units.Instant(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	r.Reduce(units.Instant(time.Second), &TableChanged{Table: x}, &Effects{})
	preferred := map[units.TargetID]bool{}
	for _, v := range r.services["s"].targets {
		if v.inSubset {
			preferred[v.row.Target] = true
		}
	}
	return preferred
}

func TestSubsetsCoverTargetsEvenly(t *testing.T) {
	const boxes, targets = 33, 35
	x := subsetTable(boxes, targets)
	covered := map[units.TargetID]int{}
	for _, b := range x.Boxes {
		preferred := subsetOf(t, b.ID, x)
		if len(preferred) != subsetSize {
			t.Fatalf("%s prefers %d targets", b.ID, len(preferred))
		}
		for id := range preferred {
			covered[id]++
		}
	}
	for row := range x.Services["s"].Rows.All() {
		if n := covered[row.Target]; n < boxes*subsetSize/targets-1 || n > boxes*subsetSize/targets+2 {
			t.Errorf("%s is in the subsets of %d boxes, expected about %d", row.Target, n, boxes*subsetSize/targets)
		}
	}
}

func TestALostBoxMovesSubsetsLittle(t *testing.T) {
	before, after := subsetTable(33, 35), subsetTable(33, 35)
	after.Boxes = after.Boxes[:32]
	for _, b := range after.Boxes {
		old, kept := subsetOf(t, b.ID, before), 0
		for id := range subsetOf(t, b.ID, after) {
			if old[id] {
				kept++
			}
		}
		if kept < subsetSize-2 {
			t.Errorf("%s keeps only %d of its %d targets", b.ID, kept, subsetSize)
		}
	}
}

func TestSmallServicesHaveNoSubset(t *testing.T) {
	if n := len(subsetOf(t, "box-0", subsetTable(33, subsetSize))); n != subsetSize {
		t.Errorf("%d of %d targets are preferred", n, subsetSize)
	}
	if n := len(subsetOf(t, "box-0", subsetTable(33, 35), Subsetting)); n != 35 {
		t.Errorf("without subsetting %d of 35 targets are preferred", n)
	}
	if n := len(subsetOf(t, "not-listed", subsetTable(33, 35))); n != 35 {
		t.Errorf("a box that isn't listed prefers %d of 35 targets", n)
	}
}
