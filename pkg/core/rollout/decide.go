package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Facts are what a decision needs beside the evidence.
type Facts struct {
	// Elapsed is the time since the order; InOffice for how long of it this leader has led.
	Elapsed, InOffice time.Duration
	Plan              Plan
	// Boxes are those that may still send calls by an old table.
	Boxes []units.BoxID
	// Old and New are the targets of both versions.
	Old, New Side
}

const (
	// reportAge is how old a box's report may be when all calls of the old version are said
	// to be over: a box whose exposure has run out since would send calls there again.
	reportAge = 700 * time.Millisecond
	// reportWait is how long a new leader waits for the reports of all boxes: a box sends 2 to 3 a
	// second, so one that sent none in that time has stopped or is cut off, and would hold up the
	// rollout until its deadline.
	reportWait = 1500 * time.Millisecond
	// leastAnswers is how many answers a version must have given to get all calls. Of a
	// version of which a tenth of the answers is bad, 20 show two.
	leastAnswers = 20
	// fewCalls is how many times the slack a service's calls may be for fewerAnswers to do:
	// so few don't give more, nor do many of them meet a bad version.
	fewCalls     = 5
	fewerAnswers = 5
)

// Decide returns the step that is due, or nil.
func (w *Watch) Decide(f *Facts) *table.RolloutStep {
	w.closeWindow(f.Elapsed)
	switch v := w.judge.Verdict(); {
	case v.Bad:
		return w.rollBack(f, "the new version is bad: "+v.Reason)
	case f.Elapsed >= f.Plan.GiveUpAt:
		return w.rollBack(f, "the time is over: "+w.missing(f))
	case w.record.Stage == table.RolloutShifted:
		return w.complete(f)
	case f.Elapsed >= f.Plan.ShiftAt:
		return w.shift(f, v)
	}
	return w.adjustTrial(f)
}

func (w *Watch) step(f *Facts, stage table.RolloutStage, reason string) *table.RolloutStep {
	return &table.RolloutStep{
		Service: w.record.Service, Order: w.record.Order, Stage: stage, Share: w.record.Share,
		Targets: w.record.Targets, Elapsed: f.Elapsed, Reason: reason,
	}
}

func (w *Watch) rollBack(f *Facts, reason string) *table.RolloutStep {
	return w.step(f, table.RolloutRolledBack, reason)
}

// adjustTrial keeps as many targets in the trial as it takes.
func (w *Watch) adjustTrial(f *Facts) *table.RolloutStep {
	share := trialPart * w.limits.Share
	picked := f.New.pick(trialTargets(share, f.Old, f.New), w.record.Targets)
	if len(picked) == 0 || len(picked) <= len(w.record.Targets) && f.New.holdsAll(w.record.Targets) {
		return nil
	}
	s := w.step(f, table.RolloutTrial, fmt.Sprintf("%d of %d targets of the new version are tried", len(picked), len(f.New)))
	s.Targets, s.Share = picked, units.Percent(percent*share)
	return s
}

// shift gives the new version all calls if the evidence is for it. In doubt it rolls back: a
// good version that isn't completed is ordered again, a bad one that is harms every caller.
func (w *Watch) shift(f *Facts, v Verdict) *table.RolloutStep {
	if v.Suspect {
		return w.rollBack(f, "the new version is suspect: "+v.Reason)
	}
	if why := w.obstacle(f); why != "" {
		if f.Elapsed < f.Plan.LatestShift {
			return nil
		}
		return w.rollBack(f, why)
	}
	s := w.step(f, table.RolloutShifted, "the new version is as good as the old one: "+w.judge.all.describe())
	s.Share = wholeShare
	return s
}

// obstacle says why the new version can't take all calls yet, or is empty.
func (w *Watch) obstacle(f *Facts) string {
	total := w.Total()
	answers := total.New.Answers()
	switch {
	case !w.allReported(f):
		return "not all boxes have reported what they saw"
	case !f.New.hasRoomFor(f.Old):
		return fmt.Sprintf("the %d targets of the new version can't take the calls of %d", len(f.New), len(f.Old))
	case answers < w.answersNeeded():
		return fmt.Sprintf("%d answers of the new version are too few to judge it", answers)
	}
	return ""
}

// answersNeeded is how many answers the new version must have given.
func (w *Watch) answersNeeded() uint64 {
	total := w.Total()
	if total.New.Answers()+total.Old.Answers() < uint64(fewCalls*w.limits.Slack) {
		return fewerAnswers
	}
	return leastAnswers
}

// allReported tells whether every box has sent a report, or has had time enough for one.
func (w *Watch) allReported(f *Facts) bool {
	if f.InOffice >= reportWait {
		return true
	}
	return !slices.ContainsFunc(f.Boxes, func(id units.BoxID) bool { return w.reports[id] == nil })
}

// complete ends the rollout once no box sends anything to the old version or waits for it, and
// all reported answers are judged. A leader that took over in the shift would otherwise complete
// a version of which it has judged no answer.
func (w *Watch) complete(f *Facts) *table.RolloutStep {
	if !w.drained(f) {
		return nil
	}
	if w.toldOf() < w.answersNeeded() {
		return nil
	}
	w.judgeWindow(f.Elapsed)
	if v := w.judge.Verdict(); v.Bad {
		return w.rollBack(f, "the new version is bad: "+v.Reason)
	}
	return w.step(f, table.RolloutCompleted, "no calls are under way at the old version: "+w.judge.all.describe())
}

func (w *Watch) drained(f *Facts) bool { return w.undrained(f) == "" }

// undrained names a box that may still have calls under way at the old version.
func (w *Watch) undrained(f *Facts) units.BoxID {
	for _, id := range f.Boxes {
		r := w.reports[id]
		if r == nil || r.revision < w.record.Since || r.underWay > 0 || f.Elapsed-r.at > reportAge {
			return id
		}
	}
	return ""
}

// missing says what a rollout that ran out of time has waited for.
func (w *Watch) missing(f *Facts) string {
	if w.record.Stage == table.RolloutShifted {
		if box := w.undrained(f); box != "" {
			return fmt.Sprintf("box %s may still have calls under way at the old version", box)
		}
		return fmt.Sprintf("%d answers of the new version are too few to judge it", w.toldOf())
	}
	if why := w.obstacle(f); why != "" {
		return why
	}
	return "no quorum of control replicas was there in time"
}
