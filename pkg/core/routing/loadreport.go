package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// loadReport is the last load that a target reported, with the time of its arrival and a trust
// factor.
type loadReport struct {
	TargetReport
	receivedAt units.Instant
	// trust is a factor from 0 to 1. It falls when the target sheds calls while its reports show it
	// idle.
	trust float64
}

const (
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife  = 20 * time.Millisecond
	trustGain       = 0.05
	trustLossFactor = 0.5
)

func (r *loadReport) update(now units.Instant, x TargetReport) {
	if !x.HasLoad {
		return
	}
	r.TargetReport = x
	r.receivedAt = now
	r.trust = min(1, r.trust+trustGain)
}

// recordReport stores a load report from the target.
func (t *target) recordReport(now units.Instant, x TargetReport) {
	if x.HasLoad {
		t.sentSinceReport = 0
	}
	t.report.update(now, x)
}

// reduceTrust lowers the trust after the target has shed a call.
func (r *loadReport) reduceTrust() { r.trust *= trustLossFactor }

// callsOfOtherBoxes estimates how many calls of other boxes the target is running.
func (r *loadReport) callsOfOtherBoxes(now units.Instant, own int) float64 {
	if !r.HasLoad {
		return 0
	}
	return max(0, r.InFlight-float64(own)) * hyperbolicDecay(now.Sub(r.receivedAt), reportHalfLife) * r.trust
}
