package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/target"
)

// longBodyBytes is more than sockets and buffers hold, so that its sender notices whether it is read.
const longBodyBytes = 24 << 20

// sendWhole sends a request whose sender reads the answer only once it has sent all of the body, in pieces with
// a pause after each.
func sendWhole(address, head string, size int, pause time.Duration) (*http.Response, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(awaitTimeout))
	fmt.Fprintf(c, "POST / HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n", head, size)
	piece := bytes.Repeat([]byte("x"), 64<<10)
	for sent := 0; sent < size; {
		n, err := c.Write(piece[:min(len(piece), size-sent)])
		sent += n
		if err != nil {
			return nil, fmt.Errorf("after %d bytes: %w", sent, err)
		}
		time.Sleep(pause)
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// A caller that was still sending its body read a reset in place of the refusal.
func TestARefusalReachesACallerThatStillSends(t *testing.T) {
	e := startUploadBox(t)
	a, err := sendWhole(e.Address(), "Host: vault\r\n", longBodyBytes, 0)
	if err != nil {
		t.Fatal(err)
	}
	if a.StatusCode != http.StatusRequestEntityTooLarge || !a.Close {
		t.Errorf("the caller got %s, close %t", a.Status, a.Close)
	}
}

// A caller that goes on sending after a refusal is cut off in the end.
func TestACallerThatIgnoresItsRefusalIsCutOff(t *testing.T) {
	e := startUploadBox(t)
	began := time.Now()
	a, err := sendWhole(e.Address(), "Host: vault\r\nX-Deadline-Ms: 300\r\n", 100*longBodyBytes, 10*time.Millisecond)
	if err == nil {
		t.Fatalf("the caller sent all, and got %s", a.Status)
	}
	if took := time.Since(began); took > awaitTimeout/2 {
		t.Errorf("the caller was cut off after %s", took)
	}
}

// A caller that asks before it sends a body gets the refusal in place of the permission.
func TestACallerThatAsksFirstSendsNoBody(t *testing.T) {
	e := startUploadBox(t)
	c, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(awaitTimeout))
	ask := func(host string, size int) *http.Response {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", host, size)
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if a := ask("vault", 5); a.StatusCode != http.StatusContinue {
		t.Fatalf("a call that fits got %s", a.Status)
	}
	fmt.Fprint(c, "small")
	if a, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || a.StatusCode != http.StatusOK {
		t.Fatalf("the call got %v, %v", a, err)
	}
	a := ask("nowhere", uploadBytes)
	if a.StatusCode != routing.NoService.Status() || a.Header.Get(target.OutcomeHeader) != routing.NotRun.String() {
		t.Errorf("a call without a route got %s with %v", a.Status, a.Header)
	}
}
