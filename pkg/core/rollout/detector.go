package rollout

// detector looks for the moment from which an event, a bad or a slow answer, is more frequent
// among calls of the new version than it should be. It is a Shiryaev-Roberts sum: each window multiplies the sum by the
// likelihood of its events under an assumed odds ratio against that under the allowed one,
// so that a long good time doesn't hide a late fault. While the new version is no worse
// than allowed, the sum's mean after n windows is at most n.
type detector struct {
	oddsRatios []float64
	sums       []float64
}

func newDetector(odds []float64) detector {
	return detector{oddsRatios: odds, sums: make([]float64, len(odds))}
}

// maxSum keeps a sum finite, far above any threshold.
const maxSum = 1e30

// observe takes a window.
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
