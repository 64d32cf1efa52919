// Package traffic counts the bytes that connections put on a box's link.
package traffic

import (
	"net"
	"sync/atomic"
	"syscall"
)

const (
	// packetHeaderBytes and packetBytes are the headers and the payload of a packet on most networks.
	packetHeaderBytes = 40
	packetBytes       = 1460
	// handshakeBytes are the packets that open and close a connection, in each direction.
	handshakeBytes = 3 * packetHeaderBytes
)

// Counter is the traffic of a group of connections since the start of the process, with an estimate
// of the packet headers. It may be used by several goroutines.
type Counter struct {
	received, sent atomic.Uint64
}

// Received returns the number of bytes received.
func (c *Counter) Received() uint64 { return c.received.Load() }

// Sent returns the number of bytes sent.
func (c *Counter) Sent() uint64 { return c.sent.Load() }

// Conn is a connection whose traffic is counted.
type Conn struct {
	net.Conn
	counter *Counter
}

// Count returns a connection whose traffic is added to a counter, and adds that of its opening.
func Count(inner net.Conn, c *Counter) *Conn {
	c.received.Add(handshakeBytes)
	c.sent.Add(handshakeBytes)
	return &Conn{Conn: inner, counter: c}
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(onLink(n))
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(onLink(n))
	return n, err
}

// SyscallConn returns the connection's socket. The error is a net.OpError if the inner connection has
// none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return inner.SyscallConn()
}

// SetReadBuffer sets the size of the socket's receive buffer. The error is a net.OpError if the inner connection
// has none.
func (c *Conn) SetReadBuffer(bytes int) error {
	inner, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok {
		return errNoSocket
	}
	return inner.SetReadBuffer(bytes)
}

// SetReadLowWater sets how many bytes must have come before a Read that waits returns, unless the peer ends the
// connection. The error is a net.OpError if the inner connection has no socket, else that of the system.
func (c *Conn) SetReadLowWater(bytes int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVLOWAT, bytes)
	})
	if err != nil {
		return err
	}
	return setErr
}

var errNoSocket = &net.OpError{Op: "syscall", Err: syscall.ENOTSOCK}

// onLink returns the bytes of payload and headers that n bytes of payload take.
func onLink(n int) uint64 {
	if n <= 0 {
		return 0
	}
	packets := (n + packetBytes - 1) / packetBytes
	return uint64(n + packets*packetHeaderBytes)
}
