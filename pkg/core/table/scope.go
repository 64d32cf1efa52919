package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// Of a large service, each box is sent only some of the rows. The table holds the division of each service;
// what a box is sent of a table or of a delta depends only on that and on the box's id and failure domain.

// updateDivisions computes the divisions of the changed services in a delta, and adds to it the services whose
// division changes because boxes joined or left.
func (s *State) updateDivisions(d *Delta) {
	if !d.Boxes.Empty() {
		s.boxes = CountBoxes(patchBoxes(s.table.Boxes, d.Boxes))
		s.updateOtherDivisions(d)
	}
	for _, e := range d.Changed {
		var before scope.Division
		if old := s.table.Services[e.Service.Name]; old != nil {
			before = old.Division
		}
		e.Division = scope.NextDivision(before, e.Rows.registered, s.boxes)
	}
}

// updateOtherDivisions adds to a delta the services that aren't in it yet and whose division changes with the
// list of boxes.
func (s *State) updateOtherDivisions(d *Delta) {
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

// CountBoxes returns the number of boxes in each failure domain.
func CountBoxes(boxes []Box) scope.BoxCounts {
	counts := scope.BoxCounts{}
	for _, b := range boxes {
		counts[b.Domain]++
	}
	return counts
}

// rowFilter determines which rows of a service a box holds.
type rowFilter struct {
	division scope.Division
	// trial is the new version of a rollout in progress, or empty. Every box holds its targets, since they
	// are few and every box sends them calls.
	trial units.SoftwareVersion
}

func (t *Table) rowFilterOf(e *Entry) rowFilter {
	f := rowFilter{division: e.Division}
	if x := t.Rollout(e.Service.Name); x != nil && x.Active() {
		f.trial = x.To
	}
	return f
}

func (f *rowFilter) equal(o *rowFilter) bool {
	return slices.Equal(f.division, o.division) && (f.trial == o.trial || f.includesAll())
}

// includesAll reports whether every box holds all rows.
func (f *rowFilter) includesAll() bool { return len(f.division) == 0 }

// includes reports whether a box holds a row.
func (f *rowFilter) includes(b *Box, r *Row) bool {
	if f.everyBoxHolds(r) {
		return true
	}
	return scope.RankOf(b.ID, r.Target).Holds(f.division.StepOf(b.Domain, r.Domain))
}

// everyBoxHolds reports whether every box holds a row, whatever the division.
func (f *rowFilter) everyBoxHolds(r *Row) bool {
	return !r.Registered || f.trial != "" && r.Software == f.trial
}

// Divided reports whether boxes hold different parts of the table.
func (t *Table) Divided() bool {
	for _, e := range t.Services {
		if len(e.Division) > 0 {
			return true
		}
	}
	return false
}

// Divided reports whether boxes are sent different parts of the delta, which leads to the given table.
func (d *Delta) Divided(to *Table) bool {
	for _, e := range d.Changed {
		if len(e.Division) > 0 {
			return true
		}
	}
	return slices.ContainsFunc(d.Patched, func(p *EntryPatch) bool { return p.Redivided || len(to.Services[p.Service].Division) > 0 })
}

// Empty reports whether the delta changes nothing but the revision.
func (d *Delta) Empty() bool {
	return len(d.Changed)+len(d.Patched)+len(d.Removed) == 0 && d.Boxes.Empty() && d.Document == 0 &&
		len(d.Evacuations)+len(d.Rollouts)+len(d.InForce)+len(d.Quarantines)+len(d.Released) == 0
}
