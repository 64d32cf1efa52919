package rollout

import "math"

// split is how the events of a window are distributed over the calls of the two versions. Given the
// total number of events, their number among the new version's calls follows Fisher's noncentral
// hypergeometric distribution, whatever made events more frequent at both versions.
type split struct {
	newCalls, oldCalls   uint64
	newEvents, oldEvents uint64
}

// likelihoodRatio returns the likelihood of the split if the odds of an event at the new version
// are assumed times those at the old version, divided by its likelihood if they are allowed times
// those.
func (s split) likelihoodRatio(allowed, assumed float64) float64 {
	log := float64(s.newEvents)*math.Log(assumed/allowed) + s.logNorm(allowed) - s.logNorm(assumed)
	return math.Exp(min(log, maxLogRatio))
}

// maxLogRatio caps the logarithm of a likelihood ratio, so that the ratio is finite.
const maxLogRatio = 300

// logNorm returns the logarithm of the distribution's normalizing constant at an odds ratio, up
// to a constant that is the same for all odds ratios.
func (s split) logNorm(oddsRatio float64) float64 {
	events := s.newEvents + s.oldEvents
	first := events - min(events, s.oldCalls)
	last := min(events, s.newCalls)
	term, maxTerm, sum := 0.0, 0.0, 1.0
	logOddsRatio := math.Log(oddsRatio)
	for k := first; k < last; k++ {
		// The ratio of the term for k+1 events to that for k.
		ratio := float64(s.newCalls-k) * float64(events-k) / (float64(k+1) * float64(s.oldCalls+k+1-events))
		term += math.Log(ratio) + logOddsRatio
		if term > maxTerm {
			sum = sum*math.Exp(maxTerm-term) + 1
			maxTerm = term
			continue
		}
		sum += math.Exp(term - maxTerm)
	}
	return maxTerm + math.Log(sum) + float64(first)*logOddsRatio
}
