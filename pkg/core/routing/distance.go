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
	// leastWindow is for how long the least time of a probe counts, at the least: network paths
	// change seldom, and within some seconds a probe meets no queue and shows the round trip
	// alone.
	leastWindow = 10 * time.Second
	// assumedNear and assumedFar stand in for the extra round trip to a domain of the same region,
	// and to one of another or an unknown region, until it has been measured: nearer ones are tried
	// first, and a far one still is when the near ones are full.
	assumedNear = 2 * time.Millisecond
	assumedFar  = 15 * time.Millisecond
	// awayPart is what leaving the box's domain costs besides the round trip, as a part of the
	// work: a box has connections to the targets of its domain and knows more of them, so that
	// calls which leave meet full targets more often. It grows with the work, since a full target
	// delays long calls by more. With a fixed 30 ms the two worst windows of a day with more
	// calls than targets could serve kept 0.47 in place of 0.64 of the calls' value, and 2.5 times
	// the bytes went between domains.
	awayPart = 0.6
	// assumedWork stands in for a route's typical time until that is known.
	assumedWork = 50 * time.Millisecond
)

// domainDistance is what a box knows of the round trip to a failure domain's targets.
type domainDistance struct {
	// own is the box's own domain; nil for itself.
	own *domainDistance
	// sameRegion is set where the domain is in the box's own region, or no regions are known.
	sameRegion bool
	// least is the least time that a probe took in the present window, which began at since,
	// before that of the window before; zero for none.
	least, before time.Duration
	since         units.Instant
}

// distanceTo returns what is known of the round trip to a domain.
func (r *Router) distanceTo(d units.Domain) *domainDistance {
	x := r.domainDistances[d]
	if x != nil {
		return x
	}
	x = &domainDistance{}
	if d != r.settings.Domain {
		x.own = r.distanceTo(r.settings.Domain)
	}
	r.domainDistances[d] = x
	r.placeDistance(d, x)
	return x
}

// placeDistance notes whether a domain is in the box's own region.
func (r *Router) placeDistance(d units.Domain, x *domainDistance) {
	region := r.settings.Regions[d]
	x.sameRegion = region == r.settings.Regions[r.settings.Domain]
}

// note takes how long a probe took.
func (x *domainDistance) note(now units.Instant, took time.Duration) {
	if now.Sub(x.since) > leastWindow {
		x.before, x.least, x.since = x.least, 0, now
	}
	if x.least == 0 || took < x.least {
		x.least = took
	}
}

// leastTime is the least time that a probe took lately; zero for none.
func (x *domainDistance) leastTime() time.Duration {
	if x.least == 0 || x.before != 0 && x.before < x.least {
		return x.before
	}
	return x.least
}

// extraRoundTrip is how much longer the round trip is than to the box's own domain. Probes take
// the same work everywhere, so their least times differ by it.
func (x *domainDistance) extraRoundTrip() time.Duration {
	if x.own == nil {
		return 0
	}
	there, here := x.leastTime(), x.own.leastTime()
	switch {
	case there > 0 && here > 0:
		return max(0, there-here)
	case x.sameRegion:
		return assumedNear
	}
	return assumedFar
}

// noteProbeSent notes that a probe is on its way to the target.
func (t *target) noteProbeSent(now units.Instant) {
	t.probesSent++
	t.probedAt = now
	if t.probesOut == 0 {
		t.probeOutSince = now
	}
	t.probesOut++
}

// noteProbeTime takes the time that a probe for a call took. Where several were out, the time
// since the first is no less than what the one that was answered took.
func (t *target) noteProbeTime(now units.Instant, healthy bool) {
	t.probesOut = max(0, t.probesOut-1)
	if healthy && t.distance != nil {
		t.distance.note(now, now.Sub(t.probeOutSince))
	}
}

// awayCost is what the target's distance costs a call of the route, in units of its work.
func (t *target) awayCost(x *route) float64 {
	if !t.remote || t.distance == nil {
		return 0
	}
	work := float64(assumedWork)
	if x != nil && x.sureTime() > 0 {
		work = x.sureTime()
	}
	return float64(t.distance.extraRoundTrip())/work + awayPart
}

// probeLimit is how long a call waits for the answer to a probe of the target.
func (t *target) probeLimit() time.Duration {
	if !t.remote || t.distance == nil {
		return probeLimit
	}
	return probeLimit + t.distance.extraRoundTrip()
}
