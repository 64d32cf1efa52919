package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/madderpond/madderpond/pkg/units"
)

// Evacuation says whether the targets of a failure domain take new calls. A domain keeps
// its record after it was restored, so that an order from before the last change is known.
type Evacuation struct {
	Domain units.Domain `json:"domain"`
	// Active is set while the domain's targets take no new calls.
	Active bool `json:"active"`
	// Since is the revision of the last change.
	Since    units.Revision `json:"since"`
	Operator string         `json:"operator,omitempty"`
	At       units.WallTime `json:"at"`
}

// EvacuationOrder is an operator's order to evacuate a failure domain or to restore it.
type EvacuationOrder struct {
	Domain units.Domain
	// Evacuate is set to evacuate the domain, unset to restore it.
	Evacuate bool
	// Base is the revision of the table that the replica held which took the order. An order
	// that was delayed, and meanwhile overtaken by another one, is known by it.
	Base     units.Revision
	Operator string
}

// EvacuationOutcome says what became of an order.
type EvacuationOutcome int32

// The outcomes.
const (
	// EvacuationDone: what was ordered holds.
	EvacuationDone EvacuationOutcome = iota + 1
	// EvacuationSuperseded: the domain has changed since the order was taken.
	EvacuationSuperseded
	// EvacuationUnknown: no box and no target is in such a domain.
	EvacuationUnknown
)

var evacuationRules = []rule[EvacuationOrder]{
	{"domain", func(o *EvacuationOrder) bool { return validName(string(o.Domain)) }, "use 1 to 64 of a-z, 0-9, '-', '.' and '_'"},
}

// CheckEvacuation returns what is wrong with an order, or nothing.
func CheckEvacuation(o *EvacuationOrder) []Problem { return findProblems(evacuationRules, o) }

// ApplyEvacuation carries out an order at a time that the whole cluster agrees on. An
// order for what holds already is done; that is how one that was sent again ends. The
// delta is nil when the table isn't changed.
func (s *State) ApplyEvacuation(o *EvacuationOrder, at units.WallTime) (EvacuationOutcome, *Delta) {
	current := s.table.Evacuation(o.Domain)
	switch {
	case s.table.Evacuated(o.Domain) == o.Evacuate:
		return EvacuationDone, nil
	case current != nil && current.Since > o.Base:
		return EvacuationSuperseded, nil
	case !s.knowsDomain(o.Domain):
		return EvacuationUnknown, nil
	}
	delta := s.newDelta()
	delta.Evacuations = []Evacuation{{
		Domain: o.Domain, Active: o.Evacuate, Since: delta.Revision, Operator: o.Operator, At: at,
	}}
	return EvacuationDone, s.commit(delta)
}

// knowsDomain tells whether any box, registered target or row is in the domain, or it was
// evacuated before.
func (s *State) knowsDomain(d units.Domain) bool {
	if s.table.Evacuation(d) != nil {
		return true
	}
	if slices.ContainsFunc(s.table.Boxes, func(b Box) bool { return b.Domain == d }) {
		return true
	}
	for _, r := range s.targets {
		if r.Domain == d {
			return true
		}
	}
	for _, e := range s.table.Services {
		for r := range e.Rows.All() {
			if r.Domain == d {
				return true
			}
		}
	}
	return false
}

// Evacuation returns the record of a failure domain, or nil when it was never evacuated.
func (t *Table) Evacuation(d units.Domain) *Evacuation {
	i, found := findEvacuation(t.Evacuations, d)
	if !found {
		return nil
	}
	return &t.Evacuations[i]
}

// Evacuated tells whether the targets of a failure domain take no new calls.
func (t *Table) Evacuated(d units.Domain) bool {
	x := t.Evacuation(d)
	return x != nil && x.Active
}

// EvacuatedDomains returns the failure domains that are evacuated now, in order.
func (t *Table) EvacuatedDomains() []units.Domain {
	var domains []units.Domain
	for _, x := range t.Evacuations {
		if x.Active {
			domains = append(domains, x.Domain)
		}
	}
	return domains
}

func findEvacuation(list []Evacuation, d units.Domain) (int, bool) {
	return slices.BinarySearchFunc(list, d, func(x Evacuation, d units.Domain) int {
		return strings.Compare(string(x.Domain), string(d))
	})
}

// patchEvacuations returns the list, sorted by domain, after a change.
func patchEvacuations(list, changed []Evacuation) []Evacuation {
	return patchSorted(list, nil, changed, func(x Evacuation) units.Domain { return x.Domain }, cmp.Compare)
}
