package routing

import (
	"fmt"
	"slices"

	"github.com/madderpond/madderpond/pkg/fault"
)

// Mechanism is a part of the routing that can be switched off, to measure its effect or to rule it
// out while a fault is investigated.
type Mechanism string

// The mechanisms that can be switched off.
const (
	// Probing probes targets for their load before a call is sent.
	Probing Mechanism = "probing"
	// Waiting lets a call wait until a target is suitable.
	Waiting Mechanism = "waiting"
	// Hedging sends a call a second time when its answer is late.
	Hedging Mechanism = "hedging"
	// Retrying sends a call again after a failure.
	Retrying Mechanism = "retrying"
	// SlowTargets avoids targets whose answers take much longer than others'.
	SlowTargets Mechanism = "slow-targets"
	// FailingTargets avoids targets that fail some of their calls.
	FailingTargets Mechanism = "failing-targets"
	// Ejection stops sending calls for a while to targets that fail several in a row.
	Ejection Mechanism = "ejection"
	// Ramping gives targets that join or are readmitted an increasing share of the calls.
	Ramping Mechanism = "ramping"
	// OwnDomain prefers targets in the box's own failure domain.
	OwnDomain Mechanism = "own-domain"
	// Concurrency keeps the last slots of targets free where filling them slows all calls.
	Concurrency Mechanism = "concurrency"
	// Subsetting has a box prefer a subset of a service's targets, so that it has recent load
	// reports of those.
	Subsetting Mechanism = "subsetting"
	// EarlyCalls holds calls that arrive before a box's first table.
	EarlyCalls Mechanism = "early-calls"
	// DomainAvailability estimates whether targets without recent load reports are available from
	// the other targets of their failure domain.
	DomainAvailability Mechanism = "outlook"
	// FirstTries prefers first tries over late retries of callers while a service is overloaded.
	FirstTries Mechanism = "first-tries"
	// SharedLink delays calls with large answers while others are being received on the box's link,
	// and doesn't attribute the resulting delays to targets.
	SharedLink Mechanism = "shared-link"
	// UnansweredCalls gives up calls that a target doesn't answer while it serves others, and
	// detects services whose targets hang when full.
	UnansweredCalls Mechanism = "unanswered-calls"
	// CrashSuspects finds the calls that crash targets, and keeps them from targets.
	CrashSuspects Mechanism = "crash-suspects"
	// Canaries sends one call at a time of a request that was in flight at a recent crash.
	Canaries Mechanism = "canaries"
	// Relaying relays calls to other boxes while this one can't reach the targets.
	Relaying Mechanism = "relaying"
	// TokenLending borrows saved probes and calls under rates from other boxes.
	TokenLending Mechanism = "token-lending"
)

// Mechanisms lists all mechanisms.
var Mechanisms = []Mechanism{
	Probing, Waiting, Hedging, Retrying, SlowTargets, FailingTargets, Ejection, Ramping, OwnDomain, Concurrency, Subsetting,
	EarlyCalls, DomainAvailability, FirstTries, SharedLink, UnansweredCalls, CrashSuspects, Canaries, Relaying, TokenLending,
}

// mechanismSet is a set of mechanisms that are switched off.
type mechanismSet map[Mechanism]bool

// newMechanismSet returns the set of the named mechanisms. The error is an Invalid fault for an
// unknown name.
func newMechanismSet(names []Mechanism) (mechanismSet, error) {
	set := mechanismSet{}
	for _, n := range names {
		if !slices.Contains(Mechanisms, n) {
			return nil, fault.New(fault.Invalid, fmt.Sprintf("use some of %q", Mechanisms), "mechanism %q is unknown", n)
		}
		set[n] = true
	}
	return set, nil
}

// enabled reports whether a mechanism is in use.
func (r *Router) enabled(m Mechanism) bool { return !r.disabled[m] }
