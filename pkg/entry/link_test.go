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

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
)

const (
	// linkMbps is the link of the boxes under test.
	linkMbps = 7
	// longest is the longest answer of a route with large ones.
	longest = 540_000
	// shortAnswer is what other routes answer with.
	shortAnswer = 400
	// patience is how long a test waits for what must come.
	patience = 20 * time.Second
)

// linkTarget answers "/large?bytes=N" with so many bytes, "/large?cut=N" with a part of what
// its head promises, and everything else with a short body.
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
	x := &linkTarget{address: l.Addr().String(), body: bytes.Repeat([]byte("x"), longest)}
	server := &fasthttp.Server{Handler: x.answer, Logger: logrus.New()}
	go server.Serve(l)
	t.Cleanup(func() { l.Close() })
	return x
}

func (x *linkTarget) answer(ctx *fasthttp.RequestCtx) {
	x.calls.Add(1)
	if cut := ctx.QueryArgs().GetUintOrZero("cut"); cut > 0 {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longest)
		if ctx.QueryArgs().Has("chunked") {
			head = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", longest)
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

// startLinkBox returns a box with a link of that rate, one target, a route with large answers
// at /large and one with short ones at /.
func startLinkBox(t *testing.T, x *linkTarget, mbps float64) *Entry {
	settings := config.Defaults()
	settings.Box = "me"
	settings.Entry.LinkMbps = mbps
	settings.Entry.ServeStale = true
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e, err := NewEntry(&common.Common{Log: logrus.NewEntry(logger), Settings: settings, Clock: clock.NewClock()}, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	e.reduce(&routing.TableChanged{Table: linkTable(x.address)})
	return e
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

// slowLink is a link's account of what is written to it: all connections share it, first
// come, first served. Bytes reach their reader at once; the time that they would have
// waited is worked out.
type slowLink struct {
	lock sync.Mutex
	free time.Time
}

func (l *slowLink) write(n int) (waits time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	waits = l.free.Sub(now)
	l.free = l.free.Add(onLink(n))
	return waits
}

// onLink is how long bytes take on the link.
func onLink(n int) time.Duration { return time.Duration(n) * time.Second * 8 / (linkMbps * 1e6) }

// linkListener accepts connections that write to a slow link.
type linkListener struct {
	net.Listener
	link *slowLink
	// shortWaits are the waits of short answers.
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
	waits := c.listener.link.write(len(p))
	if bytes.Contains(p, []byte("Content-Length: "+strconv.Itoa(shortAnswer)+"\r\n")) {
		c.listener.lock.Lock()
		c.listener.shortWaits = append(c.listener.shortWaits, waits)
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

// A short answer waits on the link for a few pieces of large ones at the most, not for
// whole answers: for one piece of each that its writer was about to write, and for what the
// pacer makes up for.
func TestShortAnswersAreNotHeldBehindLargeOnes(t *testing.T) {
	const downloads, size, made = 4, 200_000, 2
	e := startLinkBox(t, startLinkTarget(t), linkMbps)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &linkListener{Listener: inner, link: &slowLink{}}
	go e.server.Serve(l)
	address := inner.Addr().String()
	var large sync.WaitGroup
	var left atomic.Int64
	left.Store(downloads)
	for range downloads {
		large.Add(1)
		go func() {
			defer large.Done()
			defer left.Add(-1)
			if n, err := get(address, "/large?bytes="+strconv.Itoa(size)); err != nil || n != size {
				t.Errorf("%d of %d bytes came: %v", n, size, err)
			}
		}()
	}
	await(t, "a large answer", func() bool { return e.pacer.Counts().InFlight > 0 })
	for left.Load() > 0 {
		if n, err := get(address, "/short"); err != nil || n != shortAnswer {
			t.Fatalf("%d of %d bytes came: %v", n, shortAnswer, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	large.Wait()
	l.lock.Lock()
	defer l.lock.Unlock()
	piece := onLink(4 << 10)
	if len(l.shortWaits) == 0 {
		t.Fatal("no short answer was written")
	}
	for _, w := range l.shortWaits {
		if w > (downloads+made)*piece {
			t.Fatalf("a short answer waits for %s behind large ones, which is more than %d pieces", w, downloads+made)
		}
	}
}

// An answer that its target cuts short behind its first bytes never looks whole, however it
// is framed; one that is cut before can still be tried elsewhere, and is refused here.
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

// askForLongest opens a connection that reads little at a time and asks for the longest answer.
func askForLongest(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprintf(c, "GET /large?bytes=%d HTTP/1.1\r\nHost: vault\r\n\r\n", longest)
	return c
}

// download does that and returns once the answer has begun.
func download(t *testing.T, address string) net.Conn {
	c := askForLongest(t, address)
	if _, err := bufio.NewReader(c).Peek(1); err != nil {
		t.Fatal(err)
	}
	return c
}

// A caller that hangs up in the middle ends its answer: its turns go to others, and its
// target is let go.
func TestACallerThatHangsUpFreesTheLink(t *testing.T) {
	e := startLinkBox(t, startLinkTarget(t), linkMbps)
	download(t, e.Address()).Close()
	await(t, "the end of the answer", func() bool { c := e.pacer.Counts(); return c.Incomplete == 1 && c.InFlight == 0 })
	if c := e.pacer.Counts(); c.Bytes >= longest {
		t.Errorf("%d bytes were written to a caller that had left", c.Bytes)
	}
	await(t, "the end of the call", func() bool { return e.Status().Routing.Calls == 0 })
}

// A caller that doesn't read holds up nobody else.
func TestACallerThatDoesNotReadHoldsNoTurn(t *testing.T) {
	e := startLinkBox(t, startLinkTarget(t), 1000)
	slow := download(t, e.Address())
	defer slow.Close()
	for range 3 {
		if n, err := get(e.Address(), "/large?bytes="+strconv.Itoa(longest)); err != nil || n != longest {
			t.Fatalf("%d of %d bytes came: %v", n, longest, err)
		}
	}
}

// A planned stop lets an answer end that takes turns.
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
	e.Leave(patience)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Many large answers at once take memory for pieces, not for whole answers.
func TestLargeAnswersTakeBoundedMemory(t *testing.T) {
	const downloads, bound = 200, 40 << 20
	e := startLinkBox(t, startLinkTarget(t), linkMbps)
	before := heapInUse()
	for range downloads {
		defer askForLongest(t, e.Address()).Close()
	}
	await(t, "all answers", func() bool { c := e.pacer.Counts(); return c.InFlight == downloads && c.Pieces > 2*downloads })
	took := heapInUse() - before
	t.Logf("%d answers of %d bytes: %.1f MB of heap, callers and target in the same process included", downloads, longest, float64(took)/(1<<20))
	if took > bound {
		t.Errorf("%d answers of %d bytes take %d bytes of heap", downloads, longest, took)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s didn't come", what)
		}
	}
}
