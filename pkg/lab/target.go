package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// The headers between stand-in callers and targets.
const (
	RequestHeader  = "X-Request-Id"
	WorkHeader     = "X-Work-Us"
	SizeHeader     = "X-Answer-Bytes"
	ChecksumHeader = "X-Checksum"
	CutHeader      = "X-Cut"
	LeavingHeader  = "X-Leaving"
	LimitHeader    = "X-Limit"
	EntryHeader    = "X-Entry"
	MadeHeader     = "X-Made-Us"
	RanByHeader    = "X-Ran-By"
	KeyHeader      = "X-Api-Key"
)

// TargetSettings are what a stand-in target is like.
type TargetSettings struct {
	Name   string
	Listen string
	// Slots is how many calls it runs at once; Queue is how many more may wait.
	Slots int
	Queue int
	// Work is how long a call takes that doesn't say so itself.
	Work time.Duration
	// Journal is the file of calls that were run; empty for none.
	Journal string
	// CrashBody is what the bodies of calls begin with that end the process which runs them;
	// empty for none.
	CrashBody string
}

// Target is a stand-in target: a few slots, a queue, shedding, faults on demand.
type Target struct {
	settings TargetSettings
	server   *fasthttp.Server
	listener net.Listener
	journal  *Journal
	slots    chan struct{}
	present  atomic.Int64
	runs     atomic.Int64
	peak     atomic.Int64
	probes   atomic.Int64
	dropped  atomic.Int64
	lock     sync.Mutex
	behavior Behavior
	words    *words
	limits   limitWatch
}

// Behavior is what a target does for the time being.
type Behavior struct {
	// Slow is added to each call's work.
	Slow time.Duration
	// Fail answers 500 at once.
	Fail bool
	// Shed refuses every call unrun.
	Shed bool
	// Rest is for how long a target that sheds wants nothing more; zero when it doesn't say.
	Rest time.Duration
	// Leaving says in every answer that the target is about to end.
	Leaving bool
	// Limited names in every answer the Limit, in calls a second, that the target takes from all boxes.
	Limited bool
	Limit   float64
	// Sick answers probes with 503.
	Sick bool
	// Lie reports no load, whatever there is.
	Lie bool
	// Hang never answers a call that can't be queued, and then nothing more on its
	// connection.
	Hang bool
	// Version is what a bad version of the target's software does beside that.
	Version VersionFault
}

// VersionFault is what is wrong with a version of a target's software.
type VersionFault struct {
	// FailPercent is how many of a hundred calls get 500, Slow is added to each call's work.
	FailPercent int
	Slow        time.Duration
	// After is how many calls the target runs well first, Host the only host name whose calls
	// meet the fault; empty for all.
	After int64
	Host  string
}

// meets tells whether a call meets the fault, as the target's n-th.
func (v *VersionFault) meets(host string, n int64) bool {
	return n > v.After && (v.Host == "" || v.Host == host)
}

// StartTarget starts a stand-in target.
func StartTarget(s TargetSettings) (*Target, error) {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	t := &Target{settings: s, listener: listener, slots: make(chan struct{}, s.Slots), words: newWords(breachesOf(s.Journal))}
	if s.Journal != "" {
		if t.journal, err = OpenJournal(s.Journal); err != nil {
			return nil, err
		}
	}
	t.server = &fasthttp.Server{
		Handler: t.handle, MaxRequestBodySize: 64 << 20, NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	go t.server.Serve(listener)
	return t, nil
}

// Address is where the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Behave changes what the target does from now on.
func (t *Target) Behave(b Behavior) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.behavior = b
	t.limits.name(time.Now(), b.Limited, b.Limit)
}

func (t *Target) currentBehavior() Behavior {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.behavior
}

// Stop ends the target at once.
func (t *Target) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	t.server.ShutdownWithContext(ctx)
	if t.journal != nil {
		t.journal.Close()
	}
}

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	b := t.currentBehavior()
	if b.Leaving {
		ctx.Response.Header.Set(LeavingHeader, "1")
		if box := string(ctx.Request.Header.Peek(EntryHeader)); box != "" {
			t.words.leave(box, time.Now())
		}
	}
	if b.Limited {
		ctx.Response.Header.Set(LimitHeader, strconv.FormatFloat(b.Limit, 'f', -1, 64))
	}
	switch string(ctx.Path()) {
	case "/healthz":
		t.health(ctx, b)
	case "/behave":
		t.setBehavior(ctx)
	case "/stats":
		t.stats(ctx)
	default:
		t.call(ctx, b)
	}
}

func (t *Target) health(ctx *fasthttp.RequestCtx, b Behavior) {
	t.probes.Add(1)
	t.words.noteProbe(time.Now())
	t.limits.noteProbe()
	t.reportLoad(ctx, b)
	if b.Sick || b.Fail {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("healthy\n")
}

// TargetStats is what a target knows of its own load.
type TargetStats struct {
	// Peak is the most calls that were there at once.
	Peak int64 `json:"peak"`
	Runs int64 `json:"runs"`
	// Probes is how often it was asked for its health.
	Probes int64 `json:"probes"`
	// Dropped counts the calls that it never answered.
	Dropped int64 `json:"dropped"`
	// Rests is how often it began to rest; Unrested and UnrestedProbes are how many calls and probes came while the target rested,
	// more than half a second after it had asked for it.
	Rests          int64 `json:"rests"`
	Unrested       int64 `json:"unrested"`
	UnrestedProbes int64 `json:"unrestedProbes"`
	// Limited and LimitedProbes are how many calls and probes came while the target named a limit,
	// LimitBreaches how many calls too many, WorstBreach the window that was exceeded by most.
	Limited       int64        `json:"limited"`
	LimitedProbes int64        `json:"limitedProbes"`
	LimitBreaches int64        `json:"limitBreaches"`
	WorstBreach   *LimitBreach `json:"worstBreach,omitempty"`
}

func (t *Target) stats(ctx *fasthttp.RequestCtx) {
	s := TargetStats{Peak: t.peak.Load(), Runs: t.runs.Load(), Probes: t.probes.Load(), Dropped: t.dropped.Load()}
	t.words.addTo(&s)
	t.limits.addTo(&s)
	data, err := json.Marshal(s)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

// setBehavior lets another process change what this one does.
func (t *Target) setBehavior(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	t.Behave(Behavior{
		Slow: time.Duration(q.GetUintOrZero("slow_us")) * time.Microsecond,
		Fail: q.GetBool("fail"), Shed: q.GetBool("shed"), Sick: q.GetBool("sick"), Lie: q.GetBool("lie"),
		Version: VersionFault{
			FailPercent: q.GetUintOrZero("version_fail_percent"), Slow: time.Duration(q.GetUintOrZero("version_slow_us")) * time.Microsecond,
			After: int64(q.GetUintOrZero("version_after")), Host: string(q.Peek("version_host")),
		},
		Hang: q.GetBool("hang"),
		Rest: time.Duration(q.GetUintOrZero("rest_ms")) * time.Millisecond, Leaving: q.GetBool("leaving"),
		Limited: q.Has("limit"), Limit: q.GetUfloatOrZero("limit"),
	})
}

func (t *Target) reportLoad(ctx *fasthttp.RequestCtx, b Behavior) {
	load := t.present.Load()
	if b.Lie {
		load = 0
	}
	ctx.Response.Header.Set("X-In-Flight", strconv.FormatInt(load, 10))
}

func (t *Target) call(ctx *fasthttp.RequestCtx, b Behavior) {
	n := t.present.Add(1)
	defer t.present.Add(-1)
	for old := t.peak.Load(); n > old && !t.peak.CompareAndSwap(old, n); old = t.peak.Load() {
	}
	box := string(ctx.Request.Header.Peek(EntryHeader))
	if err := t.words.noteCall(box, madeAt(ctx), time.Now()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if breach := t.limits.noteCall(box, time.Now()); breach != nil {
		if err := t.words.keepLimit(breach); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
	}
	if b.Limited {
		defer func() { t.limits.tell(box, time.Now()) }()
	}
	t.reportLoad(ctx, b)
	ctx.Response.Header.Set(RanByHeader, t.settings.Name)
	if b.Hang && n > int64(t.settings.Slots+t.settings.Queue) {
		t.drop(ctx)
		return
	}
	if b.Shed || n > int64(t.settings.Slots+t.settings.Queue) {
		ctx.Response.Header.Set("X-Shed", "1")
		if b.Rest > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(b.Rest.Seconds(), 'f', -1, 64))
			t.words.ask(box, time.Now(), b.Rest)
		}
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.run(ctx, b)
}

// crashCode is the exit code of a target that a call has ended.
const crashCode = 3

// drop leaves a call without an answer and its connection open, until the other side ends it.
func (t *Target) drop(ctx *fasthttp.RequestCtx) {
	t.dropped.Add(1)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if _, err := io.Copy(io.Discard, c); err != nil {
			return
		}
	})
}

func (t *Target) run(ctx *fasthttp.RequestCtx, b Behavior) {
	request := string(ctx.Request.Header.Peek(RequestHeader))
	n := t.runs.Add(1)
	if err := t.journal.Add(string(ctx.Host()), request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if b.Version.meets(string(ctx.Host()), n) {
		b.Fail = b.Fail || rand.IntN(100) < b.Version.FailPercent
		b.Slow += b.Version.Slow
	}
	if b.Fail {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if work := t.workOf(ctx) + b.Slow; work > 0 {
		time.Sleep(work)
	}
	if t.settings.CrashBody != "" && bytes.HasPrefix(ctx.Request.Body(), []byte(t.settings.CrashBody)) {
		os.Exit(crashCode)
	}
	body := AnswerBody(request, numberOf(ctx, SizeHeader))
	ctx.Response.Header.Set(ChecksumHeader, Checksum(body))
	ctx.Response.Header.Set(RequestHeader, request)
	if cut := string(ctx.Request.Header.Peek(CutHeader)); cut != "" {
		cutAnswer(ctx, cut, body)
		return
	}
	ctx.SetBody(body)
}

func (t *Target) workOf(ctx *fasthttp.RequestCtx) time.Duration {
	if n := numberOf(ctx, WorkHeader); n > 0 {
		return time.Duration(n) * time.Microsecond
	}
	return t.settings.Work
}

// madeAt is when a call's caller made it.
func madeAt(ctx *fasthttp.RequestCtx) time.Time {
	return time.UnixMicro(int64(numberOf(ctx, MadeHeader)))
}

func numberOf(ctx *fasthttp.RequestCtx, header string) int {
	n, _ := strconv.Atoi(string(ctx.Request.Header.Peek(header)))
	return n
}

// AnswerBody is the answer that belongs to a request, padded to a size. It
// begins with the request's own id, so that nobody else's can pass for it.
func AnswerBody(request string, size int) []byte {
	body := []byte("answer to " + request + "\n")
	for n := 0; len(body) < size; n++ {
		body = strconv.AppendInt(body, int64(n), 10)
		body = append(body, ' ')
	}
	return body
}

// Checksum sums up an answer.
func Checksum(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// cuts are the ways in which an answer can be cut short, as its raw bytes.
var cuts = map[string]func(body []byte) string{
	"none":       func([]byte) string { return "" },
	"head":       func([]byte) string { return "HTTP/1.1 200 OK\r\nContent-Le" },
	"mid-body":   func(b []byte) string { return head(len(b)) + string(b[:len(b)/2]) },
	"before-end": func(b []byte) string { return head(len(b)) + string(b[:len(b)-1]) },
	"too-long":   func(b []byte) string { return head(len(b)+10) + string(b) },
	"no-length":  func(b []byte) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + string(b) },
	"chunked": func(b []byte) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(b), b)
	},
}

// Cuts returns the names of the ways in which an answer can be cut short.
func Cuts() []string {
	return []string{"none", "head", "mid-body", "before-end", "too-long", "no-length", "chunked"}
}

func head(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

func cutAnswer(ctx *fasthttp.RequestCtx, cut string, body []byte) {
	raw := cuts[cut]
	if raw == nil {
		ctx.Error("unknown cut", fasthttp.StatusBadRequest)
		return
	}
	text := raw(body)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		w := bufio.NewWriter(c)
		w.WriteString(text)
		w.Flush()
	})
}
