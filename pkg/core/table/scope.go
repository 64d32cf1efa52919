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
		e.Division = scope.Next(before, e.Rows.registered, s.boxes)
	}
}

// rescopeOthers adds to a delta the services that a change of the list of boxes divides otherwise.
func (s *State) rescopeOthers(d *Delta) {
	for _, n := range s.table.ServiceNames() {
		e := s.table.Services[n]
		changed := slices.ContainsFunc(d.Changed, func(x *Entry) bool { return x.Service.Name == n })
		if changed || slices.Equal(e.Division, scope.Next(e.Division, e.Rows.registered, s.boxes)) {
			continue
		}
		next := *e
		next.Version = units.Version(d.Revision)
		d.Changed = append(d.Changed, &next)
	}
}

// CountBoxes counts the boxes of each failure domain.
func CountBoxes(boxes []Box) scope.Boxes {
	counts := scope.Boxes{}
	for _, b := range boxes {
		counts[b.Domain]++
	}
	return counts
}

// view decides which rows of a service a box holds.
type view struct {
	division scope.Division
	// trial is the version that a rollout tries: its targets are few and every box sends them calls.
	trial units.Software
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
	if !r.Registered || v.trial != "" && r.Software == v.trial {
		return true
	}
	return scope.Holds(b.ID, r.Target, v.division.StepOf(b.Domain, r.Domain))
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

// For returns what a box is told of the table.
func (t *Table) For(b *Box) *Table {
	next := *t
	next.Services = make(map[units.ServiceName]*Entry, len(t.Services))
	for n, e := range t.Services {
		next.Services[n] = t.entryFor(b, e)
	}
	return &next
}

func (t *Table) entryFor(b *Box, e *Entry) *Entry {
	v := t.viewOf(e)
	if v.whole() {
		return e
	}
	part := &Entry{Service: e.Service, Version: e.Version, Division: e.Division}
	for r := range e.Rows.All() {
		if v.shows(b, r) {
			part.Rows = part.Rows.With(*r)
		}
	}
	return part
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

// For returns what a box is told of the change, which leads from one table to another.
func (d *Delta) For(b *Box, from, to *Table) *Delta {
	next := *d
	next.Changed = make([]*Entry, 0, len(d.Changed))
	for _, e := range d.Changed {
		next.Changed = append(next.Changed, to.entryFor(b, e))
	}
	next.Patched = nil
	for _, p := range d.Patched {
		if part := p.part(b, from, to); part != nil {
			next.Patched = append(next.Patched, part)
		}
	}
	return &next
}

// part returns what a box is told of the patch, or nil for nothing.
func (p *EntryPatch) part(b *Box, from, to *Table) *EntryPatch {
	old, next := from.Services[p.Service], to.Services[p.Service]
	before, after := from.viewOf(old), to.viewOf(next)
	if before.whole() && after.whole() {
		return p
	}
	part := &EntryPatch{Service: p.Service, Version: p.Version, Division: p.Division, Redivided: p.Redivided}
	held := func(id units.TargetID) bool {
		r := old.Row(id)
		return r != nil && before.shows(b, r)
	}
	if !before.equal(&after) {
		part.addRedivided(b, old, next, &before, &after)
	} else {
		for i := range p.Put {
			switch r := &p.Put[i]; {
			case after.shows(b, r):
				part.Put = append(part.Put, *r)
			case held(r.Target):
				part.Removed = append(part.Removed, r.Target)
			}
		}
	}
	for _, id := range p.Removed {
		if held(id) {
			part.Removed = append(part.Removed, id)
		}
	}
	if len(part.Put)+len(part.Removed) == 0 && !p.Redivided {
		return nil
	}
	return part
}

// addRedivided adds to a box's part of a patch the rows that it holds differently from before, by another
// division or in another state.
func (p *EntryPatch) addRedivided(b *Box, old, next *Entry, before, after *view) {
	for r := range next.Rows.All() {
		o := old.Row(r.Target)
		heldBefore := o != nil && before.shows(b, o)
		switch heldNow := after.shows(b, r); {
		case heldNow && (!heldBefore || *o != *r):
			p.Put = append(p.Put, *r)
		case heldBefore && !heldNow:
			p.Removed = append(p.Removed, r.Target)
		}
	}
}

// Empty tells whether the delta changes nothing but the revision.
func (d *Delta) Empty() bool {
	return len(d.Changed)+len(d.Patched)+len(d.Removed) == 0 && d.Boxes.Empty() && d.Document == 0 &&
		len(d.Evacuations)+len(d.Rollouts)+len(d.InForce)+len(d.Quarantines)+len(d.Released) == 0
}
