package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/units"
)

// A connection that is closed while received bytes are unread is reset, and the reset may overtake an
// answer that was just written. The box therefore ends its own direction first, and drops what the
// caller still sends.

const (
	// maxLingerTime bounds how long the rest of a request is dropped if its call has no deadline.
	maxLingerTime = 5 * time.Second
	// maxLingerBytes bounds what is dropped on one connection.
	maxLingerBytes = 64 << 20
	// lingerPieceBytes is how much is dropped at a time.
	lingerPieceBytes = 16 << 10
	// lingerLinkFraction is the part of the box's link that dropped bytes may take: nobody is served by them.
	lingerLinkFraction = 0.25
)

// lingerer drops the rest of requests whose callers have their answers.
type lingerer struct {
	clock *clock.Clock
	log   *logrus.Entry
	// rate is the number of bytes per second that are dropped on all connections together; zero is no limit.
	rate float64
	// active counts the connections that linger, or will once their answer is written.
	active atomic.Int64
	done   chan struct{}

	lock sync.Mutex
	// freeAt is when the next piece may be dropped.
	freeAt units.Instant
}

func newLingerer(c *clock.Clock, log *logrus.Entry, linkRate float64) *lingerer {
	return &lingerer{clock: c, log: log, rate: lingerLinkFraction * linkRate, done: make(chan struct{})}
}

// halfCloser is a connection whose sending direction can be ended alone.
type halfCloser interface{ CloseWrite() error }

// linger lets a caller read its answer before its connection is closed.
func (l *lingerer) linger(c net.Conn, w halfCloser, until time.Time) {
	defer l.active.Add(-1)
	if err := l.drop(c, w, until); err != nil {
		l.log.WithError(err).Debug("a connection with an unread request ended before its caller had sent all of that")
	}
}

// drop ends the sending direction of a connection, and drops what is received until the caller ends its own,
// a time has come, or too much was dropped.
func (l *lingerer) drop(c net.Conn, w halfCloser, until time.Time) error {
	if err := w.CloseWrite(); err != nil {
		return err
	}
	if err := c.SetReadDeadline(until); err != nil {
		return err
	}
	piece := make([]byte, lingerPieceBytes)
	for left := maxLingerBytes; left > 0; {
		n, err := c.Read(piece)
		left -= n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !l.pause(n) {
			return net.ErrClosed
		}
	}
	return nil
}

// pause waits until the link has room for further bytes that nobody needs. It returns false once the box stops.
func (l *lingerer) pause(n int) bool {
	if l.rate == 0 {
		return true
	}
	l.lock.Lock()
	now := l.clock.Now()
	l.freeAt = max(now, l.freeAt).Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.lock.Unlock()
	select {
	case <-l.done:
		return false
	case <-time.After(wait):
		return true
	}
}

// lingerCheckInterval is the time between two looks for connections that linger while the box stops.
const lingerCheckInterval = 10 * time.Millisecond

// stop waits until no connection lingers, or the context is done.
func (l *lingerer) stop(ctx context.Context) {
	defer close(l.done)
	for l.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lingerCheckInterval):
		}
	}
}

// lingerIfUnread has a caller's connection closed without a reset if the body of its request wasn't read to the
// end. It must be called once the call's answer is set.
func (e *Entry) lingerIfUnread(ctx *fasthttp.RequestCtx, body *requestBody) {
	if body.isRead() {
		return
	}
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.listener.lingerer.active.Add(1)
		c.lingerUntil = time.Now().Add(e.lingerTime(ctx))
	}
}

// lingerTime returns how long the rest of a call's request may be dropped.
func (e *Entry) lingerTime(ctx *fasthttp.RequestCtx) time.Duration {
	if d := e.requestedDeadline(ctx); d > 0 {
		return min(maxLingerTime, d)
	}
	return maxLingerTime
}
