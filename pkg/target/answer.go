package target

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/response"
)

var (
	errUnframed = errors.New("the response has neither a length nor chunks")
	errStale    = errors.New("responses to other calls came first, and they are too many, too long or broken")
)

// readResponse reads the response, or as much of it as is buffered, and reports whether its body
// is to be streamed.
func (a *Attempt) readResponse(c *conn) (routing.AttemptResult, bool) {
	if !a.readOwnResponse(c) {
		return routing.Broken, false
	}
	r := a.Response
	if a.body != nil && r.Header.ContentLength() <= response.Unframed {
		// A response without a length can't be told from a truncated one, unless targets are
		// known to reset the connections of responses that they truncate.
		if !a.pools.settings.AllowUnframed {
			a.BreakErr = errUnframed
			return routing.Broken, false
		}
		a.unusable = true
		a.body = &unframedBody{reader: c.reader, conn: c}
	}
	if a.body == nil {
		a.complete = true
		return a.classify(), false
	}
	return a.readBody()
}

const (
	// maxStaleResponses is how many responses to earlier calls may precede the call's own.
	maxStaleResponses = 3
	// maxStaleBytes is how many bytes the body of one of them may have. A longer one may have no end, and
	// the link is better used for the same call on another connection.
	maxStaleBytes = 64 << 10
)

// readOwnResponse reads the head of the call's own response, and the body if it is short.
// It discards responses that name another call; the connection isn't reused after one.
func (a *Attempt) readOwnResponse(c *conn) bool {
	r := a.Response
	for range maxStaleResponses + 1 {
		r.SkipBody = a.Request.Header.IsHead()
		if err := a.readHead(c); err != nil {
			a.BreakErr = err
			return false
		}
		a.body = response.Body(c.reader, r)
		if a.endpoint.Relay == "" {
			a.readNotice()
		}
		if a.isOwnResponse() {
			if a.endpoint.Relay == "" {
				a.readLoad()
			}
			return true
		}
		a.unusable = true
		if a.body != nil {
			if _, err := io.CopyN(io.Discard, a.body, maxStaleBytes+1); err != io.EOF {
				a.BreakErr = errStale
				return false
			}
		}
		r.Reset()
	}
	a.BreakErr = errStale
	return false
}

// isOwnResponse reports whether the response names the call that was sent.
func (a *Attempt) isOwnResponse() bool {
	header := a.pools.settings.CallIDHeader
	if header == "" {
		return true
	}
	sent := a.Request.Header.Peek(header)
	return len(sent) == 0 || bytes.Equal(sent, a.Response.Header.Peek(header))
}

// classifyLong classifies a response that is too long to be buffered, and reports whether it is
// streamed. One that sheds the call, or that may mean that the call wasn't executed, isn't passed
// to the caller whatever its length.
func (a *Attempt) classifyLong() (routing.AttemptResult, bool) {
	result := a.classify()
	return result, result == routing.Answered || result == routing.Failed
}

// IsComplete reports whether the response has been read to its end.
func (a *Attempt) IsComplete() bool { return a.complete }

// RemainingBytes returns how many bytes of a streamed response are still to be read; it is
// negative if the response has no content length.
func (a *Attempt) RemainingBytes() int {
	length := a.Response.Header.ContentLength()
	if length < 0 {
		return length
	}
	return length - len(a.prefix)
}

// Body returns the complete body of a response that isn't streamed.
func (a *Attempt) Body() []byte { return a.prefix }

// classify returns the result of the attempt by the status and headers of the response.
func (a *Attempt) classify() routing.AttemptResult {
	if a.endpoint.Relay != "" {
		return a.classifyRelayed()
	}
	s := &a.pools.settings
	code := a.Response.StatusCode()
	marked := len(a.Response.Header.Peek(s.ShedHeader)) > 0
	switch {
	case code == fasthttp.StatusMisdirectedRequest && s.IdentityHeader != "" && a.endpoint.Registered:
		return routing.Misdirected
	case marked && (code == s.ShedStatus || s.ShedStatus == 0):
		return routing.Shed
	case s.StatusMayMeanNotExecuted && notExecutedStatuses[code]:
		return routing.Broken
	}
	if code >= fasthttp.StatusInternalServerError {
		return routing.Failed
	}
	return routing.Answered
}

// notExecutedStatuses are the statuses that callers may take to mean that a call wasn't executed.
var notExecutedStatuses = map[int]bool{
	fasthttp.StatusRequestTimeout:     true,
	fasthttp.StatusMisdirectedRequest: true,
	fasthttp.StatusTooManyRequests:    true,
	fasthttp.StatusServiceUnavailable: true,
}

// readLoad reads the load that the target reports, and keeps what readNotice has read.
func (a *Attempt) readLoad() {
	h := &a.Response.Header
	notice := a.Report
	a.Report = parseReport(string(h.Peek(a.pools.settings.LoadHeader)))
	a.Report.Rest, a.Report.Leaving, a.Report.Limit = notice.Rest, notice.Leaving, notice.Limit
	if header := a.pools.settings.ColdHeader; header != "" {
		a.Report.Cold = parseColdRemaining(string(h.Peek(header)))
	}
}

// readNotice reads whether the target asks for rest, is leaving or announces a limit. A response to
// another call counts as well, since all responses on a connection come from the same target
// process.
func (a *Attempt) readNotice() {
	h := &a.Response.Header
	if header := a.pools.settings.LeavingHeader; header != "" && parseLeaving(h.Peek(header)) {
		a.Report.Leaving = true
	}
	if header := a.pools.settings.LimitHeader; header != "" {
		// Of several responses the last one is in force.
		a.Report.Limit, a.UnreadableLimit = readLimit(h, header)
	}
	if a.Response.StatusCode() != fasthttp.StatusServiceUnavailable && a.classify() != routing.Shed {
		return
	}
	rest, unread := readRest(h, time.Now())
	a.Report.Rest = max(a.Report.Rest, rest)
	if unread != "" {
		a.UnreadableRest = unread
	}
}
