package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// With many boxes and many targets a box meets each target so seldom that it knows none of
// them and has a connection to none. So each box prefers a subset of a service's targets:
// the boxes of a failure domain stand in a ring beside the domain's targets, and each takes
// those that follow its own place. Every target is in the subsets of about as many boxes,
// and a box that comes or goes moves the others by a place at the most. Targets beyond the
// subset are used as well, when its own are slow or full (outsideCost).

const (
	// subsetSize is how many targets of a service a box prefers: enough to find a free one, and few
	// enough to come back to each before its idle connection is closed.
	subsetSize = 10
	// outsideCost is what a target beyond the subset must be better by, in units of the work
	// itself.
	outsideCost = 0.5
)

// chooseSubset marks the targets that this box prefers.
func (r *Router) chooseSubset(s *service) {
	own := r.ownTargets(s)
	for _, t := range s.targets {
		t.near = true
	}
	if !r.on(Subsetting) || len(own) <= subsetSize {
		return
	}
	boxes := r.ownBoxes()
	place := slices.Index(boxes, r.settings.Box)
	if place < 0 {
		return
	}
	for _, t := range s.targets {
		// All boxes send calls to the few targets of a trial.
		t.near = t.side == trialVersion
	}
	slices.SortFunc(own, func(a, b *target) int { return compareHashes(s.row.Name, a.row.Target, b.row.Target) })
	first := place * len(own) / len(boxes)
	for i := range subsetSize {
		own[(first+i)%len(own)].near = true
	}
}

// ownTargets are the active targets of the service in the box's own failure domain, or all
// where that has none.
func (r *Router) ownTargets(s *service) []*target {
	var own, all []*target
	for _, t := range s.targets {
		if t.row.State != table.Active || t.row.Silent || t.evacuated || t.side != currentVersion {
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

// ownBoxes are the boxes of this box's failure domain that stay, in the order of their
// ids.
func (r *Router) ownBoxes() []units.BoxID {
	var boxes []units.BoxID
	for _, b := range staying(r.rank.boxes) {
		if b.Domain == r.settings.Domain {
			boxes = append(boxes, b.ID)
		}
	}
	slices.Sort(boxes)
	return boxes
}

// compareHashes orders a service's targets in a way that differs from service to service.
func compareHashes(s units.ServiceName, a, b units.TargetID) int {
	x, y := rendezvous.Hash(s, a), rendezvous.Hash(s, b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
