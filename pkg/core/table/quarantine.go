package table

import (
	"cmp"
	"slices"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// MaxQuarantines bounds the calls that are in quarantine at a time. Each takes about 200 bytes
// in every box's table; a new one evicts the oldest.
const MaxQuarantines = 256

// maxListedTargets bounds the targets that a quarantine lists.
const maxListedTargets = 8

// Quarantine keeps a call from all targets, because targets crashed while running it.
type Quarantine struct {
	Call crash.Fingerprint `json:"call"`
	// Service is the service whose targets crashed, Targets are the targets that did, as of the
	// beginning of the quarantine.
	Service units.ServiceName `json:"service"`
	Targets []units.TargetID  `json:"targets"`
	// Since is the revision at which the quarantine began.
	Since units.Revision `json:"since"`
	At    units.WallTime `json:"at"`
	// Doubtful is set if another call may have caused the crashes.
	Doubtful bool `json:"doubtful,omitempty"`
	// Trials counts the calls that have been let through to a target since.
	Trials int `json:"trials"`
}

// QuarantineAction is what a step does.
type QuarantineAction int32

// The actions.
const (
	// BeginQuarantine puts a call in quarantine.
	BeginQuarantine QuarantineAction = iota + 1
	// RecordQuarantineTrial records one trial: a call that is let through to a target.
	RecordQuarantineTrial
	// EndQuarantine releases the call, so that targets get it again.
	EndQuarantine
)

// QuarantineStep is the leader's decision on a call, or an operator's order to end a quarantine.
type QuarantineStep struct {
	Call    crash.Fingerprint
	Action  QuarantineAction
	Service units.ServiceName
	Targets []units.TargetID
	// Doubtful is for BeginQuarantine and set if another call may have caused the crashes.
	Doubtful bool
	// Trial is the number of the trial, from 1.
	Trial int
	// Base is the table's revision at the replica that made the decision. It shows whether the
	// quarantine ended and began again while the step was delayed.
	Base     units.Revision
	Operator string
}

// QuarantineOutcome is the outcome of a step.
type QuarantineOutcome int32

// The outcomes.
const (
	// QuarantineDone: the step took effect, or there was nothing to change.
	QuarantineDone QuarantineOutcome = iota + 1
	// QuarantineSuperseded: the quarantine has begun again since the step was decided.
	QuarantineSuperseded
)

// ApplyQuarantine applies a step at a time that all replicas agree on. A repeated step is done and
// changes nothing. The delta is nil if the table isn't changed.
func (s *State) ApplyQuarantine(step *QuarantineStep, at units.WallTime) (QuarantineOutcome, *Delta) {
	current := s.table.Quarantine(step.Call)
	if current != nil && step.Action != BeginQuarantine && current.Since > step.Base {
		return QuarantineSuperseded, nil
	}
	delta := s.newDelta()
	switch {
	case step.Action == BeginQuarantine && current == nil:
		s.evictOldestQuarantine(delta)
		delta.Quarantines = []Quarantine{{
			Call: step.Call, Service: step.Service, Targets: step.Targets[:min(len(step.Targets), maxListedTargets)], Since: delta.Revision, At: at,
			Doubtful: step.Doubtful,
		}}
	case step.Action == RecordQuarantineTrial && current != nil && step.Trial == current.Trials+1:
		next := *current
		next.Trials = step.Trial
		delta.Quarantines = []Quarantine{next}
	case step.Action == EndQuarantine && current != nil:
		delta.Released = []crash.Fingerprint{step.Call}
	default:
		return QuarantineDone, nil
	}
	return QuarantineDone, s.commit(delta)
}

// evictOldestQuarantine releases the oldest quarantine if there are MaxQuarantines.
func (s *State) evictOldestQuarantine(delta *Delta) {
	list := s.table.Quarantines
	if len(list) < MaxQuarantines {
		return
	}
	oldest := slices.MinFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Since, b.Since) })
	delta.Released = append(delta.Released, oldest.Call)
}

// Quarantine returns the quarantine with exactly this fingerprint, or nil.
func (t *Table) Quarantine(f crash.Fingerprint) *Quarantine {
	i, found := findQuarantine(t.Quarantines, f)
	if !found {
		return nil
	}
	return &t.Quarantines[i]
}

// QuarantineCovering returns the quarantine that applies to a call, either for its caller or for any
// caller, or nil.
func (t *Table) QuarantineCovering(f crash.Fingerprint) *Quarantine {
	if q := t.Quarantine(f); q != nil {
		return q
	}
	return t.Quarantine(f.AnyCaller())
}

func findQuarantine(list []Quarantine, f crash.Fingerprint) (int, bool) {
	return slices.BinarySearchFunc(list, f, func(q Quarantine, f crash.Fingerprint) int { return q.Call.Compare(f) })
}

// patchQuarantines returns the list, sorted by fingerprint, after a change.
func patchQuarantines(list []Quarantine, d *Delta) []Quarantine {
	return patchSorted(list, d.Released, d.Quarantines, func(q Quarantine) crash.Fingerprint { return q.Call }, crash.Fingerprint.Compare)
}
