package traffic

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// awaitTimeout bounds how long a test waits for bytes to come.
const awaitTimeout = 10 * time.Second

// pipe returns the two ends of a connection, the first of which is counted.
func pipe(t *testing.T) (*Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sender, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		sender.Close()
		receiver.Close()
	})
	return Count(receiver, &Counter{}), sender
}

// control calls a function with the connection's descriptor.
func control(t *testing.T, c *Conn, f func(fd int) error) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil || inner != nil {
		t.Fatal(err, inner)
	}
}

// awaitBytes waits until a number of unread bytes has come.
func awaitBytes(t *testing.T, c *Conn, want int) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		n := 0
		control(t, c, func(fd int) (err error) {
			n, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
			return err
		})
		if n == want {
			return
		}
		if time.Since(began) > awaitTimeout {
			t.Fatalf("%d bytes have come, not %d", n, want)
		}
	}
}

// isReadable reports whether a Read that waits for the connection would be woken.
func isReadable(t *testing.T, c *Conn) bool {
	t.Helper()
	ready := 0
	control(t, c, func(fd int) (err error) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err
	})
	return ready > 0
}

// A slow sender's bytes were read one packet at a time, each of which took processor time.
func TestAReadWaitsForTheLowWaterMark(t *testing.T) {
	const mark = 64
	c, sender := pipe(t)
	if err := c.SetReadLowWater(mark); err != nil {
		t.Fatal(err)
	}
	if _, err := sender.Write(make([]byte, mark-1)); err != nil {
		t.Fatal(err)
	}
	awaitBytes(t, c, mark-1)
	if isReadable(t, c) {
		t.Errorf("a read is woken by %d bytes, %d is the mark", mark-1, mark)
	}
	if _, err := sender.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	awaitBytes(t, c, mark)
	if !isReadable(t, c) {
		t.Errorf("no read is woken by %d bytes", mark)
	}
}

// A sender that ends the connection below the mark isn't waited for.
func TestTheEndOfAConnectionIsReadBelowTheMark(t *testing.T) {
	c, sender := pipe(t)
	if err := c.SetReadLowWater(1000); err != nil {
		t.Fatal(err)
	}
	sender.Write([]byte("x"))
	sender.Close()
	c.SetReadDeadline(time.Now().Add(awaitTimeout))
	data, err := io.ReadAll(c)
	if err != nil || len(data) != 1 {
		t.Errorf("%d bytes were read, not 1: %v", len(data), err)
	}
}
