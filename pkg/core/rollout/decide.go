package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// DecisionInput is what a decision needs besides the evidence.
type DecisionInput struct {
	// Elapsed is the time since the rollout was ordered; LeaderFor is how much of it this process
	// has been the leader.
	Elapsed, LeaderFor time.Duration
	Plan               Plan
	// Boxes are those that may still send calls, also by an outdated table.
	Boxes []units.BoxID
	// Old and New are the available targets of both versions.
	Old, New Candidates
}

const (
	// maxReportAge is how old a box's report may be when the old version is declared free of
	// calls: a box whose exposure has expired since then would send calls there again.
	maxReportAge = 700 * time.Millisecond
	// newLeaderReportWait is how long a new leader waits for the reports of all boxes. A box sends
	// 2 to 3 a second, so one that sent none in that time has stopped or is cut off, and would
	// delay the rollout until its deadline.
	newLeaderReportWait = 1500 * time.Millisecond
	// minAnswers is how many answers a version must have given before it gets all calls. If a
	// tenth of its answers fail, 20 answers contain two failures on average.
	minAnswers = 20
	// minAnswersLowTraffic is enough for a service with fewer calls than lowTrafficSlacks times the
	// slack: such a service doesn't give more answers in time, and few of its calls reach a bad
	// version.
	lowTrafficSlacks     = 5
	minAnswersLowTraffic = 5
)

// Decide returns the step that is due, or nil if none is.
func (m *Monitor) Decide(in *DecisionInput) *table.RolloutStep {
	m.closeDueWindow(in.Elapsed)
	switch v := m.judge.Verdict(); {
	case v.Bad:
		return m.rollBack(in, "the new version is bad: "+v.Reason)
	case in.Elapsed >= in.Plan.RollBackAt:
		return m.rollBack(in, "the time is over: "+m.timeoutReason(in))
	case m.record.Stage == table.RolloutShifted:
		return m.complete(in)
	case in.Elapsed >= in.Plan.ShiftAt:
		return m.shift(in, v)
	}
	return m.adjustTrial(in)
}

func (m *Monitor) newStep(in *DecisionInput, stage table.RolloutStage, reason string) *table.RolloutStep {
	return &table.RolloutStep{
		Service: m.record.Service, Order: m.record.Order, Stage: stage, Share: m.record.Share,
		Targets: m.record.Targets, Elapsed: in.Elapsed, Reason: reason,
	}
}

func (m *Monitor) rollBack(in *DecisionInput, reason string) *table.RolloutStep {
	return m.newStep(in, table.RolloutRolledBack, reason)
}

// adjustTrial returns a step that changes the targets on trial if they are too few or one of them is no
// longer available, and nil otherwise.
func (m *Monitor) adjustTrial(in *DecisionInput) *table.RolloutStep {
	share := trialFraction * m.limits.Share
	selected := in.New.selectForTrial(trialTargetCount(share, in.Old, in.New), m.record.Targets)
	if len(selected) == 0 || len(selected) <= len(m.record.Targets) && in.New.containsAll(m.record.Targets) {
		return nil
	}
	s := m.newStep(in, table.RolloutTrial, fmt.Sprintf("%d of %d targets of the new version are tried", len(selected), len(in.New)))
	s.Targets, s.Share = selected, units.Percent(percent*share)
	return s
}

// shift gives the new version all calls if the evidence supports it. In doubt it rolls back: a good
// version that isn't completed can be ordered again, a bad one that is completed harms every
// caller.
func (m *Monitor) shift(in *DecisionInput, v Verdict) *table.RolloutStep {
	if v.Suspect {
		return m.rollBack(in, "the new version is suspect: "+v.Reason)
	}
	if why := m.shiftBlockedReason(in); why != "" {
		if in.Elapsed < in.Plan.LatestShift {
			return nil
		}
		return m.rollBack(in, why)
	}
	s := m.newStep(in, table.RolloutShifted, "the new version is as good as the old one: "+m.judge.all.describe())
	s.Share = fullShare
	return s
}

// shiftBlockedReason returns why the new version can't get all calls yet, or an empty text if it can.
func (m *Monitor) shiftBlockedReason(in *DecisionInput) string {
	total := m.Total()
	answers := total.New.Answers()
	switch {
	case !m.allReported(in):
		return "not all boxes have reported what they saw"
	case !in.New.hasCapacityFor(in.Old):
		return fmt.Sprintf("the %d targets of the new version can't take the calls of %d", len(in.New), len(in.Old))
	case answers < m.requiredAnswers():
		return fmt.Sprintf("%d answers of the new version are too few to judge it", answers)
	}
	return ""
}

// requiredAnswers returns how many answers the new version must have given before it gets all calls.
func (m *Monitor) requiredAnswers() uint64 {
	total := m.Total()
	if total.New.Answers()+total.Old.Answers() < uint64(lowTrafficSlacks*m.limits.Slack) {
		return minAnswersLowTraffic
	}
	return minAnswers
}

// allReported reports whether every box has sent a report, or has had enough time for one.
func (m *Monitor) allReported(in *DecisionInput) bool {
	if in.LeaderFor >= newLeaderReportWait {
		return true
	}
	return !slices.ContainsFunc(in.Boxes, func(id units.BoxID) bool { return m.reports[id] == nil })
}

// complete ends the rollout once no box sends calls to the old version or waits for its answers, and
// all reported answers are judged. A leader that took over after the shift would otherwise complete
// a version of which it has judged no answers.
func (m *Monitor) complete(in *DecisionInput) *table.RolloutStep {
	if !m.drained(in) {
		return nil
	}
	if m.reportedAnswers() < m.requiredAnswers() {
		return nil
	}
	m.closeWindow(in.Elapsed)
	if v := m.judge.Verdict(); v.Bad {
		return m.rollBack(in, "the new version is bad: "+v.Reason)
	}
	return m.newStep(in, table.RolloutCompleted, "no calls are under way at the old version: "+m.judge.all.describe())
}

func (m *Monitor) drained(in *DecisionInput) bool { return m.undrainedBox(in) == "" }

// undrainedBox returns a box that may still have calls in flight at the old version, or an empty id.
func (m *Monitor) undrainedBox(in *DecisionInput) units.BoxID {
	for _, id := range in.Boxes {
		r := m.reports[id]
		if r == nil || r.revision < m.record.Since || r.inFlight > 0 || in.Elapsed-r.receivedAt > maxReportAge {
			return id
		}
	}
	return ""
}

// timeoutReason returns what a rollout that ran out of time was waiting for.
func (m *Monitor) timeoutReason(in *DecisionInput) string {
	if m.record.Stage == table.RolloutShifted {
		if box := m.undrainedBox(in); box != "" {
			return fmt.Sprintf("box %s may still have calls under way at the old version", box)
		}
		return fmt.Sprintf("%d answers of the new version are too few to judge it", m.reportedAnswers())
	}
	if why := m.shiftBlockedReason(in); why != "" {
		return why
	}
	return "no quorum of control replicas was there in time"
}
