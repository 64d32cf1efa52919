// Package rollout decides whether a new version of a service's software is good, from the
// answers that callers get, and when a rollout goes on, completes or is rolled back. It is
// pure: boxes' counts and time come in, steps go out.
package rollout

import (
	"math"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// RouteID names a route in evidence: its host and path prefix.
type RouteID string

// Evidence is what one box has seen of one version of a service's software on one route,
// since the rollout was ordered or the box started. Counts only grow within one start of a
// box, so that a lost or repeated report changes nothing.
type Evidence struct {
	Service  units.ServiceName
	Order    units.Revision
	Software units.SoftwareVersion
	Route    RouteID
	// Successes counts answers that aren't failures; Failures counts failures of the target: server
	// errors, broken and wrong answers, and calls that it never answered.
	Successes, Failures uint64
	// Times counts the good answers by how long they took.
	Times Histogram
	// InFlight is how many calls of this version the box waits for.
	InFlight uint32
}

// Buckets is how many buckets a histogram has: from 1 ms to 4 s in steps of the square root
// of two, which tells calls that take twice as long apart from others.
const Buckets = 26

// firstBucket is the upper end of the first bucket: answers that take less than that
// aren't told apart, since a caller doesn't notice.
const firstBucket = time.Millisecond

// Histogram counts answers by how long they took.
type Histogram [Buckets]uint32

// Add counts an answer.
func (h *Histogram) Add(took time.Duration) { h[bucketOf(took)]++ }

// Total is how many answers were counted.
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
