package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// health says whether a target is in the common path. A target that fails
// several calls in a row is ejected for a while, then tried with one call at a
// time, and comes back with a growing weight.
type health struct {
	consecutiveFailures int
	ejected             bool
	// retryAt is when an ejected target may be tried.
	retryAt   units.Instant
	ejections int
	// rampStart is when the target began to take work again.
	rampStart units.Instant
}

const (
	// failuresToEject is how many failures in a row eject a target.
	failuresToEject = 5
	// minEjection doubles with each ejection up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = time.Second
	// maxEjectionDoublings is after how many ejections in a row the wait grows no longer.
	maxEjectionDoublings = 4
	// rampTime is how long a target takes to reach its full weight.
	rampTime = time.Second
	// rampFloor is the part of the weight that a target starts with.
	rampFloor = 0.1
)

const (
	// failureGain is the weight of the newest call in a target's part of failures: two
	// failures in a row weigh as much as a usual slow moment.
	failureGain = 0.15
	// failureHalfLife is the age at which that part counts for a half.
	failureHalfLife = 2 * time.Second
	// failureCost is what a call that fails costs, in calls: it is sent again where that
	// is allowed, and lost where it isn't.
	failureCost = 3
)

// updateFailureRate takes how a call ended: 1 for a failure, 0 for an answer.
func (t *target) updateFailureRate(now units.Instant, x float64) {
	t.failureRate += failureGain * (x - t.failureRate)
	t.failureRateAt = now
}

// expectedFailureRate is the part of calls that are expected to fail at the target.
func (t *target) expectedFailureRate(now units.Instant) float64 {
	return t.failureRate * hyperbolicDecay(now.Sub(t.failureRateAt), failureHalfLife)
}

// hasReportedFreeSlot tells whether the target is known to have had a slot free a moment ago.
func (t *target) hasReportedFreeSlot(now units.Instant) bool {
	return t.report.Known && now.Sub(t.report.receivedAt) < loadLifetime && t.load(now) < t.slots()
}

// recordFailure notes a recordFailure call; it returns true when the target was ejected by it.
func (h *health) recordFailure(now units.Instant) bool {
	h.consecutiveFailures++
	if h.ejected {
		h.eject(now)
		return false
	}
	if h.consecutiveFailures < failuresToEject {
		return false
	}
	h.ejected = true
	h.eject(now)
	return true
}

// recordUnreachable notes that no connection could be made, which says more than a
// failed call.
func (h *health) recordUnreachable(now units.Instant) bool {
	h.consecutiveFailures = max(h.consecutiveFailures, failuresToEject-2)
	return h.recordFailure(now)
}

// recordMisdirected notes that another target answers at the address; it returns true when
// the target was ejected by that. Only the table will bring it back soon.
func (h *health) recordMisdirected(now units.Instant) bool {
	turned := !h.ejected
	h.ejected = true
	h.ejections = max(h.ejections, maxEjectionDoublings)
	h.eject(now)
	return turned
}

func (h *health) eject(now units.Instant) {
	wait := min(maxEjection, minEjection<<min(h.ejections, maxEjectionDoublings))
	h.ejections++
	h.retryAt = now.Add(wait)
}

// recordSuccess notes a good answer; it returns true when it ended an ejection.
func (h *health) recordSuccess(now units.Instant) bool {
	h.consecutiveFailures = 0
	if !h.ejected {
		if h.ejections > 0 && now.Sub(h.rampStart) > rampTime {
			h.ejections = 0
		}
		return false
	}
	h.ejected = false
	h.rampStart = now
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

// rampFactor is the part of its weight that counts.
func (h *health) rampFactor(now units.Instant) float64 {
	if h.ejected {
		return 0
	}
	if h.rampStart == 0 {
		return 1
	}
	grown := float64(now.Sub(h.rampStart)) / float64(rampTime)
	return min(1, rampFloor+(1-rampFloor)*grown)
}

// isRamping tells whether the weight is still growing.
func (h *health) isRamping(now units.Instant) bool {
	return !h.ejected && h.rampStart != 0 && now.Sub(h.rampStart) <= rampTime+sweepPeriod
}
