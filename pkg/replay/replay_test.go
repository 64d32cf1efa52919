package replay

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const traceFolder = "../../traces"

func run(t *testing.T, trace *Trace, variant string) *Result {
	t.Helper()
	r, err := Run(trace, *FindVariant(variant))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestTheProductReachesEveryStatedOutcome(t *testing.T) {
	traces, err := LoadTraces(traceFolder)
	if err != nil {
		t.Fatal(err)
	}
	if len(traces) == 0 {
		t.Fatal("no traces were found")
	}
	for _, trace := range traces {
		t.Run(trace.Name, func(t *testing.T) {
			t.Parallel()
			if len(trace.Outcomes) == 0 {
				t.Fatal("the trace has no expected outcome")
			}
			results := map[string]*Result{"oracle": run(t, trace, "oracle"), "product": run(t, trace, "product")}
			if results["product"].Answered == 0 {
				t.Fatal("no call was answered")
			}
			for _, m := range CheckOutcomes(trace, results) {
				t.Error(m)
			}
		})
	}
}

func TestTheSameTraceGivesTheSameFigures(t *testing.T) {
	trace, err := LoadTrace(traceFolder + "/kowhai-lost-boxes.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	first, second := run(t, trace, "product"), run(t, trace, "product")
	if d := cmp.Diff(first, second, cmpopts.IgnoreUnexported(Result{})); d != "" {
		t.Fatal(d)
	}
}

func TestOutcomesThatAreMissedAreNamed(t *testing.T) {
	high, low := 100.0, 0.5
	trace := &Trace{Name: "x", Outcomes: []OutcomeBound{
		{Variant: "product", Measure: "p99", Max: &low},
		{Variant: "product", Measure: "p99", Min: &high},
		{Variant: "product", Measure: "nonsense", Max: &low},
		{Variant: "absent", Measure: "p99", Max: &low},
	}}
	results := map[string]*Result{"product": {P99: 10}, "oracle": {P99: 1}}
	if missed := CheckOutcomes(trace, results); len(missed) != len(trace.Outcomes) {
		t.Fatalf("of %d missed outcomes, these were reported: %q", len(trace.Outcomes), missed)
	}
}

func TestABrokenTraceIsRefused(t *testing.T) {
	scenarios := []struct{ testName, text string }{
		{"no JSON", "nonsense"},
		{"an unknown field", `{"name": "x", "colour": "red"}`},
		{"a wrong duration", `{"duration": "soon"}`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			if _, err := ParseTrace([]byte(s.text), "here"); err == nil {
				t.Fatal("the invalid trace was accepted")
			}
		})
	}
}
