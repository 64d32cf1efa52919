package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// minHedgeDelay is the least time before a call is hedged: a call that ends sooner gains its
// caller less than a hedge costs the targets.
const minHedgeDelay = 2 * time.Millisecond

// isHedged tells whether calls like this one are sent a second time when they are late.
func (r *Router) isHedged(c *call) bool {
	return c.route.work == table.Repeatable && r.enabled(Hedging) && c.service.row.HedgeBudget > 0 && c.route.maxAttempts > 1
}

// hedgeDelay is how long a call may go unanswered before it is worth a second send:
// half of its aim, so that the second may still make it, or longer than nearly all
// calls take where there is no aim.
func (c *call) hedgeDelay() time.Duration {
	if c.route.aim > 0 {
		return max(minHedgeDelay, c.route.aim/2)
	}
	return c.service.hedgeDelay()
}

// hedgeDelay is the same by the service's answers alone: longer than nearly all calls take.
func (s *service) hedgeDelay() time.Duration {
	return max(minHedgeDelay, s.latency.quantile())
}

// hedge sends a call a second time if it is still without an answer, the budget
// allows it and another target has room. Otherwise it is tried again later: a target that has
// gone silent would keep the call until its deadline.
func (r *Router) hedge(id CallID, c *call, e *Effects) {
	for i := range c.attempts {
		r.scheduleOverdueCheck(id, c, &c.attempts[i])
	}
	if c.mayHedge() && !r.tryHedge(id, c, e) {
		r.scheduleHedge(id, c)
	}
}

// mayHedge tells whether the call waits for one answer and may be sent once more.
func (c *call) mayHedge() bool {
	return !c.held && !c.streaming && !c.probeRound.active && c.inFlight() == 1 && !c.attemptsExhausted()
}

// tryHedge hedges a call now if it can be.
func (r *Router) tryHedge(id CallID, c *call, e *Effects) bool {
	s := c.service
	if r.isBehindHeld(s, c) || !r.leased() || !r.mayRepeat(c) {
		return false
	}
	t := r.choose(s, c)
	if t == nil || !s.hedges.spend() {
		return false
	}
	r.sendOrProbe(id, c, t, HedgeSend, e)
	return true
}

// scheduleHedge has a call that couldn't be hedged now looked at again.
func (r *Router) scheduleHedge(id CallID, c *call) {
	r.timers.Push(timer{at: r.now.Add(c.hedgeDelay()), call: id, kind: hedgeTimer})
}
