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
	permitUntil units.Instant
	limit       int
	// idleLimit is how long the connection may have rested.
	idleLimit time.Duration
	// Aim is the aim of the call's route; zero means none.
	Aim time.Duration
	// largeAnswer is set where the route's answers are large: they pass through as they come.
	largeAnswer bool
	// Request is the attempt's own copy.
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// Reading is what the target said of itself.
	Reading routing.TargetReport
	// UnreadRest is what the target wrote where it may ask for rest, if that can't be read.
	UnreadRest string
	// UnreadLimit is what the target wrote where it names its limit, if that can't be read.
	UnreadLimit string
	// Refused is set when the target's host refused the connection.
	Refused bool

	lock     sync.Mutex
	conn     *conn
	canceled bool
	// stopDial ends the opening of a connection, while there is one.
	stopDial context.CancelFunc
	before   int64
	whole    bool
	// probe is set for a probe of load and health.
	probe bool
	// surplus is set when the connection can't be used again: an answer to another
	// call came on it, or it ended with this answer.
	surplus bool
	prefix  []byte
}

// NewAttempt returns an attempt that hasn't begun.
func (p *Pools) NewAttempt(x *routing.Effect) *Attempt {
	idleLimit := p.settings.IdleLimit
	if x.AtMostOnce {
		idleLimit = p.settings.OnceIdle
	}
	return &Attempt{
		pools: p, idleLimit: idleLimit, endpoint: x.Endpoint, deadline: x.Deadline, notAfter: x.NotAfter, permitUntil: x.PermitUntil, limit: x.Connections,
		Aim: x.LatencyObjective, largeAnswer: x.LargeAnswer,
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
	if a.stopDial != nil {
		a.stopDial()
	}
}

// Canceled tells whether Cancel was called.
func (a *Attempt) Canceled() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.canceled
}

// claim ties a connection to the attempt, unless it was canceled meanwhile.
func (a *Attempt) claim(c *conn) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.canceled {
		return false
	}
	a.conn = c
	return true
}

// unclaim takes the connection away; false means that it was cut.
func (a *Attempt) unclaim() bool {
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
	if !a.claim(c) {
		a.pools.close(a.endpoint.Address, c)
		return routing.NotSent, false
	}
	result, streaming = a.exchange(c)
	if streaming {
		return result, true
	}
	a.end()
	return result, false
}

// connect returns an idle connection or opens a new one; nil when there is none
// to be had, or the attempt was canceled meanwhile.
func (a *Attempt) connect(left time.Duration) *conn {
	if c := a.pools.take(a.endpoint.Address, a.idleLimit); c != nil {
		return c
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(left, a.pools.settings.ConnectTimeout))
	defer cancel()
	a.lock.Lock()
	a.stopDial = cancel
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
	a.before = c.raw.written
	a.setHeaders()
	if err := a.write(c); err != nil {
		if c.raw.written > a.before {
			return routing.Broken, false
		}
		// Nothing of it is left in the buffer for the connection's next user.
		c.writer.Reset(c.raw)
		if errors.Is(err, errWithheld) {
			return routing.Withheld, false
		}
		return routing.NotSent, false
	}
	return a.read(c)
}

var (
	errOutdated = errors.New("the choice of the target is out of date")
	errWithheld = errors.New("the target wants nothing now")
)

// mayBegin looks once more whether the attempt's first byte may be written: the table that the
// choice rests on may have run out, or the target may have asked for rest, while a connection
// was made or while the whole process stood still.
func (a *Attempt) mayBegin() error {
	if a.pools.clock.Now() >= a.notAfter {
		return errOutdated
	}
	if a.withheld() {
		return errWithheld
	}
	return nil
}

// setHeaders adds what the target has to know. A probe goes without: it is as small as
// it can be, and its answer says who answered.
func (a *Attempt) setHeaders() {
	if a.probe {
		return
	}
	left := a.pools.clock.Until(a.deadline).Milliseconds()
	a.Request.Header.Set(a.pools.settings.DeadlineHeader, strconv.FormatInt(max(1, left), 10))
	a.nameTarget()
}

// nameTarget tells a registered target which one is meant, since its address may
// belong to another one by now.
func (a *Attempt) nameTarget() {
	if header := a.pools.settings.IdentityHeader; header != "" && a.endpoint.Registered {
		a.Request.Header.Set(header, string(a.endpoint.Target))
	}
}

func (a *Attempt) write(c *conn) error {
	c.raw.look = a.mayBegin
	if err := a.Request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// end gives the connection back if nothing is owed on it, and closes it
// otherwise.
func (a *Attempt) end() {
	c := a.conn
	untouched := c.raw.written == a.before
	reusable := a.whole && !a.surplus && !a.Response.ConnectionClose() && c.reader.Buffered() == 0
	a.Response.CloseBodyStream()
	c.keepAlive = keepAliveOf(&a.Response.Header)
	if a.unclaim() && (reusable || untouched) {
		a.pools.put(a.endpoint, c, a.limit)
		return
	}
	a.pools.close(a.endpoint.Address, c)
}

// keepAliveOf is how long a target says that it keeps the connection: "timeout=5, max=100"
// means five seconds.
func keepAliveOf(h *fasthttp.ResponseHeader) time.Duration {
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
	a.end()
	a.Release()
}
