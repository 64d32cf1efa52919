package transport

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/wire"
)

// testGate admits connections once it is open.
type testGate struct{ open chan struct{} }

func (g testGate) Wait(netip.Addr) { <-g.open }

func TestAGateHoldsConnectionsUp(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := testGate{open: make(chan struct{})}
	served := make(chan string, 1)
	l, err := Listen("127.0.0.1:0", "here", nil, logrus.NewEntry(log), gate, func(hello *wire.Hello, _ *Conn) { served <- hello.Box })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial(l.Address(), nil, &wire.Hello{Box: "b"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case <-served:
		t.Fatal("the connection was served before the gate was opened")
	case <-time.After(50 * time.Millisecond):
	}
	close(gate.open)
	if box := <-served; box != "b" {
		t.Errorf("box %q was served", box)
	}
}
