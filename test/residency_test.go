package test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

// residencyRegions places each of the first three targets in a region of its own; the fourth is
// in a failure domain of unknown region.
var residencyRegions = map[units.Domain]units.Region{"d1": "north", "d2": "south", "d3": "east"}

const residencyTargets = 4

// residencyCluster has one service on all targets, a route for eu.test that allows some regions
// only and a route for any.test that allows all.
type residencyCluster struct {
	*testCluster
	version  units.DocumentVersion
	sequence uint64
}

func startResidencyCluster(t *testing.T) *residencyCluster {
	x := &residencyCluster{testCluster: startCluster(t, clusterOptions{
		replicas: 1, boxes: 2, targets: residencyTargets, targetArguments: []string{"--slots", "8", "--queue", "32", "--work", "2ms"},
		adjust: func(s *config.Settings) {
			s.Regions = residencyRegions
			// One box is in a region that may serve no restricted call.
			s.Domain = map[string]string{"box-1": "d1", "box-2": "d3"}[s.Box]
			s.Control.SilentAfter = 0
		},
	})}
	var entries []string
	for _, b := range x.cluster.Boxes {
		entries = append(entries, b.Entry)
	}
	x.caller = lab.NewCaller(entries...)
	return x
}

// putDocument puts a document whose restricted route allows some regions, and waits until every
// box has the expected number of targets for it.
func (x *residencyCluster) putDocument(targets int, regions ...units.Region) {
	x.Helper()
	x.version++
	d := table.Document{
		Version: x.version,
		Services: []table.Service{{
			Name: "shop", Work: table.Repeatable, Deadline: 5 * time.Second, HoldLimit: time.Second, HoldCount: 100,
			RetryBudget: 100, HedgeBudget: 100, MeasureBudget: 5, ProbeTargets: 2, ProbePath: "/healthz",
		}},
		Routes: []*table.Route{
			residencyRoute("eu.test", &table.AllowedRegions{Names: regions}),
			residencyRoute("any.test", nil),
		},
	}
	raw, err := json.Marshal(&d)
	x.must(err)
	x.must(x.api().PutDocument(raw))
	x.reportAll()
	for _, b := range x.cluster.Boxes {
		x.must(lab.Eventually(waitTimeout, func() error { return checkRestriction(b, regions, targets) }))
		x.must(x.cluster.AwaitReady(b, waitTimeout))
	}
}

func residencyRoute(host string, regions *table.AllowedRegions) *table.Route {
	return &table.Route{
		Name: host, Host: host, PathPrefix: "/", Work: table.Repeatable, Deadline: 5 * time.Second, LatencyObjective: 20 * time.Millisecond,
		Services: []table.WeightedService{{Service: "shop", Weight: 1}}, Regions: regions,
	}
}

func checkRestriction(b *lab.Node, regions []units.Region, targets int) error {
	d, err := b.Dump()
	if err != nil {
		return err
	}
	shown := d.Entry.Routing.Restricted
	if len(shown) != 1 || !slices.Equal(shown[0].Regions, regions) || shown[0].Targets != targets {
		return fmt.Errorf("%s shows %+v, want %d targets in %q", b.Settings.Box, shown, targets, regions)
	}
	return nil
}

func (x *residencyCluster) reportAll() {
	for i, t := range x.targets {
		x.sequence++
		x.must(x.api().SubmitReport(&table.Registration{
			Target: units.TargetID(t.Name), Service: "shop", Address: t.Address, Slots: 8, State: table.Active,
			Sequence: x.sequence, Domain: units.Domain(fmt.Sprintf("d%d", i+1)),
		}))
	}
}

// callBothRoutes makes restricted and unrestricted calls, and returns the restricted ones.
func (x *residencyCluster) callBothRoutes(n int) []lab.Call {
	before := len(x.caller.Calls())
	x.callAll(n, 12, func(i int) lab.CallSpec {
		host := []string{"eu.test", "any.test"}[i%2]
		return lab.CallSpec{Host: host, Work: time.Duration(i%30) * time.Millisecond, Deadline: 2 * time.Second}
	})
	return slices.DeleteFunc(x.caller.Calls()[before:], func(c lab.Call) bool { return c.Host != "eu.test" })
}

// countRunsByTarget counts how many of the calls each target ran.
func (x *residencyCluster) countRunsByTarget(calls []lab.Call) (at [residencyTargets]int) {
	x.Helper()
	for i, t := range x.targets {
		runs, err := lab.ReadJournals(t.Journal)
		x.must(err)
		for _, c := range calls {
			at[i] += runs[c.RequestID]
		}
	}
	return at
}

// mustRunOnlyAt fails if a target outside the allowed ones ran any of the calls.
func (x *residencyCluster) mustRunOnlyAt(calls []lab.Call, allowed ...int) {
	x.Helper()
	at := x.countRunsByTarget(calls)
	for i, n := range at {
		if n > 0 && !slices.Contains(allowed, i) {
			x.Errorf("target %d ran %d calls that aren't allowed there; runs of all targets: %v", i+1, n, at)
		}
	}
	x.Logf("the targets ran %v of %d restricted calls", at, len(calls))
}

// Restricted calls run only at targets in their regions, whichever box receives them, while
// targets fail and are killed and new tables remove regions. If no region can serve them they are
// refused as not run.
func TestRestrictedCallsStayInTheirRegions(t *testing.T) {
	x := startResidencyCluster(t)
	x.putDocument(1, "north")
	x.mustRunOnlyAt(x.callBothRoutes(400), 0)

	x.putDocument(2, "south", "north")
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		time.Sleep(100 * time.Millisecond)
		x.targets[0].Process.Kill()
	}()
	x.mustRunOnlyAt(x.callBothRoutes(400), 0, 1)
	<-killed

	// The only target in the region that is left is down.
	x.putDocument(1, "north")
	calls := x.callBothRoutes(40)
	x.mustRunOnlyAt(calls, 0)
	for _, c := range calls {
		if c.Verdict == lab.Complete {
			t.Errorf("a call was served though its region is down: %+v", c)
		}
	}

	x.putDocument(0, "atlantis")
	calls = x.callBothRoutes(40)
	x.mustRunOnlyAt(calls)
	for _, c := range calls {
		if c.Verdict != lab.NotRun || c.Reason != routing.RegionNotAllowed.String() {
			t.Errorf("a call that no region may serve got %+v", c)
		}
	}

	x.putDocument(1, "east")
	if at := x.countRunsByTarget(x.callBothRoutes(100)); at[2] == 0 {
		t.Errorf("the newly allowed region ran no calls: %v", at)
	}
	x.mustBeClean()
}
