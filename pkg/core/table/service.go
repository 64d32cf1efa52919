// Package table implements the operators' table: services, their rows, the edits
// that change them, and the rules by which edits are validated. It is the state
// machine of the replicated log and deterministic: the same changes in the same
// order result in the same state on every replica.
package table

import (
	"reflect"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// WorkKind is whether calls may be repeated, and how long they may wait.
type WorkKind int32

// The kinds of work.
const (
	// Repeatable calls may be retried and hedged.
	Repeatable WorkKind = iota + 1
	// AtMostOnce calls are never sent again once a byte may have reached a target,
	// unless that target responded that it shed the call.
	AtMostOnce
	// Patient calls tolerate a long wait, but must be delivered completely.
	Patient
)

// Defaults of a service's columns, documented for operators in docs/TABLE.md.
const (
	DefaultDeadline      = 2 * time.Second
	DefaultHoldLimit     = 500 * time.Millisecond
	DefaultHoldCount     = 1000
	DefaultRetryBudget   = units.Percent(10)
	DefaultHedgeBudget   = units.Percent(5)
	DefaultMeasureBudget = units.Percent(0.5)
)

// Service is one row of the services sheet.
type Service struct {
	Name       units.ServiceName `json:"name"`
	Work       WorkKind          `json:"work"`
	Hosts      []string          `json:"hosts,omitempty"`
	PathPrefix string            `json:"pathPrefix,omitempty"`
	// Deadline is how long a call may take if its caller gives no deadline.
	Deadline time.Duration `json:"deadline"`
	// HoldLimit is how long a call may wait for an available target.
	HoldLimit time.Duration `json:"holdLimit"`
	// HoldCount is how many calls may wait at one box at a time.
	HoldCount int `json:"holdCount"`
	// RetryBudget is the percentage of calls that may be retried.
	RetryBudget units.Percent `json:"retryBudget"`
	// HedgeBudget is the percentage of calls that may be hedged.
	HedgeBudget units.Percent `json:"hedgeBudget"`
	// MeasureBudget is the percentage of a target's capacity that probes may use.
	MeasureBudget units.Percent `json:"measureBudget"`
	// ExtraBurst is the burst of retries, and likewise of hedges, that the budgets
	// allow all boxes together; zero allows each box a few.
	ExtraBurst int `json:"extraBurst,omitempty"`
	// TargetConnections bounds the connections of all boxes together to each
	// registered target; zero means no bound.
	TargetConnections int `json:"targetConnections,omitempty"`
	// ProbeTargets is how many targets a box probes for their load before it sends a call, as
	// far as the measuring budget allows; 0 means none.
	ProbeTargets int `json:"probeTargets,omitempty"`
	// ProbePath is the path that probes request; empty means the box's own setting.
	ProbePath string `json:"probePath,omitempty"`
	// ColdRate is how many calls per second all boxes together may send to a cold target; zero
	// means no limit.
	ColdRate float64 `json:"coldRate,omitempty"`
}

// equal reports whether two services have the same content.
func (s *Service) equal(o *Service) bool {
	a, b := *s, *o
	a.Hosts, b.Hosts = nil, nil
	return reflect.DeepEqual(a, b) && slices.Equal(s.Hosts, o.Hosts)
}

// Entry is a service with its rows and version. Entries are immutable: a change
// replaces the entry, so that readers may keep the old one.
type Entry struct {
	Service Service       `json:"service"`
	Version units.Version `json:"version"`
	Rows    Rows          `json:"rows"`
	// Division determines which of the registered rows a box holds; nil means all of them.
	Division scope.Division `json:"division,omitempty"`
}

// Row returns the row of a target, or nil.
func (e *Entry) Row(target units.TargetID) *Row { return e.Rows.Get(target) }
