package target

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// readLimit reads how many calls per second a target accepts from all boxes together. Of several
// header values the lowest applies. A value that can't be parsed is returned as unreadable: it
// neither sets a limit nor ends one.
func readLimit(h *fasthttp.ResponseHeader, header string) (limit routing.ReportedLimit, unreadable string) {
	for _, value := range h.PeekAll(header) {
		rate, ok := parseLimit(string(bytes.TrimSpace(value)))
		switch {
		case !ok:
			unreadable = string(value[:min(len(value), maxUnreadableBytes)])
			limit.Malformed = true
		case !limit.Present || rate < limit.Rate:
			limit.Present, limit.Rate = true, rate
		}
	}
	return limit, unreadable
}

// decimalChars are the characters of decimal numbers. ParseFloat accepts other forms as well, such
// as hexadecimal numbers and infinity, which aren't valid limits.
const decimalChars = "+-.0123456789eE"

// parseLimit parses a decimal number of calls per second that isn't negative.
func parseLimit(text string) (units.CallRate, bool) {
	if strings.Trim(text, decimalChars) != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || x < 0 || math.IsInf(x, 0) {
		return 0, false
	}
	// A negative zero counts as zero.
	return units.CallRate(math.Abs(x)), true
}
