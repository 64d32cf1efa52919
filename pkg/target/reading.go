package target

import (
	"strconv"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// usualPace is the pace of a target whose work takes as long as usual, in hundredths.
const usualPace = 100

// parseReading reads what a target says of its load: the number of its calls, or the
// calls running, those waiting, the slots, and how long work takes now in hundredths
// of the usual, divided by commas. What can't be read says nothing.
func parseReading(text string) routing.TargetReport {
	if text == "" {
		return routing.TargetReport{}
	}
	reading := routing.TargetReport{HasLoad: true, Pace: 1}
	for i, word := range strings.Split(text, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil || x < 0 {
			return routing.TargetReport{}
		}
		switch i {
		case 0, 1:
			reading.InFlight += x
		case 2:
			reading.Slots = x
		case 3:
			reading.Pace = x / usualPace
		}
	}
	return reading
}

// parseCold reads for how many milliseconds a target says that it stays cold. What can't be
// read says that it is warm: the target's registration tells of cold ones as well.
func parseCold(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
