package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// reading is the last load that a target reported, with its age and the trust
// that it has earned.
type reading struct {
	Reading
	at units.Instant
	// trust falls when the target sheds while it claims to be idle.
	trust float64
}

const (
	// readingAge is the age at which a reading counts for a half.
	readingAge = 20 * time.Millisecond
	trustGain  = 0.05
	trustLoss  = 0.5
)

func (r *reading) take(now units.Instant, x Reading) {
	if !x.HasLoad {
		return
	}
	r.Reading = x
	r.at = now
	r.trust = min(1, r.trust+trustGain)
}

// takeReading takes a target's load report.
func (t *target) takeReading(now units.Instant, x Reading) {
	if x.HasLoad {
		t.sentSince = 0
	}
	t.reading.take(now, x)
}

// contradicted notes that the target shed a call.
func (r *reading) contradicted() { r.trust *= trustLoss }

// estimate returns how many calls of other boxes the target seems to have.
func (r *reading) estimate(now units.Instant, own int) float64 {
	if !r.HasLoad {
		return 0
	}
	return max(0, r.InFlight-float64(own)) * freshness(now.Sub(r.at), readingAge) * r.trust
}
