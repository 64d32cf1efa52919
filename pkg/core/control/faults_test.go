package control

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// faultAction is one action of a random schedule.
type faultAction struct {
	name string
	do   func(w *world, n int)
}

// faults are the actions of a schedule: faults, edits, and recoveries from faults. Each gets a random
// number.
var faults = []faultAction{
	{"edit", func(w *world, n int) { w.raceEdits(n, 1) }},
	{"race", func(w *world, n int) { w.raceEdits(n, 3) }},
	{"resend", func(w *world, n int) { w.resend(n) }},
	{"crash", func(w *world, n int) { w.crash(w.replicas[n%len(w.replicas)]) }},
	{"restart", func(w *world, n int) { w.restart(n) }},
	{"crash leader", func(w *world, n int) { w.crashLeader() }},
	{"crash all", func(w *world, n int) { w.crashAll(n) }},
	{"cut", func(w *world, n int) { w.replicas[n%len(w.replicas)].partition = 1 + n%len(w.replicas) }},
	{"join", func(w *world, n int) { w.replicas[n%len(w.replicas)].partition = 0 }},
	{"split", func(w *world, n int) { w.split(n) }},
	{"unsplit", func(w *world, n int) { w.split(0) }},
	{"freeze", func(w *world, n int) { w.replicas[n%len(w.replicas)].frozen = true }},
	{"thaw", func(w *world, n int) { w.unfreeze(w.replicas[n%len(w.replicas)]) }},
	{"lose disk", func(w *world, n int) { w.loseDiskSafely(n) }},
	{"hand over", func(w *world, n int) { w.deliver(w.replicas[n%len(w.replicas)], StopRequested{}) }},
	{"cut box", func(w *world, n int) { w.boxes[n%len(w.boxes)].partition = n % 2 }},
	{"restart box", func(w *world, n int) { w.startBox(w.boxes[n%len(w.boxes)]) }},
	{"bad network", func(w *world, n int) { w.lossRate, w.duplicateRate = float64(n%4)/10, float64(n%3)/10 }},
}

func (w *world) raceEdits(n, operators int) {
	for k := range operators {
		r := w.replicas[(n+k)%len(w.replicas)]
		if !r.up {
			continue
		}
		id := fmt.Sprintf("e%d-%d", w.sequence, k)
		w.submit(r, newEdit(id, "shared", versionAt(r, "shared"), n%100))
	}
}

// resend sends a new edit with the id of an answered one to any replica.
func (w *world) resend(n int) {
	ids := slices.Sorted(maps.Keys(w.answers))
	if len(ids) == 0 {
		return
	}
	w.submit(w.replicas[n%len(w.replicas)], newEdit(string(ids[n%len(ids)]), "shared", 0, 1))
}

// split partitions the network; each bit of n assigns a process to a side.
func (w *world) split(n int) {
	for _, r := range w.replicas {
		r.partition = n & 1
		n >>= 1
	}
	for _, b := range w.boxes {
		b.partition = n & 1
		n >>= 1
	}
}

func (w *world) crashLeader() {
	for _, r := range w.replicas {
		if r.up && r.core.node.IsLeader() {
			w.crash(r)
			return
		}
	}
}

// crashAll crashes all replicas at once and restarts some of them; each bit of n keeps one down.
func (w *world) crashAll(n int) {
	for _, r := range w.replicas {
		w.crash(r)
	}
	for i, r := range w.replicas {
		if n>>i&1 == 0 {
			w.startReplica(r)
		}
	}
}

func (w *world) restart(n int) {
	r := w.replicas[n%len(w.replicas)]
	if !r.up {
		w.startReplica(r)
	}
}

// loseDiskSafely replaces a replica's disk by an empty one while all other replicas are intact
// voters; a cluster of fixed replicas isn't meant to survive the loss of more disks at a time. For
// clusters that grow, loseTwoDisks replaces two of five.
func (w *world) loseDiskSafely(n int) {
	r := w.replicas[n%len(w.replicas)]
	intact := 0
	for _, o := range w.replicas {
		if o != r && o.up && o.halted == nil && o.core.Status(w.now).Log.Voter {
			intact++
		}
	}
	if intact == len(w.replicas)-1 && w.voters() == len(w.replicas) {
		w.loseDisk(r)
		w.startReplica(r)
	}
}

func TestRandomFaultsNeverBreakAPromise(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d replicas", size), func(t *testing.T) {
			tried := 0
			rapid.Check(t, func(rt *rapid.T) {
				tried++
				runSchedule(rt, size)
			})
			t.Logf("%d schedules ran", tried)
		})
	}
}

// stepDuration is how long a step lasts: often so short that the next fault happens before the
// effects of this one are complete.
func stepDuration(s int) time.Duration {
	if s%3 > 0 {
		return time.Duration(s%7) * time.Millisecond
	}
	return time.Duration(s%211) * time.Millisecond
}

func runSchedule(rt *rapid.T, size int) {
	w := newWorld(rt, rapid.Uint64().Draw(rt, "seed"), size, 4)
	steps := rapid.SliceOfN(rapid.IntRange(0, len(faults)*1000-1), 10, 60).Draw(rt, "faults")
	for _, s := range steps {
		f := faults[s%len(faults)]
		f.do(w, s/len(faults))
		w.run(stepDuration(s))
	}
	w.checkRecovery()
}
