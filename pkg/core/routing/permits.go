package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A permit lets a box send one call or probe to a target that names a limit. A box asks the target's
// coordinator for as many as its calls need, uses each once, and returns what isn't needed.

const (
	// permitLifetime is how long a box may keep a permit that it has no use for.
	permitLifetime = 300 * time.Millisecond
	// permitRequestTimeout is after what time an unanswered request counts as lost. What is granted later
	// goes back, so that no permit is used long after it was counted.
	permitRequestTimeout = 250 * time.Millisecond
	// permitRetryInterval is when a target's coordinator is asked again that didn't answer, or that isn't
	// the coordinator by its own list of boxes.
	permitRetryInterval = 100 * time.Millisecond
	// maxPermitRetryInterval bounds for how long a box takes a coordinator's word that nothing is left. It
	// learns within it that the limit is over.
	maxPermitRetryInterval = time.Second
	// permitRetryJitter is how far the pauses of boxes lie apart, as a part of them, so that they don't
	// all ask at the moment at which the next call is permitted.
	permitRetryJitter = 0.5
	// maxPermitsHeld is how many permits a box asks for at once and keeps of one target.
	maxPermitsHeld = 8
	// limitCheckAfter is after what time without an answer of a limited target a call goes there rather
	// than to a better one, since nothing else shows that the limit is over.
	limitCheckAfter = time.Second
	// limitCheckInterval is the least time between two requests for permits of a service whose calls have
	// other targets, so that they hardly cost more than without limits.
	limitCheckInterval = 20 * time.Millisecond
	// parallelPermitRequests is how many coordinators are asked at a time for a call that has no other target: most
	// of what is asked for beyond a call's need goes back unused.
	parallelPermitRequests = 2
	// maxPermitRequestsPerCall is how many are asked for one call. Where as many have nothing left others hardly have,
	// and messages would cost the boxes more than the call.
	maxPermitRequestsPerCall = 4
)

// PermitStatus counts permits and what was asked for; it is for the dump.
type PermitStatus struct {
	Asked    uint64 `json:"asked"`
	Granted  uint64 `json:"granted"`
	Used     uint64 `json:"used"`
	Returned uint64 `json:"returned"`
	// Permitted is how many this box has granted as a coordinator, itself included.
	Permitted uint64 `json:"permitted"`
	nonce     uint64
}

// permitRequest is a request for permits.
type permitRequest struct {
	nonce   uint64
	at      units.Instant
	pending bool
}

// isPending tells whether an answer to a request may still come.
func (a *permitRequest) isPending(now units.Instant) bool {
	return a.pending && now.Sub(a.at) < permitRequestTimeout
}

// nextPermitAt is when a permit may come, as far as this box knows.
func (x *targetLimit) nextPermitAt(now units.Instant) units.Instant {
	if x.ask.isPending(now) {
		return now
	}
	return max(now, x.nextAskAt)
}

// mayRequest tells whether a request for permits is worth while now.
func (x *targetLimit) mayRequest(now units.Instant) bool {
	return !x.permits.available(now) && !x.ask.isPending(now) && now >= x.nextAskAt
}

// lacksPermit tells whether the target names a limit and this box has no permit for a call to it.
func (t *target) lacksPermit(now units.Instant) bool {
	return t.notice.isLimited() && !t.notice.limit.permits.available(now)
}

// takesIfPermitted tells whether a new call might go to the target now, were it permitted.
func (t *target) takesIfPermitted(now units.Instant, anyHealth bool) bool {
	return t.coldRateAdmits(now) && t.isAvailableWhenWarm(now, anyHealth)
}

// usePermit takes the permit that a call or probe of a target needs, and returns until when it may be
// used: zero where the target names no limit, or there is none.
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

// restorePermit gives back the permit of an attempt that wasn't sent.
func (r *Router) restorePermit(t *target, until units.Instant, e *Effects) {
	if until == 0 || !t.notice.isLimited() {
		return
	}
	r.permits.Used--
	if r.now < until {
		t.notice.limit.permits.add(1, until)
		r.sweepBy(t.service, until)
		return
	}
	r.returnPermits(t, 1, e)
}

// requestPermits asks for permits of limited targets that a call without another one might go to. A call that is
// under way isn't sent to one as well.
func (r *Router) requestPermits(s *service, c *call, most int, e *Effects) {
	if c.inFlight() > 0 {
		return
	}
	if c.route.work != table.Patient {
		most = min(most, maxPermitRequestsPerCall-c.permitRequests)
	}
	c.permitRequests += r.requestPermitsFromSome(s, c, most, func(*target) bool { return true }, e)
}

// requestCheckPermit asks for a permit of a limited target that a call might go to as well as to others, so that what the
// limit allows is used, and its end is noticed.
func (r *Router) requestCheckPermit(s *service, c *call, e *Effects) {
	if s.limitedTargets == 0 || r.now < s.nextLimitCheckAt {
		return
	}
	s.nextLimitCheckAt = r.now.Add(limitCheckInterval)
	r.requestPermitsFromSome(s, c, 1, func(t *target) bool { return t.inSubset }, e)
}

// requestPermitsFromSome asks for permits of some of the limited targets that a call might go to and that fit, and returns of
// how many.
func (r *Router) requestPermitsFromSome(s *service, c *call, most int, fits func(*target) bool, e *Effects) (asked int) {
	if s.limitedTargets == 0 || !r.leased() {
		return 0
	}
	anyHealth := r.anyHealth(s, c)
	start := r.random.IntN(len(s.targets))
	for k := range s.targets {
		t := s.targets[(start+k)%len(s.targets)]
		if asked >= most {
			break
		}
		if t.notice.isLimited() && t.notice.limit.mayRequest(r.now) && fits(t) && c.mayUse(t) && t.takesIfPermitted(r.now, anyHealth) {
			r.requestTargetPermits(t, min(maxPermitsHeld, 1+s.held.length+len(s.waiting)), e)
			asked++
		}
	}
	return asked
}

// requestPermitsForHeld asks for the first call that still waits for a permit. Calls for which enough coordinators were asked in
// vain are refused.
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

// hasPendingPermitRequest tells whether a coordinator may still answer.
func (s *service) hasPendingPermitRequest(now units.Instant) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.notice.isLimited() && t.notice.limit.ask.isPending(now) })
}

// requestTargetPermits asks a target's coordinator for permits.
func (r *Router) requestTargetPermits(t *target, count int, e *Effects) {
	to, known := r.coordinatorOf(t)
	if !known {
		t.notice.limit.nextAskAt = r.now.Add(permitRetryInterval)
		return
	}
	r.permits.nonce++
	r.permits.Asked++
	t.notice.limit.ask = permitRequest{nonce: r.permits.nonce, at: r.now, pending: true}
	r.sweepBy(t.service, r.now.Add(permitRequestTimeout))
	r.sendLimit(to, t, LimitMessage{Kind: RequestPermits, Nonce: r.permits.nonce, Count: count}, e)
}

// acceptPermits takes a coordinator's answer. What comes too late goes back.
func (r *Router) acceptPermits(from units.BoxID, t *target, m *LimitMessage, e *Effects) {
	if !t.notice.isLimited() {
		return
	}
	x := t.notice.limit
	if m.Nonce != x.ask.nonce || !x.ask.isPending(r.now) {
		r.returnPermitsTo(from, t, m.Count, e)
		return
	}
	x.ask.pending = false
	pause := min(m.RetryAfter, maxPermitRetryInterval)
	x.nextAskAt = r.now.Add(pause + time.Duration(permitRetryJitter*r.random.Float64()*float64(pause)))
	if m.Count > 0 {
		r.permits.Granted += uint64(m.Count)
		until := r.now.Add(permitLifetime)
		x.permits.add(min(m.Count, maxPermitsHeld), until)
		r.sweepBy(t.service, until)
		r.freed = append(r.freed, t.service)
		return
	}
	// The next coordinator is asked when the event is over.
	r.declined = append(r.declined, t.service)
}

// retryDeclined asks other coordinators for the calls that wait, and refuses those that wait in vain.
func (r *Router) retryDeclined(e *Effects) {
	for len(r.declined) > 0 {
		s := r.declined[len(r.declined)-1]
		r.declined = r.declined[:len(r.declined)-1]
		r.requestPermitsForHeld(s, e)
		r.refuseUnservable(s, e)
	}
}

// returnPermits gives permits that nobody used back to the target's coordinator.
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
	r.sendLimit(to, t, LimitMessage{Kind: ReturnPermits, Count: n}, e)
}

// sweepPermits gives back the permits whose time is over, and notes requests that weren't answered.
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
			// Nothing here needed it, so that others are let ask first.
			x.nextAskAt = max(x.nextAskAt, r.now.Add(permitLifetime))
		}
		if x.ask.pending && !x.ask.isPending(r.now) {
			x.ask.pending = false
			x.nextAskAt = r.now.Add(permitRetryInterval)
		}
		if len(x.permits) > 0 {
			r.sweepBy(s, x.permits[0])
		}
		if x.ask.pending {
			r.sweepBy(s, x.ask.at.Add(permitRequestTimeout))
		}
	}
	r.requestPermitsForHeld(s, e)
}

// limitCheckTarget is a limited target that hasn't answered for a while and that a call may go to; nil for
// none. Only work that may run twice is sent there, which a hedge saves if the target is slow.
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
