package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// health says whether a target is in the common path. A target that fails
// several calls in a row is ejected for a while, then tried with one call at a
// time, and comes back with a growing weight.
type health struct {
	failures int
	ejected  bool
	// retryAt is when an ejected target may be tried.
	retryAt units.Instant
	times   int
	// rampFrom is when the target began to take work again.
	rampFrom units.Instant
}

const (
	// maxFailures is how many failures in a row eject a target.
	maxFailures = 5
	// firstEjection doubles with each ejection up to maxEjection.
	firstEjection = 250 * time.Millisecond
	maxEjection   = time.Second
	// maxEjections is after how many ejections in a row the wait grows no longer.
	maxEjections = 4
	// rampTime is how long a target takes to reach its full weight.
	rampTime = time.Second
	// rampFloor is the part of the weight that a target starts with.
	rampFloor = 0.1
)

const (
	// failureGain is the weight of the newest call in a target's part of failures: two
	// failures in a row weigh as much as a usual slow moment.
	failureGain = 0.15
	// failureMemory is the age at which that part counts for a half.
	failureMemory = 2 * time.Second
	// failureCost is what a call that fails costs, in calls: it is sent again where that
	// is allowed, and lost where it isn't.
	failureCost = 3
)

// noteFailure takes how a call ended: 1 for a failure, 0 for an answer.
func (t *target) noteFailure(now units.Instant, x float64) {
	t.failing += failureGain * (x - t.failing)
	t.failingAt = now
}

// failingPart is the part of calls that are expected to fail at the target.
func (t *target) failingPart(now units.Instant) float64 {
	return t.failing * freshness(now.Sub(t.failingAt), failureMemory)
}

// knownRoom tells whether the target is known to have had a slot free a moment ago.
func (t *target) knownRoom(now units.Instant) bool {
	return t.reading.HasLoad && now.Sub(t.reading.at) < loadMemory && t.load(now) < t.slots()
}

// failed notes a failed call; it returns true when the target was ejected by it.
func (h *health) failed(now units.Instant) bool {
	h.failures++
	if h.ejected {
		h.eject(now)
		return false
	}
	if h.failures < maxFailures {
		return false
	}
	h.ejected = true
	h.eject(now)
	return true
}

// unreachable notes that no connection could be made, which says more than a
// failed call.
func (h *health) unreachable(now units.Instant) bool {
	h.failures = max(h.failures, maxFailures-2)
	return h.failed(now)
}

// misdirected notes that another target answers at the address; it returns true when
// the target was ejected by that. Only the table will bring it back soon.
func (h *health) misdirected(now units.Instant) bool {
	turned := !h.ejected
	h.ejected = true
	h.times = max(h.times, maxEjections)
	h.eject(now)
	return turned
}

func (h *health) eject(now units.Instant) {
	wait := min(maxEjection, firstEjection<<min(h.times, maxEjections))
	h.times++
	h.retryAt = now.Add(wait)
}

// succeeded notes a good answer; it returns true when it ended an ejection.
func (h *health) succeeded(now units.Instant) bool {
	h.failures = 0
	if !h.ejected {
		if h.times > 0 && now.Sub(h.rampFrom) > rampTime {
			h.times = 0
		}
		return false
	}
	h.ejected = false
	h.rampFrom = now
	return true
}

// admits tells whether a call may be sent, given those under way. An ejected
// target is tried with one call at a time.
func (h *health) admits(now units.Instant, inFlight int) bool {
	if !h.ejected {
		return true
	}
	return now >= h.retryAt && inFlight == 0
}

// ramp is the part of its weight that counts.
func (h *health) ramp(now units.Instant) float64 {
	if h.ejected {
		return 0
	}
	if h.rampFrom == 0 {
		return 1
	}
	grown := float64(now.Sub(h.rampFrom)) / float64(rampTime)
	return min(1, rampFloor+(1-rampFloor)*grown)
}

// ramping tells whether the weight is still growing.
func (h *health) ramping(now units.Instant) bool {
	return !h.ejected && h.rampFrom != 0 && now.Sub(h.rampFrom) <= rampTime+sweepPeriod
}
