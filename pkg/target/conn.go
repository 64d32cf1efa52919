// Package target is the shell towards the targets: connections, sends, probes.
// It decides nothing; what a send came to goes back to the core as it is.
package target

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// countingConn counts the bytes handed to the network, so that a send which
// failed before its first byte can be told from one that may have arrived.
type countingConn struct {
	net.Conn
	written int64
	// beforeWrite is asked once, right before the next byte, whether that may still be written; nil asks
	// nobody. A process may stand still at any moment: the less time there is between the beforeWrite and
	// the write, the seldomer it writes what was decided long ago.
	beforeWrite func() error
}

// Write counts what the network took; a failed write reports that too.
func (c *countingConn) Write(p []byte) (int, error) {
	if look := c.beforeWrite; look != nil {
		c.beforeWrite = nil
		if err := look(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// conn is a connection to a target. It is used by one attempt at a time, and
// never again once an answer on it is owed.
type conn struct {
	raw       *countingConn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince units.Instant
	// keepAliveTimeout is how long the target said that it keeps the connection; zero when it
	// didn't say.
	keepAliveTimeout time.Duration
}

const bufferSize = 4 << 10

func newConn(raw net.Conn) *conn {
	counting := &countingConn{Conn: raw}
	return &conn{
		raw:    counting,
		reader: bufio.NewReaderSize(raw, bufferSize),
		writer: bufio.NewWriterSize(counting, bufferSize),
	}
}

// isUsable tells whether an idle connection is still open and silent. It looks at
// the socket without waiting.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return isOpen(c.raw.Conn) && !hasInput(c.raw.Conn)
}

// isNearKeepAliveEnd tells whether the target may be about to close a connection that rests since
// it was last used.
func (c *conn) isNearKeepAliveEnd(now units.Instant) bool {
	return c.keepAliveTimeout > 0 && now.Sub(c.idleSince) > c.keepAliveTimeout-keepAliveMargin
}

// keepAliveMargin is left of the time that a target keeps a connection: what is sent in
// the last moment meets its close.
const keepAliveMargin = time.Second

// IsOpen tells whether the other side of a connection hasn't hung up.
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

// peek looks at the first byte that has come in, without taking it or waiting
// for it.
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
	// Control, unlike Read, doesn't mind the connection's read deadline, which may
	// have passed while a call was under way.
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}

func dial(ctx context.Context, address string) (*conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}
