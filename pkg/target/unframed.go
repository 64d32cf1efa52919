package target

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

var errReset = errors.New("the target has reset the connection")

// unframedBody is the body of a response without a length, which is whole if the target has closed the connection in
// order behind it.
type unframedBody struct {
	reader *bufio.Reader
	conn   *conn
}

// Read reads from the body.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF && b.conn.wasReset() {
		err = errReset
	}
	return n, err
}

// wasReset reports whether the target has reset a connection whose input has ended. The system tells of a reset once:
// if a write has met it, reads get the same end as that of a connection which was closed in order.
func (c *conn) wasReset() bool {
	return c.raw.writeFailed.Load() || isClosedBothWays(c.raw.Conn)
}

// tcpClose is the state of a connection that a reset has ended. A peer that only closes its side leaves it in the state
// CLOSE_WAIT.
const tcpClose = 7

// isClosedBothWays reports whether a TCP connection can't be written any more; false if that isn't known.
func isClosedBothWays(c net.Conn) bool {
	holder, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose
	})
	return err == nil && closed
}
