package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/rawserver"
)

const (
	// uploadedBytes is more than the system buffers of a connection.
	uploadedBytes = 32 << 20
	// earlyLimit is how much of a response is buffered in these tests. One that begins with longBeginning is streamed.
	earlyLimit    = 64 << 10
	longBeginning = earlyLimit + 1000
)

// startEarlyTarget starts a target that answers a request before it has read its body: with the beginning of a response
// without a length. Then it calls end.
func startEarlyTarget(t *testing.T, bodyBytes int, end func(c *net.TCPConn, body io.Reader)) string {
	return rawserver.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", make([]byte, bodyBytes))
		end(c.(*net.TCPConn), r.Body)
	})
}

// resetAfter returns an end of a response that resets its connection.
func resetAfter(d time.Duration) func(c *net.TCPConn, _ io.Reader) {
	return func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(d)
		c.SetLinger(0)
	}
}

// closeOrderly ends a response in order, and reads the rest of the request.
func closeOrderly(c *net.TCPConn, body io.Reader) {
	c.CloseWrite()
	io.Copy(io.Discard, body)
}

func newUpload(t *testing.T, address string) *Attempt {
	pools := newPools(earlyLimit)
	a := pools.NewAttempt(&routing.Effect{
		Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: address, Registered: true},
		Deadline: pools.clock.Now().Add(20 * time.Second), NotAfter: pools.clock.Now().Add(time.Minute),
	})
	a.Request.Header.SetMethod(fasthttp.MethodPost)
	a.Request.SetRequestURI("/")
	a.Request.Header.SetHost("s")
	t.Cleanup(a.Release)
	return a
}

// A body that was cut off by a reset looked whole when the write of the request had met that first.
func TestAResetThatAWriteHasMet(t *testing.T) {
	for name, s := range map[string]struct {
		end  func(c *net.TCPConn, body io.Reader)
		want routing.AttemptResult
	}{
		"reset at once":    {resetAfter(0), routing.Broken},
		"reset after 5 ms": {resetAfter(5 * time.Millisecond), routing.Broken},
		"reset after 0.1s": {resetAfter(100 * time.Millisecond), routing.Broken},
		"closed in order":  {closeOrderly, routing.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			a := newUpload(t, startEarlyTarget(t, len("part"), s.end))
			a.Request.SetBodyRaw(make([]byte, uploadedBytes))
			if result, _ := a.Run(); result != s.want {
				t.Errorf("the call ended as %s with %q, not %s", result, a.Body(), s.want)
			}
		})
	}
}

// pacedBody is a body of a request that comes in pieces, with a pause before each.
type pacedBody struct {
	left  int
	pause time.Duration
	// awaited is closed when the next piece may come; nil means at once.
	awaited <-chan struct{}
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.awaited != nil {
		<-b.awaited
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(b.left, len(p))
	b.left -= n
	return n, nil
}

func (b *pacedBody) Length() int { return b.left }
func (b *pacedBody) Abort()      {}

// A streamed request is written by a goroutine of its own, so either side may meet the reset.
func TestAResetBesideAStreamedRequest(t *testing.T) {
	for name, s := range map[string]struct {
		end  func(c *net.TCPConn, body io.Reader)
		want routing.AttemptResult
	}{
		"reset":           {resetAfter(20 * time.Millisecond), routing.Broken},
		"closed in order": {closeOrderly, routing.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			address := startEarlyTarget(t, len("part"), s.end)
			var wait sync.WaitGroup
			for range 40 {
				wait.Go(func() {
					a := newUpload(t, address)
					a.BodyStream = &pacedBody{left: 3 << 20, pause: 500 * time.Microsecond}
					result, _ := a.Run()
					if result != s.want {
						t.Errorf("the call ended as %s with %q, not %s", result, a.Body(), s.want)
					}
				})
			}
			wait.Wait()
		})
	}
}

// The same on a response that is already passed on when the reset comes: it must not look whole.
func TestAResetOfAStreamedResponse(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	address := startEarlyTarget(t, longBeginning, func(c *net.TCPConn, _ io.Reader) {
		<-begun
		c.SetLinger(0)
		c.Close()
		close(ended)
	})
	a := newUpload(t, address)
	a.BodyStream = &pacedBody{left: 3 << 20, awaited: ended}
	result, streaming := a.Run()
	close(begun)
	if !streaming {
		t.Fatalf("the call ended as %s", result)
	}
	// The write of the request meets the reset first.
	<-a.upload.done
	n, err := io.Copy(io.Discard, a.Stream(nil))
	if err == nil {
		t.Errorf("the response looks whole after %d bytes", n)
	}
	a.finish()
}
