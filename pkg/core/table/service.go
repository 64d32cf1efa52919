// Package table holds the operators' table: services, their rows, the edits
// that change them and the rules that every edit must keep. It is pure: the
// same edits in the same order give the same state on every replica.
package table

import (
	"reflect"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/units"
)

// WorkKind says how a service's calls may be treated.
type WorkKind int32

// The kinds of work.
const (
	// Repeatable calls may be retried and hedged.
	Repeatable WorkKind = iota + 1
	// AtMostOnce calls are never sent again once a byte may have reached a target,
	// unless that target said that it shed the call.
	AtMostOnce
	// Patient calls may wait long, but must arrive complete.
	Patient
)

// Defaults of a service's row; an operator sees them in docs/TABLE.md.
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
	// Deadline is how long a call may take when its caller names no deadline.
	Deadline time.Duration `json:"deadline"`
	// HoldLimit is how long a call may wait for a target.
	HoldLimit time.Duration `json:"holdLimit"`
	// HoldCount is how many calls one box may hold at a time.
	HoldCount int `json:"holdCount"`
	// RetryBudget is the share of calls that may be sent a second time.
	RetryBudget units.Percent `json:"retryBudget"`
	// HedgeBudget is the share of calls that may be hedged.
	HedgeBudget units.Percent `json:"hedgeBudget"`
	// MeasureBudget is the share of a target's capacity that probes may take.
	MeasureBudget units.Percent `json:"measureBudget"`
	// ExtraBurst is how many extra sends, retries and hedges each, all boxes
	// together may save up; zero leaves each box a few.
	ExtraBurst int `json:"extraBurst,omitempty"`
	// TargetConnections bounds the connections to each registered target, from all
	// boxes together; zero means no bound.
	TargetConnections int `json:"targetConnections,omitempty"`
	// ProbeTargets is how many targets a box probes for their load before it sends a call, as
	// far as the measuring budget goes; 0 probes none.
	ProbeTargets int `json:"probeTargets,omitempty"`
	// ProbePath is what probes ask for; empty means the box's own setting.
	ProbePath string `json:"probePath,omitempty"`
	// ColdRate is how many calls a second a cold target takes, from all boxes together;
	// zero means no limit.
	ColdRate float64 `json:"coldRate,omitempty"`
}

// equal tells whether two services say the same.
func (s *Service) equal(o *Service) bool {
	a, b := *s, *o
	a.Hosts, b.Hosts = nil, nil
	return reflect.DeepEqual(a, b) && slices.Equal(s.Hosts, o.Hosts)
}

// Entry is a service with its rows and version. Entries are never changed in
// place: an edit puts a new one, so that readers may keep the old.
type Entry struct {
	Service Service       `json:"service"`
	Version units.Version `json:"version"`
	Rows    Rows          `json:"rows"`
	// Division says which of the registered rows boxes are told of; nil stands for all of them.
	Division scope.Division `json:"division,omitempty"`
}

// Row returns the row of a target, or nil.
func (e *Entry) Row(target units.TargetID) *Row { return e.Rows.Get(target) }
