package entry

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/listening"
	"github.com/madderpond/madderpond/pkg/traffic"
)

// settleTime is how long new connections wait before they are refused, until the heads of the calls on those
// that were just accepted have been read.
const settleTime = 5 * time.Millisecond

// shortagePause is for how long connections are refused after there was no descriptor for one.
const shortagePause = 100 * time.Millisecond

// reopenRetryInterval is the time between two attempts to open the listener again.
const reopenRetryInterval = 20 * time.Millisecond

// gatedListener accepts callers' connections while the box's link and processor can carry more calls.
// Otherwise it closes the socket that it listens on, so that the operating system refuses connections:
// a connection that is accepted and closed would have brought a request over the link.
type gatedListener struct {
	admission *admission
	lingerer  *lingerer
	address   net.Addr
	done      chan struct{}
	// maxConns is how many connections may be open, openConns how many are.
	maxConns  int64
	openConns atomic.Int64
	// lock guards inner, which is nil while connections are refused.
	lock  sync.Mutex
	inner net.Listener
}

// callerConn is a caller's connection.
type callerConn struct {
	*traffic.Conn
	// activeAt is when the first byte of the present request came.
	activeAt time.Time
	// closedIdle is set once the box closes it as one without a call in flight.
	closedIdle atomic.Bool
	// lingerUntil is until when what the caller still sends is dropped before the connection is closed; zero for
	// a connection without an unread request.
	lingerUntil time.Time
	// listener has accepted the connection, and counts it until it is closed for the first time.
	listener *gatedListener
	closing  sync.Once
}

// Close closes the connection. If a request on it wasn't read to its end, the caller gets its answer first.
func (c *callerConn) Close() error {
	if w, ok := c.Conn.Conn.(halfCloser); ok && !c.lingerUntil.IsZero() {
		c.listener.lingerer.linger(c, w, c.lingerUntil)
	}
	c.closing.Do(func() { c.listener.openConns.Add(-1) })
	return c.Conn.Close()
}

// wasClosedIdle reports whether the box has closed a connection while its call was coming. Such a call
// must not be sent to a target, since the caller can't get the answer.
func wasClosedIdle(c net.Conn) bool {
	x, ok := c.(*callerConn)
	return ok && x.closedIdle.Load()
}

func newGatedListener(l net.Listener, a *admission, d *lingerer, maxConns int) *gatedListener {
	return &gatedListener{admission: a, lingerer: d, maxConns: int64(maxConns), address: l.Addr(), inner: l, done: make(chan struct{})}
}

// Accept waits for a connection that the box can serve.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		inner, askAgainIn, err := l.open()
		if err != nil {
			return nil, err
		}
		c, err := acceptWithin(inner, askAgainIn)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if listening.IsShortage(err) {
			l.refuseForShortage(err)
			continue
		}
		if err != nil {
			return nil, err
		}
		if ok, _ := l.accepts(); !ok {
			// Calls on other connections have used up the capacity meanwhile.
			closeUnread(c)
			continue
		}
		l.admission.admit()
		l.openConns.Add(1)
		return &callerConn{Conn: traffic.Count(c, &l.admission.callers), listener: l}, nil
	}
}

// refuseForShortage refuses connections for a moment, since the process lacks descriptors or memory for them:
// otherwise they would wait unaccepted for as long as that lasts.
func (l *gatedListener) refuseForShortage(err error) {
	l.admission.log.WithError(err).Warning("no connection can be accepted now, so they are refused; raise the limit of open files")
	l.refuse()
	select {
	case <-l.done:
	case <-time.After(shortagePause):
	}
}

// accepts reports whether a connection may be accepted now, and when to ask again at the latest. Calls that were
// just accepted may turn out to need nothing yet.
func (l *gatedListener) accepts() (ok bool, askAgainIn time.Duration) {
	if l.openConns.Load() >= l.maxConns {
		// Their callers can open others at other boxes.
		l.admission.closeIdle()
		return false, maxAskInterval
	}
	if ok, askAgainIn = l.admission.accepts(); ok {
		return ok, askAgainIn
	}
	time.Sleep(settleTime)
	return l.admission.accepts()
}

// acceptWithin accepts a connection. The error is os.ErrDeadlineExceeded if there is none within a time;
// zero means no limit.
func acceptWithin(l net.Listener, limit time.Duration) (net.Conn, error) {
	if tcp, ok := l.(*net.TCPListener); ok {
		var deadline time.Time
		if limit > 0 {
			deadline = time.Now().Add(limit)
		}
		if err := tcp.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	return l.Accept()
}

// closeUnread closes a connection so that its caller can tell that nothing was read.
func closeUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// open returns the open inner listener once the box accepts connections, and after which time to call
// it again at the latest; zero means no limit.
func (l *gatedListener) open() (net.Listener, time.Duration, error) {
	for {
		ok, askAgainIn := l.accepts()
		if ok {
			inner, err := l.reopen()
			if inner != nil || err != nil {
				return inner, askAgainIn, err
			}
			askAgainIn = reopenRetryInterval
		} else {
			l.refuse()
		}
		select {
		case <-l.done:
			return nil, 0, net.ErrClosed
		case <-time.After(min(askAgainIn, maxAskInterval)):
		}
	}
}

// refuse closes the inner listener.
func (l *gatedListener) refuse() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.inner == nil {
		return
	}
	l.admission.refusedPeriods.Add(1)
	l.inner.Close()
	l.inner = nil
}

// reopen returns the inner listener, a new one if it was closed. It returns nil if the address can't be
// listened on at present.
func (l *gatedListener) reopen() (net.Listener, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	select {
	case <-l.done:
		return nil, net.ErrClosed
	default:
	}
	if l.inner != nil {
		return l.inner, nil
	}
	inner, err := net.Listen(l.address.Network(), l.address.String())
	if err != nil {
		l.admission.log.WithError(err).WithField("address", l.address.String()).Warning("the box can't listen for callers again; it tries again")
		return nil, nil
	}
	l.inner = inner
	return inner, nil
}

// Close stops accepting connections for good. The error is net.ErrClosed on a second call.
func (l *gatedListener) Close() error {
	l.lock.Lock()
	defer l.lock.Unlock()
	select {
	case <-l.done:
		return net.ErrClosed
	default:
	}
	close(l.done)
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr returns the address for callers, also while connections are refused.
func (l *gatedListener) Addr() net.Addr { return l.address }

// trackState notes when a request on a connection has begun, and keeps the set of idle connections up to date.
func (a *admission) trackState(c net.Conn, state fasthttp.ConnState) {
	x, ok := c.(*callerConn)
	if !ok {
		return
	}
	if state == fasthttp.StateActive {
		x.activeAt = time.Now()
	}
	a.setIdle(x, state == fasthttp.StateIdle)
}
