package routing

import (
	"fmt"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/units"
)

// describeRelay describes a send to another box, and keeps its endpoint for the end command.
func (s *script) describeRelay(name string, x Effect) string {
	if s.sent[name] == nil {
		s.sent[name] = map[AttemptNumber]*Endpoint{}
	}
	s.sent[name][x.Attempt] = x.Endpoint
	text := fmt.Sprintf("relay %s #%d to %s, %d attempts, after %s", name, x.Attempt, x.Endpoint.Relay, x.Relay.Attempts, x.Relay.Elapsed)
	if x.Workspace != "" {
		text += " for " + string(x.Workspace)
	}
	return text
}

func describeCheck(x Effect) string {
	if x.ConnectOnly {
		return "connect to " + string(x.Endpoint.Target)
	}
	return "check reach of " + string(x.Endpoint.Target)
}

func describeReach(x *ReachChange) string {
	text := string(x.Service)
	if len(x.Regions) > 0 {
		text += fmt.Sprintf(" in %v", x.Regions)
	}
	if x.CutOff {
		return fmt.Sprintf("%s is cut off, lost %v", text, x.Lost)
	}
	return fmt.Sprintf("%s is reached again, others did: %t", text, x.OthersReach)
}

// relayedCall returns what a relaying box tells, from the arguments from=BOX [elapsed=D] [attempts=N]
// [revision=N].
func (s *script) relayedCall(d *datadriven.TestData) *RelayedCall {
	x := &RelayedCall{From: units.BoxID(s.word(d, "from")), Elapsed: s.duration(d, "elapsed"), Attempts: maxSends}
	d.MaybeScanArgs(s.t, "attempts", &x.Attempts)
	d.MaybeScanArgs(s.t, "revision", (*uint64)(&x.Revision))
	return x
}

// reached TARGET [silent] ends a check of the box's link to a target.
func (s *script) reached(d *datadriven.TestData) {
	silent := d.HasArg("silent")
	s.reduce(&ProbeEnded{Target: s.probes[d.CmdArgs[0].Key], Attempt: reachProbe, SentAt: s.now, Answered: !silent, Healthy: !silent})
}

// declined NAME attempt=N reason=R [outcome=unknown] [arrivals=N] ends a relay that the other box
// refused.
func (s *script) declined(d *datadriven.TestData) {
	var n int
	d.ScanArgs(s.t, "attempt", &n)
	x := Refusal{Reason: ReasonNamed(s.word(d, "reason")), Outcome: NotRun}
	if d.HasArg("outcome") {
		x.Outcome = Unknown
	}
	d.MaybeScanArgs(s.t, "arrivals", &x.Arrivals)
	name := d.CmdArgs[0].Key
	v := &AttemptEnded{Call: s.calls[name], Attempt: AttemptNumber(n), Result: Declined, Declined: x}
	v.Endpoint = s.sent[name][v.Attempt]
	s.reduce(v)
}
