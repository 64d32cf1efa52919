// Package rollout decides from the answers that callers get whether a new version of a service's
// software is good, and when a rollout shifts all calls to it, completes or is rolled back. It does no
// I/O and reads no clock: its inputs are boxes' counts and times, its outputs are steps.
package rollout

import (
	"math"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// RouteID identifies a route in evidence: its host and path prefix.
type RouteID string

// Evidence counts the answers that one box got from one version of a service's software on one route,
// since the rollout was ordered or the box started. Counts only grow until the box
// restarts, so that lost and repeated reports do no harm.
type Evidence struct {
	Service  units.ServiceName
	Order    units.Revision
	Software units.SoftwareVersion
	Route    RouteID
	// Successes counts answers that aren't failures. Failures counts failures of the target: server
	// errors, broken and wrong answers, and calls that it never answered.
	Successes, Failures uint64
	// Times counts the successes by how long they took.
	Times Histogram
	// InFlight is how many calls the box has in flight at this version, on this route.
	InFlight uint32
}

// Buckets is how many buckets a histogram has. Their upper ends go from 1 ms to about 4 s in steps
// of the square root of two, fine enough to detect calls that take twice as long; the last bucket
// has no upper end.
const Buckets = 26

// firstBucket is the upper end of the first bucket. Faster answers
// aren't distinguished, since a caller doesn't notice.
const firstBucket = time.Millisecond

// Histogram counts answers by how long they took, in buckets of logarithmic size.
type Histogram [Buckets]uint32

// Add counts an answer that took so long.
func (h *Histogram) Add(took time.Duration) { h[bucketOf(took)]++ }

// Total returns how many answers were counted.
func (h *Histogram) Total() uint64 {
	total := uint64(0)
	for _, n := range h {
		total += uint64(n)
	}
	return total
}

func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	steps := math.Ceil(2 * math.Log2(float64(took)/float64(firstBucket)))
	return min(Buckets-1, int(steps))
}
