package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// With many boxes and many targets, a box uses each target so rarely that it has neither recent
// data about the targets nor open connections to them. So each box prefers a subset of a service's
// targets: the boxes and the targets of a failure domain are arranged in two aligned rings, and
// each box takes the targets that follow its own position. Every target is in the subsets of about
// equally many boxes, and a box that joins or leaves moves the subsets of others by at most one
// position. Targets outside the subset are still used if those in it are slow or full
// (outsideSubsetCost).

const (
	// subsetSize is how many targets of a service a box prefers: enough to find a free one, and few
	// enough to reuse each one's connection before it is closed as idle.
	subsetSize = 10
	// outsideSubsetCost is the extra cost of a target outside the subset, in units of the work
	// itself.
	outsideSubsetCost = 0.5
)

// chooseSubset marks the targets that this box prefers.
func (r *Router) chooseSubset(s *service) {
	own := r.ownDomainTargets(s)
	for _, t := range s.targets {
		t.inSubset = true
	}
	if !r.enabled(Subsetting) || len(own) <= subsetSize {
		return
	}
	boxes := r.ownDomainBoxes()
	position := slices.Index(boxes, r.settings.Box)
	if position < 0 {
		return
	}
	for _, t := range s.targets {
		// All boxes send calls to the few targets of a rollout's new version.
		t.inSubset = t.role == trialVersion
	}
	slices.SortFunc(own, func(a, b *target) int { return compareByHash(s.row.Name, a.row.Target, b.row.Target) })
	first := position * len(own) / len(boxes)
	for i := range subsetSize {
		own[(first+i)%len(own)].inSubset = true
	}
}

// ownDomainTargets returns the active targets of the service in the box's own failure domain, or
// all active targets if there are none in it.
func (r *Router) ownDomainTargets(s *service) []*target {
	var own, all []*target
	for _, t := range s.targets {
		if t.row.State != table.Active || t.row.Silent || t.evacuated || t.role != currentVersion {
			continue
		}
		all = append(all, t)
		if !t.remote {
			own = append(own, t)
		}
	}
	if len(own) == 0 {
		return all
	}
	return own
}

// ownDomainBoxes returns the boxes of this box's failure domain that aren't leaving, ordered by id.
func (r *Router) ownDomainBoxes() []units.BoxID {
	var boxes []units.BoxID
	for _, b := range withoutLeaving(r.rank.boxes) {
		if b.Domain == r.settings.Domain {
			boxes = append(boxes, b.ID)
		}
	}
	slices.Sort(boxes)
	return boxes
}

// compareByHash orders targets by their hash with the service's name, so that the order differs
// between services.
func compareByHash(s units.ServiceName, a, b units.TargetID) int {
	x, y := rendezvous.Hash(s, a), rendezvous.Hash(s, b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
