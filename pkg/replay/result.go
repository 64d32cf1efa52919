package replay

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Result is the outcome of replaying a trace with a variant.
type Result struct {
	Trace    string         `json:"trace"`
	Variant  string         `json:"variant"`
	Offered  int            `json:"offered"`
	Answered int            `json:"answered"`
	Held     int            `json:"held"`
	Sends    int            `json:"sends"`
	Refused  map[string]int `json:"refused"`
	Hedges   uint64         `json:"hedges"`
	Retries  uint64         `json:"retries"`
	// OverLimit is the greatest number of calls by which a target's limit was exceeded.
	OverLimit int `json:"overLimit"`
	// ProbeShare is the greatest share of a target's capacity that probes used, in percent.
	ProbeShare   float64 `json:"probeShare"`
	PeerMessages int     `json:"peerMessages"`
	WeightError  float64 `json:"weightError"`
	// P50 to P999 are latency quantiles over all services, in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// Services holds each service's own quantiles.
	Services map[units.ServiceName]Quantiles `json:"services"`
	// Goodput is the work of answered calls divided by the capacity of the slots during overloads, in
	// percent; zero without an overload.
	Goodput float64 `json:"goodput"`
	// RefusalP99 is the p99 of the time from a call's arrival to its refusal, in milliseconds.
	RefusalP99 float64 `json:"refusalP99"`
	refusals   []time.Duration
	latencies  map[units.ServiceName][]time.Duration
}

// Quantiles are the latency quantiles of one service, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

func quantilesOf(sorted []time.Duration) Quantiles {
	return Quantiles{P50: quantile(sorted, 0.5), P99: quantile(sorted, 0.99), P999: quantile(sorted, 0.999)}
}

// RatioP99 returns the greatest ratio of a service's P99 to the oracle's.
func (r *Result) RatioP99(oracle *Result) float64 {
	return r.worstRatio(oracle, func(q Quantiles) float64 { return q.P99 })
}

// RatioP999 returns the greatest ratio of a service's P999 to the oracle's.
func (r *Result) RatioP999(oracle *Result) float64 {
	return r.worstRatio(oracle, func(q Quantiles) float64 { return q.P999 })
}

func (r *Result) worstRatio(oracle *Result, of func(Quantiles) float64) float64 {
	worst := 0.0
	for n, q := range oracle.Services {
		if of(q) > 0 {
			worst = max(worst, of(r.Services[n])/of(q))
		}
	}
	return worst
}

func newResult(trace, variant string) Result {
	return Result{
		Trace: trace, Variant: variant, Refused: map[string]int{},
		Services: map[units.ServiceName]Quantiles{}, latencies: map[units.ServiceName][]time.Duration{},
	}
}

func (r *Result) incrementIf(counted bool, into *int) {
	if counted {
		*into++
	}
}

func (r *Result) addRefusal(reason string, took time.Duration) {
	r.Refused[reason]++
	r.refusals = append(r.refusals, took)
}

func (r *Result) addAnswer(service units.ServiceName, took time.Duration) {
	r.Answered++
	r.latencies[service] = append(r.latencies[service], took)
}

// computeQuantiles computes the quantiles and discards the samples.
func (r *Result) computeQuantiles() {
	var all []time.Duration
	for n, l := range r.latencies {
		slices.Sort(l)
		r.Services[n] = quantilesOf(l)
		all = append(all, l...)
	}
	slices.Sort(all)
	r.P50, r.P99, r.P999 = quantile(all, 0.5), quantile(all, 0.99), quantile(all, 0.999)
	slices.Sort(r.refusals)
	r.RefusalP99 = quantile(r.refusals, 0.99)
	r.latencies, r.refusals = nil, nil
}

// quantile returns the q-quantile of sorted durations, in milliseconds; zero for none.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / 1000
}

// RefusedTotal returns the number of refused calls.
func (r *Result) RefusedTotal() int {
	n := 0
	for _, k := range r.Refused {
		n += k
	}
	return n
}

// ExtraShare returns the sends beyond one per offered call, in percent of the offered calls.
func (r *Result) ExtraShare() float64 {
	if r.Offered == 0 {
		return 0
	}
	return 100 * float64(r.Sends-r.Offered) / float64(r.Offered)
}

// measures are the measures that an expected outcome can use. Those relative to the oracle compare
// with its result on the same trace.
var measures = map[string]func(r, oracle *Result) float64{
	"p99":             func(r, _ *Result) float64 { return r.P99 },
	"p999":            func(r, _ *Result) float64 { return r.P999 },
	"p99-to-oracle":   func(r, o *Result) float64 { return r.RatioP99(o) },
	"p999-to-oracle":  func(r, o *Result) float64 { return r.RatioP999(o) },
	"refused-percent": func(r, _ *Result) float64 { return 100 * float64(r.RefusedTotal()) / float64(r.Offered) },
	"extra-percent":   func(r, _ *Result) float64 { return r.ExtraShare() },
	"goodput-percent": func(r, _ *Result) float64 { return r.Goodput },
	"refusal-p99":     func(r, _ *Result) float64 { return r.RefusalP99 },
	"over-limit":      func(r, _ *Result) float64 { return float64(r.OverLimit) },
	"probe-percent":   func(r, _ *Result) float64 { return r.ProbeShare },
	"weight-error":    func(r, _ *Result) float64 { return r.WeightError },
}

// Measure returns a measure of a result by name; ok is false for an unknown name.
func Measure(name string, r, oracle *Result) (value float64, ok bool) {
	f := measures[name]
	if f == nil {
		return 0, false
	}
	return f(r, oracle), true
}

// MeasureNames returns the sorted names of the measures.
func MeasureNames() []string {
	names := make([]string, 0, len(measures))
	for n := range measures {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// CheckOutcomes describes the expected outcomes of a trace that its results miss.
func CheckOutcomes(t *Trace, results map[string]*Result) []string {
	var missed []string
	oracle := results["oracle"]
	for _, b := range t.Outcomes {
		r := results[b.Variant]
		if r == nil {
			missed = append(missed, fmt.Sprintf("%s: variant %s wasn't run", t.Name, b.Variant))
			continue
		}
		value, ok := Measure(b.Measure, r, oracle)
		switch {
		case !ok:
			missed = append(missed, fmt.Sprintf("%s: there is no measure %s", t.Name, b.Measure))
		case b.Max != nil && value > *b.Max:
			missed = append(missed, fmt.Sprintf("%s: %s of %s is %.3f, stated at most %g", t.Name, b.Measure, b.Variant, value, *b.Max))
		case b.Min != nil && value < *b.Min:
			missed = append(missed, fmt.Sprintf("%s: %s of %s is %.3f, stated at least %g", t.Name, b.Measure, b.Variant, value, *b.Min))
		}
	}
	return missed
}
