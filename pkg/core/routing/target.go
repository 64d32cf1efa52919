package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// target is what a box knows of a target in one service.
type target struct {
	service  *service
	row      table.Row
	endpoint *Endpoint
	// remote is set for a target in another failure domain than this box.
	remote bool
	// region is the one of the target's failure domain; empty where it isn't known.
	region units.Region
	// distance is what is known of the round trip to the target's failure domain.
	distance *domainDistance
	// probesOut counts the probes for calls that are under way, the first since probeOutSince.
	probesOut     int
	probeOutSince units.Instant
	// sentSince counts the sends since the target's last load report.
	sentSince int
	// slowdown is how much longer than elsewhere calls take here, as last learnt at slowdownAt.
	slowdown   float64
	slowdownAt units.Instant
	// failing is the part of the last calls that failed here, as of failingAt.
	failing   float64
	failingAt units.Instant
	// near is set where the target belongs to the box's subset of the service's targets.
	near       bool
	probeOrder float64
	// probedAt is when a call last probed the target; zero for never.
	probedAt units.Instant
	// gone is set when the table no longer has the row.
	gone     bool
	inFlight int
	// oldest and newest are the ends of the list of attempts under way.
	oldest *attempt
	newest *attempt

	share       delayedShare
	rateShare   delayedShare
	probeShare  delayedShare
	connections int
	// place is how many boxes come before this one for the target, once placed.
	place     int
	placed    bool
	rate      tokenBucket
	probes    tokenBucket
	probing   bool
	lastHeard units.Instant

	health  health
	latency latencyEstimate
	reading reading
	// window is how many calls at a time this box thinks the target can take; it
	// falls when the target sheds and rises while it answers.
	window float64
	// notBefore is when a target that shed may be tried again.
	notBefore units.Instant
	// cooling counts the slots whose canceled calls the target may still have.
	cooling int
	// weight is what counts of the row's weight now.
	weight float64
	// recent counts the last sends.
	recent   float64
	lent     int
	borrowed []*loan
	// evacuated is set while the target's failure domain is evacuated.
	evacuated bool
	side      versionRole
	cold      coldness
	crash     crashWatch
	// coordination says which box permits calls to the target while it names a limit.
	coordination cachedCoordinator
	// notice is what the target's start has told this box; nil for nothing that is in force.
	notice *notice
	// outlook tells how many targets of the same failure domain could be used lately; nil where
	// that isn't looked at.
	outlook *outlook

	sends, answers, failures, sheds, probesSent, unansweredCalls uint64
}

const (
	// maxWindow is where the window starts: no bound of its own.
	maxWindow = 1 << 16
	// minWindow leaves room for one call.
	minWindow = 1
)

func newTarget(s *service, row table.Row) *target {
	return &target{
		service: s,
		near:    true,
		window:  maxWindow,
		endpoint: &Endpoint{
			Service: row.Service, Target: row.Target, Address: row.Address, Domain: row.Domain,
			Registered: row.Registered, Born: row.Born,
		},
	}
}

// startedAgain tells whether a row is of a later start of the target, which knows nothing of the
// calls, connections and faults of the one before.
func (t *target) startedAgain(row table.Row) bool {
	return t.row.Born != 0 && row.Born != 0 && t.row.Born != row.Born
}

func (t *target) update(row table.Row) {
	if t.row.Silent && !row.Silent {
		// A target that reports again may be tried at once.
		t.health.retryAt = 0
	}
	if row.Cold != t.row.Cold {
		t.cold.reported = row.Cold
	}
	t.row = row
	t.remote = !t.service.disabled[OwnDomain] && row.Domain != "" && t.service.domain != "" && row.Domain != t.service.domain
	t.gone = false
}

// effectiveWeight is the weight that draws calls now.
func (t *target) effectiveWeight(now units.Instant) float64 {
	if t.row.State != table.Active || t.evacuated || t.side != currentVersion || t.notice.isLeaving() {
		return 0
	}
	if t.service.disabled[Ramping] {
		return float64(t.row.Weight)
	}
	return float64(t.row.Weight) * t.health.ramp(now)
}

// limit is how many calls this box may have at the target now.
func (t *target) limit() int {
	return int(min(t.share.value, t.window))
}

// capacity is how many calls this box can count on at the target now.
func (t *target) capacity(now units.Instant) int {
	if !t.isActive() || t.isClosed(now) {
		return 0
	}
	return max(0, t.limit()-t.lent) + len(t.borrowed)
}

// hasRoom tells whether one more call fits, on an own slot or a borrowed one.
func (t *target) hasRoom(now units.Instant) bool {
	return t.ownRoom() || t.freeLoan(now) != nil
}

// ownRoom tells whether one more call fits on this box's own share. Calls on
// borrowed slots don't count against it.
func (t *target) ownRoom() bool {
	own := t.inFlight - t.loansInUse()
	return own+t.cooling+t.lent < t.limit()
}

func (t *target) loansInUse() int {
	n := 0
	for _, l := range t.borrowed {
		if l.inUse {
			n++
		}
	}
	return n
}

func (t *target) freeLoan(now units.Instant) *loan {
	for _, l := range t.borrowed {
		if !l.inUse && !l.recalled && now < l.validUntil && now >= l.cooldownUntil {
			return l
		}
	}
	return nil
}

// inTable tells whether the table has the target take calls.
func (t *target) inTable() bool {
	return !t.gone && t.row.State == table.Active && t.row.Weight > 0
}

// isActive tells whether the target may take the service's calls, but for its health, its limits
// and a rest.
func (t *target) isActive() bool {
	return t.inTable() && !t.evacuated && t.side == currentVersion && !t.notice.isLeaving()
}

// takesWork tells whether a new call may go to the target now.
func (t *target) takesWork(now units.Instant, anyHealth bool) bool {
	return !t.lacksPermit(now) && t.takesIfPermitted(now, anyHealth)
}

// takesWhenWarm tells whether a new call might go to the target now, were it warm.
func (t *target) takesWhenWarm(now units.Instant, anyHealth bool) bool {
	if !t.inTable() || t.evacuated || t.side == inactiveVersion || t.notice.forbids(now) || now < t.notBefore || t.mayHang(now) {
		return false
	}
	if !anyHealth && !t.service.disabled[Ejection] && (!t.health.admits(now, t.inFlight) || t.health.ejected && t.row.Silent) {
		return false
	}
	if !t.hasRoom(now) {
		return false
	}
	if t.row.MaxRate <= 0 {
		return true
	}
	t.rate.refill(now, t.rateShare.value, rateBurst)
	return t.rate.tokens >= 1
}

// rateBurst is how many calls of a box may come at once under a rate limit.
const rateBurst = 1

// cost says how bad a choice the target would be for a call of a route: the queue that a call
// would join, in units of the service's usual latency, and how far the target is above
// its part of the weights. The second keeps to the weights where targets are much
// alike, the first leaves them where one of them isn't well.
func (t *target) cost(now units.Instant, x *route) float64 {
	if t.row.Registered && t.service.answersWithoutReport < unreportedLimit {
		return t.expectedTime(now, x)
	}
	queue := float64(t.inFlight) + t.reading.estimate(now, t.inFlight)
	return (queue+1)*t.slowness(now) + surplusCost*t.surplus()
}

// surplusCost is how many calls in the queue a target is worth that has had twice
// its part.
const surplusCost = 1

// slowness is what a call is expected to take at the target, over what it takes
// at the service: by its last answers, which count less and less as they age, or
// by how long its oldest call has waited.
func (t *target) slowness(now units.Instant) float64 {
	usual := float64(t.service.latency.mean())
	expected := usual
	if t.latency.count > 0 {
		expected += (float64(t.latency.mean()) - usual) * freshness(now.Sub(t.lastHeard), latencyAge)
	}
	if t.oldest != nil {
		expected = max(expected, float64(now.Sub(t.oldest.sent)))
	}
	return (expected + float64(costFloor)) / (usual + float64(costFloor))
}

// freshness is the part that something counts at an age: all at first, a half at
// the half-age, and ever less.
func freshness(age, half time.Duration) float64 {
	return float64(half) / float64(half+age)
}

// latencyAge is the age at which a target's last answers count for a half, so
// that one which was slow is tried again.
const latencyAge = 500 * time.Millisecond

// surplus is by how much the target's part of the last calls is above its part of
// the weights, as a part of the latter; it is at least -1.
func (t *target) surplus() float64 {
	s := t.service
	if s.totalWeight <= 0 {
		return 0
	}
	want := s.recentSends * t.weight / s.totalWeight
	return (t.recent - want) / (want + 1)
}

// costFloor keeps very quick answers from counting as free; a target that
// fails fast would otherwise draw all calls.
const costFloor = 500 * time.Microsecond

// noteSend counts a send for the parts of the weights.
func (t *target) noteSend() {
	s := t.service
	t.recent++
	s.recentSends++
	if s.recentSends < recentCalls*float64(len(s.targets)) {
		return
	}
	s.recentSends /= 2
	for _, o := range s.targets {
		o.recent /= 2
	}
}

// recentCalls is how many calls a target the parts are taken over, at the most.
const recentCalls = 32

func (t *target) link(a *attempt) {
	a.previous = t.newest
	a.next = nil
	if t.newest != nil {
		t.newest.next = a
	} else {
		t.oldest = a
	}
	t.newest = a
	t.inFlight++
}

func (t *target) unlink(a *attempt) {
	if a.previous != nil {
		a.previous.next = a.next
	} else {
		t.oldest = a.next
	}
	if a.next != nil {
		a.next.previous = a.previous
	} else {
		t.newest = a.previous
	}
	a.previous, a.next = nil, nil
	t.inFlight--
}

// shrink lowers the window after the target has shed a call.
func (t *target) shrink() {
	t.window = max(minWindow, min(t.window, float64(t.inFlight+1))*shedShrink)
}

// shedShrink is by how much a shed call lowers the window.
const shedShrink = 0.8

// grow raises the window by one for each window's worth of answers.
func (t *target) grow() {
	if t.window < maxWindow {
		t.window = min(maxWindow, t.window+1/t.window)
	}
}
