package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A permit allows a box to send one call or probe to a target that announces a rate limit. A box
// requests as many permits as its calls need from the target's coordinator, uses each once, and
// returns unused ones.

const (
	// permitLifetime is how long a box may keep an unused permit.
	permitLifetime = 300 * time.Millisecond
	// permitRequestTimeout is when an unanswered request is considered lost. Permits granted later
	// are returned, so that none is used long after the coordinator counted it.
	permitRequestTimeout = 250 * time.Millisecond
	// permitRetryInterval is the time until the next request to a coordinator that didn't answer,
	// or that isn't the coordinator according to its own list of boxes.
	permitRetryInterval = 100 * time.Millisecond
	// maxPermitRetryInterval caps how long a box waits after a coordinator without permits has
	// answered, and so how late it is informed that the limit has ended.
	maxPermitRetryInterval = time.Second
	// permitRetryJitter is the maximum random extension of a wait, as a fraction of it, so that
	// boxes don't all send their request when the next permit becomes available.
	permitRetryJitter = 0.5
	// maxPermitsHeld is the maximum number of permits that a box requests at once, and that one
	// grant adds, for one target.
	maxPermitsHeld = 8
	// limitCheckAfter is the time without an answer of a limited target after which a call is sent
	// there rather than to a better target, because only an answer shows that the limit has ended.
	limitCheckAfter = time.Second
	// limitCheckInterval is the least time between two permit requests of a service whose calls
	// have other targets, so that these calls cost little more than without limits.
	limitCheckInterval = 20 * time.Millisecond
	// parallelPermitRequests is the number of coordinators that are sent a request at once for a
	// call that has no other target. Most permits beyond what a call needs are returned unused.
	parallelPermitRequests = 2
	// maxPermitRequestsPerCall is the maximum number of coordinators that are sent a request for
	// one call. If that many have no permits, few others have any, and the messages would cost the
	// boxes more than the call.
	maxPermitRequestsPerCall = 4
)

// PermitStatus counts permit requests, and the permits that were granted to this box, used and
// returned, for the dump.
type PermitStatus struct {
	Requested uint64 `json:"asked"`
	Granted   uint64 `json:"granted"`
	Used      uint64 `json:"used"`
	Returned  uint64 `json:"returned"`
	// Issued is the number of permits that this box issued as a coordinator, including those to
	// itself.
	Issued uint64 `json:"permitted"`
	nonce  uint64
}

// permitRequest is a request for permits.
type permitRequest struct {
	nonce   uint64
	at      units.Instant
	pending bool
}

// isPending reports whether an answer to the request may still come.
func (a *permitRequest) isPending(now units.Instant) bool {
	return a.pending && now.Sub(a.at) < permitRequestTimeout
}

// nextPermitAt is the earliest time at which a permit may arrive, as far as this box knows.
func (x *targetLimit) nextPermitAt(now units.Instant) units.Instant {
	if x.request.isPending(now) {
		return now
	}
	return max(now, x.nextRequestAt)
}

// mayRequest reports whether a request for permits may be sent now: the box holds no permit, no
// request is pending, and the wait after the last one is over.
func (x *targetLimit) mayRequest(now units.Instant) bool {
	return !x.permits.available(now) && !x.request.isPending(now) && now >= x.nextRequestAt
}

// lacksPermit reports whether the target announces a limit and this box has no permit for it.
func (t *target) lacksPermit(now units.Instant) bool {
	return t.notice.isLimited() && !t.notice.limit.permits.available(now)
}

// isAvailableWithPermit reports whether a new call could be sent to the target now if there were a
// permit.
func (t *target) isAvailableWithPermit(now units.Instant, ignoreHealth bool) bool {
	return t.coldRateAdmits(now) && t.isAvailableWhenWarm(now, ignoreHealth)
}

// usePermit spends a permit on a call or probe and returns the permit's expiry: zero if the target
// announces no limit, or if there is no permit.
func (r *Router) usePermit(t *target) units.Instant {
	if !t.notice.isLimited() {
		return 0
	}
	until, ok := t.notice.limit.permits.use(r.now)
	if ok {
		r.permits.Used++
	}
	return until
}

// restorePermit puts back the permit of an attempt that wasn't sent; an expired one is returned to
// the coordinator.
func (r *Router) restorePermit(t *target, until units.Instant, e *Effects) {
	if until == 0 || !t.notice.isLimited() {
		return
	}
	r.permits.Used--
	if r.now < until {
		t.notice.limit.permits.add(1, until)
		r.scheduleSweep(t.service, until)
		return
	}
	r.returnPermits(t, 1, e)
}

// requestPermits requests permits of limited targets for a call that has no other target. It
// requests none for a call that has an attempt in flight.
func (r *Router) requestPermits(s *service, c *call, maxRequests int, e *Effects) {
	if c.inFlight() > 0 {
		return
	}
	if c.route.work != table.Patient {
		maxRequests = min(maxRequests, maxPermitRequestsPerCall-c.permitRequests)
	}
	c.permitRequests += r.requestPermitsFromSome(s, c, maxRequests, func(*target) bool { return true }, e)
}

// requestCheckPermit requests a permit of one limited target for a call that also has other
// targets, so that the limit's rate is used and its end is noticed.
func (r *Router) requestCheckPermit(s *service, c *call, e *Effects) {
	if s.limitedTargets == 0 || r.now < s.nextLimitCheckAt {
		return
	}
	s.nextLimitCheckAt = r.now.Add(limitCheckInterval)
	r.requestPermitsFromSome(s, c, 1, func(t *target) bool { return t.inSubset }, e)
}

// requestPermitsFromSome requests permits of at most maxRequests limited targets that a call may be
// sent to and that satisfy fits, and returns the number of requests.
func (r *Router) requestPermitsFromSome(s *service, c *call, maxRequests int, fits func(*target) bool, e *Effects) (requested int) {
	if s.limitedTargets == 0 || !r.leased() {
		return 0
	}
	ignoreHealth := r.ignoresHealth(s, c)
	start := r.random.IntN(len(s.targets))
	for k := range s.targets {
		t := s.targets[(start+k)%len(s.targets)]
		if requested >= maxRequests {
			break
		}
		if t.notice.isLimited() && t.notice.limit.mayRequest(r.now) && fits(t) && c.mayUse(t) && t.isAvailableWithPermit(r.now, ignoreHealth) {
			r.requestTargetPermits(t, min(maxPermitsHeld, 1+s.held.length+len(s.waiting)), e)
			requested++
		}
	}
	return requested
}

// requestPermitsForHeld requests permits for the first held call that needs one. A call for which
// enough coordinators had no permits is refused.
func (r *Router) requestPermitsForHeld(s *service, e *Effects) {
	for s.limitedTargets > 0 && !s.hasPendingPermitRequest(r.now) {
		id, c := r.firstHeld(s)
		if c == nil || !s.allLimited(c) {
			return
		}
		if r.requestPermits(s, c, 1, e); c.permitRequests < maxPermitRequestsPerCall || c.route.work == table.Patient || s.hasPendingPermitRequest(r.now) {
			return
		}
		s.held.popFront()
		r.refuse(id, c, Refusal{Reason: TargetsLimited, Outcome: c.outcome(), RetryAfter: r.limitRetryAfter(s, r.now)}, e)
	}
}

// hasPendingPermitRequest reports whether a coordinator may still answer a request.
func (s *service) hasPendingPermitRequest(now units.Instant) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.notice.isLimited() && t.notice.limit.request.isPending(now) })
}

// requestTargetPermits requests permits of one target from its coordinator.
func (r *Router) requestTargetPermits(t *target, count int, e *Effects) {
	to, known := r.coordinatorOf(t)
	if !known {
		t.notice.limit.nextRequestAt = r.now.Add(permitRetryInterval)
		return
	}
	r.permits.nonce++
	r.permits.Requested++
	t.notice.limit.request = permitRequest{nonce: r.permits.nonce, at: r.now, pending: true}
	r.scheduleSweep(t.service, r.now.Add(permitRequestTimeout))
	r.sendLimitMessage(to, t, LimitMessage{Kind: RequestPermits, Nonce: r.permits.nonce, Count: count}, e)
}

// acceptPermits handles a coordinator's answer. Permits that arrive too late are returned.
func (r *Router) acceptPermits(from units.BoxID, t *target, m *LimitMessage, e *Effects) {
	if !t.notice.isLimited() {
		return
	}
	x := t.notice.limit
	if m.Nonce != x.request.nonce || !x.request.isPending(r.now) {
		r.returnPermitsTo(from, t, m.Count, e)
		return
	}
	x.request.pending = false
	pause := min(m.RetryAfter, maxPermitRetryInterval)
	x.nextRequestAt = r.now.Add(pause + time.Duration(permitRetryJitter*r.random.Float64()*float64(pause)))
	if m.Count > 0 {
		r.permits.Granted += uint64(m.Count)
		until := r.now.Add(permitLifetime)
		x.permits.add(min(m.Count, maxPermitsHeld), until)
		r.scheduleSweep(t.service, until)
		r.freedServices = append(r.freedServices, t.service)
		return
	}
	// Requests to other coordinators are sent at the end of the event.
	r.declinedServices = append(r.declinedServices, t.service)
}

// retryDeclined requests permits from other coordinators for the held calls, and refuses calls that
// no target can serve.
func (r *Router) retryDeclined(e *Effects) {
	for len(r.declinedServices) > 0 {
		s := r.declinedServices[len(r.declinedServices)-1]
		r.declinedServices = r.declinedServices[:len(r.declinedServices)-1]
		r.requestPermitsForHeld(s, e)
		r.refuseUnservable(s, e)
	}
}

// returnPermits returns unused permits to the target's coordinator.
func (r *Router) returnPermits(t *target, n int, e *Effects) {
	if to, known := r.coordinatorOf(t); known {
		r.returnPermitsTo(to, t, n, e)
	}
}

func (r *Router) returnPermitsTo(to units.BoxID, t *target, n int, e *Effects) {
	if n <= 0 {
		return
	}
	r.permits.Returned += uint64(n)
	r.sendLimitMessage(to, t, LimitMessage{Kind: ReturnPermits, Count: n}, e)
}

// sweepPermits returns expired permits and records requests that timed out.
func (r *Router) sweepPermits(s *service, e *Effects) {
	if s.limitedTargets == 0 {
		return
	}
	for _, t := range s.targets {
		if !t.notice.isLimited() {
			continue
		}
		x := t.notice.limit
		if n := x.permits.dropExpired(r.now); n > 0 {
			r.returnPermits(t, n, e)
			// No call here needed the permit, so other boxes may request theirs first.
			x.nextRequestAt = max(x.nextRequestAt, r.now.Add(permitLifetime))
		}
		if x.request.pending && !x.request.isPending(r.now) {
			x.request.pending = false
			x.nextRequestAt = r.now.Add(permitRetryInterval)
		}
		if len(x.permits) > 0 {
			r.scheduleSweep(s, x.permits[0])
		}
		if x.request.pending {
			r.scheduleSweep(s, x.request.at.Add(permitRequestTimeout))
		}
	}
	r.requestPermitsForHeld(s, e)
}

// limitCheckTarget returns a limited target that hasn't answered for limitCheckAfter and that the
// call may go to; nil if there is none. Only repeatable work is sent there, since a hedge can save
// such a call if the target is slow.
func (c *candidates) limitCheckTarget() *target {
	if c.service.limitedTargets == 0 || c.call.route.work != table.Repeatable || c.call.inFlight() > 0 {
		return nil
	}
	for i, t := range c.service.targets {
		if t.notice.isLimited() && t.notice.limit.permits.available(c.now) && c.now.Sub(t.lastObservedAt) > limitCheckAfter && c.Available(i) {
			return t
		}
	}
	return nil
}
