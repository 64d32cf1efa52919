// Package quota divides a workspace's rate limit, which applies to all boxes together, among a few of the
// boxes: its holders. A holder keeps a token bucket for its share and grants credits from it to the boxes
// that have calls to admit.
package quota

import (
	"github.com/cespare/xxhash/v2"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// HoldersPerGroup is the number of holders of a workspace, if there are as many boxes. With one of them
	// unreachable, the others still grant more than the usual demand of a workspace, which is below its limit.
	HoldersPerGroup = 8
	// groupCount is the number of sets of holders. Workspaces share them, so that a box needs connections to
	// few other boxes.
	groupCount = 4
)

// Group identifies a set of workspaces that have the same holders.
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

// Holders returns the holders of a group among the given boxes, the highest ranked first. A box that joins or
// leaves changes at most one of them.
func (g Group) Holders(boxes []units.BoxID) []units.BoxID {
	return rendezvous.Highest(boxes, HoldersPerGroup, func(b units.BoxID) uint64 { return rendezvous.Hash(b, string(rune('0'+g))) })
}

// PreferenceOrder returns holders in the order in which a box asks them. Boxes have different orders, so that
// requests spread evenly over the holders.
func PreferenceOrder(box units.BoxID, holders []units.BoxID) []units.BoxID {
	return rendezvous.Highest(holders, len(holders), func(h units.BoxID) uint64 { return rendezvous.Hash(box, h) })
}
