package routing

import "time"

// latencyEstimate follows how long answers take: a mean, and a high quantile
// that moves up fast and down slowly.
type latencyEstimate struct {
	average float64
	// steady is a mean over many more answers.
	steady float64
	high   float64
	count  uint64
}

const (
	// latencyGain is the weight of the newest answer.
	latencyGain = 0.1
	// steadyGain is its weight in the steady mean.
	steadyGain = 0.01
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
		l.average, l.steady, l.high = x, x, 2*x
		return
	}
	l.average += latencyGain * (x - l.average)
	l.steady += max(steadyGain, 1/float64(l.count)) * (x - l.steady)
	// Steps in this ratio balance where a share of highQuantile lies below.
	if x > l.high {
		l.high *= 1 + highStep*highQuantile
	} else {
		l.high *= 1 - highStep*(1-highQuantile)
	}
}

func (l *latencyEstimate) mean() time.Duration {
	if l.count == 0 {
		return defaultLatency
	}
	return time.Duration(l.average)
}

func (l *latencyEstimate) steadyMean() time.Duration {
	if l.count == 0 {
		return defaultLatency
	}
	return time.Duration(l.steady)
}

func (l *latencyEstimate) quantile() time.Duration {
	if l.count == 0 {
		return 4 * defaultLatency
	}
	return time.Duration(l.high)
}
