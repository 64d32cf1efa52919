package routing

import "github.com/madderpond/madderpond/pkg/units"

// load estimates how many calls are in flight at the target: the load that it last reported,
// weighted by the report's age, plus the calls that this box has sent since; at least this box's
// own calls. All checks for a free slot use it, so that data from other boxes could be added here.
func (t *target) load(now units.Instant) float64 {
	return max(float64(t.inFlight), t.reportedLoad(now))
}

// reportedLoad returns the part of the estimate that is based on the target's reports.
func (t *target) reportedLoad(now units.Instant) float64 {
	if !t.report.Known {
		return 0
	}
	weight := linearDecay(now.Sub(t.report.receivedAt), loadLifetime)
	return (t.report.InFlight + float64(t.sentSinceReport)) * weight
}
