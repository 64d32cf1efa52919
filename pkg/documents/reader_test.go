package documents

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/madderpond/madderpond/pkg/fault"
)

// longestBytes is the size of the longest body in these tests.
const longestBytes = 256 << 10

// startServer serves requests with a reader, and answers with the length of the body or with the kind of the
// error. A request for /wait is answered once the channel is closed.
func startServer(t *testing.T, r *Reader) (dial func() net.Conn, release chan struct{}) {
	l := fasthttputil.NewInmemoryListener()
	t.Cleanup(func() { l.Close() })
	wait := make(chan struct{})
	s := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: longestBytes, Handler: func(ctx *fasthttp.RequestCtx) {
		done, err := r.Load(ctx, longestBytes)
		if err != nil {
			ctx.SetConnectionClose()
			fmt.Fprint(ctx, fault.KindOf(err))
			return
		}
		defer done()
		if string(ctx.Path()) == "/wait" {
			<-wait
		}
		fmt.Fprint(ctx, len(ctx.PostBody()))
	}}
	go s.Serve(l)
	return func() net.Conn {
		c, err := l.Dial()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}, wait
}

func answerTo(t *testing.T, c net.Conn, request string) string {
	c.SetDeadline(time.Now().Add(10 * time.Second))
	go fmt.Fprint(c, request)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	var text string
	fmt.Fscan(a.Body, &text)
	return text
}

func put(path string, size int) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
}

func TestBodiesAreReadWithinTheirLimit(t *testing.T) {
	dial, _ := startServer(t, NewReader(1, longestBytes))
	chunked := "PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, request, want string }{
		{"none", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "0"},
		{"small", put("/", 5), "5"},
		{"longest", put("/", longestBytes), fmt.Sprint(longestBytes)},
		{"too long", put("/", longestBytes+1), string(fault.TooLarge)},
		{"in chunks", chunked + "3\r\nabc\r\n0\r\n\r\n", "3"},
		{"too long in chunks", chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", longestBytes+1, strings.Repeat("x", longestBytes+1)), string(fault.TooLarge)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := answerTo(t, dial(), c.request); got != c.want {
				t.Errorf("the answer is %s, not %s", got, c.want)
			}
		})
	}
}

// A long body is refused while another one takes the memory; a small one isn't.
func TestALongBodyIsRefusedWithoutMemory(t *testing.T) {
	r := NewReader(1, longestBytes)
	dial, wait := startServer(t, r)
	first := make(chan string)
	go func() { first <- answerTo(t, dial(), put("/wait", longestBytes)) }()
	for r.memory.Status().Used == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := answerTo(t, dial(), put("/", longestBytes)); got != string(fault.Unavailable) {
		t.Errorf("the second long body got %s", got)
	}
	if got := answerTo(t, dial(), put("/", 5)); got != "5" {
		t.Errorf("a small body got %s", got)
	}
	close(wait)
	if got := <-first; got != fmt.Sprint(longestBytes) {
		t.Errorf("the first long body got %s", got)
	}
	if got := answerTo(t, dial(), put("/", longestBytes)); got != fmt.Sprint(longestBytes) {
		t.Errorf("a later long body got %s", got)
	}
}
