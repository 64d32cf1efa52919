package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// While calls come faster than targets can serve them, callers who were refused try again, and
// the answer to a second try is late. Each slot that it takes is one in which a first try would
// have been answered in time. With calls of 1.8 times the capacity over 60 boxes and callers who
// try again once, 35 in 100 calls were answered in aim in place of 29. How long ago a caller's
// first try was shows in the deadline that it asks for, compared with those of the route's first
// tries.

const (
	// clientRetryFraction is the part of callers that ask for less than the usual deadline while there
	// is room: those who come back after a failure, and a few whose deadlines are unlike the others'.
	clientRetryFraction = 0.1
	// deadlineStep is how far the usual deadline moves with each call, as a part of it: one
	// call in ten with a shorter deadline leaves it where it is.
	deadlineStep = 0.04
	// minDeadlineSamples is how many calls must have come before anything is said; a box may get
	// only a few calls of a route each second.
	minDeadlineSamples = 4
	// clientRetryThreshold is the part of the usual deadline below which a caller counts as having come
	// back: the deadlines of first tries differ a little from caller to caller.
	clientRetryThreshold = 0.9
	// crowdedThreshold is the part of calls that found no target at once from which on late returns
	// are refused; crowdMemory is for how long that counts, since a box may get a call of a
	// service only once a second.
	crowdedThreshold = 0.25
	crowdedDuration  = 2 * time.Second
)

// deadlineEstimate is what a route's callers ask for when they first come: nearly all of them ask
// for this much or more. It is learnt while the service has room, when few come back.
type deadlineEstimate struct {
	estimate time.Duration
	samples  int
}

// observe takes the deadline that a call asks for.
func (u *deadlineEstimate) observe(asked time.Duration) {
	if asked <= 0 {
		return
	}
	u.samples++
	if u.samples <= minDeadlineSamples {
		u.observeEarly(asked)
		return
	}
	step := deadlineStep * float64(u.estimate)
	if asked < u.estimate {
		u.estimate -= time.Duration((1 - clientRetryFraction) * step)
		return
	}
	u.estimate += time.Duration(clientRetryFraction * step)
}

// observeEarly takes the least of the first calls' deadlines.
func (u *deadlineEstimate) observeEarly(asked time.Duration) {
	if u.estimate == 0 || asked < u.estimate {
		u.estimate = asked
	}
}

// elapsedSinceFirstTry is how long ago, at the least, the caller's first try was; zero for a first try, and
// where that can't be told.
func (u *deadlineEstimate) elapsedSinceFirstTry(asked time.Duration) time.Duration {
	if asked <= 0 || u.samples < minDeadlineSamples || float64(asked) >= clientRetryThreshold*float64(u.estimate) {
		return 0
	}
	return u.estimate - asked
}

// isCrowded tells whether calls have lately found no target at once, so that a slot given to
// one call is missing for another.
func (s *service) isCrowded(now units.Instant) bool {
	return s.busyPart >= crowdedThreshold && now.Sub(s.busyAt) < crowdedDuration
}

// wouldMissAim tells whether a call had better be refused at once: its caller has come back so
// late that the answer would miss the aim, and first tries need the slots.
func (r *Router) wouldMissAim(c *call, asked time.Duration) bool {
	x := c.route
	if !r.enabled(FirstTries) || x.aim == 0 || !c.service.isCrowded(r.now) {
		return false
	}
	spent := x.asked.elapsedSinceFirstTry(asked)
	return spent > 0 && spent+time.Duration(x.knownTypicalTime()) > x.aim
}
