package box

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fixedseed"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const (
	// maxNewShare and maxNewSlack bound the calls of a service that a bad version may get.
	maxNewShare = 0.1
	maxNewSlack = 50
	// leaderCheckInterval is how often the leader evaluates the evidence.
	leaderCheckInterval = 100 * time.Millisecond
)

// faultScenario holds the faults in a fleet and the durations of the stages of its trial.
type faultScenario struct {
	boxes                            int
	seed                             uint64
	lossRate, delayRate, failureRate float64
	stages                           []time.Duration
}

// With lost, late and reordered messages, suspended, restarted and disconnected boxes, and pauses of
// the leader, all boxes together must send the new version at most a tenth of the calls plus 50, and
// none after the last grant has expired.
func TestExposureIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := faultScenario{
			boxes:       rapid.SampledFrom([]int{1, 4, 12}).Draw(rt, "boxes"),
			seed:        rapid.Uint64().Draw(rt, "seed"),
			lossRate:    rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss"),
			delayRate:   rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "late"),
			failureRate: rapid.SampledFrom([]float64{0, 0.02, 0.2, 1}).Draw(rt, "bad"),
		}
		for range rapid.IntRange(1, 4).Draw(rt, "stages") {
			x.stages = append(x.stages, time.Duration(rapid.IntRange(200, 2500).Draw(rt, "ms"))*time.Millisecond)
		}
		x.run(rt)
	})
}

// The bound must also hold with as many boxes as in a large deployment, each of which gets few calls.
func TestExposureOfManyBoxesIsBounded(t *testing.T) {
	for _, failureRate := range []float64{0, 0.1, 1} {
		x := faultScenario{boxes: 122, seed: 7, lossRate: 0.05, delayRate: 0.05, failureRate: failureRate, stages: []time.Duration{2 * time.Second, time.Second, 3 * time.Second}}
		f := x.run(t)
		t.Logf("with a failure rate of %.1f the new version got %d of %d calls", failureRate, f.newSends, f.calls)
	}
}

// run runs a trial's stages. The leader rolls it back at the end, if not before.
func (x *faultScenario) run(t testFailer) *fleet {
	f := newFleet(t, x.boxes, x.seed)
	f.lossRate, f.delayRate, f.failureRate = x.lossRate, x.delayRate, x.failureRate
	f.run(1500 * time.Millisecond)
	f.calls = 0
	f.leader.startStage(table.RolloutTrial, 10, 2)
	for i, d := range x.stages {
		f.injectFaults()
		f.runStage(d)
		f.checkShare()
		if f.leader.rollout().Active() && i+1 < len(x.stages) {
			f.leader.startStage(table.RolloutTrial, 10, 4*(i+1))
		}
	}
	if f.leader.rollout().Active() {
		f.leader.startStage(table.RolloutRolledBack, 0, 0)
	}
	f.run(4 * time.Second)
	f.checkShare()
	return f
}

// runStage runs a stage, during which the leader rolls back when it knows of 50 failures.
func (f *fleet) runStage(d time.Duration) {
	for ; d > 0; d -= leaderCheckInterval {
		f.run(min(d, leaderCheckInterval))
		if !f.leader.down && f.leader.knownFailures() >= 50 && f.leader.rollout().Active() {
			f.leader.startStage(table.RolloutRolledBack, 0, 0)
		}
	}
}

// injectFaults schedules random faults during the next stage.
func (f *fleet) injectFaults() {
	for _, m := range f.boxes {
		switch f.random.IntN(12) {
		case 0:
			f.schedule(f.randomBelow(2*time.Second), func() { m.frozenUntil = f.now.Add(f.randomBelow(3 * time.Second)) })
		case 1:
			f.schedule(f.randomBelow(2*time.Second), func() { f.start(m) })
		case 2:
			f.schedule(f.randomBelow(4*time.Second), func() { m.disconnectedAt = f.now })
		}
	}
	if f.random.IntN(3) > 0 {
		return
	}
	f.schedule(f.randomBelow(2*time.Second), func() {
		f.leader.down = true
		f.schedule(f.randomBelow(2*time.Second), func() { f.leader.down = false })
	})
}

func (f *fleet) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

func (f *fleet) checkShare() {
	if most := maxNewShare*float64(f.calls) + maxNewSlack; float64(f.newSends) > most {
		f.t.Fatalf("the new version got %d of %d calls", f.newSends, f.calls)
	}
}

// In a trial without faults the new version gets its share, to within one call per box.
func TestExposureIsUsed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, 12, rapid.Uint64().Draw(rt, "seed"))
		f.run(1500 * time.Millisecond)
		f.leader.startStage(table.RolloutTrial, 10, 4)
		f.run(500 * time.Millisecond)
		f.calls, f.newSends = 0, 0
		f.run(4 * time.Second)
		if off := float64(f.newSends) - maxNewShare*float64(f.calls); math.Abs(off) > float64(len(f.boxes)) {
			rt.Fatalf("the new version got %d of %d calls, with each box off by one at the most", f.newSends, f.calls)
		}
	})
}

// A box that sees several failures must send its evidence before the next renewal is due.
func TestBadAnswersReachTheLeaderAtOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, 1, rapid.Uint64().Draw(rt, "seed"))
		f.run(1500 * time.Millisecond)
		f.leader.startStage(table.RolloutTrial, 100, 4)
		f.run(500 * time.Millisecond)
		f.failureRate = 1
		m := f.boxes[0]
		m.core.Reduce(f.now, subscription.RenewNow{}, &m.effects)
		m.effects.Reset()
		var sends []routing.Effect
		for range 3 {
			m.core.Reduce(f.now, &routing.CallArrived{Owner: m, Host: []byte(testService), Path: []byte("/")}, &m.effects)
		}
		for _, x := range m.effects.Routing.List {
			if x.Kind == routing.Send {
				sends = append(sends, x)
			}
		}
		m.effects.Reset()
		for _, x := range sends {
			m.core.Reduce(f.now.Add(time.Millisecond), &routing.AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: routing.Failed}, &m.effects)
		}
		if n := len(m.effects.Subscription.Sends); n != 1 {
			rt.Fatalf("the box sent %d requests", n)
		}
		if failures := reportedFailures(m); failures != 3 {
			rt.Fatalf("the evidence has %d failures", failures)
		}
	})
}

func reportedFailures(m *member) uint64 {
	failures := uint64(0)
	for _, x := range m.effects.Subscription.Sends[0].GetRenewRequest().Evidence {
		if units.SoftwareVersion(x.Software) == newSoftware {
			failures += x.Bad
		}
	}
	return failures
}

// A box that starts while all calls go to the new version must serve calls that arrived before its
// first table.
func TestEarlyCallsGoToTheShiftedVersion(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.leader.startStage(table.RolloutTrial, 10, 2)
	f.leader.startStage(table.RolloutShifted, 100, 0)
	// The second box has no lease yet and needs one to serve.
	m := f.boxes[1]
	f.deliver(m, &routing.CallArrived{Owner: m, Host: []byte(testService), Path: []byte("/")})
	f.run(100 * time.Millisecond)
	if f.newSends == 0 {
		t.Fatal("a call that arrived before the first table wasn't sent")
	}
}

// Once a box has reported that no calls are in flight at the old version it must send that version
// none, so that the old targets may stop when all boxes have reported so.
func TestADrainedBoxSendsTheOldVersionNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, 6, rapid.Uint64().Draw(rt, "seed"))
		f.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
		f.delayRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "late")
		f.failureRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "bad")
		f.run(1500 * time.Millisecond)
		f.leader.startStage(table.RolloutTrial, 10, 4)
		faultless := f.lossRate == 0 && f.delayRate == 0 && rapid.Bool().Draw(rt, "peace")
		if !faultless {
			f.injectFaults()
		}
		f.run(time.Second)
		f.leader.startStage(table.RolloutShifted, 100, 0)
		f.run(f.randomBelow(2 * time.Second))
		f.leader.withholdsExposures = true
		f.run(2 * time.Second)
		for _, m := range f.boxes {
			if faultless && m.drainedStage == 0 {
				rt.Fatalf("box %d isn't drained", m.index)
			}
		}
	})
}
