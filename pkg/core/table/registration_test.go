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

// rowTargets are the targets of the service's rows.
func rowTargets(s *State) []units.TargetID {
	var ids []units.TargetID
	for r := range s.Table().Services["s"].Rows.All() {
		ids = append(ids, r.Target)
	}
	return ids
}

// A report that a cut held up may arrive after its target has crashed and the next one has
// registered at the same address.
func TestALateReportOfAnEarlierTargetChangesNothing(t *testing.T) {
	s := newStateWithService()
	s.ApplyRegistration(registration("old", "10.0.0.1:80", 1))
	s.ApplyRegistration(registration("new", "10.0.0.1:80", 1))
	late := registration("old", "10.0.0.1:80", 7)
	if s.IsUpdate(late) || s.ApplyRegistration(late) != nil {
		t.Error("the late report changed the table")
	}
	if ids := rowTargets(s); len(ids) != 1 || ids[0] != "new" {
		t.Errorf("the targets are %v", ids)
	}
}

// While a target is cold the time left falls with each report; that is no news. That it is
// warm, or cold again, is.
func TestReportsOfAColdTargetAreNewsWhenItTurns(t *testing.T) {
	s := newStateWithService()
	report := func(sequence uint64, cold time.Duration) bool {
		r := registration("t", "10.0.0.1:80", sequence)
		r.ColdRemaining = cold
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
			t.Errorf("report %d, cold for %s: news is %t, want %t", i+1, x.cold, changed, x.changes)
		}
		if row := s.Table().Services["s"].Row("t"); x.changes && row.ColdRemaining != x.cold {
			t.Errorf("after report %d the row is %+v", i+1, row)
		}
	}
}

// newStateWithTargets is a state with targets of one service.
func newStateWithTargets(targets int) *State {
	s := NewState()
	s.ApplyDocument(&Document{Version: 1, Services: []Service{{Name: "s", Work: Repeatable}}})
	for i := range targets {
		s.ApplyRegistration(registration(units.TargetID(fmt.Sprintf("t%05d", i)), fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), 1))
	}
	return s
}

// bytesAllocatedPerChange is what a replica allocates for one target's changed state and its patch.
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

// What a target's change costs a replica mustn't grow with the targets that there are.
func TestAChangeCostsTheSameAmongManyTargets(t *testing.T) {
	const most = 2
	small, large := bytesAllocatedPerChange(1_000), bytesAllocatedPerChange(20_000)
	if large > most*small {
		t.Errorf("a change allocates %d bytes among 1,000 targets and %d among 20,000", small, large)
	}
}
