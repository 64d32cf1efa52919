package routing

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/units"
)

// setNotice sets the notice in an answer from "rest=D", "leaving", "limit=R" and "unread-limit".
func (s *script) setNotice(d *datadriven.TestData, x *TargetReport) {
	x.Rest = s.duration(d, "rest")
	x.Leaving = d.HasArg("leaving")
	x.Limit.Malformed = d.HasArg("unread-limit")
	if d.HasArg("limit") {
		x.Limit.Present, x.Limit.Rate = true, s.callRate(d, "limit")
	}
}

// callRate parses a number of calls a second.
func (s *script) callRate(d *datadriven.TestData, key string) units.CallRate {
	x, err := strconv.ParseFloat(s.word(d, key), 64)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return units.CallRate(x)
}

var limitKindNames = map[LimitKind]string{
	RequestPermits: "ask", GrantPermits: "grant", ReturnPermits: "return", ReportLimitEnd: "tell", HandOver: "hand-over",
}

// limit BOX kind=K service=S target=T [born=N] [nonce=N] [count=N] [again=D] [version=N] [limit=R]
// delivers a message of another box about a target's limit. Without a limit the message states that
// there is none, without a version that the box has no information about one.
func (s *script) peerLimit(d *datadriven.TestData) {
	m := LimitMessage{Service: units.ServiceName(s.word(d, "service")), Target: units.TargetID(s.word(d, "target")), Born: 1}
	for k, w := range limitKindNames {
		if w == s.word(d, "kind") {
			m.Kind = k
		}
	}
	d.MaybeScanArgs(s.t, "born", (*int64)(&m.Born))
	d.MaybeScanArgs(s.t, "nonce", &m.Nonce)
	d.MaybeScanArgs(s.t, "count", &m.Count)
	m.RetryAfter = s.duration(d, "again")
	if d.HasArg("limit") {
		m.LimitState.Limited, m.LimitState.Rate = true, s.callRate(d, "limit")
	}
	d.MaybeScanArgs(s.t, "version", &m.LimitState.Version)
	s.reduce(&PeerLimit{From: units.BoxID(d.CmdArgs[0].Key), Message: m})
}

// describeLimit describes a message about a target's limit.
func describeLimit(m *LimitMessage) string {
	words := []string{limitKindNames[m.Kind], string(m.Target)}
	if m.Nonce != 0 {
		words = append(words, fmt.Sprintf("nonce %d", m.Nonce))
	}
	if m.Kind != ReportLimitEnd && m.Kind != HandOver {
		words = append(words, fmt.Sprintf("count %d", m.Count))
	}
	if m.Kind == GrantPermits {
		words = append(words, fmt.Sprintf("again after %s", m.RetryAfter.Round(time.Millisecond)))
	}
	if m.LimitState.Limited {
		words = append(words, fmt.Sprintf("limit %g", m.LimitState.Rate))
	} else {
		words = append(words, "no limit")
	}
	return strings.Join(append(words, fmt.Sprintf("version %d", m.LimitState.Version)), ", ")
}

// describeNotice describes the notice of a target that the shell receives.
func (s *script) describeNotice(x Effect) string {
	words := []string{"keep calls from", string(x.Endpoint.Target)}
	if left := x.Notice.RestUntil.Sub(s.now); x.Notice.RestUntil > 0 && left > 0 {
		words = append(words, "for", left.Round(time.Millisecond).String())
	}
	if x.Notice.Leaving {
		words = append(words, "for good")
	}
	if x.Notice.Limited {
		words = append(words, fmt.Sprintf("without a permit, limit %g", x.Notice.Rate))
	}
	if len(words) == 2 {
		words[0] = "let calls go to"
	}
	return strings.Join(words, " ")
}
