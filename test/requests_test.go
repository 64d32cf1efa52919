package test

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
)

func TestEveryCallerGetsItsOwnWholeAnswer(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 2, targets: 4, targetArguments: []string{"--slots", "16", "--queue", "64"}})
	x.applySheets(nil)
	x.callAll(max(3000, 2**callerCount), *callerCount, func(i int) lab.CallSpec {
		p := mixedPlan(i)
		p.Work = time.Duration(i%7) * time.Millisecond
		if i%50 == 0 {
			p.Deadline = 3 * time.Millisecond
		}
		return p
	})
	s := x.mustBeClean()
	if s.Complete < s.Sent*5/6 {
		t.Fatalf("only %d of %d calls were answered", s.Complete, s.Sent)
	}
}

func TestAnAnswerCutShortIsNeverPassedOffAsWhole(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 2, targetArguments: []string{"--slots", "16", "--queue", "64"}})
	x.applySheets(nil)
	for _, cut := range lab.Truncations() {
		for _, work := range []string{"repeatable", "once", "patient"} {
			for _, size := range []int{100, 400_000} {
				t.Run(fmt.Sprintf("%s %s %d", cut, work, size), func(t *testing.T) {
					call := x.caller.Do(lab.CallSpec{Host: work + ".test", AtMostOnce: work == "once", Truncation: cut, AnswerBytes: size})
					if call.Verdict == lab.Complete || call.Verdict == lab.Wrong || call.Verdict == lab.NotRun {
						t.Fatalf("the caller got %+v", call)
					}
				})
			}
		}
	}
	x.mustBeClean()
}

func TestLongReportsArriveComplete(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 2, targetArguments: []string{"--slots", "32", "--queue", "64"}})
	x.applySheets(nil)
	x.callAll(48, 16, func(int) lab.CallSpec {
		return lab.CallSpec{Host: "patient.test", AnswerBytes: 10 << 20, Deadline: 30 * time.Second}
	})
	if s := x.mustBeClean(); s.Complete != 48 {
		t.Fatalf("not every report arrived: %s", s)
	}
	d, err := x.cluster.Boxes[0].Dump()
	x.must(err)
	if d.Runtime.HeapBytes > 200<<20 {
		t.Fatalf("16 reports of 10 MB at a time took %d MB of heap", d.Runtime.HeapBytes>>20)
	}
}

func TestWhatIsCalledNotRunWasNotRun(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 2, targets: 4, targetArguments: []string{"--slots", "2", "--queue", "1", "--work", "5ms"}})
	x.applySheets(func(s *table.Service, _ []table.Row) {
		s.HoldCount = 5
		s.HoldLimit = 50 * time.Millisecond
	})
	var step sync.WaitGroup
	step.Add(1)
	go func() {
		defer step.Done()
		for _, target := range x.targets[:3] {
			time.Sleep(150 * time.Millisecond)
			target.Process.Kill()
		}
	}()
	x.callAll(4000, 48, mixedPlan)
	step.Wait()
	s := x.mustBeClean()
	if s.Refused == 0 || s.Complete == 0 {
		t.Fatalf("the test had no refusals or no served calls: %s", s)
	}
}

// callerCount is how many callers call at once in a test; to run more: go test ./test
// -run EveryCaller -callers 2000.
var callerCount = flag.Int("callers", 64, "how many callers call at once in a test")

func TestBrokenConnectionsToTargetsLoseAndDoubleNothing(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 2, targets: 3, targetArguments: []string{"--slots", "8", "--queue", "64", "--work", "3ms"}})
	var proxies []*lab.FaultProxy
	for _, target := range x.targets {
		p, err := lab.StartFaultProxy(target.Address)
		x.must(err)
		t.Cleanup(p.Close)
		proxies = append(proxies, p)
	}
	x.applySheets(func(s *table.Service, rows []table.Row) {
		s.Deadline = time.Second
		for i := range rows {
			rows[i].Address = proxies[i].Address()
		}
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.callAll(3000, 24, mixedPlan)
	}()
	// Connections are reset, silenced and slowed down in turn, both with calls on them and
	// while idle.
	for round := 0; ; round++ {
		select {
		case <-done:
			s := x.mustBeClean()
			if s.Complete < 1000 || s.Unknown == 0 {
				t.Fatalf("the test had too few served calls or no call of unknown outcome: %s", s)
			}
			return
		case <-time.After(40 * time.Millisecond):
		}
		p := proxies[round%len(proxies)]
		switch round % 4 {
		case 0, 1:
			p.Reset()
		case 2:
			p.SetDelay(time.Duration(round%20) * time.Millisecond)
		case 3:
			p.Blackhole(true)
			time.Sleep(60 * time.Millisecond)
			p.Blackhole(false)
		}
	}
}

func TestAKilledBoxDoublesNothing(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 3, targets: 3, targetArguments: []string{"--slots", "8", "--queue", "32"}})
	x.applySheets(nil)
	var killer sync.WaitGroup
	killer.Add(1)
	go func() {
		defer killer.Done()
		time.Sleep(200 * time.Millisecond)
		x.cluster.Boxes[0].Process.Kill()
	}()
	x.callAll(3000, 24, mixedPlan)
	killer.Wait()
	x.mustBeClean()
}

func TestAFrozenTargetIsLeftAlone(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 2, targets: 4, targetArguments: []string{"--slots", "8", "--queue", "32"}})
	x.applySheets(func(s *table.Service, _ []table.Row) { s.Deadline = 500 * time.Millisecond })
	x.targets[0].Process.Freeze()
	x.callAll(1500, 16, mixedPlan)
	x.targets[0].Process.Unfreeze()
	s := x.mustBeClean()
	if share := float64(s.Complete) / float64(s.Sent); share < 0.9 {
		t.Fatalf("with one of four targets frozen only %.0f%% of the calls were answered: %s", 100*share, s)
	}
}

// stopCount is how many planned stops a test makes; to run more: go test ./test -run
// PlannedStopCuts -stops 50.
var stopCount = flag.Int("stops", 10, "how many planned stops a test makes")

// useShortLeases shortens the time that a restarted box waits for its shares.
func useShortLeases(s *config.Settings) {
	s.Control.Lease = config.Duration(800 * time.Millisecond)
	s.Entry.ShareDelay = config.Duration(1400 * time.Millisecond)
}

func TestAPlannedStopCutsNothing(t *testing.T) {
	x := startCluster(t, clusterOptions{
		replicas: 1, boxes: 2, targets: 3, adjust: useShortLeases,
		targetArguments: []string{"--slots", "8", "--queue", "64", "--work", "3ms"},
	})
	x.applySheets(nil)
	running, stopping := x.cluster.Boxes[0], x.cluster.Boxes[1]
	for range *stopCount {
		var callers sync.WaitGroup
		var finished atomic.Bool
		for k := range 12 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				for i := k; !finished.Load(); i++ {
					p := mixedPlan(i)
					if i%40 == 0 {
						p.AnswerBytes = 2 << 20
					}
					if i%25 == 0 {
						// Still in flight when the box stops accepting new connections.
						p.Work = 900 * time.Millisecond
					}
					x.caller.Do(p)
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		stopping.Process.Terminate()
		// The platform's load balancer detects the stop late.
		time.Sleep(150 * time.Millisecond)
		x.caller.SetAddresses(running.Entry)
		code, err := stopping.Process.AwaitExit(waitTimeout)
		x.must(err)
		finished.Store(true)
		callers.Wait()
		if code != 0 {
			t.Fatalf("the stopped box exited with code %d:\n%s", code, stopping.Process.Log())
		}
		x.must(x.cluster.StartNode(stopping))
		x.must(x.cluster.AwaitReady(stopping, waitTimeout))
		x.caller.SetAddresses(running.Entry, stopping.Entry)
	}
	s := x.mustBeClean()
	if s.Unknown > 0 || s.TargetErrors > 0 {
		for _, c := range x.caller.Calls() {
			if c.Verdict == lab.Unknown {
				t.Logf("%+v", c)
			}
		}
		t.Fatalf("%d planned stops cut %d calls of %d", *stopCount, s.Unknown, s.Sent)
	}
}

func TestALeavingTargetGetsNoNewWork(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 3, targets: 3, proxied: true, targetArguments: []string{"--slots", "16", "--queue", "64"}})
	x.applySheets(nil)
	leaving := x.targets[0]
	var callers sync.WaitGroup
	var finished atomic.Bool
	for k := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for i := k; !finished.Load(); i++ {
				x.caller.Do(mixedPlan(i))
			}
		}()
	}
	// One box is frozen and another is cut off from all replicas during the edit.
	frozen := x.cluster.Boxes[0]
	time.Sleep(200 * time.Millisecond)
	frozen.Process.Freeze()
	edited, err := x.cluster.Apply(x.sheets(func(_ *table.Service, rows []table.Row) { rows[0].State = table.Leaving }))
	x.must(err)
	x.awaitInForceOn(edited, x.cluster.Boxes[1:]...)
	for _, p := range x.cluster.Proxies {
		p.Blackhole(true)
	}
	time.Sleep(maxEditDelay)
	frozen.Process.Unfreeze()
	before := x.countJournalRuns(leaving)
	x.caller.SetAddresses(x.cluster.Boxes[0].Entry, x.cluster.Boxes[1].Entry, x.cluster.Boxes[2].Entry)
	time.Sleep(500 * time.Millisecond)
	finished.Store(true)
	for _, p := range x.cluster.Proxies {
		p.Blackhole(false)
	}
	callers.Wait()
	if after := x.countJournalRuns(leaving); after != before {
		t.Fatalf("%d calls reached the leaving target after %s", after-before, maxEditDelay)
	}
	x.mustBeClean()
}

func (x *testCluster) awaitInForceOn(r *table.Result, boxes ...*lab.Node) {
	x.Helper()
	for _, b := range boxes {
		x.must(x.cluster.AwaitRevision(b, r.Revision, waitTimeout))
	}
}

// countJournalRuns counts the calls in a target's journal.
func (x *testCluster) countJournalRuns(target *lab.TargetProcess) int {
	x.Helper()
	runs, err := lab.ReadJournals(target.Journal)
	x.must(err)
	n := 0
	for _, k := range runs {
		n += k
	}
	return n
}

func TestABoxWithoutALeaseRefusesAsNotRun(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 1})
	x.applySheets(nil)
	x.cluster.Replicas[0].Process.Freeze()
	x.must(lab.Eventually(waitTimeout, func() error {
		if c := x.caller.Do(lab.CallSpec{Host: "once.test", AtMostOnce: true}); c.Reason != "no-lease" {
			return fmt.Errorf("the call got %+v", c)
		}
		return nil
	}))
	x.cluster.Replicas[0].Process.Unfreeze()
	x.must(lab.Eventually(waitTimeout, func() error {
		if c := x.caller.Do(lab.CallSpec{Host: "once.test", AtMostOnce: true}); c.Verdict != lab.Complete {
			return fmt.Errorf("the call got %+v", c)
		}
		return nil
	}))
	x.mustBeClean()
}

// refusalDuration is how long a target refuses calls in a test; to run longer: go test ./test -run
// Patient -refusing 60s.
var refusalDuration = flag.Duration("refusing", time.Second, "how long a target refuses calls in a test")

func TestPatientWorkWaitsOutARefusingTarget(t *testing.T) {
	const patientCalls = 20
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 1, targetArguments: []string{"--slots", "3", "--queue", "1"}})
	x.applySheets(func(s *table.Service, _ []table.Row) {
		s.HoldLimit = *refusalDuration + 20*time.Second
		s.Deadline = *refusalDuration + 25*time.Second
	})
	x.setBehavior(x.targets[0], "shed=1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.callAll(patientCalls, patientCalls, func(int) lab.CallSpec { return lab.CallSpec{Host: "patient.test"} })
	}()
	x.must(lab.Eventually(waitTimeout, func() error {
		d, err := x.cluster.Boxes[0].Dump()
		if err == nil && d.Entry.Routing.Calls < patientCalls {
			err = fmt.Errorf("%d calls are held", d.Entry.Routing.Calls)
		}
		return err
	}))
	time.Sleep(*refusalDuration)
	x.setBehavior(x.targets[0], "shed=0")
	<-done
	if s := x.mustBeClean(); s.Complete != patientCalls {
		t.Fatalf("patient calls were lost: %s %+v", s, x.caller.Calls())
	}
}

// setBehavior changes how a target behaves; query has the parameters of its /behave endpoint.
func (x *testCluster) setBehavior(target *lab.TargetProcess, query string) {
	x.Helper()
	x.must(requestBehavior(target, query))
}

func requestBehavior(target *lab.TargetProcess, query string) error {
	status, _, err := fasthttp.Get(nil, "http://"+target.Address+"/behave?"+query)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	if err != nil {
		return fmt.Errorf("can't change the target's behavior: %w", err)
	}
	return nil
}

func TestACallerThatHangsUpFreesItsSlot(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 1})
	x.applySheets(nil)
	c, err := net.Dial("tcp", x.cluster.Boxes[0].Entry)
	x.must(err)
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: repeatable.test\r\nX-Request-Id: gone\r\nX-Work-Us: 8000000\r\n\r\n")
	awaitInFlight := func(want int) {
		t.Helper()
		x.must(lab.Eventually(waitTimeout, func() error {
			d, err := x.cluster.Boxes[0].Dump()
			if err == nil && d.Entry.Routing.Calls != want {
				err = fmt.Errorf("%d calls are in flight", d.Entry.Routing.Calls)
			}
			return err
		}))
	}
	awaitInFlight(1)
	c.Close()
	started := time.Now()
	awaitInFlight(0)
	if elapsed := time.Since(started); elapsed > maxEditDelay {
		t.Fatalf("the slot was freed only after %s", elapsed)
	}
}

func TestHostileRequestsReachNoTarget(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 1, adjust: func(s *config.Settings) {
		// Some of these requests never end; the box abandons them after this timeout.
		s.Entry.ReadTimeout = config.Duration(time.Second)
	}})
	x.applySheets(nil)
	scenarios := []struct{ testName, request string }{
		{"both length and chunked", "POST / HTTP/1.1\r\nHost: once.test\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"two lengths", "POST / HTTP/1.1\r\nHost: once.test\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"},
		{"bare line feeds", "POST / HTTP/1.1\nHost: once.test\nContent-Length: 5\n\nhello"},
		{"bare line feed in one header", "POST / HTTP/1.1\r\nHost: once.test\nX-A: b\nX-B: c\r\nContent-Length: 0\r\n\r\n"},
		{"no HTTP at all", "\x00\x01\x02\x03 junk \r\n\r\n"},
		{"oversized head", "GET / HTTP/1.1\r\nHost: once.test\r\nX-Big: " + strings.Repeat("a", 40<<10) + "\r\n\r\n"},
		{"oversized body", "POST / HTTP/1.1\r\nHost: once.test\r\nContent-Length: 99999999\r\n\r\nx"},
		{"space before the colon", "POST / HTTP/1.1\r\nHost: once.test\r\nContent-Length : 5\r\n\r\nhello"},
		{"negative length", "POST / HTTP/1.1\r\nHost: once.test\r\nContent-Length: -5\r\n\r\nhello"},
		{"unknown host", "GET / HTTP/1.1\r\nHost: nowhere.test\r\n\r\n"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c, err := net.Dial("tcp", x.cluster.Boxes[0].Entry)
			x.must(err)
			defer c.Close()
			c.SetDeadline(time.Now().Add(waitTimeout))
			go fmt.Fprint(c, s.request)
			status, err := bufio.NewReader(c).ReadString('\n')
			if err == nil && !strings.HasPrefix(status, "HTTP/1.1 4") {
				t.Fatalf("the status line was %q", status)
			}
		})
	}
	if runs := x.runs(); len(runs) != 0 {
		t.Fatalf("a target ran %v", runs)
	}
	if c := x.caller.Do(lab.CallSpec{Host: "once.test", AtMostOnce: true}); c.Verdict != lab.Complete {
		t.Fatalf("a valid call afterwards got %+v", c)
	}
}

func TestACallMayTakeLongerThanARequestMayTakeToCome(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 1, adjust: func(s *config.Settings) {
		s.Entry.ReadTimeout = config.Duration(200 * time.Millisecond)
		s.Entry.IdleTimeout = config.Duration(200 * time.Millisecond)
	}})
	x.applySheets(nil)
	for _, work := range []string{"repeatable", "once", "patient"} {
		c := x.caller.Do(lab.CallSpec{Host: work + ".test", AtMostOnce: work == "once", Work: time.Second})
		if c.Verdict != lab.Complete {
			t.Errorf("a call that runs for a second got %+v", c)
		}
	}
	x.mustBeClean()
}
