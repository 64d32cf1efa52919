package entry

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/target"
)

// targetHeader names the target that answered a call.
const targetHeader = "X-Madderpond-Target"

const problemType = "application/problem+json"

// problem is the body of a refusal, as problem+json.
type problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Outcome    string `json:"outcome"`
	Remedy     string `json:"remedy"`
	RetryAfter int64  `json:"retryAfterMs,omitempty"`
}

func (e *Entry) newServer() *fasthttp.Server {
	s := &e.Settings.Entry
	return &fasthttp.Server{
		Handler:                       e.handle,
		Name:                          "madderpond",
		Concurrency:                   e.maxConnections() + s.MaxRelayed,
		ReadBufferSize:                s.HeaderBytes,
		ReadTimeout:                   s.ReadTimeout.Std(),
		IdleTimeout:                   s.IdleTimeout.Std(),
		WriteTimeout:                  s.WriteTimeout.Std(),
		MaxRequestBodySize:            s.MaxBody,
		DisableHeaderNamesNormalizing: false,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		// A form that has been parsed is written anew, in another order.
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
		// A body is read by the handler, once there is memory for it.
		StreamRequestBody: true,
		ExpectHandler:     e.checkExpectation,
		HeaderReceived:    e.headReceived,
		CloseOnShutdown:   true,
		// A malformed request may contain an API key, which must not be logged.
		SecureErrorLogMessage: true,
		ErrorHandler:          e.handleBadRequest,
		ConnState:             e.admission.trackState,
		Logger:                e.Log,
	}
}

// headReceived is called before the server reads the beginning of a body.
func (e *Entry) headReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if isCountedLength(h.ContentLength()) {
		e.admission.postpone()
	}
	return fasthttp.RequestConfig{}
}

// handleBadRequest answers a request that couldn't be parsed; it isn't sent to any target.
func (e *Entry) handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
	e.metrics.badRequests.Add(1)
	status, title := fasthttp.StatusBadRequest, "malformed-request"
	switch err.(type) {
	case *fasthttp.ErrSmallBuffer:
		status, title = fasthttp.StatusRequestHeaderFieldsTooLarge, "head-too-large"
	}
	if err == fasthttp.ErrBodyTooLarge {
		status, title = fasthttp.StatusRequestEntityTooLarge, "body-too-large"
	}
	writeProblem(ctx, &problem{
		Type: "madderpond:" + title, Title: title, Status: status,
		Outcome: routing.NotRun.String(), Remedy: "send a well-formed HTTP/1.1 request within the documented bounds",
	})
	ctx.SetConnectionClose()
}

func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	started := time.Now()
	if wasClosedIdle(ctx.Conn()) {
		e.refuseOnClosedConnection(ctx)
		return
	}
	// The first call on a connection was counted when that was accepted.
	if ctx.ConnRequestNum() > 1 || relayedBy(ctx) != "" {
		e.admission.admit()
	}
	defer e.admission.callEnded()
	if e.leaving.Load() || !e.admission.keepsConnections() {
		// Closing the connection makes the caller's next call go to another box.
		ctx.SetConnectionClose()
	}
	if reason := findUnsafeFraming(&ctx.Request.Header); reason != "" {
		e.refuseFraming(ctx, reason)
		return
	}
	head, ok := e.reserveHead(ctx)
	defer e.bodies.Release(head)
	if !ok {
		return
	}
	body := e.newRequestBody(ctx)
	defer e.endBody(ctx, body)
	if !e.readBody(ctx, body) {
		return
	}
	if isCountedLength(ctx.Request.Header.ContentLength()) {
		e.admission.resume()
	}
	a, c := e.submitCall(ctx, body)
	if a.attempt == nil {
		e.logTrace(c, false)
		e.writeRefusal(ctx, a.refusal)
		if c.relayed != nil {
			e.markDeclined(ctx, a)
		}
		return
	}
	e.logTrace(c, a.number == 1 && a.endpoint.Relay == "")
	e.writeAnswer(ctx, a)
	e.metrics.observe(a.endpoint, time.Since(started))
}

// closedRetryAfter is how long a caller whose connection the box was closing should wait; its new connection
// meets another box as a rule.
const closedRetryAfter = 10 * time.Millisecond

// refuseOnClosedConnection refuses a call on a connection that the box closes as idle. The caller may still get
// the answer: the connection is closed by another goroutine.
func (e *Entry) refuseOnClosedConnection(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	e.writeRefusal(ctx, routing.Refusal{Reason: routing.ConnectionClosed, Outcome: routing.NotRun, RetryAfter: closedRetryAfter})
}

// hostOf returns the request's host without its port.
func hostOf(ctx *fasthttp.RequestCtx) []byte {
	host := ctx.Host()
	for i := len(host) - 1; i >= 0; i-- {
		if host[i] == ':' {
			return host[:i]
		}
		if host[i] < '0' || host[i] > '9' {
			break
		}
	}
	return host
}

// pathOf returns the path of a request's target as it is written: targets get it so, and a prefix must
// mean the same to them. The HTTP library takes the beginning of a path with two slashes for a host if the
// request names none.
func pathOf(uri []byte) []byte {
	if i := bytes.IndexAny(uri, "?#"); i >= 0 {
		uri = uri[:i]
	}
	if len(uri) == 0 || uri[0] == '/' {
		return uri
	}
	_, rest, isAbsolute := bytes.Cut(uri, []byte("://"))
	if !isAbsolute {
		return uri
	}
	if i := bytes.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return []byte("/")
}

func (e *Entry) requestedDeadline(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(e.Settings.Entry.DeadlineHeader)), 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadlineMillis {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// deadlineAfter returns what is left of a deadline after a time; zero stays none.
func deadlineAfter(deadline, waited time.Duration) time.Duration {
	if deadline == 0 {
		return 0
	}
	return max(time.Millisecond, deadline-waited)
}

const maxDeadlineMillis = int64(math.MaxInt64 / int64(time.Millisecond))

// submitCall passes the call to the core and waits for its answer.
func (e *Entry) submitCall(ctx *fasthttp.RequestCtx, body *requestBody) (answer, *call) {
	c := newCall(ctx, body, e.Clock.Now())
	c.relayed = relayedCall(ctx)
	if c.relayed != nil {
		// The steps of the call are shown with the time since its arrival at the first box.
		c.arrivedAt = c.arrivedAt.Add(-c.relayed.Elapsed)
		c.recordStep(step{at: e.Clock.Now(), kind: stepRelayReceived, box: c.relayed.From})
	}
	c.identity = identity{ctx: ctx, body: body.identityDigest(), callerHeader: e.Settings.Entry.CallerHeader}
	arrived := &routing.CallArrived{
		Owner: c, Host: hostOf(ctx), Path: pathOf(ctx.RequestURI()), Credential: e.credentialOf(ctx), Deadline: deadlineAfter(e.requestedDeadline(ctx), body.timePassed()),
		Identity: &c.identity, Relayed: c.relayed, Streamed: body.isStreamed(),
	}
	e.lock.Lock()
	e.waitingCalls[c] = true
	c.inline = true
	e.reduceLocked(arrived)
	c.inline = false
	inlineSend, id := c.inlineSend, c.id
	e.lock.Unlock()
	if inlineSend.attempt != nil {
		e.runAttempt(c, id, inlineSend)
	}
	a := <-c.answer
	e.lock.Lock()
	delete(e.waitingCalls, c)
	c.releaseKeptAnswer()
	e.lock.Unlock()
	return a, c
}

// reportDisconnectedCallers reports the calls to the core whose callers have disconnected.
func (e *Entry) reportDisconnectedCallers() {
	for _, c := range e.longWaitingCalls() {
		if c.isCallerConnected() {
			continue
		}
		e.lock.Lock()
		// Meanwhile the call may have ended, and its connection may carry another one.
		if e.waitingCalls[c] {
			e.reduceLocked(&routing.CallerGone{Call: c.id})
		}
		e.lock.Unlock()
	}
}

// longWaitingCalls returns the calls that have waited longer than the interval of the disconnect check.
func (e *Entry) longWaitingCalls() []*call {
	e.lock.Lock()
	defer e.lock.Unlock()
	latestArrival := e.Clock.Now().Add(-e.Settings.Entry.HangUpCheck.Std())
	var waiting []*call
	for c := range e.waitingCalls {
		if c.arrivedAt < latestArrival {
			waiting = append(waiting, c)
		}
	}
	return waiting
}

func (e *Entry) writeRefusal(ctx *fasthttp.RequestCtx, r routing.Refusal) {
	e.metrics.refusals.Add(r.Reason.String(), 1)
	if r.Reason == routing.AttemptBroken && r.Outcome == routing.Unknown {
		e.metrics.unknownOutcomes.Add(1)
	}
	ctx.Response.Header.Set(target.OutcomeHeader, r.Outcome.String())
	ctx.Response.Header.Set(target.ReasonHeader, r.Reason.String())
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, e.retryAfterText(r.RetryAfter))
		ctx.Response.Header.Set(target.RetryAfterMsHeader, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	writeProblem(ctx, &problem{
		Type: "madderpond:" + r.Reason.String(), Title: r.Reason.String(), Status: r.Status(),
		Outcome: r.Outcome.String(), Remedy: r.Reason.Remedy(), RetryAfter: r.RetryAfter.Milliseconds(),
	})
}

func (e *Entry) retryAfterText(d time.Duration) string {
	if e.Settings.Entry.Fractions {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}

func writeProblem(ctx *fasthttp.RequestCtx, p *problem) {
	data, _ := json.Marshal(p)
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(problemType)
	ctx.SetBody(data)
}
