package test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
)

// What holds for a box's own calls holds for those that it relays over an encrypted connection.
func TestRelayedCallsKeepTheirGuarantees(t *testing.T) {
	x := startLossCluster(t, smallLoss(withCertificates(t, newAuthority(t, "ours"))))
	x.cutOffFirstBox()
	t.Run("a long answer arrives whole", func(t *testing.T) {
		if c := x.caller.Do(lab.CallSpec{Host: "shop.test", AnswerBytes: 1 << 20}); c.Verdict != lab.Complete {
			t.Errorf("the call got %+v", c)
		}
	})
	for _, cut := range lab.Truncations() {
		for _, service := range lossServices {
			for _, size := range []int{100, 400_000} {
				t.Run(fmt.Sprintf("an answer that is cut short doesn't look whole: %s %s %d", cut, service, size), func(t *testing.T) {
					c := x.caller.Do(lab.CallSpec{Host: string(service) + ".test", AtMostOnce: service == "pay", Truncation: cut, AnswerBytes: size})
					if c.Verdict == lab.Complete || c.Verdict == lab.Wrong || c.Verdict == lab.NotRun {
						t.Errorf("the call got %+v", c)
					}
				})
			}
		}
	}
	t.Run("a caller that hangs up frees its slot", x.hangUp)
}

// A box that is about to stop finishes the calls that it has taken over, and one that is killed leaves
// their outcome unknown.
func TestABoxThatServesRelayedCallsStops(t *testing.T) {
	x := startLossCluster(t, smallLoss(nil))
	x.cutOffFirstBox()
	call := lab.CallSpec{Host: "pay.test", AtMostOnce: true, Work: 800 * time.Millisecond}
	for _, scenario := range []struct {
		testName string
		stop     func(*lab.Process)
		verdict  lab.Verdict
	}{
		{"as planned", (*lab.Process).Terminate, lab.Complete},
		{"at once", (*lab.Process).Kill, lab.Unknown},
	} {
		t.Run(scenario.testName, func(t *testing.T) {
			ended := make(chan lab.Call, 1)
			go func() { ended <- x.caller.Do(call) }()
			scenario.stop(x.awaitHelper().Process)
			if c := <-ended; c.Verdict != scenario.verdict {
				t.Errorf("the call got %+v", c)
			}
			x.awaitServed(lab.CallSpec{Host: "pay.test", AtMostOnce: true})
		})
	}
	x.mustBeClean()
}

// cutOffFirstBox cuts the first box off from all targets, waits until it relays calls, and has the
// caller use that box only.
func (x *lossCluster) cutOffFirstBox() {
	x.Helper()
	n := x.cluster.Boxes[0]
	x.caller.SetAddresses(n.Entry)
	for _, p := range x.paths {
		p.CutOff(lossSource(n.Settings.Box), lab.CutReset)
	}
	x.must(lab.Eventually(waitTimeout, func() error {
		for _, service := range lossServices {
			x.caller.Do(lossCall(service, 0))
		}
		d, err := n.Dump()
		if err == nil && len(d.Entry.Routing.CutOff()) < len(lossServices) {
			err = fmt.Errorf("the box takes itself to be cut off from %v", d.Entry.Routing.CutOff())
		}
		return err
	}))
}

// awaitHelper waits until a box serves a relayed call, and returns it.
func (x *lossCluster) awaitHelper() *lab.Node {
	x.Helper()
	var helper *lab.Node
	x.must(lab.Eventually(waitTimeout, func() error {
		for _, n := range x.cluster.Boxes[1:] {
			if n.Process.Exited() {
				continue
			}
			if d, err := n.Dump(); err == nil && d.Entry.Routing.Relays.InFlight > 0 {
				helper = n
				return nil
			}
		}
		return fmt.Errorf("no box serves a relayed call")
	}))
	return helper
}

func (x *lossCluster) hangUp(t *testing.T) {
	c, err := net.Dial("tcp", x.cluster.Boxes[0].Entry)
	x.must(err)
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: shop.test\r\nX-Request-Id: gone\r\nX-Work-Us: 8000000\r\n\r\n")
	helper := x.awaitHelper()
	c.Close()
	started := time.Now()
	x.must(lab.Eventually(waitTimeout, func() error {
		d, err := helper.Dump()
		if err == nil && d.Entry.Routing.Calls > 0 {
			err = fmt.Errorf("%d calls are in flight", d.Entry.Routing.Calls)
		}
		return err
	}))
	if elapsed := time.Since(started); elapsed > maxEditDelay {
		t.Errorf("the slot was freed only after %s", elapsed)
	}
}
