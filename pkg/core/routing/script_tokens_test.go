package routing

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/units"
)

func describeTokens(x Effect) string {
	m := x.Tokens
	if m.Kind == RequestTokens && m.Cold {
		return fmt.Sprintf("ask %s for a call to cold %v", x.Peer, m.Calls)
	}
	if m.Kind == RequestTokens && m.MaxCalls > 0 {
		return fmt.Sprintf("ask %s for %d calls of %s (of %d targets)", x.Peer, m.MaxCalls, m.Service, len(m.Calls))
	}
	if m.Kind == RequestTokens {
		return fmt.Sprintf("ask %s for %d probes of %s", x.Peer, m.Probes, m.Service)
	}
	text := fmt.Sprintf("grant %s %d probes of %s", x.Peer, m.Probes, m.Service)
	if len(m.Calls) > 0 {
		text += fmt.Sprintf(", calls to %v", m.Calls)
	}
	return text
}

// tokens BOX kind=ask|grant service=S [probes=N] [calls=(T,...)] [count=N] [nonce=N] [cold] is a message of another
// box. A grant without a nonce answers the oldest request to that box.
func (s *script) tokens(d *datadriven.TestData) {
	from := units.BoxID(d.CmdArgs[0].Key)
	m := TokenMessage{Kind: RequestTokens, Cold: d.HasArg("cold"), Service: units.ServiceName(s.word(d, "service"))}
	d.MaybeScanArgs(s.t, "probes", &m.Probes)
	d.MaybeScanArgs(s.t, "count", &m.MaxCalls)
	d.MaybeScanArgs(s.t, "nonce", &m.Nonce)
	if named, ok := d.Arg("calls"); ok {
		for _, name := range named.Vals {
			m.Calls = append(m.Calls, units.TargetID(strings.TrimSpace(name)))
		}
	}
	if s.word(d, "kind") == "grant" {
		m.Kind = GrantTokens
		if t := s.router.services[m.Service].target(append(m.Calls, "")[0]); m.Cold && t != nil && m.Nonce == 0 {
			m.Nonce = t.cold.requestNonce
		}
		for _, x := range s.router.services[m.Service].borrowing.requests {
			if m.Nonce == 0 && x.lender == from {
				m.Nonce = x.nonce
			}
		}
	}
	s.reduce(&PeerTokens{From: from, Message: m})
}
