package table

import (
	"cmp"
	"slices"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// MaxQuarantines bounds the calls that are in quarantine at a time. Each takes some 200 bytes
// in every box's table; the oldest makes room for a new one.
const MaxQuarantines = 256

// maxListedTargets bounds the targets that a quarantine names.
const maxListedTargets = 8

// Quarantine keeps a call from all targets, because targets crash when they run it.
type Quarantine struct {
	Call crash.Fingerprint `json:"call"`
	// Service is the one whose targets crashed first, Targets are those that did.
	Service units.ServiceName `json:"service"`
	Targets []units.TargetID  `json:"targets"`
	// Since is the revision at which it began.
	Since units.Revision `json:"since"`
	At    units.WallTime `json:"at"`
	// Doubtful is set where the call may not be the one that is to blame.
	Doubtful bool `json:"doubtful,omitempty"`
	// Trials counts the calls that were let through since.
	Trials int `json:"trials"`
}

// QuarantineAction says what a step does.
type QuarantineAction int32

// The actions.
const (
	// BeginQuarantine keeps a call from targets.
	BeginQuarantine QuarantineAction = iota + 1
	// RecordQuarantineTrial counts one call that is let through.
	RecordQuarantineTrial
	// EndQuarantine gives the call to targets again.
	EndQuarantine
)

// QuarantineStep is a leader's decision on a call, or an operator's order to end a quarantine.
type QuarantineStep struct {
	Call    crash.Fingerprint
	Action  QuarantineAction
	Service units.ServiceName
	Targets []units.TargetID
	// Doubtful is set for a beginning where the call may not be to blame.
	Doubtful bool
	// Trial numbers a trial from 1.
	Trial int
	// Base is the revision that the replica held which decided. A step that was delayed, while
	// the quarantine ended and began anew, is known by it.
	Base     units.Revision
	Operator string
}

// QuarantineOutcome says what became of a step.
type QuarantineOutcome int32

// The outcomes.
const (
	// QuarantineDone: what the step is for holds.
	QuarantineDone QuarantineOutcome = iota + 1
	// QuarantineSuperseded: the quarantine has begun anew since the step was decided.
	QuarantineSuperseded
)

// ApplyQuarantine applies a step at a time that the whole cluster agrees on. A step that comes
// again is done and changes nothing. The delta is nil when the table isn't changed.
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

// evictOldestQuarantine releases the oldest quarantine where there are as many as there may be.
func (s *State) evictOldestQuarantine(delta *Delta) {
	list := s.table.Quarantines
	if len(list) < MaxQuarantines {
		return
	}
	oldest := slices.MinFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Since, b.Since) })
	delta.Released = append(delta.Released, oldest.Call)
}

// Quarantine returns the quarantine of exactly this fingerprint, or nil.
func (t *Table) Quarantine(f crash.Fingerprint) *Quarantine {
	i, found := findQuarantine(t.Quarantines, f)
	if !found {
		return nil
	}
	return &t.Quarantines[i]
}

// QuarantineCovering returns the quarantine that covers a call, or nil.
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
