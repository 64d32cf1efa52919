// Package rawserver serves the connections of tests.
package rawserver

import (
	"net"
	"testing"
)

// Serve listens on an address of its own until the test ends. It serves each connection on a goroutine, and closes it
// then.
func Serve(t testing.TB, serve func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}
