package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Calls to a target in another failure domain take longer by a round trip. What the round trip
// takes beyond that to the box's own domain is measured for each domain and counts as time
// beside the work. So a call goes to a target of the box's own domain before others of its
// region, to these before other regions, and far away only where it is still answered sooner.

const (
	// minTimeWindow is for how long the least time of a probe counts, at the least: network paths
	// change seldom, and within some seconds a probe meets no queue and shows the round trip
	// alone.
	minTimeWindow = 10 * time.Second
	// defaultSameRegionRoundTrip and assumedFar stand in for the extra round trip to a domain of the same region,
	// and to one of another or an unknown region, until it has been measured: nearer ones are tried
	// first, and a far one still is when the near ones are full.
	defaultSameRegionRoundTrip  = 2 * time.Millisecond
	defaultOtherRegionRoundTrip = 15 * time.Millisecond
	// crossDomainPenalty is what leaving the box's domain costs besides the round trip, as a part of the
	// work: a box has connections to the targets of its domain and knows more of them, so that
	// calls which leave meet full targets more often. It grows with the work, since a full target
	// delays long calls by more. With a fixed 30 ms the two worst windows of a day with more
	// calls than targets could serve kept 0.47 in place of 0.64 of the calls' value, and 2.5 times
	// the bytes went between domains.
	crossDomainPenalty = 0.6
	// defaultWorkTime stands in for a route's typical time until that is known.
	defaultWorkTime = 50 * time.Millisecond
)

// domainDistance is what a box knows of the round trip to a failure domain's targets.
type domainDistance struct {
	// ownDomain is the box's ownDomain domain; nil for itself.
	ownDomain *domainDistance
	// sameRegion is set where the domain is in the box's own region, or no regions are known.
	sameRegion bool
	// currentMin is the currentMin time that a probe took in the present window, which began at since,
	// previousMin that of the window previousMin; zero for none.
	currentMin, previousMin time.Duration
	windowStart             units.Instant
}

// distanceTo returns what is known of the round trip to a domain.
func (r *Router) distanceTo(d units.Domain) *domainDistance {
	x := r.distances[d]
	if x != nil {
		return x
	}
	x = &domainDistance{}
	if d != r.settings.Domain {
		x.ownDomain = r.distanceTo(r.settings.Domain)
	}
	r.distances[d] = x
	r.updateSameRegion(d, x)
	return x
}

// updateSameRegion notes whether a domain is in the box's own region.
func (r *Router) updateSameRegion(d units.Domain, x *domainDistance) {
	region := r.settings.Regions[d]
	x.sameRegion = region == r.settings.Regions[r.settings.Domain]
}

// recordProbe takes how long a probe took.
func (x *domainDistance) recordProbe(now units.Instant, took time.Duration) {
	if now.Sub(x.windowStart) > minTimeWindow {
		x.previousMin, x.currentMin, x.windowStart = x.currentMin, 0, now
	}
	if x.currentMin == 0 || took < x.currentMin {
		x.currentMin = took
	}
}

// minProbeTime is the least time that a probe took lately; zero for none.
func (x *domainDistance) minProbeTime() time.Duration {
	if x.currentMin == 0 || x.previousMin != 0 && x.previousMin < x.currentMin {
		return x.previousMin
	}
	return x.currentMin
}

// extraRoundTrip is how much longer the round trip is than to the box's own domain. Probes take
// the same work everywhere, so their least times differ by it.
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

// recordProbeSent notes that a probe is on its way to the target.
func (t *target) recordProbeSent(now units.Instant) {
	t.probesSent++
	t.lastProbedAt = now
	if t.probesInFlight == 0 {
		t.probesInFlightSince = now
	}
	t.probesInFlight++
}

// recordProbeEnd takes the time that a probe for a call took. Where several were out, the time
// since the first is no less than what the one that was answered took.
func (t *target) recordProbeEnd(now units.Instant, healthy bool) {
	t.probesInFlight = max(0, t.probesInFlight-1)
	if healthy && t.distance != nil {
		t.distance.recordProbe(now, now.Sub(t.probesInFlightSince))
	}
}

// distanceCost is what the target's distance costs a call of the route, in units of its work.
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

// probeTimeout is how long a call waits for the answer to a probe of the target.
func (t *target) probeTimeout() time.Duration {
	if !t.remote || t.distance == nil {
		return probeLimit
	}
	return probeLimit + t.distance.extraRoundTrip()
}
