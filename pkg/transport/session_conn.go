package transport

import (
	"net"
	"sync"
	"time"
)

// carrier is the connection below a session. A session that ends closes it before its streams, and whoever
// reads from a stream meanwhile goes round without a pause: a process of one processor does nothing else until it
// is preempted. So the carrier ends the read first.
type carrier struct {
	net.Conn
	lock   sync.Mutex
	stream net.Conn
}

// carry takes the session's stream.
func (c *carrier) carry(stream net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.stream = stream
}

// Close ends what reads from the stream, and the connection. What has come already can still be read.
func (c *carrier) Close() error {
	c.lock.Lock()
	stream := c.stream
	c.lock.Unlock()
	if stream != nil {
		// A stream takes any deadline.
		_ = stream.SetReadDeadline(time.Unix(0, 1))
	}
	return c.Conn.Close()
}
