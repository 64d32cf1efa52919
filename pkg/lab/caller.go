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

// Verdict says what a caller was told, checked against its own request.
type Verdict int

// The verdicts.
const (
	// Whole: the caller's own answer came whole.
	Whole Verdict = iota + 1
	// NotRun: a refusal that says that nothing was run.
	NotRun
	// Unknown: a refusal or a broken connection that leaves it open.
	Unknown
	// TargetError: the target's own error came through.
	TargetError
	// Wrong: an answer that isn't the one to this request, or isn't whole.
	Wrong
)

// Call is one call as a caller made it.
type Call struct {
	Request string
	Host    string
	// Once is set for work that must not run twice.
	Once    bool
	Verdict Verdict
	Status  int
	Reason  string
	Target  string
	Took    time.Duration
	// RetryAfter is when the caller was told to come back.
	RetryAfter time.Duration
	Detail     string
}

// CallSpec says what a call should be like.
type CallSpec struct {
	Host     string
	Once     bool
	Work     time.Duration
	Size     int
	Cut      string
	Deadline time.Duration
	Body     []byte
	// Key is presented in place of the caller's own; empty presents that.
	Key string
}

// Caller makes calls to entry boxes and checks every answer.
type Caller struct {
	client *fasthttp.Client
	lock   sync.Mutex
	calls  []Call
	next   atomic.Uint64
	addrs  atomic.Pointer[[]string]
	key    atomic.Pointer[string]
}

const (
	callLimit    = 3 * time.Minute
	maxAnswer    = 64 << 20
	callerConns  = 4096
	idleCallConn = 5 * time.Second
)

// NewCaller returns a caller that spreads its calls over addresses in turn.
func NewCaller(addresses ...string) *Caller {
	c := &Caller{client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxConnsPerHost: callerConns, MaxResponseBodySize: maxAnswer,
		ReadTimeout: callLimit, MaxIdleConnDuration: idleCallConn, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	c.SetAddresses(addresses...)
	return c
}

// SetAddresses changes where the calls go from now on.
func (c *Caller) SetAddresses(addresses ...string) { c.addrs.Store(&addresses) }

// SetKey gives the caller a key, which all its calls present from now on.
func (c *Caller) SetKey(key string) { c.key.Store(&key) }

// Do makes one call and returns what came of it.
func (c *Caller) Do(p CallSpec) Call {
	addresses := *c.addrs.Load()
	address := addresses[int(c.next.Add(1))%len(addresses)]
	x := Call{Request: uuid.NewString(), Host: p.Host, Once: p.Once}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if own := c.key.Load(); own != nil && p.Key == "" {
		p.Key = *own
	}
	fill(request, address, &x, p)
	started := time.Now()
	err := c.client.DoTimeout(request, response, callLimit)
	x.Took = time.Since(started)
	x.judge(response, err, p)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.calls = append(c.calls, x)
	return x
}

func fill(request *fasthttp.Request, address string, x *Call, p CallSpec) {
	request.SetRequestURI("http://" + address + "/")
	request.Header.SetHost(p.Host)
	request.UseHostHeader = true
	request.Header.Set(RequestHeader, x.Request)
	request.Header.Set(EntryHeader, address)
	request.Header.Set(MadeHeader, strconv.FormatInt(time.Now().UnixMicro(), 10))
	if p.Key != "" {
		request.Header.Set(KeyHeader, p.Key)
	}
	if p.Work > 0 {
		request.Header.Set(WorkHeader, strconv.FormatInt(p.Work.Microseconds(), 10))
	}
	if p.Size > 0 {
		request.Header.Set(SizeHeader, strconv.Itoa(p.Size))
	}
	if p.Cut != "" {
		request.Header.Set(CutHeader, p.Cut)
	}
	if p.Deadline > 0 {
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	}
	if p.Once {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBody([]byte("once " + x.Request))
	}
	if p.Body != nil {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBody(p.Body)
	}
}

// judge compares what came with what belongs to the request.
func (x *Call) judge(response *fasthttp.Response, err error, p CallSpec) {
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
	case string(response.Body()) == string(AnswerBody(x.Request, p.Size)):
		x.Verdict = Whole
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

// Summary compares what callers were told with what the targets' journals say.
type Summary struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Errors  int `json:"targetErrors"`
	// Lost counts calls answered whole that no target ran.
	Lost int `json:"lost"`
	// Doubled counts once-calls that ran more than once.
	Doubled int `json:"doubled"`
	// Wrong counts answers that weren't the caller's own and whole, and calls that
	// were run although their callers were told that they weren't.
	Wrong int `json:"wrong"`
	// Reasons counts the refusals by reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Extra counts the runs beyond each call's first.
	Extra int `json:"extra"`
}

// Summarize compares calls with journals.
func Summarize(calls []Call, runs Executions) Summary {
	s := Summary{Reasons: map[string]int{}}
	for _, x := range calls {
		s.add(x, runs[x.Request])
	}
	return s
}

func (s *Summary) add(x Call, runs int) {
	s.Sent++
	s.Extra += max(0, runs-1)
	if x.Once && runs > 1 {
		s.Doubled++
	}
	if x.Reason != "" {
		s.Reasons[x.Reason]++
	}
	switch x.Verdict {
	case Whole:
		s.Whole++
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
		s.Errors++
	case Wrong:
		s.Wrong++
	}
}

// Clean tells whether nothing was lost, doubled or wrong.
func (s Summary) Clean() bool { return s.Lost == 0 && s.Doubled == 0 && s.Wrong == 0 }

// String tells the summary in one line.
func (s Summary) String() string {
	return fmt.Sprintf("sent %d, answered whole %d, refused %d, unknown %d, target errors %d, lost %d, doubled %d, wrong %d",
		s.Sent, s.Whole, s.Refused, s.Unknown, s.Errors, s.Lost, s.Doubled, s.Wrong)
}
