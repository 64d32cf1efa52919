package rollout

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Monitor collects the boxes' reports on one rollout for the leader and decides its steps. A new
// leader begins with an empty one and gets the boxes' complete counts with their next reports.
type Monitor struct {
	limits Limits
	record table.Rollout
	judge  *Judge
	// reports holds the last report of each box.
	reports map[units.BoxID]*boxReport
	// window collects answers until windowEnds, a time since the order.
	window     Window
	windowEnds time.Duration
}

// boxReport is the last report of a box.
type boxReport struct {
	start      uint64
	receivedAt time.Duration
	// revision is that of the table that was in force at the box.
	revision units.Revision
	// inFlight is how many calls the box had in flight at the old version.
	inFlight uint32
	counts   map[reportKey]Counts
}

type reportKey struct {
	software units.SoftwareVersion
	route    RouteID
}

// NewMonitor returns a monitor of a rollout. Update must be called whenever the record changes.
func NewMonitor(record table.Rollout, l Limits) *Monitor {
	return &Monitor{
		limits: l, record: record, judge: NewJudge(windowCount(record.Duration)),
		reports: map[units.BoxID]*boxReport{}, window: Window{},
	}
}

// Update replaces the record of the rollout after a change.
func (m *Monitor) Update(record table.Rollout) { m.record = record }

// Order returns the revision that ordered the rollout and identifies it.
func (m *Monitor) Order() units.Revision { return m.record.Order }

// Report is the part of a box's lease request that concerns rollouts.
type Report struct {
	Box units.BoxID
	// Start identifies the box's process; counts restart from zero with each.
	Start    uint64
	Revision units.Revision
	Evidence []Evidence
}

// RecordReport adds a box's report; elapsed is the time since the order.
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

// closeDueWindow closes the current window if its time is over.
func (m *Monitor) closeDueWindow(elapsed time.Duration) {
	if elapsed >= m.windowEnds {
		m.closeWindow(elapsed)
	}
}

// closeWindow gives the current window to the judge and begins the next one.
func (m *Monitor) closeWindow(elapsed time.Duration) {
	m.windowEnds = elapsed + WindowLength
	m.judge.Observe(m.window)
	m.window = Window{}
}

// reportedAnswers returns how many answers of the new version boxes have reported, judged or not.
func (m *Monitor) reportedAnswers() uint64 {
	total := m.Total()
	answers := total.New.Answers()
	for _, s := range m.window {
		answers += s.New.Answers()
	}
	return answers
}

// Total returns the counts of the answers that were judged.
func (m *Monitor) Total() Sample { return m.judge.Total() }

// Share returns the percentage of the service's calls that the new version is to get now; leaderFor is
// how long this process has been the leader.
func (m *Monitor) Share(elapsed, leaderFor time.Duration, p Plan) units.Percent {
	if m.record.Stage == table.RolloutShifted {
		return fullShare
	}
	total := m.Total()
	rate := 0.0
	// A new leader hasn't got the reports of all boxes yet. A service with many calls would look
	// like one with few, and up to 30 % of its calls would be on trial.
	if elapsed > 0 && leaderFor >= newLeaderReportWait {
		rate = float64(total.New.Answers()+total.Old.Answers()) / elapsed.Seconds()
	}
	return units.Percent(percent * m.limits.TrialShare(rate, p.ShiftAt))
}

const (
	// percent converts fractions to percentages: limits are fractions of one, the table's shares
	// are percentages.
	percent = 100
	// fullShare is the share of a version that gets all calls.
	fullShare = units.Percent(percent)
)
