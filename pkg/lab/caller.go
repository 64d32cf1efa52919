package lab

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// Verdict classifies the outcome of a call as its caller observed it.
type Verdict int

// The verdicts.
const (
	// Complete means that the answer belongs to this request and is complete.
	Complete Verdict = iota + 1
	// NotRun means that the call was refused and that no target ran it.
	NotRun
	// Unknown means a refusal or a connection failure after which the call may or may not have run.
	Unknown
	// TargetError means that the target itself answered with an error.
	TargetError
	// Wrong means an answer that belongs to another request or is incomplete.
	Wrong
)

// Call is one call with the outcome that its caller observed.
type Call struct {
	RequestID string
	Host      string
	// AtMostOnce is set for work that must not run twice.
	AtMostOnce bool
	Verdict    Verdict
	Status     int
	Reason     string
	Target     string
	Latency    time.Duration
	// RetryAfter is the delay that the refusal asked for; zero for none.
	RetryAfter time.Duration
	Detail     string
}

// CallSpec describes a call to make.
type CallSpec struct {
	Host        string
	AtMostOnce  bool
	Work        time.Duration
	AnswerBytes int
	Truncation  string
	Deadline    time.Duration
	Body        []byte
	// Key is the API key to send; empty sends the caller's own.
	Key string
	// NewConnection makes the call on a connection of its own.
	NewConnection bool
}

// Caller makes calls to entry boxes, checks every answer and records all calls.
type Caller struct {
	client      *fasthttp.Client
	lock        sync.Mutex
	calls       []Call
	nextAddress atomic.Uint64
	addresses   atomic.Pointer[[]string]
	key         atomic.Pointer[string]
}

const (
	callTimeout     = 3 * time.Minute
	maxAnswerBytes  = 64 << 20
	maxCallerConns  = 4096
	idleConnTimeout = 5 * time.Second
)

// NewCaller returns a caller that uses the addresses in round-robin order.
func NewCaller(addresses ...string) *Caller {
	c := &Caller{client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxConnsPerHost: maxCallerConns, MaxResponseBodySize: maxAnswerBytes,
		ReadTimeout: callTimeout, MaxIdleConnDuration: idleConnTimeout, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	c.SetAddresses(addresses...)
	return c
}

// SetAddresses changes the addresses of all later calls.
func (c *Caller) SetAddresses(addresses ...string) { c.addresses.Store(&addresses) }

// SetKey sets the API key that later calls send.
func (c *Caller) SetKey(key string) { c.key.Store(&key) }

// Do makes one call, records it and returns its outcome.
func (c *Caller) Do(p CallSpec) Call {
	addresses := *c.addresses.Load()
	address := addresses[int(c.nextAddress.Add(1))%len(addresses)]
	x := Call{RequestID: uuid.NewString(), Host: p.Host, AtMostOnce: p.AtMostOnce}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if own := c.key.Load(); own != nil && p.Key == "" {
		p.Key = *own
	}
	fillRequest(request, address, &x, p)
	started := time.Now()
	err := c.client.DoTimeout(request, response, callTimeout)
	x.Latency = time.Since(started)
	x.classify(response, err, p)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.calls = append(c.calls, x)
	return x
}

func fillRequest(request *fasthttp.Request, address string, x *Call, p CallSpec) {
	request.SetRequestURI("http://" + address + "/")
	request.Header.SetHost(p.Host)
	request.UseHostHeader = true
	request.Header.Set(RequestHeader, x.RequestID)
	request.Header.Set(EntryHeader, address)
	request.Header.Set(SentAtHeader, strconv.FormatInt(time.Now().UnixMicro(), 10))
	if p.Key != "" {
		request.Header.Set(KeyHeader, p.Key)
	}
	if p.NewConnection {
		request.SetConnectionClose()
	}
	if p.Work > 0 {
		request.Header.Set(WorkHeader, strconv.FormatInt(p.Work.Microseconds(), 10))
	}
	if p.AnswerBytes > 0 {
		request.Header.Set(AnswerBytesHeader, strconv.Itoa(p.AnswerBytes))
	}
	if p.Truncation != "" {
		request.Header.Set(TruncationHeader, p.Truncation)
	}
	if p.Deadline > 0 {
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	}
	if p.AtMostOnce {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBody([]byte("once " + x.RequestID))
	}
	if p.Body != nil {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBody(p.Body)
	}
}

// classify sets the verdict from the response and the answer expected for the request.
func (x *Call) classify(response *fasthttp.Response, err error, p CallSpec) {
	if err != nil {
		x.Verdict, x.Detail = Unknown, err.Error()
		return
	}
	x.Status = response.StatusCode()
	x.Target = string(response.Header.Peek("X-Madderpond-Target"))
	x.Reason = string(response.Header.Peek("X-Madderpond-Reason"))
	if ms, err := strconv.Atoi(string(response.Header.Peek("X-Madderpond-Retry-After-Ms"))); err == nil {
		x.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	switch outcome := string(response.Header.Peek("X-Madderpond-Outcome")); {
	case outcome == "not-run":
		x.Verdict = NotRun
	case outcome == "unknown":
		x.Verdict = Unknown
	case x.Status >= fasthttp.StatusInternalServerError:
		x.Verdict = TargetError
	case string(response.Body()) == string(AnswerBody(x.RequestID, p.AnswerBytes)):
		x.Verdict = Complete
	default:
		x.Verdict = Wrong
		x.Detail = fmt.Sprintf("status %d, %d bytes", x.Status, len(response.Body()))
	}
}

// Calls returns all calls made so far.
func (c *Caller) Calls() []Call {
	c.lock.Lock()
	defer c.lock.Unlock()
	return append([]Call(nil), c.calls...)
}

// Summary compares the outcomes that callers observed with the targets' journals.
type Summary struct {
	Sent         int `json:"sent"`
	Complete     int `json:"whole"`
	Refused      int `json:"refused"`
	Unknown      int `json:"unknown"`
	TargetErrors int `json:"targetErrors"`
	// Lost counts calls with a complete answer that no target ran.
	Lost int `json:"lost"`
	// Duplicated counts calls of at-most-once work that ran more than once.
	Duplicated int `json:"doubled"`
	// Wrong counts answers that belonged to another request or were incomplete, and
	// calls that ran although they were refused as not run.
	Wrong int `json:"wrong"`
	// Reasons counts the refusals by reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// ExtraRuns counts the runs after each call's first.
	ExtraRuns int `json:"extra"`
}

// Summarize compares calls with the runs recorded in journals.
func Summarize(calls []Call, runs RunCounts) Summary {
	s := Summary{Reasons: map[string]int{}}
	for _, x := range calls {
		s.add(x, runs[x.RequestID])
	}
	return s
}

func (s *Summary) add(x Call, runs int) {
	s.Sent++
	s.ExtraRuns += max(0, runs-1)
	if x.AtMostOnce && runs > 1 {
		s.Duplicated++
	}
	if x.Reason != "" {
		s.Reasons[x.Reason]++
	}
	switch x.Verdict {
	case Complete:
		s.Complete++
		if runs == 0 {
			s.Lost++
		}
	case NotRun:
		s.Refused++
		if runs > 0 {
			s.Wrong++
		}
	case Unknown:
		s.Unknown++
	case TargetError:
		s.TargetErrors++
	case Wrong:
		s.Wrong++
	}
}

// Clean reports whether no call was lost, duplicated or wrong.
func (s Summary) Clean() bool { return s.Lost == 0 && s.Duplicated == 0 && s.Wrong == 0 }

// String formats the summary on one line.
func (s Summary) String() string {
	return fmt.Sprintf("sent %d, answered whole %d, refused %d, unknown %d, target errors %d, lost %d, doubled %d, wrong %d",
		s.Sent, s.Complete, s.Refused, s.Unknown, s.TargetErrors, s.Lost, s.Duplicated, s.Wrong)
}
