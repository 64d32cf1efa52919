package test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
)

// fetchStats reads a target's statistics on its own load.
func (x *testCluster) fetchStats(target *lab.TargetProcess) lab.TargetStats {
	x.Helper()
	var s lab.TargetStats
	status, body, err := fasthttp.Get(nil, "http://"+target.Address+"/stats")
	x.must(err)
	if status != fasthttp.StatusOK {
		x.Fatalf("the target returned status %d", status)
	}
	x.must(json.Unmarshal(body, &s))
	return s
}

func TestALimitHoldsOverAllBoxes(t *testing.T) {
	const limit = 4
	x := startCluster(t, clusterOptions{
		replicas: 1, boxes: 4, targets: 2, adjust: useShortLeases,
		targetArguments: []string{"--slots", "64", "--queue", "64", "--work", "4ms"},
	})
	x.applySheets(func(s *table.Service, rows []table.Row) {
		s.HoldLimit, s.HoldCount = 5*time.Second, 1000
		for i := range rows {
			// The limit applies to each service at each target separately.
			rows[i].MaxInFlight = limit
		}
	})
	killed, frozen := x.cluster.Boxes[0], x.cluster.Boxes[1]
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.callAll(4000, 64, func(int) lab.CallSpec { return lab.CallSpec{Host: "once.test", AtMostOnce: true} })
	}()
	time.Sleep(300 * time.Millisecond)
	frozen.Process.Freeze()
	time.Sleep(300 * time.Millisecond)
	killed.Process.Kill()
	x.caller.SetAddresses(x.cluster.Boxes[2].Entry, x.cluster.Boxes[3].Entry)
	time.Sleep(2 * time.Second)
	frozen.Process.Unfreeze()
	<-done
	s := x.mustBeClean()
	if s.Complete < 2000 {
		t.Fatalf("only %d calls were answered", s.Complete)
	}
	for _, target := range x.targets {
		if peak := x.fetchStats(target).Peak; peak > limit {
			t.Errorf("%s had %d calls in flight, the limit is %d", target.Name, peak, limit)
		}
	}
}

func TestProbesKeepToTheirBudget(t *testing.T) {
	const boxes, callDuration = 3, 6 * time.Second
	x := startCluster(t, clusterOptions{replicas: 1, boxes: boxes, targets: 3, adjust: useShortLeases})
	x.applySheets(func(s *table.Service, rows []table.Row) {
		s.MeasureBudget = 0.5
		s.Deadline, s.HoldLimit = time.Second, 100*time.Millisecond
	})
	failing := x.targets[0]
	x.setBehavior(failing, "fail=1")
	before := x.fetchStats(failing).Probes
	started := time.Now()
	for time.Since(started) < callDuration {
		x.callAll(60, 12, mixedPlan)
	}
	seconds := time.Since(started).Seconds()
	probes := float64(x.fetchStats(failing).Probes - before)
	// Each of the three services has a budget: 0.5% of 3 slots at 5 ms a probe, and one
	// probe that each box may have saved up.
	maxProbes := 3 * (0.005*3/0.005*seconds + boxes)
	t.Logf("%.0f probes in %.1f s, at most %.0f allowed", probes, seconds, maxProbes)
	if probes == 0 || probes > maxProbes {
		t.Fatalf("%.0f probes reached the failing target", probes)
	}
}
