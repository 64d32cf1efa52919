package transport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/wire"
)

func dialRelay(t *testing.T, address string, hello *wire.Hello) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return DialRelay(ctx, address, nil, hello)
}

func TestARelayConnectionCarriesBytesOfTheBoxThatDialed(t *testing.T) {
	l := listen(t, func(*wire.Hello, *Conn) { t.Error("the connection was served as a session") })
	l.ServeRelays(func(hello *wire.Hello, c *RelayConn) {
		if hello.Box != "b" || c.Box != "b" {
			t.Errorf("the connection is said to come from %q and %q", hello.Box, c.Box)
		}
		io.Copy(c, c)
	})
	c, err := dialRelay(t, l.Address(), &wire.Hello{Box: "b"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 5)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "hello" {
		t.Fatalf("received %q, %v", got, err)
	}
}

// A call must not be sent to a process that doesn't take part: its outcome would be unknown.
func TestARelayConnectionThatIsNotAcceptedIsNoConnection(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	withoutRelays := listen(t, func(*wire.Hello, *Conn) {})
	relays := listen(t, func(*wire.Hello, *Conn) {})
	relays.ServeRelays(func(*wire.Hello, *RelayConn) { t.Error("a connection without a box's name was served") })
	for _, x := range []struct{ name, address, box string }{
		{"a process that accepts no relays", withoutRelays.Address(), "b"},
		{"a process that doesn't answer", silent.Addr().String(), "b"},
		{"a box without a name", relays.Address(), ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			if c, err := DialRelay(ctx, x.address, nil, &wire.Hello{Box: x.box}); err == nil {
				c.Close()
				t.Fatal("the connection was made")
			}
		})
	}
}

func TestAnUnknownPrefaceIsRefused(t *testing.T) {
	l := listen(t, func(*wire.Hello, *Conn) { t.Error("the connection was served as a session") })
	l.ServeRelays(func(*wire.Hello, *RelayConn) { t.Error("the connection was served as a relay") })
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("madderpond relay 9\nGET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatalf("received %d bytes", n)
	}
}
