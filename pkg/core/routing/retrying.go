package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// retry sends a call again to another target, if the retry budget allows it. A free retry doesn't
// draw on the budget; it is used when the call can't have reached any target.
func (r *Router) retry(id CallID, c *call, free bool, e *Effects) bool {
	if !r.enabled(Retrying) || c.hasNoBodyLeft() || c.isCutOff() || c.attemptsExhausted() || !r.leased() || r.isBehindHeld(c.service, c) || !r.mayResend(c) {
		return false
	}
	t := r.choose(c.service, c)
	if t == nil || !free && !c.service.spendRetry() {
		return false
	}
	r.sendOrProbe(id, c, t, RetrySend, e)
	return true
}

// resend handles an attempt that the target certainly didn't run. Any kind of work may be sent
// again then.
func (r *Router) resend(id CallID, c *call, reason Reason, e *Effects) {
	if c.hasPendingSend() {
		return
	}
	if r.retry(id, c, reason == NoTargetReached, e) {
		return
	}
	if c.route.work == table.Patient && r.holdAgain(id, c, e) {
		return
	}
	r.refuse(id, c, Refusal{Reason: reason, Outcome: c.outcome(), RetryAfter: r.resendRetryAfter(c.service, reason)}, e)
}

// shedRetryAfter is the retry delay for a call that was shed although targets have free slots: the
// next target may accept it, and a longer delay would only make the answer late.
const shedRetryAfter = 5 * time.Millisecond

// resendRetryAfter is the retry delay for a call that no target accepted.
func (r *Router) resendRetryAfter(s *service, reason Reason) time.Duration {
	if reason == TargetShed && !s.isOverloaded(r.now) && s.held.length == 0 {
		return shedRetryAfter
	}
	return s.retryAfter(r.now)
}

// holdAgain puts a patient call back at the front of the held queue, as long as it may be held at
// all.
func (r *Router) holdAgain(id CallID, c *call, e *Effects) bool {
	s := c.service
	until := min(c.deadline, c.arrived.Add(s.row.HoldLimit))
	if c.hasNoBodyLeft() || r.now >= until || s.held.length >= s.row.HoldCount || s.isBlockedTooLong(c, r.now) {
		return false
	}
	c.held = true
	c.sendsSinceHeld = 0
	s.held.pushFront(id)
	r.scheduleSweep(s, r.now.Add(sweepPeriod))
	r.timers.Push(timer{at: until, call: id, kind: holdTimer})
	r.requestLoans(s, e)
	return true
}
