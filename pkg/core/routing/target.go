package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// target is the state that a box keeps for a target of one service.
type target struct {
	service  *service
	row      table.Row
	endpoint *Endpoint
	// remote is set if the target is in another failure domain than this box.
	remote bool
	// region is the region of the target's failure domain; empty if it isn't known.
	region units.Region
	// distance is the estimated round trip to the target's failure domain.
	distance *domainDistance
	// probesInFlight counts the unanswered probes sent for calls. The first of them was sent at
	// probesInFlightSince.
	probesInFlight      int
	probesInFlightSince units.Instant
	// sentSinceReport counts the calls sent since the target's last load report.
	sentSinceReport int
	// slowdown is the ratio of the call times here to the routes' typical times, last updated at
	// slowdownAt.
	slowdown   float64
	slowdownAt units.Instant
	// failureRate is the moving average of the fraction of calls that failed here, last updated at
	// failureRateAt.
	failureRate   float64
	failureRateAt units.Instant
	// inSubset is set if the target belongs to the box's preferred subset of the service's targets.
	inSubset    bool
	rankingCost float64
	// lastProbedAt is when a call last probed the target; zero if none did.
	lastProbedAt units.Instant
	// removed is set once the table no longer contains the row.
	removed  bool
	inFlight int
	// oldestAttempt and newestAttempt are the ends of the linked list of attempts in flight.
	oldestAttempt *attempt
	newestAttempt *attempt

	inFlightShare  delayedShare
	rateShare      delayedShare
	probeShare     delayedShare
	maxConnections int
	// rank is the number of boxes that rank before this one for the target in rendezvous hashing;
	// valid if ranked is set.
	rank                int
	ranked              bool
	callBucket          tokenBucket
	probeBucket         tokenBucket
	healthProbeInFlight bool
	lastObservedAt      units.Instant
	// silenceCountedFor is the probesInFlightSince for which silence has been counted as a failed
	// contact.
	silenceCountedFor units.Instant
	// reachCheckedAt is when the target was last probed to find out whether the box can reach it;
	// reachCheckOpen is set until that is answered or has been counted as a failed contact.
	reachCheckedAt units.Instant
	reachCheckOpen bool

	health  health
	latency latencyEstimate
	report  loadReport
	// window is the adaptive bound on this box's concurrent calls to the target. It shrinks when
	// the target sheds a call and grows with its answers.
	window float64
	// backoffUntil is when a target that shed a call may be sent calls again.
	backoffUntil units.Instant
	// cancelingSlots counts the slots of canceled calls that the target may still be working on.
	cancelingSlots int
	// weight is the effective weight as of the last updateWeights.
	weight float64
	// recentSends counts the calls sent lately; it is halved from time to time by countSend.
	recentSends   float64
	lentSlots     int
	borrowedSlots []*loan
	// evacuated is set while the target's failure domain is evacuated.
	evacuated bool
	role      versionRole
	cold      coldState
	crash     crashEvidence
	// coordination caches which box issues the permits for the target while it announces a limit.
	coordination cachedCoordinator
	// notice holds the rest, shutdown or limit that the target's current incarnation announced; nil
	// if none is in force.
	notice *notice
	// availability estimates the usable fraction of the targets in the same failure domain; nil if
	// that mechanism is off.
	availability *domainAvailability

	sends, answers, failures, sheds, probesSent, unansweredCalls uint64
}

const (
	// maxWindow is the initial window, which doesn't limit anything.
	maxWindow = 1 << 16
	// minWindow allows one call.
	minWindow = 1
)

func newTarget(s *service, row table.Row) *target {
	return &target{
		service:  s,
		inSubset: true,
		window:   maxWindow,
		endpoint: &Endpoint{
			Service: row.Service, Target: row.Target, Address: row.Address, Domain: row.Domain,
			Registered: row.Registered, Born: row.Born,
		},
	}
}

// isRestartedIn reports whether a row belongs to a later incarnation of the target. The new process
// has none of the calls, connections and faults of the previous one.
func (t *target) isRestartedIn(row table.Row) bool {
	return t.row.Born != 0 && row.Born != 0 && t.row.Born != row.Born
}

func (t *target) update(row table.Row) {
	if t.row.Silent && !row.Silent {
		// A target that reports again may be sent a call immediately.
		t.health.retryAt = 0
	}
	if row.Cold != t.row.Cold {
		t.cold.rowRemaining = row.Cold
	}
	t.row = row
	t.remote = !t.service.disabled[OwnDomain] && row.Domain != "" && t.service.domain != "" && row.Domain != t.service.domain
	t.removed = false
}

// effectiveWeight returns the weight used for load balancing now: zero if the target may not
// receive calls, reduced while it ramps up.
func (t *target) effectiveWeight(now units.Instant) float64 {
	if t.row.State != table.Active || t.evacuated || t.role != currentVersion || t.notice.isLeaving() {
		return 0
	}
	if t.service.disabled[Ramping] {
		return float64(t.row.Weight)
	}
	return float64(t.row.Weight) * t.health.rampFactor(now)
}

// concurrencyLimit returns how many concurrent calls this box may have at the target.
func (t *target) concurrencyLimit() int {
	return int(min(t.inFlightShare.value, t.window))
}

// capacity returns how many concurrent calls this box can expect to run at the target now.
func (t *target) capacity(now units.Instant) int {
	if !t.isEligible() || t.isBlocked(now) {
		return 0
	}
	return max(0, t.concurrencyLimit()-t.lentSlots) + len(t.borrowedSlots)
}

// hasFreeSlot reports whether one more call fits into this box's own slots or a borrowed one.
func (t *target) hasFreeSlot(now units.Instant) bool {
	return t.hasOwnFreeSlot() || t.freeLoan(now) != nil
}

// hasOwnFreeSlot reports whether one more call fits into this box's own share. Calls in borrowed
// slots don't use it up.
func (t *target) hasOwnFreeSlot() bool {
	own := t.inFlight - t.loansInUse()
	return own+t.cancelingSlots+t.lentSlots < t.concurrencyLimit()
}

func (t *target) loansInUse() int {
	n := 0
	for _, l := range t.borrowedSlots {
		if l.inUse {
			n++
		}
	}
	return n
}

func (t *target) freeLoan(now units.Instant) *loan {
	for _, l := range t.borrowedSlots {
		if !l.inUse && !l.recalled && now < l.validUntil && now >= l.cooldownUntil {
			return l
		}
	}
	return nil
}

// isActiveInTable reports whether the table allows calls to the target.
func (t *target) isActiveInTable() bool {
	return !t.removed && t.row.State == table.Active && t.row.Weight > 0
}

// isEligible reports whether the target may receive the service's calls, regardless of its health,
// its limits and rests.
func (t *target) isEligible() bool {
	return t.isActiveInTable() && !t.evacuated && t.role == currentVersion && !t.notice.isLeaving()
}

// isAvailable reports whether a new call may be sent to the target now.
func (t *target) isAvailable(now units.Instant, ignoreHealth bool) bool {
	return !t.lacksPermit(now) && t.isAvailableWithPermit(now, ignoreHealth)
}

// isAvailableWhenWarm reports whether a new call could be sent to the target now if it were warm
// and needed no permit.
func (t *target) isAvailableWhenWarm(now units.Instant, ignoreHealth bool) bool {
	if !t.isActiveInTable() || t.evacuated || t.role == inactiveVersion || t.notice.forbidsSending(now) || now < t.backoffUntil || t.mayHang(now) {
		return false
	}
	if !ignoreHealth && !t.service.disabled[Ejection] && (!t.health.admits(now, t.inFlight) || t.health.ejected && t.row.Silent) {
		return false
	}
	if !t.hasFreeSlot(now) {
		return false
	}
	if t.row.MaxRate <= 0 {
		return true
	}
	return t.hasCallToken(now)
}

// rateBurst is how many calls a box may send at once under a rate limit.
const rateBurst = 1

// cost ranks the target for a call of a route; lower is better. It adds the queue that the call
// would join, in units of the service's usual latency, and the target's excess share of recent
// calls. The excess share keeps to the configured weights among similar targets, the queue term
// overrides them if a target is slow.
func (t *target) cost(now units.Instant, x *route) float64 {
	if t.row.Registered && t.service.answersWithoutReport < maxUnreported {
		return t.expectedTime(now, x)
	}
	queue := float64(t.inFlight) + t.report.callsOfOtherBoxes(now, t.inFlight)
	return (queue+1)*t.relativeLatency(now) + excessShareCost*t.excessShare()
}

// excessShareCost is the cost, in queued calls, of a target that received twice its share.
const excessShareCost = 1

// relativeLatency returns the expected latency at the target divided by that of the service. It
// uses the target's last answers, whose influence decays with age, or the age of its oldest call in
// flight if that is longer.
func (t *target) relativeLatency(now units.Instant) float64 {
	usual := float64(t.service.latency.mean())
	expected := usual
	if t.latency.count > 0 {
		expected += (float64(t.latency.mean()) - usual) * hyperbolicDecay(now.Sub(t.lastObservedAt), latencyHalfLife)
	}
	if t.oldestAttempt != nil {
		expected = max(expected, float64(now.Sub(t.oldestAttempt.sent)))
	}
	return (expected + float64(costFloor)) / (usual + float64(costFloor))
}

// hyperbolicDecay returns the weight of a sample of the given age: 1 at first, 1/2 at the
// half-life, and approaching zero hyperbolically.
func hyperbolicDecay(age, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+age)
}

// latencyHalfLife is the age at which a target's last answers have half their weight, so that a
// target that was slow is tried again.
const latencyHalfLife = 500 * time.Millisecond

// excessShare returns how far the target's share of recent calls exceeds its share of the weights,
// relative to the latter; it is at least -1.
func (t *target) excessShare() float64 {
	s := t.service
	if s.totalWeight <= 0 {
		return 0
	}
	expected := s.recentSends * t.weight / s.totalWeight
	return (t.recentSends - expected) / (expected + 1)
}

// costFloor is added to latencies so that very short ones don't make a target nearly free:
// otherwise a target that fails fast would attract all calls.
const costFloor = 500 * time.Microsecond

// countSend counts a send for comparing the targets' shares with their weights.
func (t *target) countSend() {
	s := t.service
	t.recentSends++
	s.recentSends++
	if s.recentSends < maxRecentSendsPerTarget*float64(len(s.targets)) {
		return
	}
	s.recentSends /= 2
	for _, o := range s.targets {
		o.recentSends /= 2
	}
}

// maxRecentSendsPerTarget bounds the average number of recent sends per target over which shares
// are computed.
const maxRecentSendsPerTarget = 32

func (t *target) addAttempt(a *attempt) {
	a.previous = t.newestAttempt
	a.next = nil
	if t.newestAttempt != nil {
		t.newestAttempt.next = a
	} else {
		t.oldestAttempt = a
	}
	t.newestAttempt = a
	t.inFlight++
}

func (t *target) removeAttempt(a *attempt) {
	if a.previous != nil {
		a.previous.next = a.next
	} else {
		t.oldestAttempt = a.next
	}
	if a.next != nil {
		a.next.previous = a.previous
	} else {
		t.newestAttempt = a.previous
	}
	a.previous, a.next = nil, nil
	t.inFlight--
}

// shrinkWindow reduces the window after the target has shed a call.
func (t *target) shrinkWindow() {
	t.window = max(minWindow, min(t.window, float64(t.inFlight+1))*windowShrinkFactor)
}

// windowShrinkFactor is the factor by which a shed call reduces the window.
const windowShrinkFactor = 0.8

// growWindow increases the window by one for each window's worth of answers.
func (t *target) growWindow() {
	if t.window < maxWindow {
		t.window = min(maxWindow, t.window+1/t.window)
	}
}
