package routing

import (
	"math"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// maxParallel is how many attempts of a call may be under way at once.
const maxParallel = 2

// maxAttempts bounds the sends of one call in a row, whatever became of them.
const maxAttempts = 4

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
	// permit is until when the attempt may begin at a target that names a limit; zero where it
	// named none.
	permit units.Instant
	// limitVersion is which word on the target's limit was known at the sending.
	limitVersion uint64
	// atPace is set when the target was known to go at its usual pace at the sending, full
	// when it was nearly full then, cold when it was cold.
	atPace bool
	full   bool
	cold   bool
	// typical is the route's typical time then.
	typical float64
	// busyAt is for how long large answers had occupied the box's link until the sending.
	busyAt time.Duration
	// expected is how many bytes of a large answer are expected that hasn't begun.
	expected float64
	// begun is set once an answer passes through, answered is how long that took.
	begun    bool
	answered time.Duration
	// takes is for how long an answer that passes through occupies the box's link.
	takes time.Duration
	// patience is how long the answer may take before it is missed, longPatience how long
	// before it counts that later calls were answered; ahead is how many calls seemed to be
	// at the target before this one.
	patience, longPatience time.Duration
	ahead                  float64
	// overtaken counts later calls that the target has answered since; missing is set when a
	// report of its load left the call out, counted once it counts as unanswered.
	overtaken        int
	missing, counted bool
}

// noBase stands for an answer to a call of which it isn't known which word on the limit was known as it was sent.
const noBase uint64 = math.MaxUint64

func (a *attempt) limitBase() uint64 {
	if a == nil {
		return noBase
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
	// asked is the deadline that the caller asked for; zero for none.
	asked time.Duration
	// waitsCanary is set while the call waits for the turn to be sent of a request that is suspected.
	waitsCanary bool
	// waitsCredit is set while the call waits for a credit of its workspace; creditUntil is until when
	// the credit that it took would have held, zero for none.
	waitsCredit bool
	creditUntil units.Instant
	// service is the one of the route's services that the call goes to.
	service  *service
	arrived  units.Instant
	deadline units.Instant
	attempts [maxParallel]attempt
	// sends numbers the attempts; a number never comes again.
	sends AttemptNumber
	// tries counts the attempts since the call was last held.
	tries int
	// arrivals counts the sends that may have reached a target.
	arrivals int
	// past are the targets of those attempts.
	past [maxAttempts]*target
	// mayHaveRun is set once a byte may have reached a target that didn't say
	// that it shed the call.
	mayHaveRun bool
	held       bool
	// asks counts the coordinators that were asked for a permit for the call.
	asks int
	// early is set while the call is held for the box's first table.
	early      bool
	probeRound probeRound
	// watched is set while a silenceTimer is due for the call.
	watched bool
	// kept is a failed answer that the caller gets when nothing better comes.
	kept keptAnswer
	// trial is the one that lets a call in quarantine through once; its number is zero for others.
	trial trial
	// onTrial is set while the call is chosen to go to a rollout's new version.
	onTrial bool
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
	if c.mayHaveRun || c.underWay() > 0 {
		return Unknown
	}
	return NotRun
}

func (c *call) underWay() int {
	n := 0
	for i := range c.attempts {
		if c.attempts[i].target != nil {
			n++
		}
	}
	return n
}

func (c *call) freePlace() *attempt {
	for i := range c.attempts {
		if c.attempts[i].target == nil {
			return &c.attempts[i]
		}
	}
	return nil
}

func (c *call) find(n AttemptNumber) *attempt {
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil && a.number == n {
			return a
		}
	}
	return nil
}

// tried tells whether the call has been sent to a target since it was last held.
func (c *call) tried(t *target) bool {
	for _, p := range c.past[:min(c.tries, maxAttempts)] {
		if p == t {
			return true
		}
	}
	return false
}

// stillTrying tells whether another send of the call is under way or about to be.
func (c *call) stillTrying() bool { return c.underWay() > 0 || c.probeRound.open }

// spentAttempts tells whether the call may be sent to no further target.
func (c *call) spentAttempts() bool {
	return c.tries >= maxAttempts || c.arrivals >= c.route.maxAttempts
}

// uses tells whether an attempt at this target is under way.
func (c *call) uses(t *target) bool {
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
	// coolTimer frees a slot whose call was canceled.
	coolTimer
	// probeTimer ends the wait for targets' answers.
	probeTimer
	// earlyTimer ends the wait for the box's first table.
	earlyTimer
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
		case coolTimer:
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
		r.deadlinePassed(t.call, c, e)
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
	case earlyTimer:
		r.refuseEarly(t.call, c, e)
	case probeTimer:
		if c.probeRound.open && c.probeRound.number == t.probeRound {
			r.probeTimePassed(t.call, c, e)
		}
	}
}

func (r *Router) deadlinePassed(id CallID, c *call, e *Effects) {
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
			r.healthTurned(a.target, e)
		}
	}
	r.refuse(id, c, Refusal{Reason: DeadlinePassed, Outcome: c.outcome(), RetryAfter: c.service.retryAfter(r.now)}, e)
}

func (r *Router) callerGone(id CallID, e *Effects) {
	if c := r.calls.Get(id); c != nil {
		r.refuse(id, c, Refusal{Reason: CallerLeft, Outcome: c.outcome()}, e)
	}
}
