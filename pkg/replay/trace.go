// Package replay runs recorded traces through the real routing cores of all boxes in virtual time.
// Their environment is simulated: targets with a few slots, a network with fixed delays, and a control
// state that distributes tables and leases. The same trace and seed give exactly the same figures.
package replay

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/tailscale/hujson"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// Trace describes a workload, the events during it and the expected outcomes.
type Trace struct {
	Name string `json:"name"`
	// About is the purpose of the trace.
	About string `json:"about"`
	Seed  uint64 `json:"seed"`
	// Warmup is the time before anything is measured; Duration is the measured time after it.
	Warmup   config.Duration `json:"warmup"`
	Duration config.Duration `json:"duration"`
	Domains  []units.Domain  `json:"domains"`
	Boxes    int             `json:"boxes"`
	Network  Network         `json:"network"`
	Services []Service       `json:"services"`
	Events   []Event         `json:"events"`
	// BusyBoxes is the number of boxes that get the fraction BusyShare of all calls; the rest is spread
	// evenly over all boxes.
	BusyBoxes int            `json:"busyBoxes"`
	BusyShare float64        `json:"busyShare"`
	Outcomes  []OutcomeBound `json:"outcomes"`
}

// Network holds the one-way delays of messages: Same within a domain, Cross between domains.
type Network struct {
	Same  config.Duration `json:"same"`
	Cross config.Duration `json:"cross"`
	// Connect is the additional delay of opening a connection.
	Connect config.Duration `json:"connect"`
	// Probe is how long a probe occupies a slot.
	Probe config.Duration `json:"probe"`
}

// Service describes a service, its targets and its load.
type Service struct {
	Name    units.ServiceName `json:"name"`
	Work    string            `json:"work"`
	Targets int               `json:"targets"`
	Slots   int               `json:"slots"`
	Queue   int               `json:"queue"`
	// Mean is the mean duration of a call; durations are exponentially distributed.
	Mean config.Duration `json:"mean"`
	// Load is the offered load as a fraction of the capacity of all slots.
	Load float64 `json:"load"`
	// Limit is max_in_flight of each row.
	Limit         int             `json:"limit"`
	Weights       []int           `json:"weights"`
	Deadline      config.Duration `json:"deadline"`
	HoldLimit     config.Duration `json:"holdLimit"`
	MeasureBudget float64         `json:"measureBudget"`
}

// Event is a fault or a change during a trace.
type Event struct {
	// At is the time of the event after the end of the warmup.
	At   config.Duration `json:"at"`
	Kind string          `json:"kind"`
	// Service, Targets (indexes within the service) and Domain select targets; an empty one doesn't
	// restrict the selection.
	Service units.ServiceName `json:"service"`
	Targets []int             `json:"targets"`
	Domain  units.Domain      `json:"domain"`
	// Factor multiplies the durations of a slow target or the load of a burst.
	Factor float64 `json:"factor"`
	Box    int     `json:"box"`
	// For is how long the event lasts; zero means to the end of the trace.
	For     config.Duration `json:"for"`
	Weights []int           `json:"weights"`
}

// OutcomeBound is an expected outcome: a measure of one variant is at most Max and at least Min.
type OutcomeBound struct {
	Variant string   `json:"variant"`
	Measure string   `json:"measure"`
	Max     *float64 `json:"max"`
	Min     *float64 `json:"min"`
}

// LoadTrace reads a trace file. The error is a fault of kind Invalid.
func LoadTrace(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a trace file", "the trace can't be read")
	}
	return ParseTrace(data, path)
}

// ParseTrace parses a trace; errors name place as its origin. The error is a fault of kind Invalid.
func ParseTrace(data []byte, place string) (*Trace, error) {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "write JSON; comments are allowed", "%s", place)
	}
	t := &Trace{}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(t); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "see docs/REPLAY.md for the format", "%s", place)
	}
	return t, nil
}

// LoadTraces reads all traces of a folder, ordered by file name.
func LoadTraces(folder string) ([]*Trace, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonc"))
	if err != nil {
		return nil, err
	}
	sort.Strings(paths)
	var traces []*Trace
	for _, p := range paths {
		t, err := LoadTrace(p)
		if err != nil {
			return nil, err
		}
		traces = append(traces, t)
	}
	return traces, nil
}

// Variant is a routing configuration that a trace is replayed with.
type Variant struct {
	Name string
	// Policy is empty for the oracle.
	Policy string
	Limits bool
	Loans  bool
	Hedges bool
}

// Variants are the configurations to compare: the oracle with perfect knowledge and no delay, the
// product, the product without one or more of its features, and baselines.
var Variants = []Variant{
	{Name: "oracle"},
	{Name: "product", Policy: "cost", Limits: true, Loans: true, Hedges: true},
	{Name: "no-loans", Policy: "cost", Limits: true, Hedges: true},
	{Name: "no-limits", Policy: "cost", Hedges: true},
	{Name: "random", Policy: "random"},
	{Name: "round-robin", Policy: "round-robin"},
	{Name: "least-in-flight", Policy: "least-in-flight"},
	{Name: "two-choices", Policy: "two-choices-reported"},
}

// FindVariant returns the variant with a name, or nil.
func FindVariant(name string) *Variant {
	for i := range Variants {
		if Variants[i].Name == name {
			return &Variants[i]
		}
	}
	return nil
}

// SetMeasureBudget sets the measuring budget of every service, in percent.
func (t *Trace) SetMeasureBudget(percent float64) {
	for i := range t.Services {
		t.Services[i].MeasureBudget = percent
	}
}

func (t *Trace) warmup() time.Duration { return t.Warmup.Std() }
func (t *Trace) end() time.Duration    { return t.Warmup.Std() + t.Duration.Std() }
