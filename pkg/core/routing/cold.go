package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target is cold for some seconds after it has started or was idle for long: it is slower
// then, and falls over under a rate of calls that it bears when warm. The table says what
// rate a cold target takes from all boxes together. Boxes learn that a target is cold by
// its registration and by the answers to probes.
//
// The rate is divided among a few boxes of the target's own failure domain, chosen by
// rendezvous hashing; no other box sends it calls. Divided among all boxes each would have
// a call every half minute, and what boxes may send at once would add up to many times the
// rate.

const (
	// boxesPerColdTarget is how many boxes share a cold target's rate. Two go on when one is lost.
	// While boxes disagree on the list of boxes there may be twice as many.
	boxesPerColdTarget = 2
	// coldBurst is how many calls one of them may send a cold target at once.
	coldBurst = 1
	// restartGrace is for how long after its start a box may have sent a cold target a call in
	// its last life: that call counts in the same second as the next one.
	restartGrace = time.Second
)

// coldState is what is known of a cold target.
type coldState struct {
	// until is when the target will be warm.
	until units.Instant
	// possibleUntil is when a target that may be cold counts as warm unless it says otherwise.
	possibleUntil units.Instant
	// rowRemaining is for how long the target stays cold by a row that was put in force just now.
	rowRemaining time.Duration
	// share is this box's part of the rate.
	share  float64
	bucket rateLimit
	// boxListVersion is the list of boxes that the share was worked out from, by its number.
	boxListVersion int
}

// isCold tells whether the target is cold, or may be.
func (t *target) isCold(now units.Instant) bool {
	return t.service.row.ColdRate > 0 && (now < t.cold.until || now < t.cold.possibleUntil)
}

// acceptsColdCalls tells whether the target is cold and takes calls of this box all the same.
func (t *target) acceptsColdCalls(now units.Instant) bool {
	return t.isCold(now) && t.cold.share > 0
}

// isPossiblyCold tells whether only a probe can tell whether the target is cold.
func (t *target) isPossiblyCold(now units.Instant) bool {
	return t.service.row.ColdRate > 0 && now < t.cold.possibleUntil && now >= t.cold.until
}

// coldRateAdmits tells whether a call may be sent as far as the rate of cold targets goes.
func (t *target) coldRateAdmits(now units.Instant) bool {
	if !t.isCold(now) {
		return true
	}
	t.cold.bucket.refill(now, t.coldRate(), coldBurst)
	return t.cold.share > 0 && t.cold.bucket.tokens >= 1
}

// coldRate is how many calls a second this box may send the target while it is cold.
func (t *target) coldRate() float64 { return t.cold.share * t.service.row.ColdRate }

// countColdSend takes a call off the rate of a cold target.
func (t *target) countColdSend(now units.Instant) {
	if t.isCold(now) {
		t.cold.bucket.take(now, t.coldRate(), coldBurst)
	}
}

// applyColdRows takes what the rows of a service that were put in force say of cold targets.
func (r *Router) applyColdRows(s *service) {
	for _, t := range s.targets {
		if t.cold.rowRemaining > 0 {
			r.markCold(t, t.cold.rowRemaining)
			t.cold.rowRemaining = 0
		}
	}
}

// markCold notes that a target stays cold for a time.
func (r *Router) markCold(t *target, left time.Duration) {
	wasCold := t.isCold(r.now)
	t.cold.until = max(t.cold.until, r.now.Add(left))
	r.startColdRate(t, wasCold)
}

// markPossiblyCold notes that a target may have become cold.
func (r *Router) markPossiblyCold(t *target) {
	wasCold := t.isCold(r.now)
	t.cold.possibleUntil = r.now.Add(r.settings.ColdDoubt)
	r.startColdRate(t, wasCold)
}

// startColdRate gives this box its part of the rate of a target that has turned cold.
func (r *Router) startColdRate(t *target, wasCold bool) {
	if wasCold || !t.isCold(r.now) {
		return
	}
	r.updateColdShare(t)
	t.cold.bucket = rateLimit{at: r.now, tokens: coldBurst}
	if r.now.Sub(r.startedAt) < restartGrace {
		t.cold.bucket.tokens = 0
	}
}

// updateColdState takes what the answer to a probe says: for how long the target stays cold,
// zero where it is warm.
func (r *Router) updateColdState(t *target, left time.Duration) {
	if left > 0 {
		r.markCold(t, left)
		return
	}
	t.cold.until, t.cold.possibleUntil = r.now, r.now
}

// updateColdShare works out this box's part of a cold target's rate, unless that was done for the
// present list of boxes.
func (r *Router) updateColdShare(t *target) {
	if t.cold.boxListVersion == r.boxLists {
		return
	}
	t.cold.boxListVersion = r.boxLists
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

// boxesInDomainOf are the boxes in the target's failure domain that stay, or all that stay where
// there are none.
func (r *Router) boxesInDomainOf(t *target) []table.Box {
	if boxes, known := r.beside[t.row.Domain]; known {
		return boxes
	}
	beside := boxesInDomain(r.rank.boxes, t.row.Domain)
	r.beside[t.row.Domain] = beside
	return beside
}

// boxesInDomain are those of some boxes that are in a failure domain and stay, or all that stay where there are
// none.
func boxesInDomain(boxes []table.Box, domain units.Domain) []table.Box {
	all := withoutLeaving(boxes)
	var beside []table.Box
	for _, b := range all {
		if b.Domain == domain {
			beside = append(beside, b)
		}
	}
	if len(beside) == 0 {
		return all
	}
	return beside
}

// withoutLeaving are those of some boxes that aren't about to go.
func withoutLeaving(boxes []table.Box) []table.Box {
	var stay []table.Box
	for _, b := range boxes {
		if !b.Leaving {
			stay = append(stay, b)
		}
	}
	return stay
}
