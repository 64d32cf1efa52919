package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

// Three targets of ten turned calls away and asked each box for three seconds of rest. One box
// sent such a target three more calls within that time, another four: "a server had asked a
// machine for 3 s of rest, and got 4 requests from it in that time". The boxes read the time to
// rest and dropped it, because what the targets reported of their load showed room: a box's log reads
// "attempt-ended ... restMs 3000 ... shed" and 48 ms later "call-sent ... load 0 ... readingAgeMs 47" for
// the same target. All of the 91 calls that were logged as turned away had gone to targets that seemed to
// have room.

const (
	requestedRest = 3 * time.Second
	// leftInRest is how many calls may still reach a target that rests: those that were under way
	// to it count as well where they take long.
	maxCallsInRest = 2
	// drainTime is how long after its answer said so a leaving target may still get new calls.
	leavingGracePeriod = 2 * time.Second
)

// beginTalking begins a story of registered targets that say things of themselves, with one box, so
// that a target's counts are of that box alone.
func startRegistered(t *testing.T, targets int) *testCluster {
	return startRegisteredBoxes(t, 1, targets)
}

// beginTalkingTo is the same with several boxes.
func startRegisteredBoxes(t *testing.T, boxes, targets int) *testCluster {
	x := startCluster(t, clusterOptions{
		replicas: 1, boxes: boxes, targets: targets, adjust: enableNoticeHeaders,
		targetArguments: []string{"--slots", "4", "--queue", "8", "--work", "5ms"},
	})
	x.must(lab.Eventually(waitTimeout, func() error { return x.api().PutDocument(rolloutDocument()) }))
	for _, target := range x.targets {
		x.must(lab.Eventually(waitTimeout, func() error { return x.api().Report(registration(target, 1)) }))
	}
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
	x.awaitServed(shopCall)
	return x
}

// shopCall is a call of the story's service.
var shopCall = lab.Plan{Host: "shop.test"}

func enableNoticeHeaders(s *config.Settings) {
	useShortLeases(s)
	s.Entry.LeavingHeader = lab.LeavingHeader
	s.Entry.LimitHeader = lab.LimitHeader
}

// registration is the report of a target, the n-th that it sends.
func registration(target *lab.TargetProcess, n uint64) *table.Registration {
	return &table.Registration{
		Target: units.TargetID(target.Name), Service: rolloutService, Address: target.Address, Slots: 4, State: table.Active, Sequence: n, Born: 1000,
	}
}

const (
	// calling is how many call at a time, with a pause after each call: long enough for a box to ask targets
	// for their load again before the next one.
	parallelCallers = 4
	callerPause     = 40 * time.Millisecond
)

// callFor makes calls for a time, and returns how many and how many of them were served.
func (x *testCluster) callFor(d time.Duration) (calls, served int) {
	all := x.callConcurrently(d)
	return len(all), countServed(all)
}

func TestATargetThatAskedForRestGetsNoCalls(t *testing.T) {
	x := startRegistered(t, 4)
	resting := x.targets[1:]
	for _, target := range resting {
		x.setBehavior(target, fmt.Sprintf("shed=1&rest_ms=%d", requestedRest.Milliseconds()))
	}
	calls, served := x.callFor(2 * requestedRest)
	for _, target := range resting {
		s := x.fetchStats(target)
		t.Logf("%s got %d calls and %d probes in %d rests", target.Name, s.Unrested, s.UnrestedProbes, s.Rests)
		if s.Rests == 0 {
			t.Errorf("%s got no call that it could have turned away", target.Name)
		}
		if s.Unrested > maxCallsInRest || s.UnrestedProbes > maxCallsInRest {
			t.Errorf("%s got %d calls and %d probes while it rested", target.Name, s.Unrested, s.UnrestedProbes)
		}
	}
	if served < calls*95/100 {
		t.Errorf("%d of %d calls were served by the others", served, calls)
	}
}

func TestATargetThatSaysItLeavesGetsNoCalls(t *testing.T) {
	x := startRegistered(t, 4)
	x.setBehavior(x.targets[0], "leaving=1")
	x.callFor(leavingGracePeriod)
	before := x.fetchStats(x.targets[0])
	calls, served := x.callFor(2 * time.Second)
	after := x.fetchStats(x.targets[0])
	if before.Runs+before.Probes == 0 {
		t.Error("the target answered nothing that could have said so")
	}
	if n := after.Runs - before.Runs; n > 0 {
		t.Errorf("the target ran %d of %d calls that came after it had said for %s that it leaves", n, calls, leavingGracePeriod)
	}
	if served < calls*95/100 {
		t.Errorf("%d of %d calls were served by the others", served, calls)
	}
}

// A box stands still in the middle of a rest: the rest runs on meanwhile, and neither is forgotten nor
// begins anew.
func TestARestRunsOnWhileTheBoxStandsStill(t *testing.T) {
	x := startRegistered(t, 2)
	resting, box := x.targets[1], x.cluster.Boxes[0]
	x.setBehavior(resting, fmt.Sprintf("shed=1&rest_ms=%d", requestedRest.Milliseconds()))
	x.must(lab.Eventually(waitTimeout, func() error {
		if x.callFor(100 * time.Millisecond); x.fetchStats(resting).Rests == 0 {
			return fmt.Errorf("%s hasn't asked for rest", resting.Name)
		}
		return nil
	}))
	asked := time.Now()
	x.setBehavior(resting, "shed=0")
	box.Process.Freeze()
	time.Sleep(requestedRest / 2)
	box.Process.Thaw()
	x.must(x.cluster.AwaitServing(box, waitTimeout))
	x.callFor(requestedRest/4 + time.Until(asked.Add(requestedRest/2)))
	before := x.fetchStats(resting)
	if before.Unrested > maxCallsInRest || before.UnrestedProbes > maxCallsInRest {
		t.Errorf("%s got %d calls and %d probes while it rested", resting.Name, before.Unrested, before.UnrestedProbes)
	}
	time.Sleep(time.Until(asked.Add(requestedRest)))
	x.must(lab.Eventually(requestedRest/2, func() error {
		if x.callFor(200 * time.Millisecond); x.fetchStats(resting).Runs == before.Runs {
			return fmt.Errorf("%s gets no calls though its rest is over", resting.Name)
		}
		return nil
	}))
}
