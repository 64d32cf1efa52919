package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// health tracks whether a target serves calls normally. A target that fails several calls in a row
// is ejected for a while, then tried with one call at a time, and returns with a gradually
// increasing weight.
type health struct {
	consecutiveFailures int
	ejected             bool
	// retryAt is when an ejected target may be sent a call again.
	retryAt   units.Instant
	ejections int
	// rampStart is when the target returned to service.
	rampStart units.Instant
}

const (
	// failuresToEject is how many consecutive failures eject a target.
	failuresToEject = 5
	// minEjection is the time of the first ejection; it doubles with each further one up to
	// maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = time.Second
	// maxEjectionDoublings bounds how often the ejection time is doubled.
	maxEjectionDoublings = 4
	// rampTime is how long a target takes to reach its full weight.
	rampTime = time.Second
	// rampFloor is the fraction of its weight that a target starts with.
	rampFloor = 0.1
)

const (
	// failureGain is the weight of the newest call in a target's failure rate: two consecutive
	// failures raise its cost about as much as an ordinary slow moment.
	failureGain = 0.15
	// failureHalfLife is the age at which the failure rate has half its weight.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost of a failed call, in calls: it is sent again if that is allowed, and
	// lost otherwise.
	failureCost = 3
)

// updateFailureRate adds the result of a call to the failure rate: 1 for a failure, 0 for an
// answer.
func (t *target) updateFailureRate(now units.Instant, x float64) {
	t.failureRate += failureGain * (x - t.failureRate)
	t.failureRateAt = now
}

// expectedFailureRate returns the fraction of calls that are expected to fail at the target.
func (t *target) expectedFailureRate(now units.Instant) float64 {
	return t.failureRate * hyperbolicDecay(now.Sub(t.failureRateAt), failureHalfLife)
}

// hasReportedFreeSlot reports whether a recent load report showed a free slot at the target.
func (t *target) hasReportedFreeSlot(now units.Instant) bool {
	return t.report.HasLoad && now.Sub(t.report.receivedAt) < loadLifetime && t.load(now) < t.slots()
}

// recordFailure counts a failed call and reports whether it caused an ejection.
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

// recordUnreachable counts a failed connection attempt, which is stronger evidence than a failed
// call, and reports whether it caused an ejection.
func (h *health) recordUnreachable(now units.Instant) bool {
	h.consecutiveFailures = max(h.consecutiveFailures, failuresToEject-2)
	return h.recordFailure(now)
}

// recordMisdirected ejects a target at whose address another target answers, and reports whether it
// wasn't ejected before. The maximum ejection time applies, since only a new table is likely to
// correct the address.
func (h *health) recordMisdirected(now units.Instant) bool {
	changed := !h.ejected
	h.ejected = true
	h.ejections = max(h.ejections, maxEjectionDoublings)
	h.eject(now)
	return changed
}

func (h *health) eject(now units.Instant) {
	wait := min(maxEjection, minEjection<<min(h.ejections, maxEjectionDoublings))
	h.ejections++
	h.retryAt = now.Add(wait)
}

// recordSuccess resets the failures after a good answer and reports whether it ended an ejection.
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

// admits reports whether a call may be sent, given the number in flight. An ejected target is tried
// with one call at a time.
func (h *health) admits(now units.Instant, inFlight int) bool {
	if !h.ejected {
		return true
	}
	return now >= h.retryAt && inFlight == 0
}

// rampFactor returns the fraction of the target's weight that is in effect.
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

// isRamping reports whether the weight is still increasing.
func (h *health) isRamping(now units.Instant) bool {
	return !h.ejected && h.rampStart != 0 && now.Sub(h.rampStart) <= rampTime+sweepPeriod
}
