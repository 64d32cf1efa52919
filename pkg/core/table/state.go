package table

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// Bounds of what the state keeps.
const (
	// ResultRetention is how long results are kept, so that a resent edit gets its first result.
	ResultRetention = 24 * time.Hour
	// MaxResults bounds the results kept. It is enough for ResultRetention at twice
	// the rate of edits that users need, which is 41,000 a day.
	MaxResults = 82_000
	// MaxHistory is the number of accepted edits in the history.
	MaxHistory = 1000
)

// State is the whole replicated state: the table, the results of past edits, their
// history, and the targets that registered or departed.
type State struct {
	table *Table
	// boxes counts the table's boxes by failure domain.
	boxes   scope.BoxCounts
	results map[units.EditID]*Result
	// resultOrder holds the ids of results, oldest first.
	resultOrder []units.EditID
	history     *container.Ring[Result]
	// document is the document in force; nil before the first.
	document *Document
	// targets are the targets that registered by themselves.
	targets map[units.TargetID]*Registration
	// byAddress maps addresses to registered targets. Each target has one address.
	byAddress map[string]units.TargetID
	// departed maps targets that left permanently to the start time of the last incarnation that
	// left, or zero if that isn't known. departedOrder holds their ids, oldest first.
	departed      map[units.TargetID]units.WallTime
	departedOrder []units.TargetID
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		table:   NewTable(),
		results: map[units.EditID]*Result{},
		history: container.NewRing[Result](MaxHistory),

		targets:   map[units.TargetID]*Registration{},
		byAddress: map[string]units.TargetID{},
		departed:  map[units.TargetID]units.WallTime{},
	}
}

// RestoreDocument sets the document, the registered targets, and the departed ones,
// oldest first, of a state that is being restored.
func (s *State) RestoreDocument(d *Document, targets []*Registration, departed []Departure) {
	s.document = d
	for _, r := range targets {
		s.storeRegistration(r)
	}
	for _, x := range departed {
		s.recordDeparture(x.Target, x.Born)
	}
}

// Departure is a target that left permanently.
type Departure struct {
	Target units.TargetID
	// Born is the start time of the last incarnation that left; zero if it isn't known.
	Born units.WallTime
}

// DepartedTargets returns the targets that left permanently, oldest first.
func (s *State) DepartedTargets() []Departure {
	list := make([]Departure, 0, len(s.departedOrder))
	for _, id := range s.departedOrder {
		list = append(list, Departure{Target: id, Born: s.departed[id]})
	}
	return list
}

// RestoreState returns a state with the given content. Results and history must be
// sorted oldest first.
func RestoreState(t *Table, results, history []Result) *State {
	s := NewState()
	s.table = t
	s.boxes = CountBoxes(t.Boxes)
	for i := range results {
		s.storeResult(&results[i])
	}
	for _, r := range history {
		s.history.Push(r)
	}
	return s
}

// Table returns the current table, which must not be modified.
func (s *State) Table() *Table { return s.table }

// History returns the last accepted edits, oldest first.
func (s *State) History() []Result { return s.history.All() }

// Results returns the kept results of edits, oldest first.
func (s *State) Results() []Result {
	results := make([]Result, 0, len(s.resultOrder))
	for _, id := range s.resultOrder {
		results = append(results, *s.results[id])
	}
	return results
}

// ResultCount returns the number of kept results.
func (s *State) ResultCount() int { return len(s.resultOrder) }

// Lookup returns the kept result of an edit, or nil.
func (s *State) Lookup(id units.EditID) *Result { return s.results[id] }

// ApplyEdit validates and applies an edit at a time that all replicas agree on. The
// delta is nil if the table wasn't changed.
func (s *State) ApplyEdit(e *Edit, at units.WallTime) (Result, *Delta) {
	s.expireResults(at - units.WallTime(ResultRetention.Milliseconds()))
	if previous := s.results[e.ID]; previous != nil {
		return *previous, nil
	}
	result, delta := s.evaluate(e, at)
	s.storeResult(&result)
	if delta != nil {
		s.commit(delta)
		s.history.Push(result)
	}
	return result, delta
}

// ApplyBoxes applies a change of the list of live boxes.
func (s *State) ApplyBoxes(c BoxChange) *Delta {
	d := s.newDelta()
	d.Boxes = c
	return s.commit(d)
}

func (s *State) evaluate(e *Edit, at units.WallTime) (Result, *Delta) {
	result := Result{Edit: e.ID, Operator: e.Operator, Operations: len(e.Operations), At: at, Revision: s.table.Revision}
	result.Versions = s.versionsOf(e)
	if detail := validateEdit(e); detail != "" {
		return reject(result, detail), nil
	}
	if detail := s.findConflict(e); detail != "" {
		result.Outcome = Conflicted
		result.Detail = detail
		return result, nil
	}
	draft, detail := s.draft(e)
	if detail != "" {
		return reject(result, detail), nil
	}
	delta := draft.delta()
	s.rollBackRemovedServices(delta)
	result.Outcome = Accepted
	result.Revision = delta.Revision
	for _, c := range delta.Changed {
		result.Versions[c.Service.Name] = c.Version
	}
	for _, n := range delta.Removed {
		delete(result.Versions, n)
	}
	return result, delta
}

func reject(r Result, detail string) Result {
	r.Outcome = Rejected
	r.Detail = detail
	return r
}

func (s *State) versionsOf(e *Edit) map[units.ServiceName]units.Version {
	versions := map[units.ServiceName]units.Version{}
	for _, o := range e.Operations {
		if entry := s.table.Services[o.ServiceName()]; entry != nil {
			versions[o.ServiceName()] = entry.Version
		}
	}
	return versions
}

func validateEdit(e *Edit) string {
	if len(e.Operations) == 0 {
		return "the edit has no operations; add at least one"
	}
	if len(e.Operations) > MaxOperations {
		return fmt.Sprintf("the edit has %d operations; split it into edits of at most %d", len(e.Operations), MaxOperations)
	}
	for i, o := range e.Operations {
		if detail := checkOperation(o); detail != "" {
			return fmt.Sprintf("operation %d: %s", i+1, detail)
		}
		if _, ok := e.Bases[o.ServiceName()]; !ok {
			return fmt.Sprintf("operation %d: no base version for service %s; give the version the edit was made from, or 0 for a new service", i+1, o.ServiceName())
		}
	}
	return ""
}

func checkOperation(o Operation) string {
	switch o.Kind {
	case PutService:
		if o.Service == nil {
			return "a put-service needs a service; add it"
		}
		return joinProblems(CheckService(o.Service))
	case PutRow:
		if o.Row == nil {
			return "a put-row needs a row; add it"
		}
		return joinProblems(CheckRow(o.Row))
	case DeleteService, DeleteRow:
		if o.ServiceName() == "" {
			return "a deletion needs the names of what it deletes; add them"
		}
		return ""
	default:
		return "the kind of operation isn't known; use put-service, delete-service, put-row or delete-row"
	}
}

func joinProblems(problems []Problem) string {
	words := make([]string, 0, len(problems))
	for _, p := range problems {
		words = append(words, p.String())
	}
	return strings.Join(words, "; ")
}

func (s *State) findConflict(e *Edit) string {
	for _, n := range slices.Sorted(maps.Keys(e.Bases)) {
		var current units.Version
		if entry := s.table.Services[n]; entry != nil {
			current = entry.Version
		}
		if base := e.Bases[n]; base != current {
			return fmt.Sprintf("service %s is at version %d, the edit was made from %d; read the table again, look at the difference and send a new edit", n, current, base)
		}
	}
	return ""
}

func (s *State) storeResult(r *Result) {
	if len(s.resultOrder) >= MaxResults {
		s.evictOldestResult()
	}
	s.results[r.Edit] = r
	s.resultOrder = append(s.resultOrder, r.Edit)
}

func (s *State) evictOldestResult() {
	delete(s.results, s.resultOrder[0])
	s.resultOrder = s.resultOrder[1:]
}

func (s *State) expireResults(oldest units.WallTime) {
	for len(s.resultOrder) > 0 && s.results[s.resultOrder[0]].At < oldest {
		s.evictOldestResult()
	}
}
