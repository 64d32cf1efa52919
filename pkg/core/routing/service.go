package routing

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// service is what a box knows of a service.
type service struct {
	entry   *table.Entry
	row     table.Service
	targets []*target
	// whenFull and whenCold are how much longer calls took at targets that were nearly full,
	// or cold.
	whenFull slowdownEstimate
	whenCold slowdownEstimate
	// silence is what is known of calls that were never answered.
	silence unansweredStats
	// off are the mechanisms that aren't used.
	off mechanismSet
	// domain is the box's own failure domain.
	domain units.Domain
	// sums are running sums of the weights that count now.
	sums []float64
	// weight is the sum of all weights that count now.
	weight float64
	// mostlyEjected is set while so many targets are out of the common path that the
	// rest would collapse; then their health doesn't count.
	mostlyEjected bool
	// recent counts the last sends.
	recent float64
	held   heldQueue
	// extraBurst bounds what each of the budgets saves up, or the one for both where pooled is
	// set.
	extraBurst   float64
	pooledBudget bool
	retries      budget
	hedges       budget
	latency      latencyEstimate
	loans        serviceLoans
	// probeBudget is what is left of the budget for probes before sends.
	probeBudget tokenBucket
	// waiting are the calls that wait for a target that suits, the most urgent first and
	// the oldest of those; calls that have found one stay until they are passed over.
	waiting []waitingCall
	// busyPart is the part of the last calls that found no target that suits at once;
	// busyAt is when that was last noted.
	busyPart float64
	busyAt   units.Instant
	// busySince is when the service last began to count as busy.
	busySince units.Instant
	// unreported counts the answers in a row that carried no load report.
	unreported int
	// sweepAt is when time alone may next bring something about.
	sweepAt units.Instant
	calls   uint64
	refused uint64
	// crashes counts the crashes of targets under calls of this box.
	crashes uint64
	// rests counts the rests that targets asked this box for.
	rests uint64
	// limitedTargets counts the targets that name limits, since limitedSince.
	limitedTargets int
	limitedSince   units.Instant
	// nextLimitCheckAt is when a call that has other targets may next ask for a permit of a limited one.
	nextLimitCheckAt units.Instant
	// rollout is the one that is under way, or nil.
	rollout *rolloutState
}

func newService(row table.Service) *service {
	tokens := float64(initialRetryTokens)
	if row.ExtraBurst > 0 {
		// The total over all boxes holds from the start.
		tokens = 0
	}
	return &service{row: row, retries: budget{tokens: tokens}, hedges: budget{tokens: tokens}, loans: serviceLoans{spareByPeer: map[units.BoxID]spareReport{}}}
}

// initialRetryTokens let a service retry a few of its first calls.
const initialRetryTokens = 3

func compareServices(a, b *service) int {
	return strings.Compare(string(a.row.Name), string(b.row.Name))
}

// update takes over a new version of the service's rows. Targets that stay keep
// what is known of them; those that went finish what they have.
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

// weigh works out the weights that count now; it is due whenever a target's health,
// state or weight has changed.
func (s *service) weigh(now units.Instant) {
	s.sums = s.sums[:0]
	sum := 0.0
	active, ejected, limited := 0, 0, 0
	for _, t := range s.targets {
		t.weight = t.effectiveWeight(now)
		if t.notice.isLimited() {
			limited++
		}
		sum += t.weight
		s.sums = append(s.sums, sum)
		if !t.isEligible() {
			continue
		}
		active++
		if t.health.ejected {
			ejected++
		}
	}
	s.weight = sum
	s.mostlyEjected = 2*ejected > active
	if s.limitedTargets == 0 {
		s.limitedSince = now
	}
	s.limitedTargets = limited
}

// retryAfter is when a refused caller may come back: the time in which the
// calls that wait now should be through.
func (s *service) retryAfter(now units.Instant) time.Duration {
	wait := s.expectedWait(nil, now)
	return max(minRetryAfter, min(wait, maxRetryAfter))
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// expectedWait estimates how long a call that is held now will wait; nil stands for one
// that any target may take.
func (s *service) expectedWait(c *call, now units.Instant) time.Duration {
	capacity := 0
	for _, t := range s.targets {
		if c.mayUse(t) {
			capacity += t.capacity(now)
		}
	}
	if capacity == 0 {
		return 0
	}
	waves := float64(s.held.length+1) / float64(capacity)
	return time.Duration(waves * float64(s.latency.longTermMean()))
}

// candidates is a service's targets as a policy sees them.
type candidates struct {
	service *service
	now     units.Instant
	// call is the call that is to be sent; its own targets aren't available.
	call *call
	// anyHealth lets ejected targets be chosen.
	anyHealth bool
	// fresh leaves out the targets that the call has been sent to.
	fresh bool
	// side is that of the targets to choose from.
	side side
}

func (c *candidates) Len() int                     { return len(c.service.targets) }
func (c *candidates) At(i int) *target             { return c.service.targets[i] }
func (c *candidates) Sample(random *rand.Rand) int { return sampleByWeight(c.service.sums, random) }
func (c *candidates) InFlight(i int) int           { return c.service.targets[i].inFlight }
func (c *candidates) Reported(i int) float64       { return c.service.targets[i].report.InFlight }

func (c *candidates) Cost(i int) float64 {
	return c.service.targets[i].cost(c.now, c.call.route)
}

func (c *candidates) Available(i int) bool {
	t := c.service.targets[i]
	return t.side == c.side && t.isAvailable(c.now, c.anyHealth) && !c.excluded(t)
}

// onlyInDoubt tells whether a target would be available if a probe showed it warm.
func (c *candidates) onlyInDoubt(i int) bool {
	t := c.service.targets[i]
	return t.side == c.side && t.isPossiblyCold(c.now) && !t.lacksPermit(c.now) && t.isAvailableWhenWarm(c.now, c.anyHealth) && !c.excluded(t)
}

// excluded tells whether the call itself rules a target out. A call that is under way isn't sent to a
// target that names a limit as well: the permit serves another call better.
func (c *candidates) excluded(t *target) bool {
	return !c.call.mayUse(t) || c.fresh && c.call.wasSentTo(t) || c.call.isInFlightAt(t) || t.notice.isLimited() && c.call.inFlight() > 0
}
