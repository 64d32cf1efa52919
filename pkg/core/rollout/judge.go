package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// What the judge allows, assumes and asks for.
const (
	// falseAlarm bounds the probability that a good version is found bad in one rollout:
	// each one is a rollout that an operator must order again.
	falseAlarm = 0.02
	// suspicion is the weaker bound at which a version isn't given all calls, since taking
	// back a bad one then costs callers far more than ordering a good one again. It bounds
	// the sums' mean only; the replays of TestErrorRates allow 2 in 100 good versions to be
	// stopped in all.
	suspicion = 1
	// allowedOdds is how much worse a version may look beside the other, since targets of
	// one version differ among themselves; allowedSlowOdds is that for times, where the
	// thresholds leave room already.
	allowedOdds     = 1.3
	allowedSlowOdds = 1.1
	// allowedLater is how much worse it may look than the other was before, when nothing
	// is sent to that one any more, so that a common fault can't be told apart.
	allowedLater = 3
	// roomBuckets is how much longer answers of the new version may take: the square root
	// of two, since targets are at different distances; roomLater is that against earlier
	// times.
	roomBuckets = 1
	roomLater   = 2
	// leastEvents is how many bad or slow answers it takes to find a version bad: a target that
	// crashes breaks as many calls at once as it has slots.
	leastEvents = 6
	// leastDoubts is how many bad or slow answers make a version suspect at the end of the trial.
	// Fewer than leastEvents do, since a version that is suspect only isn't shifted.
	leastDoubts = 3
	// leastWindows is in how many windows they must have come, for the same reason as leastEvents.
	leastWindows = 2
	// manyEvents is how many do in a single window: more calls than a crashing target breaks,
	// so that a version of which every answer is bad is found out at once.
	manyEvents = 25
	// carriedCalls is the part of the new version's answers below which a window's answers of
	// the old one are too few to compare with, so that those of the windows before serve.
	carriedCalls = 0.1
	// carryDecay is the part of the old version's past counts that stays for the next window, so
	// that about ten windows count: older ones tell little of the present load.
	carryDecay = 0.9
)

var (
	// failureOdds and slowOdds are the odds ratios that faults of a version may have.
	failureOdds = []float64{2, 4, 12, 50}
	slowOdds    = []float64{2, 5, 20}
	// slowShares are the parts of the old version's answers that are faster than what
	// counts as slow.
	slowShares = []float64{0.5, 0.75, 0.9}
)

// Judge compares a new version with the old one, window by window.
type Judge struct {
	// windows is how many windows the rollout has at most, which sets the threshold.
	windows int
	all     *comparison
	routes  map[RouteID]*comparison
	// total is what was counted altogether.
	total Sample
}

// NewJudge returns a judge for a rollout of so many windows.
func NewJudge(windows int) *Judge {
	return &Judge{windows: max(1, windows), all: newComparison(), routes: map[RouteID]*comparison{}}
}

// Observe takes what was seen in a window.
func (j *Judge) Observe(w Window) {
	sum := Sample{}
	for _, id := range w.routes() {
		s := w[id]
		sum.New.Add(&s.New)
		sum.Old.Add(&s.Old)
		c := j.routes[id]
		if c == nil {
			c = newComparison()
			j.routes[id] = c
		}
		c.observe(s)
	}
	j.total.New.Add(&sum.New)
	j.total.Old.Add(&sum.Old)
	j.all.observe(&sum)
}

// Total returns what was counted altogether.
func (j *Judge) Total() Sample { return j.total }

// Verdict is what the evidence says.
type Verdict struct {
	// Bad is set when the version is worse than the old one beyond doubt, Suspect when
	// the evidence is too strong to give the version all calls.
	Bad, Suspect bool
	Reason       string
}

// Verdict returns what the evidence says now.
func (j *Judge) Verdict() Verdict {
	sure, worst, place := j.evidence((*seen).enough)
	v := Verdict{Bad: sure*falseAlarm >= float64(j.windows)}
	if !v.Bad {
		var doubt float64
		doubt, worst, place = j.evidence((*seen).doubtful)
		v.Suspect = doubt*suspicion >= float64(j.windows)
	}
	if v.Bad || v.Suspect {
		v.Reason = worst.describe() + place
	}
	return v
}

// evidence is the weighted sum of all detectors that have seen enough, with the comparison
// that adds most and its place.
func (j *Judge) evidence(enough func(*seen) bool) (sum float64, worst *comparison, place string) {
	sum, worst = j.all.evidence(enough)/2, j.all
	most := sum
	for _, id := range slices.Sorted(maps.Keys(j.routes)) {
		c := j.routes[id]
		e := c.evidence(enough) / 2 / float64(len(j.routes))
		sum += e
		if e > most {
			worst, place, most = c, " on "+string(id), e
		}
	}
	return sum, worst, place
}

// seen counts events of the new version, bad or slow answers, and the windows with any.
type seen struct{ events, windows uint64 }

func (s *seen) add(events uint64) {
	if events > 0 {
		s.events += events
		s.windows++
	}
}

// enough tells whether the events suffice to find a version bad.
func (s *seen) enough() bool {
	return s.events >= manyEvents || s.events >= leastEvents && s.windows >= leastWindows
}

// doubtful tells whether they suffice to suspect it.
func (s *seen) doubtful() bool { return s.events >= leastDoubts }

// comparison compares the versions on one route, or on all.
type comparison struct {
	failures detector
	slowness []detector
	failed   seen
	slow     []seen
	// before is what the old version did in the last windows, total all of both.
	before Counts
	total  Sample
}

func newComparison() *comparison {
	c := &comparison{failures: newDetector(failureOdds), slow: make([]seen, len(slowShares))}
	for range slowShares {
		c.slowness = append(c.slowness, newDetector(slowOdds))
	}
	return c
}

// evidence is the weighted sum of the detectors that have seen enough.
func (c *comparison) evidence(enough func(*seen) bool) float64 {
	total := 0.0
	if enough(&c.failed) {
		total += c.failures.mean() / 2
	}
	for i := range c.slowness {
		if enough(&c.slow[i]) {
			total += c.slowness[i].mean() / 2 / float64(len(c.slowness))
		}
	}
	return total
}

func (c *comparison) observe(s *Sample) {
	old, odds, slowOdds, room := &s.Old, float64(allowedOdds), float64(allowedSlowOdds), roomBuckets
	if float64(s.Old.Answers()) < carriedCalls*float64(s.New.Answers()) {
		old, odds, slowOdds, room = &c.before, allowedLater, allowedLater, roomLater
	}
	c.failures.observe(odds, split{newCalls: s.New.Answers(), oldCalls: old.Answers(), newEvents: s.New.Bad, oldEvents: old.Bad})
	c.failed.add(s.New.Bad)
	c.observeTimes(&s.New, old, slowOdds, room)
	c.total.New.Add(&s.New)
	c.total.Old.Add(&s.Old)
	c.carry(&s.Old)
}

// observeTimes compares how many answers were slow. The thresholds come from the windows
// before, so that a window's own times don't choose them.
func (c *comparison) observeTimes(fresh, old *Counts, odds float64, room int) {
	if c.before.Good == 0 {
		return
	}
	for i, share := range slowShares {
		bucket := c.before.Times.quantile(share)
		slow := fresh.Times.above(bucket + room)
		c.slowness[i].observe(odds, split{newCalls: fresh.Times.Total(), oldCalls: old.Times.Total(), newEvents: slow, oldEvents: old.Times.above(bucket)})
		c.slow[i].add(slow)
	}
}

// carry keeps the old version's last windows.
func (c *comparison) carry(old *Counts) {
	if old.Answers() == 0 {
		return
	}
	c.before.Good = uint64(carryDecay * float64(c.before.Good))
	c.before.Bad = uint64(carryDecay * float64(c.before.Bad))
	for i, n := range c.before.Times {
		c.before.Times[i] = uint32(carryDecay * float64(n))
	}
	c.before.Add(old)
}

// describe tells what was seen, for the record of a step.
func (c *comparison) describe() string {
	n, o := &c.total.New, &c.total.Old
	return fmt.Sprintf("%d of %d answers bad against %d of %d, half within %s against %s",
		n.Bad, n.Answers(), o.Bad, o.Answers(), n.Times.median(), o.Times.median())
}
