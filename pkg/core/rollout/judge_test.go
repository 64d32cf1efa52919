package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fault is what is wrong with a new version, from a window on.
type fault struct {
	name string
	// failing is the share of its answers that fail, slowdown by what its answers take longer.
	failing, slowdown float64
	// oneRoute confines it to one of the routes.
	oneRoute bool
}

// background is what both versions suffer alike.
type background struct {
	name string
	// failing is the share of answers that fail, in stormy windows stormFailing; stormSlowdown is by how
	// much answers take longer then.
	failing, stormFailing, stormSlowdown float64
}

var backgrounds = []background{
	{name: "quiet", failing: 0.001, stormFailing: 0.001, stormSlowdown: 1},
	{name: "stormy", failing: 0.01, stormFailing: 0.2, stormSlowdown: 3},
}

// A replayed rollout: windows of half a second, of which the last are after the shift.
const (
	simulatedWindows = 20
	simulatedShift   = 17
	simulatedRoutes  = 4
	// simulatedTrialShare is the trial's share of the calls.
	simulatedTrialShare = 0.05
)

// simulate plays one rollout of a service that takes so many calls a second and returns the
// window in which it was condemned, counted from one, or zero; suspect tells whether it was
// suspected before the shift. badAnswers is how many bad answers it had given by then.
func simulate(random *rand.Rand, f fault, b background, rate float64, onset int) (condemned int, suspect bool, failures uint64) {
	j := NewJudge(simulatedWindows)
	for n := range simulatedWindows {
		w := Window{}
		storm := b.stormFailing > b.failing && n/4%2 == 1
		for route := range simulatedRoutes {
			s := w.sample(RouteID(fmt.Sprint(route)))
			newShare := simulatedTrialShare
			if n >= simulatedShift {
				newShare = 1
			}
			calls := rate / 2 / simulatedRoutes
			faulty := n >= onset && (!f.oneRoute || route == 0)
			addAnswers(random, &s.New, calls*newShare, f, b, storm, faulty)
			addAnswers(random, &s.Old, calls*(1-newShare), f, b, storm, false)
		}
		j.Observe(w)
		v := j.Verdict()
		if v.Bad {
			return n + 1, suspect, j.Total().New.Failures
		}
		suspect = suspect || n == simulatedShift-1 && v.Suspect
	}
	return 0, suspect, j.Total().New.Failures
}

func addAnswers(random *rand.Rand, c *Counts, calls float64, f fault, b background, storm, faulty bool) {
	failing, slowdown := b.failing, 1.0
	if storm {
		failing, slowdown = b.stormFailing, b.stormSlowdown
	}
	if faulty {
		failing += f.failing
		slowdown *= f.slowdown
	}
	count := int(calls)
	if random.Float64() < calls-float64(count) {
		count++
	}
	for range count {
		if random.Float64() < failing {
			c.Failures++
			continue
		}
		c.Successes++
		took := 60 * slowdown * math.Exp(0.4*random.NormFloat64())
		c.Times.Add(time.Duration(took * float64(time.Millisecond)))
	}
}

const simulationsPerCase = 100

// stopRates replays rollouts and returns the share condemned or suspected before the shift, the
// share that doesn't complete, and the mean of bad answers.
func stopRates(random *rand.Rand, c errorCase) (before, stopped, failures float64) {
	for range simulationsPerCase {
		onset := 0
		if c.randomOnset {
			onset = random.IntN(simulatedShift - 4)
		}
		at, suspect, answers := simulate(random, c.fault, c.background, c.rate, onset)
		if at > 0 && at <= simulatedShift || suspect {
			before++
		}
		if at > 0 || suspect {
			stopped++
		}
		failures += float64(answers)
	}
	return before / simulationsPerCase, stopped / simulationsPerCase, failures / simulationsPerCase
}

// errorCase is a fault that begins at once or anytime in the trial, the background that it
// has, the service's calls a second, and within what bounds the rollouts that don't
// complete have to be.
type errorCase struct {
	fault       fault
	background  background
	randomOnset bool
	rate        float64
	minStopped  float64
	maxStopped  float64
}

var versionFaults = []struct {
	fault fault
	// minStopped are the shares to be stopped at 160 and 450 calls a second, quiet, then stormy.
	minStopped [4]float64
}{
	{fault{name: "bad 0.02", failing: 0.02, slowdown: 1}, [4]float64{0.1, 0.9, 0, 0}},
	{fault{name: "bad 0.05", failing: 0.05, slowdown: 1}, [4]float64{0.9, 0.98, 0, 0}},
	{fault{name: "bad 0.1", failing: 0.1, slowdown: 1}, [4]float64{0.98, 0.98, 0.05, 0.3}},
	{fault{name: "bad 0.25", failing: 0.25, slowdown: 1}, [4]float64{0.98, 0.98, 0.7, 0.9}},
	{fault{name: "bad 0.5", failing: 0.5, slowdown: 1}, [4]float64{0.98, 0.98, 0.95, 0.98}},
	{fault{name: "bad 1", failing: 1, slowdown: 1}, [4]float64{0.98, 0.98, 0.98, 0.98}},
	{fault{name: "slow 2", slowdown: 2}, [4]float64{0.6, 0.95, 0.5, 0.9}},
	{fault{name: "slow 4", slowdown: 4}, [4]float64{0.98, 0.98, 0.95, 0.98}},
	{fault{name: "slow 8", slowdown: 8}, [4]float64{0.98, 0.98, 0.98, 0.98}},
	{fault{name: "one route bad 0.25", failing: 0.25, slowdown: 1, oneRoute: true}, [4]float64{0.95, 0.98, 0, 0.4}},
	{fault{name: "one route bad 1", failing: 1, slowdown: 1, oneRoute: true}, [4]float64{0.98, 0.98, 0.9, 0.98}},
	{fault{name: "one route slow 4", slowdown: 4, oneRoute: true}, [4]float64{0.9, 0.98, 0.4, 0.9}},
}

func errorCases() []errorCase {
	var cases []errorCase
	for i, b := range backgrounds {
		for k, rate := range []float64{160, 450} {
			good := fault{name: "good", slowdown: 1}
			cases = append(cases, errorCase{fault: good, background: b, rate: rate, maxStopped: 0.02})
			for _, f := range versionFaults {
				for _, anytime := range []bool{false, true} {
					cases = append(cases, errorCase{fault: f.fault, background: b, randomOnset: anytime, rate: rate, minStopped: f.minStopped[2*i+k], maxStopped: 1})
				}
			}
		}
	}
	return cases
}

// TestErrorRates measures both rates of error of the judge over faults of versions, and
// holds them to what the design note states.
func TestErrorRates(t *testing.T) {
	for i, c := range errorCases() {
		before, stopped, bad := stopRates(rand.New(rand.NewPCG(20261202, uint64(i))), c)
		t.Logf("%3.0f/s %-6s %-18s anytime=%-5t stopped before the shift %.2f, at all %.2f, bad answers %.0f",
			c.rate, c.background.name, c.fault.name, c.randomOnset, before, stopped, bad)
		if stopped < c.minStopped || stopped > c.maxStopped {
			t.Errorf("%s, %s, %.0f calls a second: %.2f were stopped, want %.2f to %.2f", c.fault.name, c.background.name, c.rate, stopped, c.minStopped, c.maxStopped)
		}
	}
}

// A version of which every answer is bad is known within some tens of them, also where a
// storm of the same kind went before.
func TestAVersionThatAlwaysFailsIsKnownSoon(t *testing.T) {
	for seed := range uint64(50) {
		for _, b := range backgrounds {
			random := rand.New(rand.NewPCG(seed, 3))
			at, _, bad := simulate(random, fault{failing: 1, slowdown: 1}, b, 450, int(seed)%10)
			if at == 0 || bad > 60 {
				t.Fatalf("%s, seed %d: condemned in window %d after %d bad answers", b.name, seed, at, bad)
			}
		}
	}
}

// A fault that shows only after the shift, when nothing is sent to the old version any more,
// is told from the time before.
func TestALateFaultIsKnownAfterTheShift(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 4))
		at, _, _ := simulate(random, fault{failing: 0.25, slowdown: 1}, backgrounds[0], 450, simulatedShift)
		if at < simulatedShift || at > simulatedShift+2 {
			t.Fatalf("seed %d: condemned in window %d", seed, at)
		}
	}
}
