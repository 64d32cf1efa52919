package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// callArrived sends, holds or refuses a new call at once.
func (r *Router) callArrived(v *CallArrived, e *Effects) {
	id, c := r.calls.Acquire()
	c.reset()
	c.owner = v.Owner
	c.identity = v.Identity
	c.streamedBody = v.Streamed
	c.arrived = r.now
	if v.Relayed != nil {
		r.acceptRelayed(id, c, v, e)
		return
	}
	if r.tableIsEmpty() && r.holdEarly(id, c, v, e) {
		return
	}
	if !r.leased() {
		r.refuse(id, c, noLeaseRefusal, e)
		return
	}
	r.admit(id, c, v, e)
}

// admit routes, checks and dispatches a call at a box that has a table.
func (r *Router) admit(id CallID, c *call, v *CallArrived, e *Effects) {
	var refusal Refusal
	c.route, c.workspace, refusal = r.resolve(v)
	if refusal.Reason != 0 {
		r.refuse(id, c, refusal, e)
		return
	}
	if r.refuseIfQuarantined(id, c, e) {
		return
	}
	if r.mayOutlastBox(c.route, v.Deadline) {
		r.refuse(id, c, stoppingRefusal, e)
		return
	}
	c.bindRoute(v.Host, v.Path)
	c.requestedDeadline = v.Deadline
	if c.isRelayed() {
		c.requestedDeadline += v.Relayed.Elapsed
		r.admitToService(id, c, e)
		return
	}
	if !r.holdForCanary(id, c, e) {
		r.admitAfterCanary(id, c, e)
	}
}

// resolve returns the route of a call and the workspace whose key it presents, or the refusal of a call that lacks
// either. The workspace is nil where no key is needed.
func (r *Router) resolve(v *CallArrived) (*route, *table.Workspace, Refusal) {
	x := r.routes.find(v.Host, v.Path)
	if x == nil {
		return nil, nil, r.noRouteRefusal()
	}
	w, refusal := r.findWorkspace(x, &v.Credential)
	return x, w, refusal
}

// admitAfterCanary continues with a call that needn't wait for a canary grant: it takes a credit of
// the workspace's quota first.
func (r *Router) admitAfterCanary(id CallID, c *call, e *Effects) {
	if !r.blockedByQuota(id, c, e) {
		r.admitToService(id, c, e)
	}
}

// admitToService picks a service for an admitted call and dispatches it, or refuses it.
func (r *Router) admitToService(id CallID, c *call, e *Effects) {
	s := r.pickService(c)
	if s == nil {
		r.refuse(id, c, Refusal{Reason: NoTarget, Outcome: NotRun, RetryAfter: minRetryAfter}, e)
		return
	}
	c.service = s
	s.calls++
	s.arrivals.record(r.now)
	if !c.isRelayed() {
		s.earnExtraTokens(r.now)
	}
	c.deadline = c.arrived.Add(c.route.callDeadline(c.requestedDeadline, r.settings.MaxDeadline))
	if !s.isBusy(r.now) && !c.isRelayed() {
		c.route.callerDeadline.observe(c.requestedDeadline)
	}
	// What a box that is cut off knows of the load is no longer true, and a relayed call has been
	// admitted by another box.
	if !c.isRelayed() && !c.isCutOff() && r.wouldMissObjective(c, c.requestedDeadline) {
		r.refuse(id, c, Refusal{Reason: TooLate, Outcome: NotRun, RetryAfter: r.busyRetryAfter(s)}, e)
		return
	}
	c.onNewVersion = r.selectForTrial(s)
	r.dispatch(id, c, e)
}

// dispatch sends or holds an admitted call.
func (r *Router) dispatch(id CallID, c *call, e *Effects) {
	if r.relayIfCutOff(id, c, e) {
		return
	}
	if r.waitForLink(id, c, e) {
		return
	}
	if !r.isBehindHeld(c.service, c) {
		if t := r.choose(c.service, c); t != nil {
			r.sendOrProbe(id, c, t, FirstSend, e)
			r.timers.Push(timer{at: c.deadline, call: id, kind: deadlineTimer})
			r.requestCheckPermit(c.service, c, e)
			return
		}
	}
	r.holdOrRefuse(id, c, e)
}

// noLeaseRetryAfter is the retry delay reported by a box that has lost its lease.
const noLeaseRetryAfter = time.Second

var noLeaseRefusal = Refusal{Reason: NoLease, Outcome: NotRun, RetryAfter: noLeaseRetryAfter}

// stoppingRetryAfter is the retry delay reported by a box that is stopping; the caller is expected
// to reach another box.
const stoppingRetryAfter = 10 * time.Millisecond

var stoppingRefusal = Refusal{Reason: Stopping, Outcome: NotRun, RetryAfter: stoppingRetryAfter}

// mayOutlastBox reports whether a call might still be in flight at the planned stop of this box.
// Its connection should have been closed by then, so the caller is better served by opening another
// one elsewhere now than by losing its answer.
func (r *Router) mayOutlastBox(x *route, requested time.Duration) bool {
	if r.stopsAt == 0 {
		return false
	}
	// A call that may be sent again is taken at first: most of them end long before their deadline.
	if x.work != table.AtMostOnce && r.now < r.stopsAdmittingAt {
		return false
	}
	return r.now.Add(x.callDeadline(requested, r.settings.MaxDeadline)) > r.stopsAt
}

// noRouteRefusal returns the refusal of a call for which the table has no route. A box whose table
// is still empty can't know whether there is one.
func (r *Router) noRouteRefusal() Refusal {
	if r.tableIsEmpty() {
		return Refusal{Reason: NoTable, Outcome: NotRun, RetryAfter: noTableRetryAfter}
	}
	return Refusal{Reason: NoService, Outcome: NotRun}
}

func (r *Router) tableIsEmpty() bool {
	return len(r.table.Services) == 0 && r.table.Document == 0
}

// choose picks a target for a call, or returns nil when no target accepts calls now. A call
// selected for a rollout's new version falls back to the other targets if none of that version
// accepts it.
func (r *Router) choose(s *service, c *call) *target {
	if c.onNewVersion {
		if t := r.chooseByRole(s, c, r.roleForCall(s, c)); t != nil {
			return t
		}
		c.onNewVersion = false
	}
	return r.chooseByRole(s, c, r.defaultRole(s))
}

// chooseByRole picks a target among those with a version role.
func (r *Router) chooseByRole(s *service, c *call, role versionRole) *target {
	// The set is stored in the router because passing it to a policy would otherwise allocate it on
	// the heap.
	set := &r.candidates
	*set = candidates{service: s, now: r.now, call: c, ignoreHealth: r.ignoresHealth(s, c) && role != trialVersion, excludeTried: c.sendsSinceHeld > 0, role: role}
	if t := set.limitCheckTarget(); t != nil {
		return t
	}
	i := r.chooseIndex(set)
	if i < 0 && set.excludeTried {
		set.excludeTried = false
		i = r.chooseIndex(set)
	}
	if i < 0 {
		return nil
	}
	return s.targets[i]
}

// chooseIndex delegates the choice to the policy, except where targets are probed: their load
// reports are useful only if the best of all targets is chosen, not the best of a small random
// sample.
func (r *Router) chooseIndex(set *candidates) int {
	if set.service.probesTargets() {
		return leastOf[*target](set, r.random, set.Cost)
	}
	return r.policy.Choose(set, r.random)
}

// holdOrRefuse holds a call that can't be sent now. If it isn't expected to be served in time it is
// refused at once, so that its caller can go elsewhere.
func (r *Router) holdOrRefuse(id CallID, c *call, e *Effects) {
	s := c.service
	c.onNewVersion = false
	r.requestPermits(s, c, parallelPermitRequests, e)
	until := min(c.deadline, r.now.Add(s.row.HoldLimit))
	if s.allLimited(c) {
		until = min(until, c.waitDeadline(s))
	}
	if reason := r.reasonNotToHold(s, c, until); reason != 0 {
		r.refuse(id, c, Refusal{Reason: reason, Outcome: c.outcome(), RetryAfter: s.retryAfterFor(reason, r.now)}, e)
		return
	}
	c.held = true
	r.scheduleSweep(s, r.now.Add(sweepPeriod))
	s.held.pushBack(id)
	r.timers.Push(timer{at: until, call: id, kind: holdTimer})
	r.timers.Push(timer{at: c.deadline, call: id, kind: deadlineTimer})
	e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.deadline})
	r.requestLoans(s, e)
	r.borrowCalls(s, e)
}

func (r *Router) reasonNotToHold(s *service, c *call, until units.Instant) Reason {
	if s.isExcludedByRegion(c) {
		return RegionNotAllowed
	}
	if s.held.length >= s.row.HoldCount {
		return TooManyHeld
	}
	if !s.hasEligibleTarget(c) && c.route.work != table.Patient {
		return s.noTargetReason(c, r.now)
	}
	if r.defaultRole(s) == noVersion && c.route.work != table.Patient {
		return UnknownVersion
	}
	if s.isBlockedTooLong(c, r.now) {
		return s.blockedReason(c, r.now)
	}
	wait := s.expectedWait(c, r.now)
	if r.isBehindHeld(s, c) {
		wait = max(wait, r.oldestHeldAge(s))
	}
	maxWait := time.Duration(holdMargin * float64(until.Sub(r.now)))
	if wait > maxWait || r.now.Add(wait+s.latency.longTermMean()) > c.deadline {
		return WaitTooLong
	}
	return 0
}

// holdMargin is the fraction of a call's maximum hold time that its expected wait may use. The rest
// covers the error of the estimate, so that few calls are held and then refused.
const holdMargin = 0.6

// oldestHeldAge is how long the oldest held call has waited; the next call is unlikely to wait
// less.
func (r *Router) oldestHeldAge(s *service) time.Duration {
	if _, c := r.firstHeld(s); c != nil {
		return r.now.Sub(c.arrived)
	}
	return 0
}

// hasEligibleTarget reports whether a target of the service may serve the call, regardless of its
// health and limits.
func (s *service) hasEligibleTarget(c *call) bool {
	for _, t := range s.targets {
		if t.isEligible() && c.mayUse(t) {
			return true
		}
	}
	return false
}

// serveHeld sends held calls, oldest first, while targets accept them.
func (r *Router) serveHeld(s *service, e *Effects) {
	for s.held.length > 0 && r.leased() {
		i, t := r.nextServable(s)
		if t == nil {
			return
		}
		id := s.held.remove(i)
		c := r.calls.Get(id)
		c.held = false
		r.send(id, c, t, FirstSend, e)
	}
}

// nextServable returns the queue index of the oldest held call that a target accepts, and that
// target; nil for none. A call that is restricted to regions doesn't block calls with other
// restrictions.
func (r *Router) nextServable(s *service) (int, *target) {
	r.firstHeld(s)
	var blocked *table.AllowedRegions
	for i, id := range s.held.waiting() {
		c := r.calls.Get(id)
		if c == nil || !c.held || c.isCutOff() || blocked != nil && blocked.Equal(c.regions) {
			continue
		}
		if t := r.choose(s, c); t != nil {
			return i, t
		}
		if c.regions == nil {
			return 0, nil
		}
		blocked = c.regions
	}
	return 0, nil
}

// firstHeld returns the oldest call that is still held, and drops those before it that have ended.
func (r *Router) firstHeld(s *service) (CallID, *call) {
	for s.held.length > 0 {
		id := s.held.front()
		if c := r.calls.Get(id); c != nil && c.held {
			return id, c
		}
		s.held.popFront()
	}
	return 0, nil
}

// heldQueue is the queue of calls that wait for a target, oldest first. A call that ends while it
// waits stays in the queue until it reaches the front.
type heldQueue struct {
	ids    []CallID
	head   int
	length int
}

func (q *heldQueue) pushBack(id CallID) {
	q.ids = append(q.ids, id)
	q.length++
}

func (q *heldQueue) pushFront(id CallID) {
	if q.head == 0 {
		q.ids = append([]CallID{0}, q.ids...)
		q.head = 1
	}
	q.head--
	q.ids[q.head] = id
	q.length++
}

func (q *heldQueue) front() CallID { return q.ids[q.head] }

// waiting returns the queue, oldest first; the slice is valid until the queue changes.
func (q *heldQueue) waiting() []CallID { return q.ids[q.head:] }

// remove removes the call at an index counted from the front.
func (q *heldQueue) remove(i int) CallID {
	id := q.ids[q.head+i]
	if i == 0 {
		q.popFront()
		return id
	}
	q.ids = slices.Delete(q.ids, q.head+i, q.head+i+1)
	q.length--
	return id
}

func (q *heldQueue) popFront() {
	q.head++
	q.length--
	if q.length == 0 {
		q.ids = q.ids[:0]
		q.head = 0
		return
	}
	// The space before the head is reclaimed once it is half of the queue.
	if q.head > len(q.ids)/2 && q.head > minReclaimedIDs {
		n := copy(q.ids, q.ids[q.head:])
		q.ids = q.ids[:n]
		q.head = 0
	}
}

// minReclaimedIDs is the number of ids before a queue's head below which their space isn't
// reclaimed: copying the queue for fewer costs more than it saves.
const minReclaimedIDs = 64

func (q *heldQueue) drain() []CallID {
	ids := q.ids[q.head:]
	*q = heldQueue{}
	return ids
}
