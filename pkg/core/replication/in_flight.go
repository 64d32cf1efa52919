package replication

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// maxInFlightAppends bounds the append requests in flight to a replica: one with entries, and one
// with the commit index that follows. Commands that arrive meanwhile are batched into the next
// request, so that a leader's work doesn't grow with the number of concurrent commands.
const maxInFlightAppends = 2

// inFlightAppends holds the send times of the append requests that a replica hasn't answered; zero
// marks an unused element. A request's round is its send time on the leader's clock.
type inFlightAppends struct {
	sentAt [maxInFlightAppends]units.Instant
}

// full reports whether the limit is reached. A request without an answer after timeout counts as
// lost.
func (f *inFlightAppends) full(now units.Instant, timeout time.Duration) bool {
	for _, sent := range f.sentAt {
		if sent == 0 || now.Sub(sent) >= timeout {
			return false
		}
	}
	return true
}

// add records a request, in place of the oldest one.
func (f *inFlightAppends) add(round units.Instant) {
	oldest := 0
	for i, sent := range f.sentAt {
		if sent < f.sentAt[oldest] {
			oldest = i
		}
	}
	f.sentAt[oldest] = round
}

// complete removes a request that was answered and all earlier ones, which were answered or lost.
func (f *inFlightAppends) complete(round units.Instant) {
	for i, sent := range f.sentAt {
		if sent <= round {
			f.sentAt[i] = 0
		}
	}
}
