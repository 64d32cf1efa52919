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

// All processes are killed at the same moment, at several times after orders were acknowledged, and two
// of five disks are lost with them. The test doesn't simulate a power failure, in which unsynced
// data is lost too; the simulations with random schedules do (loseTwoDisks).
func TestAcknowledgedOrdersOutliveTwoDisksAndAllProcesses(t *testing.T) {
	const replicas = 5
	x := &testCluster{T: t, folder: t.TempDir()}
	t.Cleanup(x.stopProcesses)
	for i := range 2 {
		target, err := lab.StartTargetProcess(programs.lab, fmt.Sprintf("target-%d", i+1), x.folder)
		x.must(err)
		x.targets = append(x.targets, target)
	}
	var err error
	x.cluster, err = lab.StartCluster(lab.ClusterSettings{
		Folder: x.folder, Program: programs.daemon, Replicas: replicas, Boxes: 2, Proxied: true, Seeds: 3,
		Adjust: func(s *config.Settings) {
			s.Control.MinCopies = 3
			s.Control.Growth.Voters = replicas
		},
	})
	x.must(err)
	for _, n := range x.cluster.Replicas {
		n.Settings.Control.Growth.Bootstrap = false
	}
	put := func(version units.DocumentVersion) {
		t.Helper()
		x.must(lab.Eventually(waitTimeout, func() error { return x.api().PutDocument(documentOf(version)) }))
	}
	put(1)
	for i, target := range x.targets {
		x.must(lab.Eventually(waitTimeout, func() error {
			r := registration(target, 1)
			r.Service, r.Domain = "shop", []units.Domain{soakDomain, soakOtherDomain}[i]
			return x.api().SubmitReport(r)
		}))
	}
	for round, pause := range []time.Duration{time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond} {
		for _, n := range x.cluster.Replicas {
			x.awaitVoter(n)
			x.awaitAcknowledged(n)
		}
		version := units.DocumentVersion(round + 2)
		put(version)
		evacuate := round%2 == 0
		x.must(lab.Eventually(waitTimeout, func() error {
			return x.api().SubmitEvacuation(table.EvacuationOrder{Domain: soakDomain, Evacuate: evacuate, Operator: "test"})
		}))
		time.Sleep(pause)
		x.restartTogether(x.allNodes(), x.cluster.Replicas[round], x.cluster.Replicas[(round+2)%replicas])
		x.must(lab.Eventually(waitTimeout, func() error { return x.checkOrders(version, evacuate) }))
	}
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
	before := x.countJournalRuns(x.targets[0])
	for range 20 {
		if c := x.caller.Do(lab.CallSpec{Host: "shop.test"}); c.Verdict != lab.Complete {
			t.Errorf("a call got %+v", c)
		}
	}
	if n := x.countJournalRuns(x.targets[0]) - before; n > 0 {
		t.Errorf("%d calls went to the domain whose evacuation was acknowledged", n)
	}
}

// checkOrders returns an error unless the orders acknowledged last are in force. An older document must never be read.
func (x *testCluster) checkOrders(version units.DocumentVersion, evacuated bool) error {
	raw, err := x.api().Document()
	if err != nil {
		return err
	}
	var d table.Document
	if err := json.Unmarshal(raw, &d); err != nil {
		return err
	}
	if d.Version < version {
		x.Fatalf("read document %d after %d was acknowledged", d.Version, version)
	}
	list, err := x.api().Evacuations()
	if err != nil {
		return err
	}
	for _, e := range list {
		if e.Domain == soakDomain && e.Active == evacuated {
			return nil
		}
	}
	return fmt.Errorf("the acknowledged order isn't in force: %+v", list)
}
