package table

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// newRegistrations returns a state with one service.
func newRegistrations() *State {
	s := NewState()
	s.ApplyDocument(&Document{Version: 1, Services: []Service{{Name: "s", Work: Once, Deadline: time.Second}}})
	return s
}

func registration(id units.TargetID, address string, sequence uint64) *Registration {
	return &Registration{Target: id, Service: "s", Address: address, State: Active, Sequence: sequence, Slots: 2}
}

// rowsOf are the targets of the service's rows.
func rowsOf(s *State) []units.TargetID {
	var ids []units.TargetID
	for _, r := range s.Table().Services["s"].Rows {
		ids = append(ids, r.Target)
	}
	return ids
}

// A report that a cut held up may arrive after its target has crashed and the next one has
// registered at the same address.
func TestALateReportOfAnEarlierTargetChangesNothing(t *testing.T) {
	s := newRegistrations()
	s.ApplyRegistration(registration("old", "10.0.0.1:80", 1))
	s.ApplyRegistration(registration("new", "10.0.0.1:80", 1))
	late := registration("old", "10.0.0.1:80", 7)
	if s.Fresh(late) || s.ApplyRegistration(late) != nil {
		t.Error("the late report changed the table")
	}
	if ids := rowsOf(s); len(ids) != 1 || ids[0] != "new" {
		t.Errorf("the targets are %v", ids)
	}
}

// While a target is cold the time left falls with each report; that is no news. That it is
// warm, or cold again, is.
func TestReportsOfAColdTargetAreNewsWhenItTurns(t *testing.T) {
	s := newRegistrations()
	report := func(sequence uint64, cold time.Duration) bool {
		r := registration("t", "10.0.0.1:80", sequence)
		r.Cold = cold
		return s.ApplyRegistration(r) != nil
	}
	steps := []struct {
		cold time.Duration
		news bool
	}{
		{3 * time.Second, true}, {1500 * time.Millisecond, false}, {0, true}, {0, false}, {3 * time.Second, true}, {0, true},
	}
	for i, x := range steps {
		if got := report(uint64(i+1), x.cold); got != x.news {
			t.Errorf("report %d, cold for %s: news is %t, want %t", i+1, x.cold, got, x.news)
		}
		if x.news && s.Table().Services["s"].Rows[0].Cold != x.cold {
			t.Errorf("after report %d the row is %+v", i+1, s.Table().Services["s"].Rows[0])
		}
	}
}
