package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// What the judge allows, assumes and asks for.
const (
	// maxFalseAlarmProbability bounds the probability that a good version is found bad in one rollout:
	// each one is a rollout that an operator must order again.
	maxFalseAlarmProbability = 0.02
	// suspectBound is the weaker bound at which a version isn't given all calls, since taking
	// back a bad one then costs callers far more than ordering a good one again. It bounds
	// the sums' mean only; the replays of TestErrorRates allow 2 in 100 good versions to be
	// stopped in all.
	suspectBound = 1
	// allowedOddsRatio is how much worse a version may look beside the other, since targets of
	// one version differ among themselves; allowedSlowOdds is that for times, where the
	// thresholds leave room already.
	allowedOddsRatio     = 1.3
	allowedSlowOddsRatio = 1.1
	// allowedCarriedOddsRatio is how much worse it may look than the other was before, when nothing
	// is sent to that one any more, so that a common fault can't be told apart.
	allowedCarriedOddsRatio = 3
	// slowMarginBuckets is how much longer answers of the new version may take: the square root
	// of two, since targets are at different distances; roomLater is that against earlier
	// times.
	slowMarginBuckets        = 1
	carriedSlowMarginBuckets = 2
	// minEvents is how many bad or slow answers it takes to find a version bad: a target that
	// crashes breaks as many calls at once as it has slots.
	minEvents = 6
	// minSuspectEvents is how many bad or slow answers make a version suspect at the end of the trial.
	// Fewer than leastEvents do, since a version that is suspect only isn't shifted.
	minSuspectEvents = 3
	// minWindows is in how many windows they must have come, for the same reason as leastEvents.
	minWindows = 2
	// minEventsInOneWindow is how many do in a single window: more calls than a crashing target breaks,
	// so that a version of which every answer is bad is found out at once.
	minEventsInOneWindow = 25
	// minOldAnswerFraction is the part of the new version's answers below which a window's answers of
	// the old one are too few to compare with, so that those of the windows before serve.
	minOldAnswerFraction = 0.1
	// carryDecay is the part of the old version's past counts that stays for the next window, so
	// that about ten windows count: older ones tell little of the present load.
	carryDecay = 0.9
)

var (
	// failureOddsRatios and slowOdds are the odds ratios that faults of a version may have.
	failureOddsRatios = []float64{2, 4, 12, 50}
	slowOddsRatios    = []float64{2, 5, 20}
	// slowQuantiles are the parts of the old version's answers that are faster than what
	// counts as slow.
	slowQuantiles = []float64{0.5, 0.75, 0.9}
)

// Judge compares a new version with the old one, window by window.
type Judge struct {
	// maxWindows is how many maxWindows the rollout has at most, which sets the threshold.
	maxWindows int
	all        *comparison
	routes     map[RouteID]*comparison
	// total is what was counted altogether.
	total Sample
}

// NewJudge returns a judge for a rollout of so many windows.
func NewJudge(maxWindows int) *Judge {
	return &Judge{maxWindows: max(1, maxWindows), all: newComparison(), routes: map[RouteID]*comparison{}}
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
	strong, worst, where := j.evidence((*eventTally).isSufficient)
	v := Verdict{Bad: strong*maxFalseAlarmProbability >= float64(j.maxWindows)}
	if !v.Bad {
		var weak float64
		weak, worst, where = j.evidence((*eventTally).isSuspicious)
		v.Suspect = weak*suspectBound >= float64(j.maxWindows)
	}
	if v.Bad || v.Suspect {
		v.Reason = worst.describe() + where
	}
	return v
}

// evidence is the weighted sum of all detectors that have seen enough, with the comparison
// that adds most and its place.
func (j *Judge) evidence(counts func(*eventTally) bool) (sum float64, worst *comparison, where string) {
	sum, worst = j.all.evidence(counts)/2, j.all
	largest := sum
	for _, id := range slices.Sorted(maps.Keys(j.routes)) {
		c := j.routes[id]
		e := c.evidence(counts) / 2 / float64(len(j.routes))
		sum += e
		if e > largest {
			worst, where, largest = c, " on "+string(id), e
		}
	}
	return sum, worst, where
}

// eventTally counts events of the new version, bad or slow answers, and the windows with any.
type eventTally struct{ events, windows uint64 }

func (s *eventTally) add(events uint64) {
	if events > 0 {
		s.events += events
		s.windows++
	}
}

// isSufficient tells whether the events suffice to find a version bad.
func (s *eventTally) isSufficient() bool {
	return s.events >= minEventsInOneWindow || s.events >= minEvents && s.windows >= minWindows
}

// isSuspicious tells whether they suffice to suspect it.
func (s *eventTally) isSuspicious() bool { return s.events >= minSuspectEvents }

// comparison compares the versions on one route, or on all.
type comparison struct {
	failures     detector
	slowness     []detector
	failedEvents eventTally
	slowEvents   []eventTally
	// carried is what the old version did in the last windows, total all of both.
	carried Counts
	total   Sample
}

func newComparison() *comparison {
	c := &comparison{failures: newDetector(failureOddsRatios), slowEvents: make([]eventTally, len(slowQuantiles))}
	for range slowQuantiles {
		c.slowness = append(c.slowness, newDetector(slowOddsRatios))
	}
	return c
}

// evidence is the weighted sum of the detectors that have seen enough.
func (c *comparison) evidence(counts func(*eventTally) bool) float64 {
	total := 0.0
	if counts(&c.failedEvents) {
		total += c.failures.mean() / 2
	}
	for i := range c.slowness {
		if counts(&c.slowEvents[i]) {
			total += c.slowness[i].mean() / 2 / float64(len(c.slowness))
		}
	}
	return total
}

func (c *comparison) observe(s *Sample) {
	old, oddsRatio, slowOddsRatio, margin := &s.Old, float64(allowedOddsRatio), float64(allowedSlowOddsRatio), slowMarginBuckets
	if float64(s.Old.Answers()) < minOldAnswerFraction*float64(s.New.Answers()) {
		old, oddsRatio, slowOddsRatio, margin = &c.carried, allowedCarriedOddsRatio, allowedCarriedOddsRatio, carriedSlowMarginBuckets
	}
	c.failures.observe(oddsRatio, split{newCalls: s.New.Answers(), oldCalls: old.Answers(), newEvents: s.New.Failures, oldEvents: old.Failures})
	c.failedEvents.add(s.New.Failures)
	c.observeTimes(&s.New, old, slowOddsRatio, margin)
	c.total.New.Add(&s.New)
	c.total.Old.Add(&s.Old)
	c.carry(&s.Old)
}

// observeTimes compares how many answers were slow. The thresholds come from the windows
// before, so that a window's own times don't choose them.
func (c *comparison) observeTimes(newer, old *Counts, oddsRatio float64, margin int) {
	if c.carried.Successes == 0 {
		return
	}
	for i, share := range slowQuantiles {
		bucket := c.carried.Times.quantile(share)
		slow := newer.Times.countAbove(bucket + margin)
		c.slowness[i].observe(oddsRatio, split{newCalls: newer.Times.Total(), oldCalls: old.Times.Total(), newEvents: slow, oldEvents: old.Times.countAbove(bucket)})
		c.slowEvents[i].add(slow)
	}
}

// carry keeps the old version's last windows.
func (c *comparison) carry(old *Counts) {
	if old.Answers() == 0 {
		return
	}
	c.carried.Successes = uint64(carryDecay * float64(c.carried.Successes))
	c.carried.Failures = uint64(carryDecay * float64(c.carried.Failures))
	for i, n := range c.carried.Times {
		c.carried.Times[i] = uint32(carryDecay * float64(n))
	}
	c.carried.Add(old)
}

// describe tells what was seen, for the record of a step.
func (c *comparison) describe() string {
	n, o := &c.total.New, &c.total.Old
	return fmt.Sprintf("%d of %d answers bad against %d of %d, half within %s against %s",
		n.Failures, n.Answers(), o.Failures, o.Answers(), n.Times.median(), o.Times.median())
}
