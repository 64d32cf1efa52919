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
	other.noteTime(testNow, x, first)
	for i := range 40 {
		// Half of the answers take a little longer, half a little less.
		took := usualTime + time.Duration(i%2*40-20)*time.Millisecond
		other.noteTime(testNow, x, took)
	}
	return x
}

func TestAnOddFirstAnswerIsSoonForgotten(t *testing.T) {
	for _, first := range []time.Duration{time.Millisecond, 10 * time.Millisecond, time.Second, 10 * time.Second} {
		x := newLearningRoute(first)
		if ratio := x.typical / float64(usualTime); ratio < 0.6 || ratio > 1.6 {
			t.Errorf("after a first answer of %s the typical time is %.2f of the usual", first, ratio)
		}
	}
}

func TestOneSlowAnswerDoesNotMakeATargetSlow(t *testing.T) {
	x := newLearningRoute(usualTime)
	v := newTarget(newService(table.Service{}), table.Row{Registered: true})
	v.noteTime(testNow, x, 5*usualTime)
	if s := v.currentSlowdown(testNow); s >= heavySlowdown {
		t.Fatalf("one slow answer gives a slowdown of %.2f", s)
	}
	v.noteTime(testNow, x, 5*usualTime)
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
	v.noteTime(testNow, x, usualTime)
	for range 3 {
		v.noteTime(testNow, x, 8*usualTime)
	}
	if s := v.currentSlowdown(testNow); s > 1 {
		t.Fatalf("four answers of the route give a slowdown of %.2f", s)
	}
}

func TestReadingsFadeWithAge(t *testing.T) {
	v := newTarget(newService(table.Service{}), table.Row{Registered: true})
	v.takeReading(testNow, Reading{Known: true, InFlight: 3, Slots: 3, Pace: 5})
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
