package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// A call to a target in another failure domain takes longer by the network round trip. The round
// trip in excess of that within the box's own domain is measured for each domain and added to the
// cost. So a call prefers targets in the box's own domain, then those in the same region, and goes
// to other regions only if it is still answered sooner there.

const (
	// minTimeWindow is the minimum time for which a minimum probe time is used. A window ends with
	// the first probe after this time, so with regular probes a minimum is used for about twice as
	// long at most, and without probes it stays in use. Network paths rarely change, and within some
	// seconds at least one probe meets no queue, so that its time has no wait in it.
	minTimeWindow = 10 * time.Second
	// defaultSameRegionRoundTrip and defaultOtherRegionRoundTrip are assumed as the extra round
	// trip to a domain of the same region and of another region, until it has been measured. All
	// domains without a listed region count as one region. Nearer domains are tried first, and
	// distant ones still are if the near ones are full.
	defaultSameRegionRoundTrip  = 2 * time.Millisecond
	defaultOtherRegionRoundTrip = 15 * time.Millisecond
	// crossDomainPenalty is the extra cost of leaving the box's domain besides the round trip, as a
	// fraction of the work. A box has connections to the targets of its own domain and more data
	// about them, so calls to other domains meet full targets more often. The cost is proportional
	// to the work, since a full target delays long calls by more. A fixed cost of
	// 30 ms lost more during overload: in the two worst periods 0.47 instead of 0.64 of the calls'
	// value was kept, and 2.5 times as many bytes were sent between domains.
	crossDomainPenalty = 0.6
	// defaultWorkTime is used before a route's typical time is known.
	defaultWorkTime = 50 * time.Millisecond
)

// domainDistance holds the minimum probe times of the targets of a failure domain. These include the
// time in which a target answers; only the difference from the box's own domain is a round trip.
type domainDistance struct {
	// ownDomain is that of the box's own domain; nil if this is that domain.
	ownDomain *domainDistance
	// sameRegion is set if the domain has the same region as the box's own domain. Two domains
	// without a listed region count as having the same.
	sameRegion bool
	// currentMin is the minimum probe time in the current window, which began at windowStart, and
	// previousMin that of the previous window; zero if there was no probe.
	currentMin, previousMin time.Duration
	windowStart             units.Instant
}

// distanceTo returns the distance of a domain and creates it if necessary.
func (r *Router) distanceTo(d units.Domain) *domainDistance {
	x := r.domainDistances[d]
	if x != nil {
		return x
	}
	x = &domainDistance{}
	if d != r.settings.Domain {
		x.ownDomain = r.distanceTo(r.settings.Domain)
	}
	r.domainDistances[d] = x
	r.updateSameRegion(d, x)
	return x
}

// updateSameRegion sets whether a domain has the same region as the box's own domain. A domain that
// isn't listed has the empty region.
func (r *Router) updateSameRegion(d units.Domain, x *domainDistance) {
	region := r.settings.Regions[d]
	x.sameRegion = region == r.settings.Regions[r.settings.Domain]
}

// recordProbe updates the minimum with the time of a probe.
func (x *domainDistance) recordProbe(now units.Instant, took time.Duration) {
	if now.Sub(x.windowStart) > minTimeWindow {
		x.previousMin, x.currentMin, x.windowStart = x.currentMin, 0, now
	}
	if x.currentMin == 0 || took < x.currentMin {
		x.currentMin = took
	}
}

// minProbeTime returns the minimum probe time of the last two windows; zero if there was no probe.
func (x *domainDistance) minProbeTime() time.Duration {
	if x.currentMin == 0 || x.previousMin != 0 && x.previousMin < x.currentMin {
		return x.previousMin
	}
	return x.currentMin
}

// extraRoundTrip returns how much longer the round trip is than within the box's own domain.
// Answering a probe takes the same time everywhere, so the minimum probe times differ by the round
// trip only.
func (x *domainDistance) extraRoundTrip() time.Duration {
	if x.ownDomain == nil {
		return 0
	}
	there, here := x.minProbeTime(), x.ownDomain.minProbeTime()
	switch {
	case there > 0 && here > 0:
		return max(0, there-here)
	case x.sameRegion:
		return defaultSameRegionRoundTrip
	}
	return defaultOtherRegionRoundTrip
}

// recordProbeSent records that a probe was sent to the target in order to choose one for a call, as
// opposed to a health probe.
func (t *target) recordProbeSent(now units.Instant) {
	t.probesSent++
	t.lastProbedAt = now
	if t.probesInFlight == 0 {
		t.probesInFlightSince = now
	}
	t.probesInFlight++
}

// recordProbeEnd records the end of a probe that recordProbeSent has recorded. With several probes in
// flight it uses the time since the first was sent, which is an upper bound.
func (t *target) recordProbeEnd(now units.Instant, healthy bool) {
	t.probesInFlight = max(0, t.probesInFlight-1)
	if healthy && t.distance != nil {
		t.distance.recordProbe(now, now.Sub(t.probesInFlightSince))
	}
}

// distanceCost returns the extra cost of the target's distance for a call of the route, as a multiple
// of the route's typical time, or of defaultWorkTime until that is known.
func (t *target) distanceCost(x *route) float64 {
	if !t.remote || t.distance == nil {
		return 0
	}
	work := float64(defaultWorkTime)
	if x != nil && x.knownTypicalTime() > 0 {
		work = x.knownTypicalTime()
	}
	return float64(t.distance.extraRoundTrip())/work + crossDomainPenalty
}

// probeTimeout returns how long a call waits for the answer to a probe of the target.
func (t *target) probeTimeout() time.Duration {
	if !t.remote || t.distance == nil {
		return probeTimeout
	}
	return probeTimeout + t.distance.extraRoundTrip()
}
