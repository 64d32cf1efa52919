package table

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Registration is a target's report of itself, for a target that registers by itself. A target
// may restart under the same id; Born distinguishes its incarnations.
type Registration struct {
	Target units.TargetID `json:"target"`
	// Born is the start time of this incarnation of the target, by its own clock; zero if it isn't
	// reported.
	Born    units.WallTime    `json:"born,omitempty"`
	Service units.ServiceName `json:"service"`
	// Address is an IP address and a port.
	Address string       `json:"address"`
	Domain  units.Domain `json:"domain,omitempty"`
	// Software is the version of the target's software.
	Software units.SoftwareVersion `json:"software,omitempty"`
	Slots    int                   `json:"slots,omitempty"`
	State    RowState              `json:"state"`
	// Sequence increases with each report of an incarnation, so that a delayed one can be recognized.
	Sequence uint64 `json:"sequence"`
	// Cold is the remaining time for which the target expects to be cold, as of the last change of
	// that; zero for a warm target.
	Cold time.Duration `json:"cold,omitempty"`
	// Silent is set while no reports of the target arrive although those of other targets do.
	Silent bool `json:"silent,omitempty"`
}

// MaxDeparted bounds the recorded departed targets. They are recorded so that a delayed report
// doesn't register one of them again.
const MaxDeparted = 4096

// registeredWeight is the weight of every registered target.
const registeredWeight = 100

var registrationRules = []rule[Registration]{
	{"target", func(r *Registration) bool { return r.Target != "" && len(r.Target) <= MaxNameLength }, "use 1 to 64 characters"},
	{"service", func(r *Registration) bool { return validName(string(r.Service)) }, "use 1 to 64 of a-z, 0-9, '-', '.' and '_'"},
	{"address", func(r *Registration) bool { return validAddress(r.Address) }, "write an IP number and a port, such as 10.0.0.7:8080"},
	{"state", func(r *Registration) bool { return r.State == Active || r.State == Leaving }, "write active or leaving"},
	{"born", func(r *Registration) bool { return r.Born >= 0 }, "give the time of the start in milliseconds since 1970"},
	{"domain", func(r *Registration) bool { return len(r.Domain) <= MaxNameLength }, "use at most 64 characters"},
	{"software", func(r *Registration) bool { return len(r.Software) <= MaxNameLength }, "use at most 64 characters"},
	{"slots", func(r *Registration) bool { return r.Slots >= 0 && r.Slots <= maxSlots }, "give 0 for unknown, or a number up to 1000000"},
	{"cold", func(r *Registration) bool { return r.Cold >= 0 && r.Cold <= maxCold }, "give the time left, up to 24h"},
}

const (
	// maxSlots is far above the concurrency of any target; a higher number is a mistake.
	maxSlots = 1_000_000
	// maxCold is far above the warm-up time of any target.
	maxCold = 24 * time.Hour
)

// CheckRegistration returns the problems with a registration, if any.
func CheckRegistration(r *Registration) []Problem { return findProblems(registrationRules, r) }

// row returns the registered target's row of the table.
func (r *Registration) row(s *Service) Row {
	return Row{
		Service: r.Service, Target: r.Target, Address: r.Address, Domain: r.Domain, Weight: registeredWeight,
		MaxConnections: s.TargetConnections, State: r.State, Registered: true, Slots: r.Slots, Cold: r.Cold, Silent: r.Silent,
		Software: r.Software, Born: r.Born,
	}
}

// SameContent reports whether a later registration o needs no change of the table. The remaining time of a
// cold target decreases with each report; it is a change only when the target becomes warm, or cold again.
func (r *Registration) SameContent(o *Registration) bool {
	a, b := *r, *o
	a.Sequence, b.Sequence = 0, 0
	if a.Cold > 0 && b.Cold > 0 && b.Cold <= a.Cold {
		b.Cold = a.Cold
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

// Departed reports whether a target has left and hasn't registered again.
func (s *State) Departed(id units.TargetID) bool {
	_, departed := s.departed[id]
	return departed && s.targets[id] == nil
}

// IsUpdate reports whether a report changes the state. One that is older than the stored registration
// doesn't.
func (s *State) IsUpdate(r *Registration) bool {
	current := s.targets[r.Target]
	switch {
	case s.Outdated(r) || s.Foreign(r):
		return false
	case current == nil || r.isOtherIncarnation(current):
		return true
	}
	return r.Sequence > current.Sequence && !current.SameContent(r)
}

// Outdated reports whether a report is of an earlier incarnation of its target than the registered or
// departed one, or of an earlier target at its address. If the registered target is silent, a report of a
// seemingly earlier incarnation is of a later one whose clock is behind: reports delayed by a network partition
// arrive before their target becomes silent.
func (s *State) Outdated(r *Registration) bool {
	if lastBorn, departed := s.departed[r.Target]; departed && (lastBorn == 0 || r.Born <= lastBorn) {
		return true
	}
	current := s.targets[r.Target]
	if current == nil {
		current = s.targets[s.byAddress[r.Address]]
	}
	return current != nil && r.isOtherIncarnation(current) && r.Born < current.Born && !current.Silent
}

// Foreign reports whether a report must be ignored because it would remove a working target: it names a
// service that isn't in the table, or lacks the start time that the target reported before.
func (s *State) Foreign(r *Registration) bool {
	current := s.targets[r.Target]
	if current != nil && current.Born != 0 && r.Born == 0 {
		return true
	}
	if current == nil {
		current = s.targets[s.byAddress[r.Address]]
	}
	return current != nil && s.table.Services[r.Service] == nil && s.table.Services[current.Service] != nil
}

// isOtherIncarnation reports whether two reports are known to be of different incarnations of a target.
func (r *Registration) isOtherIncarnation(o *Registration) bool {
	return r.Born != 0 && o.Born != 0 && r.Born != o.Born
}

// ApplyRegistration applies a target's report. A target that registers with the
// address of another one replaces it, since the other must have ended. The delta is
// nil if the table isn't changed.
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
		s.recordDeparture(o.Target, o.Born)
	}
	s.storeRegistration(r)
	s.putRow(r, delta)
	return s.commitIfChanged(delta)
}

// storeRegistration stores a registration, replacing the target's earlier one.
func (s *State) storeRegistration(r *Registration) {
	if current := s.targets[r.Target]; current != nil {
		s.removeRegistration(current)
	}
	s.targets[r.Target] = r
	s.byAddress[r.Address] = r.Target
}

// removeRegistration removes a registration, and its address unless another target has it now.
func (s *State) removeRegistration(r *Registration) {
	delete(s.targets, r.Target)
	if s.byAddress[r.Address] == r.Target {
		delete(s.byAddress, r.Address)
	}
}

// ApplyDeparture permanently removes the incarnation of a target that started at the given time, or its current
// one if born is zero. A later incarnation stays. The delta is nil if the table isn't changed.
func (s *State) ApplyDeparture(id units.TargetID, born units.WallTime) *Delta {
	r := s.targets[id]
	if r == nil || born != 0 && r.Born > born {
		s.recordDeparture(id, born)
		return nil
	}
	s.recordDeparture(id, max(born, r.Born))
	s.removeRegistration(r)
	delta := s.newDelta()
	s.removeRow(r, delta)
	return s.commitIfChanged(delta)
}

// ApplySilence records which targets have become silent or report again. The delta is nil if the
// table isn't changed.
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

// draftEntry returns a copy of a service's entry that is part of the delta, or nil
// if there is no such service.
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

// recordDeparture records that the target's incarnations started up to the given time have left. A born
// of zero means all of them, unless a time is already recorded.
func (s *State) recordDeparture(id units.TargetID, born units.WallTime) {
	if lastBorn, departed := s.departed[id]; departed {
		s.departed[id] = max(lastBorn, born)
		return
	}
	if len(s.departedOrder) >= MaxDeparted {
		delete(s.departed, s.departedOrder[0])
		s.departedOrder = slices.Delete(s.departedOrder, 0, 1)
	}
	s.departed[id] = born
	s.departedOrder = append(s.departedOrder, id)
}
