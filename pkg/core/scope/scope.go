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
	// ownDomainSteps is how many steps less a box's own failure domain is divided by: its calls go there.
	ownDomainSteps = 2
	// maxUndividedTargets is up to how many registered targets a service is sent whole to every box, since fewer
	// cost boxes little, and wholeProduct up to how many boxes times targets: that is what sending all costs.
	// A service that was divided is sent whole again from half of that on.
	maxUndividedTargets = 250
	maxUndividedPairs   = 250_000
	// maxRemoteTargets and leastOfDomain bound how many targets of another domain a box holds, where
	// there are more: enough to go to when its own domain is lost.
	maxRemoteTargets = 48
	minRemoteTargets = 12
	// stepUpHolders is how many boxes are to hold a target before a step is taken, so that as good as
	// none is held by nobody; fewestHolders is from how few on a step is taken back. Between
	// them boxes may come and go without a change.
	stepUpHolders   = 24
	stepDownHolders = 6
	// jointStepFraction is from which part of mostOfDomain on a domain takes a step together with another one that
	// takes it: each change of a division costs a message to every box.
	jointStepFraction = 0.75
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
		return max(0, d.Step(targets)-ownDomainSteps)
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

// DomainCount is a number in a failure domain.
type DomainCount struct {
	Domain units.Domain
	N      int
}

// BoxCounts counts the boxes of each failure domain.
type BoxCounts map[units.Domain]int

// Total returns how many boxes there are.
func (b BoxCounts) Total() int {
	n := 0
	for _, x := range b {
		n += x
	}
	return n
}

// MeanHolders returns how many boxes hold a target of a domain at a step, in the mean.
func (b BoxCounts) MeanHolders(total int, d units.Domain, s Step) int {
	own := b[d]
	return own>>max(0, s-ownDomainSteps) + (total-own)>>max(0, s)
}

// holdersMargin is how many times the mean of holders a target may have: the draw by hashes hardly
// ever gives one more.
const holdersMargin = 2

// MaxHolders bounds how many boxes hold a target of a domain at a step; a total is divided by it.
func (b BoxCounts) MaxHolders(total int, d units.Domain, s Step) int {
	return max(1, min(total, holdersMargin*b.MeanHolders(total, d, s)))
}

// NextDivision returns how a service is divided after a change, given how it was before and how many
// registered targets it has in each domain, in order. A step is kept until the numbers are far from
// what it is meant for, so that changes of a few boxes or targets move none.
func NextDivision(before Division, targets []DomainCount, boxes BoxCounts) Division {
	registered := 0
	for _, c := range targets {
		registered += c.N
	}
	total := boxes.Total()
	if !shouldDivide(before, registered, total) {
		return nil
	}
	next := domainSteps(before, targets, boxes, total, maxRemoteTargets)
	if !slices.Equal(next, before) {
		next = domainSteps(before, targets, boxes, total, jointStepFraction*maxRemoteTargets)
	}
	return next
}

// shouldDivide tells whether a service is told of in parts.
func shouldDivide(before Division, registered, boxes int) bool {
	if before == nil {
		return registered > maxUndividedTargets && registered*boxes > maxUndividedPairs
	}
	return registered > maxUndividedTargets/2 && registered*boxes > maxUndividedPairs/2
}

// domainSteps returns the domainSteps of all domains, given how many targets of another domain a box holds at the most.
func domainSteps(before Division, targets []DomainCount, boxes BoxCounts, total, maxTargets int) Division {
	var next Division
	for _, c := range targets {
		step := nextStep(before.Step(c.Domain), c, boxes, total, maxTargets)
		if step > 0 {
			next = append(next, DomainStep{Domain: c.Domain, Step: step})
		}
	}
	return next
}

func nextStep(step Step, c DomainCount, boxes BoxCounts, total, maxTargets int) Step {
	for c.N>>step > maxTargets && enoughHolders(boxes, total, c.Domain, step+1) {
		step++
	}
	for step > 0 && (c.N>>step < minRemoteTargets || boxes.MeanHolders(total, c.Domain, step) < stepDownHolders) {
		step--
	}
	return step
}

// enoughHolders tells whether enough boxes hold a target at a step, half of them beside it where
// there are boxes at all: those coordinate what all boxes send it.
func enoughHolders(boxes BoxCounts, total int, d units.Domain, s Step) bool {
	own := boxes[d]
	if own > 0 && own>>max(0, s-ownDomainSteps) < stepUpHolders/2 {
		return false
	}
	return boxes.MeanHolders(total, d, s) >= stepUpHolders
}
