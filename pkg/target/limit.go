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

// readLimit reads how many calls a second a target takes from all boxes together. Where it says so
// several times the least counts. What can't be read is returned: it names no limit, and ends none.
func readLimit(h *fasthttp.ResponseHeader, header string) (said routing.SaidLimit, unread string) {
	for _, value := range h.PeekAll(header) {
		rate, ok := parseLimit(string(bytes.TrimSpace(value)))
		switch {
		case !ok:
			unread = string(value[:min(len(value), maxUnreadableBytes)])
			said.Unread = true
		case !said.Named || rate < said.Rate:
			said.Named, said.Rate = true, rate
		}
	}
	return said, unread
}

// decimalChars are the characters of decimalChars numbers; what else the parser of numbers takes, such as
// hexadecimal ones and infinity, is no limit.
const decimalChars = "+-.0123456789eE"

// parseLimit reads a decimal number of calls a second that isn't less than none.
func parseLimit(text string) (units.CallRate, bool) {
	if strings.Trim(text, decimalChars) != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || x < 0 || math.IsInf(x, 0) {
		return 0, false
	}
	// A negative zero is none too.
	return units.CallRate(math.Abs(x)), true
}
