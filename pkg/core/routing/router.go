package routing

import (
	"math/rand/v2"
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/quota"
	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Settings configure a router.
type Settings struct {
	Box    units.BoxID
	Domain units.Domain
	// Regions maps failure domains to their regions.
	Regions map[units.Domain]units.Region
	Seed    uint64
	Policy  PolicyName
	// ServeStale lets the box continue to serve when its lease on the table has expired.
	ServeStale bool
	// ShareDelay is how long an increase of a share is delayed; it must exceed the time for which
	// another box may use an older table.
	ShareDelay time.Duration
	// AssumedColdPeriod is how long after its failure domain was restored a target may be cold
	// without having reported it.
	AssumedColdPeriod time.Duration
	// ProbeCost is how long a probe occupies a slot of a target.
	ProbeCost time.Duration
	// Loans enables loans of slots between boxes.
	Loans bool
	// MaxDeadline caps the deadline that a caller may set.
	MaxDeadline time.Duration
	// LinkRate is the bandwidth of the box's link in bytes per second; zero means unlimited.
	LinkRate float64
	// MaxRelayed is the number of calls relayed by other boxes that may be in flight here.
	MaxRelayed int
	// QuotaSlack is the number of calls by which a workspace may exceed its rate and burst.
	QuotaSlack int
	// MaxKeyStaleness is how long the box accepts keys after its table was last known to be
	// current; zero means without limit.
	MaxKeyStaleness time.Duration
	// Disable lists the mechanisms that are switched off.
	Disable []Mechanism
}

// Defaults of the settings.
const (
	DefaultShareDelay        = 3 * time.Second
	DefaultProbeCost         = 5 * time.Millisecond
	DefaultAssumedColdPeriod = 2 * time.Second
	DefaultMaxDeadline       = 5 * time.Minute
	DefaultMaxRelayed        = 256
	DefaultQuotaSlack        = 2 * quota.HoldersPerGroup
)

// Router is the state of a box's routing.
type Router struct {
	settings Settings
	random   *rand.Rand
	policy   Policy[*target]
	// candidates is the set from which the policy is selecting.
	candidates candidates
	// probeCandidates is a reused buffer for the targets compared for a round of probes.
	probeCandidates []*target
	// probeCandidateLimit is why probeCandidates is empty.
	probeCandidateLimit SearchLimit
	table               *table.Table
	services            map[units.ServiceName]*service
	// sortedServices lists the services sorted by name.
	sortedServices []*service
	routes         routeIndex
	keys           keyRing
	rank           boxRank
	// boxListVersion numbers the lists of boxes applied; domainBoxes caches, for the current list,
	// the boxes near each failure domain's targets that aren't leaving.
	boxListVersion int
	domainBoxes    map[units.Domain][]table.Box
	// domainBoxCounts counts the boxes of the current list by failure domain; nil until needed.
	domainBoxCounts scope.BoxCounts
	// noBoxesSeen is set until a list contains any box.
	noBoxesSeen bool
	// replacedBoxLists are former lists on which other boxes may still act.
	replacedBoxLists []replacedBoxList
	// boxChanges are the boxes that joined and left with the table being applied.
	boxChanges boxListChange
	// onlyBoxesLost is set while a table is applied whose list of boxes only lacks some of the
	// previous ones.
	onlyBoxesLost bool
	// restoredDomains are the failure domains that the table being applied restores from
	// evacuation.
	restoredDomains []units.Domain
	// servingFrom is when a newly listed box has had time to receive its shares.
	servingFrom units.Instant
	leaseUntil  units.Instant
	// leaseConfirmedAt is when the table was last known to be current.
	leaseConfirmedAt units.Instant
	// isShort is set while calls need more than the box's link or processor can carry.
	isShort bool
	// stopsAt is when the box will have stopped as planned, zero for never; from stopsAdmittingAt
	// on, only calls that are sure to end before are accepted.
	stopsAt          units.Instant
	stopsAdmittingAt units.Instant
	calls            *container.Slab[call]
	timers           *container.Heap[timer]
	loans            loanState
	lenders          lenderRing
	// domainAvailabilities are the estimated shares of usable targets, by failure domain.
	domainAvailabilities map[units.Domain]*domainAvailability
	// startedAt is when the router was created; earlyCalls are calls that arrived before its first
	// table.
	startedAt  units.Instant
	earlyCalls []earlyCall
	disabled   mechanismSet
	now        units.Instant
	sweepAt    units.Instant
	refusals   [reasonCount]uint64
	// inbound tracks large answers that are being received, expectedBytes the expected bytes of
	// those that haven't begun; linkWaits counts how often calls waited for the link.
	inbound       inboundLink
	expectedBytes float64
	linkWaits     uint64
	// unknownRegions are the failure domains without a known region that have been logged.
	unknownRegions map[units.Domain]bool
	// domainDistances are the estimated round trip times to failure domains.
	domainDistances map[units.Domain]*domainDistance
	// changedServices is a reused buffer for the services that a new table changes.
	changedServices []*service
	// freedServices are the services at which capacity became available during this event.
	freedServices []*service
	// rollouts are the active ones, and ended ones whose evidence has still to be sent once;
	// exposures are those of the newest grant.
	rollouts  []*rolloutState
	exposures []rollout.Exposure
	// evidenceDue is set if evidence is to be sent at once.
	evidenceDue bool
	crashes     crashState
	notices     noticeMap
	permits     PermitStatus
	quotas      quotaState
	relays      relayState
	// newCuts is the evidence for the cuts that this event began.
	newCuts []*reach
	// lastCutAt is when the box last found itself cut off from a service's targets.
	lastCutAt units.Instant
	// declinedServices are the services for which a coordinator had no permit during this event.
	declinedServices []*service
}

// sweepPeriod is the time between two sweeps of a service whose shares, ejections, probes or
// held calls change over time.
const sweepPeriod = 10 * time.Millisecond

// idleSweepPeriod is the time between two sweeps otherwise.
const idleSweepPeriod = 500 * time.Millisecond

// NewRouter returns a router that has no table yet. The error is an Invalid fault if the policy or
// a mechanism to disable is unknown.
func NewRouter(s Settings, now units.Instant) (*Router, error) {
	policy, err := NewPolicy[*target](s.Policy)
	if err != nil {
		return nil, err
	}
	off, err := newMechanismSet(s.Disable)
	if err != nil {
		return nil, err
	}
	return &Router{
		settings:             s,
		random:               rand.New(rand.NewPCG(s.Seed, 1)),
		policy:               policy,
		table:                table.NewTable(),
		services:             map[units.ServiceName]*service{},
		calls:                container.NewSlab[call](),
		timers:               container.NewHeap(timerBefore),
		loans:                newLoanState(),
		domainAvailabilities: map[units.Domain]*domainAvailability{},
		boxListVersion:       1,
		noBoxesSeen:          true,
		domainBoxes:          map[units.Domain][]table.Box{},
		inbound:              inboundLink{bytesPerSecond: s.LinkRate},
		domainDistances:      map[units.Domain]*domainDistance{},
		unknownRegions:       map[units.Domain]bool{},
		now:                  now,
		startedAt:            now,
		disabled:             off,
		sweepAt:              now,
		crashes:              newCrashState(),
		notices:              noticeMap{},
		quotas:               newQuotaState(),
		relays:               relayState{helpers: map[units.BoxID]*helper{}},
	}, nil
}

// Reduce processes one event at a time of the box's clock and appends the resulting effects to e. A
// call that arrives gets exactly one effect at once: Send, Hold or Refuse.
func (r *Router) Reduce(now units.Instant, event Event, e *Effects) {
	r.now = max(now, r.now)
	switch v := event.(type) {
	case *CallArrived:
		r.callArrived(v, e)
	case *AttemptEnded:
		r.attemptEnded(v, e)
	case *AttemptStarted:
		r.attemptStarted(v, e)
	case *CallerGone:
		r.callerDisconnected(v.Call, e)
	case *Tick:
		r.tick(e)
	case *TableChanged:
		r.applyTable(v.Table, e)
	case *RegionsChanged:
		r.setRegions(v.Regions, e)
	case *StopPlanned:
		r.stopsAt = v.Until
		r.stopsAdmittingAt = r.now.Add(v.Until.Sub(r.now) / 2)
	case *CapacityChanged:
		r.isShort = v.Short
	case *LeaseChanged:
		r.resetStaleHolder()
		r.leaseUntil, r.leaseConfirmedAt = v.Until, v.At
	case *ExposuresChanged:
		r.updateExposures(v.Exposures, e)
	case *WatchedCallsChanged:
		r.applyWatched(v, e)
	case *ProbeEnded:
		r.probeEnded(v, e)
	case *PeerLoan:
		r.receiveLoanMessage(v.From, v.Message, e)
	case *PeerLimit:
		r.receiveLimitMessage(v.From, v.Message, e)
	case *PeerQuota:
		r.receiveQuotaMessage(v.From, &v.Message, e)
	case *PeerCanary:
		r.receiveCanaryMessage(v.From, &v.Message, e)
	case *PeerTokens:
		r.receiveTokenMessage(v.From, &v.Message, e)
	case *PeerReach:
		r.receiveReachMessage(v.From, &v.Message, e)
	}
	r.admitEarly(e)
	r.retryDeclined(e)
	r.serveFreed(e)
	r.relayAfterCuts(e)
}

// serveFreed gives capacity that became available during an event to waiting calls, then to other
// boxes.
func (r *Router) serveFreed(e *Effects) {
	for len(r.freedServices) > 0 {
		s := r.freedServices[len(r.freedServices)-1]
		r.freedServices = r.freedServices[:len(r.freedServices)-1]
		if len(s.waiting) > 0 {
			r.serveWaiting(s, e)
		}
		if s.held.length > 0 {
			r.serveHeld(s, e)
		}
		if len(s.loans.pending) > 0 {
			r.lendFreedSlots(s, e)
		}
	}
}

func (r *Router) tick(e *Effects) {
	r.fireTimers(e)
	if r.now < r.sweepAt {
		return
	}
	r.sweepAt = r.now.Add(idleSweepPeriod)
	for _, s := range r.sortedServices {
		r.sweep(s, e)
		r.sweepAt = min(r.sweepAt, s.sweepAt)
	}
	r.checkCuts(e)
	r.searchHelpers(e)
	r.sweepLoans(e)
	r.expireQuarantines(e)
	r.expireNotices()
	if r.quotas.active() {
		r.sweepQuotas(e)
		r.sweepAt = min(r.sweepAt, r.quotas.sweepAt)
	}
	if r.loans.active() {
		r.sweepAt = min(r.sweepAt, r.now.Add(sweepPeriod))
	}
}

// scheduleSweep makes the next sweep of a service due at a time or earlier.
func (r *Router) scheduleSweep(s *service, at units.Instant) {
	s.sweepAt = min(s.sweepAt, at)
	r.sweepAt = min(r.sweepAt, at)
}

// sweep performs a service's periodic work, if it is due.
func (r *Router) sweep(s *service, e *Effects) {
	if r.now < s.sweepAt {
		return
	}
	s.sweepAt = r.now.Add(idleSweepPeriod)
	for _, t := range s.targets {
		if r.advanceShares(t) || t.health.ejected || t.health.isRamping(r.now) {
			s.sweepAt = r.now.Add(sweepPeriod)
		}
		r.probeIfDue(s, t, e)
	}
	s.updateWeights(r.now)
	r.sweepPermits(s, e)
	r.sweepReach(s, e)
	if s.held.length == 0 {
		return
	}
	s.sweepAt = r.now.Add(sweepPeriod)
	r.serveHeld(s, e)
	if s.held.length > 0 {
		r.requestLoans(s, e)
		r.borrowCalls(s, e)
	}
}

// NextWake returns the time by which the next Tick is due.
func (r *Router) NextWake() units.Instant {
	for {
		t, ok := r.timers.Peek()
		if !ok {
			return r.sweepAt
		}
		if t.call == 0 || r.calls.Get(t.call) != nil {
			return min(t.at, r.sweepAt)
		}
		// Most calls end long before their timers; no wake-up is needed for those.
		r.timers.Pop()
	}
}

// leased reports whether the table may be used now.
func (r *Router) leased() bool {
	return r.settings.ServeStale || r.now < r.leaseUntil
}

// selectionExpiry returns when a selection made now may be out of date.
func (r *Router) selectionExpiry() units.Instant {
	if r.settings.ServeStale {
		return r.now.Add(r.settings.MaxDeadline)
	}
	return r.leaseUntil
}

// refuse ends a call with a refusal, or delivers an answer kept from an earlier attempt. A call that
// another box may serve is relayed instead.
func (r *Router) refuse(id CallID, c *call, refusal Refusal, e *Effects) {
	if c.declinesAsUnreachable(refusal.Reason) {
		r.refuseUnreachable(id, c, c.reachOf(), e)
		return
	}
	if c.kept.endpoint != nil || !r.relayInsteadOfRefusal(id, c, refusal.Reason, e) {
		r.refuseFinally(id, c, refusal, e)
	}
}

// refuseFinally is refuse without a relay.
func (r *Router) refuseFinally(id CallID, c *call, refusal Refusal, e *Effects) {
	if c.kept.endpoint != nil && refusal.Reason != CallerDisconnected {
		r.deliverKept(id, c, e)
		return
	}
	r.explainBlocked(c, &refusal)
	refusal.Arrivals = c.possibleArrivals
	r.returnQuarantineTrial(c)
	e.add(Effect{Kind: Refuse, Call: id, Owner: c.owner, Refusal: refusal, Workspace: c.workspaceName(), RelaysInFlight: r.relays.inFlight})
	r.refusals[refusal.Reason]++
	if c.service != nil {
		c.service.refused++
	}
	r.finish(id, c, e)
}

// finish removes a call; attempts still in flight are canceled.
func (r *Router) finish(id CallID, c *call, e *Effects) {
	r.cancelAttempts(id, c, e)
	r.cancelRelay(id, c, e)
	r.restoreCredit(c, e)
	r.releaseCall(id, c)
}

// cancelAttempts cancels the call's attempts in flight at targets.
func (r *Router) cancelAttempts(id CallID, c *call, e *Effects) {
	for i := range c.attempts {
		if a := &c.attempts[i]; a.target != nil {
			r.cancel(id, c, a, e)
		}
	}
}
