package rollout

import "math"

// split is how the events of a window fell on two versions' calls. Given how many events
// there were, their number on the new version's calls follows Fisher's noncentral
// hypergeometric distribution, whatever made events more frequent at both.
type split struct {
	newCalls, oldCalls   uint64
	newEvents, oldEvents uint64
}

// likelihoodRatio is how much likelier the split is if the odds of an event are assumed times
// those at the old version, than if they are allowed times.
func (s split) likelihoodRatio(allowed, assumed float64) float64 {
	log := float64(s.newEvents)*math.Log(assumed/allowed) + s.logNorm(allowed) - s.logNorm(assumed)
	return math.Exp(min(log, maxLogRatio))
}

// maxLogRatio keeps the exponential finite.
const maxLogRatio = 300

// logNorm is the logarithm of the distribution's normalizing constant at an odds ratio, up
// to a constant that is the same for all odds ratios.
func (s split) logNorm(oddsRatio float64) float64 {
	events := s.newEvents + s.oldEvents
	first := events - min(events, s.oldCalls)
	last := min(events, s.newCalls)
	term, maxTerm, sum := 0.0, 0.0, 1.0
	logOddsRatio := math.Log(oddsRatio)
	for k := first; k < last; k++ {
		// The ratio of the term of k+1 events to that of k.
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
