package target

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

func (a *Attempt) readResponse(c *conn) (routing.AttemptResult, bool) {
	if !a.readOwnResponse(c) {
		return routing.Broken, false
	}
	r := a.Response
	if r.Header.ContentLength() < -1 && !a.hasNoBody() {
		// An answer without a length can't be told from one that was cut short, unless
		// targets are known to reset what they cut.
		if !a.pools.settings.AllowUnframed {
			return routing.Broken, false
		}
		a.unusable = true
	}
	if r.BodyStream() == nil {
		a.complete = true
		return a.classify(), false
	}
	return a.readBody()
}

// maxStaleResponses is how many answers to earlier calls may come before the call's own.
const maxStaleResponses = 3

// readOwnResponse reads the head of the call's own answer, and the body if it is short.
// Answers that name another call are passed over; the connection isn't used again
// after one.
func (a *Attempt) readOwnResponse(c *conn) bool {
	r := a.Response
	for range maxStaleResponses + 1 {
		r.StreamBody = true
		r.SkipBody = a.Request.Header.IsHead()
		if err := r.ReadLimitBody(c.reader, 0); err != nil {
			return false
		}
		a.readNotice()
		if a.isOwnResponse() {
			a.readLoad()
			return true
		}
		a.unusable = true
		if stream := r.BodyStream(); stream != nil {
			if _, err := io.Copy(io.Discard, stream); err != nil {
				return false
			}
		}
		r.Reset()
	}
	return false
}

// isOwnResponse tells whether the answer names the call that was sent.
func (a *Attempt) isOwnResponse() bool {
	header := a.pools.settings.CallIDHeader
	if header == "" {
		return true
	}
	sent := a.Request.Header.Peek(header)
	return len(sent) == 0 || bytes.Equal(sent, a.Response.Header.Peek(header))
}

// hasNoBody tells whether the answer has no body whatever its head says.
func (a *Attempt) hasNoBody() bool {
	code := a.Response.StatusCode()
	return a.Response.SkipBody || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}

// largePrefixBytes is how much of a large answer must have come before it is passed on. A target
// that fails before has cost the caller nothing, since the call can still go elsewhere; more
// would hold the answer up for longer and take more memory, of which boxes have little.
const largePrefixBytes = 16 << 10

// maxPrefixBytes is how much of the answer is read before it is passed on. A failed answer of
// a route with large ones is held as others are, since the call may be tried elsewhere.
func (a *Attempt) maxPrefixBytes() int {
	most := a.pools.settings.MaxBufferedBytes
	if a.largeResponse && a.Response.Header.ContentLength() >= chunkedContentLength && a.classify() == routing.Answered {
		return min(most, largePrefixBytes)
	}
	return most
}

// chunkedContentLength is the content length of an answer in chunks; that of one whose end is the
// end of its connection lies below.
const chunkedContentLength = -1

// readBody reads up to as much as is buffered; a longer body is streamed.
func (a *Attempt) readBody() (routing.AttemptResult, bool) {
	limit := a.maxPrefixBytes()
	if !a.largeResponse && a.Response.Header.ContentLength() > limit {
		return a.classifyLong()
	}
	var body bytes.Buffer
	_, err := io.CopyN(&body, a.Response.BodyStream(), int64(limit)+1)
	switch {
	case errors.Is(err, io.EOF):
		a.prefix = body.Bytes()
		a.complete = true
		return a.classify(), false
	case err == nil:
		a.prefix = body.Bytes()
		return a.classifyLong()
	}
	return routing.Broken, false
}

// classifyLong has an answer streamed that is too long to be held. One that sheds the call, or may
// be taken for a promise that the call hasn't run, isn't for the caller whatever its length.
func (a *Attempt) classifyLong() (routing.AttemptResult, bool) {
	result := a.classify()
	return result, result == routing.Answered || result == routing.Failed
}

// IsComplete tells whether the answer has come to its end.
func (a *Attempt) IsComplete() bool { return a.complete }

// RemainingBytes is how many bytes of a streamed answer are still to come; negative when it doesn't
// say how long it is.
func (a *Attempt) RemainingBytes() int {
	length := a.Response.Header.ContentLength()
	if length < 0 {
		return length
	}
	return length - len(a.prefix)
}

// Body returns the whole body of an answer that isn't streamed.
func (a *Attempt) Body() []byte { return a.prefix }

func (a *Attempt) classify() routing.AttemptResult {
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

// notExecutedStatuses are the statuses by which an answer may promise that the call hasn't run.
var notExecutedStatuses = map[int]bool{
	fasthttp.StatusRequestTimeout:     true,
	fasthttp.StatusMisdirectedRequest: true,
	fasthttp.StatusTooManyRequests:    true,
	fasthttp.StatusServiceUnavailable: true,
}

func (a *Attempt) readLoad() {
	h := &a.Response.Header
	said := a.Reading
	a.Reading = parseReading(string(h.Peek(a.pools.settings.LoadHeader)))
	a.Reading.Rest, a.Reading.Leaving, a.Reading.Limit = said.Rest, said.Leaving, said.Limit
	if header := a.pools.settings.ColdHeader; header != "" {
		a.Reading.Cold = parseColdRemaining(string(h.Peek(header)))
	}
}

// readNotice reads whether the target asks for rest, leaves or names a limit. The answer to another call tells it
// as well: what comes on a connection comes from one start of a target.
func (a *Attempt) readNotice() {
	h := &a.Response.Header
	if header := a.pools.settings.LeavingHeader; header != "" && parseLeaving(h.Peek(header)) {
		a.Reading.Leaving = true
	}
	if header := a.pools.settings.LimitHeader; header != "" {
		// Of several answers the last one says what holds now.
		a.Reading.Limit, a.UnreadableLimit = readLimit(h, header)
	}
	if a.Response.StatusCode() != fasthttp.StatusServiceUnavailable && a.classify() != routing.Shed {
		return
	}
	rest, unread := readRest(h, time.Now())
	a.Reading.Rest = max(a.Reading.Rest, rest)
	if unread != "" {
		a.UnreadableRest = unread
	}
}
