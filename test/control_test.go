package test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

// maxEditDelay is the required limit on the time from when an edit is accepted until it
// is in force on every box.
const maxEditDelay = 4 * time.Second

func TestEditsGoOnWhenTheLeaderIsKilled(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 3})
	before := x.mustSetWeight("alpha", 1)
	x.awaitInForce(before)
	for round := range 3 {
		killed := x.leader()
		killed.Process.Kill()
		after := x.mustSetWeight("alpha", 10+round)
		x.awaitInForce(after)
		x.must(x.cluster.StartNode(killed))
		x.awaitVoter(killed)
	}
}

func TestACutOffLeaderDisturbsNobody(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 3, proxied: true})
	x.awaitInForce(x.mustSetWeight("alpha", 1))
	isolated := x.leader()
	proxy := x.proxyFor(isolated)
	proxy.Blackhole(true)
	connected := x.otherReplicas(isolated)
	started := time.Now()
	result, err := x.api(connected...).SubmitEdit(x.prepareWeightEdit(connected, "during-cut", 2))
	x.must(err)
	if elapsed := time.Since(started); elapsed > maxEditDelay {
		t.Fatalf("the first edit without the old leader took %s", elapsed)
	}
	x.awaitInForce(result)
	term := x.termOf(connected[0])
	proxy.Blackhole(false)
	x.must(lab.Eventually(waitTimeout, func() error {
		d, err := isolated.Dump()
		if err == nil && d.Control.Revision < result.Revision {
			err = fmt.Errorf("the replica is still at revision %d", d.Control.Revision)
		}
		return err
	}))
	if now := x.termOf(connected[0]); now != term {
		t.Fatalf("the reconnected replica raised the term from %d to %d", term, now)
	}
}

func (x *testCluster) proxyFor(n *lab.Node) *lab.FaultProxy {
	for i, o := range x.cluster.Replicas {
		if o == n {
			return x.cluster.Proxies[i]
		}
	}
	x.Fatal("no such replica")
	return nil
}

func (x *testCluster) prepareWeightEdit(nodes []*lab.Node, id string, weight int) *table.Edit {
	x.Helper()
	present, err := x.api(nodes...).Table()
	x.must(err)
	return newWeightEdit(present, id, "alpha", weight)
}

func (x *testCluster) termOf(n *lab.Node) units.Term {
	x.Helper()
	d, err := n.Dump()
	x.must(err)
	return d.Control.Log.Term
}

func TestAFrozenLeaderThatWakesUndoesNothing(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 3})
	x.awaitInForce(x.mustSetWeight("alpha", 1))
	frozen := x.leader()
	frozen.Process.Freeze()
	others := x.otherReplicas(frozen)
	result, err := x.api(others...).SubmitEdit(x.prepareWeightEdit(others, "during-freeze", 7))
	x.must(err)
	frozen.Process.Unfreeze()
	x.awaitInForce(result)
	x.mustShowWeight("alpha", 7)
}

// mustShowWeight waits until all replicas show a weight for a service.
func (x *testCluster) mustShowWeight(service string, weight int) {
	x.Helper()
	for _, n := range x.cluster.Replicas {
		x.must(lab.Eventually(waitTimeout, func() error {
			present, err := x.api(n).Table()
			if err != nil {
				return err
			}
			entry := present.Services[units.ServiceName(service)]
			if entry == nil || entry.Rows.List()[0].Weight != weight {
				return fmt.Errorf("%s shows the service as %+v", n.Settings.Box, entry)
			}
			return nil
		}))
	}
}

func TestEveryProcessRestartsAfterHundredsOfEdits(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 2, adjust: func(s *config.Settings) {
		s.Control.SnapshotEvery = 60
		s.Control.KeepEntries = 20
	}})
	var last *table.Result
	for i := range 520 {
		last = x.mustSetWeight(fmt.Sprintf("s%d", i%7), i)
	}
	want, err := x.api().Table()
	x.must(err)
	for _, n := range x.cluster.Replicas {
		n.Process.Kill()
	}
	for _, n := range x.cluster.Replicas {
		x.must(x.cluster.StartNode(n))
	}
	for _, b := range x.cluster.Boxes {
		b.Process.Kill()
		x.must(x.cluster.StartNode(b))
	}
	x.awaitInForce(last)
	for _, n := range x.cluster.Replicas {
		x.must(lab.Eventually(waitTimeout, func() error {
			got, err := x.api(n).Table()
			if err != nil {
				return err
			}
			if d := cmp.Diff(want.Services, got.Services); d != "" {
				return fmt.Errorf("%s differs after the restart:\n%s", n.Settings.Box, d)
			}
			return nil
		}))
	}
}

// raceCount is how many races one test runs; to run more: go test ./test -run Racing
// -races 1000.
var raceCount = flag.Int("races", 120, "how many races a test runs")

func TestOfRacingEditsExactlyOneWins(t *testing.T) {
	const operators = 4
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1})
	x.mustSetWeight("alpha", 0)
	var accepted, conflicts atomic.Int64
	for race := range *raceCount {
		if race == *raceCount/2 {
			x.leader().Process.Terminate()
		}
		present, err := x.api().Table()
		x.must(err)
		var wait sync.WaitGroup
		var winners atomic.Int64
		for k := range operators {
			wait.Add(1)
			go func() {
				defer wait.Done()
				result, err := x.api().SubmitEdit(newWeightEdit(present, fmt.Sprintf("race-%d-%d", race, k), "alpha", 1000*k+race))
				switch {
				case err != nil:
					t.Errorf("race %d: %v", race, err)
				case result.Outcome == table.Accepted:
					winners.Add(1)
				case result.Outcome == table.Conflicted && result.Versions["alpha"] > 0 && result.Detail != "":
					conflicts.Add(1)
				default:
					t.Errorf("race %d: unexpected result %+v", race, result)
				}
			}()
		}
		wait.Wait()
		if n := winners.Load(); n != 1 {
			t.Fatalf("race %d: %d edits were accepted, want 1", race, n)
		}
		accepted.Add(1)
	}
	t.Logf("%d races: %d accepted, %d conflicts", *raceCount, accepted.Load(), conflicts.Load())
}

func TestAReadShowsAcknowledgedEdits(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1, proxied: true})
	x.mustSetWeight("alpha", 0)
	delayed := x.otherReplicas(x.leader())[0]
	x.proxyFor(delayed).SetDelay(150 * time.Millisecond)
	others := x.otherReplicas(delayed)
	for i := range 10 {
		result := x.setWeight("", "alpha", i+1, others...)
		shown, err := x.api(delayed).Table()
		x.must(err)
		if shown.Revision < result.Revision {
			t.Fatalf("%s shows revision %d, an edit of revision %d was acknowledged before", delayed.Settings.Box, shown.Revision, result.Revision)
		}
	}
}

func TestTheLastReplicaStillReturnsItsTable(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1})
	result := x.mustSetWeight("alpha", 5)
	read, err := x.api().ReadTable()
	x.must(err)
	if !read.Confirmed {
		t.Fatalf("revision %d isn't confirmed though there is a leader", read.Table.Revision)
	}
	left := x.cluster.Replicas[2]
	x.mustShowWeight("alpha", 5)
	for _, n := range x.otherReplicas(left) {
		n.Process.Kill()
	}
	x.must(lab.Eventually(waitTimeout, func() error {
		read, err = x.api().ReadTable()
		if err == nil && read.Confirmed {
			err = fmt.Errorf("%s confirms revision %d without a quorum", left.Settings.Box, read.Table.Revision)
		}
		return err
	}))
	if read.Table.Revision < result.Revision {
		t.Fatalf("%s shows revision %d, want %d", left.Settings.Box, read.Table.Revision, result.Revision)
	}
}

func TestAResentEditGetsItsFirstAnswer(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1, adjust: func(s *config.Settings) {
		s.Control.SnapshotEvery = 20
		s.Control.KeepEntries = 5
	}})
	x.mustSetWeight("alpha", 1)
	present, err := x.api().Table()
	x.must(err)
	edit := newWeightEdit(present, "the-edit", "alpha", 42)
	first, err := x.api().SubmitEdit(edit)
	x.must(err)
	mustGetSameAnswer := func(when string) {
		t.Helper()
		for _, n := range x.cluster.Replicas {
			if n.Process.Exited() {
				continue
			}
			repeated, err := x.api(n).SubmitEdit(edit)
			x.must(err)
			if d := cmp.Diff(first, repeated); d != "" {
				t.Fatalf("%s, %s answers differently:\n%s", when, n.Settings.Box, d)
			}
		}
	}
	mustGetSameAnswer("at once")
	leader := x.leader()
	leader.Process.Kill()
	mustGetSameAnswer("after the leader was killed")
	x.must(x.cluster.StartNode(leader))
	for i := range 60 {
		x.mustSetWeight("beta", i)
	}
	mustGetSameAnswer("after snapshots")
	for _, n := range x.cluster.Replicas {
		n.Process.Kill()
		x.must(x.cluster.StartNode(n))
	}
	mustGetSameAnswer("after a restart of all")
	x.mustShowWeight("alpha", 42)
}

func TestALostDiskAndRightAfterItASecondMachine(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 2})
	var last *table.Result
	for i := range 50 {
		last = x.mustSetWeight("alpha", i)
	}
	for round := range 2 {
		a := x.cluster.Replicas[round]
		a.Process.Kill()
		x.must(x.cluster.EraseData(a))
		x.must(x.cluster.StartNode(a))
		x.awaitVoter(a)
	}
	b := x.cluster.Replicas[2]
	b.Process.Kill()
	x.mustKeepEdit(last)
	after := x.mustSetWeight("alpha", 99)
	x.awaitInForce(after)
}

// mustKeepEdit checks that every running replica has an accepted edit in its history.
func (x *testCluster) mustKeepEdit(r *table.Result) {
	x.Helper()
	for _, n := range x.cluster.Replicas {
		if n.Process.Exited() {
			continue
		}
		x.must(lab.Eventually(waitTimeout, func() error {
			history, err := x.api(n).History()
			if err != nil {
				return err
			}
			for _, h := range history {
				if h.Edit == r.Edit && h.Revision == r.Revision {
					return nil
				}
			}
			return fmt.Errorf("%s lacks the accepted edit %s", n.Settings.Box, r.Edit)
		}))
	}
}

func TestAnEmptyReplicaAloneUndoesNothing(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1})
	last := x.mustSetWeight("alpha", 5)
	a, b, c := x.cluster.Replicas[0], x.cluster.Replicas[1], x.cluster.Replicas[2]
	for _, n := range x.cluster.Replicas {
		n.Process.Kill()
	}
	x.must(x.cluster.EraseData(a))
	x.must(x.cluster.EraseData(b))
	x.must(x.cluster.StartNode(a))
	x.must(x.cluster.StartNode(b))
	// Two empty replicas are a majority of the machines but can't form a quorum.
	if _, err := x.api(a, b).FormCluster(nil); err == nil {
		t.Fatal("a cluster formed although one replica was missing")
	}
	x.must(x.cluster.StartNode(c))
	if _, err := x.api(a, b).FormCluster(nil); err == nil {
		t.Fatal("a second cluster formed while the first exists")
	}
	d, err := c.Dump()
	x.must(err)
	if d.Control.Revision < last.Revision && d.Control.Log.LastIndex == 0 {
		t.Fatalf("the last intact replica lost its data: %+v", d.Control)
	}
}

func TestAnUnfitDataFolderIsRefused(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1})
	for i := range 20 {
		x.mustSetWeight("alpha", i)
	}
	a, b := x.cluster.Replicas[0], x.cluster.Replicas[1]
	scenarios := []struct {
		testName string
		corrupt  func(file string)
		kind     string
	}{
		{"another replica's folder", func(file string) { x.must(copyFile(x.databasePath(b), file)) }, "foreign-data"},
		{"a truncated file", func(file string) { x.must(os.Truncate(file, 8192)) }, "damaged"},
		{"an empty file with junk", func(file string) { x.must(os.WriteFile(file, []byte("junk junk junk"), 0o600)) }, "damaged"},
		{"a flipped byte in each page", corruptPages, "damaged"},
	}
	a.Process.Kill()
	b.Process.Terminate()
	if _, err := b.Process.AwaitExit(waitTimeout); err != nil {
		t.Fatal(err)
	}
	intactData, err := os.ReadFile(x.databasePath(a))
	x.must(err)
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			x.must(os.WriteFile(x.databasePath(a), intactData, 0o600))
			s.corrupt(x.databasePath(a))
			err := x.cluster.StartNode(a)
			code, endErr := a.Process.AwaitExit(waitTimeout)
			if err == nil || endErr != nil || code != 3 {
				t.Fatalf("the replica started, or exited with code %d instead of 3: %v %v", code, err, endErr)
			}
			if log := a.Process.Log(); !containsAll(log, `"kind":"`+s.kind+`"`, "start with an empty one") && s.kind == "damaged" {
				t.Fatalf("the log lacks the kind or the remedy:\n%s", log)
			}
		})
	}
}

func (x *testCluster) databasePath(n *lab.Node) string {
	return filepath.Join(n.Settings.Control.DataFolder, "control.db")
}

func copyFile(from, to string) error {
	data, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, data, 0o600)
}

// corruptPages flips bytes in every page of a file after the first two, which hold its metadata.
func corruptPages(file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		panic(err)
	}
	page := os.Getpagesize()
	for at := 2 * page; at+page <= len(data); at += page {
		for i := at + 16; i < at+page; i += 64 + rand.IntN(8) {
			data[i] ^= 0xff
		}
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		panic(err)
	}
}

func TestAnOlderCopyOfTheFolderIsRefused(t *testing.T) {
	restartFromOlderCopy(t, func(*lab.Node) {})
}

// The new leader has to know what the replica acknowledged to the frozen leader.
func TestAnOlderCopyOfTheFolderIsRefusedByANewLeader(t *testing.T) {
	restartFromOlderCopy(t, func(leader *lab.Node) {
		leader.Process.Freeze()
		time.AfterFunc(1500*time.Millisecond, leader.Process.Unfreeze)
	})
}

// restartFromOlderCopy starts a follower from an older copy of its data folder, after
// disruptLeader has run, and expects the start to be refused.
func restartFromOlderCopy(t *testing.T, disruptLeader func(leader *lab.Node)) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1})
	x.mustSetWeight("alpha", 1)
	leader := x.leader()
	a := x.otherReplicas(leader)[0]
	a.Process.Terminate()
	_, err := a.Process.AwaitExit(waitTimeout)
	x.must(err)
	older, err := os.ReadFile(x.databasePath(a))
	x.must(err)
	x.must(x.cluster.StartNode(a))
	for i := range 20 {
		x.mustSetWeight("alpha", i)
	}
	x.awaitVoter(a)
	x.awaitAcknowledged(a)
	a.Process.Kill()
	x.must(os.WriteFile(x.databasePath(a), older, 0o600))
	disruptLeader(x.leader())
	x.cluster.StartNode(a)
	code, err := a.Process.AwaitExit(waitTimeout)
	if err != nil {
		for _, n := range x.cluster.Replicas {
			t.Logf("%s:\n%s", n.Settings.Box, n.Process.Log())
		}
	}
	x.must(err)
	if code != 3 || !containsAll(a.Process.Log(), "foreign-data", "older copy") {
		t.Fatalf("the older copy was accepted; exit code %d, log:\n%s", code, a.Process.Log())
	}
}

func TestAPlannedStopOfTheLeaderFailsNoEdit(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 2})
	x.mustSetWeight("alpha", 0)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var edits, slowest atomic.Int64
	wait.Add(1)
	go func() {
		defer wait.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			started := time.Now()
			x.mustSetWeight("alpha", i)
			edits.Add(1)
			slowest.Store(max(slowest.Load(), int64(time.Since(started))))
		}
	}()
	for range 3 {
		leader := x.leader()
		leader.Process.Terminate()
		code, err := leader.Process.AwaitExit(waitTimeout)
		x.must(err)
		if code != 0 {
			t.Errorf("the stopped leader exited with code %d:\n%s", code, leader.Process.Log())
		}
		x.must(x.cluster.StartNode(leader))
		x.awaitVoter(leader)
	}
	close(stop)
	wait.Wait()
	t.Logf("%d edits accepted through 3 planned stops of the leader, the slowest in %s", edits.Load(), time.Duration(slowest.Load()))
	if d := time.Duration(slowest.Load()); d > maxEditDelay {
		t.Fatalf("an edit took %s", d)
	}
}
