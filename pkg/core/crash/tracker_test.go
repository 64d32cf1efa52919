package crash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/units"
)

// script drives a tracker that blames a call after three crashes in a row.
type script struct {
	t          *testing.T
	tracker    *Tracker
	texts      map[Fingerprint]string
	lastNumber uint64
}

var commands = map[string]func(s *script, d *datadriven.TestData) string{
	"crash":    (*script).crash,
	"answer":   (*script).answer,
	"judge":    (*script).judge,
	"suspects": (*script).suspects,
	"blamed":   (*script).blamed,
	"released": (*script).released,
	"kept":     (*script).kept,
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{t: t, tracker: NewTracker(3), texts: map[Fingerprint]string{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f := commands[d.Cmd]
			if f == nil {
				d.Fatalf(t, "there is no command %s", d.Cmd)
			}
			return f(s, d) + "\n"
		})
	})
}

// crash TARGET at=TIME [box=N] [note=N] with lines "CALL[/CALLER] SENT-BEFORE": a box reports a
// crash. A note with a number that was used before is a repeated note.
func (s *script) crash(d *datadriven.TestData) string {
	n := s.note(d)
	n.Service, n.Target = "s", units.TargetID(d.CmdArgs[0].Key)
	for _, line := range strings.Split(d.Input, "\n") {
		words := strings.Fields(line)
		before, err := time.ParseDuration(words[1])
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
		n.Suspects = append(n.Suspects, Suspect{Fingerprint: s.fingerprint(words[0]), SentBefore: before})
	}
	s.tracker.Record(n)
	return "taken"
}

// answer CALL[/CALLER] at=TIME: a box reports an answer to a call.
func (s *script) answer(d *datadriven.TestData) string {
	n := s.note(d)
	n.Suspects = []Suspect{{Fingerprint: s.fingerprint(d.CmdArgs[0].Key)}}
	s.tracker.Record(n)
	return "taken"
}

func (s *script) note(d *datadriven.TestData) Note {
	s.lastNumber++
	box := 1
	d.MaybeScanArgs(s.t, "box", &box)
	n := Note{Box: units.BoxID(fmt.Sprint(box)), Number: s.lastNumber, At: s.at(d)}
	d.MaybeScanArgs(s.t, "note", &n.Number)
	return n
}

func (s *script) at(d *datadriven.TestData) units.Instant {
	var text string
	d.ScanArgs(s.t, "at", &text)
	at, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return units.Instant(time.Hour).Add(at)
}

func (s *script) fingerprint(word string) Fingerprint {
	content, caller, _ := strings.Cut(word, "/")
	f := Fingerprint{Head: Digest([]byte(content)), Body: 1, Caller: Digest([]byte(caller))}
	s.texts[f] = word
	s.texts[f.AnyCaller()] = content + " of any caller"
	return f
}

// judge at=TIME lists the verdicts of Evaluate.
func (s *script) judge(d *datadriven.TestData) string {
	var lines []string
	for _, v := range s.tracker.Evaluate(s.at(d)) {
		doubt := ""
		if v.Doubtful {
			doubt = ", in doubt"
		}
		lines = append(lines, fmt.Sprintf("%s is to blame for %v%s", s.texts[v.Fingerprint], v.Targets, doubt))
	}
	if len(lines) == 0 {
		return fmt.Sprintf("nobody, undecided: %v", s.tracker.HasPendingVerdict())
	}
	return strings.Join(lines, "\n")
}

func (s *script) suspects(*datadriven.TestData) string {
	var words []string
	for _, f := range s.tracker.Suspects(2) {
		words = append(words, s.texts[f])
	}
	return strings.Join(words, ", ")
}

// blamed CALL[/CALLER] attributes crashes to a call that is known to be to blame.
func (s *script) blamed(d *datadriven.TestData) string {
	s.tracker.Attribute(s.fingerprint(d.CmdArgs[0].Key))
	return "known"
}

// released CALL[/CALLER] releases a call that was to blame.
func (s *script) released(d *datadriven.TestData) string {
	s.tracker.Release(s.fingerprint(d.CmdArgs[0].Key))
	return "known"
}

// kept prints the number of crashes that the tracker keeps.
func (s *script) kept(*datadriven.TestData) string { return fmt.Sprint(len(s.tracker.events)) }

func TestFingerprintsAreReadAsTheyAreWritten(t *testing.T) {
	f := Fingerprint{Head: 1, Body: Digest([]byte("body")), Caller: Digest()}
	if got, ok := ParseFingerprint(f.String()); !ok || got != f {
		t.Errorf("%s was read as %s", f, got)
	}
	for _, text := range []string{"", "1-2-3", f.String() + "0", strings.ToUpper(f.String())} {
		if got, ok := ParseFingerprint(text); ok {
			t.Errorf("%q was read as %s", text, got)
		}
	}
}

// Moving bytes from one part to the next gives another digest, although the concatenation is the same.
func TestPartsOfADigestDontRunTogether(t *testing.T) {
	if Digest([]byte("ab"), []byte("c")) == Digest([]byte("a"), []byte("bc")) {
		t.Error("two calls have one digest")
	}
}

// Measures the digest of a call's head, which is computed for each call while any call is quarantined.
func BenchmarkDigest(b *testing.B) {
	method, host, path := []byte("GET"), []byte("shop.example"), []byte("/orders/2026/10045?page=3&sort=new")
	for b.Loop() {
		Digest(method, host, path)
	}
}

// Measures Evaluate with 64 crashes of three suspects each.
func BenchmarkJudge(b *testing.B) {
	t := NewTracker(3)
	for i := range uint64(64) {
		at := units.Instant(i) * units.Instant(time.Second)
		t.Record(Note{Box: "b", Number: i, At: at, Target: units.TargetID(fmt.Sprint(i)), Suspects: []Suspect{
			{Fingerprint: Fingerprint{Head: i, Caller: 1}}, {Fingerprint: Fingerprint{Head: i / 2, Caller: 2}}, {Fingerprint: Fingerprint{Head: 1 << 32, Caller: i}},
		}})
	}
	now := units.Instant(64 * time.Second)
	t.threshold = 1 << 20
	for b.Loop() {
		t.Evaluate(now)
	}
}
