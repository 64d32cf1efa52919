package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// TableParts tells boxes their parts of a table. What doesn't depend on the box is worked out once.
type TableParts struct {
	table    *Table
	services []*entryParts
}

// entryParts is a service before it is divided.
type entryParts struct {
	entry *Entry
	view  view
	// rows are in order, and places say where in domains the failure domain of each is; heldByAll
	// stands for rows that every box holds.
	rows    []*Row
	places  []int
	domains []units.Domain
}

// heldByAll is the place of rows that every box holds.
const heldByAll = -1

// Parts prepares what boxes are told of the table.
func (t *Table) Parts() *TableParts {
	p := &TableParts{table: t}
	for _, n := range t.ServiceNames() {
		p.services = append(p.services, newEntryParts(t, t.Services[n]))
	}
	return p
}

func newEntryParts(t *Table, e *Entry) *entryParts {
	x := &entryParts{entry: e, view: t.viewOf(e)}
	if x.view.whole() {
		return x
	}
	for r := range e.Rows.All() {
		x.rows = append(x.rows, r)
		x.places = append(x.places, x.placeOf(r))
	}
	return x
}

// placeOf returns the place of a row's failure domain, which there are few of.
func (x *entryParts) placeOf(r *Row) int {
	if x.view.everywhere(r) {
		return heldByAll
	}
	i := slices.Index(x.domains, r.Domain)
	if i < 0 {
		i = len(x.domains)
		x.domains = append(x.domains, r.Domain)
	}
	return i
}

// For returns what a box is told of the table.
func (p *TableParts) For(b *Box) *Table {
	next := *p.table
	next.Services = make(map[units.ServiceName]*Entry, len(p.services))
	for _, x := range p.services {
		next.Services[x.entry.Service.Name] = x.part(b)
	}
	return &next
}

// part returns what a box is told of the service.
func (x *entryParts) part(b *Box) *Entry {
	if x.view.whole() {
		return x.entry
	}
	steps := make([]scope.Step, len(x.domains))
	for i, d := range x.domains {
		steps[i] = x.view.division.StepOf(b.Domain, d)
	}
	var held []*Row
	for i, r := range x.rows {
		if place := x.places[i]; place == heldByAll || scope.RankOf(b.ID, r.Target).Holds(steps[place]) {
			held = append(held, r)
		}
	}
	return &Entry{Service: x.entry.Service, Version: x.entry.Version, Division: x.entry.Division, Rows: sortedRows(held)}
}

// DeltaParts tells boxes their parts of the change that leads from one table to another. What doesn't
// depend on the box is worked out once, so that a box costs time in proportion to the rows that changed or
// may have moved.
type DeltaParts struct {
	delta   *Delta
	changed []*entryParts
	patches []*patchParts
}

// patchParts is a service's patch before it is divided.
type patchParts struct {
	patch         *EntryPatch
	before, after view
	put           []changedRow
	removed       []*Row
	moved         []movedRows
}

// changedRow is a row before and after a change; before is nil for a new one.
type changedRow struct {
	before, after *Row
}

// movedRows are the rows of a failure domain that didn't change and may be told to other boxes.
type movedRows struct {
	domain units.Domain
	rows   []*Row
}

// Parts prepares what boxes are told of a change, which leads from one table to another.
func (d *Delta) Parts(from, to *Table) *DeltaParts {
	parts := &DeltaParts{delta: d}
	for _, e := range d.Changed {
		parts.changed = append(parts.changed, newEntryParts(to, e))
	}
	for _, p := range d.Patched {
		parts.patches = append(parts.patches, newPatchParts(p, from, to))
	}
	return parts
}

func newPatchParts(p *EntryPatch, from, to *Table) *patchParts {
	old, next := from.Services[p.Service], to.Services[p.Service]
	x := &patchParts{patch: p, before: from.viewOf(old), after: to.viewOf(next)}
	if x.whole() {
		return x
	}
	for i := range p.Put {
		x.put = append(x.put, changedRow{before: old.Row(p.Put[i].Target), after: &p.Put[i]})
	}
	for _, id := range p.Removed {
		if r := old.Row(id); r != nil {
			x.removed = append(x.removed, r)
		}
	}
	if !x.before.equal(&x.after) {
		x.findMoved(next)
	}
	return x
}

// whole tells whether every box is told all of the patch.
func (x *patchParts) whole() bool { return x.before.whole() && x.after.whole() }

// findMoved collects the rows that boxes may hold differently from before although they are the same.
func (x *patchParts) findMoved(next *Entry) {
	changed := make(map[units.TargetID]bool, len(x.put))
	for _, c := range x.put {
		changed[c.after.Target] = true
	}
	places := map[units.Domain]int{}
	for r := range next.Rows.All() {
		if changed[r.Target] || !x.mayMove(r) {
			continue
		}
		place, found := places[r.Domain]
		if !found {
			place = len(x.moved)
			places[r.Domain] = place
			x.moved = append(x.moved, movedRows{domain: r.Domain})
		}
		x.moved[place].rows = append(x.moved[place].rows, r)
	}
}

func (x *patchParts) mayMove(r *Row) bool {
	return x.before.everywhere(r) != x.after.everywhere(r) || x.before.division.Step(r.Domain) != x.after.division.Step(r.Domain)
}

// For returns what a box is told of the change.
func (p *DeltaParts) For(b *Box) *Delta {
	next := *p.delta
	next.Changed = make([]*Entry, 0, len(p.changed))
	for _, x := range p.changed {
		next.Changed = append(next.Changed, x.part(b))
	}
	next.Patched = nil
	for _, x := range p.patches {
		if part := x.part(b); part != nil {
			next.Patched = append(next.Patched, part)
		}
	}
	return &next
}

// part returns what a box is told of the patch, or nil for nothing.
func (x *patchParts) part(b *Box) *EntryPatch {
	p := x.patch
	if x.whole() {
		return p
	}
	part := &EntryPatch{Service: p.Service, Version: p.Version, Division: p.Division, Redivided: p.Redivided}
	for _, c := range x.put {
		switch {
		case x.after.shows(b, c.after):
			part.Put = append(part.Put, *c.after)
		case c.before != nil && x.before.shows(b, c.before):
			part.Removed = append(part.Removed, c.before.Target)
		}
	}
	for _, r := range x.removed {
		if x.before.shows(b, r) {
			part.Removed = append(part.Removed, r.Target)
		}
	}
	for i := range x.moved {
		x.addMoved(b, &x.moved[i], part)
	}
	if len(part.Put)+len(part.Removed) == 0 && !p.Redivided {
		return nil
	}
	return part
}

// addMoved adds to a box's part the rows that it holds from now on, or no longer.
func (x *patchParts) addMoved(b *Box, m *movedRows, part *EntryPatch) {
	before, after := x.before.division.StepOf(b.Domain, m.domain), x.after.division.StepOf(b.Domain, m.domain)
	for _, r := range m.rows {
		rank := scope.RankOf(b.ID, r.Target)
		heldBefore := x.before.everywhere(r) || rank.Holds(before)
		heldNow := x.after.everywhere(r) || rank.Holds(after)
		switch {
		case heldNow && !heldBefore:
			part.Put = append(part.Put, *r)
		case heldBefore && !heldNow:
			part.Removed = append(part.Removed, r.Target)
		}
	}
}
