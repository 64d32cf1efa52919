package transport

import (
	"net"
	"sync"
	"time"
)

// sessionConn is the connection below a session. A session that ends closes it before its streams, and whoever
// reads from a stream meanwhile goes round without a pause: a process of one processor does nothing else until it
// is preempted. So the sessionConn ends the read first.
type sessionConn struct {
	net.Conn
	lock   sync.Mutex
	stream net.Conn
}

// setStream takes the session's stream.
func (c *sessionConn) setStream(stream net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.stream = stream
}

// Close ends what reads from the stream, and the connection. What has come already can still be read.
func (c *sessionConn) Close() error {
	c.lock.Lock()
	stream := c.stream
	c.lock.Unlock()
	if stream != nil {
		// A stream takes any deadline.
		_ = stream.SetReadDeadline(time.Unix(0, 1))
	}
	return c.Conn.Close()
}
