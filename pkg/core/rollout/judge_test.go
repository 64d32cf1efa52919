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
	// bad is the share of its answers that fail, slower by what its answers take longer.
	bad, slower float64
	// oneRoute confines it to one of the routes.
	oneRoute bool
}

// background is what both versions suffer alike.
type background struct {
	name string
	// bad is the share of answers that fail, in stormy windows stormBad; slower is by how
	// much answers take longer then.
	bad, stormBad, slower float64
}

var backgrounds = []background{
	{name: "quiet", bad: 0.001, stormBad: 0.001, slower: 1},
	{name: "stormy", bad: 0.01, stormBad: 0.2, slower: 3},
}

// A replayed rollout: windows of half a second, of which the last are after the shift.
const (
	replayWindows = 20
	replayShift   = 17
	replayRoutes  = 4
	// replayShare is the trial's share of the calls.
	replayShare = 0.05
)

// replay plays one rollout of a service that takes so many calls a second and returns the
// window in which it was condemned, counted from one, or zero; suspect tells whether it was
// suspected before the shift. badAnswers is how many bad answers it had given by then.
func replay(random *rand.Rand, f fault, b background, rate float64, onset int) (condemned int, suspect bool, badAnswers uint64) {
	j := NewJudge(replayWindows)
	for n := range replayWindows {
		w := Window{}
		storm := b.stormBad > b.bad && n/4%2 == 1
		for route := range replayRoutes {
			s := w.sample(RouteID(fmt.Sprint(route)))
			fresh := replayShare
			if n >= replayShift {
				fresh = 1
			}
			calls := rate / 2 / replayRoutes
			ill := n >= onset && (!f.oneRoute || route == 0)
			fill(random, &s.New, calls*fresh, f, b, storm, ill)
			fill(random, &s.Old, calls*(1-fresh), f, b, storm, false)
		}
		j.Observe(w)
		v := j.Verdict()
		if v.Bad {
			return n + 1, suspect, j.Total().New.Bad
		}
		suspect = suspect || n == replayShift-1 && v.Suspect
	}
	return 0, suspect, j.Total().New.Bad
}

func fill(random *rand.Rand, c *Counts, calls float64, f fault, b background, storm, ill bool) {
	bad, slower := b.bad, 1.0
	if storm {
		bad, slower = b.stormBad, b.slower
	}
	if ill {
		bad += f.bad
		slower *= f.slower
	}
	whole := int(calls)
	if random.Float64() < calls-float64(whole) {
		whole++
	}
	for range whole {
		if random.Float64() < bad {
			c.Bad++
			continue
		}
		c.Good++
		took := 60 * slower * math.Exp(0.4*random.NormFloat64())
		c.Times.Add(time.Duration(took * float64(time.Millisecond)))
	}
}

const replaysEach = 100

// rates replays rollouts and returns the share condemned or suspected before the shift, the
// share that doesn't complete, and the mean of bad answers.
func rates(random *rand.Rand, c errorCase) (before, stopped, bad float64) {
	for range replaysEach {
		onset := 0
		if c.anytime {
			onset = random.IntN(replayShift - 4)
		}
		at, suspect, answers := replay(random, c.fault, c.background, c.rate, onset)
		if at > 0 && at <= replayShift || suspect {
			before++
		}
		if at > 0 || suspect {
			stopped++
		}
		bad += float64(answers)
	}
	return before / replaysEach, stopped / replaysEach, bad / replaysEach
}

// errorCase is a fault that begins at once or anytime in the trial, the background that it
// has, the service's calls a second, and within what bounds the rollouts that don't
// complete have to be.
type errorCase struct {
	fault      fault
	background background
	anytime    bool
	rate       float64
	least      float64
	most       float64
}

var versionFaults = []struct {
	fault fault
	// least are the shares to be stopped at 160 and 450 calls a second, quiet, then stormy.
	least [4]float64
}{
	{fault{name: "bad 0.02", bad: 0.02, slower: 1}, [4]float64{0.1, 0.9, 0, 0}},
	{fault{name: "bad 0.05", bad: 0.05, slower: 1}, [4]float64{0.9, 0.98, 0, 0}},
	{fault{name: "bad 0.1", bad: 0.1, slower: 1}, [4]float64{0.98, 0.98, 0.05, 0.3}},
	{fault{name: "bad 0.25", bad: 0.25, slower: 1}, [4]float64{0.98, 0.98, 0.7, 0.9}},
	{fault{name: "bad 0.5", bad: 0.5, slower: 1}, [4]float64{0.98, 0.98, 0.95, 0.98}},
	{fault{name: "bad 1", bad: 1, slower: 1}, [4]float64{0.98, 0.98, 0.98, 0.98}},
	{fault{name: "slow 2", slower: 2}, [4]float64{0.6, 0.95, 0.5, 0.9}},
	{fault{name: "slow 4", slower: 4}, [4]float64{0.98, 0.98, 0.95, 0.98}},
	{fault{name: "slow 8", slower: 8}, [4]float64{0.98, 0.98, 0.98, 0.98}},
	{fault{name: "one route bad 0.25", bad: 0.25, slower: 1, oneRoute: true}, [4]float64{0.95, 0.98, 0, 0.4}},
	{fault{name: "one route bad 1", bad: 1, slower: 1, oneRoute: true}, [4]float64{0.98, 0.98, 0.9, 0.98}},
	{fault{name: "one route slow 4", slower: 4, oneRoute: true}, [4]float64{0.9, 0.98, 0.4, 0.9}},
}

func errorCases() []errorCase {
	var cases []errorCase
	for i, b := range backgrounds {
		for k, rate := range []float64{160, 450} {
			good := fault{name: "good", slower: 1}
			cases = append(cases, errorCase{fault: good, background: b, rate: rate, most: 0.02})
			for _, f := range versionFaults {
				for _, anytime := range []bool{false, true} {
					cases = append(cases, errorCase{fault: f.fault, background: b, anytime: anytime, rate: rate, least: f.least[2*i+k], most: 1})
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
		before, stopped, bad := rates(rand.New(rand.NewPCG(20261202, uint64(i))), c)
		t.Logf("%3.0f/s %-6s %-18s anytime=%-5t stopped before the shift %.2f, at all %.2f, bad answers %.0f",
			c.rate, c.background.name, c.fault.name, c.anytime, before, stopped, bad)
		if stopped < c.least || stopped > c.most {
			t.Errorf("%s, %s, %.0f calls a second: %.2f were stopped, want %.2f to %.2f", c.fault.name, c.background.name, c.rate, stopped, c.least, c.most)
		}
	}
}

// A version of which every answer is bad is known within some tens of them, also where a
// storm of the same kind went before.
func TestAVersionThatAlwaysFailsIsKnownSoon(t *testing.T) {
	for seed := range uint64(50) {
		for _, b := range backgrounds {
			random := rand.New(rand.NewPCG(seed, 3))
			at, _, bad := replay(random, fault{bad: 1, slower: 1}, b, 450, int(seed)%10)
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
		at, _, _ := replay(random, fault{bad: 0.25, slower: 1}, backgrounds[0], 450, replayShift)
		if at < replayShift || at > replayShift+2 {
			t.Fatalf("seed %d: condemned in window %d", seed, at)
		}
	}
}
