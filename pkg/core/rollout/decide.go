package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// DecisionInput are what a decision needs beside the evidence.
type DecisionInput struct {
	// Elapsed is the time since the order; LeaderFor for how long of it this leader has led.
	Elapsed, LeaderFor time.Duration
	Plan               Plan
	// Boxes are those that may still send calls by an old table.
	Boxes []units.BoxID
	// Old and New are the targets of both versions.
	Old, New Candidates
}

const (
	// maxReportAge is how old a box's report may be when all calls of the old version are said
	// to be over: a box whose exposure has run out since would send calls there again.
	maxReportAge = 700 * time.Millisecond
	// newLeaderReportWait is how long a new leader waits for the reports of all boxes: a box sends 2 to 3 a
	// second, so one that sent none in that time has stopped or is cut off, and would hold up the
	// rollout until its deadline.
	newLeaderReportWait = 1500 * time.Millisecond
	// minAnswers is how many answers a version must have given to get all calls. Of a
	// version of which a tenth of the answers is bad, 20 show two.
	minAnswers = 20
	// lowTrafficSlacks is how many times the slack a service's calls may be for fewerAnswers to do:
	// so few don't give more, nor do many of them meet a bad version.
	lowTrafficSlacks     = 5
	minAnswersLowTraffic = 5
)

// Decide returns the step that is due, or nil.
func (m *Monitor) Decide(f *DecisionInput) *table.RolloutStep {
	m.closeDueWindow(f.Elapsed)
	switch v := m.judge.Verdict(); {
	case v.Bad:
		return m.rollBack(f, "the new version is bad: "+v.Reason)
	case f.Elapsed >= f.Plan.RollBackAt:
		return m.rollBack(f, "the time is over: "+m.timeoutReason(f))
	case m.record.Stage == table.RolloutShifted:
		return m.complete(f)
	case f.Elapsed >= f.Plan.ShiftAt:
		return m.shift(f, v)
	}
	return m.adjustTrial(f)
}

func (m *Monitor) newStep(f *DecisionInput, stage table.RolloutStage, reason string) *table.RolloutStep {
	return &table.RolloutStep{
		Service: m.record.Service, Order: m.record.Order, Stage: stage, Share: m.record.Share,
		Targets: m.record.Targets, Elapsed: f.Elapsed, Reason: reason,
	}
}

func (m *Monitor) rollBack(f *DecisionInput, reason string) *table.RolloutStep {
	return m.newStep(f, table.RolloutRolledBack, reason)
}

// adjustTrial keeps as many targets in the trial as it takes.
func (m *Monitor) adjustTrial(f *DecisionInput) *table.RolloutStep {
	share := trialFraction * m.limits.Share
	selected := f.New.selectForTrial(trialTargetCount(share, f.Old, f.New), m.record.Targets)
	if len(selected) == 0 || len(selected) <= len(m.record.Targets) && f.New.containsAll(m.record.Targets) {
		return nil
	}
	s := m.newStep(f, table.RolloutTrial, fmt.Sprintf("%d of %d targets of the new version are tried", len(selected), len(f.New)))
	s.Targets, s.Share = selected, units.Percent(percent*share)
	return s
}

// shift gives the new version all calls if the evidence is for it. In doubt it rolls back: a
// good version that isn't completed is ordered again, a bad one that is harms every caller.
func (m *Monitor) shift(f *DecisionInput, v Verdict) *table.RolloutStep {
	if v.Suspect {
		return m.rollBack(f, "the new version is suspect: "+v.Reason)
	}
	if why := m.shiftBlockedReason(f); why != "" {
		if f.Elapsed < f.Plan.LatestShift {
			return nil
		}
		return m.rollBack(f, why)
	}
	s := m.newStep(f, table.RolloutShifted, "the new version is as good as the old one: "+m.judge.all.describe())
	s.Share = fullShare
	return s
}

// shiftBlockedReason says why the new version can't take all calls yet, or is empty.
func (m *Monitor) shiftBlockedReason(f *DecisionInput) string {
	total := m.Total()
	answers := total.New.Answers()
	switch {
	case !m.allReported(f):
		return "not all boxes have reported what they saw"
	case !f.New.hasCapacityFor(f.Old):
		return fmt.Sprintf("the %d targets of the new version can't take the calls of %d", len(f.New), len(f.Old))
	case answers < m.requiredAnswers():
		return fmt.Sprintf("%d answers of the new version are too few to judge it", answers)
	}
	return ""
}

// requiredAnswers is how many answers the new version must have given.
func (m *Monitor) requiredAnswers() uint64 {
	total := m.Total()
	if total.New.Answers()+total.Old.Answers() < uint64(lowTrafficSlacks*m.limits.Slack) {
		return minAnswersLowTraffic
	}
	return minAnswers
}

// allReported tells whether every box has sent a report, or has had time enough for one.
func (m *Monitor) allReported(f *DecisionInput) bool {
	if f.LeaderFor >= newLeaderReportWait {
		return true
	}
	return !slices.ContainsFunc(f.Boxes, func(id units.BoxID) bool { return m.reports[id] == nil })
}

// complete ends the rollout once no box sends anything to the old version or waits for it, and
// all reported answers are judged. A leader that took over in the shift would otherwise complete
// a version of which it has judged no answer.
func (m *Monitor) complete(f *DecisionInput) *table.RolloutStep {
	if !m.drained(f) {
		return nil
	}
	if m.reportedAnswers() < m.requiredAnswers() {
		return nil
	}
	m.closeWindow(f.Elapsed)
	if v := m.judge.Verdict(); v.Bad {
		return m.rollBack(f, "the new version is bad: "+v.Reason)
	}
	return m.newStep(f, table.RolloutCompleted, "no calls are under way at the old version: "+m.judge.all.describe())
}

func (m *Monitor) drained(f *DecisionInput) bool { return m.undrainedBox(f) == "" }

// undrainedBox names a box that may still have calls under way at the old version.
func (m *Monitor) undrainedBox(f *DecisionInput) units.BoxID {
	for _, id := range f.Boxes {
		r := m.reports[id]
		if r == nil || r.revision < m.record.Since || r.inFlight > 0 || f.Elapsed-r.receivedAt > maxReportAge {
			return id
		}
	}
	return ""
}

// timeoutReason says what a rollout that ran out of time has waited for.
func (m *Monitor) timeoutReason(f *DecisionInput) string {
	if m.record.Stage == table.RolloutShifted {
		if box := m.undrainedBox(f); box != "" {
			return fmt.Sprintf("box %s may still have calls under way at the old version", box)
		}
		return fmt.Sprintf("%d answers of the new version are too few to judge it", m.reportedAnswers())
	}
	if why := m.shiftBlockedReason(f); why != "" {
		return why
	}
	return "no quorum of control replicas was there in time"
}
