package table

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// newStateWithService returns a state with one service.
func newStateWithService() *State {
	s := NewState()
	s.ApplyDocument(&Document{Version: 1, Services: []Service{{Name: "s", Work: AtMostOnce, Deadline: time.Second}}})
	return s
}

func registration(id units.TargetID, address string, sequence uint64) *Registration {
	return &Registration{Target: id, Service: "s", Address: address, State: Active, Sequence: sequence, Slots: 2}
}

// rowTargets returns the targets of the service's rows.
func rowTargets(s *State) []units.TargetID {
	var ids []units.TargetID
	for r := range s.Table().Services["s"].Rows.All() {
		ids = append(ids, r.Target)
	}
	return ids
}

// A report that was delayed by a network partition may arrive after its target has crashed and another
// one has registered with the same address. It must not replace the new target.
func TestALateReportOfAnEarlierTargetChangesNothing(t *testing.T) {
	s := newStateWithService()
	s.ApplyRegistration(registration("old", "10.0.0.1:80", 1))
	s.ApplyRegistration(registration("new", "10.0.0.1:80", 1))
	late := registration("old", "10.0.0.1:80", 7)
	if s.IsUpdate(late) || s.ApplyRegistration(late) != nil {
		t.Error("the delayed report changed the table")
	}
	if ids := rowTargets(s); len(ids) != 1 || ids[0] != "new" {
		t.Errorf("the targets are %v", ids)
	}
}

// While a target is cold its remaining time decreases with each report, which must not change the
// table each time. It must change when the target becomes warm, or cold again.
func TestReportsOfAColdTargetAreNewsWhenItTurns(t *testing.T) {
	s := newStateWithService()
	report := func(sequence uint64, cold time.Duration) bool {
		r := registration("t", "10.0.0.1:80", sequence)
		r.Cold = cold
		return s.ApplyRegistration(r) != nil
	}
	steps := []struct {
		cold    time.Duration
		changes bool
	}{
		{3 * time.Second, true}, {1500 * time.Millisecond, false}, {0, true}, {0, false}, {3 * time.Second, true}, {0, true},
	}
	for i, x := range steps {
		if changed := report(uint64(i+1), x.cold); changed != x.changes {
			t.Errorf("report %d, cold for %s: the table changed: %t, want %t", i+1, x.cold, changed, x.changes)
		}
		if row := s.Table().Services["s"].Row("t"); x.changes && row.Cold != x.cold {
			t.Errorf("after report %d the row is %+v", i+1, row)
		}
	}
}

// newStateWithTargets returns a state with registered targets of one service.
func newStateWithTargets(targets int) *State {
	s := NewState()
	s.ApplyDocument(&Document{Version: 1, Services: []Service{{Name: "s", Work: Repeatable}}})
	for i := range targets {
		s.ApplyRegistration(registration(units.TargetID(fmt.Sprintf("t%05d", i)), fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), 1))
	}
	return s
}

// bytesAllocatedPerChange returns the mean number of bytes that a replica allocates to apply a target's
// changed state and to compute the delta for boxes.
func bytesAllocatedPerChange(targets int) uint64 {
	const changes = 200
	s := newStateWithTargets(targets)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		r := registration(units.TargetID(fmt.Sprintf("t%05d", i)), fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), 2)
		r.State = Leaving
		from := s.Table()
		s.ApplyRegistration(r)
		Difference(from, s.Table())
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / changes
}

// The cost of a target's change for a replica must not grow with the number of targets.
func TestAChangeCostsTheSameAmongManyTargets(t *testing.T) {
	const most = 2
	small, large := bytesAllocatedPerChange(1_000), bytesAllocatedPerChange(20_000)
	if large > most*small {
		t.Errorf("a change allocates %d bytes among 1,000 targets and %d among 20,000", small, large)
	}
}
