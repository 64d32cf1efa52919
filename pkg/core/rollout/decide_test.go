package rollout

import (
	"strings"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

const testDuration = 10 * time.Second

var testBoxes = []units.BoxID{"b1", "b2"}

// fixture is a rollout after a successful trial, before its next step.
type fixture struct {
	monitor *Monitor
	input   DecisionInput
}

func newFixture(stage table.RolloutStage) *fixture {
	record := table.Rollout{
		Service: "s", From: "v1", To: "v2", Stage: stage, Order: 5, Since: 7, Duration: testDuration, Targets: []units.TargetID{"n1"},
	}
	x := &fixture{monitor: NewMonitor(record, Limits{Share: 0.1, Slack: 50})}
	x.input = DecisionInput{
		Plan: NewPlan(testDuration, time.Second), LeaderFor: testDuration, Boxes: testBoxes,
		Old: Candidates{{Target: "o1", Slots: 2}, {Target: "o2", Slots: 2}}, New: Candidates{{Target: "n1", Slots: 2}, {Target: "n2", Slots: 2}},
	}
	x.input.Elapsed = time.Second
	for _, id := range testBoxes {
		x.report(id, 7, 100, 0)
	}
	x.decide()
	x.input.Elapsed = x.input.Plan.ShiftAt
	return x
}

// report records a box's report with its counts so far; all answers were successes.
func (x *fixture) report(id units.BoxID, revision units.Revision, newAnswers uint64, inFlight uint32) {
	evidenceOf := func(software units.SoftwareVersion, good uint64) Evidence {
		e := Evidence{Service: "s", Order: 5, Software: software, Route: "h/", Successes: good}
		e.Times[12] = uint32(good)
		return e
	}
	old := evidenceOf("v1", 1000)
	old.InFlight = inFlight
	x.monitor.RecordReport(x.input.Elapsed, Report{Box: id, Start: 1, Revision: revision, Evidence: []Evidence{old, evidenceOf("v2", newAnswers)}})
}

func (x *fixture) decide() *table.RolloutStep { return x.monitor.Decide(&x.input) }

// reportAll has both boxes report that they have no calls in flight.
func (x *fixture) reportAll() {
	for _, id := range testBoxes {
		x.report(id, 7, 100, 0)
	}
}

func TestDecisions(t *testing.T) {
	scenarios := []struct {
		testName string
		stage    table.RolloutStage
		change   func(x *fixture)
		want     table.RolloutStage
		reason   string
	}{
		{"the trial is over", table.RolloutTrial, func(*fixture) {}, table.RolloutShifted, "as good as"},
		{"the trial isn't over", table.RolloutTrial, func(x *fixture) { x.input.Elapsed -= time.Millisecond }, 0, ""},
		{"a target on trial is gone", table.RolloutTrial, func(x *fixture) {
			x.input.Elapsed, x.input.New = time.Second, x.input.New[1:]
		}, table.RolloutTrial, "1 of 1 targets"},
		{"a new leader waits for reports", table.RolloutTrial, func(x *fixture) { x.input.LeaderFor, x.input.Boxes = 0, append(testBoxes, "b3") }, 0, ""},
		{"no room", table.RolloutTrial, func(x *fixture) { x.input.New[0].Slots, x.input.New = 1, x.input.New[:1] }, 0, ""},
		{"no room at the latest", table.RolloutTrial, func(x *fixture) {
			x.input.New, x.input.Elapsed = nil, x.input.Plan.LatestShift
		}, table.RolloutRolledBack, "can't take the calls"},
		{"too few answers", table.RolloutTrial, func(x *fixture) {
			x.monitor.judge.total.New, x.input.Elapsed = Counts{Successes: 19}, x.input.Plan.LatestShift
		}, table.RolloutRolledBack, "too few"},
		{"all is drained", table.RolloutShifted, func(x *fixture) { x.reportAll() }, table.RolloutCompleted, "no calls are under way"},
		{"a call is under way", table.RolloutShifted, func(x *fixture) { x.reportAll(); x.report("b2", 7, 100, 1) }, 0, ""},
		{"a box doesn't know of the shift", table.RolloutShifted, func(x *fixture) { x.reportAll(); x.report("b2", 6, 100, 0) }, 0, ""},
		{"a report is old", table.RolloutShifted, func(x *fixture) { x.reportAll(); x.input.Elapsed += maxReportAge + 1 }, 0, ""},
		{"a box hasn't reported", table.RolloutShifted, func(x *fixture) { x.reportAll(); x.input.Boxes = append(testBoxes, "b3") }, 0, ""},
		{"a box has started anew", table.RolloutShifted, func(x *fixture) {
			x.reportAll()
			x.report("b2", 7, 100, 1)
			x.monitor.RecordReport(x.input.Elapsed, Report{Box: "b2", Start: 2, Revision: 7})
		}, table.RolloutCompleted, "no calls are under way"},
		{"time is over", table.RolloutShifted, func(x *fixture) { x.input.Elapsed = x.input.Plan.RollBackAt }, table.RolloutRolledBack, "box b1 may still"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			x := newFixture(s.stage)
			s.change(x)
			step := x.decide()
			switch {
			case s.want == 0 && step != nil:
				t.Fatalf("the step is %+v", step)
			case s.want != 0 && (step == nil || step.Stage != s.want || !strings.Contains(step.Reason, s.reason)):
				t.Fatalf("the step is %+v, want stage %s for %q", step, s.want, s.reason)
			}
		})
	}
}

// The share of the calls goes to so few targets that each has the load of an old target. They are
// selected evenly over the failure domains, and warm ones first.
func TestTargetsOnTrial(t *testing.T) {
	newer := Candidates{
		{Target: "a1", Domain: "a"}, {Target: "a2", Domain: "a"}, {Target: "a3", Domain: "a", Cold: true},
		{Target: "b1", Domain: "b"}, {Target: "b2", Domain: "b", Cold: true},
	}
	old := make(Candidates, 79)
	if n := trialTargetCount(0.05, old, newer); n != 4 {
		t.Errorf("%d targets are on trial", n)
	}
	got := newer.selectForTrial(3, nil)
	if len(got) != 3 || got[0] != "a1" || got[1] != "a2" || got[2] != "b1" {
		t.Errorf("picked %v", got)
	}
	if got = newer.selectForTrial(2, []units.TargetID{"a3"}); len(got) != 2 || got[0] != "a1" || got[1] != "a3" {
		t.Errorf("with a current one: %v", got)
	}
}

// A share of few calls isn't enough to judge a version, so half of the slack is added to it.
func TestTrialShares(t *testing.T) {
	l := Limits{Share: 0.1, Slack: 50}
	for rate, want := range map[float64]float64{0: 0.05, 500: 0.055, 50: 0.1, 1: 0.3} {
		if got := l.TrialShare(rate, 10*time.Second); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("at %g calls a second the share is %g, want %g", rate, got, want)
		}
	}
}

// A new leader has reports of some boxes only. It must not take their calls for all of the
// service's calls, and raise the share on trial as for a service with few calls.
func TestANewLeaderTakesNoServiceForOneWithFewCalls(t *testing.T) {
	x := newFixture(table.RolloutTrial)
	x.monitor.judge.total = Sample{Old: Counts{Successes: 40}}
	if got := x.monitor.Share(8*time.Second, 500*time.Millisecond, x.input.Plan); got != 5 {
		t.Errorf("after half a second the share is %g, want 5", float64(got))
	}
	if got := x.monitor.Share(8*time.Second, newLeaderReportWait, x.input.Plan); got <= 5 {
		t.Errorf("of a service with few calls the share is %g", float64(got))
	}
}

// A leader that takes over during the shift gets the boxes' counts with the same reports that show the
// old version to be drained. It must judge them before it completes the rollout.
func TestNothingIsCompletedOnUnjudgedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		bad  uint64
		want table.RolloutStage
	}{"good": {0, table.RolloutCompleted}, "bad": {60, table.RolloutRolledBack}} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(table.RolloutShifted)
			x.monitor = NewMonitor(x.monitor.record, x.monitor.limits)
			x.decide()
			x.input.Elapsed += time.Millisecond
			x.reportAll()
			evidence := Evidence{Service: "s", Order: 5, Software: "v2", Route: "h/", Successes: 100, Failures: c.bad}
			x.monitor.RecordReport(x.input.Elapsed, Report{Box: "b2", Start: 1, Revision: 7, Evidence: []Evidence{evidence}})
			if step := x.decide(); step == nil || step.Stage != c.want {
				t.Fatalf("the step is %+v, want stage %s", step, c.want)
			}
		})
	}
	t.Run("no answers", func(t *testing.T) {
		x := newFixture(table.RolloutShifted)
		x.monitor = NewMonitor(x.monitor.record, x.monitor.limits)
		for _, id := range testBoxes {
			x.monitor.RecordReport(x.input.Elapsed, Report{Box: id, Start: 1, Revision: 7})
		}
		if step := x.decide(); step != nil {
			t.Fatalf("the step is %+v", step)
		}
	})
}
