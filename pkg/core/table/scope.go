package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// Boxes are sent the rows of large services in part. The table says how each service is divided; what a
// box is sent of a table, or of a change, follows from that and from who the box is.

// rescope works out how the services of a delta are divided, and adds those that are divided
// otherwise because boxes came or went.
func (s *State) rescope(d *Delta) {
	if !d.Boxes.Empty() {
		s.boxes = CountBoxes(patchBoxes(s.table.Boxes, d.Boxes))
		s.rescopeOthers(d)
	}
	for _, e := range d.Changed {
		var before scope.Division
		if old := s.table.Services[e.Service.Name]; old != nil {
			before = old.Division
		}
		e.Division = scope.NextDivision(before, e.Rows.registered, s.boxes)
	}
}

// rescopeOthers adds to a delta the services that a change of the list of boxes divides otherwise.
func (s *State) rescopeOthers(d *Delta) {
	for _, n := range s.table.ServiceNames() {
		e := s.table.Services[n]
		changed := slices.ContainsFunc(d.Changed, func(x *Entry) bool { return x.Service.Name == n })
		if changed || slices.Equal(e.Division, scope.NextDivision(e.Division, e.Rows.registered, s.boxes)) {
			continue
		}
		next := *e
		next.Version = units.Version(d.Revision)
		d.Changed = append(d.Changed, &next)
	}
}

// CountBoxes counts the boxes of each failure domain.
func CountBoxes(boxes []Box) scope.BoxCounts {
	counts := scope.BoxCounts{}
	for _, b := range boxes {
		counts[b.Domain]++
	}
	return counts
}

// view decides which rows of a service a box holds.
type view struct {
	division scope.Division
	// trial is the version that a rollout tries: its targets are few and every box sends them calls.
	trial units.SoftwareVersion
}

func (t *Table) viewOf(e *Entry) view {
	v := view{division: e.Division}
	if x := t.Rollout(e.Service.Name); x != nil && x.Active() {
		v.trial = x.To
	}
	return v
}

func (v *view) equal(o *view) bool {
	return slices.Equal(v.division, o.division) && (v.trial == o.trial || v.whole())
}

// whole tells whether every box holds all rows.
func (v *view) whole() bool { return len(v.division) == 0 }

// shows tells whether a box holds a row.
func (v *view) shows(b *Box, r *Row) bool {
	if v.everywhere(r) {
		return true
	}
	return scope.RankOf(b.ID, r.Target).Holds(v.division.StepOf(b.Domain, r.Domain))
}

// everywhere tells whether every box holds a row whatever the division.
func (v *view) everywhere(r *Row) bool {
	return !r.Registered || v.trial != "" && r.Software == v.trial
}

// Divided tells whether boxes are told of different parts of the table.
func (t *Table) Divided() bool {
	for _, e := range t.Services {
		if len(e.Division) > 0 {
			return true
		}
	}
	return false
}

// Divided tells whether boxes are told of different parts of the change, which leads to the given
// table.
func (d *Delta) Divided(to *Table) bool {
	for _, e := range d.Changed {
		if len(e.Division) > 0 {
			return true
		}
	}
	return slices.ContainsFunc(d.Patched, func(p *EntryPatch) bool { return p.Redivided || len(to.Services[p.Service].Division) > 0 })
}

// Empty tells whether the delta changes nothing but the revision.
func (d *Delta) Empty() bool {
	return len(d.Changed)+len(d.Patched)+len(d.Removed) == 0 && d.Boxes.Empty() && d.Document == 0 &&
		len(d.Evacuations)+len(d.Rollouts)+len(d.InForce)+len(d.Quarantines)+len(d.Released) == 0
}
