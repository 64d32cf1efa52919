package routing

import (
	"math/rand/v2"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target is blocked while it accepts no calls because of its own notice: it asked for a rest, or
// it announces a limit and this box holds no permit. If all targets that a call may use are blocked
// for longer than the call can wait, the caller is refused immediately with a time to retry after.

const (
	// minRestSpread is the least time over which retries of callers who were refused because of
	// rests are spread: the first retries then show whether the targets accept calls again.
	minRestSpread = 100 * time.Millisecond
	// restSpreadFactor is that spread as a fraction of the remaining rest, so that callers who were
	// refused during a long rest don't all retry at its end.
	restSpreadFactor = 0.25
	// maxPermitWait is how long a call that isn't patient waits for a permit, so that callers who
	// can't be served are refused quickly.
	maxPermitWait = 150 * time.Millisecond
	// minLimitRetryFactor and maxLimitRetryFactor bound the random factor applied to the retry time
	// after a refusal because of limits.
	minLimitRetryFactor = 0.5
	maxLimitRetryFactor = 1.5
)

// isBlocked reports whether the target accepts no calls at present because of its own notice.
func (t *target) isBlocked(now units.Instant) bool {
	return t.notice.isResting(now) || t.lacksPermit(now)
}

// blockedUntil returns when a blocked target may accept calls again, as far as this box knows.
func (t *target) blockedUntil(now units.Instant) units.Instant {
	at := max(now, t.notice.restUntil)
	if t.lacksPermit(now) {
		at = max(at, t.notice.limit.nextPermitAt(now))
	}
	return at
}

// blockedUntil returns when the first of the targets that a call may use accepts calls again. It
// returns false if one of them isn't blocked, or if there are none.
func (s *service) blockedUntil(c *call, now units.Instant) (units.Instant, bool) {
	var first units.Instant
	for _, t := range s.targets {
		if !t.isEligible() || !c.mayUse(t) {
			continue
		}
		if !t.isBlocked(now) {
			return 0, false
		}
		if at := t.blockedUntil(now); first == 0 || at < first {
			first = at
		}
	}
	return first, first != 0
}

// allLimited reports whether all targets that a call may use announce limits.
func (s *service) allLimited(c *call) bool {
	if s.limitedTargets == 0 {
		return false
	}
	for _, t := range s.targets {
		if t.isEligible() && c.mayUse(t) && !t.notice.isLimited() {
			return false
		}
	}
	return true
}

// isBlockedTooLong reports whether all targets that a call may use are blocked for longer than the
// call can wait.
func (s *service) isBlockedTooLong(c *call, now units.Instant) bool {
	at, blocked := s.blockedUntil(c, now)
	return blocked && at > c.waitDeadline(s)
}

// blockedReason returns why all targets that a call may use are blocked: TargetsLimited if one of
// them only lacks a permit, otherwise TargetsResting.
func (s *service) blockedReason(c *call, now units.Instant) Reason {
	for _, t := range s.targets {
		if t.isEligible() && c.mayUse(t) && !t.notice.isResting(now) && t.lacksPermit(now) {
			return TargetsLimited
		}
	}
	return TargetsResting
}

// waitDeadline returns until when a call may wait for a target. A patient call may wait for the
// service's hold limit, any other for a fraction of its latency objective, and only briefly if it
// waits for a permit.
func (c *call) waitDeadline(s *service) units.Instant {
	held := min(c.deadline, c.arrived.Add(s.row.HoldLimit))
	if c.route.work == table.Patient {
		return held
	}
	wait := time.Duration(normalWaitFraction * c.latencyObjective())
	if s.allLimited(c) {
		wait = min(wait, maxPermitWait)
	}
	return min(held, c.arrived.Add(wait))
}

// blockedRetryAfter returns when the caller of a call whose targets are all blocked should retry;
// zero if one of them isn't blocked.
func (r *Router) blockedRetryAfter(c *call) time.Duration {
	first, blocked := c.service.blockedUntil(c, r.now)
	switch {
	case !blocked:
		return 0
	case c.service.blockedReason(c, r.now) == TargetsLimited:
		return r.limitRetryAfter(c.service, first)
	}
	return c.service.restRetryAfter(c, first, r.now, r.random)
}

// limitRetryAfter returns when a caller whose call was refused because of limits should retry. As
// for a busy service, the state is expected to last for as long as it has lasted already. The time
// is randomized, so that callers don't all compete for the next permits.
func (r *Router) limitRetryAfter(s *service, first units.Instant) time.Duration {
	elapsed := min(r.now.Sub(s.limitedSince), maxBusyRetryAfter)
	after := max(minBusyRetryAfter, elapsed, first.Sub(r.now))
	factor := minLimitRetryFactor + (maxLimitRetryFactor-minLimitRetryFactor)*r.random.Float64()
	return time.Duration(factor * float64(after)).Round(time.Millisecond)
}

// restRetryAfter returns when a caller should retry whose targets all rest, where first is the
// earliest end of a rest. The time is the end of a rest chosen at random among those that end
// soonest, plus a random delay, so that no target receives all retries at the end of its rest.
func (s *service) restRetryAfter(c *call, first, now units.Instant, random *rand.Rand) time.Duration {
	remaining := first.Sub(now)
	chosen, n := remaining, 0
	for _, t := range s.targets {
		if !t.isEligible() || !c.mayUse(t) || t.notice.restUntil.Sub(now) > 2*remaining {
			continue
		}
		n++
		if random.IntN(n) == 0 {
			chosen = t.notice.restUntil.Sub(now)
		}
	}
	spread := max(float64(minRestSpread), restSpreadFactor*float64(remaining))
	return min(maxRetryAfter, chosen+time.Duration(random.Float64()*spread)).Round(time.Millisecond)
}

// blockableReasons are the refusal reasons that are caused by the targets' notices if all targets
// are blocked.
var blockableReasons = map[Reason]bool{
	TooManyHeld: true, WaitTooLong: true, HoldExpired: true, TargetShed: true, NoTargetReached: true, TargetsBusy: true,
	TargetsResting: true, TargetsLimited: true,
}

// explainBlocked sets the reason and retry time of such a refusal to those of the blocked targets.
func (r *Router) explainBlocked(c *call, x *Refusal) {
	if c.service == nil || len(r.notices) == 0 || !blockableReasons[x.Reason] {
		return
	}
	if after := r.blockedRetryAfter(c); after > 0 {
		x.Reason = c.service.blockedReason(c, r.now)
		x.RetryAfter = max(x.RetryAfter, after)
	}
}
