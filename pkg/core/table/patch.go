package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// EntryPatch changes some rows and the division of a service, and nothing else of it. A
// service with hundreds of targets changes one row at a time and boxes are sent each
// change, so a change must be small.
type EntryPatch struct {
	Service units.ServiceName `json:"service"`
	Version units.Version     `json:"version"`
	Put     []Row             `json:"put,omitempty"`
	Removed []units.TargetID  `json:"removed,omitempty"`
	// Division is the new division of the rows if Redivided is set.
	Division  scope.Division `json:"division,omitempty"`
	Redivided bool           `json:"redivided,omitempty"`
}

// apply returns the entry after the patch.
func (p *EntryPatch) apply(old *Entry) *Entry {
	next := &Entry{Service: old.Service, Version: p.Version, Rows: old.Rows, Division: old.Division}
	for _, id := range p.Removed {
		next.Rows = next.Rows.Without(id)
	}
	for _, r := range p.Put {
		next.Rows = next.Rows.With(r)
	}
	if p.Redivided {
		next.Division = p.Division
	}
	return next
}

// patchOf returns the patch from one entry of a service to another.
func patchOf(old, next *Entry) *EntryPatch {
	p := &EntryPatch{Service: next.Service.Name, Version: next.Version}
	p.Put, p.Removed = old.Rows.difference(next.Rows)
	if !slices.Equal(old.Division, next.Division) {
		p.Division, p.Redivided = next.Division, true
	}
	return p
}

// patchSorted returns a copy of a list sorted by a key, with some elements removed and others
// added or replaced. An empty result is nil, like a list that was never filled.
func patchSorted[T, K any](list []T, removed []K, put []T, keyOf func(T) K, compare func(a, b K) int) []T {
	if len(removed)+len(put) == 0 {
		return list
	}
	next := slices.Clone(list)
	find := func(k K) (int, bool) {
		return slices.BinarySearchFunc(next, k, func(x T, k K) int { return compare(keyOf(x), k) })
	}
	for _, k := range removed {
		if i, found := find(k); found {
			next = slices.Delete(next, i, i+1)
		}
	}
	for _, x := range put {
		i, found := find(keyOf(x))
		if found {
			next[i] = x
		} else {
			next = slices.Insert(next, i, x)
		}
	}
	if len(next) == 0 {
		return nil
	}
	return next
}
