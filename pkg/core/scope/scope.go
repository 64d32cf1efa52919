// Package scope says which targets of a large service are in a box's table. A box sends its calls to a few
// targets of such a service only; to send every target, and each change of one, to every box costs boxes
// times targets. So the registered targets of a failure domain are divided by a step: a box holds
// one in 2^step of them, drawn by a hash of box and target. Which box holds which target follows from
// ids and step alone, so that everybody works it out the same, and a box that comes or goes moves no
// other's targets.
package scope

import (
	"cmp"
	"slices"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
)

// Step is how often the targets of a failure domain are halved for a box of another domain.
type Step int

const (
	// ownSteps is how many steps less a box's own failure domain is divided by: its calls go there.
	ownSteps = 2
	// wholeService is up to how many registered targets a service is sent whole to every box, since fewer
	// cost boxes little, and wholeProduct up to how many boxes times targets: that is what sending all costs.
	// A service that was divided is sent whole again from half of that on.
	wholeService = 250
	wholeProduct = 250_000
	// mostOfDomain and leastOfDomain bound how many targets of another domain a box holds, where
	// there are more: enough to go to when its own domain is lost.
	mostOfDomain  = 48
	leastOfDomain = 12
	// leastHolders is how many boxes are to hold a target before a step is taken, so that as good as
	// none is held by nobody; fewestHolders is from how few on a step is taken back. Between
	// them boxes may come and go without a change.
	leastHolders  = 24
	fewestHolders = 6
	// soonPart is from which part of mostOfDomain on a domain takes a step together with another one that
	// takes it: each change of a division costs a message to every box.
	soonPart = 0.75
)

// Rank is a box's place among those that hold a target: the higher, the larger the steps at which it
// does. The box that comes first for a target by rendezvous.Hash holds it longest.
type Rank uint64

// RankOf returns a box's rank for a target.
func RankOf(box units.BoxID, target units.TargetID) Rank { return Rank(rendezvous.Hash(box, target)) }

// Holds tells whether a box of this rank holds the target at a step; then it does at each smaller one.
func (r Rank) Holds(s Step) bool { return s <= 0 || ^r>>(64-s) == 0 }

// DomainStep is the step of a failure domain's targets.
type DomainStep struct {
	Domain units.Domain
	Step   Step
}

// Division is how the targets of a service are divided: the domains with a step, in order. It is nil
// for a service that boxes are told of whole.
type Division []DomainStep

// StepOf returns the step by which a box of one domain holds the targets of another, or its own.
func (d Division) StepOf(box, targets units.Domain) Step {
	if box == targets {
		return max(0, d.Step(targets)-ownSteps)
	}
	return d.Step(targets)
}

// Step returns the step of a domain's targets.
func (d Division) Step(targets units.Domain) Step {
	i, found := slices.BinarySearchFunc(d, targets, func(x DomainStep, t units.Domain) int { return cmp.Compare(x.Domain, t) })
	if !found {
		return 0
	}
	return d[i].Step
}

// Count is a number in a failure domain.
type Count struct {
	Domain units.Domain
	N      int
}

// Boxes counts the boxes of each failure domain.
type Boxes map[units.Domain]int

// Total returns how many boxes there are.
func (b Boxes) Total() int {
	n := 0
	for _, x := range b {
		n += x
	}
	return n
}

// Holders returns how many boxes hold a target of a domain at a step, in the mean.
func (b Boxes) Holders(total int, d units.Domain, s Step) int {
	own := b[d]
	return own>>max(0, s-ownSteps) + (total-own)>>max(0, s)
}

// holdersMargin is how many times the mean of holders a target may have: the draw by hashes hardly
// ever gives one more.
const holdersMargin = 2

// MostHolders bounds how many boxes hold a target of a domain at a step; a total is divided by it.
func (b Boxes) MostHolders(total int, d units.Domain, s Step) int {
	return max(1, min(total, holdersMargin*b.Holders(total, d, s)))
}

// Next returns how a service is divided after a change, given how it was before and how many
// registered targets it has in each domain, in order. A step is kept until the numbers are far from
// what it is meant for, so that changes of a few boxes or targets move none.
func Next(before Division, targets []Count, boxes Boxes) Division {
	registered := 0
	for _, c := range targets {
		registered += c.N
	}
	total := boxes.Total()
	if !divides(before, registered, total) {
		return nil
	}
	next := steps(before, targets, boxes, total, mostOfDomain)
	if !slices.Equal(next, before) {
		next = steps(before, targets, boxes, total, soonPart*mostOfDomain)
	}
	return next
}

// divides tells whether a service is told of in parts.
func divides(before Division, registered, boxes int) bool {
	if before == nil {
		return registered > wholeService && registered*boxes > wholeProduct
	}
	return registered > wholeService/2 && registered*boxes > wholeProduct/2
}

// steps returns the steps of all domains, given how many targets of another domain a box holds at the most.
func steps(before Division, targets []Count, boxes Boxes, total, most int) Division {
	var next Division
	for _, c := range targets {
		step := nextStep(before.Step(c.Domain), c, boxes, total, most)
		if step > 0 {
			next = append(next, DomainStep{Domain: c.Domain, Step: step})
		}
	}
	return next
}

func nextStep(step Step, c Count, boxes Boxes, total, most int) Step {
	for c.N>>step > most && enoughHolders(boxes, total, c.Domain, step+1) {
		step++
	}
	for step > 0 && (c.N>>step < leastOfDomain || boxes.Holders(total, c.Domain, step) < fewestHolders) {
		step--
	}
	return step
}

// enoughHolders tells whether enough boxes hold a target at a step, half of them beside it where
// there are boxes at all: those coordinate what all boxes send it.
func enoughHolders(boxes Boxes, total int, d units.Domain, s Step) bool {
	own := boxes[d]
	if own > 0 && own>>max(0, s-ownSteps) < leastHolders/2 {
		return false
	}
	return boxes.Holders(total, d, s) >= leastHolders
}
