package target

import (
	"strconv"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// usualPacePercent is the reported pace of a target whose work takes as long as usual.
const usualPacePercent = 100

// parseReport parses the load that a target reports, as numbers separated by commas: its calls
// in flight alone, or the calls running, the calls waiting, the slots, and how long work takes
// now in percent of the usual. A value that can't be parsed is ignored as a whole.
func parseReport(text string) routing.TargetReport {
	if text == "" {
		return routing.TargetReport{}
	}
	report := routing.TargetReport{HasLoad: true, Pace: 1}
	for i, field := range strings.Split(text, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || x < 0 {
			return routing.TargetReport{}
		}
		switch i {
		case 0, 1:
			report.InFlight += x
		case 2:
			report.Slots = x
		case 3:
			report.Pace = x / usualPacePercent
		}
	}
	return report
}

// parseColdRemaining parses for how many milliseconds a target stays cold. A value that can't be
// parsed counts as warm, since the target's registration reports a cold target as well.
func parseColdRemaining(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
