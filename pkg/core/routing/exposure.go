package routing

import (
	"math/rand/v2"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// ExposuresChanged lists the new versions to which the box may send calls. It replaces the previous
// list.
type ExposuresChanged struct{ Exposures []rollout.Exposure }

func (*ExposuresChanged) routingEvent() {}

const (
	// localStopFailures is the number of bad answers of a new version that ends a box's own
	// exposure, if they are at least localStopFailureRatio of that version's answers. Hardly any
	// good version has as many, and a version that fails most calls is stopped within a few of
	// them, without a leader. Fewer may be the fault of a single target or link.
	localStopFailures     = 3
	localStopFailureRatio = 0.25
	// localStopWindow is the number of answers after which the counts of earlier ones are halved,
	// so that a version that turns bad late is stopped as soon as one that is bad from the start.
	localStopWindow = 16
	// localStopDuration is how long the box then sends the new version nothing. The leader receives
	// evidence from each box 2 to 3 times a second, and in most cases has decided by then.
	localStopDuration = time.Second
	// shiftedStopDuration is the least time for which a box, after bad answers, sends nothing to a
	// new version that has taken over all calls; it resumes with a grant that the leader issued
	// after receiving those answers. Calls are refused meanwhile, so the stop is short. Without it
	// a version that turned bad during the shift got 576 of 4,034 calls, where a tenth and 50 are
	// allowed by default, although it was rolled back after 0.6 s.
	shiftedStopDuration = 200 * time.Millisecond
	// urgentRenewalInterval is the least time between two lease requests triggered by bad answers:
	// a box with a hundred bad answers a second must not overload the leader, which hears from it 2
	// to 3 times a second anyway.
	urgentRenewalInterval = 200 * time.Millisecond
)

// updateExposures applies the exposures of the newest grant.
func (r *Router) updateExposures(list []rollout.Exposure, e *Effects) {
	r.exposures = list
	for _, v := range r.rollouts {
		was := v.exposed(r.now)
		v.exposure = r.exposureFor(v.record.Service)
		if v.service.rollout != v || was == v.exposed(r.now) {
			continue
		}
		e.add(Effect{Kind: ExposureSwitched, ExposureSwitch: v.describeSwitch(!was, false)})
		r.freedServices = append(r.freedServices, v.service)
	}
}

// exposureFor returns a service's exposure in the newest grant; zero if there is none.
func (r *Router) exposureFor(s units.ServiceName) rollout.Exposure {
	for _, x := range r.exposures {
		if x.Service == s {
			return x
		}
	}
	return rollout.Exposure{}
}

// exposed reports whether this box may send calls to the new version now. During a trial the
// exposure must be for the stage in the table. After the shift one for an earlier stage is enough:
// the table shows that the version passed its trial, and the exposure shows that any rollback is no
// longer ago than an exposure lasts.
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

// stopped reports whether the box sends the new version nothing because of bad answers that it
// received.
func (v *rolloutState) stopped(now units.Instant) bool {
	switch {
	case v.stop.at == 0:
		return false
	case v.record.Stage == table.RolloutShifted:
		return v.exposure.RequestedAt < v.stop.at || now < v.stop.at.Add(shiftedStopDuration)
	}
	return v.exposure.RequestedAt < v.stop.at.Add(localStopDuration)
}

// selectForTrial decides at random whether a new call goes to the new version.
func (r *Router) selectForTrial(s *service) bool {
	v := s.rollout
	if v == nil || v.record.Stage != table.RolloutTrial || !v.exposed(r.now) {
		return false
	}
	return v.sampler.sample(v.exposure.Share.Of(1), r.random)
}

// trialSampler selects a share of the calls at random by stratified sampling: one call of each run
// of 1/share calls. Each box deviates from the share by one call at most. With independent draws,
// many boxes together would deviate by the square root of the number of selected calls.
type trialSampler struct {
	// position is the current position in the run, selected the position of its selected call; both
	// range from 0 to 1.
	position, selected float64
}

func newTrialSampler(random *rand.Rand) trialSampler { return trialSampler{selected: random.Float64()} }

// sample reports whether the next call is selected.
func (l *trialSampler) sample(share float64, random *rand.Rand) bool {
	before := l.position
	l.position += share
	hit := before <= l.selected && l.selected < l.position
	if l.position >= 1 {
		l.position--
		l.selected = random.Float64()
		hit = hit || l.selected < l.position
	}
	return hit
}

// localStop is a box's own decision to end its exposure.
type localStop struct {
	// good and bad count the new version's recent answers.
	good, bad int
	// at is when the box ended the exposure; zero if it didn't.
	at units.Instant
}

// recordNewVersionAnswer records an answer of the new version. After several bad ones the box sends
// its evidence to the leader at once and ends its exposure for a while.
func (r *Router) recordNewVersionAnswer(v *rolloutState, bad bool, e *Effects) {
	if v.stop.at != 0 && !v.stopped(r.now) {
		v.stop = localStop{}
	}
	if v.stop.good+v.stop.bad >= localStopWindow {
		v.stop.good /= 2
		v.stop.bad /= 2
	}
	if !bad {
		v.stop.good++
		return
	}
	v.stop.bad++
	if v.stop.at != 0 || v.stop.bad < localStopFailures || float64(v.stop.bad) < localStopFailureRatio*float64(v.stop.good+v.stop.bad) {
		return
	}
	if v.urgentRenewalAt == 0 || r.now.Sub(v.urgentRenewalAt) >= urgentRenewalInterval {
		v.urgentRenewalAt = r.now
		r.evidenceDue = true
	}
	v.stop.at = r.now
	e.add(Effect{Kind: ExposureSwitched, ExposureSwitch: v.describeSwitch(false, true)})
}

// ExposureSwitch describes, for the log, the begin or end of a box's exposure.
type ExposureSwitch struct {
	Service  units.ServiceName
	Software units.SoftwareVersion
	Order    units.Revision
	Share    units.Percent
	// Active is set if the exposure begins. Stopped is set if the box itself ended it, after Bad of
	// the new version's last Bad+Good answers.
	Active, Stopped bool
	Good, Bad       int
}

// describeSwitch describes the begin or end of the exposure for the log.
func (v *rolloutState) describeSwitch(on, stopped bool) *ExposureSwitch {
	return &ExposureSwitch{
		Service: v.record.Service, Software: v.record.To, Order: v.record.Order, Share: v.exposure.Share,
		Active: on, Stopped: stopped, Good: v.stop.good, Bad: v.stop.bad,
	}
}

// EvidenceDue reports whether evidence is to be sent without waiting for the next renewal, and
// resets that.
func (r *Router) EvidenceDue() bool {
	due := r.evidenceDue
	r.evidenceDue = false
	return due
}
