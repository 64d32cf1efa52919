package rollout

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Monitor is what a leader knows of one rollout under way. A new leader begins with an empty
// one and has all of the boxes' counts with their next reports.
type Monitor struct {
	limits Limits
	record table.Rollout
	judge  *Judge
	// reports are the last ones of each box.
	reports map[units.BoxID]*boxReport
	// window collects answers until windowEnds.
	window     Window
	windowEnds time.Duration
}

// boxReport is what a box has said last.
type boxReport struct {
	start      uint64
	receivedAt time.Duration
	// revision is that of the table that the box had in force.
	revision units.Revision
	// inFlight is how many calls of the old version it waited for.
	inFlight uint32
	counts   map[reportKey]Counts
}

type reportKey struct {
	software units.SoftwareVersion
	route    RouteID
}

// NewMonitor returns a watch of a rollout. Its record is kept up to date with Update.
func NewMonitor(record table.Rollout, l Limits) *Monitor {
	return &Monitor{
		limits: l, record: record, judge: NewJudge(windowCount(record.Duration)),
		reports: map[units.BoxID]*boxReport{}, window: Window{},
	}
}

// Update takes the record after a change.
func (m *Monitor) Update(record table.Rollout) { m.record = record }

// Order names the rollout.
func (m *Monitor) Order() units.Revision { return m.record.Order }

// Report is a box's request for a lease, as far as it concerns rollouts.
type Report struct {
	Box units.BoxID
	// Start names the box's start; counts begin anew with each.
	Start    uint64
	Revision units.Revision
	Evidence []Evidence
}

// RecordReport takes a box's report at a time since the order.
func (m *Monitor) RecordReport(elapsed time.Duration, r Report) {
	last := m.reports[r.Box]
	if last == nil || last.start != r.Start {
		last = &boxReport{start: r.Start, counts: map[reportKey]Counts{}}
		m.reports[r.Box] = last
	}
	last.receivedAt, last.revision, last.inFlight = elapsed, r.Revision, 0
	for i := range r.Evidence {
		m.recordEvidence(last, &r.Evidence[i])
	}
}

func (m *Monitor) recordEvidence(last *boxReport, x *Evidence) {
	if x.Service != m.record.Service || x.Order != m.record.Order {
		return
	}
	if x.Software == m.record.From {
		last.inFlight += x.InFlight
	}
	key := reportKey{software: x.Software, route: x.Route}
	previous, current := last.counts[key], Counts{Successes: x.Successes, Failures: x.Failures, Times: x.Times}
	if current.Answers() < previous.Answers() {
		return
	}
	last.counts[key] = current
	added := current.since(&previous)
	switch s := m.window.sample(x.Route); x.Software {
	case m.record.To:
		s.New.Add(&added)
	case m.record.From:
		s.Old.Add(&added)
	}
}

// closeDueWindow has the judge see a window that is over.
func (m *Monitor) closeDueWindow(elapsed time.Duration) {
	if elapsed >= m.windowEnds {
		m.closeWindow(elapsed)
	}
}

// closeWindow has the judge see the present window and begins the next.
func (m *Monitor) closeWindow(elapsed time.Duration) {
	m.windowEnds = elapsed + WindowLength
	m.judge.Observe(m.window)
	m.window = Window{}
}

// reportedAnswers is how many answers of the new version boxes have reported, judged or not.
func (m *Monitor) reportedAnswers() uint64 {
	total := m.Total()
	answers := total.New.Answers()
	for _, s := range m.window {
		answers += s.New.Answers()
	}
	return answers
}

// Total returns the answers that were judged.
func (m *Monitor) Total() Sample { return m.judge.Total() }

// Share is the share of the service's calls that the new version is to get now, by a leader
// that has led for a time.
func (m *Monitor) Share(elapsed, leaderFor time.Duration, p Plan) units.Percent {
	if m.record.Stage == table.RolloutShifted {
		return fullShare
	}
	total := m.Total()
	rate := 0.0
	// A new leader hasn't heard of all calls yet. A service with many would look like one with
	// few, and have up to 30 in 100 of its calls on trial.
	if elapsed > 0 && leaderFor >= newLeaderReportWait {
		rate = float64(total.New.Answers()+total.Old.Answers()) / elapsed.Seconds()
	}
	return units.Percent(percent * m.limits.TrialShare(rate, p.ShiftAt))
}

const (
	// percent is how many hundredths a whole has: limits are parts of one, the table's shares
	// percentages.
	percent = 100
	// fullShare is the share of a version that takes all calls.
	fullShare = units.Percent(percent)
)
