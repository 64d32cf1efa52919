package entry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/bodymemory"
	"github.com/madderpond/madderpond/pkg/core/bodies"
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/routing"
)

const (
	// smallBodyBytes is the size up to which a body is never streamed.
	smallBodyBytes = 64 << 10
	// uncountedBodyBytes is the size up to which a body takes no more memory than its connection.
	uncountedBodyBytes = 4 << 10
	// maxBodyWait bounds how long a body waits for memory if its call has no deadline.
	maxBodyWait = 5 * time.Second
	// bodyWaitDivisor divides a call's deadline into the time for which its body may wait.
	bodyWaitDivisor = 2
	// memoryRetryAfter is the retry delay of a call for whose body there is no memory, minLinkRetryAfter the least
	// of one whose body the link can't carry in time.
	memoryRetryAfter  = time.Second
	minLinkRetryAfter = 100 * time.Millisecond
	// incomingStepBytes is after how many bytes the budget is told that a body has come closer to its end.
	incomingStepBytes = 256 << 10
	// minRateTime is the least time over which a caller's rate is taken, rateDivisor the part of its deadline.
	minRateTime = time.Second
	rateDivisor = 4
	// rateMargin is how much faster than so far a caller may become.
	rateMargin = 2
	// rateCheckInterval is the time between two looks at the rate of a caller that sends for long.
	rateCheckInterval = time.Second
	// readStepBytes is how much of a body should have come before it is read: each read costs processor time.
	readStepBytes = 16 << 10
)

var errBodyClosed = errors.New("the body is no longer read")

// requestBody is the body of a caller's request while it is read, into memory or to a target.
type requestBody struct {
	stream io.Reader
	conn   net.Conn
	// length is the announced length; negative for a body in chunks.
	length int
	// began is when the body was first waited for, deadline when the call ends; zero if it has no deadline.
	began, deadline time.Time
	// read counts the bytes read so far, ended is set at the end of a body in chunks. reported is what was read
	// when the budget was last told.
	read     atomic.Int64
	ended    atomic.Bool
	reported int
	// lowWater is what was set as the least that a read of the connection waits for; zero if nothing was.
	lowWater int
	// watched is set while the caller's rate is looked at.
	watched atomic.Bool
	// memory is where the body has reserved some as id, which is zero if it has none. waited is the time for which
	// it waited for that.
	memory *bodymemory.Memory
	id     bodies.ID
	waited time.Duration
	// streamed is set if the body is read while it is sent, beginning what has been read of it before.
	streamed  bool
	beginning []byte

	// lock is held while the body is read. closed is set once it mustn't be any more.
	lock   sync.Mutex
	closed atomic.Bool
}

// newRequestBody returns the body of a request; nil if it has none.
func (e *Entry) newRequestBody(ctx *fasthttp.RequestCtx) *requestBody {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	b := &requestBody{stream: stream, conn: ctx.Conn(), length: ctx.Request.Header.ContentLength(), began: requestBegan(ctx), memory: e.bodies}
	if d := e.requestedDeadline(ctx); d > 0 {
		b.deadline = b.began.Add(d)
	}
	return b
}

// requestBegan returns when the first byte of a request came.
func requestBegan(ctx *fasthttp.RequestCtx) time.Time {
	if c, ok := ctx.Conn().(*callerConn); ok && !c.activeAt.IsZero() {
		return c.activeAt
	}
	return time.Now()
}

// isCountedLength reports whether a body of an announced length takes memory and time of its own. It is negative
// for a body in chunks, and less than that where there is none.
func isCountedLength(n int) bool { return n == chunkedLength || n > uncountedBodyBytes }

// chunkedLength is the announced length of a body in chunks.
const chunkedLength = -1

// Length returns the announced length; negative for a body in chunks.
func (b *requestBody) Length() int { return b.length }

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	if len(b.beginning) > 0 {
		n := copy(p, b.beginning)
		b.beginning = b.beginning[n:]
		return n, nil
	}
	b.setLowWater(min(b.left(), readStepBytes))
	n, err := b.stream.Read(p)
	b.read.Add(int64(n))
	if err == io.EOF && b.left() > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		b.ended.Store(true)
	}
	b.reportIncoming()
	return n, err
}

// left returns how many bytes are still to come, as far as that is known.
func (b *requestBody) left() int { return max(0, b.length-int(b.read.Load())) }

// setLowWater has reads of the connection wait for a number of bytes.
func (b *requestBody) setLowWater(n int) {
	if n = max(1, n); n == max(1, b.lowWater) {
		return
	}
	c, ok := b.conn.(interface{ SetReadLowWater(bytes int) error })
	if !ok || b.streamed {
		return
	}
	// Without it the body is read in smaller pieces.
	if err := c.SetReadLowWater(n); err == nil {
		b.lowWater = n
	}
}

// reportIncoming tells the budget now and then how much is still to come.
func (b *requestBody) reportIncoming() {
	read := int(b.read.Load())
	if b.id == 0 || b.length < 0 || read-b.reported < incomingStepBytes {
		return
	}
	b.reported = read
	b.memory.SetIncoming(b.id, b.left())
}

// watchRate ends the reading of a body that is held once it can't come before its call's deadline. The caller has
// to call the function returned when it no longer reads.
func (b *requestBody) watchRate() (stop func()) {
	if b.length <= uncountedBodyBytes || b.deadline.IsZero() {
		return func() {}
	}
	b.watched.Store(true)
	timer := time.AfterFunc(rateCheckInterval, b.checkRate)
	return func() {
		b.watched.Store(false)
		timer.Stop()
	}
}

// checkRate looks at the caller's rate, and again after a time for as long as it is watched.
func (b *requestBody) checkRate() {
	switch {
	case !b.watched.Load():
	case b.isTooSlow(time.Now()):
		b.endRead()
	default:
		time.AfterFunc(rateCheckInterval, b.checkRate)
	}
}

// isTooSlow reports whether a body can't come before its call's deadline, unless the caller becomes much faster.
func (b *requestBody) isTooSlow(now time.Time) bool {
	passed, left := now.Sub(b.began)-b.waited, b.deadline.Sub(now)
	if passed < max(minRateTime, b.deadline.Sub(b.began)/rateDivisor) {
		return false
	}
	return float64(b.left())*passed.Seconds() > rateMargin*float64(b.read.Load())*left.Seconds()
}

// Abort ends a Read that waits; later ones fail.
func (b *requestBody) Abort() {
	b.closed.Store(true)
	b.endRead()
}

// endRead ends a Read that waits.
func (b *requestBody) endRead() {
	// The error is that of a connection that has ended, on which no Read waits.
	_ = b.conn.SetReadDeadline(time.Unix(0, 1))
}

// close makes sure that the body is no longer read.
func (b *requestBody) close() {
	if b.streamed && !b.closed.Load() {
		b.Abort()
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.closed.Store(true)
	b.setLowWater(1)
}

// isStreamed reports whether the body is read while it is sent.
func (b *requestBody) isStreamed() bool { return b != nil && b.streamed }

// identityDigest returns the digest that stands for the content of a streamed body; zero for one that is held.
func (b *requestBody) identityDigest() uint64 {
	if !b.isStreamed() {
		return 0
	}
	return crash.Digest(fmt.Appendf(nil, "streamed, length %d", b.length))
}

// timePassed returns how long the call has waited for its body, in whole milliseconds.
func (b *requestBody) timePassed() time.Duration {
	if b == nil {
		return 0
	}
	return time.Since(b.began).Truncate(time.Millisecond)
}

// isRead reports whether the body was read to its end.
func (b *requestBody) isRead() bool { return b.length >= 0 && b.left() == 0 || b.ended.Load() }

// readBody reads a request's body into memory of its own, which all attempts of the call share, or leaves it to be
// streamed. If it returns false the request has been answered.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx, b *requestBody) bool {
	switch {
	case b == nil:
		return true
	case b.length > e.Settings.Entry.MaxBody:
		return e.setBody(ctx, nil, fasthttp.ErrBodyTooLarge)
	case b.length >= 0 && b.length <= smallBodyBytes:
		return e.readSmallBody(ctx, b)
	case e.refuseByHead(ctx):
		return false
	case b.length >= 0:
		return e.admitLargeBody(ctx, b, b.length, b.readWhole)
	}
	return e.readChunks(ctx, b)
}

// readSmallBody reads a body that is never streamed.
func (e *Entry) readSmallBody(ctx *fasthttp.RequestCtx, b *requestBody) bool {
	if isCountedLength(b.length) && !e.reserveBody(ctx, b, bodies.Claim{Bytes: b.length + callBytes}) {
		return false
	}
	return e.hold(ctx, b, b.readWhole)
}

// hold reads a whole body into memory.
func (e *Entry) hold(ctx *fasthttp.RequestCtx, b *requestBody, read func() ([]byte, error)) bool {
	stop := b.watchRate()
	defer stop()
	body, err := read()
	return e.setBody(ctx, body, err)
}

// readChunks reads a body whose length shows only at its end.
func (e *Entry) readChunks(ctx *fasthttp.RequestCtx, b *requestBody) bool {
	limit := e.Settings.Entry.MaxBody
	if !e.reserveBody(ctx, b, bodies.Claim{Bytes: min(smallBodyBytes, limit) + callBytes}) {
		return false
	}
	var beginning bytes.Buffer
	err := readUpTo(b, &beginning, min(smallBodyBytes, limit))
	if limit <= smallBodyBytes || !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return e.setBody(ctx, beginning.Bytes(), err)
	}
	b.beginning = beginning.Bytes()
	return e.admitLargeBody(ctx, b, limit, func() ([]byte, error) {
		beginning := b.beginning
		b.beginning = nil
		return readRest(b, beginning, limit)
	})
}

// admitLargeBody reads a body if there is memory for all of it; otherwise it is streamed.
func (e *Entry) admitLargeBody(ctx *fasthttp.RequestCtx, b *requestBody, n int, read func() ([]byte, error)) bool {
	left := deadlineAfter(e.requestedDeadline(ctx), b.timePassed())
	if !e.reserveBody(ctx, b, e.largeClaim(n, b.left(), left)) {
		return false
	}
	if b.streamed {
		e.prepareStream(b)
		return true
	}
	return e.hold(ctx, b, read)
}

// prepareStream bounds the memory that a streamed body takes in its connection.
func (e *Entry) prepareStream(b *requestBody) {
	deadline := b.deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(e.Settings.Entry.MaxDeadline.Std())
	}
	err := b.conn.SetReadDeadline(deadline)
	if c, ok := b.conn.(interface{ SetReadBuffer(bytes int) error }); ok && err == nil {
		err = c.SetReadBuffer(streamBufferBytes)
	}
	if err != nil {
		e.Log.WithError(err).Debug("a caller's connection has ended before its body was streamed")
	}
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
		e.refuseUnread(ctx, refusal)
	}
	return refused
}

// refuseUnread refuses a call that the core hasn't got.
func (e *Entry) refuseUnread(ctx *fasthttp.RequestCtx, r routing.Refusal) {
	e.writeRefusal(ctx, r)
	if relayedBy(ctx) != "" {
		e.markDeclined(ctx, answer{refusal: r})
	}
}

// checkExpectation decides whether a caller that asks first should send its body, and returns the status that it
// is told.
func (e *Entry) checkExpectation(ctx *fasthttp.RequestCtx) int {
	length := ctx.Request.Header.ContentLength()
	switch {
	case length > e.Settings.Entry.MaxBody:
		e.handleBadRequest(ctx, fasthttp.ErrBodyTooLarge)
	case e.refuseByHead(ctx):
	case !e.bodies.MeetsDeadline(e.Clock.Now(), e.largeClaim(length, length, e.requestedDeadline(ctx))):
		e.refuseBody(ctx, length, bodies.TooLate)
	default:
		return fasthttp.StatusContinue
	}
	return ctx.Response.StatusCode()
}

// largeClaim returns the claim of a body of which a number of bytes are still to come; less than one if that isn't
// known. Without a deadline the time left is zero.
func (e *Entry) largeClaim(n, incoming int, left time.Duration) bodies.Claim {
	c := bodies.Claim{Bytes: n, Streamable: true, Incoming: max(0, incoming)}
	if left > 0 {
		c.Deadline = e.Clock.Now().Add(left)
	}
	return c
}

// reserveBody reserves memory for a body, or refuses the request. A body that has some already gets more in its
// place.
func (e *Entry) reserveBody(ctx *fasthttp.RequestCtx, b *requestBody, c bodies.Claim) bool {
	b.releaseMemory()
	began := e.Clock.Now()
	id, verdict := e.bodies.Reserve(began, c, e.bodyWait(ctx))
	if verdict != bodies.Granted && verdict != bodies.Streamed {
		e.refuseBody(ctx, c.Bytes, verdict)
		return false
	}
	b.id, b.streamed = id, verdict == bodies.Streamed
	b.waited += e.Clock.Now().Sub(began)
	// The caller couldn't go on sending while its body waited.
	if err := b.conn.SetReadDeadline(e.readDeadline(b)); err != nil {
		e.Log.WithError(err).Debug("a caller's connection has ended while its body waited for memory")
	}
	return true
}

// readDeadline returns until when a body that is held has to come.
func (e *Entry) readDeadline(b *requestBody) time.Time {
	limit := time.Now().Add(e.Settings.Entry.ReadTimeout.Std())
	if !b.deadline.IsZero() && b.deadline.Before(limit) {
		return b.deadline
	}
	return limit
}

// setBody gives a request its body, or answers it if the body couldn't be read.
func (e *Entry) setBody(ctx *fasthttp.RequestCtx, body []byte, err error) bool {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		ctx.SetConnectionClose()
		e.refuseUnread(ctx, routing.Refusal{Reason: routing.BodyTooSlow, Outcome: routing.NotRun})
		return false
	case err != nil:
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
	b.close()
	b.releaseMemory()
	e.lingerIfUnread(ctx, b)
}

// releaseMemory returns the memory that the body has reserved.
func (b *requestBody) releaseMemory() {
	if b.id != 0 {
		b.memory.Release(b.id)
		b.id = 0
	}
}

// restDivisors are the parts of the longest body that the buffer of a body in chunks has room for, one after the
// other. While it grows from one to the next both are held: doubling would take three times the memory reserved.
var restDivisors = [...]int{64, 8, 1}

// readWhole reads a body of an announced length.
func (b *requestBody) readWhole() ([]byte, error) {
	body := make([]byte, b.length)
	_, err := io.ReadFull(b, body)
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

// refuseBody refuses a call whose body hasn't been read.
func (e *Entry) refuseBody(ctx *fasthttp.RequestCtx, n int, v bodies.Verdict) {
	refusal := routing.Refusal{Reason: routing.BodyMemory, Outcome: routing.NotRun, RetryAfter: memoryRetryAfter}
	if v == bodies.TooLate {
		refusal.Reason, refusal.RetryAfter = routing.BodyTooLate, max(minLinkRetryAfter, e.bodies.Backlog())
	}
	e.Log.WithFields(logrus.Fields{
		"kind": "body-refused", "call": string(ctx.Request.Header.Peek(e.Settings.Entry.CallIDHeader)), "reason": refusal.Reason, "bytes": n, "memory": e.bodies.Status(),
	}).Warning("a call is refused before its body is read")
	ctx.SetConnectionClose()
	e.refuseUnread(ctx, refusal)
}
