package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// A target's request for a rest applies only to the box that received it. If boxes shared these
// requests, slightly more calls would be answered in time where targets shed every call, but far
// fewer where they shed a part: such a target would receive no calls from any box. This test fails
// if sharing gains more than it loses, which would justify the messages.
func TestARestIsNotPassedOnToOtherBoxes(t *testing.T) {
	scenarios := []struct {
		testName string
		// resting is how many of the targets shed the fraction sheds of their calls.
		resting int
		sheds   float64
		load    float64
	}{
		{"a third of the targets turn all calls away", overloadTargets / 3, 1, 0.5},
		{"two thirds do", overloadTargets * 2 / 3, 1, 0.3},
		{"all targets turn one call in ten away", overloadTargets, 0.1, 0.5},
		{"all turn one in three away", overloadTargets, 0.33, 0.5},
	}
	gain := 0.0
	for _, s := range scenarios {
		simulate := func(shared bool) (withinObjective, wasted float64) {
			f := newOverloadSim(t)
			f.sharesNotices = shared
			withinObjective = f.measure(s.load, func() {
				for i := range s.resting {
					x := f.targets[units.TargetID(fmt.Sprintf("t%03d", i))]
					x.shedRate, x.rest = s.sheds, time.Second
				}
			})
			return withinObjective, f.wastedPerCall()
		}
		alone, wasted := simulate(false)
		shared, wastedShared := simulate(true)
		t.Logf("%s: within objective %.3f without sharing, %.3f with it; shed per call: %.3f and %.3f", s.testName, alone, shared, wasted, wastedShared)
		gain += shared - alone
	}
	if gain > 0 {
		t.Errorf("sharing rests raises the fraction of calls within their latency objective by %.3f, summed over these loads", gain)
	}
}
