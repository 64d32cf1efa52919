package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target is cold for some seconds after it has started or was idle for long. It is slower then
// and would be overloaded by a rate of calls that it handles when warm. The table sets the rate
// that a cold target accepts from all boxes together. Boxes recognize a cold target by its
// registration and by its answers to probes.
//
// The rate is divided among a few boxes of the target's failure domain, chosen by rendezvous
// hashing; no other box sends calls to the target. Divided among all boxes, each would have one
// call every half minute, and the bursts of all boxes would add up to many times the rate.

const (
	// boxesPerColdTarget is how many boxes share a cold target's rate. With two, one remains if the
	// other is lost. While boxes have different lists of boxes, twice as many may send.
	boxesPerColdTarget = 2
	// coldBurst is how many calls one of these boxes may send to a cold target at once.
	coldBurst = 1
	// restartGrace is how long after its start a box sends no calls to a cold target: a call that
	// it sent before it restarted counts in the same second as the next one.
	restartGrace = time.Second
)

// coldState tracks whether a target is cold, and this box's share of its rate.
type coldState struct {
	// until is when the target will be warm.
	until units.Instant
	// possibleUntil is until when the target may be cold without having reported it; afterwards it
	// is considered warm.
	possibleUntil units.Instant
	// rowRemaining is the remaining cold time in a row that has just come into force; zero once it
	// is applied.
	rowRemaining time.Duration
	// share is this box's fraction of the rate.
	share  float64
	bucket tokenBucket
	// borrowed are the calls that other boxes have lent, requestNonce that of the last request for one,
	// nextRequestAt when the next request may be sent.
	borrowed      allowances
	requestNonce  uint64
	nextRequestAt units.Instant
	// boxListVersion is the number of the list of boxes that the share was computed from.
	boxListVersion int
	// sharers are the boxes that share the rate according to the list of boxes numbered sharersVersion.
	sharers        []units.BoxID
	sharersVersion int
}

// isCold reports whether the target is cold or may be.
func (t *target) isCold(now units.Instant) bool {
	return t.service.row.ColdRate > 0 && (now < t.cold.until || now < t.cold.possibleUntil)
}

// acceptsColdCalls reports whether the target is cold but accepts calls from this box.
func (t *target) acceptsColdCalls(now units.Instant) bool {
	return t.isCold(now) && t.cold.share > 0
}

// isPossiblyCold reports whether only a probe can show whether the target is cold.
func (t *target) isPossiblyCold(now units.Instant) bool {
	return t.service.row.ColdRate > 0 && now < t.cold.possibleUntil && now >= t.cold.until
}

// coldRateAdmits reports whether the rate limit for cold targets allows another call.
func (t *target) coldRateAdmits(now units.Instant) bool {
	if !t.isCold(now) {
		return true
	}
	t.cold.bucket.refill(now, t.coldRate(), coldBurst)
	return t.cold.share > 0 && t.cold.bucket.tokens >= 1 || t.cold.borrowed.available(now)
}

// coldRate returns how many calls a second this box may send to the target while it is cold.
func (t *target) coldRate() float64 { return t.cold.share * t.service.row.ColdRate }

// countColdSend charges a call to the rate limit of a cold target.
func (t *target) countColdSend(now units.Instant) {
	if !t.isCold(now) {
		return
	}
	if _, ok := t.cold.borrowed.use(now); !ok {
		t.cold.bucket.take(now, t.coldRate(), coldBurst)
	}
}

// applyColdRows applies the cold times in a service's rows that have just come into force.
func (r *Router) applyColdRows(s *service) {
	for _, t := range s.targets {
		if t.cold.rowRemaining > 0 {
			r.markCold(t, t.cold.rowRemaining)
			t.cold.rowRemaining = 0
		}
	}
}

// markCold records that a target stays cold for the given time.
func (r *Router) markCold(t *target, remaining time.Duration) {
	wasCold := t.isCold(r.now)
	t.cold.until = max(t.cold.until, r.now.Add(remaining))
	r.startColdRate(t, wasCold)
}

// markPossiblyCold records that a target may have become cold.
func (r *Router) markPossiblyCold(t *target) {
	wasCold := t.isCold(r.now)
	t.cold.possibleUntil = r.now.Add(r.settings.AssumedColdPeriod)
	r.startColdRate(t, wasCold)
}

// startColdRate sets up this box's share of the rate when a target has become cold.
func (r *Router) startColdRate(t *target, wasCold bool) {
	if wasCold || !t.isCold(r.now) {
		return
	}
	r.updateColdShare(t)
	t.cold.bucket = tokenBucket{refilledAt: r.now, tokens: coldBurst}
	t.cold.borrowed = nil
	if t.cold.share == 0 || r.now.Sub(r.startedAt) < restartGrace {
		t.cold.bucket.tokens = 0
	}
}

// updateColdState applies the answer to a probe: the remaining cold time, zero for a warm target.
func (r *Router) updateColdState(t *target, remaining time.Duration) {
	if remaining > 0 {
		r.markCold(t, remaining)
		return
	}
	t.cold.until, t.cold.possibleUntil = r.now, r.now
}

// updateColdShare computes this box's fraction of a cold target's rate, unless that was done for
// the current list of boxes.
func (r *Router) updateColdShare(t *target) {
	if t.cold.boxListVersion == r.boxListVersion {
		return
	}
	t.cold.boxListVersion = r.boxListVersion
	t.cold.share = 0
	boxes := r.boxesInDomainOf(t)
	if !slices.ContainsFunc(boxes, func(b table.Box) bool { return b.ID == r.settings.Box }) {
		return
	}
	n := min(boxesPerColdTarget, len(boxes))
	if r.rank.countBefore(t.row.Target, boxes) < n {
		t.cold.share = 1 / float64(n)
	}
}

// boxesInDomainOf returns the boxes in the target's failure domain that aren't leaving, or all
// boxes that aren't leaving if the domain has none.
func (r *Router) boxesInDomainOf(t *target) []table.Box {
	if boxes, known := r.domainBoxes[t.row.Domain]; known {
		return boxes
	}
	boxes := boxesInDomain(r.rank.boxes, t.row.Domain)
	r.domainBoxes[t.row.Domain] = boxes
	return boxes
}

// boxesInDomain returns those of the boxes that are in a failure domain and aren't leaving, or all
// that aren't leaving if there are none.
func boxesInDomain(boxes []table.Box, domain units.Domain) []table.Box {
	all := withoutLeaving(boxes)
	var inDomain []table.Box
	for _, b := range all {
		if b.Domain == domain {
			inDomain = append(inDomain, b)
		}
	}
	if len(inDomain) == 0 {
		return all
	}
	return inDomain
}

// withoutLeaving returns the boxes that aren't leaving.
func withoutLeaving(boxes []table.Box) []table.Box {
	var remaining []table.Box
	for _, b := range boxes {
		if !b.Leaving {
			remaining = append(remaining, b)
		}
	}
	return remaining
}
