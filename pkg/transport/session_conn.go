package transport

import (
	"net"
	"sync"
	"time"
)

// sessionConn is the connection below a yamux session. When a session ends, it closes the connection before its
// streams, and a reader of a stream spins in between: on a single processor nothing else runs until it is
// preempted. sessionConn therefore ends the read before it closes the connection.
type sessionConn struct {
	net.Conn
	lock   sync.Mutex
	stream net.Conn
}

// setStream sets the session's stream, whose read Close ends.
func (c *sessionConn) setStream(stream net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.stream = stream
}

// Close ends a read from the stream, then closes the connection. Data that has already arrived can still be read.
func (c *sessionConn) Close() error {
	c.lock.Lock()
	stream := c.stream
	c.lock.Unlock()
	if stream != nil {
		// SetReadDeadline of a yamux stream never fails.
		_ = stream.SetReadDeadline(time.Unix(0, 1))
	}
	return c.Conn.Close()
}
