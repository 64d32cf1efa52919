package routing

import (
	"slices"
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
	freshReading = 30 * time.Millisecond
	// maxAskers is how many of a service's calls that found no target ask at a time.
	maxAskers = 8
	// busyMemory is how long a service counts as busy after a call found no target.
	busyMemory = 500 * time.Millisecond
	// busyFrom is the part of calls without a target from which on a service counts
	// as busy; busyGain is the weight of the newest call.
	busyFrom = 0.5
	busyGain = 0.2
	// askBurst is for how long a box may save up its part of the budget: questions are
	// worth most in the seconds in which many calls come. leastBurst is what it may save
	// up however small the part is.
	askBurst   = 4 * time.Second
	leastBurst = 8
)

// goodPace is the expected pace up to which a target is as good as any.
const goodPace = 1.5

// Purpose is what a send is for.
type Purpose uint8

// The purposes of a send.
const (
	FirstSend Purpose = iota
	RetrySend
	HedgeSend
)

// String returns the word that logs show.
func (p Purpose) String() string { return [...]string{"first", "retry", "hedge"}[p] }

// inquiry is a call's question to a few targets.
type inquiry struct {
	open    bool
	number  AttemptNumber
	pending int
	purpose Purpose
	// seeking is set once the call stands among its service's seeking ones.
	seeking bool
	// rounds counts the questions that were put.
	rounds int
}

// place sends a call to the target that seems best, or asks a few first.
func (r *Router) place(id CallID, c *call, best *target, why Purpose, e *Effects) {
	if c.service.row.AskTargets < 1 || best.isFresh(r.now) && r.suits(c, best) {
		r.send(id, c, best, why, e)
		return
	}
	c.inquiry.purpose = why
	r.forgetSought(c.service)
	if len(c.service.seeking) >= maxAskers || !r.ask(id, c, e) {
		if !c.service.isBusy(r.now) {
			r.send(id, c, best, why, e)
			return
		}
		c.inquiry.open = true
		r.seekLater(id, c)
	}
	if why == FirstSend {
		e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	}
}

// isBusy tells whether calls have lately found no target that suits. Then one that
// nothing recent is known of is likely to be full as well.
func (s *service) isBusy(now units.Instant) bool {
	return s.busyPart > busyFrom && now.Sub(s.busyAt) < busyMemory
}

// noteFound keeps account of how many of the calls that ask find no target at once.
func (s *service) noteFound(now units.Instant, found bool) {
	miss := 1.0
	if found {
		miss = 0
	}
	s.busyPart += busyGain * (miss - s.busyPart)
	s.busyAt = now
}

// seekLater has a call ask, or ask again, a moment later; a target that comes free
// before goes to the oldest of those that wait.
func (r *Router) seekLater(id CallID, c *call) {
	c.inquiry.pending = 0
	c.inquiry.number++
	if !c.inquiry.seeking {
		c.service.noteFound(r.now, false)
		c.inquiry.seeking = true
		c.service.seeking = append(c.service.seeking, id)
	}
	r.timers.Push(timer{at: r.now.Add(askPause), call: id, kind: askTimer, inquiry: c.inquiry.number})
}

// forgetSought drops the calls at the front of the seeking ones that seek no more.
func (r *Router) forgetSought(s *service) {
	for len(s.seeking) > 0 {
		if c := r.calls.Get(s.seeking[0]); c != nil && c.inquiry.open && c.service == s {
			return
		}
		s.seeking = s.seeking[1:]
	}
}

// mayAsk tells whether it is a seeking call's turn to ask: the answers serve all, so
// only the oldest do.
func (s *service) mayAsk(id CallID) bool {
	return slices.Contains(s.seeking[:min(len(s.seeking), maxAskers)], id)
}

// ask asks the best targets for their load; false means that there is nothing to ask or
// no budget for it.
func (r *Router) ask(id CallID, c *call, e *Effects) bool {
	asked := r.bestTargets(c, min(c.service.row.AskTargets, maxAsked))
	rate := r.askRate(c.service)
	burst := max(leastBurst, rate*askBurst.Seconds())
	if len(asked) < 1 || !c.service.asks.takeMany(r.now, float64(len(asked)), rate, burst) {
		return false
	}
	c.inquiry.open = true
	c.inquiry.number++
	c.inquiry.pending = len(asked)
	c.inquiry.rounds++
	for _, t := range asked {
		t.probesSent++
		t.askedAt = r.now
		e.add(Effect{
			Kind: Probe, Call: id, Owner: c.owner, Attempt: c.inquiry.number, Endpoint: t.endpoint, NotAfter: r.notAfter(),
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

// bestTargets returns up to n available targets of the least cost that are worth a
// question: the answer of one that was asked a moment ago serves all calls. The slice is
// used again by the next call.
func (r *Router) bestTargets(c *call, n int) []*target {
	set := candidates{service: c.service, now: r.now, call: c, anyHealth: c.service.mostlyEjected, fresh: c.tries > 0}
	r.best = r.best[:0]
	// Targets of the same cost come up in a random order, so that the boxes don't all ask
	// the same ones.
	targets := c.service.targets
	start := r.random.IntN(max(1, len(targets)))
	for k := range targets {
		i := (start + k) % len(targets)
		t := targets[i]
		if !set.Available(i) || t.isFresh(r.now) || t.askedAt != 0 && r.now.Sub(t.askedAt) < askLimit {
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

// askAnswered takes an answer to a call's question. A target that suits ends the wait;
// the rest of the answers only add to what is known.
func (r *Router) askAnswered(v *ProbeEnded, t *target, e *Effects) {
	c := r.calls.Get(v.Call)
	if c == nil || !c.inquiry.open || c.inquiry.number != v.Attempt {
		return
	}
	c.inquiry.pending--
	if c.inquiry.pending == 0 || t != nil && t.isFresh(r.now) && r.suits(c, t) {
		r.concludeAsking(v.Call, c, e)
	}
}

// concludeAsking sends the call to what is now the best target, if that suits; else it
// asks others a moment later, as long as the call can wait.
func (r *Router) concludeAsking(id CallID, c *call, e *Effects) {
	t := r.choose(c.service, c)
	late := c.spentPart(r.now) >= lastPart
	if t != nil && (r.suits(c, t) || late && r.mustDo(c, t)) {
		c.inquiry.open = false
		if !c.inquiry.seeking {
			c.service.noteFound(r.now, true)
		}
		r.send(id, c, t, c.inquiry.purpose, e)
		return
	}
	if !late {
		r.seekLater(id, c)
		return
	}
	c.inquiry.open = false
	if c.underWay() > 0 {
		return
	}
	r.refuse(id, c, Refusal{Reason: TargetsBusy, Outcome: c.outcome(), RetryAfter: busyRetry}, e)
}

// serveSeeking sends calls that wait for a suitable target, oldest first, while there is
// one. It is done when an answer has shown that a target has room.
func (r *Router) serveSeeking(s *service, e *Effects) {
	for {
		r.forgetSought(s)
		if len(s.seeking) == 0 {
			return
		}
		id := s.seeking[0]
		c := r.calls.Get(id)
		t := r.choose(s, c)
		if t == nil || !t.isFresh(r.now) || !r.suits(c, t) {
			return
		}
		s.seeking = s.seeking[1:]
		c.inquiry.open = false
		r.send(id, c, t, c.inquiry.purpose, e)
	}
}

// askTimePassed goes on without the answers that haven't come, or asks again.
func (r *Router) askTimePassed(id CallID, c *call, e *Effects) {
	r.forgetSought(c.service)
	if c.inquiry.pending > 0 || !c.service.mayAsk(id) || !r.ask(id, c, e) {
		r.concludeAsking(id, c, e)
	}
}

const (
	// askPause is the time between two questions of a call that found no target.
	askPause = 15 * time.Millisecond
	// choosyPart and lastPart are parts of a call's aim. Up to the first it waits for a
	// target that isn't nearly full; at the second it is sent or refused, while its
	// caller can still be served in time elsewhere.
	choosyPart = 0.1
	lastPart   = 0.22
	// aimOfDeadline stands in for the aim of a route that has none.
	aimOfDeadline = 0.25
	// busyRetry is when the caller of a call that found all targets busy may come back.
	busyRetry = 60 * time.Millisecond
)

// spentPart is how much of its aim the call has spent so far.
func (c *call) spentPart(now units.Instant) float64 {
	aim := float64(c.route.aim)
	if aim == 0 {
		aim = aimOfDeadline * float64(c.deadline.Sub(c.arrived))
	}
	return float64(now.Sub(c.arrived)) / aim
}

// suits tells whether a target would serve the call about as well as any could: work
// goes at its usual pace there, and a slot is free.
func (r *Router) suits(c *call, t *target) bool {
	if t.expectedPace(r.now) >= goodPace || t.currentDrag(r.now) >= heavyDrag {
		return false
	}
	load := t.load(r.now) + 1
	if c.spentPart(r.now) < choosyPart {
		return load < nearlyFull*t.slots()
	}
	return load <= t.slots()
}

// mustDo tells whether a call that can't wait any longer may go to a target that
// doesn't suit: one that nothing recent is known of, or any when the call may have run
// already and so can't be refused for good.
func (r *Router) mustDo(c *call, t *target) bool {
	if c.inquiry.purpose == HedgeSend {
		return false
	}
	if c.mayHaveRun || !t.reading.Known {
		return true
	}
	return c.inquiry.rounds == 0 && !c.service.isBusy(r.now)
}

// isFresh tells whether the target's last word on its load is as good as a new one.
func (t *target) isFresh(now units.Instant) bool {
	return t.reading.Known && now.Sub(t.reading.at) <= freshReading
}
