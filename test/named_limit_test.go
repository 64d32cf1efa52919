package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
)

// Two of ten targets reported in their responses how many calls a second they accept from all boxes together, 2.7 and
// 3.6. Each still got as many calls as before, from eighteen boxes that each sent it less than one a second: a target
// with a limit of 2.7 a second got 31 requests in 4 s from boxes that it had told, where 21 were allowed. A box's log
// showed "probe-answered ... limit 2.2 ... load 0" directly followed by "call-sent" to the same target: boxes ignored
// the limit, and no box could have kept it alone. Calls to such a target now need a permit from the one box that counts
// all of them.

const (
	// limitedBoxes and limitedTargets are the numbers of boxes and targets in tests of reported limits.
	limitedBoxes, limitedTargets = 6, 8
	// limitWarmUp is how long targets report their limits before calls are counted: boxes that seldom call a target
	// receive its limit late.
	limitWarmUp = 3 * time.Second
	// limitMeasureTime is for how long calls are counted.
	limitMeasureTime = 6 * time.Second
	// maxRefusalTime bounds the time until a call is refused that the limits don't allow.
	maxRefusalTime = 200 * time.Millisecond
)

// setTargetLimits makes the first targets report limits, in calls a second.
func (x *testCluster) setTargetLimits(limits ...float64) {
	for i, rate := range limits {
		x.setBehavior(x.targets[i], fmt.Sprintf("limit=%g", rate))
	}
}

// callConcurrently makes calls from parallelCallers callers for a duration and returns them.
func (x *testCluster) callConcurrently(duration time.Duration) []lab.Call {
	var work sync.WaitGroup
	var lock sync.Mutex
	var calls []lab.Call
	end := time.Now().Add(duration)
	for range parallelCallers {
		work.Add(1)
		go func() {
			defer work.Done()
			for ; time.Now().Before(end); time.Sleep(callerPause) {
				c := x.caller.Do(shopCall)
				lock.Lock()
				calls = append(calls, c)
				lock.Unlock()
			}
		}()
	}
	work.Wait()
	return calls
}

// checkTargetLimits checks that no target got more calls than its limit allows, and returns how many calls the
// limited targets got.
func (x *testCluster) checkTargetLimits(before []lab.TargetStats) int64 {
	x.Helper()
	sum := int64(0)
	for i := range before {
		s := x.fetchStats(x.targets[i])
		sum += s.CallsWhileLimited - before[i].CallsWhileLimited
		x.Logf("%s got %d calls and %d probes while it reported a limit", x.targets[i].Name, s.CallsWhileLimited-before[i].CallsWhileLimited, s.ProbesWhileLimited-before[i].ProbesWhileLimited)
		if b := s.WorstBreach; b != nil {
			x.Errorf("%s reported a limit of %g a second and got %d calls in 4 s, allowed %.0f: %v", x.targets[i].Name, b.Rate, b.Count(), b.Allowed, b.Calls)
		}
	}
	return sum
}

func (x *testCluster) fetchFirstStats(n int) []lab.TargetStats {
	var all []lab.TargetStats
	for _, t := range x.targets[:n] {
		all = append(all, x.fetchStats(t))
	}
	return all
}

func countServed(calls []lab.Call) int {
	n := 0
	for _, c := range calls {
		if c.Verdict == lab.Complete {
			n++
		}
	}
	return n
}

func TestALimitThatTargetsNameHoldsOverAllBoxes(t *testing.T) {
	x := startRegisteredBoxes(t, limitedBoxes, limitedTargets)
	x.setTargetLimits(2.2, 3.9)
	x.callConcurrently(limitWarmUp)
	before := x.fetchFirstStats(2)
	calls := x.callConcurrently(limitMeasureTime)
	x.checkTargetLimits(before)
	if served := countServed(calls); served < len(calls)*99/100 {
		t.Errorf("%d of %d calls were served, though six targets have capacity for all", served, len(calls))
	}
}

// All targets of a service report limits, a fifth of the call rate in total. Whichever boxes are called, the calls that
// the limits allow are served; the others are refused at once as not run, with a time to retry after.
func TestAServiceWhoseTargetsAllNameLimits(t *testing.T) {
	t.Run("callers come to all boxes", func(t *testing.T) { testAllTargetsLimited(t, limitedBoxes) })
	t.Run("callers come to one box", func(t *testing.T) { testAllTargetsLimited(t, 1) })
}

func testAllTargetsLimited(t *testing.T, calledBoxes int) {
	x := startRegisteredBoxes(t, limitedBoxes, limitedTargets)
	limits := []float64{2, 2, 2, 2, 2, 2, 2, 2}
	x.setTargetLimits(limits...)
	x.callConcurrently(limitWarmUp)
	x.caller.SetAddresses(x.awaitServingEntries()[:calledBoxes]...)
	before := x.fetchFirstStats(limitedTargets)
	calls := x.callConcurrently(limitMeasureTime)
	targetCalls := x.checkTargetLimits(before)
	allowed := 0.0
	for _, l := range limits {
		allowed += l * limitMeasureTime.Seconds()
	}
	if float64(targetCalls) < 0.6*allowed {
		t.Errorf("the targets got %d calls of the %.0f that their limits allow", targetCalls, allowed)
	}
	slow, unconfirmed := 0, 0
	for _, c := range calls {
		if c.Verdict == lab.Complete {
			continue
		}
		if c.Latency > maxRefusalTime {
			slow++
		}
		if c.Verdict != lab.NotRun || c.RetryAfter <= 0 {
			unconfirmed++
		}
	}
	t.Logf("%d of %d calls were served", countServed(calls), len(calls))
	if slow > len(calls)/100 {
		t.Errorf("%d of %d calls were refused only after more than %s", slow, len(calls), maxRefusalTime)
	}
	if unconfirmed > 0 {
		t.Errorf("%d failed calls weren't refused as not run, or got no time to retry after", unconfirmed)
	}
}
