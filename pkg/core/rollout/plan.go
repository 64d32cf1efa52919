package rollout

import (
	"math"
	"time"
)

// The schedule of a rollout. The shift of all calls to the new version is as late as possible: if the
// version is bad after all, callers are exposed to it for the shortest time before an operator looks.
const (
	// WindowLength is the length of the windows in which answers are counted. It is a small part of
	// the time within which a bad version must have got its last call.
	WindowLength = 500 * time.Millisecond
	// shiftOverhead is how long the shift takes until it is known to be complete, besides the time
	// that calls in flight take to end: two rounds of boxes' requests, and two steps on the disks
	// of a quorum. A longer time would expose more callers to a version that turns bad during the
	// shift.
	shiftOverhead = time.Second
	// minShiftTime is how long before the deadline a shift has to begin at the latest.
	minShiftTime = time.Second
	// commitMargin is how long before the deadline the rollout is rolled back if it isn't complete,
	// so that this step is on the disks of a quorum in time.
	commitMargin = 250 * time.Millisecond
	// minTrialFraction is the fraction of the rollout's duration that the trial gets at least,
	// however long calls may take to end.
	minTrialFraction = 0.4
	// MinDuration is the shortest rollout: one second of trial is enough to detect a version of
	// which every answer fails, and the shift takes another second.
	MinDuration = 3 * time.Second
	// MaxDuration bounds a rollout to a week; a longer one would delay the next.
	MaxDuration = 7 * 24 * time.Hour
)

// Plan holds the times at which the steps of a rollout are due, measured from its order.
type Plan struct {
	// ShiftAt is when the trial ends and the shift may begin, LatestShift when it is too late to
	// begin it.
	ShiftAt, LatestShift time.Duration
	// RollBackAt is when the rollout is rolled back if it isn't completed.
	RollBackAt time.Duration
}

// NewPlan returns the plan of a rollout; calls of the old version take up to drain to end. A box that
// becomes unreachable during the shift may delay it until it is too late. The rollout is then
// rolled back, which costs the operator another order but harms no callers.
func NewPlan(duration, drain time.Duration) Plan {
	minTrial := time.Duration(minTrialFraction * float64(duration))
	return Plan{
		ShiftAt:     max(minTrial, duration-drain-shiftOverhead),
		LatestShift: max(minTrial, duration-minShiftTime),
		RollBackAt:  duration - commitMargin,
	}
}

// windowCount returns how many windows a rollout has.
func windowCount(duration time.Duration) int {
	return int(math.Ceil(float64(duration) / float64(WindowLength)))
}

// Limits bound how many calls a version gets that may be bad.
type Limits struct {
	// Share is the fraction of a service's calls that a bad version may get from the order to
	// the deadline; Slack is a number of calls that it may get in addition.
	Share float64
	Slack int
}

const (
	// trialFraction is the fraction of the allowed share and slack that the trial may use. The rest
	// is for the shift, in which a fault is detected only after all calls go to the new version.
	trialFraction = 0.5
	// maxTrialShare caps the share on trial, so that the old version gets enough calls for a
	// comparison.
	maxTrialShare = 0.3
)

// TrialShare returns the fraction of calls that the new version gets in a trial of that length. The
// trialFraction of the slack is added, since a share of few calls wouldn't be enough to judge the
// version.
func (l Limits) TrialShare(callsPerSecond float64, trial time.Duration) float64 {
	share := trialFraction * l.Share
	if callsPerSecond <= 0 || trial <= 0 {
		return share
	}
	extra := trialFraction * float64(l.Slack) / (callsPerSecond * trial.Seconds())
	return min(maxTrialShare, share+extra)
}
