package target

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// TestASilentConnectionIsNeverUsedAgain has a target answer only the first call on each
// connection. The second call gets no response, ends as broken when it is canceled, and its
// connection is closed. The third call gets a new connection.
func TestASilentConnectionIsNeverUsedAgain(t *testing.T) {
	target := startStubTarget(t, `HTTP/1.1 200 OK\nContent-Length: 0\n\n`+"\n")
	pools := newTestPools()
	address := target.address
	if got := callOnce(pools, address, "", false); got != `answered "", connections kept: 1` {
		t.Fatalf("the first call: %s", got)
	}

	silent := newTestAttempt(pools, address)
	ended := make(chan routing.AttemptResult, 1)
	go func() {
		result, _ := silent.Run()
		ended <- result
	}()
	select {
	case result := <-ended:
		t.Fatalf("the second call ended as %s", result)
	case <-time.After(50 * time.Millisecond):
	}
	silent.Cancel()
	if result := <-ended; result != routing.Broken {
		t.Errorf("a call that was sent and given up ended as %s", result)
	}
	silent.Release()
	if open := pools.Status(); len(open) != 0 {
		t.Errorf("connections are left: %+v", open)
	}

	if got := callOnce(pools, address, "", false); got != `answered "", connections kept: 1` {
		t.Errorf("the third call: %s", got)
	}
}

// TestAProbeOfASilentConnectionEnds has the target stop answering on the connection that a probe
// uses: the probe must time out, and not count as one that couldn't reach the target.
func TestAProbeOfASilentConnectionEnds(t *testing.T) {
	target := startStubTarget(t, `HTTP/1.1 200 OK\nContent-Length: 0\n\n`+"\n")
	pools := newTestPools()
	pools.settings.ConnectTimeout = 100 * time.Millisecond
	address := target.address
	callOnce(pools, address, "", false)
	ended := pools.Probe(&routing.Effect{
		Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: address, Registered: true},
		NotAfter: pools.clock.Now().Add(time.Minute),
	})
	if ended.Healthy || ended.Unreachable {
		t.Errorf("the probe ended as %+v", ended)
	}
	if open := pools.Status(); len(open) != 0 {
		t.Errorf("connections are left: %+v", open)
	}
}

func newTestAttempt(pools *Pools, address string) *Attempt {
	a := pools.NewAttempt(&routing.Effect{
		Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: address, Registered: true},
		Deadline: pools.clock.Now().Add(10 * time.Second), NotAfter: pools.clock.Now().Add(time.Minute),
	})
	a.Request.SetRequestURI("/")
	a.Request.Header.SetHost("s")
	return a
}
