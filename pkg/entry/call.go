package entry

import (
	"net"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/target"
	"github.com/madderpond/madderpond/pkg/units"
)

// call is the state of a caller's call in this box. Its fields change only under the
// entry's lock, until the answer is handed to the caller's goroutine.
type call struct {
	id      routing.CallID
	request *fasthttp.Request
	// body is the request's body; nil if it has none.
	body      *requestBody
	conn      net.Conn
	arrivedAt units.Instant
	// inline is set while the caller's goroutine passes the arrival to the core; a
	// send that results from it is stored in inlineSend, and that goroutine runs it.
	inline     bool
	inlineSend send
	// answer receives the final answer, exactly once.
	answer   chan answer
	answered bool
	// deliveredAttempt is the attempt whose answer the caller gets, keptAttempt one whose failed answer
	// may still be delivered later.
	deliveredAttempt *target.Attempt
	keptAttempt      *target.Attempt
	sends            []send
	// steps are the decisions on the call so far, for the trace in the log.
	steps    []step
	identity identity
	// relayed is set if another box relayed the call to this one.
	relayed *routing.RelayedCall
}

// send is one attempt of a call.
type send struct {
	number  routing.AttemptNumber
	attempt *target.Attempt
}

// answer is a target's answer, or a refusal if attempt is nil.
type answer struct {
	id       routing.CallID
	attempt  *target.Attempt
	number   routing.AttemptNumber
	endpoint *routing.Endpoint
	refusal  routing.Refusal
	// relaysInFlight is the number of other boxes' calls in flight here; zero if it isn't known.
	relaysInFlight int
}

func newCall(ctx *fasthttp.RequestCtx, body *requestBody, now units.Instant) *call {
	return &call{request: &ctx.Request, body: body, conn: ctx.Conn(), arrivedAt: now, answer: make(chan answer, 1)}
}

func (c *call) findAttempt(n routing.AttemptNumber) *target.Attempt {
	for _, s := range c.sends {
		if s.number == n {
			return s.attempt
		}
	}
	return nil
}

func (c *call) setAnswer(a answer) {
	if c.answered {
		return
	}
	c.answered = true
	c.answer <- a
}

func (c *call) refuse(x routing.Effect) {
	c.setAnswer(answer{refusal: x.Refusal, relaysInFlight: x.RelaysInFlight})
}

func (c *call) deliver(x routing.Effect) {
	if c.answered {
		return
	}
	c.deliveredAttempt = c.findAttempt(x.Attempt)
	c.setAnswer(answer{id: x.Call, attempt: c.deliveredAttempt, number: x.Attempt, endpoint: x.Endpoint, relaysInFlight: x.RelaysInFlight})
}

func (c *call) keepAnswer(x routing.Effect) { c.keptAttempt = c.findAttempt(x.Attempt) }

// releaseKeptAnswer releases a kept answer that isn't delivered; it is called once, at the
// end of the call.
func (c *call) releaseKeptAnswer() {
	if c.keptAttempt != nil && c.keptAttempt != c.deliveredAttempt {
		c.keptAttempt.Release()
	}
}

func (c *call) cancelAttempt(n routing.AttemptNumber) {
	if a := c.findAttempt(n); a != nil {
		a.Cancel()
	}
}

// startAttempt starts a send. The first one runs on the caller's own goroutine, which would
// only wait otherwise; that saves two goroutine switches. All others run on
// the workers. If the workers and their queue are full, the core is informed at once that the
// call wasn't sent.
func (e *Entry) startAttempt(x routing.Effect) {
	c := x.Owner.(*call)
	c.id = x.Call
	a := e.pools.NewAttempt(&x)
	if x.Endpoint.Relay != "" {
		e.fillRelayed(a.Request, c, &x.Relay)
	} else {
		e.fillRequest(a.Request, c, x.Workspace)
	}
	if c.relayed != nil {
		removeRelayHeaders(&a.Request.Header)
	}
	if c.body.isStreamed() {
		a.BodyStream = c.body
	}
	s := send{number: x.Attempt, attempt: a}
	c.sends = append(c.sends, s)
	if c.inline && c.inlineSend.attempt == nil && e.runningAttempts.Load() < int64(e.Settings.Entry.MaxCalls) {
		c.inlineSend = s
		return
	}
	id := x.Call
	err := e.workers.Go(func() { e.runAttempt(c, id, s) })
	if err != nil {
		e.core.Reduce(e.Clock.Now(), &routing.AttemptEnded{Call: id, Attempt: x.Attempt, Result: routing.NotSent}, &e.effects)
	}
}

// runAttempt runs a send and reports its result to the core.
func (e *Entry) runAttempt(c *call, id routing.CallID, s send) {
	e.runningAttempts.Add(1)
	a, number := s.attempt, s.number
	result, streaming := a.Run()
	e.runningAttempts.Add(-1)
	e.lock.Lock()
	c.recordStep(c.endStep(e.Clock.Now(), s, result))
	e.lock.Unlock()
	if streaming {
		e.reduce(&routing.AttemptStarted{Call: id, Attempt: number, Endpoint: a.Endpoint(), Report: a.Report, Remaining: a.RemainingBytes(), BodyTime: a.BodyTime()})
	} else {
		e.reduce(&routing.AttemptEnded{
			Call: id, Attempt: number, Endpoint: a.Endpoint(), Result: result, Report: a.Report, Refused: a.Refused,
			Unreachable: a.Unreachable, Declined: a.Declined, HelperLoad: a.HelperLoad, BodyTime: a.BodyTime(),
		})
	}
	if e.endSend(c, number, a) {
		return
	}
	if streaming {
		a.Discard()
		return
	}
	a.Release()
}

// endSend removes a send that has ended, unless its answer was delivered or kept; then it returns
// true, and the caller's goroutine releases the answer. It must be called after the core has
// processed the result, since the core delivers or keeps an answer only while it processes the
// event that reports it.
func (e *Entry) endSend(c *call, number routing.AttemptNumber, a *target.Attempt) (answerUsed bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if c.deliveredAttempt == a || c.keptAttempt == a {
		return true
	}
	c.sends = slices.DeleteFunc(c.sends, func(s send) bool { return s.number == number })
	return false
}

func (e *Entry) startProbe(x routing.Effect) {
	err := e.workers.Go(func() {
		ended := e.pools.Probe(&x)
		e.metrics.probes.Add(1)
		e.recordProbe(&x, &ended)
		e.reduce(&ended)
	})
	if err != nil {
		ended := routing.ProbeEnded{Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, Withheld: true}
		e.core.Reduce(e.Clock.Now(), &ended, &e.effects)
	}
}
