package routing

import (
	"math/rand/v2"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// ExposuresChanged says which new versions the box may send calls to. It replaces all that
// was said before.
type ExposuresChanged struct{ Exposures []rollout.Exposure }

func (*ExposuresChanged) routingEvent() {}

const (
	// ownStopAnswers is how many bad answers of a new version end a box's own exposure, if
	// they are at least ownStopPart of that version's answers. Hardly any good version has
	// as many, and a version that fails most calls is stopped in a few of them, without a
	// leader. Fewer may be one target's or link's fault.
	ownStopAnswers = 3
	ownStopPart    = 0.25
	// ownStopMemory is after how many answers earlier ones count for half, so that a version
	// which turns bad late is stopped as soon as one that is bad at once.
	ownStopMemory = 16
	// ownStopTime is how long such a box sends the new version nothing. The leader, who gets
	// the evidence of all boxes meanwhile, has decided by then in most cases: it hears from
	// each box 2 to 3 times a second.
	ownStopTime = time.Second
	// shiftPause is how long a box sends nothing to a new version that has taken over all
	// calls, after bad answers, until it goes on with a grant that the leader gave knowing of
	// them. Its calls are refused meanwhile, so the pause is short. Without it a version that
	// turned bad during the shift got 576 of 4,034 calls, where a tenth and 50 are allowed by
	// default, although it was rolled back after 0.6 s.
	shiftPause = 200 * time.Millisecond
	// urgentPause is the time between two requests for a lease that bad answers bring about: a
	// box with a hundred bad answers a second must not crowd the leader, which hears from it
	// 2 to 3 times a second anyway.
	urgentPause = 200 * time.Millisecond
)

// takeExposures takes what the newest grant says.
func (r *Router) takeExposures(list []rollout.Exposure, e *Effects) {
	r.exposures = list
	for _, v := range r.rollouts {
		was := v.exposed(r.now)
		v.exposure = r.exposureFor(v.record.Service)
		if v.service.rollout != v || was == v.exposed(r.now) {
			continue
		}
		e.add(Effect{Kind: ExposureTurned, Turn: v.turn(!was, false)})
		r.freed = append(r.freed, v.service)
	}
}

// exposureFor returns what the newest grant says of a service; zero for nothing.
func (r *Router) exposureFor(s units.ServiceName) rollout.Exposure {
	for _, x := range r.exposures {
		if x.Service == s {
			return x
		}
	}
	return rollout.Exposure{}
}

// exposed tells whether this box may send calls to the new version now. During a trial the
// exposure must be for the table's own stage. Once the calls have shifted one for an earlier
// stage will do: the table itself shows that the version passed its trial, and the exposure
// that it hasn't been rolled back for longer than exposures last.
func (v *rolloutState) exposed(now units.Instant) bool {
	x := &v.exposure
	if x.Order != v.record.Order || now >= x.ExpiresAt {
		return false
	}
	if v.stopped(now) {
		return false
	}
	return x.Since == v.record.Since || v.record.Stage == table.RolloutShifted && x.Since < v.record.Since
}

// stopped tells whether the box sends the new version nothing after bad answers of its own.
func (v *rolloutState) stopped(now units.Instant) bool {
	switch {
	case v.stop.at == 0:
		return false
	case v.record.Stage == table.RolloutShifted:
		return v.exposure.RequestedAt < v.stop.at || now < v.stop.at.Add(shiftPause)
	}
	return v.exposure.RequestedAt < v.stop.at.Add(ownStopTime)
}

// draw decides by lot whether a new call goes to the new version.
func (r *Router) draw(s *service) bool {
	v := s.rollout
	if v == nil || v.record.Stage != table.RolloutTrial || !v.exposed(r.now) {
		return false
	}
	return v.lot.draw(v.exposure.Share.Of(1), r.random)
}

// lot chooses a part of the calls: one at random of each run of as many as the part allows.
// Each box is off by one call at the most. Were each call drawn alone, many boxes would together
// be off by the square root of the number of calls chosen.
type lot struct {
	// passed is how much of the present run has passed, chosen where in it the chosen call
	// lies.
	passed, chosen float64
}

func newLot(random *rand.Rand) lot { return lot{chosen: random.Float64()} }

// draw tells whether the next call is chosen, given the share of the calls that is.
func (l *lot) draw(share float64, random *rand.Rand) bool {
	before := l.passed
	l.passed += share
	hit := before <= l.chosen && l.chosen < l.passed
	if l.passed >= 1 {
		l.passed--
		l.chosen = random.Float64()
		hit = hit || l.chosen < l.passed
	}
	return hit
}

// ownStop is a box's own end of its exposure.
type ownStop struct {
	// good and bad count the new version's last answers.
	good, bad int
	// at is when the exposure was ended; zero for not.
	at units.Instant
}

// noteNewAnswer takes an answer of the new version. After several bad ones the leader gets
// the evidence at once, and the box's exposure ends for a while.
func (r *Router) noteNewAnswer(v *rolloutState, bad bool, e *Effects) {
	if v.stop.at != 0 && !v.stopped(r.now) {
		v.stop = ownStop{}
	}
	if v.stop.good+v.stop.bad >= ownStopMemory {
		v.stop.good /= 2
		v.stop.bad /= 2
	}
	if !bad {
		v.stop.good++
		return
	}
	v.stop.bad++
	if v.stop.at != 0 || v.stop.bad < ownStopAnswers || float64(v.stop.bad) < ownStopPart*float64(v.stop.good+v.stop.bad) {
		return
	}
	if v.urgentAt == 0 || r.now.Sub(v.urgentAt) >= urgentPause {
		v.urgentAt = r.now
		r.evidenceDue = true
	}
	v.stop.at = r.now
	e.add(Effect{Kind: ExposureTurned, Turn: v.turn(false, true)})
}

// ExposureTurn is what the log says when a box's exposure begins or ends.
type ExposureTurn struct {
	Service  units.ServiceName
	Software units.SoftwareVersion
	Order    units.Revision
	Share    units.Percent
	// On is set where it begins. Stopped is set where the box ended it by itself, after
	// Bad of the new version's last Bad+Good answers.
	On, Stopped bool
	Good, Bad   int
}

// turn describes for the log that the exposure begins or ends.
func (v *rolloutState) turn(on, stopped bool) *ExposureTurn {
	return &ExposureTurn{
		Service: v.record.Service, Software: v.record.To, Order: v.record.Order, Share: v.exposure.Share,
		On: on, Stopped: stopped, Good: v.stop.good, Bad: v.stop.bad,
	}
}

// EvidenceDue tells once whether evidence is to be sent without waiting for the next renewal.
func (r *Router) EvidenceDue() bool {
	due := r.evidenceDue
	r.evidenceDue = false
	return due
}
