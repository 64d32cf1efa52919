package routing

import (
	"math"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// maxConcurrentAttempts is how many attempts of a call may be under way at once.
const maxConcurrentAttempts = 2

// maxSendsSinceHeld bounds the sends of one call in a row, whatever became of them.
const maxSendsSinceHeld = 4

// attempt is one send of a call that is under way.
type attempt struct {
	number AttemptNumber
	// target is nil when this place is free.
	target *target
	sent   units.Instant
	// previous and next link the attempts of a target, oldest first.
	previous *attempt
	next     *attempt
	hedge    bool
	loan     *loan
	// permitUntil is until when the attempt may begin at a target that names a limit; zero where it
	// named none.
	permitUntil units.Instant
	// limitVersion is which word on the target's limit was known at the sending.
	limitVersion uint64
	// atUsualPace is set when the target was known to go at its usual pace at the sending, full
	// when it was nearly full then, cold when it was cold.
	atUsualPace bool
	nearlyFull  bool
	cold        bool
	// typicalTime is the route's typicalTime time then.
	typicalTime float64
	// linkBusyAtSend is for how long large answers had occupied the box's link until the sending.
	linkBusyAtSend time.Duration
	// expectedBytes is how many bytes of a large answer are expectedBytes that hasn't begun.
	expectedBytes float64
	// answerStarted is set once an answer passes through, answered is how long that took.
	answerStarted bool
	timeToAnswer  time.Duration
	// linkTime is for how long an answer that passes through occupies the box's link.
	linkTime time.Duration
	// answerTimeout is how long the answer may take before it is missed, overtakenTimeout how long
	// before it counts that later calls were answered; ahead is how many calls seemed to be
	// at the target before this one.
	answerTimeout, overtakenTimeout time.Duration
	callsAhead                      float64
	// overtakenBy counts later calls that the target has answered since; missing is set when a
	// report of its load left the call out, counted once it counts as unanswered.
	overtakenBy                          int
	missingFromReport, countedUnanswered bool
}

// unknownLimitVersion stands for an answer to a call of which it isn't known which word on the limit was known as it was sent.
const unknownLimitVersion uint64 = math.MaxUint64

func (a *attempt) limitVersionAtSend() uint64 {
	if a == nil {
		return unknownLimitVersion
	}
	return a.limitVersion
}

// call is a call that hasn't been answered yet.
type call struct {
	owner any
	route *route
	// host and path are what the call asked for, regions where targets must be to take it;
	// a new table binds the call anew.
	host, path []byte
	regions    *table.AllowedRegions
	// identity tells the call apart by its content; nil where that isn't known.
	identity crash.Identity
	// workspace is the one whose key let the call in; nil for none.
	workspace *table.Workspace
	// requestedDeadline is the deadline that the caller requestedDeadline for; zero for none.
	requestedDeadline time.Duration
	// awaitsCanaryTurn is set while the call waits for the turn to be sent of a request that is suspected.
	awaitsCanaryTurn bool
	// awaitsCredit is set while the call waits for a credit of its workspace; creditUntil is until when
	// the credit that it took would have held, zero for none.
	awaitsCredit     bool
	creditValidUntil units.Instant
	// service is the one of the route's services that the call goes to.
	service  *service
	arrived  units.Instant
	deadline units.Instant
	attempts [maxConcurrentAttempts]attempt
	// sends numbers the attempts; a number never comes again.
	sends AttemptNumber
	// sendsSinceHeld counts the attempts since the call was last held.
	sendsSinceHeld int
	// possibleArrivals counts the sends that may have reached a target.
	possibleArrivals int
	// triedTargets are the targets of those attempts.
	triedTargets [maxSendsSinceHeld]*target
	// mayHaveRun is set once a byte may have reached a target that didn't say
	// that it shed the call.
	mayHaveRun bool
	held       bool
	// permitRequests counts the coordinators that were asked for a permit for the call.
	permitRequests int
	// awaitsTable is set while the call is held for the box's first table.
	awaitsTable bool
	probeRound  probeRound
	// silenceTimerSet is set while a silenceTimer is due for the call.
	silenceTimerSet bool
	// kept is a failed answer that the caller gets when nothing better comes.
	kept keptAnswer
	// trial is the one that lets a call in quarantine through once; its number is zero for others.
	trial trial
	// onNewVersion is set while the call is chosen to go to a rollout's new version.
	onNewVersion bool
	// streaming is set once the head of an answer has been passed on.
	streaming bool
}

// keptAnswer is a whole answer that reports a server's error; its endpoint is nil where
// there is none.
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

// maxKeptPath is the most bytes of room for a path that are kept for later calls: nearly all
// paths are shorter, so that few calls need new room, and a long one doesn't hold memory.
const maxKeptPath = 1 << 10

// outcome says what the caller may be told if the call ends now.
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

// wasSentTo tells whether the call has been sent to a target since it was last held.
func (c *call) wasSentTo(t *target) bool {
	for _, p := range c.triedTargets[:min(c.sendsSinceHeld, maxSendsSinceHeld)] {
		if p == t {
			return true
		}
	}
	return false
}

// hasPendingSend tells whether another send of the call is under way or about to be.
func (c *call) hasPendingSend() bool { return c.inFlight() > 0 || c.probeRound.active }

// attemptsExhausted tells whether the call may be sent to no further target.
func (c *call) attemptsExhausted() bool {
	return c.sendsSinceHeld >= maxSendsSinceHeld || c.possibleArrivals >= c.route.maxAttempts
}

// isInFlightAt tells whether an attempt at this target is under way.
func (c *call) isInFlightAt(t *target) bool {
	for i := range c.attempts {
		if c.attempts[i].target == t {
			return true
		}
	}
	return false
}

// timerKind says what a timer is for.
type timerKind uint8

const (
	deadlineTimer timerKind = iota + 1
	holdTimer
	hedgeTimer
	// canceledSlotTimer frees a slot whose call was canceled.
	canceledSlotTimer
	// probeTimer ends the wait for targets' answers.
	probeTimer
	// firstTableTimer ends the wait for the box's first table.
	firstTableTimer
	// linkTimer ends a wait for large answers to come in.
	linkTimer
	// silenceTimer is due when a call's answer is missed.
	silenceTimer
	// crashTimer is due when a target whose calls broke off is to be checked again.
	crashTimer
	// canaryTimer is due when a call of a suspected request looks whether it may go.
	canaryTimer
)

// timer is due at a time; timers of calls that are over are passed over.
type timer struct {
	at   units.Instant
	call CallID
	kind timerKind
	// target is set for a coolTimer and a crashTimer only.
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
			r.freed = append(r.freed, t.target.service)
			continue
		case crashTimer:
			r.crashTimePassed(t.target, e)
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
	case silenceTimer:
		r.checkOverdue(t.call, c, e)
	case canaryTimer:
		r.canaryTimePassed(t.call, c, e)
	case firstTableTimer:
		r.refuseEarly(t.call, c, e)
	case probeTimer:
		if c.probeRound.active && c.probeRound.number == t.probeRound {
			r.probeTimerFired(t.call, c, e)
		}
	}
}

func (r *Router) deadlineExpired(id CallID, c *call, e *Effects) {
	// A target that lets calls run out of time isn't well, unless it serves others.
	for i := range c.attempts {
		a := &c.attempts[i]
		if a.target == nil {
			continue
		}
		r.recordVersionTimeout(c, a, e)
		if r.isInconclusive(a) || r.recordIfUnanswered(c, a, e) {
			continue
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
