package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/madderpond/madderpond/pkg/replay"
)

type runReplay struct {
	Traces   string   `long:"traces" default:"traces" description:"the folder of traces"`
	Match    string   `long:"match" description:"only traces whose names contain this"`
	Variants []string `long:"variant" description:"only these variants; the oracle always runs"`
	Workers  int      `long:"workers" default:"4" description:"how many runs at once"`
	Report   string   `long:"report" description:"write a page with the figures to this file"`
	Plot     string   `long:"plot" description:"draw the plot of the figures to this SVG file"`
	Budget   *float64 `long:"measure-budget" description:"measuring budget of every service, in percent, in place of the traces' own"`
	JSON     string   `long:"json" description:"write all results to this file"`
}

// Execute replays traces with the selected variants and checks the expected outcomes.
func (c *runReplay) Execute([]string) error {
	all, err := replay.LoadTraces(c.Traces)
	if err != nil {
		return err
	}
	var traces []*replay.Trace
	for _, t := range all {
		if !strings.Contains(t.Name, c.Match) {
			continue
		}
		if c.Budget != nil {
			t.SetMeasureBudget(*c.Budget)
		}
		traces = append(traces, t)
	}
	started := time.Now()
	results, err := c.runAll(traces)
	if err != nil {
		return err
	}
	report := replay.Report{Traces: traces, Results: results}
	fmt.Print(report.Text())
	fmt.Printf("%d traces, %s\n", len(traces), time.Since(started).Round(time.Millisecond))
	if err := c.write(&report); err != nil {
		return err
	}
	if missed := report.Missed(); len(missed) > 0 {
		return fmt.Errorf("%d stated outcomes are missed:\n  %s", len(missed), strings.Join(missed, "\n  "))
	}
	return nil
}

func (c *runReplay) write(r *replay.Report) error {
	if err := writeReport(c.Report, r.Page(c.Plot)); err != nil {
		return err
	}
	if c.Plot != "" {
		if err := r.Draw(c.Plot); err != nil {
			return err
		}
	}
	data, err := json.MarshalIndent(r.Results, "", " ")
	if err != nil {
		return err
	}
	return writeReport(c.JSON, string(data))
}

func (c *runReplay) selects(v replay.Variant) bool {
	if len(c.Variants) == 0 || v.Policy == "" {
		return true
	}
	for _, n := range c.Variants {
		if n == v.Name {
			return true
		}
	}
	return false
}

// runAll replays every trace with every selected variant on a pool of workers.
func (c *runReplay) runAll(traces []*replay.Trace) (map[string]map[string]*replay.Result, error) {
	results := map[string]map[string]*replay.Result{}
	var lock sync.Mutex
	pool := pond.NewPool(c.Workers)
	group := pool.NewGroup()
	for _, t := range traces {
		results[t.Name] = map[string]*replay.Result{}
		for _, v := range replay.Variants {
			if !c.selects(v) {
				continue
			}
			group.SubmitErr(func() error {
				r, err := replay.Run(t, v)
				lock.Lock()
				defer lock.Unlock()
				results[t.Name][v.Name] = r
				return err
			})
		}
	}
	return results, group.Wait()
}
