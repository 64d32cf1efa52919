package routing

import "github.com/madderpond/madderpond/pkg/units"

// load is how many calls are under way at the target as far as this box knows: what the
// target reported last, which counts less as it ages, and what this box has sent it since;
// at least the box's own. Whatever asks for room at a target asks here, so that what other
// boxes know of it has one place to come in.
func (t *target) load(now units.Instant) float64 {
	return max(float64(t.inFlight), t.reportedLoad(now))
}

// reportedLoad is the part that rests on the target's reports.
func (t *target) reportedLoad(now units.Instant) float64 {
	if !t.reading.HasLoad {
		return 0
	}
	left := remaining(now.Sub(t.reading.at), loadMemory)
	return (t.reading.InFlight + float64(t.sentSince)) * left
}
