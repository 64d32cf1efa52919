package quota

import (
	"fmt"
	"slices"
	"testing"

	"github.com/madderpond/madderpond/pkg/units"
)

func boxIDs(n int) []units.BoxID {
	ids := make([]units.BoxID, n)
	for i := range ids {
		ids[i] = units.BoxID(fmt.Sprintf("box-%03d", i))
	}
	return ids
}

func TestABoxThatGoesChangesOneHolder(t *testing.T) {
	boxes := boxIDs(114)
	for _, g := range Groups() {
		before := g.Holders(boxes)
		if len(before) != HoldersPerGroup {
			t.Fatalf("group %d has %d holders", g, len(before))
		}
		for i := range boxes {
			after := g.Holders(slices.Delete(slices.Clone(boxes), i, i+1))
			gone := 0
			for _, h := range before {
				if !slices.Contains(after, h) {
					gone++
				}
			}
			if wanted := slices.Contains(before, boxes[i]); gone > 1 || gone == 1 && !wanted {
				t.Fatalf("%d of the holders of group %d change with %s", gone, g, boxes[i])
			}
		}
	}
}

func TestWorkspacesSpreadOverGroupsAndAskersOverHolders(t *testing.T) {
	groupSizes := map[Group]int{}
	for i := range 400 {
		groupSizes[GroupOf(units.WorkspaceName(fmt.Sprint("w", i)))]++
	}
	for _, g := range Groups() {
		if groupSizes[g] < 60 {
			t.Errorf("group %d has %d of 400 workspaces", g, groupSizes[g])
		}
	}
	boxes := boxIDs(114)
	holders := Group(0).Holders(boxes)
	first := map[units.BoxID]int{}
	for _, b := range boxes {
		order := PreferenceOrder(b, holders)
		if len(order) != HoldersPerGroup {
			t.Fatalf("%s asks %d holders", b, len(order))
		}
		first[order[0]]++
	}
	for _, h := range holders {
		if first[h] == 0 || first[h] > 35 {
			t.Errorf("%d of 114 boxes ask %s first", first[h], h)
		}
	}
}
