package routing

import (
	"math"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// maxConcurrentAttempts bounds the attempts of one call that are in flight at the same time.
const maxConcurrentAttempts = 2

// maxSends bounds the consecutive sends of one call, whatever their results; the count restarts
// when the call is held again. It is also the upper bound and the default of a route's maximum
// number of attempts.
const maxSends = 4

// attempt is one send of a call that is in flight.
type attempt struct {
	number AttemptNumber
	// target is nil when this entry is unused.
	target *target
	sent   units.Instant
	// previous and next link the attempts of a target, oldest first.
	previous *attempt
	next     *attempt
	hedge    bool
	loan     *loan
	// permitUntil is the latest time at which the attempt may begin at a target that has announced
	// a rate limit; zero where the target had announced none.
	permitUntil units.Instant
	// limitVersion is the version of the target's rate limit that the box knew when it sent the
	// attempt.
	limitVersion uint64
	// atUsualPace is set when the target was known to run at its usual pace at the time of the
	// send, nearlyFull when it was nearly full then, cold when it was cold.
	atUsualPace bool
	nearlyFull  bool
	cold        bool
	// typicalTime is the typical time of the route's calls at the time of the send, in nanoseconds.
	typicalTime float64
	// linkBusyAtSend is the accumulated time for which large answers had occupied the box's link
	// when the attempt was sent.
	linkBusyAtSend time.Duration
	// expectedBytes is the expected size of a large answer that hasn't started yet.
	expectedBytes float64
	// answerStarted is set once an answer is being streamed; timeToAnswer is the time at the target
	// until then.
	answerStarted bool
	timeToAnswer  time.Duration
	// linkTime is how long a streamed answer is estimated to occupy the box's link.
	linkTime time.Duration
	// answerTimeout is the time without an answer after which the attempt is overdue.
	// overtakenTimeout is the time after which answers to later calls are evidence that this one
	// won't be answered. callsAhead is the target's estimated load when the attempt was sent.
	answerTimeout, overtakenTimeout time.Duration
	callsAhead                      float64
	// streamsBody is set if the attempt reads its body from the caller while it sends it, bodyTime is how long
	// that took.
	streamsBody bool
	bodyTime    time.Duration
	// overtakenBy counts later calls that the target has answered since. missingFromReport is set
	// when a load report of the target left the call out, countedUnanswered once the attempt has
	// been counted as unanswered.
	overtakenBy                          int
	missingFromReport, countedUnanswered bool
}

// unknownLimitVersion is used for answers to calls whose limit version at the time of the send
// isn't known.
const unknownLimitVersion uint64 = math.MaxUint64

func (a *attempt) limitVersionAtSend() uint64 {
	if a == nil {
		return unknownLimitVersion
	}
	return a.limitVersion
}

// call is the state of a call that hasn't been answered yet.
type call struct {
	owner any
	route *route
	// host and path are those of the request, regions the ones that its targets must be in. A new
	// table binds the call to a route again.
	host, path []byte
	regions    *table.AllowedRegions
	// identity identifies the call by its content; nil where that isn't known.
	identity crash.Identity
	// workspace is the one whose API key authorized the call; nil for none.
	workspace *table.Workspace
	// requestedDeadline is the deadline that the caller requested, as a duration; zero for none.
	requestedDeadline time.Duration
	// awaitsCanaryGrant is set while a call of a suspected request waits for the grant to be sent
	// as a canary.
	awaitsCanaryGrant bool
	// awaitsCredit is set while the call waits for a credit of its workspace. creditValidUntil is
	// when the credit that it took would have expired; zero for none.
	awaitsCredit     bool
	creditValidUntil units.Instant
	// relayedBy is the box that relayed the call to this one at relayReceivedAt, grantedAttempts the
	// number of targets that it may be sent to; empty and zero for a call of a caller.
	relayedBy       units.BoxID
	relayReceivedAt units.Instant
	grantedAttempts int
	// relay is the relay of the call that is in flight, relays the number of all, firstRelayAt the
	// time of the first.
	relay        relaySend
	relays       int
	firstRelayAt units.Instant
	// unreachableSends counts the sends for which no connection could be made.
	unreachableSends int
	// service is the one that was picked among the route's services.
	service  *service
	arrived  units.Instant
	deadline units.Instant
	attempts [maxConcurrentAttempts]attempt
	// sends is the number of the last attempt; numbers are never reused.
	sends AttemptNumber
	// sendsSinceHeld counts the attempts since the call was last held.
	sendsSinceHeld int
	// possibleArrivals counts the sends that may have reached a target.
	possibleArrivals int
	// triedTargets are the targets of the sends since the call was last held.
	triedTargets [maxSends]*target
	// mayHaveRun is set once a byte may have reached a target that didn't report the call as shed.
	mayHaveRun bool
	held       bool
	// permitRequests counts the coordinators that were sent a permit request for the call.
	permitRequests int
	// awaitsTable is set while the call is held for the box's first table.
	awaitsTable bool
	probeRound  probeRound
	// overdueTimerSet is set while an overdueTimer is pending for the call.
	overdueTimerSet bool
	// kept is a failed answer that is delivered to the caller if no better one comes.
	kept keptAnswer
	// quarantineTrial admits the call once although it is in quarantine; its number is zero for
	// other calls.
	quarantineTrial quarantineTrial
	// onNewVersion is set while the call is to go to the new version of a rollout.
	onNewVersion bool
	// streaming is set once the head of an answer has been delivered to the caller.
	streaming bool
	// streamedBody is set if the call's body is read while it is sent, bodySpent once some of that has been sent.
	streamedBody, bodySpent bool
}

// hasNoBodyLeft reports whether the call can't be sent to a further target, since its body is being sent, or was.
func (c *call) hasNoBodyLeft() bool { return c.streamedBody && (c.bodySpent || c.inFlight() > 0) }

// spendBody records how an attempt has used a streamed body.
func (c *call) spendBody(result AttemptResult) {
	c.bodySpent = c.bodySpent || result != NotSent && result != Withheld
}

// keptAnswer is a complete answer that reports a server error. Its endpoint is nil where there is
// none.
type keptAnswer struct {
	attempt  AttemptNumber
	endpoint *Endpoint
}

func (c *call) reset() {
	host, path := c.host[:0], c.path[:0]
	if cap(path) > maxKeptPath {
		path = nil
	}
	*c = call{host: host, path: path}
}

// maxKeptPath is the largest path buffer, in bytes, that is kept for reuse by later calls. Nearly
// all paths are shorter, so that few calls allocate a buffer, and a long path doesn't hold on to
// memory.
const maxKeptPath = 1 << 10

// outcome returns the outcome to report to the caller if the call ends now.
func (c *call) outcome() Outcome {
	if c.mayHaveRun || c.inFlight() > 0 {
		return Unknown
	}
	return NotRun
}

func (c *call) inFlight() int {
	n := 0
	for i := range c.attempts {
		if c.attempts[i].target != nil {
			n++
		}
	}
	if c.relay.number != 0 {
		n++
	}
	return n
}

func (c *call) freeAttempt() *attempt {
	for i := range c.attempts {
		if c.attempts[i].target == nil {
			return &c.attempts[i]
		}
	}
	return nil
}

func (c *call) findAttempt(n AttemptNumber) *attempt {
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && a.number == n {
			return a
		}
	}
	return nil
}

// wasSentTo reports whether the call has been sent to a target since it was last held.
func (c *call) wasSentTo(t *target) bool {
	for _, p := range c.triedTargets[:min(c.sendsSinceHeld, maxSends)] {
		if p == t {
			return true
		}
	}
	return false
}

// hasPendingSend reports whether another send of the call is in flight or being prepared.
func (c *call) hasPendingSend() bool { return c.inFlight() > 0 || c.probeRound.active }

// attemptsExhausted reports whether the call may not be sent to any further target.
func (c *call) attemptsExhausted() bool {
	return c.sendsSinceHeld >= maxSends || c.possibleArrivals >= c.maxAttempts()
}

// isInFlightAt reports whether an attempt of the call is in flight at a target.
func (c *call) isInFlightAt(t *target) bool {
	for i := range c.attempts {
		if c.attempts[i].target == t {
			return true
		}
	}
	return false
}

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	deadlineTimer timerKind = iota + 1
	holdTimer
	hedgeTimer
	// canceledSlotTimer releases the slot of a canceled call.
	canceledSlotTimer
	// probeTimer ends the wait for probe answers.
	probeTimer
	// firstTableTimer ends the wait for the box's first table.
	firstTableTimer
	// linkTimer ends a call's wait for large answers that are being received.
	linkTimer
	// overdueTimer fires when an attempt's answer is overdue.
	overdueTimer
	// crashTimer fires when a target whose calls broke off is to be probed again.
	crashTimer
	// canaryTimer fires when a call that waits for a canary grant requests one again.
	canaryTimer
)

// timer fires at a time. Timers of calls that have ended are ignored.
type timer struct {
	at   units.Instant
	call CallID
	kind timerKind
	// target is set for a canceledSlotTimer and a crashTimer only.
	target *target
	// probeRound is set for a probeTimer only.
	probeRound AttemptNumber
}

func timerBefore(a, b timer) bool { return a.at < b.at }

func (r *Router) fireTimers(e *Effects) {
	for {
		t, ok := r.timers.Peek()
		if !ok || t.at > r.now {
			return
		}
		r.timers.Pop()
		switch t.kind {
		case canceledSlotTimer:
			t.target.cancelingSlots--
			r.freedServices = append(r.freedServices, t.target.service)
			continue
		case crashTimer:
			r.crashTimerFired(t.target, e)
			continue
		}
		if c := r.calls.Get(t.call); c != nil {
			r.fire(t, c, e)
		}
	}
}

func (r *Router) fire(t timer, c *call, e *Effects) {
	switch t.kind {
	case deadlineTimer:
		r.deadlineExpired(t.call, c, e)
	case holdTimer:
		if c.held {
			r.refuse(t.call, c, Refusal{Reason: HoldExpired, Outcome: c.outcome(), RetryAfter: c.service.retryAfter(r.now)}, e)
		}
	case hedgeTimer:
		r.hedge(t.call, c, e)
	case linkTimer:
		r.resumeAfterLinkWait(t.call, c, e)
	case overdueTimer:
		r.checkOverdue(t.call, c, e)
	case canaryTimer:
		r.canaryTimerFired(t.call, c, e)
	case firstTableTimer:
		r.refuseEarly(t.call, c, e)
	case probeTimer:
		if c.probeRound.active && c.probeRound.number == t.probeRound {
			r.probeTimerFired(t.call, c, e)
		}
	}
}

func (r *Router) deadlineExpired(id CallID, c *call, e *Effects) {
	// A target at which calls run into their deadlines is unhealthy, unless it still answers
	// others.
	for i := range c.attempts {
		a := &c.attempts[i]
		if a.target == nil {
			continue
		}
		r.recordVersionTimeout(c, a, e)
		if r.isInconclusive(a) || r.recordIfUnanswered(c, a, e) {
			continue
		}
		if a.target.service.reach().heardAt <= a.sent {
			r.recordContactFailed(a.target, a.sent, e)
		}
		if a.target.health.recordFailure(r.now) {
			r.healthChanged(a.target, e)
		}
	}
	r.refuse(id, c, Refusal{Reason: DeadlinePassed, Outcome: c.outcome(), RetryAfter: c.service.retryAfter(r.now)}, e)
}

func (r *Router) callerDisconnected(id CallID, e *Effects) {
	if c := r.calls.Get(id); c != nil {
		r.refuse(id, c, Refusal{Reason: CallerDisconnected, Outcome: c.outcome()}, e)
	}
}
