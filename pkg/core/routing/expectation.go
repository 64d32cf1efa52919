package routing

import (
	"math"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Estimates of the time that a call takes at a registered target, in units of the work itself. Such
// a target runs a few calls at a time, shares its machine with other processes, and slows down when
// nearly full.

const (
	// paceLifetime is the age at which a reported pace has no weight any more: the load of other
	// processes on the machine changes in about this time.
	paceLifetime = 150 * time.Millisecond
	// defaultPace is the pace assumed for a target without a recent report.
	defaultPace = 1.6
	// loadLifetime is the age at which a reported load has no weight any more.
	loadLifetime = 400 * time.Millisecond
	// nearlyFullUtilization is the fraction of the slots in use from which on calls are slowed by
	// the factor nearlyFullSlowdown.
	nearlyFullUtilization = 0.8
	nearlyFullSlowdown    = 1.6
)

// expectedTime returns the expected time of a call of a route at the target if sent now, divided by
// the time of the work alone. A nil route stands for any.
func (t *target) expectedTime(now units.Instant, x *route) float64 {
	slots := t.slots()
	load := t.load(now) + 1
	time := t.expectedPace(now) * t.currentSlowdown(now)
	if load >= nearlyFullUtilization*slots {
		time *= nearlyFullSlowdown
	}
	if t.isCold(now) {
		time *= t.service.whenCold.value()
	}
	if !t.service.off[FailingTargets] {
		time *= 1 + failureCost*t.expectedFailureRate(now)
	}
	if load > slots {
		time += (load - slots) / slots * defaultPace * nearlyFullSlowdown
	}
	time += t.distanceCost(x)
	if !t.inSubset && !t.acceptsColdCalls(now) {
		time += outsideSubsetCost
	}
	return time * t.availabilityCostFactor(now)
}

const (
	// slowdownGain is the weight of the newest answer in a target's slowdown. Other processes on
	// the machine may cause one slow answer in five; two in a row are attributed to the target.
	slowdownGain = 0.3
	// slowdownHalfLife is the age at which a target's slowdown has half its weight.
	slowdownHalfLife = 3 * time.Second
	// slowTargetThreshold is the slowdown from which on a target is avoided.
	slowTargetThreshold = 2.5
	// similarSlowdownFactor is the ratio to the lowest slowdown up to which targets are considered
	// equally fast.
	similarSlowdownFactor = 1.25
	// typicalTimeStep is the relative change of a route's typical time with each answer. Before
	// minTimeSamples answers the typical time isn't used to judge targets.
	typicalTimeStep = 0.05
	minTimeSamples  = 8
	maxSlowdown     = 10
)

// bestConcurrency returns the concurrency at which the target has the highest throughput: all of
// its slots, or fewer if filling the last ones slows all calls by more than they add.
func (t *target) bestConcurrency() float64 {
	slots := t.slots()
	below := math.Ceil(nearlyFullUtilization*slots) - 1
	if below >= 1 && t.service.whenFull.value()*below > slots {
		return below
	}
	return slots
}

// slowdownEstimate is a moving average of how much longer calls take at a service's targets in a
// particular state, such as nearly full or cold, than elsewhere.
type slowdownEstimate struct {
	mean    float64
	samples int
}

// value returns the slowdown, or 1 before there are enough samples.
func (l *slowdownEstimate) value() float64 {
	if l.samples < minTimeSamples {
		return 1
	}
	return l.mean
}

// minSlowdownGain is the lower bound on the weight of the newest sample in a slowdownEstimate. It
// gives a mean over about 30 calls, since one in four is slowed by chance.
const minSlowdownGain = 0.03

// add adds a sample: the time of a call at a target in that state divided by the time elsewhere.
func (l *slowdownEstimate) add(ratio float64) {
	l.samples++
	l.mean += max(minSlowdownGain, 1/float64(l.samples)) * (min(maxSlowdown, ratio) - l.mean)
}

// recordAnswerTime records the time of an answer from a target that had its usual pace when the
// call was sent. The ratio to the route's typical time is a sample of the target's slowdown.
func (t *target) recordAnswerTime(now units.Instant, x *route, took time.Duration, a *attempt) {
	if x.answers < minTimeSamples {
		if !a.nearlyFull && !a.cold {
			x.updateTypicalTime(float64(took))
		}
		return
	}
	ratio := min(float64(took)/x.typical, maxSlowdown)
	switch {
	case a.cold:
		t.service.whenCold.add(ratio)
	case a.nearlyFull:
		t.service.whenFull.add(ratio)
	default:
		t.slowdown = t.currentSlowdown(now) + slowdownGain*(ratio-t.currentSlowdown(now))
		t.slowdownAt = now
		x.updateTypicalTime(float64(took))
	}
}

// updateTypicalTime updates the typical time. It starts as the median of the first answers and
// follows the median of later ones in small steps.
func (x *route) updateTypicalTime(took float64) {
	if x.answers < minTimeSamples {
		x.first[x.answers] = took
		x.answers++
		if x.answers == minTimeSamples {
			slices.Sort(x.first[:])
			x.typical = x.first[minTimeSamples/2]
		}
		return
	}
	if took > x.typical {
		x.typical *= 1 + typicalTimeStep
	} else {
		x.typical *= 1 - typicalTimeStep
	}
}

// knownTypicalTime returns the route's typical time in nanoseconds, or zero before there are enough
// samples.
func (x *route) knownTypicalTime() float64 {
	if x.answers < minTimeSamples {
		return 0
	}
	return x.typical
}

// currentSlowdown returns how much longer calls take at the target than elsewhere. It decays, so
// that a target that was slow is tried again. A call that has been in flight for long raises it.
func (t *target) currentSlowdown(now units.Instant) float64 {
	slowdown := 1.0
	if t.slowdown > 1 {
		slowdown += (t.slowdown - 1) * hyperbolicDecay(now.Sub(t.slowdownAt), slowdownHalfLife)
	}
	if a := t.oldestAttempt; a != nil && a.typicalTime > 0 {
		slowdown = max(slowdown, float64(now.Sub(a.sent))/a.typicalTime/oldestAttemptTolerance)
	}
	return slowdown
}

// oldestAttemptTolerance is how many times its typical time a call may be in flight before it
// raises its target's slowdown: half of the calls take longer than the typical time, and one in
// four is slowed by chance.
const oldestAttemptTolerance = 2.5

// slots returns how many calls the target runs at a time.
func (t *target) slots() float64 {
	switch {
	case t.report.Slots > 0:
		return t.report.Slots
	case t.row.Slots > 0:
		return float64(t.row.Slots)
	}
	return defaultSlots
}

// expectedPace returns the expected duration of work at the target relative to the usual duration.
func (t *target) expectedPace(now units.Instant) float64 {
	if !t.report.Known || t.report.Pace == 0 {
		return defaultPace
	}
	weight := linearDecay(now.Sub(t.report.receivedAt), paceLifetime)
	return defaultPace + (t.report.Pace-defaultPace)*weight
}

// linearDecay returns the weight of a sample of the given age, which falls linearly from 1 to zero
// over its lifetime.
func linearDecay(age, lifetime time.Duration) float64 {
	return max(0, 1-float64(age)/float64(lifetime))
}
