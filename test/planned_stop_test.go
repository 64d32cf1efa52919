package test

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/lab"
)

// In a planned stop a box took calls whose targets needed longer than it had left, and cut them off at its end, also
// such that can't be sent again.
func TestAPlannedStopCutsOffNoCallThatCanNotBeRepeated(t *testing.T) {
	const (
		leave, limit = time.Second, time.Second
		long         = 3 * time.Second
		short        = 300 * time.Millisecond
	)
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 4, targetArguments: []string{"--slots", "32"}, adjust: func(s *config.Settings) {
		s.Stop.Leave, s.Stop.Limit = config.Duration(leave), config.Duration(limit)
	}})
	x.applySheets(nil)
	box := x.cluster.Boxes[0]
	caller := lab.NewCaller(box.Entry)
	box.Process.Terminate()
	x.must(lab.Eventually(waitTimeout, func() error {
		d, err := box.Dump()
		if err == nil && !d.Entry.Leaving {
			err = errors.New("the box isn't leaving yet")
		}
		return err
	}))
	var wait sync.WaitGroup
	for began := time.Now(); time.Since(began) < leave/2; time.Sleep(50 * time.Millisecond) {
		for _, p := range []lab.CallSpec{
			{Work: long, Deadline: 2 * long},
			{Work: short, Deadline: 2 * short},
		} {
			p.Host, p.AtMostOnce, p.NewConnection = "once.test", true, true
			wait.Go(func() { caller.Do(p) })
		}
	}
	wait.Wait()
	if _, err := box.Process.AwaitExit(waitTimeout); err != nil {
		t.Error(err)
	}
	served := 0
	runs := x.runs()
	for _, c := range caller.Calls() {
		switch {
		case c.Verdict == lab.Complete:
			served++
		case runs[c.RequestID] > 0:
			t.Errorf("a call that has run got %+v", c)
		}
	}
	if served == 0 {
		t.Error("no call was served during the stop")
	}
}
