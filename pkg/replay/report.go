package replay

import (
	"fmt"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report holds the results of a set of traces, by trace name and variant name.
type Report struct {
	Traces  []*Trace
	Results map[string]map[string]*Result
}

// reportHeader lists the columns of a report.
var reportHeader = []string{"trace", "variant", "offered", "answered", "refused %", "p50 ms", "p99 ms", "p99.9 ms",
	"p99 / oracle", "p99.9 / oracle", "extra sends %", "hedges", "probe %", "over limit", "weight error", "peer messages"}

// each calls f for every result with the oracle's result of the same trace, in order of traces and
// variants.
func (r *Report) each(f func(x, oracle *Result)) {
	for _, t := range r.Traces {
		results := r.Results[t.Name]
		for _, v := range Variants {
			if x := results[v.Name]; x != nil {
				f(x, results["oracle"])
			}
		}
	}
}

func cells(x, oracle *Result) []string {
	return []string{
		x.Trace, x.Variant, fmt.Sprint(x.Offered), fmt.Sprint(x.Answered),
		fmt.Sprintf("%.2f", 100*float64(x.RefusedTotal())/float64(max(1, x.Offered))),
		fmt.Sprintf("%.2f", x.P50), fmt.Sprintf("%.2f", x.P99), fmt.Sprintf("%.2f", x.P999),
		fmt.Sprintf("%.2f", x.RatioP99(oracle)), fmt.Sprintf("%.2f", x.RatioP999(oracle)),
		fmt.Sprintf("%.2f", x.ExtraShare()), fmt.Sprint(x.Hedges), fmt.Sprintf("%.3f", x.ProbeShare),
		fmt.Sprint(x.OverLimit), fmt.Sprintf("%.1f", x.WeightError), fmt.Sprint(x.PeerMessages),
	}
}

// Text formats the report for a terminal.
func (r *Report) Text() string {
	var b strings.Builder
	format := "%-26s %-16s %8s %8s %8s %8s %8s %8s %7s %7s %7s %7s %7s %5s %6s %8s\n"
	write := func(cells []string) {
		args := make([]any, len(cells))
		for i, c := range cells {
			args[i] = c
		}
		fmt.Fprintf(&b, format, args...)
	}
	write([]string{"trace", "variant", "offered", "answered", "refused%", "p50", "p99", "p99.9", "/orac", "/orac", "extra%", "hedges", "probe%", "over", "weight", "peer"})
	r.each(func(x, o *Result) { write(cells(x, o)) })
	return b.String()
}

// Page formats the report as a Markdown page; it includes the plot unless plotFile is empty.
func (r *Report) Page(plotFile string) string {
	var b strings.Builder
	b.WriteString("# Replay: each trace with each way of routing\n\n")
	b.WriteString("Made by `make replay`. The same traces and seeds give the same figures on any machine: time is virtual.\n")
	b.WriteString("Latencies are in milliseconds, from a call's arrival at a box to its answer there. The ratios to the oracle\nare those of the service that fares worst.\n\n")
	if plotFile != "" {
		b.WriteString("![p99 of each way over the oracle's](replay.svg)\n\n")
	}
	b.WriteString("| " + strings.Join(reportHeader, " | ") + " |\n|" + strings.Repeat("---|", len(reportHeader)) + "\n")
	r.each(func(x, o *Result) { b.WriteString("| " + strings.Join(cells(x, o), " | ") + " |\n") })
	return b.String()
}

// Missed describes the expected outcomes that the results miss.
func (r *Report) Missed() []string {
	var missed []string
	for _, t := range r.Traces {
		missed = append(missed, CheckOutcomes(t, r.Results[t.Name])...)
	}
	return missed
}

// Draw writes a plot of the ratio of each variant's p99 to the oracle's to a file.
func (r *Report) Draw(file string) error {
	p := plot.New()
	p.Title.Text = "p99 over the oracle's, by trace"
	p.Y.Label.Text = "ratio (log)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{}
	var names []string
	for _, t := range r.Traces {
		names = append(names, t.Name)
	}
	var lines []any
	for _, v := range Variants {
		if v.Policy == "" {
			continue
		}
		var points plotter.XYs
		for i, t := range r.Traces {
			x, o := r.Results[t.Name][v.Name], r.Results[t.Name]["oracle"]
			if x != nil && o != nil && x.P99 > 0 {
				points = append(points, plotter.XY{X: float64(i), Y: x.RatioP99(o)})
			}
		}
		if len(points) > 0 {
			lines = append(lines, v.Name, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 1.2
	p.X.Tick.Label.XAlign = -1
	p.Legend.Top = true
	return p.Save(12*vg.Inch, 7*vg.Inch, file)
}
