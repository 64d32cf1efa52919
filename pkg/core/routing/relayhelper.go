package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// helperSamples is the number of boxes in this box's own failure domain that are compared for a
	// relay, and of those in others.
	helperSamples = 3
	// otherDomainCost is the cost of a box in another failure domain, in calls in flight.
	otherDomainCost = 2
	// relaySearchTime is for how long after its first relay a call may go to boxes of which nothing
	// is known. Boxes that are cut off as well decline within a round trip.
	relaySearchTime = 400 * time.Millisecond
	// maxRelaySearch is the number of relays after which a call doesn't go to such a box any more.
	maxRelaySearch = 8
)

// recordPeerCutOff records that another box relays calls, so that it can't reach their targets.
func (r *Router) recordPeerCutOff(id units.BoxID, x *reach) {
	if h := r.helperFor(id); h != nil {
		h.recordLost(r.now, x.key())
	}
}

// chooseHelper returns the box to relay a call to, of the best standing there is; nil if none is left.
func (r *Router) chooseHelper(v *HelperSurvey, c *call) *helper {
	best := HelperReaches
	for best < HelperFull && v.count(best) == 0 {
		best++
	}
	searching := c.relays == 0 || c.relays < maxRelaySearch && r.now.Sub(c.firstRelayAt) < relaySearchTime
	switch {
	case best <= HelperPlausible:
		return r.leastLoadedHelper(best)
	case r.nobodyReaches(v):
		return nil
	case best == HelperUnknown && searching:
		return r.unknownHelper()
	case best < HelperFull && c.relays == 0:
		return r.leastLoadedHelper(best)
	}
	return nil
}

// leastLoadedHelper returns the best of some random boxes of a standing. Because it compares samples,
// boxes that are cut off at the same time spread their calls.
func (r *Router) leastLoadedHelper(standing HelperStanding) *helper {
	var own, others helperSample
	for _, h := range r.relays.candidates {
		switch {
		case h.standing != standing:
		case h.box.Domain == r.settings.Domain:
			own.add(h, r)
		default:
			others.add(h, r)
		}
	}
	var best *helper
	bestCost := 0
	for _, sample := range []*helperSample{&own, &others} {
		for _, h := range sample.chosen[:min(sample.seen, helperSamples)] {
			if cost := h.cost(h.box.Domain == r.settings.Domain); best == nil || cost < bestCost {
				best, bestCost = h, cost
			}
		}
	}
	return best
}

// helperSample is a uniform sample of some boxes.
type helperSample struct {
	chosen [helperSamples]*helper
	seen   int
}

func (s *helperSample) add(h *helper, r *Router) {
	i := s.seen
	if i >= helperSamples {
		i = r.random.IntN(s.seen + 1)
	}
	s.seen++
	if i < helperSamples {
		s.chosen[i] = h
	}
}

// pick returns one box of the sample; nil if it is empty.
func (s *helperSample) pick(r *Router) *helper {
	if s.seen == 0 {
		return nil
	}
	return s.chosen[r.random.IntN(min(s.seen, helperSamples))]
}

// cost ranks the box for a relay; lower is better.
func (h *helper) cost(isOwnDomain bool) int {
	cost := max(h.inFlight, h.load)
	if !isOwnDomain {
		cost += otherDomainCost
	}
	return cost
}

// unknownHelper returns a random box of which nothing is known, from a failure domain in which the
// fewest boxes are known to be cut off. This box is one of its own domain.
func (r *Router) unknownHelper() *helper {
	fewest := 0
	var sample helperSample
	for _, h := range r.relays.candidates {
		if h.standing != HelperUnknown {
			continue
		}
		cutOff := r.relays.domains[h.domain].cutOff
		if h.box.Domain == r.settings.Domain {
			cutOff++
		}
		if sample.seen == 0 || cutOff < fewest {
			fewest, sample = cutOff, helperSample{}
		}
		if cutOff == fewest {
			sample.add(h, r)
		}
	}
	return sample.pick(r)
}
