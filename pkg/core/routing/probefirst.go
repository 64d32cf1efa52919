package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Targets' load shifts faster than answers report it. Before a call is sent, the box may
// probe a few targets and send the call to the best of them. Probes draw on the measuring
// budget; without budget the box chooses by the readings that it has.

const (
	// probeLimit is how long a call waits for the answers to its probes at the most.
	probeLimit = 12 * time.Millisecond
	// maxProbed bounds the targets that are probed for one send.
	maxProbed = 4
	// freshReading is the age up to which a reading is as good as a new one.
	freshReading = 30 * time.Millisecond
	// saveUpTime is for how long a box may save up its part of the budget: probes are
	// worth most in the seconds in which many calls come. leastSavedUp is what it may save
	// up however small the part is, in probes.
	saveUpTime   = 4 * time.Second
	leastSavedUp = 8
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

// probeRound is a call's present round of probes.
type probeRound struct {
	open    bool
	number  AttemptNumber
	pending int
	purpose Purpose
	// waiting is set once the call stands among its service's waiting ones.
	waiting bool
	// rounds counts the rounds of probes that were sent.
	rounds int
}

// place sends a call to the target that seems best, or probes a few first.
func (r *Router) place(id CallID, c *call, best *target, why Purpose, e *Effects) {
	if !r.on(Probing) || !c.service.probesTargets() || best.isFresh(r.now) && r.isSuitable(c, best) || r.goesUnprobed(c, best) {
		r.send(id, c, best, why, e)
		return
	}
	c.probeRound.purpose = why
	r.dropServed(c.service)
	if len(c.service.waiting) >= maxProbing || !r.sendProbes(id, c, e) {
		if !c.service.isBusy(r.now) && !best.isFresh(r.now) {
			r.send(id, c, best, why, e)
			return
		}
		c.probeRound.open = true
		r.waitForTarget(id, c)
	}
	if why == FirstSend {
		e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	}
}

// unreportedLimit is how many answers in a row without a load report show that a service's
// targets send none.
const unreportedLimit = 8

// noteReport notes whether an answer carried a load report.
func (s *service) noteReport(x Reading) {
	if x.Known {
		s.unreported = 0
		return
	}
	s.unreported++
}

// probesTargets tells whether targets are probed before a call is sent. Those that send no
// load reports aren't; the latency of their answers decides then, until one sends a report.
func (s *service) probesTargets() bool {
	return s.row.ProbeTargets > 0 && s.unreported < unreportedLimit
}

// sendProbes probes the best targets; false means that there is none to probe or no budget
// for it.
func (r *Router) sendProbes(id CallID, c *call, e *Effects) bool {
	probed := r.bestTargets(c, min(c.service.row.ProbeTargets, maxProbed))
	rate := r.probeAllowance(c.service)
	burst := max(leastSavedUp, rate*saveUpTime.Seconds())
	if len(probed) < 1 || !c.service.probeBudget.takeMany(r.now, float64(len(probed)), rate, burst) {
		return false
	}
	c.probeRound.open = true
	c.probeRound.number++
	c.probeRound.pending = len(probed)
	c.probeRound.rounds++
	for _, t := range probed {
		t.probesSent++
		t.probedAt = r.now
		e.add(Effect{
			Kind: Probe, Call: id, Owner: c.owner, Attempt: c.probeRound.number, Endpoint: t.endpoint, NotAfter: r.notAfter(),
			Connections: t.connections, ProbePath: c.service.row.ProbePath,
		})
	}
	r.timers.Push(timer{at: r.now.Add(probeLimit), call: id, kind: probeTimer, probeRound: c.probeRound.number})
	return true
}

// probeAllowance is how many probes a second this box may send to a service's targets.
func (r *Router) probeAllowance(s *service) float64 {
	rate := 0.0
	for _, t := range s.targets {
		rate += r.probeRate(s, t)
	}
	return rate
}

// bestTargets returns up to n available targets of the least cost that are worth a probe:
// the answer of one that was probed a moment ago serves all calls. The slice is used again
// by the next call.
func (r *Router) bestTargets(c *call, n int) []*target {
	set := candidates{service: c.service, now: r.now, call: c, anyHealth: c.service.mostlyEjected, fresh: c.tries > 0}
	r.best = r.best[:0]
	// Targets of the same cost come up in a random order, so that the boxes don't all probe
	// the same ones.
	targets := c.service.targets
	start := r.random.IntN(max(1, len(targets)))
	for k := range targets {
		i := (start + k) % len(targets)
		t := targets[i]
		if !set.Available(i) && !set.onlyInDoubt(i) || t.isFresh(r.now) || t.probedAt != 0 && r.now.Sub(t.probedAt) < probeLimit {
			continue
		}
		t.probeOrder = t.cost(r.now)
		r.best = insertByCost(r.best, t, n)
	}
	return r.best
}

// insertByCost keeps the n targets of the least cost, in order.
func insertByCost(best []*target, t *target, n int) []*target {
	i := len(best)
	for i > 0 && t.probeOrder < best[i-1].probeOrder {
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

// probeAnswered takes an answer to a call's probe. A target that suits ends the wait; the
// other answers only add readings.
func (r *Router) probeAnswered(v *ProbeEnded, t *target, e *Effects) {
	c := r.calls.Get(v.Call)
	if c == nil || !c.probeRound.open || c.probeRound.number != v.Attempt {
		return
	}
	c.probeRound.pending--
	if c.probeRound.pending == 0 || t != nil && t.isFresh(r.now) && r.isSuitable(c, t) {
		r.concludeProbing(v.Call, c, e)
	}
}

// concludeProbing sends the call to what is now the best target, if that suits; else it
// probes others a moment later, as long as the call can wait.
func (r *Router) concludeProbing(id CallID, c *call, e *Effects) {
	t := r.choose(c.service, c)
	late := c.aimSpent(r.now) >= c.service.waitLimit(r.now) || !r.on(Waiting)
	if t != nil && (r.isSuitable(c, t) || late && r.acceptsUnsuitable(c)) {
		c.probeRound.open = false
		if !c.probeRound.waiting {
			c.service.noteFound(r.now, true)
		}
		r.send(id, c, t, c.probeRound.purpose, e)
		return
	}
	if !late {
		r.waitForTarget(id, c)
		return
	}
	c.probeRound.open = false
	if c.underWay() > 0 {
		if c.probeRound.purpose == HedgeSend {
			c.service.hedges.refund()
			r.hedgeLater(id, c)
		}
		return
	}
	r.refuse(id, c, Refusal{Reason: TargetsBusy, Outcome: c.outcome(), RetryAfter: r.busyRetryAfter(c.service)}, e)
}

// probeTimePassed goes on without the answers that haven't come, or probes again.
func (r *Router) probeTimePassed(id CallID, c *call, e *Effects) {
	if r.sendUnprobed(id, c, e) {
		return
	}
	r.dropServed(c.service)
	if c.probeRound.pending > 0 || !c.service.mayProbe(id) || !r.sendProbes(id, c, e) {
		r.concludeProbing(id, c, e)
	}
}

const (
	// probePause is the time between two rounds of probes of a call that found no target.
	probePause = 15 * time.Millisecond
	// calmPart is the part of its aim at which a call that waits is sent or refused; one that
	// is sent then usually still ends within its aim. crowdedPart is that part while the
	// service is busy: a target that comes free later serves a call better that has just come.
	calmPart    = 0.45
	crowdedPart = 0.25
	// aimOfDeadline stands in for the aim of a route that has none.
	aimOfDeadline = 0.25
	// leastBusyRetry and mostBusyRetry bound when the caller of a call that found all targets
	// busy may come back. Few callers wait longer than the latter with most of their time left.
	leastBusyRetry = 60 * time.Millisecond
	mostBusyRetry  = 800 * time.Millisecond
	// retryJitter is how far the time to come back may lie from its mean, as a part of it, so
	// that callers who were refused together don't come back together.
	retryJitter = 0.25
)

// waitLimit is the part of its aim at which a call that waits is sent or refused.
func (s *service) waitLimit(now units.Instant) float64 {
	if s.isBusy(now) {
		return crowdedPart
	}
	return calmPart
}

// busyRetryAfter is when the caller of a call that found all targets busy may come back. A
// crowd that has lasted for a time is expected to last as long again. Who comes back before
// makes it larger, and is answered late all the same.
func (r *Router) busyRetryAfter(s *service) time.Duration {
	lasted := r.now.Sub(s.busySince)
	if !s.isBusy(r.now) {
		lasted = 0
	}
	after := max(leastBusyRetry, min(lasted, mostBusyRetry))
	jitter := 1 + retryJitter*(2*r.random.Float64()-1)
	return time.Duration(jitter * float64(after)).Round(time.Millisecond)
}

// aimSpent is how much of its aim the call has spent so far.
func (c *call) aimSpent(now units.Instant) float64 {
	aim := float64(c.route.aim)
	if aim == 0 {
		aim = aimOfDeadline * float64(c.deadline.Sub(c.arrived))
	}
	return float64(now.Sub(c.arrived)) / aim
}

// isSuitable tells whether a target would serve the call about as well as any could: work
// goes at its usual pace there, and a slot is free.
func (r *Router) isSuitable(c *call, t *target) bool {
	if !c.service.probesTargets() {
		return true
	}
	if t.expectedPace(r.now) >= goodPace || r.isTooSlow(t) {
		return false
	}
	if !r.on(Concurrency) {
		return t.load(r.now)+1 <= t.slots()
	}
	return t.load(r.now)+1 <= t.bestConcurrency()
}

// isTooSlow tells whether calls take much longer at a target than elsewhere. Where they do
// at all targets of the service, none is too slow: refusing calls would help nobody.
func (r *Router) isTooSlow(t *target) bool {
	slowdown := t.currentSlowdown(r.now)
	if !r.on(SlowTargets) || slowdown < heavySlowdown {
		return false
	}
	least := slowdown
	for _, o := range t.service.targets {
		if o.takesWork(r.now, t.service.mostlyEjected) {
			least = min(least, o.currentSlowdown(r.now))
		}
	}
	return slowdown > slowAlike*least
}

// acceptsUnsuitable tells whether a call that can't wait any longer may go to a target that
// doesn't suit: when the call may have run already and so can't be refused for good, or no
// target could be probed although the service isn't busy. Sent to targets that nothing is
// known of, calls met others there: without such sends the two worst seconds of a crowd of
// twice the capacity kept 0.35 of their calls' value in place of 0.30 (mean of two days).
func (r *Router) acceptsUnsuitable(c *call) bool {
	if c.probeRound.purpose == HedgeSend {
		return false
	}
	return c.mayHaveRun || c.probeRound.rounds == 0 && !c.service.isBusy(r.now)
}

// isFresh tells whether the target's last reading is as good as a new one.
func (t *target) isFresh(now units.Instant) bool {
	return t.reading.Known && now.Sub(t.reading.at) <= freshReading
}
