// Package target does the I/O with targets: connections, sends and probes. It makes no routing
// decisions; the result of each send is returned to the core unchanged.
package target

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/madderpond/madderpond/pkg/traffic"
	"github.com/madderpond/madderpond/pkg/units"
)

// countingConn counts the bytes written to the network, so that a send that failed before its
// first byte can be told from one that may have reached the target.
type countingConn struct {
	net.Conn
	written int64
	// writeFailed is set once the network has refused a write.
	writeFailed atomic.Bool
	// beforeWrite is called once, right before the next write, which fails with its error; nil
	// means no check. The process may be paused at any moment, so the check is made as close to
	// the write as possible, so that outdated decisions are rarely sent.
	beforeWrite func() error
}

// Write counts the bytes written, also those of a write that fails midway.
func (c *countingConn) Write(p []byte) (int, error) {
	if check := c.beforeWrite; check != nil {
		c.beforeWrite = nil
		if err := check(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// conn is a connection to a target. It is used by one attempt at a time, and never reused while
// a response on it is outstanding.
type conn struct {
	raw       *countingConn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince units.Instant
	// keepAliveTimeout is for how long the target keeps the connection open while it is idle;
	// zero if it didn't say.
	keepAliveTimeout time.Duration
}

// bufferSize is the size in bytes of the read buffer and of the write buffer of a connection.
const bufferSize = 4 << 10

func newConn(raw net.Conn) *conn {
	counting := &countingConn{Conn: raw}
	return &conn{
		raw:    counting,
		reader: bufio.NewReaderSize(raw, bufferSize),
		writer: bufio.NewWriterSize(counting, bufferSize),
	}
}

// isUsable reports whether an idle connection is open and has no unread input. It checks the
// socket without blocking.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return isOpen(c.raw.Conn) && !hasInput(c.raw.Conn)
}

// isNearKeepAliveEnd reports whether the target may be about to close an idle connection.
func (c *conn) isNearKeepAliveEnd(now units.Instant) bool {
	return c.keepAliveTimeout > 0 && now.Sub(c.idleSince) > c.keepAliveTimeout-keepAliveMargin
}

// keepAliveMargin is how long before the end of a target's keep-alive timeout a connection is no
// longer reused: a request sent in the last moment could meet the target's close.
const keepAliveMargin = time.Second

// HasInput reports whether received bytes of a connection haven't been read.
func HasInput(c net.Conn) bool { return hasInput(c) }

// IsOpen reports whether the peer hasn't closed a connection.
func IsOpen(c net.Conn) bool { return isOpen(c) }

func isOpen(c net.Conn) bool {
	n, err := peek(c)
	if err == nil {
		return n > 0
	}
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}

func hasInput(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek reads the first received byte without consuming it or waiting for it. It returns zero
// without an error if the peer has closed the connection.
func peek(c net.Conn) (n int, err error) {
	holder, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	var peekErr error
	// Control, unlike Read, ignores the connection's read deadline, which may have expired while
	// a call was in flight.
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}

// dial connects to an address, from a source IP address if that is valid, and counts the traffic unless
// the counter is nil.
func dial(ctx context.Context, source netip.Addr, address string, counter *traffic.Counter) (*conn, error) {
	var d net.Dialer
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if counter != nil {
		raw = traffic.Count(raw, counter)
	}
	return newConn(raw), nil
}
