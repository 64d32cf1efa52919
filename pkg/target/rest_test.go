package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// TestNotices sends calls to a stub target that follows the file, and prints the notice in its
// responses: for how long it asks for rest, whether it is leaving, the limit that it announces, and
// what couldn't be parsed.
func TestNotices(t *testing.T) {
	datadriven.RunTest(t, "testdata/notices", func(t *testing.T, d *datadriven.TestData) string {
		target := startStubTarget(t, d.Input+"\n")
		pools := newTestPools()
		pools.settings.LeavingHeader = "X-Leaving"
		pools.settings.LimitHeader = "X-Limit"
		x := &routing.Effect{
			Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: target.address, Registered: true},
			Deadline: pools.clock.Now().Add(10 * time.Second), NotAfter: pools.clock.Now().Add(time.Minute),
		}
		if d.Cmd == "probe" {
			v := pools.Probe(x)
			return fmt.Sprintf("rest %s, leaving %t%s, healthy %t\n", v.Report.Rest, v.Report.Leaving, describeLimit(v.Report.Limit, ""), v.Healthy)
		}
		a := pools.NewAttempt(x)
		defer a.Release()
		a.Request.SetRequestURI("/")
		a.Request.Header.SetHost("s")
		a.Request.Header.Set("X-Call", "call-1")
		result, streaming := a.Run()
		if streaming {
			defer a.finish()
		}
		return fmt.Sprintf(
			"%s: rest %s, leaving %t%s, unread %q\n", result, a.Report.Rest, a.Report.Leaving, describeLimit(a.Report.Limit, a.UnreadableLimit), a.UnreadableRest,
		)
	})
}

// describeLimit formats what a response says of the target's limit, if anything.
func describeLimit(x routing.ReportedLimit, unread string) string {
	text := ""
	if x.Present {
		text += fmt.Sprintf(", limit %g", x.Rate)
	}
	if x.Malformed {
		text += fmt.Sprintf(", unread limit %q", unread)
	}
	return text
}

// A target asks for rest, is leaving or announces a limit after a call or a probe was assigned to it.
// Nothing of them may be sent, and the connection is kept. Both are sent once the rest is over, and
// probes, but no calls, to a target that is leaving.
func TestNothingIsSentToATargetThatWantsNothing(t *testing.T) {
	scenarios := []struct {
		testName      string
		calls, probes time.Duration
		limited       bool
		permit        time.Duration
		call          routing.AttemptResult
		probed        bool
	}{
		{"it rests", time.Minute, time.Minute, false, 0, routing.Withheld, false},
		{"its rest is over", -time.Second, -time.Second, false, 0, routing.Answered, true},
		{"it leaves", time.Minute, 0, false, 0, routing.Withheld, true},
		{"the one that left has a successor", 0, 0, false, 0, routing.Answered, true},
		{"it names a limit", 0, 0, true, 0, routing.Withheld, false},
		{"it names a limit, and permits what is sent", 0, 0, true, time.Minute, routing.Answered, true},
		{"it names a limit, and the permit has ended", 0, 0, true, -time.Second, routing.Withheld, false},
		{"it names a limit and rests", time.Minute, time.Minute, true, time.Minute, routing.Withheld, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			target := startStubTarget(t, `HTTP/1.1 200 OK\nContent-Length: 0\n\n`+"\n")
			pools := newTestPools()
			now := pools.clock.Now()
			x := &routing.Effect{
				Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: target.address},
				Deadline: now.Add(10 * time.Second), NotAfter: now.Add(time.Minute), PermitUntil: now.Add(s.permit),
			}
			pools.Withhold(x.Endpoint, Withholding{CallsUntil: now.Add(time.Minute), ProbesUntil: now.Add(time.Minute)})
			pools.Withhold(x.Endpoint, Withholding{CallsUntil: now.Add(s.calls), ProbesUntil: now.Add(s.probes), Limited: s.limited})
			a := pools.NewAttempt(x)
			defer a.Release()
			a.Request.SetRequestURI("/")
			a.Request.Header.SetHost("s")
			if result, _ := a.Run(); result != s.call {
				t.Errorf("a call was %s, not %s", result, s.call)
			}
			if pools.idleCount() != 1 {
				t.Errorf("%d connections were kept", pools.idleCount())
			}
			if v := newTestPoolsWithWithheldOf(pools).Probe(x); v.Healthy != s.probed || v.Unreachable {
				t.Errorf("a probe found it healthy: %t, unreachable: %t", v.Healthy, v.Unreachable)
			}
			pools.CloseIdle()
			if over := s.calls <= 0 && s.probes <= 0 && !s.limited; over != (len(pools.withheld) == 0) {
				t.Errorf("%d targets are remembered", len(pools.withheld))
			}
		})
	}
}

// A call whose selection of the target has expired isn't sent, and leaves no bytes on the connection
// for the next call.
func TestNothingIsSentOnAnOldChoice(t *testing.T) {
	target := startStubTarget(t, `HTTP/1.1 200 OK\nX-Call: call-2\nContent-Length: 0\n\n`+"\n")
	pools := newTestPools()
	address := target.address
	now := pools.clock.Now()
	a := pools.NewAttempt(&routing.Effect{
		Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: address}, Deadline: now.Add(10 * time.Second), NotAfter: now,
	})
	a.Request.SetRequestURI("/")
	a.Request.Header.SetHost("s")
	if result, _ := a.Run(); result != routing.NotSent || pools.idleCount() != 1 {
		t.Errorf("the call was %s, and %d connections were kept", result, pools.idleCount())
	}
	a.Release()
	if got := callOnce(pools, address, "call-2", false); got != `answered "", connections kept: 1` {
		t.Errorf("the next call: %s", got)
	}
}

// newTestPoolsWithWithheldOf returns pools without connections and with the withholdings of others.
func newTestPoolsWithWithheldOf(p *Pools) *Pools {
	pools := newTestPools()
	for x, w := range p.withheld {
		pools.Withhold(x, w)
	}
	return pools
}
