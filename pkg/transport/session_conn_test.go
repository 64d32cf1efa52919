package transport

import (
	"net"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/wire"
)

// slowToClose is a connection whose end takes until it is let go.
type slowToClose struct {
	net.Conn
	letGo chan struct{}
}

func (c *slowToClose) Close() error {
	<-c.letGo
	return c.Conn.Close()
}

// Whoever waits for a message hears of the connection's end before the connection below is closed: until then
// the wait would take a whole processor.
func TestReceiveEndsBeforeTheConnectionBelow(t *testing.T) {
	const patience = 10 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled := make(chan *Conn, 1)
	go func() {
		c, err := Dial(listener.Addr().String(), nil, &wire.Hello{Box: "b"})
		if err != nil {
			t.Error(err)
		}
		dialled <- c
	}()
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	letGo := make(chan struct{})
	c, _, err := accept(&slowToClose{Conn: raw, letGo: letGo}, nil)
	if err != nil {
		t.Fatal(err)
	}
	// The connection must not end while its other side is still saying who it is.
	if other := <-dialled; other != nil {
		defer other.Close()
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
	case <-time.After(patience):
		t.Error("the wait for a message goes on while the connection is closed")
	}
	close(letGo)
	if err := <-closed; err != nil {
		t.Error(err)
	}
}
