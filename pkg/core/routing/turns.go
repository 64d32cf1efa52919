package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
)

// The services of a route are picked by smooth weighted round-robin. Hundreds of boxes may get one
// call each in the time over which users observe the weights, so each box starts at a different
// position of the sequence.

// maxSkippedTurns bounds how many turns a box skips to get to its start position. It does so for
// each route whose weights an operator changes.
const maxSkippedTurns = 1000

// routePart is a service of a route with its weight. Credits spread the turns of a service evenly,
// in proportion to its weight.
type routePart struct {
	service *service
	weight  int
	credit  int
}

// nextService returns the service whose turn it is, or nil when the route has none.
func (x *route) nextService() *service {
	if len(x.parts) == 0 {
		return nil
	}
	total, best := 0, 0
	for i := range x.parts {
		p := &x.parts[i]
		p.credit += p.weight
		total += p.weight
		if p.credit > x.parts[best].credit {
			best = i
		}
	}
	x.parts[best].credit -= total
	return x.parts[best].service
}

// carryOverTurns continues at the position that the route had before a change of the table. The
// sequence starts again if the route is new or its parts have changed.
func (x *route) carryOverTurns(old *route, box units.BoxID) {
	if old != nil && slices.EqualFunc(x.parts, old.parts, func(a, b routePart) bool { return a.service == b.service && a.weight == b.weight }) {
		copy(x.parts, old.parts)
		return
	}
	x.startTurns(box)
}

// startTurns moves to the box's start position in the sequence of turns.
func (x *route) startTurns(box units.BoxID) {
	if len(x.parts) < 2 {
		return
	}
	skipped := rendezvous.Hash(box, x.host+x.prefix) % uint64(min(x.turnPeriod(), maxSkippedTurns))
	for range skipped {
		x.nextService()
	}
}

// turnPeriod is the number of turns after which the sequence repeats.
func (x *route) turnPeriod() int {
	total, divisor := 0, 0
	for i := range x.parts {
		total += x.parts[i].weight
		divisor = greatestCommonDivisor(divisor, x.parts[i].weight)
	}
	return total / divisor
}

func greatestCommonDivisor(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
