package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
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
	limit    int
	// Request is the attempt's own copy.
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// Reading is what the target said of its load.
	Reading    routing.Reading
	RetryAfter time.Duration

	lock     sync.Mutex
	conn     *conn
	canceled bool
	// stopDial ends the opening of a connection, while there is one.
	stopDial context.CancelFunc
	before   int64
	whole    bool
	// probe is set for a question about load and health.
	probe bool
	// surplus is set when the connection can't be used again: an answer to another
	// call came on it, or it ended with this answer.
	surplus bool
	prefix  []byte
}

// NewAttempt returns an attempt that hasn't begun.
func (p *Pools) NewAttempt(x *routing.Effect) *Attempt {
	return &Attempt{
		pools: p, endpoint: x.Endpoint, deadline: x.Deadline, notAfter: x.NotAfter, limit: x.Connections,
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
	if c := a.pools.take(a.endpoint.Address); c != nil {
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
		return nil
	}
	return c
}

// exchange does the sending and reading on a connection.
func (a *Attempt) exchange(c *conn) (routing.AttemptResult, bool) {
	c.raw.SetDeadline(a.pools.clock.Time(a.deadline))
	a.before = c.raw.written
	// The table that the choice rests on may have run out while a connection was
	// made, or while the whole process stood still.
	if a.pools.clock.Now() >= a.notAfter {
		return routing.NotSent, false
	}
	a.setHeaders()
	if err := a.write(c); err != nil {
		if c.raw.written == a.before {
			return routing.NotSent, false
		}
		return routing.Broken, false
	}
	return a.read(c)
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
	if err := a.Request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (a *Attempt) read(c *conn) (routing.AttemptResult, bool) {
	if !a.readOwn(c) {
		return routing.Broken, false
	}
	r := a.Response
	a.readLoad()
	if r.Header.ContentLength() < -1 && !a.bodiless() {
		// An answer without a length can't be told from one that was cut short, unless
		// targets are known to reset what they cut.
		if !a.pools.settings.Unframed {
			return routing.Broken, false
		}
		a.surplus = true
	}
	if r.BodyStream() == nil {
		a.whole = true
		return a.classify(), false
	}
	return a.readBody()
}

// maxSurplus is how many answers to earlier calls may come before the call's own.
const maxSurplus = 3

// readOwn reads the head of the call's own answer, and the body if it is short.
// Answers that name another call are passed over; the connection isn't used again
// after one.
func (a *Attempt) readOwn(c *conn) bool {
	r := a.Response
	for range maxSurplus + 1 {
		r.StreamBody = true
		r.SkipBody = a.Request.Header.IsHead()
		if err := r.ReadLimitBody(c.reader, 0); err != nil {
			return false
		}
		if a.isOwn() {
			return true
		}
		a.surplus = true
		if stream := r.BodyStream(); stream != nil {
			if _, err := io.Copy(io.Discard, stream); err != nil {
				return false
			}
		}
		r.Reset()
	}
	return false
}

// isOwn tells whether the answer names the call that was sent.
func (a *Attempt) isOwn() bool {
	header := a.pools.settings.CallIDHeader
	if header == "" {
		return true
	}
	sent := a.Request.Header.Peek(header)
	return len(sent) == 0 || bytes.Equal(sent, a.Response.Header.Peek(header))
}

// bodiless tells whether the answer has no body whatever its head says.
func (a *Attempt) bodiless() bool {
	code := a.Response.StatusCode()
	return a.Response.SkipBody || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}

// readBody reads up to as much as is buffered; a longer body is streamed.
func (a *Attempt) readBody() (routing.AttemptResult, bool) {
	limit := a.pools.settings.BufferBody
	if a.Response.Header.ContentLength() > limit {
		return a.classify(), true
	}
	var body bytes.Buffer
	_, err := io.CopyN(&body, a.Response.BodyStream(), int64(limit)+1)
	switch {
	case errors.Is(err, io.EOF):
		a.prefix = body.Bytes()
		a.whole = true
		return a.classify(), false
	case err == nil:
		a.prefix = body.Bytes()
		return a.classify(), true
	}
	return routing.Broken, false
}

// Whole tells whether the answer has come to its end.
func (a *Attempt) Whole() bool { return a.whole }

// Body returns the whole body of an answer that isn't streamed.
func (a *Attempt) Body() []byte { return a.prefix }

func (a *Attempt) classify() routing.AttemptResult {
	s := &a.pools.settings
	code := a.Response.StatusCode()
	marked := len(a.Response.Header.Peek(s.ShedHeader)) > 0
	switch {
	case code == fasthttp.StatusMisdirectedRequest && s.IdentityHeader != "" && a.endpoint.Registered:
		return routing.Misdirected
	case marked && (code == s.ShedStatus || s.ShedStatus == 0):
		return routing.Shed
	case s.PromiseStatus && promises[code]:
		return routing.Broken
	}
	if code >= fasthttp.StatusInternalServerError {
		return routing.Failed
	}
	return routing.Answered
}

// promises are the statuses by which an answer may promise that the call hasn't run.
var promises = map[int]bool{
	fasthttp.StatusRequestTimeout:     true,
	fasthttp.StatusMisdirectedRequest: true,
	fasthttp.StatusTooManyRequests:    true,
	fasthttp.StatusServiceUnavailable: true,
}

func (a *Attempt) readLoad() {
	h := &a.Response.Header
	a.Reading = parseReading(string(h.Peek(a.pools.settings.LoadHeader)))
	if seconds, err := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64); err == nil && seconds >= 0 {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
}

// end gives the connection back if nothing is owed on it, and closes it
// otherwise.
func (a *Attempt) end() {
	c := a.conn
	untouched := c.raw.written == a.before
	reusable := a.whole && !a.surplus && !a.Response.ConnectionClose() && c.reader.Buffered() == 0
	a.Response.CloseBodyStream()
	if a.unclaim() && (reusable || untouched) {
		a.pools.put(a.endpoint, c, a.limit)
		return
	}
	a.pools.close(a.endpoint.Address, c)
}

// Stream returns the body of a streamed answer. ended is called once, when the
// body has been read to its end or given up.
func (a *Attempt) Stream(ended func(routing.AttemptResult)) io.ReadCloser {
	return &stream{
		attempt: a,
		reader:  io.MultiReader(bytes.NewReader(a.prefix), a.Response.BodyStream()),
		ended:   ended,
	}
}

// stream passes a target's body on and keeps account of how it ended.
type stream struct {
	attempt *Attempt
	reader  io.Reader
	ended   func(routing.AttemptResult)
	result  routing.AttemptResult
	closed  bool
}

// Read passes on what has come; a body cut short gives an error, never an end.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	switch {
	case err == io.EOF:
		s.result = s.attempt.classify()
		s.attempt.whole = true
	case err != nil:
		s.result = routing.Broken
	}
	return n, err
}

// Close ends the attempt.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.result == 0 {
		// The caller stopped reading.
		s.result = routing.Canceled
	}
	s.attempt.end()
	s.ended(s.result)
	s.attempt.Release()
	return nil
}

// Discard gives up an answer that nobody wants any more.
func (a *Attempt) Discard() {
	a.end()
	a.Release()
}
