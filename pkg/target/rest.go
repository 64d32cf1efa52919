package target

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxRest caps the rest that a target may ask for at once. One that asks for more, by mistake
	// or because it uses other units, gets a call every hour and may ask again, so that it isn't
	// unavailable to callers for good.
	maxRest = time.Hour
	// maxUnreadableBytes caps how much of an unreadable header value is logged.
	maxUnreadableBytes = 64
)

// readRest reads for how long a target that rejected a call asks for no more. Of several header
// values the longest applies. A value that can't be parsed asks for no rest and is returned as
// unreadable.
func readRest(h *fasthttp.ResponseHeader, now time.Time) (rest time.Duration, unreadable string) {
	for _, value := range h.PeekAll(fasthttp.HeaderRetryAfter) {
		x, ok := parseRest(string(bytes.TrimSpace(value)), responseDate(h, now))
		if !ok {
			unreadable = string(value[:min(len(value), maxUnreadableBytes)])
			continue
		}
		rest = max(rest, x)
	}
	return rest, unreadable
}

// parseRest parses a number of seconds, with or without a fraction, or an HTTP date. A negative
// number of seconds is invalid.
func parseRest(text string, now time.Time) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds >= 0) {
			return 0, false
		}
		return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second)), true
	}
	until, err := fasthttp.ParseHTTPDate([]byte(text))
	if err != nil {
		return 0, false
	}
	return max(0, min(until.Sub(now), maxRest)), true
}

// responseDate returns the Date header of a response, since other dates in it follow the target's
// clock too, or this box's time if there is none.
func responseDate(h *fasthttp.ResponseHeader, now time.Time) time.Time {
	if date, err := fasthttp.ParseHTTPDate(h.Peek(fasthttp.HeaderDate)); err == nil {
		return date
	}
	return now
}

// parseLeaving reports whether the header says that the target is about to stop.
func parseLeaving(value []byte) bool {
	return string(bytes.TrimSpace(value)) == "1"
}
