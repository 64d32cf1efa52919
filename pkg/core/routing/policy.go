package routing

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/madderpond/madderpond/pkg/fault"
)

// Policy chooses one of several candidates. It is generic, so that the same policies can be used
// for anything that has weights and costs.
type Policy[C any] interface {
	// Choose returns the index of the chosen candidate, or -1 when none is available.
	Choose(c Candidates[C], random *rand.Rand) int
}

// Candidates is a policy's view of the candidates.
type Candidates[C any] interface {
	Len() int
	At(i int) C
	// Sample draws an index by weight.
	Sample(random *rand.Rand) int
	// Available reports whether a candidate may be chosen now.
	Available(i int) bool
	// Cost is the cost of choosing a candidate. Costs are only compared with each other.
	Cost(i int) float64
	// InFlight is the number of this box's calls in flight at a candidate.
	InFlight(i int) int
	// Reported is the load in a candidate's last report.
	Reported(i int) float64
}

// PolicyName names a policy in the settings.
type PolicyName string

// The policies to choose from.
const (
	PolicyCost       PolicyName = "cost"
	PolicyRandom     PolicyName = "random"
	PolicyRoundRobin PolicyName = "round-robin"
	PolicyInFlight   PolicyName = "least-in-flight"
	PolicyReported   PolicyName = "two-choices-reported"
)

// PolicyNames lists the policies in the order in which reports show them.
var PolicyNames = []PolicyName{PolicyCost, PolicyRandom, PolicyRoundRobin, PolicyInFlight, PolicyReported}

// NewPolicy returns the policy of a name. The error is an Invalid fault for an unknown name.
func NewPolicy[C any](name PolicyName) (Policy[C], error) {
	switch name {
	case PolicyCost, "":
		return &leastCost[C]{choices: defaultChoices}, nil
	case PolicyRandom:
		return &weightedRandom[C]{}, nil
	case PolicyRoundRobin:
		return &roundRobin[C]{}, nil
	case PolicyInFlight:
		return &leastInFlight[C]{}, nil
	case PolicyReported:
		return &twoChoicesReported[C]{}, nil
	}
	return nil, fault.New(fault.Invalid, fmt.Sprintf("use one of %q", PolicyNames), "policy %q is unknown", name)
}

const (
	// defaultChoices is how many candidates the cost policy compares when there are too many to
	// compare them all.
	defaultChoices = 3
	// maxSampleTries bounds the random draws before all candidates are compared.
	maxSampleTries = 6
	// maxFullScan is the number of candidates up to which all of them are compared.
	maxFullScan = 32
)

// leastCost compares a few candidates drawn by weight and chooses the one of the lowest cost.
type leastCost[C any] struct{ choices int }

func (p *leastCost[C]) Choose(c Candidates[C], random *rand.Rand) int {
	if c.Len() <= maxFullScan {
		return leastOf(c, random, c.Cost)
	}
	best := -1
	var bestCost float64
	found := 0
	for tries := 0; tries < maxSampleTries && found < p.choices; tries++ {
		i := c.Sample(random)
		if i < 0 || i == best || !c.Available(i) {
			continue
		}
		found++
		if cost := c.Cost(i); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best >= 0 {
		return best
	}
	return leastOf(c, random, c.Cost)
}

// leastOf compares all candidates, starting at a random one, and returns the available one of the
// lowest value.
func leastOf[C any](c Candidates[C], random *rand.Rand, value func(int) float64) int {
	n := c.Len()
	if n == 0 {
		return -1
	}
	best := -1
	var bestValue float64
	start := random.IntN(n)
	for k := range n {
		i := (start + k) % n
		if !c.Available(i) {
			continue
		}
		if v := value(i); best < 0 || v < bestValue {
			best, bestValue = i, v
		}
	}
	return best
}

// weightedRandom draws by weight alone.
type weightedRandom[C any] struct{}

func (p *weightedRandom[C]) Choose(c Candidates[C], random *rand.Rand) int {
	for range maxSampleTries {
		if i := c.Sample(random); i >= 0 && c.Available(i) {
			return i
		}
	}
	return leastOf(c, random, func(int) float64 { return 0 })
}

// roundRobin chooses the candidates in rotation.
type roundRobin[C any] struct{ next int }

func (p *roundRobin[C]) Choose(c Candidates[C], _ *rand.Rand) int {
	n := c.Len()
	for range n {
		p.next = (p.next + 1) % n
		if c.Available(p.next) {
			return p.next
		}
	}
	return -1
}

// leastInFlight chooses the candidate with the fewest of this box's calls in flight.
type leastInFlight[C any] struct{}

func (p *leastInFlight[C]) Choose(c Candidates[C], random *rand.Rand) int {
	return leastOf(c, random, func(i int) float64 { return float64(c.InFlight(i)) })
}

// twoChoicesReported draws two candidates and chooses the one that reported less load.
type twoChoicesReported[C any] struct{}

func (p *twoChoicesReported[C]) Choose(c Candidates[C], random *rand.Rand) int {
	a, b := c.Sample(random), c.Sample(random)
	aUsable := a >= 0 && c.Available(a)
	bUsable := b >= 0 && c.Available(b)
	switch {
	case aUsable && bUsable && c.Reported(b) < c.Reported(a):
		return b
	case aUsable:
		return a
	case bUsable:
		return b
	}
	return leastOf(c, random, c.Reported)
}

// sampleByWeight draws an index in proportion to the weights, given as running sums.
func sampleByWeight(sums []float64, random *rand.Rand) int {
	if len(sums) == 0 || sums[len(sums)-1] <= 0 {
		return -1
	}
	x := random.Float64() * sums[len(sums)-1]
	return sort.SearchFloat64s(sums, x)
}
