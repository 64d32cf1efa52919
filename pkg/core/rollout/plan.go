package rollout

import (
	"math"
	"time"
)

// The plan of a rollout's time. All calls go to the new version as late as possible: if it
// is bad after all, callers meet it for the least time before somebody looks.
const (
	// WindowLength is for how long answers are counted together. It is a small part of the time
	// in which a bad version must get its last call.
	WindowLength = 500 * time.Millisecond
	// shiftOverhead is how long it takes beside the calls under way until the shift is
	// known to be over: two rounds of boxes' requests, and two steps on a quorum's disks.
	// More would cost callers of a version that turns bad just then.
	shiftOverhead = time.Second
	// minShiftTime is how long before the deadline a shift may begin at the latest.
	minShiftTime = time.Second
	// commitMargin is how long before the deadline the last step is taken, so that it is on
	// enough disks in time.
	commitMargin = 250 * time.Millisecond
	// minTrialFraction is the part of the time that a trial gets however long calls may take.
	minTrialFraction = 0.4
	// MinDuration is the shortest rollout: a second of trial tells a version of which every
	// answer is bad, and the shift takes another one.
	MinDuration = 3 * time.Second
	// MaxDuration bounds a rollout to a week; a longer one holds up the next.
	MaxDuration = 7 * 24 * time.Hour
)

// Plan says when the steps of a rollout are due, counted from its order.
type Plan struct {
	// ShiftAt is when the trial is over, LatestShift when it's too late for that.
	ShiftAt, LatestShift time.Duration
	// RollBackAt is when the rollout is rolled back if it isn't completed.
	RollBackAt time.Duration
}

// NewPlan plans a rollout. Calls of the old version take up to drain to end. A box that falls
// out of reach during the shift may hold it up until it is too late; then the rollout is
// rolled back, which costs an order and no callers.
func NewPlan(duration, drain time.Duration) Plan {
	minTrial := time.Duration(minTrialFraction * float64(duration))
	return Plan{
		ShiftAt:     max(minTrial, duration-drain-shiftOverhead),
		LatestShift: max(minTrial, duration-minShiftTime),
		RollBackAt:  duration - commitMargin,
	}
}

// windowCount is how many windowCount a rollout has.
func windowCount(duration time.Duration) int {
	return int(math.Ceil(float64(duration) / float64(WindowLength)))
}

// Limits bound what callers meet of a version that may be bad.
type Limits struct {
	// Share is the part of a service's calls that a bad version may take from the order to
	// the deadline, and Slack a number of calls beside it.
	Share float64
	Slack int
}

const (
	// trialFraction is the part of the allowed share that the trial takes. The rest is for the
	// shift, in which a fault shows only after all calls went to the new version.
	trialFraction = 0.5
	// maxTrialShare keeps the old version's calls enough for a comparison.
	maxTrialShare = 0.3
)

// TrialShare is the share of calls for the new version in the trial. A service with few
// calls uses half of the slack for it, since a share of few calls shows nothing.
func (l Limits) TrialShare(callsPerSecond float64, trial time.Duration) float64 {
	share := trialFraction * l.Share
	if callsPerSecond <= 0 || trial <= 0 {
		return share
	}
	extra := trialFraction * float64(l.Slack) / (callsPerSecond * trial.Seconds())
	return min(maxTrialShare, share+extra)
}
