package routing

import (
	"math"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// What a registered target is expected to take for a call, in units of the work itself.
// Such a target works on a few calls at a time, shares its machine with others, and slows
// down when nearly full.

const (
	// paceLifetime is the age at which a reading of a target's pace counts for nothing:
	// neighbours' load on its machine comes and goes in about this time.
	paceLifetime = 150 * time.Millisecond
	// defaultPace is the pace of a target that nothing is known of.
	defaultPace = 1.6
	// loadLifetime is the age at which a reading of a target's load counts for nothing.
	loadLifetime = 400 * time.Millisecond
	// nearlyFullUtilization is the part of the slots from which on work takes nearlyFullPace.
	nearlyFullUtilization = 0.8
	nearlyFullSlowdown    = 1.6
)

// expectedTime is the time that a call of a route sent now would take at the target, over
// that of the work alone; nil stands for any route.
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
	// slowdownGain is the weight of the newest answer in a target's slowdown: one slow
	// answer in five may be the neighbours' doing, two in a row are the target's.
	slowdownGain = 0.3
	// slowdownHalfLife is the age at which a target's slowdown counts for a half.
	slowdownHalfLife = 3 * time.Second
	// slowTargetThreshold is the slowdown from which on a target is avoided.
	slowTargetThreshold = 2.5
	// similarSlowdownFactor is how many times as slow as the best target others may be and still
	// count as alike.
	similarSlowdownFactor = 1.25
	// typicalTimeStep is how far a route's typical time moves with each answer. Before
	// sureAnswers of them it is no measure for a target.
	typicalTimeStep = 0.05
	minTimeSamples  = 8
	maxSlowdown     = 10
)

// bestConcurrency is how many calls at a time the target does most with: all of its
// slots, or those below which work isn't slowed, where the last ones cost more than they
// bring.
func (t *target) bestConcurrency() float64 {
	slots := t.slots()
	below := math.Ceil(nearlyFullUtilization*slots) - 1
	if below >= 1 && t.service.whenFull.value()*below > slots {
		return below
	}
	return slots
}

// slowdownEstimate is how much longer calls take at a service's targets in some state than
// they do elsewhere, learnt from answers.
type slowdownEstimate struct {
	mean    float64
	samples int
}

// value is the slowdown; 1 until enough calls have shown it.
func (l *slowdownEstimate) value() float64 {
	if l.samples < minTimeSamples {
		return 1
	}
	return l.mean
}

// minSlowdownGain is the least weight of the newest answer in a learnt slowdown: a mean of about
// 30 calls, since one in four meets a slow moment.
const minSlowdownGain = 0.03

// add takes how long a call took at a target in that state, over what it takes elsewhere.
func (l *slowdownEstimate) add(ratio float64) {
	l.samples++
	l.mean += max(minSlowdownGain, 1/float64(l.samples)) * (min(maxSlowdown, ratio) - l.mean)
}

// recordAnswerTime takes how long an answer took at a target whose pace was known to be usual
// when the call was sent: what it took beyond the route's typical time is the target's
// own slowdown.
func (t *target) recordAnswerTime(now units.Instant, x *route, took time.Duration, a *attempt) {
	if x.answers < minTimeSamples {
		if !a.full && !a.cold {
			x.updateTypicalTime(float64(took))
		}
		return
	}
	ratio := min(float64(took)/x.typical, maxSlowdown)
	switch {
	case a.cold:
		t.service.whenCold.add(ratio)
	case a.full:
		t.service.whenFull.add(ratio)
	default:
		t.slowdown = t.currentSlowdown(now) + slowdownGain*(ratio-t.currentSlowdown(now))
		t.slowdownAt = now
		x.updateTypicalTime(float64(took))
	}
}

// updateTypicalTime moves the typical time, which is the median of the first answers and follows
// that of the later ones in small steps.
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

// knownTypicalTime is the route's typical time once it is a measure, else zero.
func (x *route) knownTypicalTime() float64 {
	if x.answers < minTimeSamples {
		return 0
	}
	return x.typical
}

// currentSlowdown is how much longer than elsewhere calls take at the target; it fades, so
// that a target which was slow is tried again. A call that is out for long counts too.
func (t *target) currentSlowdown(now units.Instant) float64 {
	slowdown := 1.0
	if t.slowdown > 1 {
		slowdown += (t.slowdown - 1) * hyperbolicDecay(now.Sub(t.slowdownAt), slowdownHalfLife)
	}
	if a := t.oldestAttempt; a != nil && a.typical > 0 {
		slowdown = max(slowdown, float64(now.Sub(a.sent))/a.typical/oldestAttemptTolerance)
	}
	return slowdown
}

// oldestAttemptTolerance is how many times its typical time a call may be out before that says
// something about its target: half of the calls take longer than the typical time, and
// one in four meets a slow moment.
const oldestAttemptTolerance = 2.5

// slots is how many calls the target works on at a time.
func (t *target) slots() float64 {
	switch {
	case t.report.Slots > 0:
		return t.report.Slots
	case t.row.Slots > 0:
		return float64(t.row.Slots)
	}
	return defaultSlots
}

// expectedPace is how long work is expected to take there, over the usual.
func (t *target) expectedPace(now units.Instant) float64 {
	if !t.report.Known || t.report.Pace == 0 {
		return defaultPace
	}
	left := linearDecay(now.Sub(t.report.receivedAt), paceLifetime)
	return defaultPace + (t.report.Pace-defaultPace)*left
}

// linearDecay is the part of its weight that something keeps at an age, which falls evenly
// to nothing.
func linearDecay(age, memory time.Duration) float64 {
	return max(0, 1-float64(age)/float64(memory))
}
