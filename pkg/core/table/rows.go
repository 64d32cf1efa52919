package table

import (
	"cmp"
	"encoding/json"
	"iter"
	"maps"
	"slices"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// Rows are the rows of a service, sorted by target. They never change: With and Without return other
// rows, at a cost that hardly grows with how many there are. Neither do the rows that they hand out.
type Rows struct {
	byTarget container.SortedMap[units.TargetID, *Row]
	// registered counts the registered rows of each failure domain, in order.
	registered []scope.DomainCount
}

// RowsOf returns the given rows; of two rows of a target the later one counts.
func RowsOf(list ...Row) Rows {
	sorted := make([]*Row, 0, len(list))
	for _, r := range list {
		sorted = append(sorted, &r)
	}
	slices.SortStableFunc(sorted, func(a, b *Row) int { return cmp.Compare(a.Target, b.Target) })
	kept := sorted[:0]
	for _, r := range sorted {
		if n := len(kept); n > 0 && kept[n-1].Target == r.Target {
			kept[n-1] = r
			continue
		}
		kept = append(kept, r)
	}
	return sortedRows(kept)
}

// sortedRows returns the given rows, which are in order.
func sortedRows(list []*Row) Rows {
	targets := make([]units.TargetID, len(list))
	for i, r := range list {
		targets[i] = r.Target
	}
	return Rows{byTarget: container.SortedMapOf(targets, list), registered: countRegistered(list)}
}

// countRegistered counts the registered rows of each failure domain.
func countRegistered(list []*Row) []scope.DomainCount {
	counts := map[units.Domain]int{}
	for _, r := range list {
		if r.Registered {
			counts[r.Domain]++
		}
	}
	var registered []scope.DomainCount
	for _, d := range slices.Sorted(maps.Keys(counts)) {
		registered = append(registered, scope.DomainCount{Domain: d, N: counts[d]})
	}
	return registered
}

// Len returns how many rows there are.
func (r Rows) Len() int { return r.byTarget.Len() }

// Get returns the row of a target, or nil.
func (r Rows) Get(target units.TargetID) *Row {
	row, _ := r.byTarget.Get(target)
	return row
}

// All returns the rows in order.
func (r Rows) All() iter.Seq[*Row] { return r.byTarget.Values() }

// List returns a copy of the rows, in order.
func (r Rows) List() []Row {
	list := make([]Row, 0, r.Len())
	for row := range r.All() {
		list = append(list, *row)
	}
	return list
}

// With returns the rows with one in place of its target's.
func (r Rows) With(row Row) Rows {
	next := Rows{byTarget: r.byTarget.Put(row.Target, &row), registered: r.registered}
	old := r.Get(row.Target)
	if old != nil && old.Registered == row.Registered && old.Domain == row.Domain {
		return next
	}
	next.adjustRegistered(old, -1)
	next.adjustRegistered(&row, 1)
	return next
}

// Without returns the rows without a target's.
func (r Rows) Without(target units.TargetID) Rows {
	next := Rows{byTarget: r.byTarget.Delete(target), registered: r.registered}
	next.adjustRegistered(r.Get(target), -1)
	return next
}

// adjustRegistered counts a row in or out, in a list of its own.
func (r *Rows) adjustRegistered(row *Row, n int) {
	if row == nil || !row.Registered {
		return
	}
	i, found := slices.BinarySearchFunc(r.registered, row.Domain, func(c scope.DomainCount, d units.Domain) int { return cmp.Compare(c.Domain, d) })
	r.registered = slices.Clone(r.registered)
	if !found {
		r.registered = slices.Insert(r.registered, i, scope.DomainCount{Domain: row.Domain})
	}
	r.registered[i].N += n
	if r.registered[i].N == 0 {
		r.registered = slices.Delete(r.registered, i, i+1)
	}
}

// operatorRows returns a copy of the rows that operators operatorRows, in order.
func (r Rows) operatorRows() []Row {
	return slices.DeleteFunc(r.List(), func(row Row) bool { return row.Registered })
}

// difference returns what leads from these rows to others, each in order.
func (r Rows) difference(to Rows) (put []Row, removed []units.TargetID) {
	container.Difference(r.byTarget, to.byTarget, func(a, b *Row) bool { return a == b || *a == *b },
		func(id units.TargetID) { removed = append(removed, id) },
		func(_ units.TargetID, row *Row) { put = append(put, *row) })
	return put, removed
}

// Equal tells whether two sets of rows say the same.
func (r Rows) Equal(o Rows) bool {
	put, removed := r.difference(o)
	return len(put)+len(removed) == 0
}

// MarshalJSON writes the rows as a list.
func (r Rows) MarshalJSON() ([]byte, error) {
	if r.Len() == 0 {
		return []byte("null"), nil
	}
	return json.Marshal(slices.Collect(r.All()))
}

// UnmarshalJSON reads a list of rows.
func (r *Rows) UnmarshalJSON(data []byte) error {
	var list []Row
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*r = RowsOf(list...)
	return nil
}
