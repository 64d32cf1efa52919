package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// TableDivider derives from a table what each box holds of it. What doesn't depend on the box is computed
// only once.
type TableDivider struct {
	table    *Table
	services []*entryDivider
}

// entryDivider derives what each box holds of a service.
type entryDivider struct {
	entry  *Entry
	filter rowFilter
	// rows are sorted by target. domainIndexes holds, for each row, the index of its failure domain in
	// domains, or heldByAllBoxes.
	rows          []*Row
	domainIndexes []int
	domains       []units.Domain
}

// heldByAllBoxes replaces the domain index for rows that every box holds.
const heldByAllBoxes = -1

// Divider returns a divider of the table among the boxes.
func (t *Table) Divider() *TableDivider {
	d := &TableDivider{table: t}
	for _, n := range t.ServiceNames() {
		d.services = append(d.services, newEntryDivider(t, t.Services[n]))
	}
	return d
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

// domainIndexOf returns the index of a row's failure domain, adding it if needed. There are few domains, so
// a linear search is enough.
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

// For returns the table that a box holds.
func (d *TableDivider) For(b *Box) *Table {
	next := *d.table
	next.Services = make(map[units.ServiceName]*Entry, len(d.services))
	for _, x := range d.services {
		next.Services[x.entry.Service.Name] = x.forBox(b)
	}
	return &next
}

// forBox returns the entry that a box holds.
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

// DeltaDivider derives from the delta between two tables what each box is sent of it. What doesn't depend on
// the box is computed only once, so that the cost per box is proportional to the rows that changed or may be
// reassigned.
type DeltaDivider struct {
	delta   *Delta
	changed []*entryDivider
	patches []*patchDivider
}

// patchDivider derives what each box is sent of a service's patch.
type patchDivider struct {
	patch         *EntryPatch
	before, after rowFilter
	put           []changedRow
	removed       []*Row
	reassigned    []reassignedRows
}

// changedRow is a row before and after a change; before is nil for a new row.
type changedRow struct {
	before, after *Row
}

// reassignedRows are unchanged rows of a failure domain that may be held by different boxes than before.
type reassignedRows struct {
	domain units.Domain
	rows   []*Row
}

// Divider returns a divider among the boxes of the delta, which is the difference between the given tables.
func (d *Delta) Divider(from, to *Table) *DeltaDivider {
	divider := &DeltaDivider{delta: d}
	for _, e := range d.Changed {
		divider.changed = append(divider.changed, newEntryDivider(to, e))
	}
	for _, p := range d.Patched {
		divider.patches = append(divider.patches, newPatchDivider(p, from, to))
	}
	return divider
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

// sameForAllBoxes reports whether every box is sent the whole patch.
func (x *patchDivider) sameForAllBoxes() bool { return x.before.includesAll() && x.after.includesAll() }

// findReassigned collects the unchanged rows that may be held by different boxes than before.
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

// For returns the delta that a box is sent.
func (d *DeltaDivider) For(b *Box) *Delta {
	next := *d.delta
	next.Changed = make([]*Entry, 0, len(d.changed))
	for _, x := range d.changed {
		next.Changed = append(next.Changed, x.forBox(b))
	}
	next.Patched = nil
	for _, x := range d.patches {
		if part := x.forBox(b); part != nil {
			next.Patched = append(next.Patched, part)
		}
	}
	return &next
}

// forBox returns the patch that a box is sent, or nil if nothing changes for it.
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

// addReassigned adds to a box's patch the unchanged rows that the box begins or ceases to hold.
func (x *patchDivider) addReassigned(b *Box, group *reassignedRows, part *EntryPatch) {
	before, after := x.before.division.StepOf(b.Domain, group.domain), x.after.division.StepOf(b.Domain, group.domain)
	for _, r := range group.rows {
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
