package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// loadReport is the last load that a target reported, with its age and the trust
// that it has earned.
type loadReport struct {
	Reading
	receivedAt units.Instant
	// trust falls when the target sheds while it claims to be idle.
	trust float64
}

const (
	// reportHalfLife is the age at which a reading counts for a half.
	reportHalfLife  = 20 * time.Millisecond
	trustGain       = 0.05
	trustLossFactor = 0.5
)

func (r *loadReport) update(now units.Instant, x Reading) {
	if !x.Known {
		return
	}
	r.Reading = x
	r.receivedAt = now
	r.trust = min(1, r.trust+trustGain)
}

// recordReport takes a target's load report.
func (t *target) recordReport(now units.Instant, x Reading) {
	if x.Known {
		t.sentSinceReport = 0
	}
	t.report.update(now, x)
}

// reduceTrust notes that the target shed a call.
func (r *loadReport) reduceTrust() { r.trust *= trustLossFactor }

// callsOfOtherBoxes returns how many calls of other boxes the target seems to have.
func (r *loadReport) callsOfOtherBoxes(now units.Instant, own int) float64 {
	if !r.Known {
		return 0
	}
	return max(0, r.InFlight-float64(own)) * hyperbolicDecay(now.Sub(r.receivedAt), reportHalfLife) * r.trust
}
