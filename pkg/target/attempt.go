package target

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// Attempt is one send of a call to a target. Run is called once; Cancel may be
// called at any time from anywhere.
type Attempt struct {
	pools    *Pools
	endpoint *routing.Endpoint
	deadline units.Instant
	notAfter units.Instant
	// permitUntil is until when the attempt may begin if the target names a limit.
	permitUntil    units.Instant
	maxConnections int
	// idleTimeout is how long the connection may have rested.
	idleTimeout time.Duration
	// LatencyObjective is the aim of the call's route; zero means none.
	LatencyObjective time.Duration
	// largeResponse is set where the route's answers are large: they pass through as they come.
	largeResponse bool
	// Request is the attempt's own copy.
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// Reading is what the target said of itself.
	Reading routing.Reading
	// UnreadableRest is what the target wrote where it may ask for rest, if that can't be read.
	UnreadableRest string
	// UnreadableLimit is what the target wrote where it names its limit, if that can't be read.
	UnreadableLimit string
	// Refused is set when the target's host refused the connection.
	Refused bool

	lock     sync.Mutex
	conn     *conn
	canceled bool
	// cancelDial ends the opening of a connection, while there is one.
	cancelDial    context.CancelFunc
	writtenBefore int64
	complete      bool
	// isProbe is set for a isProbe of load and health.
	isProbe bool
	// unusable is set when the connection can't be used again: an answer to another
	// call came on it, or it ended with this answer.
	unusable bool
	prefix   []byte
}

// NewAttempt returns an attempt that hasn't begun.
func (p *Pools) NewAttempt(x *routing.Effect) *Attempt {
	idleLimit := p.settings.IdleTimeout
	if x.Once {
		idleLimit = p.settings.AtMostOnceIdleTimeout
	}
	return &Attempt{
		pools: p, idleTimeout: idleLimit, endpoint: x.Endpoint, deadline: x.Deadline, notAfter: x.NotAfter, permitUntil: x.PermitUntil, maxConnections: x.Connections,
		LatencyObjective: x.Aim, largeResponse: x.LargeAnswer,
		Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse(),
	}
}

// Release gives the attempt's buffers back; nothing of it may be used any more.
func (a *Attempt) Release() {
	fasthttp.ReleaseRequest(a.Request)
	a.Response.CloseBodyStream()
	fasthttp.ReleaseResponse(a.Response)
	a.Request, a.Response = nil, nil
}

// Endpoint is the target that the attempt goes to.
func (a *Attempt) Endpoint() *routing.Endpoint { return a.endpoint }

// Cancel cuts the attempt's connection; the target sees that nobody waits.
func (a *Attempt) Cancel() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.canceled = true
	if a.conn != nil {
		a.conn.raw.Close()
	}
	if a.cancelDial != nil {
		a.cancelDial()
	}
}

// Canceled tells whether Cancel was called.
func (a *Attempt) Canceled() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.canceled
}

// attach ties a connection to the attempt, unless it was canceled meanwhile.
func (a *Attempt) attach(c *conn) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.canceled {
		return false
	}
	a.conn = c
	return true
}

// detach takes the connection away; false means that it was cut.
func (a *Attempt) detach() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.conn = nil
	return !a.canceled
}

// Run sends the request and reads the answer, or its beginning. When streaming
// is true the answer's body goes on in Stream, and the attempt ends there.
func (a *Attempt) Run() (result routing.AttemptResult, streaming bool) {
	left := a.pools.clock.Until(a.deadline)
	if left <= 0 || a.Canceled() {
		return routing.NotSent, false
	}
	c := a.connect(left)
	if c == nil {
		return routing.NotSent, false
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

// connect returns an idle connection or opens a new one; nil when there is none
// to be had, or the attempt was canceled meanwhile.
func (a *Attempt) connect(left time.Duration) *conn {
	if c := a.pools.takeIdle(a.endpoint.Address, a.idleTimeout); c != nil {
		return c
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(left, a.pools.settings.ConnectTimeout))
	defer cancel()
	a.lock.Lock()
	a.cancelDial = cancel
	canceled := a.canceled
	a.lock.Unlock()
	if canceled {
		return nil
	}
	c, err := a.pools.open(ctx, a.endpoint.Address)
	if err != nil {
		a.Refused = errors.Is(err, syscall.ECONNREFUSED)
		return nil
	}
	return c
}

// exchange does the sending and reading on a connection.
func (a *Attempt) exchange(c *conn) (routing.AttemptResult, bool) {
	c.raw.SetDeadline(a.pools.clock.Time(a.deadline))
	a.writtenBefore = c.raw.written
	a.setHeaders()
	if err := a.write(c); err != nil {
		if c.raw.written > a.writtenBefore {
			return routing.Broken, false
		}
		// Nothing of it is left in the buffer for the connection's next user.
		c.writer.Reset(c.raw)
		if errors.Is(err, errWithheld) {
			return routing.Withheld, false
		}
		return routing.NotSent, false
	}
	return a.readResponse(c)
}

var (
	errSelectionExpired = errors.New("the choice of the target is out of date")
	errWithheld         = errors.New("the target wants nothing now")
)

// checkBeforeSend looks once more whether the attempt's first byte may be written: the table that the
// choice rests on may have run out, or the target may have asked for rest, while a connection
// was made or while the whole process stood still.
func (a *Attempt) checkBeforeSend() error {
	if a.pools.clock.Now() >= a.notAfter {
		return errSelectionExpired
	}
	if a.isWithheld() {
		return errWithheld
	}
	return nil
}

// setHeaders adds what the target has to know. A probe goes without: it is as small as
// it can be, and its answer says who answered.
func (a *Attempt) setHeaders() {
	if a.isProbe {
		return
	}
	left := a.pools.clock.Until(a.deadline).Milliseconds()
	a.Request.Header.Set(a.pools.settings.DeadlineHeader, strconv.FormatInt(max(1, left), 10))
	a.setTargetHeader()
}

// setTargetHeader tells a registered target which one is meant, since its address may
// belong to another one by now.
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

// finish gives the connection back if nothing is owed on it, and closes it
// otherwise.
func (a *Attempt) finish() {
	c := a.conn
	untouched := c.raw.written == a.writtenBefore
	reusable := a.complete && !a.unusable && !a.Response.ConnectionClose() && c.reader.Buffered() == 0
	a.Response.CloseBodyStream()
	c.keepAliveTimeout = parseKeepAlive(&a.Response.Header)
	if a.detach() && (reusable || untouched) {
		a.pools.putIdle(a.endpoint, c, a.maxConnections)
		return
	}
	a.pools.close(a.endpoint.Address, c)
}

// parseKeepAlive is how long a target says that it keeps the connection: "timeout=5, max=100"
// means five seconds.
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

// Discard gives up an answer that nobody wants any more.
func (a *Attempt) Discard() {
	a.finish()
	a.Release()
}
