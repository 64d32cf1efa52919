package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// restartingTarget is a target that crashes and starts again under its id. Each start reports on, to any
// replica, until it has left or the next one begins; reports of earlier starts come late.
type restartingTarget struct {
	world *world
	// born is that of the present start, acknowledged the last start that was.
	born, acknowledged units.WallTime
	// left is the last start whose departure was acknowledged.
	left units.WallTime
}

const restartingTargetID = units.TargetID("starter")

func (x *restartingTarget) registration(born units.WallTime, sequence uint64, state table.RowState) *table.Registration {
	return &table.Registration{
		Target: restartingTargetID, Service: testService, Address: "127.0.0.77:80", State: state, StartedAt: born, Sequence: sequence,
	}
}

// startAgain begins a startAgain, whose first reports have low numbers.
func (x *restartingTarget) startAgain() {
	x.born += 1000
	x.report(x.born, 1)
}

func (x *restartingTarget) report(born units.WallTime, sequence uint64) {
	if born != x.born || x.left == born {
		return
	}
	w := x.world
	r := w.replicas[w.random.IntN(len(w.replicas))]
	w.order(r, func(id RequestID) Event {
		return TargetReported{Request: id, Registration: x.registration(born, sequence, table.Active)}
	}, func(a Answer) {
		if a.Err == nil {
			x.acknowledged = max(x.acknowledged, born)
		}
	})
	w.after(200*time.Millisecond, func() { x.report(born, sequence+1) })
}

// sendLateReports has reports of all earlier starts come now, with numbers far above those of the present one.
func (x *restartingTarget) sendLateReports() {
	w := x.world
	for born := units.WallTime(1000); born < x.born; born += 1000 {
		r := w.replicas[w.random.IntN(len(w.replicas))]
		w.order(r, func(id RequestID) Event {
			return TargetReported{Request: id, Registration: x.registration(born, 1000+uint64(born), table.Leaving)}
		}, func(Answer) {})
	}
}

// depart has the present start leave for good, if it is known to be registered.
func (x *restartingTarget) depart() {
	if x.acknowledged != x.born || x.left == x.born {
		return
	}
	w, born := x.world, x.born
	w.order(w.replicas[w.random.IntN(len(w.replicas))], func(id RequestID) Event {
		return TargetDeparted{Request: id, Target: restartingTargetID}
	}, func(a Answer) {
		if a.Err == nil && x.born == born {
			x.left = born
		}
	})
}

// check makes sure that the present start is the one in force, unless it has left.
func (x *restartingTarget) check(t *rapid.T) {
	for _, r := range x.world.replicas {
		held := r.core.state.Registration(restartingTargetID)
		switch {
		case x.left == x.born:
			if held != nil {
				t.Fatalf("%s holds the start of %d, whose leaving was acknowledged", r.id, held.StartedAt)
			}
		case held == nil || held.StartedAt != x.born || held.State != table.Active:
			t.Fatalf("%s holds %+v, the present start is that of %d", r.id, held, x.born)
		}
	}
}

// Under any faults that the cluster bears, the last start of a target holds in the end, whatever
// comes late of the starts before.
func TestTheLastStartHolds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newGrowingWorld(t, rapid.Uint64().Draw(t, "seed"), 5, 5, 1)
		w.putDocument(w.leader(), false)
		w.run(500 * time.Millisecond)
		x := &restartingTarget{world: w}
		x.startAgain()
		steps := rapid.SliceOfN(rapid.IntRange(0, len(growthFaults)*1000-1), 1, 25).Draw(t, "faults")
		for i, s := range steps {
			switch i % 4 {
			case 1:
				x.sendLateReports()
			case 2:
				x.startAgain()
			}
			growthFaults[s%len(growthFaults)].do(w, s/len(growthFaults))
			w.run(stepDuration(s))
		}
		w.checkRecovery()
		if s := steps[0]; s%3 == 0 {
			// An order that was given up must not be under way any more when the next start begins.
			w.run(w.settings.EditTimeout)
			x.depart()
		}
		w.run(time.Second)
		x.sendLateReports()
		w.run(3 * time.Second)
		x.check(t)
	})
}
