package test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/lab"
)

// A box whose link was full read all calls, and answered them late or never.
func TestABoxWhoseLinkIsFullRefusesConnections(t *testing.T) {
	const (
		linkMbps    = 1
		answerBytes = 10_000
		calls       = 120
	)
	x := startCluster(t, clusterOptions{
		replicas: 1, boxes: 2, targets: 2, targetArguments: []string{"--slots", "32", "--queue", "64"},
		adjust: func(s *config.Settings) { s.Entry.LinkMbps = linkMbps },
	})
	x.applySheets(nil)
	full := lab.NewCaller(x.cluster.Boxes[0].Entry)
	other := lab.NewCaller(x.cluster.Boxes[1].Entry)
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			spec := lab.CallSpec{Host: "once.test", AtMostOnce: true, AnswerBytes: answerBytes, NewConnection: true}
			if c := full.Do(spec); c.Status != 0 {
				return
			}
			if i%2 == 0 {
				other.Do(spec)
			}
		})
	}
	wait.Wait()
	runs := x.runs()
	unread := 0
	for _, c := range full.Calls() {
		switch {
		case c.Status == 0:
			unread++
			if runs[c.RequestID] > 0 {
				t.Errorf("call %s has run, though its connection ended with %q", c.RequestID, c.Detail)
			}
		case c.Verdict != lab.Complete:
			t.Errorf("a call that was read got %+v", c)
		}
	}
	if unread == 0 || unread == calls {
		t.Errorf("%d of %d calls weren't read", unread, calls)
	}
	x.mustAllBeClean(append(full.Calls(), other.Calls()...))
	x.caller = full
	x.must(lab.Eventually(waitTimeout, func() error {
		if c := full.Do(lab.CallSpec{Host: "repeatable.test", NewConnection: true}); c.Verdict != lab.Complete {
			return fmt.Errorf("the call got %+v", c)
		}
		return nil
	}))
	x.must(x.cluster.AwaitReady(x.cluster.Boxes[0], waitTimeout))
}
