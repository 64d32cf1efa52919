package rollout

// detector detects that from some moment on an event, a failure or a slow answer, is more frequent
// among calls of the new version than is allowed. It keeps a Shiryaev-Roberts statistic per assumed
// odds ratio: each window adds one to the sum and multiplies it by the likelihood ratio of the
// window's events, under the assumed odds ratio against the allowed one, so that a long good time
// doesn't hide a late fault. While the new version is no worse than allowed, the expected value of
// the sum after n windows is at most n.
type detector struct {
	oddsRatios []float64
	sums       []float64
}

func newDetector(odds []float64) detector {
	return detector{oddsRatios: odds, sums: make([]float64, len(odds))}
}

// maxSum keeps a sum finite; it is far above any threshold.
const maxSum = 1e30

// observe updates the sums with a window, in which an odds ratio up to allowed is no fault.
func (d *detector) observe(allowed float64, s split) {
	if s.newCalls == 0 || s.oldCalls == 0 {
		return
	}
	for i, odds := range d.oddsRatios {
		ratio := s.likelihoodRatio(allowed, allowed*odds)
		d.sums[i] = min(maxSum, (1+d.sums[i])*ratio)
	}
}

func (d *detector) mean() float64 {
	total := 0.0
	for _, s := range d.sums {
		total += s
	}
	return total / float64(len(d.sums))
}
