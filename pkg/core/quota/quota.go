// Package quota divides what a workspace may run, over all boxes together, among a few of them: its
// holders. A holder keeps an account of its part and gives credits from it to whichever box has
// calls to let in.
package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// HoldersPerGroup is how many holders a workspace has where there are as many boxes. With one of them out of
	// reach the others still give more than a workspace usually asks for, which is below its limit.
	HoldersPerGroup = 8
	// groupCount is how many sets of holders there are. Workspaces share them, so that a box needs
	// connections to few others.
	groupCount = 4
)

// Group is the workspaces that have the same holders.
type Group int

// Groups returns all groups.
func Groups() []Group {
	all := make([]Group, groupCount)
	for i := range all {
		all[i] = Group(i)
	}
	return all
}

// GroupOf returns a workspace's group.
func GroupOf(w units.WorkspaceName) Group { return Group(xxhash.Sum64String(string(w)) % groupCount) }

// Holders returns the holders of a group among some boxes, the first first. A box that comes or goes
// changes one of them at the most.
func (g Group) Holders(boxes []units.BoxID) []units.BoxID {
	return highestRanked(boxes, HoldersPerGroup, func(b units.BoxID) uint64 { return rendezvous.Hash(b, string(rune('0'+g))) })
}

// PreferenceOrder returns holders in the order in which a box asks them: each box begins with another one, so
// that all are asked alike.
func PreferenceOrder(box units.BoxID, holders []units.BoxID) []units.BoxID {
	return highestRanked(holders, len(holders), func(h units.BoxID) uint64 { return rendezvous.Hash(box, h) })
}

// highestRanked returns up to n boxes, those with the highest hash first.
func highestRanked(boxes []units.BoxID, n int, hash func(units.BoxID) uint64) []units.BoxID {
	type ranked struct {
		box  units.BoxID
		hash uint64
	}
	all := make([]ranked, 0, len(boxes))
	for _, b := range boxes {
		all = append(all, ranked{b, hash(b)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.box, b.box)) })
	highest := make([]units.BoxID, 0, n)
	for _, x := range all[:min(n, len(all))] {
		highest = append(highest, x.box)
	}
	return highest
}
