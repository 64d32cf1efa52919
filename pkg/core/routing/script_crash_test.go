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

// likeness identifies a call by a word.
type likeness string

func (l likeness) Head() uint64   { return crash.Digest([]byte(l)) }
func (l likeness) Body() uint64   { return 0 }
func (l likeness) Caller() uint64 { return 1 }

// describeSuspects names the calls that a crash is put down to.
func describeSuspects(x *crash.Note) string {
	var text []string
	for _, u := range x.Suspects {
		text = append(text, fmt.Sprintf("%.8s sent %s before", u.Fingerprint, u.SentBefore))
	}
	return strings.Join(text, ", ")
}

// checked TARGET how=refused|answered|silent ends a check whether a target has crashed.
func (s *script) checked(d *datadriven.TestData) {
	how := s.word(d, "how")
	s.give(&ProbeEnded{
		Target: s.probes[d.CmdArgs[0].Key], Attempt: crashCheck, Refused: how == "refused", Answered: how == "answered",
		Unreachable: how != "answered",
	})
}

// watched [term=N] [noted=N] CALL=suspect|quarantined|trial-N... is what a grant says of calls.
func (s *script) watched(d *datadriven.TestData) {
	v := &WatchedChanged{}
	for _, a := range d.CmdArgs {
		how := a.Vals[0]
		number, _ := strconv.Atoi(how[strings.LastIndex(how, "-")+1:])
		switch a.Key {
		case "term":
			v.Term = units.Term(number)
		case "noted":
			v.Noted = uint64(number)
		default:
			v.Calls = append(v.Calls, crash.WatchedCall{
				Call: crash.FingerprintOf(likeness(a.Key)), Quarantined: how != "suspect", Trial: number,
			})
		}
	}
	s.give(v)
}

// notes lists what the next request for a lease would carry of crashes.
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
	for _, f := range s.router.TakeRefused() {
		lines = append(lines, fmt.Sprintf("refused %.8s", f))
	}
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

// addQuarantine puts a call into quarantine: "quarantine CALL".
func (s *script) addQuarantine(t *table.Table, words []string) {
	t.Quarantines = append(t.Quarantines, table.Quarantine{Call: crash.FingerprintOf(likeness(words[0])), Since: t.Revision})
}

var canaryWords = map[CanaryKind]string{SuspectCalls: "suspect", ClearCall: "clear", AskCanary: "ask", SendCanary: "send"}

func describeCanary(m *CanaryMessage) string {
	var calls []string
	for _, f := range m.Calls {
		calls = append(calls, fmt.Sprintf("%.8s", f))
	}
	return fmt.Sprintf("%s %s", canaryWords[m.Kind], strings.Join(calls, " "))
}

// canary BOX kind=suspect|clear|ask|send like=CONTENT [call=NAME] is a message of another box; a suspect is another
// caller's.
func (s *script) canary(d *datadriven.TestData) {
	m := CanaryMessage{}
	for k, w := range canaryWords {
		if w == s.word(d, "kind") {
			m.Kind = k
		}
	}
	f := crash.FingerprintOf(likeness(s.word(d, "like"))).AnyCaller()
	if m.Kind == SuspectCalls {
		f.Caller = 2
	}
	m.Calls = []crash.Fingerprint{f}
	if d.HasArg("call") {
		m.Call = s.calls[s.word(d, "call")]
	}
	s.give(&PeerCanary{From: units.BoxID(d.CmdArgs[0].Key), Message: m})
}
