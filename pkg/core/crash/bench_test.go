package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// BenchmarkNote measures how a leader handles a note of a crash: record it, evaluate, and list the
// suspects, with maxEvents crashes of six suspects each.
func BenchmarkNote(b *testing.B) {
	t := NewTracker(CrashesToBlame)
	at := units.Instant(time.Second)
	nextNote := func(n uint64) Note {
		at = at.Add(2 * time.Second)
		x := Note{Box: "b1", Number: n, Service: "s", Target: units.TargetID(fmt.Sprintf("t%d", n%100)), At: at}
		for i := range uint64(6) {
			x.Suspects = append(x.Suspects, Suspect{Fingerprint: Fingerprint{Head: n*7 + i, Body: 1, Caller: 1}, SentBefore: time.Millisecond})
		}
		return x
	}
	for n := range uint64(maxEvents) {
		t.Record(nextNote(n))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range uint64(b.N) {
		t.Record(nextNote(maxEvents + n))
		t.Evaluate(at)
		t.HasPendingVerdict()
		t.Suspects(16)
	}
}
