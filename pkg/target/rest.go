package target

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxRest bounds the rest that a target may ask for at once. One that asks for more, by
	// mistake or because it counts in other units, gets a call an hour and may ask again; callers
	// aren't kept from it for good.
	maxRest = time.Hour
	// maxUnreadableBytes bounds the bytes of an unreadable rest that a log line carries.
	maxUnreadableBytes = 64
)

// readRest reads for how long a target that turned a call away wants nothing more. Where it says so
// several times the longest counts. What can't be read asks for nothing, and is returned.
func readRest(h *fasthttp.ResponseHeader, now time.Time) (rest time.Duration, unread string) {
	for _, value := range h.PeekAll(fasthttp.HeaderRetryAfter) {
		x, ok := parseRest(string(bytes.TrimSpace(value)), responseDate(h, now))
		if !ok {
			unread = string(value[:min(len(value), maxUnreadableBytes)])
			continue
		}
		rest = max(rest, x)
	}
	return rest, unread
}

// parseRest reads a number of seconds, with or without a fraction, or a date. A rest of less than
// nothing isn't one.
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

// responseDate is when an answer was made by its target's clock, which a date in it goes by, or this
// box's time where the answer doesn't say.
func responseDate(h *fasthttp.ResponseHeader, now time.Time) time.Time {
	if date, err := fasthttp.ParseHTTPDate(h.Peek(fasthttp.HeaderDate)); err == nil {
		return date
	}
	return now
}

// parseLeaving reads whether a target says that it is about to end.
func parseLeaving(value []byte) bool {
	return string(bytes.TrimSpace(value)) == "1"
}
