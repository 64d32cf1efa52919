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

// scene is a rollout of which the trial went well, before its next step.
type scene struct {
	watch *Watch
	facts Facts
}

func newScene(stage table.RolloutStage) *scene {
	record := table.Rollout{
		Service: "s", From: "v1", To: "v2", Stage: stage, Order: 5, Since: 7, Duration: testDuration, Targets: []units.TargetID{"n1"},
	}
	x := &scene{watch: NewWatch(record, Limits{Share: 0.1, Slack: 50})}
	x.facts = Facts{
		Plan: NewPlan(testDuration, time.Second), InOffice: testDuration, Boxes: testBoxes,
		Old: Side{{Target: "o1", Slots: 2}, {Target: "o2", Slots: 2}}, New: Side{{Target: "n1", Slots: 2}, {Target: "n2", Slots: 2}},
	}
	x.facts.Elapsed = time.Second
	for _, id := range testBoxes {
		x.report(id, 7, 100, 0)
	}
	x.decide()
	x.facts.Elapsed = x.facts.Plan.ShiftAt
	return x
}

// report has a box tell what it has seen so far; all answers were good.
func (x *scene) report(id units.BoxID, revision units.Revision, fresh uint64, underWay uint32) {
	of := func(software units.SoftwareVersion, good uint64) Evidence {
		e := Evidence{Service: "s", Order: 5, Software: software, Route: "h/", Good: good}
		e.Times[12] = uint32(good)
		return e
	}
	old := of("v1", 1000)
	old.UnderWay = underWay
	x.watch.Take(x.facts.Elapsed, Report{Box: id, Start: 1, Revision: revision, Evidence: []Evidence{old, of("v2", fresh)}})
}

func (x *scene) decide() *table.RolloutStep { return x.watch.Decide(&x.facts) }

// reportAll has both boxes report that nothing is under way.
func (x *scene) reportAll() {
	for _, id := range testBoxes {
		x.report(id, 7, 100, 0)
	}
}

func TestDecisions(t *testing.T) {
	scenarios := []struct {
		testName string
		stage    table.RolloutStage
		change   func(x *scene)
		want     table.RolloutStage
		reason   string
	}{
		{"the trial is over", table.RolloutTrial, func(*scene) {}, table.RolloutShifted, "as good as"},
		{"the trial isn't over", table.RolloutTrial, func(x *scene) { x.facts.Elapsed -= time.Millisecond }, 0, ""},
		{"a target on trial is gone", table.RolloutTrial, func(x *scene) {
			x.facts.Elapsed, x.facts.New = time.Second, x.facts.New[1:]
		}, table.RolloutTrial, "1 of 1 targets"},
		{"a new leader waits for reports", table.RolloutTrial, func(x *scene) { x.facts.InOffice, x.facts.Boxes = 0, append(testBoxes, "b3") }, 0, ""},
		{"no room", table.RolloutTrial, func(x *scene) { x.facts.New[0].Slots, x.facts.New = 1, x.facts.New[:1] }, 0, ""},
		{"no room at the latest", table.RolloutTrial, func(x *scene) {
			x.facts.New, x.facts.Elapsed = nil, x.facts.Plan.LatestShift
		}, table.RolloutRolledBack, "can't take the calls"},
		{"too few answers", table.RolloutTrial, func(x *scene) {
			x.watch.judge.total.New, x.facts.Elapsed = Counts{Good: 19}, x.facts.Plan.LatestShift
		}, table.RolloutRolledBack, "too few"},
		{"all is drained", table.RolloutShifted, func(x *scene) { x.reportAll() }, table.RolloutCompleted, "no calls are under way"},
		{"a call is under way", table.RolloutShifted, func(x *scene) { x.reportAll(); x.report("b2", 7, 100, 1) }, 0, ""},
		{"a box doesn't know of the shift", table.RolloutShifted, func(x *scene) { x.reportAll(); x.report("b2", 6, 100, 0) }, 0, ""},
		{"a report is old", table.RolloutShifted, func(x *scene) { x.reportAll(); x.facts.Elapsed += reportAge + 1 }, 0, ""},
		{"a box hasn't reported", table.RolloutShifted, func(x *scene) { x.reportAll(); x.facts.Boxes = append(testBoxes, "b3") }, 0, ""},
		{"a box has started anew", table.RolloutShifted, func(x *scene) {
			x.reportAll()
			x.report("b2", 7, 100, 1)
			x.watch.Take(x.facts.Elapsed, Report{Box: "b2", Start: 2, Revision: 7})
		}, table.RolloutCompleted, "no calls are under way"},
		{"time is over", table.RolloutShifted, func(x *scene) { x.facts.Elapsed = x.facts.Plan.GiveUpAt }, table.RolloutRolledBack, "box b1 may still"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			x := newScene(s.stage)
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

// The share of the calls goes to as few targets as have the load of old ones with it, in all
// failure domains by turns, and warm ones first.
func TestTargetsOnTrial(t *testing.T) {
	fresh := Side{
		{Target: "a1", Domain: "a"}, {Target: "a2", Domain: "a"}, {Target: "a3", Domain: "a", Cold: true},
		{Target: "b1", Domain: "b"}, {Target: "b2", Domain: "b", Cold: true},
	}
	old := make(Side, 79)
	if n := trialTargets(0.05, old, fresh); n != 4 {
		t.Errorf("%d targets are tried", n)
	}
	got := fresh.pick(3, nil)
	if len(got) != 3 || got[0] != "a1" || got[1] != "a2" || got[2] != "b1" {
		t.Errorf("picked %v", got)
	}
	if got = fresh.pick(2, []units.TargetID{"a3"}); len(got) != 2 || got[0] != "a1" || got[1] != "a3" {
		t.Errorf("beside a present one: %v", got)
	}
}

// A share of few calls shows nothing, so a service with few uses half of the slack.
func TestTrialShares(t *testing.T) {
	l := Limits{Share: 0.1, Slack: 50}
	for rate, want := range map[float64]float64{0: 0.05, 500: 0.055, 50: 0.1, 1: 0.3} {
		if got := l.TrialShare(rate, 10*time.Second); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("at %g calls a second the share is %g, want %g", rate, got, want)
		}
	}
}

// A new leader has heard of a part of the boxes only, whose calls aren't all of the service's.
func TestANewLeaderTakesNoServiceForOneWithFewCalls(t *testing.T) {
	x := newScene(table.RolloutTrial)
	x.watch.judge.total = Sample{Old: Counts{Good: 40}}
	if got := x.watch.Share(8*time.Second, 500*time.Millisecond, x.facts.Plan); got != 5 {
		t.Errorf("after half a second the share is %g, want 5", float64(got))
	}
	if got := x.watch.Share(8*time.Second, reportWait, x.facts.Plan); got <= 5 {
		t.Errorf("of a service with few calls the share is %g", float64(got))
	}
}

// A leader that takes over in the shift has all that boxes have seen with the reports that show
// it to be over, and completes nothing before that is judged.
func TestNothingIsCompletedOnUnjudgedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		bad  uint64
		want table.RolloutStage
	}{"good": {0, table.RolloutCompleted}, "bad": {60, table.RolloutRolledBack}} {
		t.Run(name, func(t *testing.T) {
			x := newScene(table.RolloutShifted)
			x.watch = NewWatch(x.watch.record, x.watch.limits)
			x.decide()
			x.facts.Elapsed += time.Millisecond
			x.reportAll()
			fresh := Evidence{Service: "s", Order: 5, Software: "v2", Route: "h/", Good: 100, Bad: c.bad}
			x.watch.Take(x.facts.Elapsed, Report{Box: "b2", Start: 1, Revision: 7, Evidence: []Evidence{fresh}})
			if step := x.decide(); step == nil || step.Stage != c.want {
				t.Fatalf("the step is %+v, want stage %s", step, c.want)
			}
		})
	}
	t.Run("no answers", func(t *testing.T) {
		x := newScene(table.RolloutShifted)
		x.watch = NewWatch(x.watch.record, x.watch.limits)
		for _, id := range testBoxes {
			x.watch.Take(x.facts.Elapsed, Report{Box: id, Start: 1, Revision: 7})
		}
		if step := x.decide(); step != nil {
			t.Fatalf("the step is %+v", step)
		}
	})
}
