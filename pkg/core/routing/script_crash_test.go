package routing

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// wordIdentity identifies a call by a word.
type wordIdentity string

func (l wordIdentity) Head() uint64   { return crash.Digest([]byte(l)) }
func (l wordIdentity) Body() uint64   { return 0 }
func (l wordIdentity) Caller() uint64 { return 1 }

// describeSuspects lists the suspects of a crash.
func describeSuspects(x *crash.Note) string {
	var text []string
	for _, u := range x.Suspects {
		text = append(text, fmt.Sprintf("%.8s sent %s before", u.Fingerprint, u.SentBefore))
	}
	return strings.Join(text, ", ")
}

// checked TARGET how=refused|answered|silent ends a crash probe of a target.
func (s *script) checked(d *datadriven.TestData) {
	how := s.word(d, "how")
	s.reduce(&ProbeEnded{
		Target: s.probes[d.CmdArgs[0].Key], Attempt: crashProbeNumber, Refused: how == "refused", Answered: how == "answered",
		Unreachable: how != "answered",
	})
}

// watched [term=N] [noted=N] CALL=suspect|quarantined|trial-N... is what a grant reports about
// calls.
func (s *script) watched(d *datadriven.TestData) {
	v := &WatchedCallsChanged{}
	for _, a := range d.CmdArgs {
		how := a.Vals[0]
		number, _ := strconv.Atoi(how[strings.LastIndex(how, "-")+1:])
		switch a.Key {
		case "term":
			v.Term = units.Term(number)
		case "noted":
			v.Acknowledged = uint64(number)
		default:
			v.Calls = append(v.Calls, crash.WatchedCall{
				Call: crash.FingerprintOf(wordIdentity(a.Key)), Quarantined: how != "suspect", Trial: number,
			})
		}
	}
	s.reduce(v)
}

// notes lists the crash notes that the next lease request would carry.
func (s *script) notes(*datadriven.TestData) {}

func (s *script) listNotes() string {
	var lines []string
	for _, n := range s.router.CrashNotes() {
		what := "answer to"
		if !n.IsAnswer() {
			what = string(n.Target) + " crashed under"
		}
		lines = append(lines, fmt.Sprintf("#%d %s %s", n.Number, what, describeSuspects(&n)))
	}
	for _, f := range s.router.DrainRefused() {
		lines = append(lines, fmt.Sprintf("refused %.8s", f))
	}
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

// addQuarantine puts a call into quarantine: "quarantine CALL".
func (s *script) addQuarantine(t *table.Table, words []string) {
	t.Quarantines = append(t.Quarantines, table.Quarantine{Call: crash.FingerprintOf(wordIdentity(words[0])), Since: t.Revision})
}

var canaryKindNames = map[CanaryKind]string{SuspectCalls: "suspect", ClearCall: "clear", RequestCanary: "ask", GrantCanary: "send"}

func describeCanary(m *CanaryMessage) string {
	var calls []string
	for _, f := range m.Calls {
		calls = append(calls, fmt.Sprintf("%.8s", f))
	}
	return fmt.Sprintf("%s %s", canaryKindNames[m.Kind], strings.Join(calls, " "))
}

// canary BOX kind=suspect|clear|ask|send like=CONTENT [call=NAME] is a message of another box. With
// kind=suspect the call is another caller's.
func (s *script) canary(d *datadriven.TestData) {
	m := CanaryMessage{}
	for k, w := range canaryKindNames {
		if w == s.word(d, "kind") {
			m.Kind = k
		}
	}
	f := crash.FingerprintOf(wordIdentity(s.word(d, "like"))).AnyCaller()
	if m.Kind == SuspectCalls {
		f.Caller = 2
	}
	m.Calls = []crash.Fingerprint{f}
	if d.HasArg("call") {
		m.Call = s.calls[s.word(d, "call")]
	}
	s.reduce(&PeerCanary{From: units.BoxID(d.CmdArgs[0].Key), Message: m})
}
