package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// restartingTarget is a target that crashes and restarts under the same id. Each incarnation
// keeps reporting, to any replica, until it has left or the next one starts; reports of earlier
// incarnations arrive late.
type restartingTarget struct {
	world *world
	// born identifies the current incarnation, acknowledged is the last one whose report was
	// acknowledged.
	born, acknowledged units.WallTime
	// left is the last incarnation whose departure was acknowledged.
	left units.WallTime
}

const restartingTargetID = units.TargetID("starter")

func (x *restartingTarget) registration(born units.WallTime, sequence uint64, state table.RowState) *table.Registration {
	return &table.Registration{
		Target: restartingTargetID, Service: testService, Address: "127.0.0.77:80", State: state, Born: born, Sequence: sequence,
	}
}

// restart starts a new incarnation, whose first reports have low sequence numbers.
func (x *restartingTarget) restart() {
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

// sendLateReports sends reports of all earlier incarnations, with far higher sequence numbers than those
// of the current one.
func (x *restartingTarget) sendLateReports() {
	w := x.world
	for born := units.WallTime(1000); born < x.born; born += 1000 {
		r := w.replicas[w.random.IntN(len(w.replicas))]
		w.order(r, func(id RequestID) Event {
			return TargetReported{Request: id, Registration: x.registration(born, 1000+uint64(born), table.Leaving)}
		}, func(Answer) {})
	}
}

// depart has the current incarnation leave permanently, if its registration was acknowledged.
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

// check checks that the current incarnation is registered on all replicas, unless it has left.
func (x *restartingTarget) check(t *rapid.T) {
	for _, r := range x.world.replicas {
		held := r.core.state.Registration(restartingTargetID)
		switch {
		case x.left == x.born:
			if held != nil {
				t.Fatalf("%s has the incarnation of %d, whose departure was acknowledged", r.id, held.Born)
			}
		case held == nil || held.Born != x.born || held.State != table.Active:
			t.Fatalf("%s has %+v, the current incarnation is that of %d", r.id, held, x.born)
		}
	}
}

// Under any faults that the cluster tolerates, the last incarnation of a target is the registered one
// in the end, whatever arrives late from earlier incarnations.
func TestTheLastStartHolds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newGrowingWorld(t, rapid.Uint64().Draw(t, "seed"), 5, 5, 1)
		w.putDocument(w.leader(), false)
		w.run(500 * time.Millisecond)
		x := &restartingTarget{world: w}
		x.restart()
		steps := rapid.SliceOfN(rapid.IntRange(0, len(growthFaults)*1000-1), 1, 25).Draw(t, "faults")
		for i, s := range steps {
			switch i % 4 {
			case 1:
				x.sendLateReports()
			case 2:
				x.restart()
			}
			growthFaults[s%len(growthFaults)].do(w, s/len(growthFaults))
			w.run(stepDuration(s))
		}
		w.checkRecovery()
		if s := steps[0]; s%3 == 0 {
			// An order that was given up must no longer be in flight when the next incarnation starts.
			w.run(w.settings.EditTimeout)
			x.depart()
		}
		w.run(time.Second)
		x.sendLateReports()
		w.run(3 * time.Second)
		x.check(t)
	})
}
