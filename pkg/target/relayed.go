package target

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// The headers of relayed calls and their responses, and those of refusals.
const (
	// RelayElapsedHeader carries the microseconds since the call's arrival, RelayAttemptsHeader the
	// number of targets it may be sent to, RelayRevisionHeader the revision of the relaying box's
	// table, RelayCallerHeader a digest of the caller.
	RelayElapsedHeader  = "X-Madderpond-Relay-Elapsed-Us"
	RelayAttemptsHeader = "X-Madderpond-Relay-Attempts"
	RelayRevisionHeader = "X-Madderpond-Relay-Revision"
	RelayCallerHeader   = "X-Madderpond-Relay-Caller"
	// RelayResultHeader marks the response to a relayed call: RelayAnswered for that of a target,
	// RelayDeclined for a refusal.
	RelayResultHeader = "X-Madderpond-Relay-Result"
	RelayAnswered     = "answered"
	RelayDeclined     = "declined"
	// RelayLoadHeader carries, in the response to a relayed call, the number of other boxes' calls in
	// flight at the box that responds.
	RelayLoadHeader = "X-Madderpond-Relay-Load"

	// OutcomeHeader, ReasonHeader and RetryAfterMsHeader describe a refusal.
	OutcomeHeader      = "X-Madderpond-Outcome"
	ReasonHeader       = "X-Madderpond-Reason"
	RetryAfterMsHeader = "X-Madderpond-Retry-After-Ms"
)

// classifyRelayed returns the result of a relayed call. A response without a known mark isn't one of
// a box.
func (a *Attempt) classifyRelayed() routing.AttemptResult {
	h := &a.Response.Header
	a.HelperLoad = parseHelperLoad(h)
	switch string(h.Peek(RelayResultHeader)) {
	case RelayAnswered:
		return routing.Answered
	case RelayDeclined:
		a.Declined = parseDeclined(h)
		return routing.Declined
	}
	return routing.Broken
}

// parseHelperLoad reads the load of the box that a call was relayed to; negative if it isn't stated.
func parseHelperLoad(h *fasthttp.ResponseHeader) int {
	n, err := strconv.Atoi(string(h.Peek(RelayLoadHeader)))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// parseDeclined reads another box's refusal. A call whose outcome isn't stated may have run.
func parseDeclined(h *fasthttp.ResponseHeader) routing.Refusal {
	x := routing.Refusal{Reason: routing.ReasonNamed(string(h.Peek(ReasonHeader))), Outcome: routing.Unknown}
	if string(h.Peek(OutcomeHeader)) == routing.NotRun.String() {
		x.Outcome = routing.NotRun
	}
	if x.Reason == 0 {
		x.Reason = routing.AttemptBroken
	}
	if ms, err := strconv.ParseInt(string(h.Peek(RetryAfterMsHeader)), 10, 32); err == nil {
		x.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(string(h.Peek(RelayAttemptsHeader))); err == nil && n > 0 {
		x.Arrivals = n
	}
	return x
}
