// Package replay runs recorded traces through the real cores of all boxes in
// virtual time. Around the cores stand small fakes of what they meet: targets of
// a few slots, a network of fixed delays, a control state that hands out tables
// and leases. The same trace and seed give the same figures to the digit.
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

// Trace is a recorded course of events with its stated outcomes.
type Trace struct {
	Name string `json:"name"`
	// About says what the trace is for.
	About string `json:"about"`
	Seed  uint64 `json:"seed"`
	// Warmup passes before anything is counted; Duration follows it.
	Warmup   config.Duration `json:"warmup"`
	Duration config.Duration `json:"duration"`
	Domains  []units.Domain  `json:"domains"`
	Boxes    int             `json:"boxes"`
	Network  Network         `json:"network"`
	Services []Service       `json:"services"`
	Events   []Event         `json:"events"`
	// BusyBoxes get BusyShare of all calls; the rest is spread evenly.
	BusyBoxes int            `json:"busyBoxes"`
	BusyShare float64        `json:"busyShare"`
	Outcomes  []OutcomeBound `json:"outcomes"`
}

// Network is how long a message takes one way.
type Network struct {
	Same  config.Duration `json:"same"`
	Cross config.Duration `json:"cross"`
	// Connect is what opening a connection costs.
	Connect config.Duration `json:"connect"`
	// Probe is how long a probe keeps a slot busy.
	Probe config.Duration `json:"probe"`
}

// Service is a service with its targets and its load.
type Service struct {
	Name    units.ServiceName `json:"name"`
	Work    string            `json:"work"`
	Targets int               `json:"targets"`
	Slots   int               `json:"slots"`
	Queue   int               `json:"queue"`
	// Mean is how long a call takes on average; times are exponential.
	Mean config.Duration `json:"mean"`
	// Load is the offered load as a part of the capacity of all slots.
	Load float64 `json:"load"`
	// Limit is max_in_flight of each row.
	Limit         int             `json:"limit"`
	Weights       []int           `json:"weights"`
	Deadline      config.Duration `json:"deadline"`
	HoldLimit     config.Duration `json:"holdLimit"`
	MeasureBudget float64         `json:"measureBudget"`
}

// Event is something that happens during a trace.
type Event struct {
	// At counts from the end of the warmup.
	At   config.Duration `json:"at"`
	Kind string          `json:"kind"`
	// Service and Targets name targets; no targets means all in Domain, or all.
	Service units.ServiceName `json:"service"`
	Targets []int             `json:"targets"`
	Domain  units.Domain      `json:"domain"`
	// Factor is what a slow target's times, or a burst's load, are multiplied by.
	Factor float64 `json:"factor"`
	Box    int     `json:"box"`
	// For is how long it lasts; zero means to the end.
	For     config.Duration `json:"for"`
	Weights []int           `json:"weights"`
}

// OutcomeBound is a stated outcome: a measure of one variant is at most Max and at
// least Min.
type OutcomeBound struct {
	Variant string   `json:"variant"`
	Measure string   `json:"measure"`
	Max     *float64 `json:"max"`
	Min     *float64 `json:"min"`
}

// LoadTrace reads a trace file. The error is an Invalid fault.
func LoadTrace(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a trace file", "the trace can't be read")
	}
	return ParseTrace(data, path)
}

// ParseTrace reads a trace; place is named in errors.
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

// LoadTraces reads all traces of a folder, by name.
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

// Variant is a way of routing that a trace is run with.
type Variant struct {
	Name string
	// Policy is empty for the oracle.
	Policy string
	Limits bool
	Loans  bool
	Hedges bool
}

// Variants are the ways that are compared: the oracle that knows all at no
// delay, the product as it is, the product without single parts, and baselines.
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

// FindVariant returns the variant of a name, or nil.
func FindVariant(name string) *Variant {
	for i := range Variants {
		if Variants[i].Name == name {
			return &Variants[i]
		}
	}
	return nil
}

// SetMeasureBudget gives every service another measuring budget, in percent.
func (t *Trace) SetMeasureBudget(percent float64) {
	for i := range t.Services {
		t.Services[i].MeasureBudget = percent
	}
}

func (t *Trace) warmup() time.Duration { return t.Warmup.Std() }
func (t *Trace) end() time.Duration    { return t.Warmup.Std() + t.Duration.Std() }
