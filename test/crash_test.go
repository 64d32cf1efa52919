package test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
)

// A caller sent the same request repeatedly, and every target that ran it crashed. Targets restarted
// within one or two seconds, and each time the request reached them through another box: all ten
// targets of the service were down within a second, three times in a minute and a half. After the
// request had crashed three targets it was sent 7 more times, and 24 targets crashed in all. Boxes
// kept sending it because none recorded what a request had done to a target or told the other boxes.
// In the log of each box "attempt-ended ... broken" was followed by "probe-answered" with
// "unreachable":true for the target; only the time linked the logs of two boxes.

const (
	crashRequestBody   = "the request that ends its target"
	crashCallInterval  = 50 * time.Millisecond
	targetRestartDelay = time.Second
	// crashesToQuarantine is the number of crashes after which a call must be quarantined.
	// All boxes must know of the quarantine maxQuarantineDelay later, and the call may then
	// run maxQuarantinedRuns more times.
	crashesToQuarantine = 3
	maxQuarantineDelay  = 3 * time.Second
	maxQuarantinedRuns  = 3
)

// crashCluster is a cluster whose targets crash on one request and are restarted.
type crashCluster struct {
	*testCluster
	workers
	// callsStopped ends the calls; targets are still restarted.
	callsStopped atomic.Bool
	// targetsFixed makes restarted targets run software that handles the request.
	targetsFixed atomic.Bool
	lock         sync.Mutex
	// crashTimes are the times at which targets crashed, in order.
	crashTimes    []time.Time
	crashingCalls []timedCall
}

// timedCall is a call of the crashing request and when it was made.
type timedCall struct {
	lab.Call
	startedAt time.Time
	body      string
}

func startCrashCluster(t *testing.T, boxes, targets int) *crashCluster {
	x := &crashCluster{workers: newWorkers()}
	x.testCluster = startCluster(t, clusterOptions{
		replicas: 3, boxes: boxes, targets: targets, adjust: func(s *config.Settings) {
			useShortLeases(s)
			s.Entry.ServeStale = true
		},
		targetArguments: crashArguments,
	})
	t.Cleanup(x.stop)
	x.applySheets(func(s *table.Service, rows []table.Row) {
		s.Deadline, s.HoldLimit, s.HoldCount, s.RetryBudget, s.HedgeBudget = 2*time.Second, 500*time.Millisecond, 100, 20, 10
		s.MeasureBudget, s.ProbeTargets, s.ProbePath = 5, 2, "/healthz"
	})
	for _, target := range x.targets {
		x.spawn(func() { x.keepRestarting(target) })
	}
	return x
}

var (
	stableArguments = []string{"--slots", "4", "--queue", "8", "--work", "20ms"}
	crashArguments  = append(stableArguments[:len(stableArguments):len(stableArguments)], "--crash-body", crashRequestBody)
)

// keepRestarting restarts a target targetRestartDelay after each crash.
func (x *crashCluster) keepRestarting(target *lab.TargetProcess) {
	for x.sleep(10 * time.Millisecond) {
		if !target.Process.Exited() {
			continue
		}
		x.lock.Lock()
		x.crashTimes = append(x.crashTimes, time.Now())
		x.lock.Unlock()
		if !x.sleep(targetRestartDelay) {
			return
		}
		arguments := crashArguments
		if x.targetsFixed.Load() {
			arguments = stableArguments
		}
		if err := target.Start(programs.lab, arguments...); err != nil {
			x.Error(err)
			return
		}
	}
}

// awaitRestarts waits until all targets that crashed serve again; calls must have been stopped.
func (x *crashCluster) awaitRestarts() {
	x.Helper()
	time.Sleep(2 * targetRestartDelay)
	for _, target := range x.targets {
		x.must(lab.Eventually(waitTimeout, func() error {
			_, _, err := fasthttp.Get(nil, "http://"+target.Address+"/stats")
			return err
		}))
	}
}

// sleep waits for a duration and returns false if the test ends first.
func (x *crashCluster) sleep(d time.Duration) bool {
	select {
	case <-x.done:
		return false
	case <-time.After(d):
		return true
	}
}

// keepCallingCrashing repeats the request that crashes targets.
func (x *crashCluster) keepCallingCrashing(body string) {
	for x.sleep(crashCallInterval) && !x.callsStopped.Load() {
		startedAt := time.Now()
		c := x.caller.Do(lab.CallSpec{Host: "repeatable.test", Body: []byte(body)})
		x.lock.Lock()
		x.crashingCalls = append(x.crashingCalls, timedCall{Call: c, startedAt: startedAt, body: body})
		x.lock.Unlock()
	}
}

// keepCallingHealthy makes calls that crash nothing. Every other call repeats the same popular
// request; the rest have a body of their own.
func (x *crashCluster) keepCallingHealthy() {
	for n := 0; x.sleep(10*time.Millisecond) && !x.callsStopped.Load(); n++ {
		body := "popular"
		if n%2 == 0 {
			body = fmt.Sprintf("call %d", n)
		}
		x.caller.Do(lab.CallSpec{Host: "repeatable.test", Body: []byte(body)})
	}
}

func (x *crashCluster) countCrashes() int {
	x.lock.Lock()
	defer x.lock.Unlock()
	return len(x.crashTimes)
}

// crashTime returns when the n-th crash happened, or zero if there were fewer.
func (x *crashCluster) crashTime(n int) time.Time {
	x.lock.Lock()
	defer x.lock.Unlock()
	if len(x.crashTimes) < n {
		return time.Time{}
	}
	return x.crashTimes[n-1]
}

func (x *crashCluster) awaitCrashes(n int) {
	x.Helper()
	x.must(lab.Eventually(waitTimeout, func() error {
		if x.crashTime(n).IsZero() {
			return fmt.Errorf("fewer than %d targets have crashed", n)
		}
		return nil
	}))
}

// countRunsAfter returns how many crashing calls were made after a time and how often targets ran them.
func (x *crashCluster) countRunsAfter(at time.Time) (calls, reached int) {
	runs := x.runs()
	x.lock.Lock()
	defer x.lock.Unlock()
	for _, c := range x.crashingCalls {
		if c.startedAt.After(at) {
			calls++
			reached += runs[c.RequestID]
		}
	}
	return calls, reached
}

// mustBeQuarantined fails if targets still run the request after all boxes should have quarantined it.
func (x *crashCluster) mustBeQuarantined(since time.Time) {
	x.Helper()
	calls, reached := x.countRunsAfter(since)
	if calls < 5 {
		x.Fatalf("only %d calls were made", calls)
	}
	if reached > maxQuarantinedRuns {
		x.Errorf("targets ran the request %d times in %d calls after its quarantine was due; %d crashed in all", reached, calls, x.countCrashes())
	}
}

// mustBecomeQuarantined waits until all boxes should have quarantined the request and for an
// observation period, then stops the calls and fails if targets still ran the request in that period.
func (x *crashCluster) mustBecomeQuarantined(observation time.Duration) {
	x.Helper()
	x.awaitCrashes(crashesToQuarantine)
	due := x.crashTime(crashesToQuarantine).Add(maxQuarantineDelay)
	time.Sleep(time.Until(due) + observation)
	x.callsStopped.Store(true)
	x.mustBeQuarantined(due)
}

// mustServeHealthy fails if more than a tenth of the calls that crash nothing aren't served.
func (x *crashCluster) mustServeHealthy(calls int) {
	x.Helper()
	served := 0
	for n := range calls {
		c := x.caller.Do(lab.CallSpec{Host: "repeatable.test", Body: []byte([]string{"popular", fmt.Sprintf("afterwards %d", n)}[n%2])})
		if c.Verdict == lab.Complete {
			served++
		}
	}
	if served < calls*9/10 {
		x.Errorf("of %d healthy calls %d were served", calls, served)
	}
}

func TestACallThatCrashesTargetsIsKeptFromThem(t *testing.T) {
	x := startCrashCluster(t, 3, 6)
	x.spawn(func() { x.keepCallingCrashing(crashRequestBody) })
	for range 4 {
		x.spawn(x.keepCallingHealthy)
	}
	x.mustBecomeQuarantined(5 * time.Second)
	time.Sleep(2 * targetRestartDelay)
	x.mustServeHealthy(200)
}

// awaitQuarantine waits until every box has quarantined the request and returns the quarantine's name.
func (x *crashCluster) awaitQuarantine() string {
	x.Helper()
	var name string
	x.must(lab.Eventually(waitTimeout, func() error {
		list, err := x.api().Quarantines()
		if err != nil || len(list) == 0 {
			return fmt.Errorf("no call is in quarantine: %v", err)
		}
		name = list[0].Name
		for _, b := range x.cluster.Boxes {
			if err := x.cluster.AwaitRevision(b, list[0].Since, waitTimeout); err != nil {
				return err
			}
		}
		return nil
	}))
	return name
}

// crashingPlan is a call of the request that crashes targets.
var crashingPlan = lab.CallSpec{Host: "repeatable.test", Body: []byte(crashRequestBody)}

// callCrashing makes one such call at any box.
func (x *crashCluster) callCrashing() lab.Call { return x.caller.Do(crashingPlan) }

// All replicas and boxes are killed and restart, the replicas from their logs, and the call is repeated
// at once.
func TestAQuarantineOutlivesAllProcesses(t *testing.T) {
	x := startCrashCluster(t, 3, 6)
	x.spawn(func() { x.keepCallingCrashing(crashRequestBody) })
	x.awaitQuarantine()
	x.callsStopped.Store(true)
	time.Sleep(2 * targetRestartDelay)
	crashes := x.countCrashes()
	x.restartTogether(x.allNodes())
	x.caller.SetAddresses(x.awaitServingEntries()...)
	for range 9 {
		if c := x.callCrashing(); c.Verdict != lab.NotRun || c.Reason != "quarantined" {
			t.Errorf("the quarantined call got %+v", c)
		}
	}
	x.mustServeHealthy(20)
	if n := x.countCrashes(); n != crashes {
		t.Errorf("%d targets crashed after the restart", n-crashes)
	}
}

// The leader that recorded the first crashes is killed; the boxes report them to its successor.
func TestACrashingCallIsFoundByTheNextLeader(t *testing.T) {
	x := startCrashCluster(t, 3, 6)
	x.callCrashing()
	x.awaitCrashes(1)
	oldLeader := x.leader()
	oldLeader.Process.Kill()
	x.spawn(func() { x.keepCallingCrashing(crashRequestBody) })
	x.mustBecomeQuarantined(3 * time.Second)
}

// A box that reaches no replica quarantines the call on its own.
func TestABoxAloneStopsACrashingCall(t *testing.T) {
	x := startCrashCluster(t, 1, 6)
	for _, r := range x.cluster.Replicas {
		r.Process.Kill()
	}
	time.Sleep(2 * time.Second)
	x.spawn(func() { x.keepCallingCrashing(crashRequestBody) })
	x.mustBecomeQuarantined(3 * time.Second)
	x.mustServeHealthy(20)
}

// An operator releases the call once the targets run fixed software.
func TestAReleasedCallIsServed(t *testing.T) {
	x := startCrashCluster(t, 3, 6)
	x.spawn(func() { x.keepCallingCrashing(crashRequestBody) })
	name := x.awaitQuarantine()
	x.callsStopped.Store(true)
	// A target that is told to stop while it starts ends without a word.
	x.awaitRestarts()
	x.targetsFixed.Store(true)
	for _, target := range x.targets {
		target.Process.Terminate()
	}
	time.Sleep(2 * targetRestartDelay)
	x.must(x.api().SubmitRelease(name, "test"))
	x.awaitServed(crashingPlan)
	list, err := x.api().Quarantines()
	if err != nil || len(list) != 0 {
		t.Errorf("quarantines after the release: %v: %v", list, err)
	}
}
