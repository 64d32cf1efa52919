package entry

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/bodies"
	"github.com/madderpond/madderpond/pkg/core/routing"
)

const (
	// smallBodyBytes is the size up to which a body is read at once: as many as there are connections take
	// little memory beside the large ones.
	smallBodyBytes = 64 << 10
	// bodyFraction is the fraction of the memory limit that large bodies may take together. The rest is for
	// everything else, and for bodies that have been released and not been collected yet.
	bodyFraction = 0.6
	// maxBodyFraction is the same where a single body of the largest size needs more.
	maxBodyFraction = 0.8
	// maxWaitingBodies bounds the calls whose bodies wait in their connections.
	maxWaitingBodies = 64
	// maxBodyWait bounds how long one waits if its call has no deadline.
	maxBodyWait = 5 * time.Second
	// bodyWaitDivisor divides a call's deadline into the time for which its body may wait.
	bodyWaitDivisor = 2
	// memoryRetryAfter is the retry delay of a call for whose body there is no memory.
	memoryRetryAfter = time.Second
)

// restDivisors are the parts of the longest body that the buffer of a body in chunks has room for, one after the
// other. While it grows from one to the next both are held: doubling would take three times the memory reserved.
var restDivisors = [...]int{64, 8, 1}

// bodyMemory is the memory for large request bodies, shared by all calls.
type bodyMemory struct {
	lock   sync.Mutex
	budget *bodies.Budget
	nextID bodies.ID
	// waiting has the channel of each body that waits, which is closed once it is granted.
	waiting map[bodies.ID]chan struct{}
}

// newBodyMemory returns the memory for bodies of a process with a memory limit; zero is no limit.
func newBodyMemory(limitMB, maxBody int) *bodyMemory {
	if limitMB == 0 {
		return nil
	}
	limit := float64(limitMB) * (1 << 20)
	bound := max(bodyFraction*limit, min(float64(maxBody), maxBodyFraction*limit))
	return &bodyMemory{budget: bodies.NewBudget(int(bound), maxWaitingBodies), waiting: map[bodies.ID]chan struct{}{}}
}

// reserve waits for memory, for a time, and reports whether there is.
func (m *bodyMemory) reserve(n int, wait time.Duration) bool {
	if m == nil {
		return true
	}
	m.lock.Lock()
	m.nextID++
	id := m.nextID
	verdict := m.budget.Reserve(id, n)
	granted := make(chan struct{})
	if verdict == bodies.Queued {
		m.waiting[id] = granted
	}
	m.lock.Unlock()
	if verdict != bodies.Queued {
		return verdict == bodies.Granted
	}
	select {
	case <-granted:
		return true
	case <-time.After(wait):
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	next, stillWaits := m.budget.Abandon(id)
	m.wake(next)
	if !stillWaits {
		// It was granted at the last moment.
		return true
	}
	delete(m.waiting, id)
	return false
}

// release returns memory.
func (m *bodyMemory) release(n int) {
	if m == nil {
		return
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.wake(m.budget.Release(n))
}

func (m *bodyMemory) wake(granted []bodies.ID) {
	for _, id := range granted {
		if c := m.waiting[id]; c != nil {
			close(c)
			delete(m.waiting, id)
		}
	}
}

func (m *bodyMemory) status() bodies.Status {
	if m == nil {
		return bodies.Status{}
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.budget.Status()
}

// requestBody is the body of a caller's request while it is read.
type requestBody struct {
	stream io.Reader
	// length is the announced length; negative for a body in chunks.
	length int
	// read counts the bytes read so far, ended is set at the end of a body in chunks.
	read  int
	ended bool
	// reserved is the memory reserved for the body, waited the time for which it waited for that.
	reserved int
	waited   time.Duration
}

// newRequestBody returns the body of a request; nil if it has none.
func newRequestBody(ctx *fasthttp.RequestCtx) *requestBody {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	return &requestBody{stream: stream, length: ctx.Request.Header.ContentLength()}
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.stream.Read(p)
	b.read += n
	b.ended = b.ended || err == io.EOF
	return n, err
}

// timeWaited returns how long the call has waited for its body's memory.
func (b *requestBody) timeWaited() time.Duration {
	if b == nil {
		return 0
	}
	return b.waited
}

// isRead reports whether the body was read to its end.
func (b *requestBody) isRead() bool { return b.read == b.length || b.length < 0 && b.ended }

// readBody reads a request's body into memory of its own, which all attempts of the call share. If it returns
// false the request has been answered.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx, b *requestBody) bool {
	if b == nil {
		return true
	}
	if b.length > e.Settings.Entry.MaxBody {
		return e.setBody(ctx, nil, fasthttp.ErrBodyTooLarge)
	}
	if b.length >= 0 && b.length <= smallBodyBytes {
		body, err := readExactly(b, b.length)
		return e.setBody(ctx, body, err)
	}
	if e.refuseByHead(ctx) {
		return false
	}
	if b.length >= 0 {
		return e.readLargeBody(ctx, b, b.length, func() ([]byte, error) { return readExactly(b, b.length) })
	}
	// The length of a body in chunks shows only at its end.
	limit := e.Settings.Entry.MaxBody
	var beginning bytes.Buffer
	err := readUpTo(b, &beginning, min(smallBodyBytes, limit))
	if limit <= smallBodyBytes || !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return e.setBody(ctx, beginning.Bytes(), err)
	}
	return e.readLargeBody(ctx, b, limit, func() ([]byte, error) { return readRest(b, beginning.Bytes(), limit) })
}

// refuseByHead refuses a call before its body is read if nothing in the body can change that, and reports whether
// it did so.
func (e *Entry) refuseByHead(ctx *fasthttp.RequestCtx) bool {
	e.lock.Lock()
	refusal, refused := e.core.Router().CheckHead(e.Clock.Now(), &routing.CallArrived{
		Host: hostOf(ctx), Path: pathOf(ctx.RequestURI()), Credential: e.credentialOf(ctx), Deadline: e.requestedDeadline(ctx), Relayed: relayedCall(ctx),
	})
	e.lock.Unlock()
	if refused {
		e.writeRefusal(ctx, refusal)
	}
	return refused
}

// checkExpectation decides whether a caller that asks first should send its body, and returns the status that it
// is told.
func (e *Entry) checkExpectation(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() > e.Settings.Entry.MaxBody {
		e.handleBadRequest(ctx, fasthttp.ErrBodyTooLarge)
		return ctx.Response.StatusCode()
	}
	if e.refuseByHead(ctx) {
		return ctx.Response.StatusCode()
	}
	return fasthttp.StatusContinue
}

// readLargeBody reads a body once there is memory for it.
func (e *Entry) readLargeBody(ctx *fasthttp.RequestCtx, b *requestBody, n int, read func() ([]byte, error)) bool {
	if !e.reserveBody(ctx, b, n) {
		return false
	}
	body, err := read()
	return e.setBody(ctx, body, err)
}

// reserveBody reserves memory for a body, or refuses the request.
func (e *Entry) reserveBody(ctx *fasthttp.RequestCtx, b *requestBody, n int) bool {
	began := e.Clock.Now()
	if !e.bodies.reserve(n, e.bodyWait(ctx)) {
		e.refuseForMemory(ctx, n)
		return false
	}
	b.reserved, b.waited = n, e.Clock.Now().Sub(began)
	// The caller couldn't go on sending while its body waited.
	if err := ctx.Conn().SetReadDeadline(time.Now().Add(e.Settings.Entry.ReadTimeout.Std())); err != nil {
		e.Log.WithError(err).Debug("a caller's connection has ended while its body waited for memory")
	}
	return true
}

// setBody gives a request its body, or answers it if the body couldn't be read.
func (e *Entry) setBody(ctx *fasthttp.RequestCtx, body []byte, err error) bool {
	if err != nil {
		e.handleBadRequest(ctx, err)
		return false
	}
	ctx.Request.SetBodyRaw(body)
	return true
}

// endBody releases what a call's body took, and has the caller's connection closed if the body wasn't read.
func (e *Entry) endBody(ctx *fasthttp.RequestCtx, b *requestBody) {
	if b == nil {
		return
	}
	if b.reserved > 0 {
		e.bodies.release(b.reserved)
	}
	e.lingerIfUnread(ctx, b)
}

func readExactly(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return body, err
}

// readUpTo reads a body to its end, behind what the buffer has of it. The error is fasthttp.ErrBodyTooLarge if it
// is longer than a limit; the buffer then has one byte more than that.
func readUpTo(r io.Reader, body *bytes.Buffer, limit int) error {
	_, err := io.CopyN(body, r, int64(limit+1-body.Len()))
	switch err {
	case io.EOF:
		return nil
	case nil:
		return fasthttp.ErrBodyTooLarge
	}
	return err
}

// readRest reads a body to its end behind its beginning. The error is fasthttp.ErrBodyTooLarge if it is longer
// than a limit.
func readRest(r io.Reader, beginning []byte, limit int) ([]byte, error) {
	body := bytes.NewBuffer(beginning)
	for _, divisor := range restDivisors {
		size := limit / divisor
		if size < body.Len() {
			continue
		}
		larger := bytes.NewBuffer(make([]byte, 0, size+1+bytes.MinRead))
		larger.Write(body.Bytes())
		body = larger
		err := readUpTo(r, body, size)
		if !errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return body.Bytes(), err
		}
	}
	return nil, fasthttp.ErrBodyTooLarge
}

// bodyWait returns how long a call's body may wait for memory.
func (e *Entry) bodyWait(ctx *fasthttp.RequestCtx) time.Duration {
	if d := e.requestedDeadline(ctx); d > 0 {
		return min(maxBodyWait, d/bodyWaitDivisor)
	}
	return maxBodyWait
}

// refuseForMemory refuses a call whose body hasn't been read.
func (e *Entry) refuseForMemory(ctx *fasthttp.RequestCtx, n int) {
	e.Log.WithFields(logrus.Fields{
		"kind": "body-refused", "call": string(ctx.Request.Header.Peek(e.Settings.Entry.CallIDHeader)), "bytes": n, "memory": e.bodies.status(),
	}).Warning("there is no memory for a call's body; the call is refused")
	ctx.SetConnectionClose()
	e.writeRefusal(ctx, routing.Refusal{Reason: routing.BodyMemory, Outcome: routing.NotRun, RetryAfter: memoryRetryAfter})
}
