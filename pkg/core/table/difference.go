package table

import (
	"cmp"
	"reflect"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// Difference returns the change that leads from one table to a later one that was made from it. It
// takes time in proportion to what differs.
func Difference(from, to *Table) *Delta {
	d := &Delta{
		From: from.Revision, Revision: to.Revision, Boxes: BoxDifference(from.Boxes, to.Boxes),
		Evacuations: changedRecords(from.Evacuations, to.Evacuations, func(x Evacuation) units.Domain { return x.Domain }),
		Rollouts:    changedRecords(from.Rollouts, to.Rollouts, serviceOfRollout),
		InForce:     changedRecords(from.InForce, to.InForce, serviceInForce),
	}
	d.Quarantines, d.Released = sortedDifference(from.Quarantines, to.Quarantines,
		func(q Quarantine) crash.Fingerprint { return q.Call }, crash.Fingerprint.Compare, deepEqual)
	if to.Document != from.Document {
		d.Document = to.Document
		d.Routes = routeDifference(from.Routes, to.Routes)
		d.Workspaces = workspaceDifference(from.Workspaces, to.Workspaces)
		d.KeysRequired = to.KeysRequired
	}
	d.addServices(from, to)
	return d
}

// addServices adds the services that differ between two tables.
func (d *Delta) addServices(from, to *Table) {
	for _, n := range from.ServiceNames() {
		if to.Services[n] == nil {
			d.Removed = append(d.Removed, n)
		}
	}
	for _, n := range to.ServiceNames() {
		old, next := from.Services[n], to.Services[n]
		switch {
		case old == next && sameRowFilter(old, from, to):
		case old == nil || !old.Service.equal(&next.Service):
			d.Changed = append(d.Changed, next)
		default:
			d.Patched = append(d.Patched, patchOf(old, next))
		}
	}
}

// sameRowFilter tells whether a box holds the rows of an entry by the same rule in two tables.
func sameRowFilter(e *Entry, from, to *Table) bool {
	a, b := from.rowFilterOf(e), to.rowFilterOf(e)
	return a.equal(&b)
}

func deepEqual[T any](a, b T) bool { return reflect.DeepEqual(a, b) }

// changedRecords returns the records of a sorted list, none of which ever goes, that are new or have
// changed.
func changedRecords[T any, K cmp.Ordered](from, to []T, keyOf func(T) K) []T {
	put, _ := sortedDifference(from, to, keyOf, cmp.Compare, deepEqual)
	return put
}

// sortedDifference returns what leads from one list to another, both sorted by a key.
func sortedDifference[T, K any](from, to []T, keyOf func(T) K, compare func(a, b K) int, same func(a, b T) bool) (put []T, removed []K) {
	if sameList(from, to) {
		return nil, nil
	}
	for len(from) > 0 || len(to) > 0 {
		order := 0
		switch {
		case len(from) == 0:
			order = 1
		case len(to) == 0:
			order = -1
		default:
			order = compare(keyOf(from[0]), keyOf(to[0]))
		}
		switch {
		case order < 0:
			removed = append(removed, keyOf(from[0]))
			from = from[1:]
		case order > 0:
			put = append(put, to[0])
			to = to[1:]
		default:
			if !same(from[0], to[0]) {
				put = append(put, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	return put, removed
}

// sameList tells whether two lists are the same one, which saves looking through them.
func sameList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// BoxDifference returns the change that leads from one list of boxes to another;
// both are sorted by id.
func BoxDifference(from, to []Box) BoxChange {
	var c BoxChange
	c.Put, c.Removed = sortedDifference(from, to, func(b Box) units.BoxID { return b.ID }, cmp.Compare, func(a, b Box) bool { return a == b })
	return c
}
