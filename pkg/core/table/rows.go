package table

import (
	"encoding/json"
	"iter"
	"slices"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/units"
)

// Rows are the rows of a service, sorted by target. They never change: With and Without return other
// rows, at a cost that hardly grows with how many there are. Neither do the rows that they hand out.
type Rows struct {
	byTarget container.SortedMap[units.TargetID, *Row]
}

// RowsOf returns the given rows; of two rows of a target the later one counts.
func RowsOf(list ...Row) Rows {
	var rows Rows
	for _, r := range list {
		rows = rows.With(r)
	}
	return rows
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
func (r Rows) With(row Row) Rows { return Rows{r.byTarget.Put(row.Target, &row)} }

// Without returns the rows without a target's.
func (r Rows) Without(target units.TargetID) Rows { return Rows{r.byTarget.Delete(target)} }

// entered returns the rows that operators entered.
func (r Rows) entered() Rows {
	var kept Rows
	for row := range r.All() {
		if !row.Registered {
			kept = kept.With(*row)
		}
	}
	return kept
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
