package rollout

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/madderpond/madderpond/pkg/units"
)

// Candidate is a target that is available for calls now.
type Candidate struct {
	Target units.TargetID
	Domain units.Domain
	Slots  int
	// Cold is set while the target has just started and may get few calls only.
	Cold bool
}

// Candidates are the targets of one version that are available for calls now.
type Candidates []Candidate

// trialTargetCount returns how many targets should serve a share of the calls so that each has the
// load of an old target: a fault that shows only under load would otherwise stay hidden.
func trialTargetCount(share float64, old, newer Candidates) int {
	return min(len(newer), max(1, int(math.Round(share*float64(len(old))))))
}

// selectForTrial selects up to count targets for the trial: current ones that are still available
// before others, warm before cold, and evenly over the failure domains.
func (cs Candidates) selectForTrial(count int, current []units.TargetID) []units.TargetID {
	rankInDomain := map[units.TargetID]int{}
	countInDomain := map[units.Domain]int{}
	byID := slices.SortedFunc(slices.Values(cs), func(a, b Candidate) int { return strings.Compare(string(a.Target), string(b.Target)) })
	for _, c := range byID {
		rankInDomain[c.Target] = countInDomain[c.Domain]
		countInDomain[c.Domain]++
	}
	slices.SortStableFunc(byID, func(a, b Candidate) int {
		return cmp.Or(
			falseFirst(!slices.Contains(current, a.Target), !slices.Contains(current, b.Target)),
			falseFirst(a.Cold, b.Cold), cmp.Compare(rankInDomain[a.Target], rankInDomain[b.Target]))
	})
	var ids []units.TargetID
	for _, c := range byID[:min(count, len(byID))] {
		ids = append(ids, c.Target)
	}
	slices.Sort(ids)
	return ids
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// totalSlots returns how many calls the targets can run at the same time; a target that reports no
// slots counts as one.
func (cs Candidates) totalSlots() int {
	total := 0
	for _, c := range cs {
		total += max(1, c.Slots)
	}
	return total
}

// minSlotFraction is the fraction of the old version's slots that the new version must have before it
// gets all calls. Operators may move to fewer targets, but not to the few that happen to be up.
const minSlotFraction = 0.5

// hasCapacityFor reports whether the targets have enough slots to take over the calls of the old ones.
func (cs Candidates) hasCapacityFor(old Candidates) bool {
	return len(cs) > 0 && float64(cs.totalSlots()) >= minSlotFraction*float64(old.totalSlots())
}

// containsAll reports whether all of these targets are available.
func (cs Candidates) containsAll(ids []units.TargetID) bool {
	return !slices.ContainsFunc(ids, func(id units.TargetID) bool {
		return !slices.ContainsFunc(cs, func(c Candidate) bool { return c.Target == id })
	})
}
