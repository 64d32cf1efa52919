package routing

import (
	"fmt"
	"slices"

	"github.com/madderpond/madderpond/pkg/fault"
)

// Mechanism is a part of the routing that can be switched off, to find out what it is
// worth or to rule it out while a fault is looked for.
type Mechanism string

// The mechanisms that can be switched off.
const (
	// Probing has targets report their load before a call is sent.
	Probing Mechanism = "probing"
	// Waiting lets a call wait until a target suits.
	Waiting Mechanism = "waiting"
	// Hedging sends a call a second time when its answer is late.
	Hedging Mechanism = "hedging"
	// Retrying sends a call again after a failure.
	Retrying Mechanism = "retrying"
	// SlowTargets avoids targets whose answers take much longer than others'.
	SlowTargets Mechanism = "slow-targets"
	// FailingTargets avoids targets that fail some of their calls.
	FailingTargets Mechanism = "failing-targets"
	// Ejection takes targets that fail several calls in a row out of use for a while.
	Ejection Mechanism = "ejection"
	// Ramping gives targets that join or come back a growing part of the calls.
	Ramping Mechanism = "ramping"
	// OwnDomain prefers targets in the box's own failure domain.
	OwnDomain Mechanism = "own-domain"
	// Concurrency keeps the last slots of targets free where filling them slows all calls.
	Concurrency Mechanism = "concurrency"
	// Subsetting has a box prefer a part of a service's targets, so that it knows those well.
	Subsetting Mechanism = "subsetting"
	// EarlyCalls holds calls that come before a box's first table.
	EarlyCalls Mechanism = "early-calls"
	// Outlook judges targets that nothing recent is known of by the others of their failure
	// domain.
	Outlook Mechanism = "outlook"
	// FirstTries serves callers who have just come before those who come back too late.
	FirstTries Mechanism = "first-tries"
	// SharedLink delays calls with large answers while others are coming in on the box's link, and
	// doesn't put down to targets what comes late because of these.
	SharedLink Mechanism = "shared-link"
	// UnansweredCalls closes calls that a target which serves others doesn't answer, and
	// learns which services hang when full.
	UnansweredCalls Mechanism = "unanswered-calls"
	// CrashSuspects finds the calls under which targets crash, and keeps them from targets.
	CrashSuspects Mechanism = "crash-suspects"
	// Canaries has one call at a time go to a target of a request under which one has just crashed.
	Canaries Mechanism = "canaries"
)

// Mechanisms lists all of them.
var Mechanisms = []Mechanism{
	Probing, Waiting, Hedging, Retrying, SlowTargets, FailingTargets, Ejection, Ramping, OwnDomain, Concurrency, Subsetting,
	EarlyCalls, Outlook, FirstTries, SharedLink, UnansweredCalls, CrashSuspects, Canaries,
}

// mechanismSet tells in constant time which mechanisms are switched off.
type mechanismSet map[Mechanism]bool

// newMechanismSet returns the set of the named ones; the error is an Invalid fault.
func newMechanismSet(names []Mechanism) (mechanismSet, error) {
	set := mechanismSet{}
	for _, n := range names {
		if !slices.Contains(Mechanisms, n) {
			return nil, fault.New(fault.Invalid, fmt.Sprintf("use some of %q", Mechanisms), "mechanism %q isn't known", n)
		}
		set[n] = true
	}
	return set, nil
}

// enabled tells whether a mechanism is in use.
func (r *Router) enabled(m Mechanism) bool { return !r.off[m] }
