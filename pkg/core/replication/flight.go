package replication

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// maxUnanswered is how many append requests may be under way to a replica: one with entries, and one
// that tells it of the commit that follows. What comes meanwhile goes together in the next one, so
// that a leader's work doesn't grow with how many commands come at a time.
const maxUnanswered = 2

// flight holds the rounds of the append requests that a replica hasn't answered.
type flight struct {
	rounds [maxUnanswered]units.Instant
}

// full tells whether another request had better wait for an answer. One that hasn't been answered
// within patience counts as lost.
func (f *flight) full(now units.Instant, patience time.Duration) bool {
	for _, sent := range f.rounds {
		if sent == 0 || now.Sub(sent) >= patience {
			return false
		}
	}
	return true
}

// add notes a request, in place of the oldest one.
func (f *flight) add(round units.Instant) {
	oldest := 0
	for i, sent := range f.rounds {
		if sent < f.rounds[oldest] {
			oldest = i
		}
	}
	f.rounds[oldest] = round
}

// answered notes the answer to a request. Those before it have been answered or are lost.
func (f *flight) answered(round units.Instant) {
	for i, sent := range f.rounds {
		if sent <= round {
			f.rounds[i] = 0
		}
	}
}
