package transport

import (
	"net"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/wire"
)

// slowClosingConn is a connection whose Close blocks until it is released.
type slowClosingConn struct {
	net.Conn
	release chan struct{}
}

func (c *slowClosingConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// Receive must return before the underlying connection is closed: a yamux stream reader spins from the end of its
// session until then, and takes a whole processor.
func TestReceiveEndsBeforeTheConnectionBelow(t *testing.T) {
	const receiveTimeout = 10 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed := make(chan *Conn, 1)
	go func() {
		c, err := Dial(listener.Addr().String(), nil, &wire.Hello{Box: "b"})
		if err != nil {
			t.Error(err)
		}
		dialed <- c
	}()
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	conn := &slowClosingConn{Conn: raw, release: release}
	c, _, err := accept(conn, conn, nil)
	if err != nil {
		t.Fatal(err)
	}
	// The connection must not end while the dialing side is still sending its hello.
	if dialer := <-dialed; dialer != nil {
		defer dialer.Close()
	}
	ended := make(chan error, 1)
	go func() {
		_, err := c.Receive()
		ended <- err
	}()
	closed := make(chan error, 1)
	go func() { closed <- c.Close() }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("Receive returned a message that wasn't sent")
		}
	case <-time.After(receiveTimeout):
		t.Error("Receive still blocks while the connection is being closed")
	}
	close(release)
	if err := <-closed; err != nil {
		t.Error(err)
	}
}
