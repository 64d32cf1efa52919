package routing

import (
	"fmt"
	"strings"

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

func describeSearch(x *ReachChange) string {
	if x.Unreachable {
		return fmt.Sprintf("no box reaches %s: %v", x.Service, x.Boxes)
	}
	return fmt.Sprintf("others reach %s: %v", x.Service, x.Boxes)
}

// relayedCall returns what a relaying box tells, from the arguments from=BOX [elapsed=D] [attempts=N]
// [revision=N].
func (s *script) relayedCall(d *datadriven.TestData) *RelayedCall {
	x := &RelayedCall{From: units.BoxID(s.word(d, "from")), Elapsed: s.duration(d, "elapsed"), Attempts: maxSends}
	d.MaybeScanArgs(s.t, "attempts", &x.Attempts)
	d.MaybeScanArgs(s.t, "revision", (*uint64)(&x.Revision))
	return x
}

func describeReachMessage(x Effect) string {
	m := x.ReachMessage
	if m.Kind == ReachQuery {
		return fmt.Sprintf("ask %s for %s", x.Peer, describeScopes(m.Scopes))
	}
	text := fmt.Sprintf("answer %s: %s", x.Peer, describeScopes(m.Scopes))
	if m.Full {
		text += ", full"
	}
	if len(m.Helpers) > 0 {
		text += fmt.Sprintf(", helped by %v", m.Helpers)
	}
	return text
}

func describeScopes(scopes []ReachScope) string {
	var parts []string
	for _, x := range scopes {
		text := string(x.Service)
		if len(x.Regions) > 0 {
			text += fmt.Sprintf(" in %v", x.Regions)
		}
		switch {
		case x.CutOff:
			text += " (cut off)"
		case x.HeardAge < 0:
			text += " (never heard)"
		default:
			text += fmt.Sprintf(" (heard %s ago)", x.HeardAge)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

// reach BOX query|answer service=S [cut-off] [heard=D] [cut=D] [full] [load=N] [helpers=(B,...)] is a
// message of another box about the targets that it reaches.
func (s *script) peerReach(d *datadriven.TestData) {
	scope := ReachScope{Service: units.ServiceName(s.word(d, "service")), CutOff: d.HasArg("cut-off"), HeardAge: -1}
	if d.HasArg("heard") {
		scope.HeardAge = s.duration(d, "heard")
	}
	scope.CutAge = s.duration(d, "cut")
	m := ReachMessage{
		Kind: ReachAnswer, HeardAge: scope.HeardAge, HearsNothing: scope.CutOff, Full: d.HasArg("full"),
		Scopes: []ReachScope{scope},
	}
	if d.HasArg("query") {
		m.Kind = ReachQuery
	}
	d.MaybeScanArgs(s.t, "load", &m.Relayed)
	if named, ok := d.Arg("helpers"); ok {
		for _, name := range named.Vals {
			m.Helpers = append(m.Helpers, units.BoxID(name))
		}
	}
	s.reduce(&PeerReach{From: units.BoxID(d.CmdArgs[0].Key), Message: m})
}

// reached TARGET [silent] ends a check of the box's link to a target.
func (s *script) reached(d *datadriven.TestData) {
	silent := d.HasArg("silent")
	checked := s.probes[d.CmdArgs[0].Key]
	if checked == nil {
		d.Fatalf(s.t, "target %q wasn't checked", d.CmdArgs[0].Key)
	}
	s.reduce(&ProbeEnded{Target: checked, Attempt: reachProbe, SentAt: s.now, Answered: !silent, Healthy: !silent})
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
