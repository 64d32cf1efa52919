package entry

import (
	"net"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/target"
	"github.com/madderpond/madderpond/pkg/units"
)

type entrySettings = config.Entry

// call is a caller's call while it is in this box. Its fields change under the
// entry's lock only, until the answer is handed to the caller's goroutine.
type call struct {
	id      routing.CallID
	request *fasthttp.Request
	conn    net.Conn
	arrived units.Instant
	// inline is set while the caller's goroutine is giving the core the arrival;
	// a send that follows at once is left in first, for that goroutine to run.
	inline bool
	first  send
	// answer brings the one final answer.
	answer   chan answer
	answered bool
	// delivered is the attempt whose answer the caller gets, kept one whose failed answer
	// may yet be delivered.
	delivered *target.Attempt
	kept      *target.Attempt
	sends     []send
	// steps are the decisions on the call so far, for the log.
	steps    []step
	identity identity
}

// send is one attempt of a call.
type send struct {
	number  routing.AttemptNumber
	attempt *target.Attempt
}

// answer is a target's answer, or a refusal when attempt is nil.
type answer struct {
	id       routing.CallID
	attempt  *target.Attempt
	number   routing.AttemptNumber
	endpoint *routing.Endpoint
	refusal  routing.Refusal
}

func newCall(ctx *fasthttp.RequestCtx, now units.Instant) *call {
	return &call{request: &ctx.Request, conn: ctx.Conn(), arrived: now, answer: make(chan answer, 1)}
}

func (c *call) find(n routing.AttemptNumber) *target.Attempt {
	for _, s := range c.sends {
		if s.number == n {
			return s.attempt
		}
	}
	return nil
}

func (c *call) give(a answer) {
	if c.answered {
		return
	}
	c.answered = true
	c.answer <- a
}

func (c *call) refuse(x routing.Effect) {
	c.give(answer{refusal: x.Refusal})
}

func (c *call) deliver(x routing.Effect) {
	if c.answered {
		return
	}
	c.delivered = c.find(x.Attempt)
	c.give(answer{id: x.Call, attempt: c.delivered, number: x.Attempt, endpoint: x.Endpoint})
}

func (c *call) keep(x routing.Effect) { c.kept = c.find(x.Attempt) }

// dropKept gives back a kept answer that the caller doesn't get; it is called once, at the
// end of the call.
func (c *call) dropKept() {
	if c.kept != nil && c.kept != c.delivered {
		c.kept.Release()
	}
}

func (c *call) cancel(n routing.AttemptNumber) {
	if a := c.find(n); a != nil {
		a.Cancel()
	}
}

// startAttempt has a send carried out: the first one by the caller's own goroutine,
// which has nothing else to do and saves two changes of goroutine, all others by
// the workers. When those are all busy the call hasn't been sent, and the core
// hears so at once.
func (e *Entry) startAttempt(x routing.Effect) {
	c := x.Owner.(*call)
	c.id = x.Call
	a := e.pools.NewAttempt(&x)
	e.fillRequest(a.Request, c.request, x.Workspace)
	s := send{number: x.Attempt, attempt: a}
	c.sends = append(c.sends, s)
	if c.inline && c.first.attempt == nil && e.running.Load() < int64(e.Settings.Entry.MaxCalls) {
		c.first = s
		return
	}
	id := x.Call
	err := e.workers.Go(func() { e.runAttempt(c, id, s) })
	if err != nil {
		e.core.Reduce(e.Clock.Now(), &routing.AttemptEnded{Call: id, Attempt: x.Attempt, Result: routing.NotSent}, &e.effects)
	}
}

// runAttempt carries out a send and tells the core how it ended.
func (e *Entry) runAttempt(c *call, id routing.CallID, s send) {
	e.running.Add(1)
	a, number := s.attempt, s.number
	result, streaming := a.Run()
	e.running.Add(-1)
	e.lock.Lock()
	c.note(c.endStep(e.Clock.Now(), s, result))
	e.lock.Unlock()
	if streaming {
		e.reduce(&routing.AttemptStarted{Call: id, Attempt: number, Endpoint: a.Endpoint(), Report: a.Reading, Remaining: a.Coming()})
	} else {
		e.reduce(&routing.AttemptEnded{
			Call: id, Attempt: number, Endpoint: a.Endpoint(), Result: result, Report: a.Reading, Refused: a.Refused,
		})
	}
	if e.settle(c, number, a) {
		return
	}
	if streaming {
		a.Discard()
		return
	}
	a.Release()
}

// settle forgets a send that has ended, and tells whether its answer now belongs
// to the caller's goroutine. The core gives or keeps an answer only during the event that
// brought it.
func (e *Entry) settle(c *call, number routing.AttemptNumber, a *target.Attempt) (taken bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if c.delivered == a || c.kept == a {
		return true
	}
	c.sends = slices.DeleteFunc(c.sends, func(s send) bool { return s.number == number })
	return false
}

func (e *Entry) startProbe(x routing.Effect) {
	err := e.workers.Go(func() {
		ended := e.pools.Probe(&x)
		e.metrics.probes.Add(1)
		e.noteProbe(&x, &ended)
		e.reduce(&ended)
	})
	if err != nil {
		ended := routing.ProbeEnded{Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt}
		e.core.Reduce(e.Clock.Now(), &ended, &e.effects)
	}
}
