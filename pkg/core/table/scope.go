package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// Boxes are sent the rows of large services in part. The table says how each service is divided; what a
// box is sent of a table, or of a change, follows from that and from who the box is.

// updateDivisions works out how the services of a delta are divided, and adds those that are divided
// otherwise because boxes came or went.
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

// updateOtherDivisions adds to a delta the services that a change of the list of boxes divides otherwise.
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

// CountBoxes counts the boxes of each failure domain.
func CountBoxes(boxes []Box) scope.BoxCounts {
	counts := scope.BoxCounts{}
	for _, b := range boxes {
		counts[b.Domain]++
	}
	return counts
}

// rowFilter decides which rows of a service a box holds.
type rowFilter struct {
	division scope.Division
	// trial is the version that a rollout tries: its targets are few and every box sends them calls.
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

// includesAll tells whether every box holds all rows.
func (f *rowFilter) includesAll() bool { return len(f.division) == 0 }

// includes tells whether a box holds a row.
func (f *rowFilter) includes(b *Box, r *Row) bool {
	if f.everyBoxHolds(r) {
		return true
	}
	return scope.RankOf(b.ID, r.Target).Holds(f.division.StepOf(b.Domain, r.Domain))
}

// everyBoxHolds tells whether every box holds a row whatever the division.
func (f *rowFilter) everyBoxHolds(r *Row) bool {
	return !r.Registered || f.trial != "" && r.Software == f.trial
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
