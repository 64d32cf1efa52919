package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Under overload, callers whose calls were refused retry, and the answer to a retry comes late.
// Each slot that a retry takes is one in which a first try would have been answered in time. With
// calls at 1.8 times the capacity over 60 boxes and callers that retry once, refusing late retries
// raised the calls answered within their latency objective from 29 in 100 to 35. The time since a
// caller's first try is estimated from the deadline that it requests, compared with those of the
// route's first tries.

const (
	// clientRetryFraction is the fraction of callers that request less than the usual deadline
	// while the service isn't busy: those that retry after a failure, and a few with unusual
	// deadlines.
	clientRetryFraction = 0.1
	// deadlineStep is how far the estimate moves with each call, as a fraction of it. One call in
	// ten with a shorter deadline leaves it unchanged on average.
	deadlineStep = 0.04
	// minDeadlineSamples is the number of samples before the estimate is used; a box may get only a
	// few calls of a route each second.
	minDeadlineSamples = 4
	// clientRetryThreshold is the fraction of the usual deadline below which a call is classified
	// as a retry: the deadlines of first tries vary a little between callers.
	clientRetryThreshold = 0.9
	// overloadThreshold is the fraction of probe answers without room from which on late retries are
	// refused: one call in four finds no target at once then. overloadDuration is how long that remains valid, since a box may get
	// only one call of a service each second.
	overloadThreshold = 0.5
	overloadDuration  = 2 * time.Second
)

// deadlineEstimate estimates the deadline that a route's callers request at their first try: nearly
// all of them request this much or more. It is updated while the service isn't busy, when few calls
// are retries.
type deadlineEstimate struct {
	estimate time.Duration
	samples  int
}

// observe updates the estimate with the deadline that a call requests.
func (u *deadlineEstimate) observe(requested time.Duration) {
	if requested <= 0 {
		return
	}
	u.samples++
	if u.samples <= minDeadlineSamples {
		u.observeEarly(requested)
		return
	}
	step := deadlineStep * float64(u.estimate)
	if requested < u.estimate {
		u.estimate -= time.Duration((1 - clientRetryFraction) * step)
		return
	}
	u.estimate += time.Duration(clientRetryFraction * step)
}

// observeEarly sets the estimate to the minimum of the first samples.
func (u *deadlineEstimate) observeEarly(requested time.Duration) {
	if u.estimate == 0 || requested < u.estimate {
		u.estimate = requested
	}
}

// elapsedSinceFirstTry is a lower bound of the time since the caller's first try; zero for a first
// try, and where it can't be estimated.
func (u *deadlineEstimate) elapsedSinceFirstTry(requested time.Duration) time.Duration {
	if requested <= 0 || u.samples < minDeadlineSamples || float64(requested) >= clientRetryThreshold*float64(u.estimate) {
		return 0
	}
	return u.estimate - requested
}

// isOverloaded reports whether recent probes found many targets full or slow, so that a slot given to
// one call is missing for another. It is the weaker condition beside isBusy, which requires a larger
// fraction, and more recent answers.
func (s *service) isOverloaded(now units.Instant) bool {
	return s.busyFraction >= overloadThreshold && now.Sub(s.busyUpdatedAt) < overloadDuration
}

// wouldMissObjective reports whether a call should be refused at once because it is such a late
// retry that its answer would miss the latency objective, and first tries need the slots.
func (r *Router) wouldMissObjective(c *call, requested time.Duration) bool {
	x := c.route
	if !r.enabled(FirstTries) || x.latencyObjective == 0 || !c.service.isOverloaded(r.now) {
		return false
	}
	elapsed := x.callerDeadline.elapsedSinceFirstTry(requested)
	return elapsed > 0 && elapsed+time.Duration(x.knownTypicalTime()) > x.latencyObjective
}
