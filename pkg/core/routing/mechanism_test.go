package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestUnknownMechanismsAreRefused(t *testing.T) {
	now := units.Instant(time.Second)
	if _, err := NewRouter(Settings{Box: "me", Disable: Mechanisms}, now); err != nil {
		t.Errorf("all known mechanisms: %v", err)
	}
	if _, err := NewRouter(Settings{Box: "me", Disable: []Mechanism{"hedgin"}}, now); fault.KindOf(err) != fault.Invalid {
		t.Errorf("an unknown one: %v", err)
	}
}

// With the CrashSuspects mechanism off, a box doesn't enforce quarantines either.
func TestQuarantinesCanBeSwitchedOff(t *testing.T) {
	for _, off := range [][]Mechanism{nil, {CrashSuspects}} {
		r, now := newBenchRouter(t, 1, 2, 0, off...)
		var e Effects
		next := *r.table
		next.Revision++
		next.Quarantines = []table.Quarantine{{Call: crash.FingerprintOf(wordIdentity("red"))}}
		r.Reduce(now, &TableChanged{Table: &next}, &e)
		e.Reset()
		r.Reduce(now, &CallArrived{Host: []byte("s0"), Path: []byte("/"), Identity: wordIdentity("red")}, &e)
		if refused := e.List[0].Kind == Refuse; refused == (len(off) > 0) {
			t.Errorf("without %v the call is refused: %t", off, refused)
		}
	}
}
