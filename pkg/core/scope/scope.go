// Package scope decides which targets of a large service are in a box's table. A box sends its calls to only
// a few targets of such a service, and sending every target and each of its changes to every box would cost
// boxes times targets. So the registered targets of a failure domain are divided among the boxes by a step: a
// box holds one in 2^step of them, selected by a hash of box and target. The selection depends on the ids and
// the step only, so that all processes compute the same one, and a box that joins or leaves changes no other
// box's targets.
package scope

import (
	"cmp"
	"slices"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
)

// Step is the binary logarithm of the reduction of a failure domain's targets for boxes of other domains:
// such a box holds one target in 2^step.
type Step int

const (
	// ownDomainSteps is by how much the step is lower for boxes in the targets' own failure domain, where
	// most of their calls go.
	ownDomainSteps = 2
	// A service is divided only if it has more than maxUndividedTargets registered targets, since fewer cost
	// a box little, and if boxes times targets, which is the cost of sending everything, exceeds
	// maxUndividedPairs. A divided service becomes whole again at half of either bound.
	maxUndividedTargets = 250
	maxUndividedPairs   = 250_000
	// maxRemoteTargets and minRemoteTargets bound how many of a larger number of targets in another domain
	// a box holds: enough to fail over to when its own domain is lost.
	maxRemoteTargets = 48
	minRemoteTargets = 12
	// stepUpHolders is the least mean number of boxes that hold a target after the step is raised, so that
	// hardly any target is held by no box; the step is lowered when there are fewer than stepDownHolders.
	// Between the two, boxes may join and leave without a change of the step.
	stepUpHolders   = 24
	stepDownHolders = 6
	// jointStepFraction is the fraction of maxRemoteTargets at which a domain's step is raised together with
	// another domain's: each change of a division costs a message to every box.
	jointStepFraction = 0.75
)

// Rank is a box's rendezvous hash for a target. The higher the rank, the larger the steps at which the box
// holds the target; the box with the highest rank holds it at the largest steps.
type Rank uint64

// RankOf returns a box's rank for a target.
func RankOf(box units.BoxID, target units.TargetID) Rank { return Rank(rendezvous.Hash(box, target)) }

// Holds reports whether a box of this rank holds the target at a step. It then does at every smaller step.
func (r Rank) Holds(s Step) bool { return s <= 0 || ^r>>(64-s) == 0 }

// DomainStep is the step of a failure domain's targets.
type DomainStep struct {
	Domain units.Domain
	Step   Step
}

// Division is how the targets of a service are divided among the boxes: the domains with a step above zero,
// sorted by domain. It is nil for a service whose targets are all sent to every box.
type Division []DomainStep

// StepOf returns the step at which a box in one domain holds the targets of another, or of its own.
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

// DomainCount is the number of targets in a failure domain.
type DomainCount struct {
	Domain units.Domain
	N      int
}

// BoxCounts holds the number of boxes in each failure domain.
type BoxCounts map[units.Domain]int

// Total returns the number of boxes in all domains.
func (b BoxCounts) Total() int {
	n := 0
	for _, x := range b {
		n += x
	}
	return n
}

// MeanHolders returns the mean number of boxes that hold a target of a domain at a step. The total is the
// result of Total.
func (b BoxCounts) MeanHolders(total int, d units.Domain, s Step) int {
	own := b[d]
	return own>>max(0, s-ownDomainSteps) + (total-own)>>max(0, s)
}

// holdersMargin is the factor by which a target's holders may exceed the mean: the hash hardly ever gives a
// target more.
const holdersMargin = 2

// MaxHolders returns the most boxes that are expected to hold a target of a domain at a step, at least 1. A
// limit for all boxes together is divided by it.
func (b BoxCounts) MaxHolders(total int, d units.Domain, s Step) int {
	return max(1, min(total, holdersMargin*b.MeanHolders(total, d, s)))
}

// NextDivision returns the division of a service after a change, given the division before it and the number
// of registered targets in each domain, sorted by domain. Steps have hysteresis, so that changes of a few
// boxes or targets don't change them.
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

// shouldDivide reports whether a service's targets are divided among the boxes.
func shouldDivide(before Division, registered, boxes int) bool {
	if before == nil {
		return registered > maxUndividedTargets && registered*boxes > maxUndividedPairs
	}
	return registered > maxUndividedTargets/2 && registered*boxes > maxUndividedPairs/2
}

// domainSteps returns the steps of all domains that have one, given the most targets of another domain that a
// box is to hold.
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

// enoughHolders reports whether enough boxes hold a target at a step. Where the target's own domain has boxes,
// half of the required holders must be there: those boxes coordinate what all boxes send to the target.
func enoughHolders(boxes BoxCounts, total int, d units.Domain, s Step) bool {
	own := boxes[d]
	if own > 0 && own>>max(0, s-ownDomainSteps) < stepUpHolders/2 {
		return false
	}
	return boxes.MeanHolders(total, d, s) >= stepUpHolders
}
