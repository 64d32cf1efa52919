package target

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/listening"
	"github.com/madderpond/madderpond/pkg/units"
)

// Attempt is one send of a call to a target. Run is called once; Cancel may be called at any
// time from any goroutine.
type Attempt struct {
	pools    *Pools
	endpoint *routing.Endpoint
	deadline units.Instant
	// notAfter is when the selection of the target expires: from then on nothing may be sent.
	notAfter units.Instant
	// permitUntil is until when the attempt may be sent if the target announces a limit.
	permitUntil    units.Instant
	maxConnections int
	// idleTimeout is how long a reused connection may have been idle.
	idleTimeout time.Duration
	// LatencyObjective is that of the call's route; zero means none.
	LatencyObjective time.Duration
	// largeResponse is set where the route has large responses, which are streamed early.
	largeResponse bool
	// Request is the attempt's own copy of the call's request.
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// BodyStream is the body if it is read while it is sent; nil for one that Request holds.
	BodyStream BodyStream
	// upload is the sending of BodyStream; nil before it has begun.
	upload *upload
	// Report is the load and notice that the target reported.
	Report routing.TargetReport
	// UnreadableRest is the header value of a request for rest that couldn't be parsed.
	UnreadableRest string
	// UnreadableLimit is the header value of a limit that couldn't be parsed.
	UnreadableLimit string
	// BreakErr is why the response couldn't be read; nil if it could, or if it wasn't waited for.
	BreakErr error
	// Refused is set if the target's host refused the connection.
	Refused bool
	// Unreachable is set if no connection could be made.
	Unreachable bool
	// lacksDescriptor is set if this process lacked a descriptor or memory for a connection.
	lacksDescriptor bool
	// Declined is the refusal of the other box, if the call was relayed to one that declined it.
	Declined routing.Refusal
	// HelperLoad is the number of other boxes' calls in flight at the box that the call was relayed
	// to; negative if that didn't say.
	HelperLoad int

	lock     sync.Mutex
	conn     *conn
	canceled bool
	// cancelDial cancels the dialing of a new connection, if there is one.
	cancelDial context.CancelFunc
	// writtenBefore is how many bytes had been written to the connection before the attempt.
	writtenBefore int64
	complete      bool
	// isProbe is set for a probe of load and health.
	isProbe bool
	// newConnection is set if no open connection may be used.
	newConnection bool
	// unusable is set if the connection can't be reused: it carried a response to another
	// call, or it ends with this response.
	unusable bool
	// body is what is left to read of the response's body; nil if it has none.
	body io.Reader
	// prefix is the buffered beginning of the body, or all of it.
	prefix []byte
	// releaseMemory returns the memory reserved for prefix, and releaseHead that for a long head; nil if there is none.
	releaseMemory, releaseHead func()
}

// NewAttempt returns an attempt that hasn't been sent.
func (p *Pools) NewAttempt(x *routing.Effect) *Attempt {
	idleTimeout := p.settings.IdleTimeout
	if x.AtMostOnce {
		idleTimeout = p.settings.AtMostOnceIdleTimeout
	}
	return &Attempt{
		pools: p, idleTimeout: idleTimeout, endpoint: x.Endpoint, deadline: x.Deadline, notAfter: x.NotAfter, permitUntil: x.PermitUntil, maxConnections: x.Connections,
		LatencyObjective: x.LatencyObjective, largeResponse: x.LargeAnswer,
		Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse(),
	}
}

// Release returns the attempt's buffers to their pools; the attempt must not be used afterwards.
func (a *Attempt) Release() {
	a.dropPrefix()
	if a.releaseHead != nil {
		a.releaseHead()
	}
	fasthttp.ReleaseRequest(a.Request)
	fasthttp.ReleaseResponse(a.Response)
	a.Request, a.Response = nil, nil
}

// Endpoint returns the target of the attempt.
func (a *Attempt) Endpoint() *routing.Endpoint { return a.endpoint }

// Cancel closes the attempt's connection, so that the target sees that nobody waits for it.
func (a *Attempt) Cancel() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.canceled = true
	if a.BodyStream != nil {
		a.BodyStream.Abort()
	}
	if a.conn != nil {
		a.conn.raw.Close()
	}
	if a.cancelDial != nil {
		a.cancelDial()
	}
}

// Canceled reports whether Cancel was called.
func (a *Attempt) Canceled() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.canceled
}

// attach sets the connection that Cancel closes; false means that the attempt was canceled.
func (a *Attempt) attach(c *conn) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.canceled {
		return false
	}
	a.conn = c
	return true
}

// detach clears the connection that Cancel closes; false means that Cancel has closed it.
func (a *Attempt) detach() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.conn = nil
	return !a.canceled
}

// Run sends the request and reads the response, or its beginning. If streaming is true, the
// caller must read the body from Stream, and the attempt ends when that is closed.
func (a *Attempt) Run() (result routing.AttemptResult, streaming bool) {
	remaining := a.pools.clock.Until(a.deadline)
	if remaining <= 0 || a.Canceled() {
		return routing.NotSent, false
	}
	c := a.connect(remaining)
	if c == nil {
		return a.notConnected(), false
	}
	if !a.attach(c) {
		a.pools.close(a.endpoint.Address, c)
		return routing.NotSent, false
	}
	result, streaming = a.exchange(c)
	if streaming {
		return result, true
	}
	a.finish()
	return result, false
}

// notConnected returns the result of an attempt without a connection. It is no evidence about the target if this
// process had no descriptor for one.
func (a *Attempt) notConnected() routing.AttemptResult {
	if a.lacksDescriptor {
		return routing.Withheld
	}
	return routing.NotSent
}

// connect returns an idle connection or opens a new one. It returns nil if dialing fails or the
// attempt is canceled.
func (a *Attempt) connect(remaining time.Duration) *conn {
	if !a.newConnection {
		if c := a.pools.takeIdle(a.endpoint.Address, a.idleTimeout); c != nil {
			return c
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(remaining, a.pools.settings.ConnectTimeout))
	defer cancel()
	a.lock.Lock()
	a.cancelDial = cancel
	canceled := a.canceled
	a.lock.Unlock()
	if canceled {
		return nil
	}
	c, err := a.pools.open(ctx, a.endpoint)
	if err != nil {
		a.Refused = errors.Is(err, syscall.ECONNREFUSED)
		a.lacksDescriptor = listening.IsShortage(err)
		a.Unreachable = !a.Canceled() && !a.lacksDescriptor
		return nil
	}
	return c
}

// exchange writes the request and reads the response on a connection.
func (a *Attempt) exchange(c *conn) (routing.AttemptResult, bool) {
	c.raw.SetDeadline(a.pools.clock.Time(a.deadline))
	a.writtenBefore = c.raw.written
	a.setHeaders()
	if a.BodyStream != nil {
		return a.exchangeStreamed(c)
	}
	switch result := a.classifyWrite(c, a.write(c)); result {
	case 0:
	case routing.Broken:
		// The target may have answered before it has read the whole request, and closed the connection.
		a.unusable = true
	default:
		return result, false
	}
	return a.readResponse(c)
}

// classifyWrite returns the result of an attempt whose request, or its head, couldn't be written; zero if
// it was.
func (a *Attempt) classifyWrite(c *conn, err error) routing.AttemptResult {
	switch {
	case err == nil:
		return 0
	case c.raw.written > a.writtenBefore:
		return routing.Broken
	}
	// The buffer must not pass the unsent request to the connection's next user.
	c.writer.Reset(c.raw)
	if errors.Is(err, errWithheld) {
		return routing.Withheld
	}
	return routing.NotSent
}

var (
	errSelectionExpired = errors.New("the selection of the target has expired")
	errWithheld         = errors.New("the target has asked for no more sends")
)

// checkBeforeSend checks once more whether the attempt's first byte may be written. While a
// connection was opened, or while the whole process was paused, the table that the selection is
// based on may have expired or the target may have asked for rest.
func (a *Attempt) checkBeforeSend() error {
	if a.pools.clock.Now() >= a.notAfter {
		return errSelectionExpired
	}
	if a.isWithheld() {
		return errWithheld
	}
	return nil
}

// setHeaders adds the deadline and the target's id. A probe has neither: it is kept as small as
// possible, and its response names the target that sent it.
func (a *Attempt) setHeaders() {
	if a.isProbe {
		return
	}
	remaining := a.pools.clock.Until(a.deadline).Milliseconds()
	a.Request.Header.Set(a.pools.settings.DeadlineHeader, strconv.FormatInt(max(1, remaining), 10))
	a.setTargetHeader()
}

// setTargetHeader adds the id of a registered target, since its address may belong to another
// target by now.
func (a *Attempt) setTargetHeader() {
	if header := a.pools.settings.IdentityHeader; header != "" && a.endpoint.Registered {
		a.Request.Header.Set(header, string(a.endpoint.Target))
	}
}

func (a *Attempt) write(c *conn) error {
	c.raw.beforeWrite = a.checkBeforeSend
	if err := a.Request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// finish returns the connection to the pool if no response is outstanding on it, and closes it
// otherwise.
func (a *Attempt) finish() {
	c := a.conn
	if a.upload != nil && !a.upload.stop() {
		// The target may still read the rest of the body.
		a.unusable = true
	}
	unsent := c.raw.written == a.writtenBefore
	reusable := a.complete && !a.unusable && !a.Response.ConnectionClose() && c.reader.Buffered() == 0
	c.keepAliveTimeout = parseKeepAlive(&a.Response.Header)
	if a.detach() && (reusable || unsent) {
		c.resetReader()
		a.pools.putIdle(a.endpoint, c, a.maxConnections)
		return
	}
	a.pools.close(a.endpoint.Address, c)
}

// parseKeepAlive returns for how long the target keeps an idle connection open, by the Keep-Alive
// header: "timeout=5, max=100" means five seconds. It returns zero if the header doesn't say.
func parseKeepAlive(h *fasthttp.ResponseHeader) time.Duration {
	for _, parameter := range strings.Split(string(h.Peek(keepAliveHeader)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

const keepAliveHeader = "Keep-Alive"

// Discard ends an attempt whose response is no longer wanted.
func (a *Attempt) Discard() {
	a.finish()
	a.Release()
}
