package routing

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// service is a box's state on a service.
type service struct {
	entry   *table.Entry
	row     table.Service
	targets []*target
	// nearFullSlowdown and coldSlowdown estimate how much longer calls take at targets that are
	// nearly full, or cold.
	nearFullSlowdown slowdownEstimate
	coldSlowdown     slowdownEstimate
	// unanswered tracks the calls that targets left unanswered.
	unanswered unansweredStats
	// disabled are the mechanisms that are switched off.
	disabled mechanismSet
	// domain is the box's own failure domain.
	domain units.Domain
	// weightSums are the running sums of the targets' effective weights, for weighted sampling.
	weightSums []float64
	// totalWeight is the sum of the targets' effective weights.
	totalWeight float64
	// mostlyEjected is set while so many targets are ejected that the remaining ones would be
	// overloaded; ejections are ignored then.
	mostlyEjected bool
	// recentSends counts recent sends; it is halved from time to time, together with the targets'
	// counts.
	recentSends float64
	held        heldQueue
	// extraBurst caps the tokens saved for longer than extraTokenAge in each of the two budgets, or in
	// the single one used for both if pooledBudget is set.
	extraBurst   float64
	pooledBudget bool
	// ownCalls estimates the rate of the calls of the box's own callers.
	ownCalls eventRate
	retries  budget
	hedges   budget
	latency  latencyEstimate
	loans    serviceLoans
	// borrowsSlots is set if boxes lend each other slots.
	borrowsSlots bool
	// probeBudget is the token bucket for probes before sends, borrowing the state of the tokens that
	// other boxes lend.
	probeBudget tokenBucket
	borrowing   tokenBorrowing
	// arrivals estimates the rate of all calls, relayed ones included.
	arrivals eventRate
	// waiting are the calls that wait for a suitable target, sorted by urgency and then by age;
	// calls that have since been served are removed lazily.
	waiting []waitingCall
	// traffic estimates the box's share of the service's calls.
	traffic trafficShare
	// limitedSearches counts by limit how often a call wasn't allowed to probe.
	limitedSearches [searchLimits]uint64
	// busyFraction is the moving average of the fraction of probe answers that show no room, last
	// updated at busyUpdatedAt.
	busyFraction  float64
	busyUpdatedAt units.Instant
	// busySince is when the service last became busy.
	busySince units.Instant
	// answersWithoutReport counts consecutive answers without a load report.
	answersWithoutReport int
	// sweepAt is when the next sweep is due.
	sweepAt units.Instant
	calls   uint64
	refused uint64
	// crashes counts the crashes of targets while they ran calls of this box.
	crashes uint64
	// restRequests counts the times that targets asked this box for a rest.
	restRequests uint64
	// limitedTargets is the number of targets that announce limits; there has been at least one
	// since limitedSince.
	limitedTargets int
	limitedSince   units.Instant
	// nextLimitCheckAt is when a permit of a limited target may next be requested for a call that
	// has other targets.
	nextLimitCheckAt units.Instant
	// reaches is the evidence on whether the box can reach the targets: first that for all of them,
	// which always exists, then that for the regions that routes are restricted to.
	reaches []*reach
	// rollout is the active rollout, or nil.
	rollout *rolloutState
}

func newService(row table.Service) *service {
	tokens := float64(initialRetryTokens)
	if row.ExtraBurst > 0 {
		// The cap for all boxes together applies from the start.
		tokens = 0
	}
	s := &service{row: row, retries: budget{tokens: tokens}, hedges: budget{tokens: tokens}, loans: serviceLoans{spareByPeer: map[units.BoxID]spareReport{}}}
	s.reaches = []*reach{{service: s}}
	return s
}

// initialRetryTokens allows retries of the first calls of a service.
const initialRetryTokens = 3

func compareServices(a, b *service) int {
	return strings.Compare(string(a.row.Name), string(b.row.Name))
}

// update applies a new version of the service's rows. Targets that stay keep their state; those
// that were removed finish their calls.
func (s *service) update(entry *table.Entry, now units.Instant) {
	isNew := s.entry == nil
	s.entry = entry
	s.row = entry.Service
	known := map[units.TargetID]*target{}
	for _, t := range s.targets {
		known[t.row.Target] = t
	}
	targets := make([]*target, 0, entry.Rows.Len())
	for row := range entry.Rows.All() {
		t := known[row.Target]
		if t == nil || t.row.Address != row.Address || t.isRestartedIn(*row) {
			t = newTarget(s, *row)
			if !isNew {
				// A target that joins a running service may be cold.
				t.health.rampStart = now
			}
		}
		t.update(*row)
		targets = append(targets, t)
	}
	for _, t := range s.targets {
		t.removed = true
	}
	for _, t := range targets {
		t.removed = false
	}
	s.targets = targets
}

// updateWeights recomputes the effective weights; it is called after each change of a target's
// health, state or weight.
func (s *service) updateWeights(now units.Instant) {
	s.weightSums = s.weightSums[:0]
	sum := 0.0
	active, ejected, limited := 0, 0, 0
	for _, t := range s.targets {
		t.weight = t.effectiveWeight(now)
		if t.notice.isLimited() {
			limited++
		}
		sum += t.weight
		s.weightSums = append(s.weightSums, sum)
		if !t.isEligible() {
			continue
		}
		active++
		if t.health.ejected {
			ejected++
		}
	}
	s.totalWeight = sum
	s.mostlyEjected = 2*ejected > active
	if s.limitedTargets == 0 {
		s.limitedSince = now
	}
	s.limitedTargets = limited
}

// retryAfter is the retry delay for a refused call: the time in which the held calls should be
// finished.
func (s *service) retryAfter(now units.Instant) time.Duration {
	wait := s.expectedWait(nil, now)
	return max(minRetryAfter, min(wait, maxRetryAfter))
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// expectedWait estimates how long a call that is held now will wait; nil stands for a call that any
// target may serve. Where boxes lend each other slots, the box counts on as large a part of all slots as
// its share of the calls.
func (s *service) expectedWait(c *call, now units.Instant) time.Duration {
	capacity, all := 0, 0
	for _, t := range s.targets {
		if !c.mayUse(t) {
			continue
		}
		capacity += t.capacity(now)
		if s.borrowsSlots && t.isEligible() && !t.isBlocked(now) {
			all += t.row.MaxInFlight
		}
	}
	capacity = max(capacity, int(float64(all)*(1-s.traffic.ofOthers(now))))
	if capacity == 0 {
		return 0
	}
	rounds := float64(s.held.length+1) / float64(capacity)
	return time.Duration(rounds * float64(s.latency.longTermMean()))
}

// candidates presents a service's targets to a policy.
type candidates struct {
	service *service
	now     units.Instant
	// call is the call to send; targets that it is already in flight at are unavailable.
	call *call
	// ignoreHealth makes ejected targets available.
	ignoreHealth bool
	// excludeTried makes targets unavailable that the call has been sent to before.
	excludeTried bool
	// role is the version role of available targets.
	role versionRole
}

func (c *candidates) Len() int         { return len(c.service.targets) }
func (c *candidates) At(i int) *target { return c.service.targets[i] }
func (c *candidates) Sample(random *rand.Rand) int {
	return sampleByWeight(c.service.weightSums, random)
}
func (c *candidates) InFlight(i int) int     { return c.service.targets[i].inFlight }
func (c *candidates) Reported(i int) float64 { return c.service.targets[i].report.InFlight }

func (c *candidates) Cost(i int) float64 {
	return c.service.targets[i].cost(c.now, c.call.route)
}

func (c *candidates) Available(i int) bool {
	t := c.service.targets[i]
	return t.role == c.role && t.isAvailable(c.now, c.ignoreHealth) && !c.excluded(t)
}

// availableIfWarm reports whether a target that may be cold would be available if a probe showed it
// to be warm.
func (c *candidates) availableIfWarm(i int) bool {
	t := c.service.targets[i]
	return t.role == c.role && t.isPossiblyCold(c.now) && !t.lacksPermit(c.now) && t.isAvailableWhenWarm(c.now, c.ignoreHealth) && !c.excluded(t)
}

// excluded reports whether a target is unavailable because of the call itself. A call in flight
// isn't also sent to a target that announces a limit: the permit is of more use to another call.
func (c *candidates) excluded(t *target) bool {
	return !c.call.mayUse(t) || c.excludeTried && c.call.wasSentTo(t) || c.call.isInFlightAt(t) || t.notice.isLimited() && c.call.inFlight() > 0
}
