package transport

import (
	"net"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/wire"
)

// slowClosingConn is a connection whose end takes until it is let go.
type slowClosingConn struct {
	net.Conn
	release chan struct{}
}

func (c *slowClosingConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// Whoever waits for a message hears of the connection's end before the connection below is closed: until then
// the wait would take a whole processor.
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
	c, _, err := accept(&slowClosingConn{Conn: raw, release: release}, nil)
	if err != nil {
		t.Fatal(err)
	}
	// The connection must not end while its dialer side is still saying who it is.
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
			t.Error("a message came out of nothing")
		}
	case <-time.After(receiveTimeout):
		t.Error("the wait for a message goes on while the connection is closed")
	}
	close(release)
	if err := <-closed; err != nil {
		t.Error(err)
	}
}
