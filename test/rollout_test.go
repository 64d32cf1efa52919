package test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	rolloutService  = units.ServiceName("shop")
	oldSoftware     = units.SoftwareVersion("v1")
	newSoftware     = units.SoftwareVersion("v2")
	rolloutDuration = 10 * time.Second
	// maxExposure is how long after the last grant a box may still send calls to the new version:
	// the second that a grant lasts, and a margin for a busy machine.
	maxExposure = 2 * time.Second
	// maxBadVersionFraction of the calls, plus badVersionAllowance calls, bound what a bad version may get.
	maxBadVersionFraction = 0.1
	badVersionAllowance   = 50
)

// rolloutCluster is a cluster with a service whose targets have two versions, and callers.
type rolloutCluster struct {
	*testCluster
	oldTargets, newTargets []*lab.TargetProcess
	workers
	// callsBeforeOrder is how many calls had been made when the rollout was ordered.
	callsBeforeOrder int
}

func startRolloutCluster(t *testing.T) *rolloutCluster {
	x := &rolloutCluster{workers: newWorkers()}
	x.testCluster = startCluster(t, clusterOptions{
		replicas: 3, boxes: 3, targets: 8, targetArguments: []string{"--slots", "8", "--queue", "32", "--work", "5ms"},
		adjust: func(s *config.Settings) {
			s.Control.Rollout.Enabled = true
			s.Entry.ServeStale = true
		},
	})
	t.Cleanup(x.stop)
	x.oldTargets, x.newTargets = x.targets[:4], x.targets[4:]
	x.must(lab.Eventually(waitTimeout, func() error { return x.api().PutDocument(rolloutDocument()) }))
	x.keepReporting(x.oldTargets, oldSoftware)
	x.must(lab.Eventually(waitTimeout, func() error { return x.checkInForce(oldSoftware) }))
	current, err := x.api().Table()
	x.must(err)
	for _, b := range x.cluster.Boxes {
		x.must(x.cluster.AwaitRevision(b, current.Revision, waitTimeout))
	}
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
	for k := range 8 {
		x.repeat(func() { x.call(k) })
	}
	x.keepReporting(x.newTargets, newSoftware)
	return x
}

// rolloutDocument has one service and two routes to it, by host.
func rolloutDocument() json.RawMessage {
	d := table.Document{Version: 1, Services: []table.Service{{
		Name: rolloutService, Work: table.Repeatable, Deadline: 2 * time.Second, HoldLimit: time.Second, HoldCount: 100,
		RetryBudget: 20, HedgeBudget: 10, ProbeTargets: 2, MeasureBudget: 20, ProbePath: "/healthz",
	}}}
	for _, name := range []string{"shop", "menu"} {
		d.Routes = append(d.Routes, &table.Route{
			Name: name, Host: name + ".test", PathPrefix: "/", Work: table.Repeatable, Deadline: 2 * time.Second,
			LatencyObjective: 200 * time.Millisecond, Services: []table.WeightedService{{Service: rolloutService, Weight: 1}},
		})
	}
	data, _ := json.Marshal(&d)
	return data
}

func (x *rolloutCluster) call(k int) {
	host := "shop.test"
	if k%4 == 0 {
		host = "menu.test"
	}
	x.caller.Do(lab.CallSpec{Host: host})
	time.Sleep(15 * time.Millisecond)
}

// keepReporting repeats the reports of targets of a version.
func (x *rolloutCluster) keepReporting(targets []*lab.TargetProcess, v units.SoftwareVersion) {
	sequence := uint64(0)
	api := x.api()
	x.repeat(func() {
		sequence++
		for _, t := range targets {
			if t.Process.Exited() {
				continue
			}
			// An unacknowledged report is repeated in the next round.
			api.SubmitReport(&table.Registration{
				Target: units.TargetID(t.Name), Service: rolloutService, Address: t.Address, Software: v, Slots: 8,
				State: table.Active, Sequence: sequence,
			})
		}
		time.Sleep(300 * time.Millisecond)
	})
}

func (x *rolloutCluster) checkInForce(v units.SoftwareVersion) error {
	t, err := x.api().Table()
	if err == nil && t.SoftwareInForce(rolloutService) != v {
		err = fmt.Errorf("version %q is in force", t.SoftwareInForce(rolloutService))
	}
	return err
}

// orderNewVersion orders a rollout to the new version and waits until that version gets calls.
func (x *rolloutCluster) orderNewVersion() {
	x.Helper()
	x.callsBeforeOrder = len(x.caller.Calls())
	x.sendOrder(table.RolloutOrder{Service: rolloutService, To: newSoftware, Duration: rolloutDuration, Operator: "story"})
	x.must(lab.Eventually(rolloutDuration, func() error {
		if x.countRuns(x.newTargets) == 0 {
			return fmt.Errorf("the new version gets no calls")
		}
		return nil
	}))
}

// sendOrder repeats an order until it is acknowledged.
func (x *rolloutCluster) sendOrder(o table.RolloutOrder) {
	x.Helper()
	x.must(lab.Eventually(waitTimeout, func() error { return x.api().SubmitRollout(o) }))
}

func (x *rolloutCluster) awaitStage(stages ...table.RolloutStage) table.RolloutStage {
	x.Helper()
	var found table.RolloutStage
	x.must(lab.Eventually(waitTimeout, func() error {
		t, err := x.api().Table()
		if err != nil {
			return err
		}
		v := t.Rollout(rolloutService)
		for _, s := range stages {
			if v != nil && v.Stage == s {
				found = s
				x.Logf("stage %d after %s: %s", s, v.Elapsed, v.Reason)
				return nil
			}
		}
		return fmt.Errorf("the rollout is %+v", v)
	}))
	return found
}

func (x *rolloutCluster) countRuns(targets []*lab.TargetProcess) int {
	n := 0
	for _, t := range targets {
		n += int(x.fetchStats(t).Runs)
	}
	return n
}

// mustNotCallNewVersion fails if the new version gets a call within a second.
func (x *rolloutCluster) mustNotCallNewVersion(when string) {
	x.Helper()
	before := x.countRuns(x.newTargets)
	time.Sleep(time.Second)
	if n := x.countRuns(x.newTargets) - before; n > 0 {
		x.Fatalf("%d calls went to the new version %s", n, when)
	}
}

// mustBoundNewVersion fails if the new version got more than a tenth of the calls since the order, plus
// badVersionAllowance.
func (x *rolloutCluster) mustBoundNewVersion() {
	x.Helper()
	calls, got := len(x.caller.Calls())-x.callsBeforeOrder, x.countRuns(x.newTargets)
	x.Logf("the new version got %d of %d calls", got, calls)
	if float64(got) > maxBadVersionFraction*float64(calls)+badVersionAllowance {
		x.Fatalf("the new version got %d of %d calls", got, calls)
	}
}

func TestAGoodVersionTakesOver(t *testing.T) {
	x := startRolloutCluster(t)
	x.orderNewVersion()
	x.awaitStage(table.RolloutCompleted)
	// The old targets stop at once, without draining.
	for _, o := range x.oldTargets {
		o.Process.Kill()
	}
	time.Sleep(2 * time.Second)
	x.stop()
	s := x.mustBeClean()
	if s.Unknown > 0 || s.TargetErrors > 0 || s.Refused > s.Sent/50 {
		t.Fatalf("the rollout cost calls: %+v", s)
	}
}

func TestABadVersionIsRolledBack(t *testing.T) {
	scenarios := []struct{ testName, fault string }{
		{"bad at once", "version_fail_percent=100"},
		{"bad later", "version_fail_percent=60&version_after=20"},
		{"bad on one route", "version_fail_percent=100&version_host=menu.test"},
		{"slow", "version_slow_us=60000"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			x := startRolloutCluster(t)
			for _, n := range x.newTargets {
				x.setBehavior(n, s.fault)
			}
			x.orderNewVersion()
			x.awaitStage(table.RolloutRolledBack)
			x.mustBoundNewVersion()
			time.Sleep(maxExposure)
			x.mustNotCallNewVersion("after the rollback")
			x.stop()
			x.mustBeClean()
		})
	}
}

func TestTheLeaderIsKilledDuringATrial(t *testing.T) {
	x := startRolloutCluster(t)
	x.orderNewVersion()
	leader := x.leader()
	leader.Process.Kill()
	x.awaitStage(table.RolloutCompleted, table.RolloutRolledBack)
	x.stop()
	x.mustBeClean()
}

func TestAllReplicasAreKilledDuringATrial(t *testing.T) {
	x := startRolloutCluster(t)
	x.orderNewVersion()
	for _, n := range x.cluster.Replicas {
		n.Process.Kill()
	}
	time.Sleep(maxExposure)
	x.mustNotCallNewVersion("while no leader could grant it")
	for _, n := range x.cluster.Replicas {
		x.must(x.cluster.StartNode(n))
	}
	x.awaitStage(table.RolloutCompleted, table.RolloutRolledBack)
	x.stop()
	x.mustBeClean()
}

func TestABoxThatWakesDuringATrialSendsTheNewVersionNothing(t *testing.T) {
	x := startRolloutCluster(t)
	x.orderNewVersion()
	frozen := x.cluster.Boxes[0]
	frozen.Process.Freeze()
	x.sendOrder(table.RolloutOrder{Service: rolloutService, Abort: true, Operator: "story"})
	x.awaitStage(table.RolloutRolledBack)
	time.Sleep(maxExposure)
	before := x.countRuns(x.newTargets)
	frozen.Process.Unfreeze()
	time.Sleep(time.Second)
	if n := x.countRuns(x.newTargets) - before; n > 0 {
		t.Fatalf("%d calls went to the new version after the box had woken", n)
	}
	x.stop()
	x.mustBeClean()
}

func TestTheLeaderIsKilledDuringTheShift(t *testing.T) {
	x := startRolloutCluster(t)
	x.orderNewVersion()
	leader := x.leader()
	x.awaitStage(table.RolloutShifted, table.RolloutCompleted)
	leader.Process.Kill()
	x.awaitStage(table.RolloutCompleted, table.RolloutRolledBack)
	x.stop()
	s := x.mustBeClean()
	if s.Unknown > 0 || s.TargetErrors > 0 {
		t.Fatalf("the rollout cost calls: %+v", s)
	}
}

// A version can start to fail just when it gets all calls.
func TestAVersionThatTurnsBadDuringTheShiftIsRolledBack(t *testing.T) {
	x := startRolloutCluster(t)
	x.orderNewVersion()
	// Long calls at the old version delay the shift.
	for k := range 3 {
		x.repeat(func() {
			x.caller.Do(lab.CallSpec{Host: "shop.test", Work: 1500 * time.Millisecond})
			time.Sleep(time.Duration(k) * 100 * time.Millisecond)
		})
	}
	x.awaitStage(table.RolloutShifted)
	for _, n := range x.newTargets {
		x.setBehavior(n, "version_fail_percent=100")
	}
	x.awaitStage(table.RolloutRolledBack)
	time.Sleep(maxExposure)
	x.mustNotCallNewVersion("after the rollback")
	x.mustBoundNewVersion()
	x.stop()
	x.mustBeClean()
}
