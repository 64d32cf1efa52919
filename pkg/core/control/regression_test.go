package control

import (
	"testing"

	"github.com/madderpond/madderpond/pkg/wire"
)

// Schedules that once broke a promise, each with its cause. They are played again as
// they were found.
var regressions = []struct {
	testName string
	size     int
	seed     uint64
	steps    []int
}{
	{
		// A box list that had become empty was an empty list on replicas and none on
		// boxes.
		testName: "the last box leaves the list", size: 3, seed: 0,
		steps: []int{0, 1, 12, 1, 135, 0, 1023, 0, 1, 66, 12, 0, 0, 0, 70, 12582, 9, 55, 590, 15},
	},
	{
		// A refusal meant for the replica's old disk, whose starts had the same number,
		// stopped the new one.
		testName: "a refusal finds another disk", size: 5, seed: 0x14,
		steps: []int{187, 9516, 4680, 9, 1, 0, 12, 4, 11, 1, 6, 1, 7, 2, 1, 8, 17222, 229},
	},
}

func TestSchedulesThatOnceBrokeAPromise(t *testing.T) {
	for _, r := range regressions {
		t.Run(r.testName, func(t *testing.T) {
			w := newWorld(t, r.seed, r.size, 4)
			for _, s := range r.steps {
				f := faults[s%len(faults)]
				f.do(w, s/len(faults))
				w.run(stepDuration(s))
			}
			w.checkRecovery()
		})
	}
}

// A refusal that speaks of another start or another disk of a replica is no reason for
// this one to stop.
func TestARefusalConcernsOneStartOfOneDisk(t *testing.T) {
	w := newWorld(t, 1, 3, 1)
	r := w.replicas[0]
	for _, refusal := range []*wire.Refusal{
		{Reason: "test", Boot: r.boot + 1, Incarnation: string(r.core.settings.Replication.Incarnation)},
		{Reason: "test", Boot: r.boot, Incarnation: "another"},
	} {
		w.deliver(r, PeerMessage{Envelope: &wire.Envelope{
			From: string(w.replicas[1].id), To: string(r.id), Incarnation: "r1.0", Boot: 1,
			Body: &wire.Envelope_Refusal{Refusal: refusal},
		}})
		if r.halted != nil {
			t.Fatalf("%+v stopped a replica that it doesn't concern", refusal)
		}
	}
}
