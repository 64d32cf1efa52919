package routing

import (
	"math/rand/v2"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target is closed while it takes no calls by its own word: it wants rest, or it names a limit and this
// box has no permit. Where all targets that a call may use are closed for longer than it can wait, its caller is
// refused at once and told when to come back.

const (
	// leastRestSpread is the least time over which the callers who were refused because of
	// rests come back: the first of them then show whether the targets take calls again.
	leastRestSpread = 100 * time.Millisecond
	// restSpread is that time as a part of what is left of the rest, so that callers who were
	// refused all through a long rest don't come in a burst at its end.
	restSpread = 0.25
	// limitWait is how long a call that isn't patient waits for a permit: callers who can't be
	// served learn so at once.
	limitWait = 150 * time.Millisecond
	// leastLimitRetry and mostLimitRetry bound the spread of the times to come back after refusals for
	// limits, as parts of the time that they are drawn from.
	leastLimitRetry = 0.5
	mostLimitRetry  = 1.5
)

// isClosed tells whether the target takes no calls for the time being, by its own word.
func (t *target) isClosed(now units.Instant) bool { return t.notice.rests(now) || t.lacksPermit(now) }

// opensAt is when a target that is closed may take calls again, as far as this box knows.
func (t *target) opensAt(now units.Instant) units.Instant {
	at := max(now, t.notice.restUntil)
	if t.lacksPermit(now) {
		at = max(at, t.notice.limit.nextPermitAt(now))
	}
	return at
}

// opensAt is when the first target that a call may use takes calls again, where all of them are
// closed; false means that one of them isn't, or that there is none.
func (s *service) opensAt(c *call, now units.Instant) (units.Instant, bool) {
	var first units.Instant
	for _, t := range s.targets {
		if !t.isActive() || !c.mayUse(t) {
			continue
		}
		if !t.isClosed(now) {
			return 0, false
		}
		if at := t.opensAt(now); first == 0 || at < first {
			first = at
		}
	}
	return first, first != 0
}

// isLimited tells whether all targets that a call may use name limits.
func (s *service) isLimited(c *call) bool {
	if s.limitedTargets == 0 {
		return false
	}
	for _, t := range s.targets {
		if t.isActive() && c.mayUse(t) && !t.notice.limited() {
			return false
		}
	}
	return true
}

// opensTooLate tells whether all targets that a call may use are closed for longer than it can wait.
func (s *service) opensTooLate(c *call, now units.Instant) bool {
	at, closed := s.opensAt(c, now)
	return closed && at > c.waitEnd(s)
}

// closedReason says why all targets that a call may use are closed: they rest, unless one of them
// only lacks a permit.
func (s *service) closedReason(c *call, now units.Instant) Reason {
	for _, t := range s.targets {
		if t.isActive() && c.mayUse(t) && !t.notice.rests(now) && t.lacksPermit(now) {
			return TargetsLimited
		}
	}
	return TargetsRest
}

// waitEnd is until when a call may wait for a target: the part of its aim for which calls wait for
// one to come free, not long for a permit, or as long as a patient one may be held.
func (c *call) waitEnd(s *service) units.Instant {
	held := min(c.deadline, c.arrived.Add(s.row.HoldLimit))
	if c.route.work == table.Patient {
		return held
	}
	wait := time.Duration(calmPart * c.aim())
	if s.isLimited(c) {
		wait = min(wait, limitWait)
	}
	return min(held, c.arrived.Add(wait))
}

// closedRetry is when the caller of a call may come back whose targets are all closed; zero where one of
// them isn't.
func (r *Router) closedRetry(c *call) time.Duration {
	first, closed := c.service.opensAt(c, r.now)
	switch {
	case !closed:
		return 0
	case c.service.closedReason(c, r.now) == TargetsLimited:
		return r.limitRetry(c.service, first)
	}
	return c.service.restRetry(c, first, r.now, r.random)
}

// limitRetry is when the caller of a call may come back that limits left no room for. As at a busy service, a
// time that has lasted is expected to last as long again; callers are spread
// around it, so that they don't all come for what is permitted next.
func (r *Router) limitRetry(s *service, first units.Instant) time.Duration {
	lasted := min(r.now.Sub(s.limitedSince), mostBusyRetry)
	after := max(leastBusyRetry, lasted, first.Sub(r.now))
	part := leastLimitRetry + (mostLimitRetry-leastLimitRetry)*r.random.Float64()
	return time.Duration(part * float64(after)).Round(time.Millisecond)
}

// restRetry is when the caller of a call may come back whose targets all rest, the first of them until
// an instant. Each caller is told the end of one of the rests, drawn by lot among those that end
// first, and a moment more, so that no target meets all of them at the end of its rest.
func (s *service) restRetry(c *call, first, now units.Instant, random *rand.Rand) time.Duration {
	left := first.Sub(now)
	drawn, n := left, 0
	for _, t := range s.targets {
		if !t.isActive() || !c.mayUse(t) || t.notice.restUntil.Sub(now) > 2*left {
			continue
		}
		n++
		if random.IntN(n) == 0 {
			drawn = t.notice.restUntil.Sub(now)
		}
	}
	spread := max(float64(leastRestSpread), restSpread*float64(left))
	return min(maxRetryAfter, drawn+time.Duration(random.Float64()*spread)).Round(time.Millisecond)
}

// awaitsTargets are the refusals that are due to the targets' own words where all of them are closed.
var awaitsTargets = map[Reason]bool{
	TooManyHeld: true, WaitTooLong: true, HoldExpired: true, TargetShed: true, RetriesSpent: true, TargetsBusy: true,
	TargetsRest: true, TargetsLimited: true,
}

// explainClosed has such a refusal say what closes all targets, and when their caller may come back.
func (r *Router) explainClosed(c *call, x *Refusal) {
	if c.service == nil || len(r.notices) == 0 || !awaitsTargets[x.Reason] {
		return
	}
	if after := r.closedRetry(c); after > 0 {
		x.Reason = c.service.closedReason(c, r.now)
		x.RetryAfter = max(x.RetryAfter, after)
	}
}
