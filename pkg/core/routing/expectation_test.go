package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	usualTime = 100 * time.Millisecond
	testNow   = units.Instant(time.Hour)
)

// newLearningRoute returns a route whose typical time has been learnt from usual answers
// of another target, after a first one that was odd.
func newLearningRoute(first time.Duration) *route {
	x := &route{}
	other := newTarget(newService(table.Service{}), table.Row{Registered: true})
	other.noteTime(testNow, x, first, &attempt{})
	for i := range 40 {
		// Half of the answers take a little longer, half a little less.
		took := usualTime + time.Duration(i%2*40-20)*time.Millisecond
		other.noteTime(testNow, x, took, &attempt{})
	}
	return x
}

func TestAnOddFirstAnswerIsSoonForgotten(t *testing.T) {
	for _, first := range []time.Duration{time.Millisecond, 10 * time.Millisecond, time.Second, 10 * time.Second} {
		x := newLearningRoute(first)
		if ratio := x.typicalLatency / float64(usualTime); ratio < 0.6 || ratio > 1.6 {
			t.Errorf("after a first answer of %s the typical time is %.2f of the usual", first, ratio)
		}
	}
}

func TestOneSlowAnswerDoesNotMakeATargetSlow(t *testing.T) {
	x := newLearningRoute(usualTime)
	v := newTarget(newService(table.Service{}), table.Row{Registered: true})
	v.noteTime(testNow, x, 5*usualTime, &attempt{})
	if s := v.currentSlowdown(testNow); s >= heavySlowdown {
		t.Fatalf("one slow answer gives a slowdown of %.2f", s)
	}
	v.noteTime(testNow, x, 5*usualTime, &attempt{})
	if s := v.currentSlowdown(testNow); s < heavySlowdown {
		t.Fatalf("two slow answers in a row give a slowdown of %.2f only", s)
	}
	if s := v.currentSlowdown(testNow.Add(10 * time.Second)); s >= heavySlowdown {
		t.Fatalf("after ten seconds the slowdown is still %.2f", s)
	}
}

func TestAYoungRouteIsNoMeasure(t *testing.T) {
	x := &route{}
	v := newTarget(newService(table.Service{}), table.Row{Registered: true})
	v.noteTime(testNow, x, usualTime, &attempt{})
	for range 3 {
		v.noteTime(testNow, x, 8*usualTime, &attempt{})
	}
	if s := v.currentSlowdown(testNow); s > 1 {
		t.Fatalf("four answers of the route give a slowdown of %.2f", s)
	}
}

func TestReadingsFadeWithAge(t *testing.T) {
	v := newTarget(newService(table.Service{}), table.Row{Registered: true})
	v.takeReading(testNow, Reading{HasLoad: true, InFlight: 3, Slots: 3, Pace: 5})
	if p := v.expectedPace(testNow); p != 5 {
		t.Errorf("a new reading of 5 gives the pace %.2f", p)
	}
	if p := v.expectedPace(testNow.Add(paceMemory)); p != usualPace {
		t.Errorf("an old reading gives the pace %.2f, not that of a target that nothing is known of", p)
	}
	if n := v.load(testNow.Add(loadMemory)); n != 0 {
		t.Errorf("an old reading gives the load %.2f", n)
	}
	v.inFlight = 2
	if n := v.load(testNow.Add(loadMemory)); n != 2 {
		t.Errorf("the box's own calls give the load %.2f, not 2", n)
	}
}

// Slowness is found by comparing: where all targets are slow, so is the work, or
// something that no other choice would mend. Refusing calls then would be an outage.
func TestATargetIsTooSlowOnlyBesideBetterOnes(t *testing.T) {
	scenarios := []struct {
		testName  string
		slowdowns []float64
		suits     []bool
	}{
		{"the only one", []float64{10}, []bool{true}},
		{"all alike", []float64{8, 9}, []bool{true, true}},
		{"one of two", []float64{8, 1}, []bool{false, true}},
		{"much slower than slow ones", []float64{10, 3, 3.5}, []bool{false, true, true}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r, err := NewRouter(Settings{}, testNow)
			if err != nil {
				t.Fatal(err)
			}
			v := newService(table.Service{ProbeTargets: 2})
			for _, slowdown := range s.slowdowns {
				x := newTarget(v, table.Row{Registered: true})
				x.row = table.Row{Registered: true, State: table.Active, Weight: 1, Slots: 3}
				x.share.setImmediately(unlimited)
				x.slowdown, x.slowdownAt = slowdown, testNow
				x.takeReading(testNow, Reading{HasLoad: true, Slots: 3, Pace: 1})
				v.targets = append(v.targets, x)
			}
			c := &call{service: v, route: &route{aim: time.Second}, arrived: testNow}
			for i, want := range s.suits {
				if got := r.isSuitable(c, v.targets[i]); got != want {
					t.Errorf("target %d with a slowdown of %.1f suits: %t, want %t", i, s.slowdowns[i], got, want)
				}
			}
		})
	}
}
