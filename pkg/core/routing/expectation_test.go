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

// newTrainedRoute returns a route whose typical time is based on usual answers of another target,
// after an unusual first one.
func newTrainedRoute(first time.Duration) *route {
	x := &route{}
	other := newTarget(newService(table.Service{}), table.Row{Registered: true})
	other.recordAnswerTime(testNow, x, first, &attempt{})
	for i := range 40 {
		// Half of the answers take a little longer, half take a little less.
		took := usualTime + time.Duration(i%2*40-20)*time.Millisecond
		other.recordAnswerTime(testNow, x, took, &attempt{})
	}
	return x
}

func TestAnOddFirstAnswerIsSoonForgotten(t *testing.T) {
	for _, first := range []time.Duration{time.Millisecond, 10 * time.Millisecond, time.Second, 10 * time.Second} {
		x := newTrainedRoute(first)
		if ratio := x.typicalLatency / float64(usualTime); ratio < 0.6 || ratio > 1.6 {
			t.Errorf("after a first answer of %s the typical time is %.2f times the usual time", first, ratio)
		}
	}
}

func TestOneSlowAnswerDoesNotMakeATargetSlow(t *testing.T) {
	x := newTrainedRoute(usualTime)
	v := newTarget(newService(table.Service{}), table.Row{Registered: true})
	v.recordAnswerTime(testNow, x, 5*usualTime, &attempt{})
	if s := v.currentSlowdown(testNow); s >= slowTargetThreshold {
		t.Fatalf("one slow answer gives a slowdown of %.2f", s)
	}
	v.recordAnswerTime(testNow, x, 5*usualTime, &attempt{})
	if s := v.currentSlowdown(testNow); s < slowTargetThreshold {
		t.Fatalf("two slow answers in a row give a slowdown of %.2f only", s)
	}
	if s := v.currentSlowdown(testNow.Add(10 * time.Second)); s >= slowTargetThreshold {
		t.Fatalf("after ten seconds the slowdown is still %.2f", s)
	}
}

func TestAYoungRouteIsNoMeasure(t *testing.T) {
	x := &route{}
	v := newTarget(newService(table.Service{}), table.Row{Registered: true})
	v.recordAnswerTime(testNow, x, usualTime, &attempt{})
	for range 3 {
		v.recordAnswerTime(testNow, x, 8*usualTime, &attempt{})
	}
	if s := v.currentSlowdown(testNow); s > 1 {
		t.Fatalf("four answers of the route give a slowdown of %.2f", s)
	}
}

func TestReadingsFadeWithAge(t *testing.T) {
	v := newTarget(newService(table.Service{}), table.Row{Registered: true})
	v.recordReport(testNow, TargetReport{HasLoad: true, InFlight: 3, Slots: 3, Pace: 5})
	if p := v.expectedPace(testNow); p != 5 {
		t.Errorf("a new report of 5 gives the pace %.2f", p)
	}
	if p := v.expectedPace(testNow.Add(paceLifetime)); p != defaultPace {
		t.Errorf("an old report gives the pace %.2f, not that of a target without reports", p)
	}
	if n := v.load(testNow.Add(loadLifetime)); n != 0 {
		t.Errorf("an old report gives the load %.2f", n)
	}
	v.inFlight = 2
	if n := v.load(testNow.Add(loadLifetime)); n != 2 {
		t.Errorf("the box's own calls give the load %.2f, not 2", n)
	}
}

// Slow targets are found by comparison: if all targets are slow, the work itself is, or there is a
// cause that no other choice would avoid. Refusing calls then would be an outage.
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
				x.inFlightShare.setImmediately(unlimited)
				x.slowdown, x.slowdownAt = slowdown, testNow
				x.recordReport(testNow, TargetReport{HasLoad: true, Slots: 3, Pace: 1})
				v.targets = append(v.targets, x)
			}
			c := &call{service: v, route: &route{latencyObjective: time.Second}, arrived: testNow}
			for i, want := range s.suits {
				if got := r.isSuitable(c, v.targets[i]); got != want {
					t.Errorf("target %d with a slowdown of %.1f is suitable: %t, want %t", i, s.slowdowns[i], got, want)
				}
			}
		})
	}
}
