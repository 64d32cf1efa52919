package transport

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/wire"
)

// listenSilently returns an address that accepts connections but sends nothing, or one that
// refuses connections.
func listenSilently(t *testing.T, accepting bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if !accepting {
		l.Close()
	} else {
		t.Cleanup(func() { l.Close() })
	}
	return l.Addr().String()
}

// listenWithFullBacklog returns an address whose backlog of new connections is full, so that
// further attempts to connect get no answer.
func listenWithFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
}

func TestTheFirstAddressThatAnswersIsTaken(t *testing.T) {
	refusing, answering, unresponsive := listenSilently(t, false), listenSilently(t, true), listenWithFullBacklog(t)
	scenarios := []struct {
		testName  string
		addresses []string
		want      int
	}{
		{"the preferred one", []string{answering, refusing}, 0},
		{"the next after one that refuses", []string{refusing, answering}, 1},
		{"the last after two that refuse", []string{refusing, refusing, answering}, 2},
		{"one that answers beside one that says nothing", []string{unresponsive, answering}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			conn, i, err := DialFirst(ctx, s.addresses, nil, &wire.Hello{Box: "b"})
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if i != s.want {
				t.Errorf("connected to address %d, expected %d", i, s.want)
			}
		})
	}
}

func TestNoAddressAnswers(t *testing.T) {
	refusing := listenSilently(t, false)
	for _, addresses := range [][]string{{refusing}, {refusing, refusing}, nil} {
		_, _, err := DialFirst(context.Background(), addresses, nil, &wire.Hello{Box: "b"})
		if fault.KindOf(err) != fault.Unavailable {
			t.Errorf("%d addresses: %v", len(addresses), err)
		}
	}
}
