package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// RolloutStage is the progress of a rollout.
type RolloutStage int32

// The stages of a rollout.
const (
	// RolloutTrial: some targets of the new version get a bounded share of the calls.
	RolloutTrial RolloutStage = iota + 1
	// RolloutShifted: all new calls go to the new version, while calls in flight at the old one
	// finish.
	RolloutShifted
	// RolloutCompleted: the new version is in force, and no calls are in flight at the old one.
	RolloutCompleted
	// RolloutRolledBack: the new version gets no more calls.
	RolloutRolledBack
)

var stageNames = map[RolloutStage]string{
	RolloutTrial: "trial", RolloutShifted: "shifted", RolloutCompleted: "completed", RolloutRolledBack: "rolled-back",
}

// String returns the stage's name.
func (s RolloutStage) String() string { return stageNames[s] }

// Rollout is the move of a service's calls to another version of its software. The table keeps
// the last one of each service.
type Rollout struct {
	Service units.ServiceName `json:"service"`
	// From is the version that was in force when the rollout was ordered, To the version ordered.
	From  units.SoftwareVersion `json:"from"`
	To    units.SoftwareVersion `json:"to"`
	Stage RolloutStage          `json:"stage"`
	// Order is the revision at which the rollout was ordered, which identifies it. Since is the
	// revision of the last change.
	Order units.Revision `json:"order"`
	Since units.Revision `json:"since"`
	// Share is the percentage of the service's calls that the new version gets.
	Share units.Percent `json:"share"`
	// Targets are the targets of the new version that get calls during the trial.
	Targets []units.TargetID `json:"targets,omitempty"`
	// Duration is the time from the order to its deadline. Elapsed is how much of it had elapsed
	// at the last change, by the leader's monotonic clock.
	Duration time.Duration  `json:"duration"`
	Elapsed  time.Duration  `json:"elapsed"`
	Operator string         `json:"operator,omitempty"`
	At       units.WallTime `json:"at"`
	// Reason is why the current stage was entered.
	Reason string `json:"reason,omitempty"`
}

// Active reports whether the rollout is in progress; it isn't for nil.
func (r *Rollout) Active() bool {
	return r != nil && (r.Stage == RolloutTrial || r.Stage == RolloutShifted)
}

// SoftwareInForce is the version of a service's software whose targets get its calls.
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

// SoftwareInForce returns the version of a service's software whose targets get its calls; it
// is empty if targets of all versions do.
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
