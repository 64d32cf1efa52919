package rollout

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Watch is what a leader knows of one rollout under way. A new leader begins with an empty
// one and has all of the boxes' counts with their next reports.
type Watch struct {
	limits Limits
	record table.Rollout
	judge  *Judge
	// reports are the last ones of each box.
	reports map[units.BoxID]*report
	// window collects answers until windowEnds.
	window     Window
	windowEnds time.Duration
}

// report is what a box has said last.
type report struct {
	start uint64
	at    time.Duration
	// revision is that of the table that the box had in force.
	revision units.Revision
	// underWay is how many calls of the old version it waited for.
	underWay uint32
	counts   map[reportKey]Counts
}

type reportKey struct {
	software units.SoftwareVersion
	route    RouteID
}

// NewWatch returns a watch of a rollout. Its record is kept up to date with Update.
func NewWatch(record table.Rollout, l Limits) *Watch {
	return &Watch{
		limits: l, record: record, judge: NewJudge(windows(record.Duration)),
		reports: map[units.BoxID]*report{}, window: Window{},
	}
}

// Update takes the record after a change.
func (w *Watch) Update(record table.Rollout) { w.record = record }

// Order names the rollout.
func (w *Watch) Order() units.Revision { return w.record.Order }

// Report is a box's request for a lease, as far as it concerns rollouts.
type Report struct {
	Box units.BoxID
	// Start names the box's start; counts begin anew with each.
	Start    uint64
	Revision units.Revision
	Evidence []Evidence
}

// Take takes a box's report at a time since the order.
func (w *Watch) Take(elapsed time.Duration, r Report) {
	held := w.reports[r.Box]
	if held == nil || held.start != r.Start {
		held = &report{start: r.Start, counts: map[reportKey]Counts{}}
		w.reports[r.Box] = held
	}
	held.at, held.revision, held.underWay = elapsed, r.Revision, 0
	for i := range r.Evidence {
		w.takeEvidence(held, &r.Evidence[i])
	}
}

func (w *Watch) takeEvidence(held *report, x *Evidence) {
	if x.Service != w.record.Service || x.Order != w.record.Order {
		return
	}
	if x.Software == w.record.From {
		held.underWay += x.UnderWay
	}
	key := reportKey{software: x.Software, route: x.Route}
	before, now := held.counts[key], Counts{Good: x.Good, Bad: x.Bad, Times: x.Times}
	if now.Answers() < before.Answers() {
		return
	}
	held.counts[key] = now
	fresh := now.since(&before)
	switch s := w.window.sample(x.Route); x.Software {
	case w.record.To:
		s.New.Add(&fresh)
	case w.record.From:
		s.Old.Add(&fresh)
	}
}

// closeWindow has the judge see a window that is over.
func (w *Watch) closeWindow(elapsed time.Duration) {
	if elapsed >= w.windowEnds {
		w.judgeWindow(elapsed)
	}
}

// judgeWindow has the judge see the present window and begins the next.
func (w *Watch) judgeWindow(elapsed time.Duration) {
	w.windowEnds = elapsed + Period
	w.judge.Observe(w.window)
	w.window = Window{}
}

// toldOf is how many answers of the new version boxes have reported, judged or not.
func (w *Watch) toldOf() uint64 {
	total := w.Total()
	answers := total.New.Answers()
	for _, s := range w.window {
		answers += s.New.Answers()
	}
	return answers
}

// Total returns the answers that were judged.
func (w *Watch) Total() Sample { return w.judge.Total() }

// Share is the share of the service's calls that the new version is to get now, by a leader
// that has led for a time.
func (w *Watch) Share(elapsed, led time.Duration, p Plan) units.Percent {
	if w.record.Stage == table.RolloutShifted {
		return wholeShare
	}
	total := w.Total()
	rate := 0.0
	// A new leader hasn't heard of all calls yet. A service with many would look like one with
	// few, and have up to 30 in 100 of its calls on trial.
	if elapsed > 0 && led >= reportWait {
		rate = float64(total.New.Answers()+total.Old.Answers()) / elapsed.Seconds()
	}
	return units.Percent(percent * w.limits.TrialShare(rate, p.ShiftAt))
}

const (
	// percent is how many hundredths a whole has: limits are parts of one, the table's shares
	// percentages.
	percent = 100
	// wholeShare is the share of a version that takes all calls.
	wholeShare = units.Percent(percent)
)
