package lab

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestATargetThatHangsAnswersNothingMoreOnThatConnection fills a target's slots and
// queue; a call beyond them must get no answer, and neither may a later request on its
// connection.
func TestATargetThatHangsAnswersNothingMoreOnThatConnection(t *testing.T) {
	target, err := StartTarget(TargetSettings{Name: "t", Listen: "127.0.0.1:0", Slots: 1, Queue: 0, Work: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Stop)
	target.SetBehavior(Behavior{Hang: true})
	busy := sendRequest(t, target, "/")
	awaitInFlight(t, target)
	dropped := sendRequest(t, target, "/")
	if _, err := dropped.Write([]byte("GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	expectNoBytes(t, dropped)
	// Other connections are still served.
	if status, _, err := fasthttp.Get(nil, "http://"+target.Address()+"/healthz"); err != nil || status != fasthttp.StatusOK {
		t.Errorf("health check on another connection: status %d, error %v", status, err)
	}
	busy.Close()
}

func sendRequest(t *testing.T, target *Target, path string) net.Conn {
	conn, err := net.Dial("tcp", target.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: t\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	return conn
}

func awaitInFlight(t *testing.T, target *Target) {
	for end := time.Now().Add(5 * time.Second); target.inFlight.Load() == 0; {
		if time.Now().After(end) {
			t.Fatal("the call did not reach the target")
		}
		time.Sleep(time.Millisecond)
	}
}

func expectNoBytes(t *testing.T, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	n, err := conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); n > 0 || !ok || !timeout.Timeout() {
		t.Errorf("read %d bytes, error %v; want a read timeout", n, err)
	}
}
