package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// Error bounds, tolerances and minimum sample sizes of the judge.
const (
	// maxFalseAlarmProbability bounds the probability that a good version is found bad in one rollout.
	// Each false alarm is a rollout that an operator must order again.
	maxFalseAlarmProbability = 0.02
	// suspectBound is the weaker bound at which a version is suspect and isn't given all calls,
	// since rolling back a bad one after that costs callers far more than ordering a good one
	// again. It bounds only the expected value of the detectors' sums, not a probability; the
	// simulations of TestErrorRates allow at most 2 in 100 good versions to be stopped for either
	// reason.
	suspectBound = 1
	// allowedOddsRatio is how much higher the odds of a failure may be at the new version than at
	// the old, since targets of one version differ among themselves. allowedSlowOddsRatio is the
	// same for slow answers, where slowMarginBuckets already allows a difference.
	allowedOddsRatio     = 1.3
	allowedSlowOddsRatio = 1.1
	// allowedCarriedOddsRatio replaces both when the comparison is with earlier windows of the old
	// version, because it gets hardly any calls now: a fault that would affect both versions then
	// looks like one of the new.
	allowedCarriedOddsRatio = 3
	// slowMarginBuckets is how many buckets longer answers of the new version may take: one bucket
	// is a factor of the square root of two, since targets are at different distances.
	// carriedSlowMarginBuckets is the same for a comparison with earlier windows.
	slowMarginBuckets        = 1
	carriedSlowMarginBuckets = 2
	// minEvents is how many failures or slow answers it takes to find a version bad: a target that
	// crashes breaks as many calls at once as it has slots.
	minEvents = 6
	// minSuspectEvents is how many failures or slow answers it takes to find a version suspect. It
	// is below minEvents, since a suspect version isn't rolled back at once, but only doesn't get
	// all calls at the end of the trial.
	minSuspectEvents = 3
	// minWindows is the number of windows over which minEvents must be spread, for the same reason.
	minWindows = 2
	// minEventsInOneWindow is how many events are enough even within a single window: more calls
	// than a crashing target breaks, so that a version of which every answer fails is found bad at
	// once.
	minEventsInOneWindow = 25
	// minOldAnswerFraction is the fraction of the new version's answers below which the old
	// version's answers of the same window are too few to compare with, so that those of earlier
	// windows are used.
	minOldAnswerFraction = 0.1
	// carryDecay is the factor by which the old version's carried counts decay per window, so
	// that they cover about ten windows: older ones don't represent the current load.
	carryDecay = 0.9
)

var (
	// failureOddsRatios and slowOddsRatios are the odds ratios, relative to the allowed one, that
	// the detectors assume for a faulty version.
	failureOddsRatios = []float64{2, 4, 12, 50}
	slowOddsRatios    = []float64{2, 5, 20}
	// slowQuantiles are the quantiles of the old version's times above which an answer counts as
	// slow, one detector each.
	slowQuantiles = []float64{0.5, 0.75, 0.9}
)

// Judge compares a new version with the old one, window by window.
type Judge struct {
	// maxWindows is how many windows the rollout has at most. The thresholds are proportional to it.
	maxWindows int
	all        *comparison
	routes     map[RouteID]*comparison
	// total counts the answers of all windows and routes.
	total Sample
}

// NewJudge returns a judge for a rollout of up to maxWindows windows.
func NewJudge(maxWindows int) *Judge {
	return &Judge{maxWindows: max(1, maxWindows), all: newComparison(), routes: map[RouteID]*comparison{}}
}

// Observe updates the judge with the answers of a window.
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

// Total returns the counts of all windows and routes.
func (j *Judge) Total() Sample { return j.total }

// Verdict is a finding on the new version.
type Verdict struct {
	// Bad is set if the new version is worse than the old one with little risk of a false alarm,
	// Suspect if the evidence against it is too strong to give it all calls.
	Bad, Suspect bool
	Reason       string
}

// Verdict returns the finding on all windows observed so far.
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

// evidence returns the weighted sum of the detectors for which hasEnough holds, the comparison that
// adds most to it, and the route of that comparison as a suffix for a message; the suffix is empty
// for all routes together.
func (j *Judge) evidence(hasEnough func(*eventTally) bool) (sum float64, worst *comparison, where string) {
	sum, worst = j.all.evidence(hasEnough)/2, j.all
	largest := sum
	for _, id := range slices.Sorted(maps.Keys(j.routes)) {
		c := j.routes[id]
		e := c.evidence(hasEnough) / 2 / float64(len(j.routes))
		sum += e
		if e > largest {
			worst, where, largest = c, " on "+string(id), e
		}
	}
	return sum, worst, where
}

// eventTally counts events of the new version, either failures or slow answers, and the windows
// with any.
type eventTally struct{ events, windows uint64 }

func (t *eventTally) add(events uint64) {
	if events > 0 {
		t.events += events
		t.windows++
	}
}

// isSufficient reports whether the events are enough to find a version bad.
func (t *eventTally) isSufficient() bool {
	return t.events >= minEventsInOneWindow || t.events >= minEvents && t.windows >= minWindows
}

// isSuspicious reports whether the events are enough to find a version suspect.
func (t *eventTally) isSuspicious() bool { return t.events >= minSuspectEvents }

// comparison compares the versions on one route, or on all routes together.
type comparison struct {
	failures     detector
	slowness     []detector
	failedEvents eventTally
	slowEvents   []eventTally
	// carried are the old version's counts of the last windows, which decay by carryDecay per
	// window; total are the counts of both versions in all windows.
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

// evidence returns the weighted sum of the detectors for which hasEnough holds.
func (c *comparison) evidence(hasEnough func(*eventTally) bool) float64 {
	total := 0.0
	if hasEnough(&c.failedEvents) {
		total += c.failures.mean() / 2
	}
	for i := range c.slowness {
		if hasEnough(&c.slowEvents[i]) {
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

// observeTimes compares how many answers were slow. The thresholds are quantiles of earlier windows,
// so that they don't depend on the window's own times.
func (c *comparison) observeTimes(newer, old *Counts, oddsRatio float64, margin int) {
	if c.carried.Successes == 0 {
		return
	}
	for i, q := range slowQuantiles {
		bucket := c.carried.Times.quantile(q)
		slowAnswers := newer.Times.countAbove(bucket + margin)
		c.slowness[i].observe(oddsRatio, split{newCalls: newer.Times.Total(), oldCalls: old.Times.Total(), newEvents: slowAnswers, oldEvents: old.Times.countAbove(bucket)})
		c.slowEvents[i].add(slowAnswers)
	}
}

// carry adds a window of the old version to its carried counts.
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

// describe returns the counts as text, for the reason of a step.
func (c *comparison) describe() string {
	n, o := &c.total.New, &c.total.Old
	return fmt.Sprintf("%d of %d answers bad against %d of %d, half within %s against %s",
		n.Failures, n.Answers(), o.Failures, o.Answers(), n.Times.median(), o.Times.median())
}
