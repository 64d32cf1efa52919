package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// crashReporters holds the crash notes of the current process of each box.
type crashReporters map[*fakeBox]*crashReporter

// crashReporter is one process of a box, which keeps its notes for the next leader.
type crashReporter struct {
	generation   int
	notes        []crash.Note
	refused      []crash.Fingerprint
	term         units.Term
	acknowledged uint64
	// watched are the calls that the last grant listed, trials those that the box was granted.
	watched []crash.WatchedCall
	trials  map[int]bool
}

func (x crashReporters) reporterOf(b *fakeBox) *crashReporter {
	v := x[b]
	if v == nil || v.generation != b.generation {
		v = &crashReporter{generation: b.generation, trials: map[int]bool{}}
		x[b] = v
	}
	return v
}

// receiveGrant records a grant's data on quarantines.
func (x crashReporters) receiveGrant(b *fakeBox, granted *subscription.Watched) {
	if x == nil || granted == nil {
		return
	}
	v := x.reporterOf(b)
	if granted.Term != v.term {
		v.term, v.acknowledged = granted.Term, 0
	}
	v.acknowledged = max(v.acknowledged, granted.Acknowledged)
	v.watched = granted.Calls
	for _, c := range granted.Calls {
		if c.Trial > 0 {
			v.trials[c.Trial] = true
		}
	}
}

// addNotes adds the notes that the leader may lack to a box's lease request.
func (x crashReporters) addNotes(b *fakeBox, m *wire.Envelope, now units.Instant) {
	request := m.GetRenewRequest()
	if x == nil || request == nil {
		return
	}
	v := x.reporterOf(b)
	for _, n := range v.notes {
		if n.Number > v.acknowledged {
			request.CrashNotes = append(request.CrashNotes, wire.FromCrashNotes([]crash.Note{n}, now)...)
		}
	}
	request.Refused = wire.FromFingerprints(v.refused)
	v.refused = nil
}

func (x crashReporters) add(b *fakeBox, n crash.Note) {
	v := x.reporterOf(b)
	n.Number = uint64(len(v.notes) + 1)
	v.notes = append(v.notes, n)
}

// badCall is a call that is to blame.
var badCall = crash.Fingerprint{Head: 7, Body: 8, Caller: 9}

// newCrashWorld returns a world whose boxes report crashes.
func newCrashWorld(t fataler, seed uint64, boxes int) *world {
	w := newWorld(t, seed, 3, boxes)
	w.crashReporters = crashReporters{}
	return w
}

// crashTarget has a box note the crash of a target that was handling calls.
func (w *world) crashTarget(b *fakeBox, target units.TargetID, calls ...crash.Fingerprint) {
	n := crash.Note{At: w.now, Service: "s", Target: target}
	for _, f := range calls {
		n.Suspects = append(n.Suspects, crash.Suspect{Fingerprint: f, SentBefore: 20 * time.Millisecond})
	}
	w.crashReporters.add(b, n)
}

// crashThree has three targets crash while handling the bad call, each seen by another box.
func (w *world) crashThree(others ...crash.Fingerprint) {
	for i := range 3 {
		w.crashTarget(w.boxes[i%len(w.boxes)], units.TargetID(fmt.Sprintf("t%d", i)), append(others, badCall)...)
		w.run(300 * time.Millisecond)
	}
}

// answer has a box note that a target answered a call.
func (w *world) answer(b *fakeBox, f crash.Fingerprint) {
	w.crashReporters.add(b, crash.Note{At: w.now, Suspects: []crash.Suspect{{Fingerprint: f}}})
}

// refuse has a box report for a while that it refuses the bad call.
func (w *world) refuse(b *fakeBox, d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.run(100 * time.Millisecond) {
		w.crashReporters.reporterOf(b).refused = []crash.Fingerprint{badCall}
	}
}

// wantQuarantined fails the test unless the bad call is in quarantine on every replica and box, or
// on none.
func (w *world) wantQuarantined(want bool) {
	for _, r := range w.replicas {
		if got := r.core.Table().Quarantine(badCall) != nil; got != want {
			w.t.Fatalf("%s has the call in quarantine: %t", r.id, got)
		}
	}
	for _, b := range w.boxes {
		if got := b.core.Table().Quarantine(badCall) != nil; b.up && got != want {
			w.t.Fatalf("box %s has the call in quarantine: %t", b.id, got)
		}
	}
}

func TestNotesOfSeveralBoxesMakeOneVerdict(t *testing.T) {
	for seed := range uint64(10) {
		w := newCrashWorld(t, seed, 3)
		w.crashThree()
		w.run(time.Second)
		w.wantQuarantined(true)
		w.checkRecovery()
	}
}

// The leader that knew of the first crashes is lost; the boxes send their notes to its successor.
func TestNotesOutliveTheLeader(t *testing.T) {
	for seed := range uint64(10) {
		w := newCrashWorld(t, seed, 3)
		w.crashTarget(w.boxes[0], "t1", badCall)
		w.run(300 * time.Millisecond)
		w.crashTarget(w.boxes[1], "t2", badCall)
		w.run(300 * time.Millisecond)
		old := w.leader()
		w.crash(old)
		w.run(time.Second)
		w.crashTarget(w.boxes[2], "t3", badCall)
		w.run(time.Second)
		w.startReplica(old)
		w.run(time.Second)
		w.wantQuarantined(true)
		w.checkRecovery()
	}
}

// A verdict is durable: it holds after all replicas and boxes have restarted.
func TestAQuarantineOutlivesALossOfPower(t *testing.T) {
	w := newCrashWorld(t, 1, 3)
	w.crashThree()
	w.run(time.Second)
	for _, r := range w.replicas {
		w.crash(r)
	}
	for _, r := range w.replicas {
		w.startReplica(r)
	}
	for _, b := range w.boxes {
		w.startBox(b)
	}
	w.run(2 * time.Second)
	w.wantQuarantined(true)
}

// While no disk completes a write, nothing can be committed; the verdict is sent with the grants
// instead.
func TestAVerdictDoesNotWaitForADisk(t *testing.T) {
	w := newCrashWorld(t, 2, 3)
	w.run(time.Second)
	for _, r := range w.replicas {
		r.stalled = true
	}
	w.crashThree()
	w.run(500 * time.Millisecond)
	w.wantQuarantined(false)
	for _, b := range w.boxes {
		list := w.crashReporters.reporterOf(b).watched
		if len(list) != 1 || list[0] != (crash.WatchedCall{Call: badCall, Quarantined: true}) {
			t.Errorf("the grants to box %s list %+v", b.id, list)
		}
	}
}

// A box that was disconnected from the leader when the targets crashed sends its notes afterwards.
func TestNotesOfACutOffBoxAreTakenLater(t *testing.T) {
	w := newCrashWorld(t, 3, 3)
	cut := w.boxes[2]
	cut.partition = 1
	for i := range 3 {
		w.crashTarget(cut, units.TargetID(fmt.Sprintf("t%d", i)), badCall)
		w.run(300 * time.Millisecond)
	}
	w.run(3 * time.Second)
	w.wantQuarantined(false)
	cut.partition = 0
	w.run(3 * time.Second)
	w.wantQuarantined(true)
}

// A target that answers the call shows that the verdict was wrong.
func TestAnAnswerEndsAQuarantine(t *testing.T) {
	w := newCrashWorld(t, 4, 3)
	w.crashThree()
	w.run(time.Second)
	w.wantQuarantined(true)
	w.answer(w.boxes[0], badCall)
	w.run(time.Second)
	w.wantQuarantined(false)
}

// In a doubtful quarantine one call is let through after a few seconds, at one box only.
func TestADoubtfulVerdictIsTriedOnce(t *testing.T) {
	popular := crash.Fingerprint{Head: 1, Body: 2, Caller: 3}
	w := newCrashWorld(t, 5, 3)
	w.crashThree(popular)
	w.run(time.Second)
	w.wantQuarantined(true)
	if w.leader().core.Table().Quarantine(popular) == nil {
		t.Fatal("the other call isn't in quarantine")
	}
	for _, b := range w.boxes {
		w.crashReporters.reporterOf(b).refused = []crash.Fingerprint{badCall}
	}
	w.refuse(w.boxes[1], 10*time.Second)
	trials := 0
	for _, b := range w.boxes {
		trials += len(w.crashReporters.reporterOf(b).trials)
	}
	if trials != 1 {
		t.Fatalf("%d trials were granted", trials)
	}
	// The next trial is due minutes later, whichever replica leads.
	w.crash(w.leader())
	w.refuse(w.boxes[1], 20*time.Second)
	if n := len(w.crashReporters.reporterOf(w.boxes[1]).trials); n != 1 {
		t.Fatalf("%d trials were granted", n)
	}
}

func TestACallThatStaysAwayIsReleased(t *testing.T) {
	w := newCrashWorld(t, 6, 3)
	w.crashThree()
	w.run(time.Second)
	w.leader().core.quarantines.observations[badCall].refusedAt = w.now.Add(-quarantineIdleTimeout)
	w.run(time.Second)
	w.wantQuarantined(false)
}

// An order to release a call that is delayed at a partitioned replica must not end a quarantine
// that began in the meantime.
func TestADelayedReleaseEndsNoLaterQuarantine(t *testing.T) {
	release := func(id RequestID) Event { return ReleaseOrdered{Request: id, Call: badCall, Operator: "test"} }
	for seed := range uint64(10) {
		w := newCrashWorld(t, seed, 3)
		w.crashThree()
		w.run(time.Second)
		cut := w.followers()[0]
		cut.partition = 1
		var late Answer
		w.order(cut, release, func(a Answer) { late = a })
		done := fault.New(fault.Unknown, "", "no answer")
		w.order(w.leader(), release, func(a Answer) { done = a.Err })
		w.run(300 * time.Millisecond)
		if done != nil || w.leader().core.Table().Quarantine(badCall) != nil {
			t.Fatalf("seed %d: the call wasn't released: %v", seed, done)
		}
		w.crashThree()
		w.run(time.Second)
		cut.partition = 0
		w.run(3 * time.Second)
		w.wantQuarantined(true)
		if kind := fault.KindOf(late.Err); late.Err != nil && kind != fault.Unavailable && kind != fault.Unknown {
			t.Fatalf("seed %d: the delayed order was answered with %v", seed, late.Err)
		}
	}
}

// Under any faults that the cluster tolerates, a call that was shown in quarantine stays there, and
// the verdict is the same on all replicas and boxes in the end.
func TestQuarantinesHold(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newGrowingWorld(t, rapid.Uint64().Draw(t, "seed"), 5, 5, 3)
		w.crashReporters = crashReporters{}
		steps := rapid.SliceOfN(rapid.IntRange(0, len(growthFaults)*1000-1), 1, 30).Draw(t, "faults")
		shown := false
		for i, s := range steps {
			w.crashTarget(w.boxes[s%len(w.boxes)], units.TargetID(fmt.Sprintf("t%d", i)), badCall)
			growthFaults[s%len(growthFaults)].do(w, s/len(growthFaults))
			w.run(stepDuration(s))
			shown = shown || w.showsQuarantine()
		}
		w.checkRecovery()
		if len(steps) < 20 && !shown {
			return
		}
		w.run(3 * time.Second)
		w.wantQuarantined(true)
	})
}

// showsQuarantine reports whether a running box has the bad call in quarantine.
func (w *world) showsQuarantine() bool {
	for _, b := range w.boxes {
		if b.up && b.core.Table().Quarantine(badCall) != nil {
			return true
		}
	}
	return false
}

// When the maximum number of calls is in quarantine, a new one replaces the oldest.
func TestQuarantinesAreBounded(t *testing.T) {
	s := table.NewState()
	for i := range uint64(table.MaxQuarantines + 5) {
		x := &table.QuarantineStep{Call: crash.Fingerprint{Head: i, Body: 1, Caller: 1}, Action: table.BeginQuarantine, Service: "s"}
		if _, delta := s.ApplyQuarantine(x, 1); delta == nil {
			t.Fatalf("call %d isn't in quarantine", i)
		}
	}
	list := s.Table().Quarantines
	if len(list) != table.MaxQuarantines || list[0].Call.Head != 5 {
		t.Errorf("%d calls are in quarantine, the oldest is %d", len(list), list[0].Call.Head)
	}
	data, err := wire.EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	again, err := wire.DecodeState(data)
	if err != nil || len(again.Table().Quarantines) != len(list) || again.Table().QuarantineCovering(list[3].Call) == nil {
		t.Errorf("after decoding there are %d: %v", len(again.Table().Quarantines), err)
	}
	t.Logf("%d calls in quarantine take %d bytes of a snapshot", len(list), len(data))
}
