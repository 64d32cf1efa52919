package routing

import "time"

// latencyEstimate follows how long answers take: a mean, and a high quantile
// that moves up fast and down slowly.
type latencyEstimate struct {
	average float64
	// longTermAverage is a mean over many more answers.
	longTermAverage float64
	highEstimate    float64
	count           uint64
}

const (
	// latencyGain is the weight of the newest answer.
	latencyGain = 0.1
	// longTermGain is its weight in the steady mean.
	longTermGain = 0.01
	// defaultLatency stands in until the first answer.
	defaultLatency = 5 * time.Millisecond
	// highQuantile is what high aims at.
	highQuantile = 0.95
	// highStep is how far high moves at a time, as a part of itself.
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
	// Steps in this ratio balance where a share of highQuantile lies below.
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
