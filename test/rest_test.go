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

// Three of ten targets refused calls and asked each box for a rest of three seconds. One box sent such a
// target three more calls within that time and another sent four: "a server had asked a machine for 3 s of
// rest, and got 4 requests from it in that time". Boxes read the requested rest but discarded it when the
// load that the target reported showed spare capacity: a box logged "attempt-ended ... restMs 3000 ...
// shed" and 48 ms later "call-sent ... load 0 ... readingAgeMs 47" for the same target. All 91 calls that
// were logged as refused had gone to targets that seemed to have spare capacity.

const (
	requestedRest = 3 * time.Second
	// maxCallsInRest is how many calls may reach a resting target: slow calls that were sent before
	// the rest began count as well.
	maxCallsInRest = 2
	// leavingGracePeriod is how long after its response said that it leaves a target may still get new calls.
	leavingGracePeriod = 2 * time.Second
)

// startRegistered starts a cluster of registered targets that report rests, limits and leaving in their
// responses. It has one box, so that a target's counts are those of that box.
func startRegistered(t *testing.T, targets int) *testCluster {
	return startRegisteredBoxes(t, 1, targets)
}

// startRegisteredBoxes does the same with several boxes.
func startRegisteredBoxes(t *testing.T, boxes, targets int) *testCluster {
	x := startCluster(t, clusterOptions{
		replicas: 1, boxes: boxes, targets: targets, adjust: enableNoticeHeaders,
		targetArguments: []string{"--slots", "4", "--queue", "8", "--work", "5ms"},
	})
	x.must(lab.Eventually(waitTimeout, func() error { return x.api().PutDocument(rolloutDocument()) }))
	for _, target := range x.targets {
		x.must(lab.Eventually(waitTimeout, func() error { return x.api().SubmitReport(registration(target, 1)) }))
	}
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
	x.awaitServed(shopCall)
	return x
}

// shopCall is a call of the registered targets' service.
var shopCall = lab.CallSpec{Host: "shop.test"}

func enableNoticeHeaders(s *config.Settings) {
	useShortLeases(s)
	s.Entry.LeavingHeader = lab.LeavingHeader
	s.Entry.LimitHeader = lab.LimitHeader
}

// registration returns the n-th report that a target sends.
func registration(target *lab.TargetProcess, n uint64) *table.Registration {
	return &table.Registration{
		Target: units.TargetID(target.Name), Service: rolloutService, Address: target.Address, Slots: 4, State: table.Active, Sequence: n, Born: 1000,
	}
}

const (
	// parallelCallers is how many callers call at a time. Each pauses for callerPause after a call, long enough for
	// a box to probe the load of targets again before the next call.
	parallelCallers = 4
	callerPause     = 40 * time.Millisecond
)

// callFor makes calls for a duration, and returns how many it made and how many were served.
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
		t.Logf("%s got %d calls and %d probes in %d rests", target.Name, s.CallsInRest, s.ProbesInRest, s.Rests)
		if s.Rests == 0 {
			t.Errorf("%s got no call that it could have refused", target.Name)
		}
		if s.CallsInRest > maxCallsInRest || s.ProbesInRest > maxCallsInRest {
			t.Errorf("%s got %d calls and %d probes while it rested", target.Name, s.CallsInRest, s.ProbesInRest)
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
		t.Error("the target got no call or probe whose response could have announced that it leaves")
	}
	if n := after.Runs - before.Runs; n > 0 {
		t.Errorf("the target ran %d of %d calls made after it had announced for %s that it leaves", n, calls, leavingGracePeriod)
	}
	if served < calls*95/100 {
		t.Errorf("%d of %d calls were served by the others", served, calls)
	}
}

// A box is frozen in the middle of a rest. The rest continues meanwhile: it is neither forgotten nor
// restarted.
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
	box.Process.Unfreeze()
	x.must(x.cluster.AwaitReady(box, waitTimeout))
	x.callFor(requestedRest/4 + time.Until(asked.Add(requestedRest/2)))
	before := x.fetchStats(resting)
	if before.CallsInRest > maxCallsInRest || before.ProbesInRest > maxCallsInRest {
		t.Errorf("%s got %d calls and %d probes while it rested", resting.Name, before.CallsInRest, before.ProbesInRest)
	}
	time.Sleep(time.Until(asked.Add(requestedRest)))
	x.must(lab.Eventually(requestedRest/2, func() error {
		if x.callFor(200 * time.Millisecond); x.fetchStats(resting).Runs == before.Runs {
			return fmt.Errorf("%s gets no calls though its rest has ended", resting.Name)
		}
		return nil
	}))
}
