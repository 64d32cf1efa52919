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
	// paceMemory is the age at which a reading of a target's pace counts for nothing:
	// neighbours' load on its machine comes and goes in about this time.
	paceMemory = 150 * time.Millisecond
	// usualPace is the pace of a target that nothing is known of.
	usualPace = 1.6
	// loadMemory is the age at which a reading of a target's load counts for nothing.
	loadMemory = 400 * time.Millisecond
	// nearlyFull is the part of the slots from which on work takes nearlyFullPace.
	nearlyFull     = 0.8
	nearlyFullPace = 1.6
)

// expectedTime is the time that a call of a route sent now would take at the target, over
// that of the work alone; nil stands for any route.
func (t *target) expectedTime(now units.Instant, x *route) float64 {
	slots := t.slots()
	load := t.load(now) + 1
	time := t.expectedPace(now) * t.currentSlowdown(now)
	if load >= nearlyFull*slots {
		time *= nearlyFullPace
	}
	if t.isCold(now) {
		time *= t.service.coldSlowdown.value()
	}
	if !t.service.disabled[FailingTargets] {
		time *= 1 + failureCost*t.failingPart(now)
	}
	if load > slots {
		time += (load - slots) / slots * usualPace * nearlyFullPace
	}
	time += t.awayCost(x)
	if !t.near && !t.takesColdCalls(now) {
		time += outsideCost
	}
	return time * t.doubt(now)
}

const (
	// slowdownGain is the weight of the newest answer in a target's slowdown: one slow
	// answer in five may be the neighbours' doing, two in a row are the target's.
	slowdownGain = 0.3
	// slowdownMemory is the age at which a target's slowdown counts for a half.
	slowdownMemory = 3 * time.Second
	// heavySlowdown is the slowdown from which on a target is avoided.
	heavySlowdown = 2.5
	// slowAlike is how many times as slow as the best target others may be and still
	// count as alike.
	slowAlike = 1.25
	// typicalStep is how far a route's typical time moves with each answer. Before
	// sureAnswers of them it is no measure for a target.
	typicalStep      = 0.05
	sureAnswers      = 8
	greatestSlowdown = 10
)

// bestConcurrency is how many calls at a time the target does most with: all of its
// slots, or those below which work isn't slowed, where the last ones cost more than they
// bring.
func (t *target) bestConcurrency() float64 {
	slots := t.slots()
	below := math.Ceil(nearlyFull*slots) - 1
	if below >= 1 && t.service.nearFullSlowdown.value()*below > slots {
		return below
	}
	return slots
}

// learntSlowdown is how much longer calls take at a service's targets in some state than
// they do elsewhere, learnt from answers.
type learntSlowdown struct {
	mean    float64
	answers int
}

// value is the slowdown; 1 until enough calls have shown it.
func (l *learntSlowdown) value() float64 {
	if l.answers < sureAnswers {
		return 1
	}
	return l.mean
}

// learntGain is the least weight of the newest answer in a learnt slowdown: a mean of about
// 30 calls, since one in four meets a slow moment.
const learntGain = 0.03

// learn takes how long a call took at a target in that state, over what it takes elsewhere.
func (l *learntSlowdown) learn(ratio float64) {
	l.answers++
	l.mean += max(learntGain, 1/float64(l.answers)) * (min(greatestSlowdown, ratio) - l.mean)
}

// noteTime takes how long an answer took at a target whose pace was known to be usual
// when the call was sent: what it took beyond the route's typical time is the target's
// own slowdown.
func (t *target) noteTime(now units.Instant, x *route, took time.Duration, a *attempt) {
	if x.latencySamples < sureAnswers {
		if !a.full && !a.cold {
			x.learnTime(float64(took))
		}
		return
	}
	ratio := min(float64(took)/x.typicalLatency, greatestSlowdown)
	switch {
	case a.cold:
		t.service.coldSlowdown.learn(ratio)
	case a.full:
		t.service.nearFullSlowdown.learn(ratio)
	default:
		t.slowdown = t.currentSlowdown(now) + slowdownGain*(ratio-t.currentSlowdown(now))
		t.slowdownAt = now
		x.learnTime(float64(took))
	}
}

// learnTime moves the typical time, which is the median of the first answers and follows
// that of the later ones in small steps.
func (x *route) learnTime(took float64) {
	if x.latencySamples < sureAnswers {
		x.firstLatencies[x.latencySamples] = took
		x.latencySamples++
		if x.latencySamples == sureAnswers {
			slices.Sort(x.firstLatencies[:])
			x.typicalLatency = x.firstLatencies[sureAnswers/2]
		}
		return
	}
	if took > x.typicalLatency {
		x.typicalLatency *= 1 + typicalStep
	} else {
		x.typicalLatency *= 1 - typicalStep
	}
}

// sureTime is the route's typical time once it is a measure, else zero.
func (x *route) sureTime() float64 {
	if x.latencySamples < sureAnswers {
		return 0
	}
	return x.typicalLatency
}

// currentSlowdown is how much longer than elsewhere calls take at the target; it fades, so
// that a target which was slow is tried again. A call that is out for long counts too.
func (t *target) currentSlowdown(now units.Instant) float64 {
	slowdown := 1.0
	if t.slowdown > 1 {
		slowdown += (t.slowdown - 1) * freshness(now.Sub(t.slowdownAt), slowdownMemory)
	}
	if a := t.oldest; a != nil && a.typical > 0 {
		slowdown = max(slowdown, float64(now.Sub(a.sent))/a.typical/oldestPatience)
	}
	return slowdown
}

// oldestPatience is how many times its typical time a call may be out before that says
// something about its target: half of the calls take longer than the typical time, and
// one in four meets a slow moment.
const oldestPatience = 2.5

// slots is how many calls the target works on at a time.
func (t *target) slots() float64 {
	switch {
	case t.reading.Slots > 0:
		return t.reading.Slots
	case t.row.Slots > 0:
		return float64(t.row.Slots)
	}
	return defaultSlots
}

// expectedPace is how long work is expected to take there, over the usual.
func (t *target) expectedPace(now units.Instant) float64 {
	if !t.reading.HasLoad || t.reading.Pace == 0 {
		return usualPace
	}
	left := remaining(now.Sub(t.reading.at), paceMemory)
	return usualPace + (t.reading.Pace-usualPace)*left
}

// remaining is the part of its weight that something keeps at an age, which falls evenly
// to nothing.
func remaining(age, memory time.Duration) float64 {
	return max(0, 1-float64(age)/float64(memory))
}
