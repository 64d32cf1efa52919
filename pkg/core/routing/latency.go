package routing

import "time"

// latencyEstimate tracks the latency of answers: a moving average, one over a longer term, and a
// high quantile that rises fast and falls slowly.
type latencyEstimate struct {
	average float64
	// longTermAverage is the moving average over about ten times as many answers.
	longTermAverage float64
	highEstimate    float64
	count           uint64
}

const (
	// latencyGain is the weight of the newest answer in the average.
	latencyGain = 0.1
	// longTermGain is the weight of the newest answer in the long-term average.
	longTermGain = 0.01
	// defaultLatency is assumed before the first answer.
	defaultLatency = 5 * time.Millisecond
	// highQuantile is the quantile that highEstimate tracks.
	highQuantile = 0.95
	// highStep scales the relative change of highEstimate with each answer.
	highStep = 0.05
)

func (l *latencyEstimate) add(d time.Duration) {
	x := float64(d)
	l.count++
	if l.count == 1 {
		l.average, l.longTermAverage, l.highEstimate = x, x, 2*x
		return
	}
	l.average += latencyGain * (x - l.average)
	l.longTermAverage += max(longTermGain, 1/float64(l.count)) * (x - l.longTermAverage)
	// With steps of this ratio the estimate is stable where a fraction highQuantile of the answers
	// is below it.
	if x > l.highEstimate {
		l.highEstimate *= 1 + highStep*highQuantile
	} else {
		l.highEstimate *= 1 - highStep*(1-highQuantile)
	}
}

func (l *latencyEstimate) mean() time.Duration {
	if l.count == 0 {
		return defaultLatency
	}
	return time.Duration(l.average)
}

func (l *latencyEstimate) longTermMean() time.Duration {
	if l.count == 0 {
		return defaultLatency
	}
	return time.Duration(l.longTermAverage)
}

func (l *latencyEstimate) quantile() time.Duration {
	if l.count == 0 {
		return 4 * defaultLatency
	}
	return time.Duration(l.highEstimate)
}
