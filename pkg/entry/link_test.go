package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/capacity"
	"github.com/madderpond/madderpond/pkg/core/table"
)

const (
	// linkMbps is the link rate of the boxes under test, in Mbit/s.
	linkMbps = 7
	// longestAnswer is the size in bytes of the longest answer of the route with large answers.
	longestAnswer = 540_000
	// shortAnswer is the size in bytes of the answers of other routes.
	shortAnswer = 400
	// awaitTimeout is how long a test waits for an expected event.
	awaitTimeout = 20 * time.Second
)

// linkTarget answers "/large?bytes=N" with N bytes, "/large?cut=N" with only N of the bytes that
// the response header announces, and everything else with a short body.
type linkTarget struct {
	address string
	body    []byte
	calls   atomic.Int64
}

func startLinkTarget(t *testing.T) *linkTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &linkTarget{address: l.Addr().String(), body: bytes.Repeat([]byte("x"), longestAnswer)}
	server := &fasthttp.Server{Handler: x.answer, Logger: logrus.New()}
	go server.Serve(l)
	t.Cleanup(func() { l.Close() })
	return x
}

func (x *linkTarget) answer(ctx *fasthttp.RequestCtx) {
	x.calls.Add(1)
	if cut := ctx.QueryArgs().GetUintOrZero("cut"); cut > 0 {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longestAnswer)
		if ctx.QueryArgs().Has("chunked") {
			head = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", longestAnswer)
		}
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			io.WriteString(c, head)
			c.Write(x.body[:cut])
			c.Close()
		})
		return
	}
	n := ctx.QueryArgs().GetUintOrZero("bytes")
	if n == 0 {
		n = shortAnswer
	}
	ctx.SetBodyStream(bytes.NewReader(x.body[:n]), n)
}

// startLinkBox starts a box with a link of mbps Mbit/s, one target, a route with large answers
// at /large and one with short ones at /.
func startLinkBox(t *testing.T, x *linkTarget, mbps float64) *Entry {
	return startTestBox(t, linkTable(x.address), func(s *config.Settings) { s.Entry.LinkMbps = mbps })
}

func linkTable(address string) *table.Table {
	v := table.NewTable()
	v.Revision = 1
	v.Routes = map[table.RouteKey]*table.Route{}
	v.Boxes = []table.Box{{ID: "me"}}
	service := table.Service{Name: "vault", Work: table.Repeatable, Deadline: time.Minute}
	v.Services["vault"] = &table.Entry{Service: service, Rows: table.RowsOf(table.Row{
		Service: "vault", Target: "v1", Address: address, Weight: 1, State: table.Active,
	})}
	for prefix, large := range map[string]bool{"/large": true, "/": false} {
		r := &table.Route{
			Name: prefix, Host: "vault", PathPrefix: prefix, Work: table.Repeatable, Deadline: time.Minute,
			LargeResponses: large, Services: []table.WeightedService{{Service: "vault", Weight: 1}}, MaxAttempts: 1,
		}
		v.Routes[r.Key()] = r
	}
	return v
}

// slowLink simulates a link that all connections share, first come, first served. Bytes reach their
// reader at once; only the time that they would have waited on the link is computed.
type slowLink struct {
	lock   sync.Mutex
	freeAt time.Time
}

func (l *slowLink) write(n int) (wait time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	wait = l.freeAt.Sub(now)
	l.freeAt = l.freeAt.Add(transferTime(n))
	return wait
}

// transferTime returns how long n bytes take on the link.
func transferTime(n int) time.Duration { return time.Duration(n) * time.Second * 8 / (linkMbps * 1e6) }

// linkListener accepts connections whose writes pass a slowLink.
type linkListener struct {
	net.Listener
	link *slowLink
	// shortWaits are the times that short answers waited on the link.
	lock       sync.Mutex
	shortWaits []time.Duration
}

func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: c, raw: c.(*net.TCPConn), listener: l}, nil
}

type linkConn struct {
	net.Conn
	raw      *net.TCPConn
	listener *linkListener
}

func (c *linkConn) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

func (c *linkConn) Write(p []byte) (int, error) {
	wait := c.listener.link.write(len(p))
	if bytes.Contains(p, []byte("Content-Length: "+strconv.Itoa(shortAnswer)+"\r\n")) {
		c.listener.lock.Lock()
		c.listener.shortWaits = append(c.listener.shortWaits, wait)
		c.listener.lock.Unlock()
	}
	return c.Conn.Write(p)
}

func get(address, path string) (int, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err
	}
	request.Host = "vault"
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	n, err := io.Copy(io.Discard, answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", answer.StatusCode)
	}
	return int(n), err
}

// A short answer waits on the link for at most a few pieces of large answers, not for whole
// answers: for one piece of each large answer that was just being written, and for the pieces that
// the pacer writes early to catch up.
func TestShortAnswersAreNotHeldBehindLargeOnes(t *testing.T) {
	const downloads, size, catchUpPieces = 4, 200_000, 2
	e := startLinkBox(t, startLinkTarget(t), linkMbps)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &linkListener{Listener: inner, link: &slowLink{}}
	go e.server.Serve(l)
	address := inner.Addr().String()
	var large sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(downloads)
	for range downloads {
		large.Add(1)
		go func() {
			defer large.Done()
			defer remaining.Add(-1)
			if n, err := get(address, "/large?bytes="+strconv.Itoa(size)); err != nil || n != size {
				t.Errorf("%d of %d bytes came: %v", n, size, err)
			}
		}()
	}
	await(t, "a large answer", func() bool { return e.pacer.Counts().InFlight > 0 })
	for remaining.Load() > 0 {
		if n, err := get(address, "/short"); err != nil || n != shortAnswer {
			t.Fatalf("%d of %d bytes came: %v", n, shortAnswer, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	large.Wait()
	l.lock.Lock()
	defer l.lock.Unlock()
	piece := transferTime(4 << 10)
	if len(l.shortWaits) == 0 {
		t.Fatal("no short answer was written")
	}
	for _, w := range l.shortWaits {
		if w > (downloads+catchUpPieces)*piece {
			t.Fatalf("a short answer waits for %s behind large ones, which is more than %d pieces", w, downloads+catchUpPieces)
		}
	}
}

// An answer that its target cuts short after part of it was forwarded must not look complete to the
// caller, with either framing. One that is cut short before that can still be retried at another
// target; here there is none, so the call is refused.
func TestAnAnswerCutShortBehindThePacerNeverLooksWhole(t *testing.T) {
	x := startLinkTarget(t)
	e := startLinkBox(t, x, linkMbps)
	for _, framing := range []string{"", "&chunked=1"} {
		n, err := get(e.Address(), "/large?cut=60000"+framing)
		if err == nil {
			t.Errorf("%q: %d bytes of a cut answer look whole", framing, n)
		}
	}
	if n, err := get(e.Address(), "/large?cut=8000"); err == nil || err.Error() != "status 502" {
		t.Errorf("an answer cut in its first bytes: %d bytes and %v, not a refusal", n, err)
	}
	await(t, "the end of all", func() bool { return e.pacer.Counts().InFlight == 0 })
	if c := e.pacer.Counts(); c.Incomplete != 2 {
		t.Errorf("%d answers count as cut short, not 2", c.Incomplete)
	}
}

// requestLongestAnswer opens a connection with a small read buffer and requests the longest answer.
func requestLongestAnswer(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprintf(c, "GET /large?bytes=%d HTTP/1.1\r\nHost: vault\r\n\r\n", longestAnswer)
	return c
}

// startDownload requests the longest answer and returns once its first byte has arrived.
func startDownload(t *testing.T, address string) net.Conn {
	c := requestLongestAnswer(t, address)
	if _, err := bufio.NewReader(c).Peek(1); err != nil {
		t.Fatal(err)
	}
	return c
}

// A caller that disconnects during its answer ends it: the link is free for others, and the
// connection to the target is released.
func TestACallerThatHangsUpFreesTheLink(t *testing.T) {
	e := startLinkBox(t, startLinkTarget(t), linkMbps)
	startDownload(t, e.Address()).Close()
	await(t, "the end of the answer", func() bool { c := e.pacer.Counts(); return c.Incomplete == 1 && c.InFlight == 0 })
	if c := e.pacer.Counts(); c.Bytes >= longestAnswer {
		t.Errorf("%d bytes were written to a caller that had left", c.Bytes)
	}
	await(t, "the end of the call", func() bool { return e.Status().Routing.Calls == 0 })
}

// A caller that doesn't read its answer must not delay other callers' answers.
func TestACallerThatDoesNotReadHoldsNoTurn(t *testing.T) {
	e := startLinkBox(t, startLinkTarget(t), 1000)
	slow := startDownload(t, e.Address())
	defer slow.Close()
	for range 3 {
		if n, err := get(e.Address(), "/large?bytes="+strconv.Itoa(longestAnswer)); err != nil || n != longestAnswer {
			t.Fatalf("%d of %d bytes came: %v", n, longestAnswer, err)
		}
	}
}

// A planned stop waits until a paced answer is complete.
func TestAPlannedStopLetsAPacedAnswerEnd(t *testing.T) {
	e := startLinkBox(t, startLinkTarget(t), linkMbps)
	ended := make(chan error, 1)
	go func() {
		n, err := get(e.Address(), "/large?bytes=200000")
		if err == nil && n != 200_000 {
			err = fmt.Errorf("%d bytes came", n)
		}
		ended <- err
	}()
	await(t, "a large answer", func() bool { return e.pacer.Counts().Pieces > 0 })
	e.Leave(awaitTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Many concurrent large answers are buffered in pieces, not whole, so that memory stays bounded.
func TestLargeAnswersTakeBoundedMemory(t *testing.T) {
	const downloads, maxHeapBytes = 200, 40 << 20
	e := startLinkBox(t, startLinkTarget(t), linkMbps)
	acceptAllConnections(e)
	before := heapInUse()
	for range downloads {
		defer requestLongestAnswer(t, e.Address()).Close()
	}
	await(t, "all answers", func() bool { c := e.pacer.Counts(); return c.InFlight == downloads && c.Pieces > 2*downloads })
	heapGrowth := heapInUse() - before
	t.Logf("%d answers of %d bytes: %.1f MB of heap, callers and target in the same process included", downloads, longestAnswer, float64(heapGrowth)/(1<<20))
	if heapGrowth > maxHeapBytes {
		t.Errorf("%d answers of %d bytes take %d bytes of heap", downloads, longestAnswer, heapGrowth)
	}
}

// acceptAllConnections makes a box accept connections whatever its link can carry.
func acceptAllConnections(e *Entry) {
	e.admission.lock.Lock()
	defer e.admission.lock.Unlock()
	e.admission.gate = capacity.NewGate(capacity.Settings{}, e.Clock.Now())
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func await(t *testing.T, event string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s didn't come", event)
		}
	}
}
