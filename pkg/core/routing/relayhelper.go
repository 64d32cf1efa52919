package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// helperSamples is the number of boxes in this box's own failure domain that are compared for a
	// relay, and of those in others.
	helperSamples = 3
	// otherDomainCost is the cost of a box in another failure domain, in calls in flight.
	otherDomainCost = 2
	// unprovenCost is the cost of a box that hasn't lately served a relayed call, in calls in
	// flight.
	unprovenCost = 1
	// provenTime is for how long a box counts as proven after it served a relayed call.
	provenTime = time.Second
	// helperFailureTime is for how long a box that a relay didn't reach isn't chosen, and one that
	// relays calls itself.
	helperFailureTime = time.Second
	// helperBusyTime is for how long a box isn't chosen that declined for a reason of its own.
	helperBusyTime = 100 * time.Millisecond
)

// helper is another box to which calls are relayed.
type helper struct {
	box      table.Box
	inFlight int
	servedAt units.Instant
	// cutOffUntil is until when the box isn't chosen because it relays calls itself, avoidUntil until
	// when it isn't because a relay failed or it declined for a reason of its own. A call that no box
	// has been tried for yet may go to an avoided one if no other is left.
	cutOffUntil units.Instant
	avoidUntil  units.Instant
}

// helperReasons are the reasons for which a box declines a relayed call that another box may serve.
var helperReasons = [reasonCount]bool{
	RelayLimit: true, NoTable: true, NoLease: true, Stopping: true, StaleKeys: true, UnknownVersion: true, NoService: true, UnknownKey: true, NoTarget: true,
	StaleTable: true, Unreachable: true,
}

// canRelay reports whether calls can be relayed at all.
func (r *Router) canRelay() bool {
	return len(r.relays.ownDomain)+len(r.relays.otherDomains) > 0 && r.enabled(Relaying)
}

// updateHelpers applies a new list of boxes.
func (r *Router) updateHelpers() {
	r.relays.ownDomain, r.relays.otherDomains = nil, nil
	for _, b := range r.rank.boxes {
		switch {
		case b.ID == r.settings.Box || b.Leaving || b.Address == "":
		case b.Domain == r.settings.Domain:
			r.relays.ownDomain = append(r.relays.ownDomain, b)
		default:
			r.relays.otherDomains = append(r.relays.otherDomains, b)
		}
	}
	for id, h := range r.relays.helpers {
		if h.inFlight == 0 && indexOf(id, r.rank.boxes) < 0 {
			delete(r.relays.helpers, id)
		}
	}
}

// helperFor returns the state of another box.
func (r *Router) helperFor(b table.Box) *helper {
	h := r.relays.helpers[b.ID]
	if h == nil {
		h = &helper{}
		r.relays.helpers[b.ID] = h
	}
	h.box = b
	return h
}

// recordPeerCutOff records that another box relays calls, so that it is no help itself.
func (r *Router) recordPeerCutOff(id units.BoxID) {
	if i := indexOf(id, r.rank.boxes); i >= 0 {
		r.helperFor(r.rank.boxes[i]).cutOffUntil = r.now.Add(helperFailureTime)
	}
}

// chooseHelper returns the box to relay a call to; nil if none is left. allDeclined is set if none can
// reach the targets, as far as this box knows.
func (r *Router) chooseHelper(x *reach, c *call) (h *helper, allDeclined bool) {
	if x.allDeclined(r.now) {
		return nil, true
	}
	if h := r.sampleHelpers(x, c, false); h != nil {
		return h, false
	}
	h = r.sampleHelpers(x, c, true)
	if h == nil {
		return nil, true
	}
	if c.relays > 0 {
		return nil, false
	}
	return h, false
}

// sampleHelpers returns the best of some boxes that may help. Because it compares samples, boxes that
// are cut off at the same time spread their calls.
func (r *Router) sampleHelpers(x *reach, c *call, includeAvoided bool) *helper {
	var best *helper
	bestCost := 0
	for _, list := range [][]table.Box{r.relays.ownDomain, r.relays.otherDomains} {
		sampled := 0
		start := r.random.IntN(max(1, len(list)))
		for k := 0; k < len(list) && sampled < helperSamples; k++ {
			b := list[(start+k)%len(list)]
			if !r.mayHelp(x, c, b, includeAvoided) {
				continue
			}
			sampled++
			h := r.helperFor(b)
			if cost := h.cost(r.now, b.Domain == r.settings.Domain); best == nil || cost < bestCost {
				best, bestCost = h, cost
			}
		}
	}
	return best
}

// cost ranks the box for a relay; lower is better.
func (h *helper) cost(now units.Instant, isOwnDomain bool) int {
	cost := h.inFlight
	if !isOwnDomain {
		cost += otherDomainCost
	}
	if h.servedAt == 0 || now.Sub(h.servedAt) > provenTime {
		cost += unprovenCost
	}
	return cost
}

// standing returns what is known of a box as a helper for calls. A call that is restricted to
// regions doesn't leave them, except within this box's own region, where it is already.
func (r *Router) standing(x *reach, b table.Box) HelperStanding {
	region := r.settings.Regions[b.Domain]
	if !x.regions.Allows(region) && (region == "" || region != r.settings.Regions[r.settings.Domain]) {
		return HelperOutsideRegions
	}
	h := r.relays.helpers[b.ID]
	switch {
	case x.isDeclined(r.now, b.ID), h != nil && r.now < h.cutOffUntil:
		return HelperCutOff
	case h != nil && r.now < h.avoidUntil:
		return HelperAvoided
	case h != nil && h.servedAt != 0 && r.now.Sub(h.servedAt) <= provenTime:
		return HelperReaches
	}
	return HelperUnknown
}

// mayHelp reports whether a call may be relayed to a box.
func (r *Router) mayHelp(x *reach, c *call, b table.Box, includeAvoided bool) bool {
	s := r.standing(x, b)
	return s == HelperReaches || s == HelperUnknown || includeAvoided && s == HelperAvoided
}
