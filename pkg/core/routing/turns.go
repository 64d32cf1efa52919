package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
)

// The services of a route take turns by their weights. Hundreds of boxes may get one call each in the time over
// which users look at the weights, so that each box begins at its own place in the order of turns.

// maxSkippedTurns bounds how many turns a box passes over to begin at its own place, which it does for each route whose
// weights an operator changes.
const maxSkippedTurns = 1000

// routePart is a service's part of a route's calls. Credits make each part come up
// in proportion to its weight, evenly spread.
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

// carryOverTurns goes on where the route was before a change of the table; it begins anew where there was none, or
// its parts have changed.
func (x *route) carryOverTurns(old *route, box units.BoxID) {
	if old != nil && slices.EqualFunc(x.parts, old.parts, func(a, b routePart) bool { return a.service == b.service && a.weight == b.weight }) {
		copy(x.parts, old.parts)
		return
	}
	x.startTurns(box)
}

// startTurns has a box begin at its own place in the order of turns.
func (x *route) startTurns(box units.BoxID) {
	if len(x.parts) < 2 {
		return
	}
	passed := rendezvous.Hash(box, x.host+x.prefix) % uint64(min(x.turnPeriod(), maxSkippedTurns))
	for range passed {
		x.nextService()
	}
}

// turnPeriod is after how many turns they come round.
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
