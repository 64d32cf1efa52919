package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fault is a fault of a new version that begins in some window.
type fault struct {
	name string
	// failing is the fraction of answers that fail, slowdown the factor by which answers take longer.
	failing, slowdown float64
	// oneRoute limits the fault to one of the routes.
	oneRoute bool
}

// background is the rate of failures and the slowdown that affect both versions.
type background struct {
	name string
	// failing is the fraction of answers that fail. In stormy windows it is stormFailing, and
	// answers take longer by the factor stormSlowdown.
	failing, stormFailing, stormSlowdown float64
}

var backgrounds = []background{
	{name: "quiet", failing: 0.001, stormFailing: 0.001, stormSlowdown: 1},
	{name: "stormy", failing: 0.01, stormFailing: 0.2, stormSlowdown: 3},
}

// A simulated rollout has windows of half a second, of which the last are after the shift.
const (
	simulatedWindows = 20
	simulatedShift   = 17
	simulatedRoutes  = 4
	// simulatedTrialShare is the fraction of calls on trial.
	simulatedTrialShare = 0.05
)

// simulate simulates one rollout of a service with rate calls a second and a fault from the window
// onset on. It returns the window in which the version was found bad, counted from one, or zero;
// whether it was suspect before the shift; and how many answers of the new version had failed by
// then.
func simulate(random *rand.Rand, f fault, b background, rate float64, onset int) (badWindow int, suspect bool, failures uint64) {
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

// stopRates simulates rollouts and returns the fraction found bad or suspect before the shift, the
// fraction that doesn't complete, and the mean number of failed answers.
func stopRates(random *rand.Rand, c errorCase) (stoppedBeforeShift, stopped, failures float64) {
	for range simulationsPerCase {
		onset := 0
		if c.randomOnset {
			onset = random.IntN(simulatedShift - 4)
		}
		badWindow, suspect, failed := simulate(random, c.fault, c.background, c.rate, onset)
		if badWindow > 0 && badWindow <= simulatedShift || suspect {
			stoppedBeforeShift++
		}
		if badWindow > 0 || suspect {
			stopped++
		}
		failures += float64(failed)
	}
	return stoppedBeforeShift / simulationsPerCase, stopped / simulationsPerCase, failures / simulationsPerCase
}

// errorCase is a fault that begins at once, or at a random time in the trial if randomOnset is set; its
// background; the service's calls a second; and the bounds on the fraction of rollouts that don't
// complete.
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
	// minStopped are the least fractions to be stopped: at 160 and 450 calls a second with the quiet
	// background, then at the same rates with the stormy one.
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

// TestErrorRates measures how often the judge stops good versions and how often it misses faulty
// ones, and checks both against the bounds that the design promises.
func TestErrorRates(t *testing.T) {
	for i, c := range errorCases() {
		stoppedBeforeShift, stopped, failures := stopRates(rand.New(rand.NewPCG(20261202, uint64(i))), c)
		t.Logf("%3.0f/s %-6s %-18s anytime=%-5t stopped before the shift %.2f, in total %.2f, failed answers %.0f",
			c.rate, c.background.name, c.fault.name, c.randomOnset, stoppedBeforeShift, stopped, failures)
		if stopped < c.minStopped || stopped > c.maxStopped {
			t.Errorf("%s, %s, %.0f calls a second: %.2f were stopped, want %.2f to %.2f", c.fault.name, c.background.name, c.rate, stopped, c.minStopped, c.maxStopped)
		}
	}
}

// A version of which every answer fails is found bad within some tens of answers, also after a storm of
// failures that affected both versions.
func TestAVersionThatAlwaysFailsIsKnownSoon(t *testing.T) {
	for seed := range uint64(50) {
		for _, b := range backgrounds {
			random := rand.New(rand.NewPCG(seed, 3))
			badWindow, _, failures := simulate(random, fault{failing: 1, slowdown: 1}, b, 450, int(seed)%10)
			if badWindow == 0 || failures > 60 {
				t.Fatalf("%s, seed %d: found bad in window %d after %d failed answers", b.name, seed, badWindow, failures)
			}
		}
	}
}

// A fault that begins only after the shift, when the old version gets no more calls, is detected by
// comparison with the old version's earlier windows.
func TestALateFaultIsKnownAfterTheShift(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 4))
		badWindow, _, _ := simulate(random, fault{failing: 0.25, slowdown: 1}, backgrounds[0], 450, simulatedShift)
		if badWindow < simulatedShift || badWindow > simulatedShift+2 {
			t.Fatalf("seed %d: found bad in window %d", seed, badWindow)
		}
	}
}
