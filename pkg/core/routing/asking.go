package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Targets' load shifts faster than answers bring word of it. Before a call is sent, the
// box may ask a few targets for their load and send the call to the best of them. What
// it asks is part of the measuring budget; without budget it chooses by what it knows.

const (
	// askLimit is how long a call waits for the answers at the most.
	askLimit = 12 * time.Millisecond
	// maxAsked bounds the targets that are asked for one send.
	maxAsked = 4
	// freshReading is the age up to which a reading is as good as a new one.
	freshReading = 15 * time.Millisecond
	// askBurst is for how many calls a box may save up its part of the budget.
	askBurst = 3
)

// purpose is what a send is for.
type purpose uint8

const (
	firstSend purpose = iota
	retrySend
	hedgeSend
)

// inquiry is a call's question to a few targets.
type inquiry struct {
	open    bool
	number  AttemptNumber
	pending int
	purpose purpose
}

// place sends a call to the target that seems best, or asks a few first.
func (r *Router) place(id CallID, c *call, best *target, why purpose, e *Effects) {
	if c.service.row.AskTargets < 2 || best.isFresh(r.now) && best.expectedPace(r.now) < goodPace {
		r.send(id, c, best, why == hedgeSend, e)
		return
	}
	if !r.ask(id, c, why, e) {
		r.send(id, c, best, why == hedgeSend, e)
	}
}

// goodPace is the expected pace up to which a target needs no comparison.
const goodPace = 1.5

// ask asks the best targets for their load; false means that there is nothing to ask or
// no budget for it.
func (r *Router) ask(id CallID, c *call, why purpose, e *Effects) bool {
	asked := r.bestTargets(c, min(c.service.row.AskTargets, maxAsked))
	if len(asked) < 2 || !c.service.asks.takeMany(r.now, float64(len(asked)), r.askRate(c.service), askBurst*maxAsked) {
		return false
	}
	c.inquiry = inquiry{open: true, number: c.inquiry.number + 1, purpose: why, pending: len(asked)}
	if why == firstSend {
		e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	}
	for _, t := range asked {
		t.probesSent++
		e.add(Effect{
			Kind: Probe, Call: id, Attempt: c.inquiry.number, Endpoint: t.endpoint, NotAfter: r.notAfter(),
			Connections: t.connections, ProbePath: c.service.row.ProbePath,
		})
	}
	r.timers.Push(timer{at: r.now.Add(askLimit), call: id, kind: askTimer, inquiry: c.inquiry.number})
	return true
}

// askRate is how many questions a second this box may put to a service's targets.
func (r *Router) askRate(s *service) float64 {
	rate := 0.0
	for _, t := range s.targets {
		rate += r.probeRate(s, t)
	}
	return rate
}

// bestTargets returns up to n available targets of the least cost. The slice is used
// again by the next call.
func (r *Router) bestTargets(c *call, n int) []*target {
	set := candidates{service: c.service, now: r.now, call: c, anyHealth: c.service.mostlyEjected, fresh: c.tries > 0}
	r.best = r.best[:0]
	for i, t := range c.service.targets {
		if !set.Available(i) {
			continue
		}
		t.askCost = t.cost(r.now)
		r.best = insertByCost(r.best, t, n)
	}
	return r.best
}

// insertByCost keeps the n targets of the least cost, in order.
func insertByCost(best []*target, t *target, n int) []*target {
	i := len(best)
	for i > 0 && t.askCost < best[i-1].askCost {
		i--
	}
	if i >= n {
		return best
	}
	if len(best) < n {
		best = append(best, nil)
	}
	copy(best[i+1:], best[i:])
	best[i] = t
	return best
}

// answered takes an answer to a call's question. A target that is clearly good ends the
// wait; the rest of the answers only add to what is known.
func (r *Router) askAnswered(v *ProbeEnded, t *target, e *Effects) {
	c := r.calls.Get(v.Call)
	if c == nil || !c.inquiry.open || c.inquiry.number != v.Attempt {
		return
	}
	c.inquiry.pending--
	good := t != nil && t.isFresh(r.now) && t.hasFreeSlot(r.now) && t.expectedPace(r.now) < goodPace
	if good || c.inquiry.pending == 0 {
		r.concludeAsking(v.Call, c, e)
	}
}

// concludeAsking sends the call to what is now the best target.
func (r *Router) concludeAsking(id CallID, c *call, e *Effects) {
	why := c.inquiry.purpose
	c.inquiry.open = false
	t := r.choose(c.service, c)
	if t != nil {
		r.send(id, c, t, why == hedgeSend, e)
		return
	}
	switch {
	case why == hedgeSend || c.underWay() > 0:
	case why == firstSend:
		r.holdOrRefuse(id, c, e)
	default:
		r.refuse(id, c, Refusal{Reason: NoTarget, Outcome: c.outcome(), RetryAfter: c.service.retryAfter()}, e)
	}
}

// isFresh tells whether the target's last word on its load is as good as a new one.
func (t *target) isFresh(now units.Instant) bool {
	return t.reading.Known && now.Sub(t.reading.at) <= freshReading
}

// hasFreeSlot tells whether a call would be worked on at once, as far as is known.
func (t *target) hasFreeSlot(now units.Instant) bool {
	return t.load(now) < t.slots()
}
