package table

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Registration is what a target that registers by itself says of itself. A target may
// start again under the id that it had; Born tells its starts apart.
type Registration struct {
	Target units.TargetID `json:"target"`
	// StartedAt is when this start of the target began, by its own clock; zero where it isn't told.
	StartedAt units.WallTime    `json:"born,omitempty"`
	Service   units.ServiceName `json:"service"`
	// Address is an IP number and a port.
	Address string       `json:"address"`
	Domain  units.Domain `json:"domain,omitempty"`
	// Software is the version of the target's software.
	Software units.SoftwareVersion `json:"software,omitempty"`
	Slots    int                   `json:"slots,omitempty"`
	State    RowState              `json:"state"`
	// Sequence rises with each report of a start, so that a late one can be recognized.
	Sequence uint64 `json:"sequence"`
	// ColdRemaining is for how long the target stays cold, as it said when that last changed; zero
	// for a warm one.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// Silent is set while no report comes, although reports of others do.
	Silent bool `json:"silent,omitempty"`
}

// MaxDeparted bounds the departed targets that are remembered, so that a late report
// doesn't bring one of them back.
const MaxDeparted = 4096

// registeredWeight is the weight of every registered target.
const registeredWeight = 100

var registrationRules = []rule[Registration]{
	{"target", func(r *Registration) bool { return r.Target != "" && len(r.Target) <= MaxNameLength }, "use 1 to 64 characters"},
	{"service", func(r *Registration) bool { return validName(string(r.Service)) }, "use 1 to 64 of a-z, 0-9, '-', '.' and '_'"},
	{"address", func(r *Registration) bool { return validAddress(r.Address) }, "write an IP number and a port, such as 10.0.0.7:8080"},
	{"state", func(r *Registration) bool { return r.State == Active || r.State == Leaving }, "write active or leaving"},
	{"born", func(r *Registration) bool { return r.StartedAt >= 0 }, "give the time of the start in milliseconds since 1970"},
	{"domain", func(r *Registration) bool { return len(r.Domain) <= MaxNameLength }, "use at most 64 characters"},
	{"software", func(r *Registration) bool { return len(r.Software) <= MaxNameLength }, "use at most 64 characters"},
	{"slots", func(r *Registration) bool { return r.Slots >= 0 && r.Slots <= maxSlots }, "give 0 for unknown, or a number up to 1000000"},
	{"cold", func(r *Registration) bool { return r.ColdRemaining >= 0 && r.ColdRemaining <= maxCold }, "give the time left, up to 24h"},
}

const (
	// maxSlots is far above what any target works on at once; more is a mistake.
	maxSlots = 1_000_000
	// maxCold is far above the time in which any target gets warm.
	maxCold = 24 * time.Hour
)

// CheckRegistration returns what is wrong with a registration, or nothing.
func CheckRegistration(r *Registration) []Problem { return findProblems(registrationRules, r) }

// row is the registered target's row of the table.
func (r *Registration) row(s *Service) Row {
	return Row{
		Service: r.Service, Target: r.Target, Address: r.Address, Domain: r.Domain, Weight: registeredWeight,
		MaxConnections: s.TargetConnections, State: r.State, Registered: true, Slots: r.Slots, ColdRemaining: r.ColdRemaining, Silent: r.Silent,
		Software: r.Software, StartedAt: r.StartedAt,
	}
}

// SameContent tells whether a later registration says nothing new. While a target is cold
// the time left gets shorter; it is news only when the target is warm at last, or has
// become cold again.
func (r *Registration) SameContent(o *Registration) bool {
	a, b := *r, *o
	a.Sequence, b.Sequence = 0, 0
	if a.ColdRemaining > 0 && b.ColdRemaining > 0 && b.ColdRemaining <= a.ColdRemaining {
		b.ColdRemaining = a.ColdRemaining
	}
	a.Silent, b.Silent = false, false
	return a == b
}

// Registration returns a registered target, or nil.
func (s *State) Registration(id units.TargetID) *Registration { return s.targets[id] }

// RegistrationCount returns the number of registered targets.
func (s *State) RegistrationCount() int { return len(s.targets) }

// EachRegistration calls f with every registered target.
func (s *State) EachRegistration(f func(*Registration)) {
	for _, r := range s.targets {
		f(r)
	}
}

// Departed tells whether a target has left and hasn't started again.
func (s *State) Departed(id units.TargetID) bool {
	_, departed := s.departed[id]
	return departed && s.targets[id] == nil
}

// IsUpdate tells whether a report says anything that the state doesn't hold. A report
// that is older than what is held says nothing.
func (s *State) IsUpdate(r *Registration) bool {
	current := s.targets[r.Target]
	switch {
	case s.Outdated(r) || s.Foreign(r):
		return false
	case current == nil || r.isDifferentStart(current):
		return true
	}
	return r.Sequence > current.Sequence && !current.SameContent(r)
}

// Outdated tells whether a report is of an earlier start of its target than the one that is held
// or has left, or of an earlier target at its address. A start that seems earlier than one which
// has fallen silent is a later one, whose clock is behind: reports that a cut held up come
// before their target is silent.
func (s *State) Outdated(r *Registration) bool {
	if lastStart, departed := s.departed[r.Target]; departed && (lastStart == 0 || r.StartedAt <= lastStart) {
		return true
	}
	current := s.targets[r.Target]
	if current == nil {
		current = s.targets[s.byAddress[r.Address]]
	}
	return current != nil && r.isDifferentStart(current) && r.StartedAt < current.StartedAt && !current.Silent
}

// Foreign tells whether a report is one that would take away a target which is well: it names no
// service of the table, or doesn't say when a start began that did before.
func (s *State) Foreign(r *Registration) bool {
	current := s.targets[r.Target]
	if current != nil && current.StartedAt != 0 && r.StartedAt == 0 {
		return true
	}
	if current == nil {
		current = s.targets[s.byAddress[r.Address]]
	}
	return current != nil && s.table.Services[r.Service] == nil && s.table.Services[current.Service] != nil
}

// isDifferentStart tells whether two reports are known to be of different starts of a target.
func (r *Registration) isDifferentStart(o *Registration) bool {
	return r.StartedAt != 0 && o.StartedAt != 0 && r.StartedAt != o.StartedAt
}

// ApplyRegistration takes a target's report. A target that registers at another
// one's address takes its place: the other must have ended. The delta is nil when
// the table isn't changed.
func (s *State) ApplyRegistration(r *Registration) *Delta {
	if !s.IsUpdate(r) {
		return nil
	}
	delta := s.newDelta()
	if current := s.targets[r.Target]; current != nil {
		if current.Service != r.Service {
			s.removeRow(current, delta)
		}
	}
	if o := s.targets[s.byAddress[r.Address]]; o != nil && o.Target != r.Target {
		s.removeRow(o, delta)
		s.removeRegistration(o)
		s.recordDeparture(o.Target, o.StartedAt)
	}
	s.storeRegistration(r)
	s.putRow(r, delta)
	return s.commitIfChanged(delta)
}

// storeRegistration keeps a registration, in place of an earlier one of the same target.
func (s *State) storeRegistration(r *Registration) {
	if current := s.targets[r.Target]; current != nil {
		s.removeRegistration(current)
	}
	s.targets[r.Target] = r
	s.byAddress[r.Address] = r.Target
}

// removeRegistration forgets a registration.
func (s *State) removeRegistration(r *Registration) {
	delete(s.targets, r.Target)
	if s.byAddress[r.Address] == r.Target {
		delete(s.byAddress, r.Address)
	}
}

// ApplyDeparture takes a start of a target out for good, the present one where born is zero. A
// start that has begun since stays.
func (s *State) ApplyDeparture(id units.TargetID, startedAt units.WallTime) *Delta {
	r := s.targets[id]
	if r == nil || startedAt != 0 && r.StartedAt > startedAt {
		s.recordDeparture(id, startedAt)
		return nil
	}
	s.recordDeparture(id, max(startedAt, r.StartedAt))
	s.removeRegistration(r)
	delta := s.newDelta()
	s.removeRow(r, delta)
	return s.commitIfChanged(delta)
}

// ApplySilence notes which targets have fallen silent or are heard again.
func (s *State) ApplySilence(silent, heard []units.TargetID) *Delta {
	delta := s.newDelta()
	for _, id := range silent {
		s.setSilent(id, true, delta)
	}
	for _, id := range heard {
		s.setSilent(id, false, delta)
	}
	return s.commitIfChanged(delta)
}

func (s *State) setSilent(id units.TargetID, silent bool, delta *Delta) {
	current := s.targets[id]
	if current == nil || current.Silent == silent {
		return
	}
	r := *current
	r.Silent = silent
	s.storeRegistration(&r)
	s.putRow(&r, delta)
}

func (s *State) commitIfChanged(d *Delta) *Delta {
	if len(d.Changed) == 0 {
		return nil
	}
	return s.commit(d)
}

// draftEntry returns the delta's own copy of a service's entry, or nil when there
// is no such service.
func (s *State) draftEntry(name units.ServiceName, delta *Delta) *Entry {
	for _, e := range delta.Changed {
		if e.Service.Name == name {
			return e
		}
	}
	old := s.table.Services[name]
	if old == nil {
		return nil
	}
	entry := &Entry{Service: old.Service, Version: units.Version(delta.Revision), Rows: old.Rows}
	delta.Changed = append(delta.Changed, entry)
	return entry
}

func (s *State) putRow(r *Registration, delta *Delta) {
	if entry := s.draftEntry(r.Service, delta); entry != nil {
		entry.Rows = entry.Rows.With(r.row(&entry.Service))
	}
}

func (s *State) removeRow(r *Registration, delta *Delta) {
	if entry := s.draftEntry(r.Service, delta); entry != nil {
		entry.Rows = entry.Rows.Without(r.Target)
	}
}

// recordDeparture remembers that the starts of a target up to one have left; without a time
// all have, as far as nothing else is known.
func (s *State) recordDeparture(id units.TargetID, startedAt units.WallTime) {
	if lastStart, departed := s.departed[id]; departed {
		s.departed[id] = max(lastStart, startedAt)
		return
	}
	if len(s.departedOrder) >= MaxDeparted {
		delete(s.departed, s.departedOrder[0])
		s.departedOrder = slices.Delete(s.departedOrder, 0, 1)
	}
	s.departed[id] = startedAt
	s.departedOrder = append(s.departedOrder, id)
}
