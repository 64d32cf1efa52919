package test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"

	"github.com/madderpond/madderpond/pkg/client"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

// waitTimeout is how long a test waits for an expected state. It is far above the delays
// that users require, since test machines can be slow.
const waitTimeout = 30 * time.Second

// testCluster is a test's cluster with its targets and caller.
type testCluster struct {
	*testing.T
	folder  string
	cluster *lab.Cluster
	targets []*lab.TargetProcess
	caller  *lab.Caller
}

// clusterOptions are the size and settings of a test's cluster.
type clusterOptions struct {
	replicas, boxes, targets int
	proxied                  bool
	targetArguments          []string
	adjust                   func(*config.Settings)
}

func startCluster(t *testing.T, s clusterOptions) *testCluster {
	t.Helper()
	x := &testCluster{T: t, folder: t.TempDir()}
	t.Cleanup(x.stopProcesses)
	for i := range s.targets {
		target, err := lab.StartTargetProcess(programs.lab, fmt.Sprintf("target-%d", i+1), x.folder, s.targetArguments...)
		x.must(err)
		x.targets = append(x.targets, target)
	}
	var err error
	x.cluster, err = lab.StartCluster(lab.ClusterSettings{
		Folder: x.folder, Program: programs.daemon, Replicas: s.replicas, Boxes: s.boxes,
		Proxied: s.proxied, Adjust: s.adjust,
	})
	x.must(err)
	return x
}

func (x *testCluster) stopProcesses() {
	if x.cluster != nil {
		x.cluster.Stop()
		x.checkForRaces()
	}
	for _, t := range x.targets {
		t.Process.Unfreeze()
		t.Process.Kill()
	}
}

// checkForRaces fails the test if a program built with the race detector reported a
// data race.
func (x *testCluster) checkForRaces() {
	for _, n := range x.allNodes() {
		if n.Process != nil && strings.Contains(n.Process.Log(), "WARNING: DATA RACE") {
			x.Errorf("%s reported a data race:\n%s", n.Settings.Box, n.Process.Log())
		}
	}
}

// scanDuration returns the value of an argument that a command must have.
func (x *testCluster) scanDuration(d *datadriven.TestData, key string) time.Duration {
	x.Helper()
	var text string
	d.ScanArgs(x.T, key, &text)
	length, err := time.ParseDuration(text)
	x.must(err)
	return length
}

func (x *testCluster) must(err error) {
	x.Helper()
	if err != nil {
		x.Fatal(err)
	}
}

func (x *testCluster) api(nodes ...*lab.Node) *client.Client {
	x.Helper()
	if len(nodes) == 0 {
		nodes = x.cluster.Replicas
	}
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.Admin)
	}
	c, err := client.NewClient(addresses, "", waitTimeout)
	x.must(err)
	return c
}

// sheets defines one service of each kind of work, each on all targets.
func (x *testCluster) sheets(adjust func(*table.Service, []table.Row)) sheet.Sheets {
	var s sheet.Sheets
	for _, work := range []table.WorkKind{table.Repeatable, table.AtMostOnce, table.Patient} {
		v := sheet.NewService()
		v.Name = units.ServiceName(work.String())
		v.Work = work
		v.Hosts = []string{work.String() + ".test"}
		v.Deadline = 10 * time.Second
		v.HoldLimit = 5 * time.Second
		var rows []table.Row
		for _, t := range x.targets {
			r := sheet.NewRow()
			r.Service, r.Target, r.Address = v.Name, units.TargetID(t.Name), t.Address
			rows = append(rows, r)
		}
		if adjust != nil {
			adjust(&v, rows)
		}
		s.Services = append(s.Services, v)
		s.Rows = append(s.Rows, rows...)
	}
	return s
}

// applySheets applies the sheets, waits until they are in force on every box, and makes a caller.
func (x *testCluster) applySheets(adjust func(*table.Service, []table.Row)) {
	x.Helper()
	result, err := x.cluster.Apply(x.sheets(adjust))
	x.must(err)
	x.awaitInForce(result)
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
}

// awaitServingEntries waits until every box serves, and returns the addresses that callers use.
func (x *testCluster) awaitServingEntries() []string {
	x.Helper()
	for _, b := range x.cluster.Boxes {
		x.must(x.cluster.AwaitReady(b, waitTimeout))
	}
	return entriesOf(x.cluster.Boxes)
}

// entriesOf returns the addresses at which boxes take calls.
func entriesOf(boxes []*lab.Node) []string {
	var addresses []string
	for _, n := range boxes {
		addresses = append(addresses, n.Entry)
	}
	return addresses
}

// awaitServed repeats a call until it is served.
func (x *testCluster) awaitServed(plan lab.CallSpec) {
	x.Helper()
	x.must(lab.Eventually(waitTimeout, func() error {
		if c := x.caller.Do(plan); c.Verdict != lab.Complete {
			return fmt.Errorf("the call got %+v", c)
		}
		return nil
	}))
}

// restartTogether kills processes at the same moment and restarts them, some of them without their
// disks.
func (x *testCluster) restartTogether(nodes []*lab.Node, lost ...*lab.Node) {
	x.Helper()
	for _, n := range nodes {
		n.Process.Kill()
	}
	for _, n := range lost {
		x.must(x.cluster.EraseData(n))
		n.Settings.Control.Growth.Bootstrap = false
	}
	for _, n := range nodes {
		x.must(x.cluster.StartNode(n))
	}
}

// allNodes are the replicas and the boxes.
func (x *testCluster) allNodes() []*lab.Node {
	return slices.Concat(x.cluster.Replicas, x.cluster.Boxes)
}

// setWeight sends an edit of one service's weight to nodes, or to all replicas if there
// are none, and returns its result.
func (x *testCluster) setWeight(id, service string, weight int, nodes ...*lab.Node) *table.Result {
	x.Helper()
	api := x.api(nodes...)
	t, err := api.Table()
	x.must(err)
	result, err := api.SubmitEdit(newWeightEdit(t, id, service, weight))
	x.must(err)
	return result
}

// newWeightEdit returns an edit based on a table; it creates the service if there is none.
func newWeightEdit(t *table.Table, id, service string, weight int) *table.Edit {
	name := units.ServiceName(service)
	v := sheet.NewService()
	v.Name, v.Hosts = name, []string{service + ".test"}
	r := sheet.NewRow()
	r.Service, r.Target, r.Address, r.Weight = name, "t1", "127.0.0.1:9", weight
	operations := []table.Operation{{Kind: table.PutService, Service: &v}, {Kind: table.PutRow, Row: &r}}
	return &table.Edit{ID: units.EditID(id), Operator: "test", Operations: operations, Bases: sheet.Bases(t, operations)}
}

// mustSetWeight sets a weight and returns the accepted result. It retries after a conflict.
func (x *testCluster) mustSetWeight(service string, weight int) *table.Result {
	x.Helper()
	for range 50 {
		if r := x.setWeight(uuid.NewString(), service, weight); r.Outcome == table.Accepted {
			return r
		}
	}
	x.Fatalf("no edit of %s was accepted", service)
	return nil
}

// leader returns the replica with the leader's lease, apart from the given nodes; it waits
// until there is one.
func (x *testCluster) leader(without ...*lab.Node) *lab.Node {
	x.Helper()
	var found *lab.Node
	x.must(lab.Eventually(waitTimeout, func() error {
		for _, n := range x.cluster.Replicas {
			if contains(without, n) || n.Process.Exited() {
				continue
			}
			d, err := n.Dump()
			if err == nil && d.Control.HasLease {
				found = n
				return nil
			}
		}
		return fmt.Errorf("there is no leader")
	}))
	return found
}

func contains(nodes []*lab.Node, n *lab.Node) bool {
	for _, o := range nodes {
		if o == n {
			return true
		}
	}
	return false
}

// otherReplicas are all replicas but one.
func (x *testCluster) otherReplicas(but *lab.Node) []*lab.Node {
	var rest []*lab.Node
	for _, n := range x.cluster.Replicas {
		if n != but {
			rest = append(rest, n)
		}
	}
	return rest
}

// awaitInForce waits until every box has the result's revision in force.
func (x *testCluster) awaitInForce(r *table.Result) {
	x.Helper()
	for _, b := range x.cluster.Boxes {
		x.must(x.cluster.AwaitRevision(b, r.Revision, waitTimeout))
	}
}

// awaitVoter waits until a replica counts in the quorum again.
func (x *testCluster) awaitVoter(n *lab.Node) {
	x.Helper()
	x.must(lab.Eventually(waitTimeout, func() error {
		d, err := n.Dump()
		if err != nil {
			return err
		}
		if !d.Control.Log.Voter {
			return fmt.Errorf("%s is no voter: %+v", n.Settings.Box, d.Control.Log)
		}
		return nil
	}))
}

// awaitAcknowledged waits until all other replicas know that a replica has acknowledged all
// entries that are committed now.
func (x *testCluster) awaitAcknowledged(n *lab.Node) {
	x.Helper()
	leader, err := x.leader().Dump()
	x.must(err)
	for _, o := range x.otherReplicas(n) {
		x.must(lab.Eventually(waitTimeout, func() error {
			d, err := o.Dump()
			if err != nil {
				return err
			}
			for _, p := range d.Control.Log.Peers {
				if string(p.ID) == n.Settings.ReplicaName() && p.Acknowledged >= leader.Control.Log.Commit {
					return nil
				}
			}
			return fmt.Errorf("%s doesn't know what %s acknowledged: %+v", o.Settings.Box, n.Settings.Box, d.Control.Log.Peers)
		}))
	}
}

// runs reads how often targets ran each request, from their journals.
func (x *testCluster) runs() lab.RunCounts {
	x.Helper()
	var paths []string
	for _, t := range x.targets {
		paths = append(paths, filepath.Clean(t.Journal))
	}
	runs, err := lab.ReadJournals(paths...)
	x.must(err)
	return runs
}

// mustBeClean fails if any of the caller's calls was lost, run twice or answered wrongly.
func (x *testCluster) mustBeClean() lab.Summary {
	x.Helper()
	return x.mustAllBeClean(x.caller.Calls())
}

// mustAllBeClean is mustBeClean for the calls of any callers.
func (x *testCluster) mustAllBeClean(calls []lab.Call) lab.Summary {
	x.Helper()
	s := lab.Summarize(calls, x.runs())
	x.Log(s.String(), s.Reasons)
	if !s.Clean() {
		x.Fatalf("calls were lost, run twice or answered wrongly: %+v", s)
	}
	return s
}

// callAll makes n calls from a number of concurrent callers; plan returns the i-th
// call.
func (x *testCluster) callAll(n, callers int, plan func(i int) lab.CallSpec) {
	var wait sync.WaitGroup
	indexes := make(chan int, n)
	for i := range n {
		indexes <- i
	}
	close(indexes)
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range indexes {
				x.caller.Do(plan(i))
			}
		}()
	}
	wait.Wait()
}

// mixedPlan alternates between the three kinds of work.
func mixedPlan(i int) lab.CallSpec {
	work := []table.WorkKind{table.Repeatable, table.AtMostOnce, table.Patient}[i%3]
	return lab.CallSpec{Host: work.String() + ".test", AtMostOnce: work == table.AtMostOnce, AnswerBytes: i % 2000}
}
