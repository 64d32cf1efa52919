package replication

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// maxInFlightAppends is how many append requests may be under way to a replica: one with entries, and one
// that tells it of the commit that follows. What comes meanwhile goes together in the next one, so
// that a leader's work doesn't grow with how many commands come at a time.
const maxInFlightAppends = 2

// inFlightAppends holds the rounds of the append requests that a replica hasn't answered.
type inFlightAppends struct {
	sentAt [maxInFlightAppends]units.Instant
}

// full tells whether another request had better wait for an answer. One that hasn't been answered
// within patience counts as lost.
func (f *inFlightAppends) full(now units.Instant, timeout time.Duration) bool {
	for _, sent := range f.sentAt {
		if sent == 0 || now.Sub(sent) >= timeout {
			return false
		}
	}
	return true
}

// add notes a request, in place of the oldest one.
func (f *inFlightAppends) add(round units.Instant) {
	oldest := 0
	for i, sent := range f.sentAt {
		if sent < f.sentAt[oldest] {
			oldest = i
		}
	}
	f.sentAt[oldest] = round
}

// complete notes the answer to a request. Those before it have been complete or are lost.
func (f *inFlightAppends) complete(round units.Instant) {
	for i, sent := range f.sentAt {
		if sent <= round {
			f.sentAt[i] = 0
		}
	}
}
