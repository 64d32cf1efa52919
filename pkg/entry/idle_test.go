package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/target"
)

// A call that came on a kept connection just as the box closed that was sent to a target, and its answer
// was lost; later its caller was told of a success that no target had given.
func TestACallOnAConnectionThatTheBoxClosesIsNotSent(t *testing.T) {
	x := startLinkTarget(t)
	e := startLinkBox(t, x, linkMbps)
	c, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	call := func() (*http.Response, error) {
		fmt.Fprint(c, "GET /short HTTP/1.1\r\nHost: vault\r\n\r\n")
		a, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
		}
		return a, err
	}
	if a, err := call(); err != nil || a.StatusCode != http.StatusOK {
		t.Fatalf("the first call got %v, %v", a, err)
	}
	await(t, "an idle connection", func() bool {
		e.admission.lock.Lock()
		defer e.admission.lock.Unlock()
		return len(e.admission.idle) == 1
	})
	e.admission.lock.Lock()
	for idle := range e.admission.idle {
		idle.closedIdle.Store(true)
	}
	e.admission.lock.Unlock()
	a, err := call()
	if err != nil || a.StatusCode != http.StatusServiceUnavailable || a.Header.Get(target.OutcomeHeader) != routing.NotRun.String() {
		t.Errorf("the call got %+v, %v, not a refusal that says that it wasn't run", a, err)
	}
	if n := x.calls.Load(); n != 1 {
		t.Errorf("the target got %d calls, not 1", n)
	}
}
