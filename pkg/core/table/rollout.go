package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// RolloutStage says how far a rollout has come.
type RolloutStage int32

// The stages of a rollout.
const (
	// RolloutTrial: a bounded share of the calls goes to some targets of the new version.
	RolloutTrial RolloutStage = iota + 1
	// RolloutShifted: all calls go to the new version, and those under way at the old one end.
	RolloutShifted
	// RolloutCompleted: the new version is in force; nothing is under way at the old one.
	RolloutCompleted
	// RolloutRolledBack: the new version takes no calls any more.
	RolloutRolledBack
)

var stageNames = map[RolloutStage]string{
	RolloutTrial: "trial", RolloutShifted: "shifted", RolloutCompleted: "completed", RolloutRolledBack: "rolled-back",
}

// String returns the stage's name.
func (s RolloutStage) String() string { return stageNames[s] }

// Rollout is the move of a service's calls to another version of its software. A service
// keeps the record of its last one.
type Rollout struct {
	Service units.ServiceName `json:"service"`
	// From is the version in force when the rollout was ordered, To the one ordered.
	From  units.SoftwareVersion `json:"from"`
	To    units.SoftwareVersion `json:"to"`
	Stage RolloutStage          `json:"stage"`
	// Order is the revision at which it was ordered and names it; Since is the revision of
	// the last change.
	Order units.Revision `json:"order"`
	Since units.Revision `json:"since"`
	// Share is the part of the service's calls that the new version takes.
	Share units.Percent `json:"share"`
	// Targets are the targets of the new version that take calls during the trial.
	Targets []units.TargetID `json:"targets,omitempty"`
	// Duration is the time from the order to its deadline; Elapsed is how much of that had
	// passed at the last change, on the leader's steady clock.
	Duration time.Duration  `json:"duration"`
	Elapsed  time.Duration  `json:"elapsed"`
	Operator string         `json:"operator,omitempty"`
	At       units.WallTime `json:"at"`
	// Reason says why the present stage was entered.
	Reason string `json:"reason,omitempty"`
}

// Active tells whether the rollout is under way.
func (r *Rollout) Active() bool {
	return r != nil && (r.Stage == RolloutTrial || r.Stage == RolloutShifted)
}

// SoftwareInForce is the version of a service's software that takes its calls.
type SoftwareInForce struct {
	Service  units.ServiceName     `json:"service"`
	Software units.SoftwareVersion `json:"software"`
}

// Rollout returns the record of a service's last rollout, or nil.
func (t *Table) Rollout(service units.ServiceName) *Rollout {
	i, found := findByService(t.Rollouts, service, serviceOfRollout)
	if !found {
		return nil
	}
	return &t.Rollouts[i]
}

// SoftwareInForce returns the version of a service's software that takes its calls; empty
// when targets of all versions do.
func (t *Table) SoftwareInForce(service units.ServiceName) units.SoftwareVersion {
	i, found := findByService(t.InForce, service, serviceInForce)
	if !found {
		return ""
	}
	return t.InForce[i].Software
}

func serviceOfRollout(r Rollout) units.ServiceName { return r.Service }

func serviceInForce(x SoftwareInForce) units.ServiceName { return x.Service }

func findByService[T any](list []T, service units.ServiceName, name func(T) units.ServiceName) (int, bool) {
	return slices.BinarySearchFunc(list, service, func(x T, s units.ServiceName) int {
		return strings.Compare(string(name(x)), string(s))
	})
}

// patchByService returns a list sorted by service after a change of some of its entries.
func patchByService[T any](list, changed []T, name func(T) units.ServiceName) []T {
	return patchSorted(list, nil, changed, name, cmp.Compare)
}
