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
	// coldBoxes is how many boxes share a cold target's rate. Two go on when one is lost.
	// While boxes disagree on the list of boxes there may be twice as many.
	coldBoxes = 2
	// coldBurst is how many calls one of them may send a cold target at once.
	coldBurst = 1
	// restartDoubt is for how long after its start a box may have sent a cold target a call in
	// its last life: that call counts in the same second as the next one.
	restartDoubt = time.Second
)

// coldness is what is known of a cold target.
type coldness struct {
	// until is when the target will be warm.
	until units.Instant
	// doubtUntil is when a target that may be cold counts as warm unless it says otherwise.
	doubtUntil units.Instant
	// reported is for how long the target stays cold by a row that was put in force just now.
	reported time.Duration
	// share is this box's part of the rate.
	share float64
	rate  tokenBucket
	// listed is the list of boxes that the share was worked out from, by its number.
	listed int
}

// isCold tells whether the target is cold, or may be.
func (t *target) isCold(now units.Instant) bool {
	return t.service.row.ColdRate > 0 && (now < t.cold.until || now < t.cold.doubtUntil)
}

// takesColdCalls tells whether the target is cold and takes calls of this box all the same.
func (t *target) takesColdCalls(now units.Instant) bool {
	return t.isCold(now) && t.cold.share > 0
}

// inDoubt tells whether only a probe can tell whether the target is cold.
func (t *target) inDoubt(now units.Instant) bool {
	return t.service.row.ColdRate > 0 && now < t.cold.doubtUntil && now >= t.cold.until
}

// coldAdmits tells whether a call may be sent as far as the rate of cold targets goes.
func (t *target) coldAdmits(now units.Instant) bool {
	if !t.isCold(now) {
		return true
	}
	t.cold.rate.refill(now, t.coldRate(), coldBurst)
	return t.cold.share > 0 && t.cold.rate.tokens >= 1
}

// coldRate is how many calls a second this box may send the target while it is cold.
func (t *target) coldRate() float64 { return t.cold.share * t.service.row.ColdRate }

// noteColdSend takes a call off the rate of a cold target.
func (t *target) noteColdSend(now units.Instant) {
	if t.isCold(now) {
		t.cold.rate.take(now, t.coldRate(), coldBurst)
	}
}

// takeColdRows takes what the rows of a service that were put in force say of cold targets.
func (r *Router) takeColdRows(s *service) {
	for _, t := range s.targets {
		if t.cold.reported > 0 {
			r.turnCold(t, t.cold.reported)
			t.cold.reported = 0
		}
	}
}

// turnCold notes that a target stays cold for a time.
func (r *Router) turnCold(t *target, left time.Duration) {
	wasCold := t.isCold(r.now)
	t.cold.until = max(t.cold.until, r.now.Add(left))
	r.beginCold(t, wasCold)
}

// doubtWarmth notes that a target may have become cold.
func (r *Router) doubtWarmth(t *target) {
	wasCold := t.isCold(r.now)
	t.cold.doubtUntil = r.now.Add(r.settings.AssumedColdPeriod)
	r.beginCold(t, wasCold)
}

// beginCold gives this box its part of the rate of a target that has turned cold.
func (r *Router) beginCold(t *target, wasCold bool) {
	if wasCold || !t.isCold(r.now) {
		return
	}
	r.shareCold(t)
	t.cold.rate = tokenBucket{refilledAt: r.now, tokens: coldBurst}
	if r.now.Sub(r.startedAt) < restartDoubt {
		t.cold.rate.tokens = 0
	}
}

// noteWarmth takes what the answer to a probe says: for how long the target stays cold,
// zero where it is warm.
func (r *Router) noteWarmth(t *target, left time.Duration) {
	if left > 0 {
		r.turnCold(t, left)
		return
	}
	t.cold.until, t.cold.doubtUntil = r.now, r.now
}

// shareCold works out this box's part of a cold target's rate, unless that was done for the
// present list of boxes.
func (r *Router) shareCold(t *target) {
	if t.cold.listed == r.boxListVersion {
		return
	}
	t.cold.listed = r.boxListVersion
	t.cold.share = 0
	boxes := r.boxesBeside(t)
	if !slices.ContainsFunc(boxes, func(b table.Box) bool { return b.ID == r.settings.Box }) {
		return
	}
	n := min(coldBoxes, len(boxes))
	if r.rank.countBefore(t.row.Target, boxes) < n {
		t.cold.share = 1 / float64(n)
	}
}

// boxesBeside are the boxes in the target's failure domain that stay, or all that stay where
// there are none.
func (r *Router) boxesBeside(t *target) []table.Box {
	if boxes, known := r.domainBoxes[t.row.Domain]; known {
		return boxes
	}
	beside := besideIn(r.rank.boxes, t.row.Domain)
	r.domainBoxes[t.row.Domain] = beside
	return beside
}

// besideIn are those of some boxes that are in a failure domain and stay, or all that stay where there are
// none.
func besideIn(boxes []table.Box, domain units.Domain) []table.Box {
	all := staying(boxes)
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

// staying are those of some boxes that aren't about to go.
func staying(boxes []table.Box) []table.Box {
	var stay []table.Box
	for _, b := range boxes {
		if !b.Leaving {
			stay = append(stay, b)
		}
	}
	return stay
}
