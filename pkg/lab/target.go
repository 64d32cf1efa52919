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
	RequestHeader     = "X-Request-Id"
	WorkHeader        = "X-Work-Us"
	AnswerBytesHeader = "X-Answer-Bytes"
	ChecksumHeader    = "X-Checksum"
	TruncationHeader  = "X-Cut"
	LeavingHeader     = "X-Leaving"
	LimitHeader       = "X-Limit"
	EntryHeader       = "X-Entry"
	SentAtHeader      = "X-Made-Us"
	RanByHeader       = "X-Ran-By"
	KeyHeader         = "X-Api-Key"
)

// TargetSettings configure a stand-in target.
type TargetSettings struct {
	Name   string
	Listen string
	// Slots is how many calls run concurrently; Queue is how many more may wait.
	Slots int
	Queue int
	// Work is the duration of a call without a WorkHeader.
	Work time.Duration
	// Journal is the path of the journal; empty for none.
	Journal string
	// CrashBody is the prefix of call bodies that make the process exit; empty for none.
	CrashBody string
	// Variation makes the work take different times.
	Variation Variation
	// BreakWhenFull closes the connection of a call that exceeds the queue, instead of shedding it.
	BreakWhenFull bool
	// ReportPace reports the running and waiting calls, the slots and the pace of work, instead of the
	// calls in flight alone.
	ReportPace bool
	// OnListen, if set, is called once the target listens and before it serves: the first call may
	// end the process.
	OnListen func()
}

// Target is a stand-in target with slots, a bounded queue, shedding and injected faults.
type Target struct {
	settings TargetSettings
	server   *fasthttp.Server
	listener net.Listener
	journal  *Journal
	slots    chan struct{}
	inFlight atomic.Int64
	running  atomic.Int64
	runs     atomic.Int64
	peak     atomic.Int64
	probes   atomic.Int64
	dropped  atomic.Int64
	lock     sync.Mutex
	behavior Behavior
	notices  *noticeMonitor
	limits   limitMonitor
}

// Behavior selects the faults and announcements of a target; see SetBehavior.
type Behavior struct {
	// Slow is added to the duration of each call.
	Slow time.Duration
	// Fail answers calls with 500 and probes with 503 at once.
	Fail bool
	// Shed refuses every call without running it.
	Shed bool
	// Rest is the rest that a shed answer asks for in Retry-After; zero for none.
	Rest time.Duration
	// Leaving announces in every answer that the target is about to stop.
	Leaving bool
	// Limited reports Limit in every answer: the calls a second that the target accepts from all boxes.
	Limited bool
	Limit   float64
	// Unhealthy answers probes with 503.
	Unhealthy bool
	// HideLoad reports zero calls in flight, whatever the load.
	HideLoad bool
	// Hang never answers a call that exceeds the queue, nor later requests on its connection;
	// without it such a call is shed.
	Hang bool
	// Version is the additional fault of a bad version of the target's software.
	Version VersionFault
}

// VersionFault is the fault of a bad version of a target's software.
type VersionFault struct {
	// FailPercent is the percentage of calls that get 500; Slow is added to the duration of each call.
	FailPercent int
	Slow        time.Duration
	// HealthyRuns is how many calls the target runs before the fault begins; Host limits the fault to
	// calls of one host name, empty for all.
	HealthyRuns int64
	Host        string
}

// applies reports whether the fault affects the target's n-th call.
func (v *VersionFault) applies(host string, n int64) bool {
	return n > v.HealthyRuns && (v.Host == "" || v.Host == host)
}

// StartTarget starts a stand-in target.
func StartTarget(s TargetSettings) (*Target, error) {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	t := &Target{settings: s, listener: listener, slots: make(chan struct{}, s.Slots), notices: newNoticeMonitor(breachFile(s.Journal))}
	if s.Journal != "" {
		if t.journal, err = OpenJournal(s.Journal); err != nil {
			return nil, err
		}
	}
	t.server = &fasthttp.Server{
		Handler: t.handle, MaxRequestBodySize: 64 << 20, ReadBufferSize: 32 << 10, NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	if s.OnListen != nil {
		s.OnListen()
	}
	go t.server.Serve(listener)
	return t, nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetBehavior changes the target's behavior for later requests.
func (t *Target) SetBehavior(b Behavior) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.behavior = b
	t.limits.setLimit(time.Now(), b.Limited, b.Limit)
}

func (t *Target) currentBehavior() Behavior {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.behavior
}

// Stop shuts the target down without waiting for its calls.
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
			t.notices.recordLeaving(box, time.Now())
		}
	}
	if b.Limited {
		ctx.Response.Header.Set(LimitHeader, strconv.FormatFloat(b.Limit, 'f', -1, 64))
	}
	switch string(ctx.Path()) {
	case "/healthz":
		t.handleHealth(ctx, b)
	case "/behave":
		t.handleBehave(ctx)
	case "/stats":
		t.handleStats(ctx)
	default:
		t.handleCall(ctx, b)
	}
}

func (t *Target) handleHealth(ctx *fasthttp.RequestCtx, b Behavior) {
	t.probes.Add(1)
	t.notices.recordProbe(time.Now())
	t.limits.recordProbe()
	t.reportLoad(ctx, b)
	if b.Unhealthy || b.Fail {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("healthy\n")
}

// TargetStats are a target's counts since its start.
type TargetStats struct {
	// Peak is the highest number of calls in flight; Runs counts the calls that ran.
	Peak int64 `json:"peak"`
	Runs int64 `json:"runs"`
	// Probes counts the health probes.
	Probes int64 `json:"probes"`
	// Dropped counts the calls left without an answer; see Behavior.Hang.
	Dropped int64 `json:"dropped"`
	// Rests counts the rest periods; CallsInRest and ProbesInRest count the calls and probes during
	// them, later than restGrace after the target first asked.
	Rests        int64 `json:"rests"`
	CallsInRest  int64 `json:"unrested"`
	ProbesInRest int64 `json:"unrestedProbes"`
	// CallsWhileLimited and ProbesWhileLimited count the calls and probes while the target reported a limit;
	// LimitBreaches counts the calls beyond what the check allows, WorstBreach is the window with the
	// greatest excess.
	CallsWhileLimited  int64        `json:"limited"`
	ProbesWhileLimited int64        `json:"limitedProbes"`
	LimitBreaches      int64        `json:"limitBreaches"`
	WorstBreach        *LimitBreach `json:"worstBreach,omitempty"`
}

func (t *Target) handleStats(ctx *fasthttp.RequestCtx) {
	s := TargetStats{Peak: t.peak.Load(), Runs: t.runs.Load(), Probes: t.probes.Load(), Dropped: t.dropped.Load()}
	t.notices.addTo(&s)
	t.limits.addTo(&s)
	data, err := json.Marshal(s)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

// handleBehave handles a request that changes the behavior; it lets other processes control the target.
func (t *Target) handleBehave(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	t.SetBehavior(Behavior{
		Slow: time.Duration(q.GetUintOrZero("slow_us")) * time.Microsecond,
		Fail: q.GetBool("fail"), Shed: q.GetBool("shed"), Unhealthy: q.GetBool("sick"), HideLoad: q.GetBool("lie"),
		Version: VersionFault{
			FailPercent: q.GetUintOrZero("version_fail_percent"), Slow: time.Duration(q.GetUintOrZero("version_slow_us")) * time.Microsecond,
			HealthyRuns: int64(q.GetUintOrZero("version_after")), Host: string(q.Peek("version_host")),
		},
		Hang: q.GetBool("hang"),
		Rest: time.Duration(q.GetUintOrZero("rest_ms")) * time.Millisecond, Leaving: q.GetBool("leaving"),
		Limited: q.Has("limit"), Limit: q.GetUfloatOrZero("limit"),
	})
}

func (t *Target) reportLoad(ctx *fasthttp.RequestCtx, b Behavior) {
	load := t.inFlight.Load()
	if b.HideLoad {
		load = 0
	}
	if !t.settings.ReportPace {
		ctx.Response.Header.Set("X-In-Flight", strconv.FormatInt(load, 10))
		return
	}
	pace := 100.0
	if v := &t.settings.Variation; v.isSlow(t.settings.Name, time.Now()) {
		pace *= v.SlowFactor
	}
	running := t.running.Load()
	ctx.Response.Header.Set("X-In-Flight", fmt.Sprintf("%d,%d,%d,%.0f", running, max(0, load-running), t.settings.Slots, pace))
}

func (t *Target) handleCall(ctx *fasthttp.RequestCtx, b Behavior) {
	n := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	for old := t.peak.Load(); n > old && !t.peak.CompareAndSwap(old, n); old = t.peak.Load() {
	}
	box := string(ctx.Request.Header.Peek(EntryHeader))
	if err := t.notices.recordCall(box, sentAt(ctx), time.Now()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if breach := t.limits.recordCall(box, time.Now()); breach != nil {
		if err := t.notices.writeLimitBreach(breach); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
	}
	if b.Limited {
		defer func() { t.limits.recordInformed(box, time.Now()) }()
	}
	t.reportLoad(ctx, b)
	ctx.Response.Header.Set(RanByHeader, t.settings.Name)
	if b.Hang && n > int64(t.settings.Slots+t.settings.Queue) {
		t.dropCall(ctx)
		return
	}
	if t.settings.BreakWhenFull && n > int64(t.settings.Slots+t.settings.Queue) {
		t.breakCall(ctx)
		return
	}
	if b.Shed || n > int64(t.settings.Slots+t.settings.Queue) {
		ctx.Response.Header.Set("X-Shed", "1")
		if b.Rest > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(b.Rest.Seconds(), 'f', -1, 64))
			t.notices.recordRest(box, time.Now(), b.Rest)
		}
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.running.Add(1)
	t.runCall(ctx, b)
	t.running.Add(-1)
	if t.settings.ReportPace {
		t.inFlight.Add(-1)
		t.reportLoad(ctx, b)
		t.inFlight.Add(1)
	}
}

// breakCall closes the connection of a call without an answer.
func (t *Target) breakCall(ctx *fasthttp.RequestCtx) {
	t.dropped.Add(1)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// crashExitCode is the exit code of a target that a crashing call has ended.
const crashExitCode = 3

// dropCall leaves a call without an answer and keeps its connection open until the box closes it.
func (t *Target) dropCall(ctx *fasthttp.RequestCtx) {
	t.dropped.Add(1)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if _, err := io.Copy(io.Discard, c); err != nil {
			return
		}
	})
}

func (t *Target) runCall(ctx *fasthttp.RequestCtx, b Behavior) {
	request := string(ctx.Request.Header.Peek(RequestHeader))
	n := t.runs.Add(1)
	if err := t.journal.Add(string(ctx.Host()), request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if b.Version.applies(string(ctx.Host()), n) {
		b.Fail = b.Fail || rand.IntN(100) < b.Version.FailPercent
		b.Slow += b.Version.Slow
	}
	if b.Fail {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if work := t.workTime(ctx) + b.Slow; work > 0 {
		t.settings.Variation.work(t.settings.Name, &t.running, work)
	}
	if t.settings.CrashBody != "" && bytes.HasPrefix(ctx.Request.Body(), []byte(t.settings.CrashBody)) {
		os.Exit(crashExitCode)
	}
	body := AnswerBody(request, intHeader(ctx, AnswerBytesHeader))
	ctx.Response.Header.Set(ChecksumHeader, Checksum(body))
	ctx.Response.Header.Set(RequestHeader, request)
	if cut := string(ctx.Request.Header.Peek(TruncationHeader)); cut != "" {
		truncateAnswer(ctx, cut, body)
		return
	}
	ctx.SetBody(body)
}

func (t *Target) workTime(ctx *fasthttp.RequestCtx) time.Duration {
	if n := intHeader(ctx, WorkHeader); n > 0 {
		return time.Duration(n) * time.Microsecond
	}
	return t.settings.Work
}

// sentAt returns when the caller sent a call.
func sentAt(ctx *fasthttp.RequestCtx) time.Time {
	return time.UnixMicro(int64(intHeader(ctx, SentAtHeader)))
}

func intHeader(ctx *fasthttp.RequestCtx, header string) int {
	n, _ := strconv.Atoi(string(ctx.Request.Header.Peek(header)))
	return n
}

// AnswerBody returns the answer to a request, padded to at least a size in bytes. It begins with the
// request id, so that the answer to another request never matches.
func AnswerBody(request string, size int) []byte {
	body := []byte("answer to " + request + "\n")
	for n := 0; len(body) < size; n++ {
		body = strconv.AppendInt(body, int64(n), 10)
		body = append(body, ' ')
	}
	return body
}

// Checksum returns the FNV-1a hash of an answer in hexadecimal.
func Checksum(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// truncations are the malformed answers by name, each as the raw bytes to send for a body.
var truncations = map[string]func(body []byte) string{
	"none":       func([]byte) string { return "" },
	"head":       func([]byte) string { return "HTTP/1.1 200 OK\r\nContent-Le" },
	"mid-body":   func(b []byte) string { return responseHead(len(b)) + string(b[:len(b)/2]) },
	"before-end": func(b []byte) string { return responseHead(len(b)) + string(b[:len(b)-1]) },
	"too-long":   func(b []byte) string { return responseHead(len(b)+10) + string(b) },
	"no-length":  func(b []byte) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + string(b) },
	"chunked": func(b []byte) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(b), b)
	},
}

// Truncations returns the names of the malformed answers that a call can ask for.
func Truncations() []string {
	return []string{"none", "head", "mid-body", "before-end", "too-long", "no-length", "chunked"}
}

func responseHead(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

func truncateAnswer(ctx *fasthttp.RequestCtx, cut string, body []byte) {
	raw := truncations[cut]
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
