package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// minHedgeDelay is the minimum delay of a hedge: for a call that ends sooner the caller gains less
// than the hedge costs the targets.
const minHedgeDelay = 2 * time.Millisecond

// isHedged reports whether late calls of this kind are hedged.
func (r *Router) isHedged(c *call) bool {
	return c.route.work == table.Repeatable && !c.streamedBody && r.enabled(Hedging) && c.service.row.HedgeBudget > 0 && c.maxAttempts() > 1
}

// hedgeDelay is how long a call may be unanswered before it is hedged: half of its latency
// objective, so that the hedge may still meet it, or longer than nearly all calls take where the
// route has none.
func (c *call) hedgeDelay() time.Duration {
	if c.route.latencyObjective > 0 {
		return max(minHedgeDelay, c.route.latencyObjective/2)
	}
	return c.service.hedgeDelay()
}

// hedgeDelay is the hedge delay without a latency objective, from the latency of the service's
// answers alone: longer than nearly all calls take.
func (s *service) hedgeDelay() time.Duration {
	return max(minHedgeDelay, s.latency.quantile())
}

// hedge sends a call a second time if it is still unanswered, the budget allows it and another
// target accepts it. Otherwise it tries again later: a target that has stopped answering would keep
// the call until its deadline.
func (r *Router) hedge(id CallID, c *call, e *Effects) {
	for i := range c.attempts {
		r.scheduleOverdueCheck(id, c, &c.attempts[i])
	}
	if c.mayHedge() && !r.tryHedge(id, c, e) {
		r.scheduleHedge(id, c)
	}
}

// mayHedge reports whether the call waits for exactly one answer and may be sent once more.
func (c *call) mayHedge() bool {
	return !c.held && !c.streaming && !c.probeRound.active && c.relay.number == 0 && c.inFlight() == 1 && !c.attemptsExhausted()
}

// tryHedge hedges a call now if that is possible.
func (r *Router) tryHedge(id CallID, c *call, e *Effects) bool {
	s := c.service
	if c.isCutOff() || r.isBehindHeld(s, c) || !r.leased() || !r.mayResend(c) {
		return false
	}
	t := r.choose(s, c)
	if t == nil || !s.hedges.spend() {
		return false
	}
	r.sendOrProbe(id, c, t, HedgeSend, e)
	return true
}

// scheduleHedge schedules the next attempt to hedge a call.
func (r *Router) scheduleHedge(id CallID, c *call) {
	r.timers.Push(timer{at: r.now.Add(c.hedgeDelay()), call: id, kind: hedgeTimer})
}
