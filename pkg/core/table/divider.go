package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// TableDivider tells boxes their parts of a table. What doesn't depend on the box is worked out once.
type TableDivider struct {
	table    *Table
	services []*entryDivider
}

// entryDivider is a service before it is divided.
type entryDivider struct {
	entry  *Entry
	filter rowFilter
	// rows are in order, and places say where in domains the failure domain of each is; heldByAll
	// stands for rows that every box holds.
	rows          []*Row
	domainIndexes []int
	domains       []units.Domain
}

// heldByAllBoxes is the place of rows that every box holds.
const heldByAllBoxes = -1

// Divider prepares what boxes are told of the table.
func (t *Table) Divider() *TableDivider {
	p := &TableDivider{table: t}
	for _, n := range t.ServiceNames() {
		p.services = append(p.services, newEntryDivider(t, t.Services[n]))
	}
	return p
}

func newEntryDivider(t *Table, e *Entry) *entryDivider {
	x := &entryDivider{entry: e, filter: t.rowFilterOf(e)}
	if x.filter.includesAll() {
		return x
	}
	for r := range e.Rows.All() {
		x.rows = append(x.rows, r)
		x.domainIndexes = append(x.domainIndexes, x.domainIndexOf(r))
	}
	return x
}

// domainIndexOf returns the place of a row's failure domain, which there are few of.
func (x *entryDivider) domainIndexOf(r *Row) int {
	if x.filter.everyBoxHolds(r) {
		return heldByAllBoxes
	}
	i := slices.Index(x.domains, r.Domain)
	if i < 0 {
		i = len(x.domains)
		x.domains = append(x.domains, r.Domain)
	}
	return i
}

// For returns what a box is told of the table.
func (p *TableDivider) For(b *Box) *Table {
	next := *p.table
	next.Services = make(map[units.ServiceName]*Entry, len(p.services))
	for _, x := range p.services {
		next.Services[x.entry.Service.Name] = x.forBox(b)
	}
	return &next
}

// forBox returns what a box is told of the service.
func (x *entryDivider) forBox(b *Box) *Entry {
	if x.filter.includesAll() {
		return x.entry
	}
	steps := make([]scope.Step, len(x.domains))
	for i, d := range x.domains {
		steps[i] = x.filter.division.StepOf(b.Domain, d)
	}
	var held []*Row
	for i, r := range x.rows {
		if index := x.domainIndexes[i]; index == heldByAllBoxes || scope.RankOf(b.ID, r.Target).Holds(steps[index]) {
			held = append(held, r)
		}
	}
	return &Entry{Service: x.entry.Service, Version: x.entry.Version, Division: x.entry.Division, Rows: sortedRows(held)}
}

// DeltaDivider tells boxes their parts of the change that leads from one table to another. What doesn't
// depend on the box is worked out once, so that a box costs time in proportion to the rows that changed or
// may have moved.
type DeltaDivider struct {
	delta   *Delta
	changed []*entryDivider
	patches []*patchDivider
}

// patchDivider is a service's patch before it is divided.
type patchDivider struct {
	patch         *EntryPatch
	before, after rowFilter
	put           []changedRow
	removed       []*Row
	reassigned    []reassignedRows
}

// changedRow is a row before and after a change; before is nil for a new one.
type changedRow struct {
	before, after *Row
}

// reassignedRows are the rows of a failure domain that didn't change and may be told to other boxes.
type reassignedRows struct {
	domain units.Domain
	rows   []*Row
}

// Divider prepares what boxes are told of a change, which leads from one table to another.
func (d *Delta) Divider(from, to *Table) *DeltaDivider {
	parts := &DeltaDivider{delta: d}
	for _, e := range d.Changed {
		parts.changed = append(parts.changed, newEntryDivider(to, e))
	}
	for _, p := range d.Patched {
		parts.patches = append(parts.patches, newPatchDivider(p, from, to))
	}
	return parts
}

func newPatchDivider(p *EntryPatch, from, to *Table) *patchDivider {
	old, next := from.Services[p.Service], to.Services[p.Service]
	x := &patchDivider{patch: p, before: from.rowFilterOf(old), after: to.rowFilterOf(next)}
	if x.sameForAllBoxes() {
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
		x.findReassigned(next)
	}
	return x
}

// sameForAllBoxes tells whether every box is told all of the patch.
func (x *patchDivider) sameForAllBoxes() bool { return x.before.includesAll() && x.after.includesAll() }

// findReassigned collects the rows that boxes may hold differently from before although they are the same.
func (x *patchDivider) findReassigned(next *Entry) {
	changed := make(map[units.TargetID]bool, len(x.put))
	for _, c := range x.put {
		changed[c.after.Target] = true
	}
	groups := map[units.Domain]int{}
	for r := range next.Rows.All() {
		if changed[r.Target] || !x.mayBeReassigned(r) {
			continue
		}
		group, found := groups[r.Domain]
		if !found {
			group = len(x.reassigned)
			groups[r.Domain] = group
			x.reassigned = append(x.reassigned, reassignedRows{domain: r.Domain})
		}
		x.reassigned[group].rows = append(x.reassigned[group].rows, r)
	}
}

func (x *patchDivider) mayBeReassigned(r *Row) bool {
	return x.before.everyBoxHolds(r) != x.after.everyBoxHolds(r) || x.before.division.Step(r.Domain) != x.after.division.Step(r.Domain)
}

// For returns what a box is told of the change.
func (p *DeltaDivider) For(b *Box) *Delta {
	next := *p.delta
	next.Changed = make([]*Entry, 0, len(p.changed))
	for _, x := range p.changed {
		next.Changed = append(next.Changed, x.forBox(b))
	}
	next.Patched = nil
	for _, x := range p.patches {
		if part := x.forBox(b); part != nil {
			next.Patched = append(next.Patched, part)
		}
	}
	return &next
}

// forBox returns what a box is told of the patch, or nil for nothing.
func (x *patchDivider) forBox(b *Box) *EntryPatch {
	p := x.patch
	if x.sameForAllBoxes() {
		return p
	}
	part := &EntryPatch{Service: p.Service, Version: p.Version, Division: p.Division, Redivided: p.Redivided}
	for _, c := range x.put {
		switch {
		case x.after.includes(b, c.after):
			part.Put = append(part.Put, *c.after)
		case c.before != nil && x.before.includes(b, c.before):
			part.Removed = append(part.Removed, c.before.Target)
		}
	}
	for _, r := range x.removed {
		if x.before.includes(b, r) {
			part.Removed = append(part.Removed, r.Target)
		}
	}
	for i := range x.reassigned {
		x.addReassigned(b, &x.reassigned[i], part)
	}
	if len(part.Put)+len(part.Removed) == 0 && !p.Redivided {
		return nil
	}
	return part
}

// addReassigned adds to a box's part the rows that it holds from now on, or no longer.
func (x *patchDivider) addReassigned(b *Box, m *reassignedRows, part *EntryPatch) {
	before, after := x.before.division.StepOf(b.Domain, m.domain), x.after.division.StepOf(b.Domain, m.domain)
	for _, r := range m.rows {
		rank := scope.RankOf(b.ID, r.Target)
		heldBefore := x.before.everyBoxHolds(r) || rank.Holds(before)
		heldNow := x.after.everyBoxHolds(r) || rank.Holds(after)
		switch {
		case heldNow && !heldBefore:
			part.Put = append(part.Put, *r)
		case heldBefore && !heldNow:
			part.Removed = append(part.Removed, r.Target)
		}
	}
}
