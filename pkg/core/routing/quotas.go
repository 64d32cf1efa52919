package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/core/quota"
	"github.com/madderpond/madderpond/pkg/units"
)

// A credit admits one call of a workspace whose rate is limited. A box requests as many credits as
// its calls need from the workspace's holders, one holder after the other while they have none
// left, and refuses at once the calls for which no holder has a credit.

const (
	// creditLifetime is how long a box may keep an unused credit, and so how much later than the
	// holder counted it a call may run.
	creditLifetime = 300 * time.Millisecond
	// creditWaitTimeout is how long a call waits for a credit at most. A holder answers within a
	// few milliseconds.
	creditWaitTimeout = 350 * time.Millisecond
	// maxCallsAwaitingCredit caps the calls of one workspace that wait for credits at a box.
	maxCallsAwaitingCredit = 1024
	// arrivalRateWindow is the time over which a box estimates the rate of a workspace's calls.
	arrivalRateWindow = 2 * time.Second
	// minQuotaRetryAfter and maxQuotaRetryAfter are the limits of the retry delay for a call
	// refused for lack of a credit.
	minQuotaRetryAfter = 200 * time.Millisecond
	maxQuotaRetryAfter = 5 * time.Second
)

// quotaState is a box's state on the quotas of all workspaces.
type quotaState struct {
	byWorkspace map[units.WorkspaceName]*workspaceQuota
	// order lists the quotas sorted by workspace.
	order   []*workspaceQuota
	holders map[quota.Group]*quotaHolders
	nonce   uint64
	// sweepAt is when the next sweep is due.
	sweepAt units.Instant
	// holdersKnown is set once the holders were computed from a list of boxes.
	holdersKnown bool
	// reportAt is when the next usage report to the leader is due.
	reportAt units.Instant
	// document and boxListVersion are those of the last update.
	document       units.DocumentVersion
	boxListVersion int
}

// workspaceQuota is a box's state on the quota of one workspace.
type workspaceQuota struct {
	name  units.WorkspaceName
	rate  units.CallRate
	burst float64
	group quota.Group
	// credits are the credits that the box holds.
	credits  allowances
	waiting  []creditWaiter
	requests []creditRequest
	// unavailableUntil is when a holder that has no credits left, or doesn't answer, may be sent
	// the next request.
	unavailableUntil map[units.BoxID]units.Instant
	// arrivals estimates the rate of the workspace's calls at this box.
	arrivals eventRate
	// account is this box's part of the rate if it is a holder; shortfalls estimates the rate of
	// requests that it couldn't meet in full.
	account    *limit.TokenBucket
	shortfalls eventRate
	status     QuotaStatus
	// reported is the status at the last report to the leader.
	reported QuotaStatus
}

// creditWaiter is a call that waits for a credit.
type creditWaiter struct {
	id    CallID
	since units.Instant
}

// QuotaStatus is the state of a workspace's quota at a box, for the dump.
type QuotaStatus struct {
	Workspace units.WorkspaceName `json:"workspace"`
	// Admitted and Refused count the box's own calls, Granted the credits that it granted as a
	// holder.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	Granted  uint64 `json:"granted,omitempty"`
}

func newQuotaState() quotaState {
	return quotaState{byWorkspace: map[units.WorkspaceName]*workspaceQuota{}, holders: map[quota.Group]*quotaHolders{}}
}

// active reports whether any workspace's rate is limited.
func (b *quotaState) active() bool { return len(b.order) > 0 }

// updateQuotas applies the table's limits and its list of boxes, if they have changed.
func (r *Router) updateQuotas(e *Effects) {
	b := &r.quotas
	if b.document == r.table.Document && b.boxListVersion == r.boxListVersion {
		return
	}
	limitsChanged := b.document != r.table.Document
	b.document, b.boxListVersion = r.table.Document, r.boxListVersion
	if limitsChanged {
		r.updateQuotaLimits(e)
	}
	if b.active() {
		r.updateHolders()
		r.requestAllCredits(e)
	}
}

// updateQuotaLimits applies the rate limits of the table's workspaces.
func (r *Router) updateQuotaLimits(e *Effects) {
	b := &r.quotas
	kept := map[units.WorkspaceName]*workspaceQuota{}
	before := b.order
	b.order = nil
	for i := range r.table.Workspaces {
		w := &r.table.Workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		u := b.byWorkspace[w.Name]
		if u == nil {
			u = &workspaceQuota{
				name: w.Name, group: quota.GroupOf(w.Name), unavailableUntil: map[units.BoxID]units.Instant{}, status: QuotaStatus{Workspace: w.Name},
			}
		}
		u.rate, u.burst = w.Rate, w.Burst
		kept[w.Name] = u
		b.order = append(b.order, u)
	}
	for _, u := range before {
		if kept[u.name] == nil {
			r.admitUnlimited(u, e)
		}
	}
	b.byWorkspace = kept
}

// admitUnlimited admits the calls that wait for credits of a workspace whose rate is no longer
// limited.
func (r *Router) admitUnlimited(u *workspaceQuota, e *Effects) {
	for _, w := range u.waiting {
		if c := r.stillAwaitsCredit(w); c != nil {
			c.awaitsCredit = false
			r.admitToService(w.id, c, e)
		}
	}
	u.waiting = nil
}

// stillAwaitsCredit returns the call of a queue entry, or nil if the call doesn't wait any more.
func (r *Router) stillAwaitsCredit(w creditWaiter) *call {
	if c := r.calls.Get(w.id); c != nil && c.awaitsCredit {
		return c
	}
	return nil
}

// blockedByQuota uses a credit for a call. Without one it lets the call wait or refuses it, and
// returns true; false means that the call may continue.
func (r *Router) blockedByQuota(id CallID, c *call, e *Effects) bool {
	if c.workspace == nil || c.workspace.Rate <= 0 {
		return false
	}
	u := r.quotas.byWorkspace[c.workspace.Name]
	if u == nil {
		return false
	}
	u.arrivals.record(r.now)
	if r.useCredit(u, c) {
		return false
	}
	if len(u.waiting) >= maxCallsAwaitingCredit {
		r.refuseForQuota(u, id, c, e)
		return true
	}
	c.awaitsCredit = true
	u.waiting = append(u.waiting, creditWaiter{id: id, since: r.now})
	first := len(e.List)
	r.requestCredits(u, e)
	if r.stillAwaitsCredit(creditWaiter{id: id}) != nil {
		// The caller's goroutine needs the call's id before any other effect on the call.
		e.List = slices.Insert(e.List, first, Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: r.now.Add(creditWaitTimeout)})
	}
	return true
}

// eventRate estimates the rate of events over the last arrivalRateWindow.
type eventRate struct {
	value float64
	at    units.Instant
}

func (x *eventRate) record(now units.Instant) {
	x.value = x.perSecond(now) + 1/arrivalRateWindow.Seconds()
	x.at = now
}

func (x *eventRate) perSecond(now units.Instant) float64 {
	return x.value * max(0, 1-float64(now.Sub(x.at))/float64(arrivalRateWindow))
}

// useCredit uses one of the credits held, or one from the box's own account.
func (r *Router) useCredit(u *workspaceQuota, c *call) bool {
	until, ok := u.credits.use(r.now)
	switch {
	case ok:
		c.creditValidUntil = until
	case len(u.waiting) == 0 && u.account != nil && r.mayGrant() && u.account.Permit(r.now, 1) == 1:
		c.creditValidUntil = r.now.Add(creditLifetime)
	default:
		return false
	}
	u.status.Admitted++
	return true
}

// restoreCredit puts back the credit of a call that ends without having been sent. An expired one
// is returned to a holder.
func (r *Router) restoreCredit(c *call, e *Effects) {
	if c.creditValidUntil == 0 || c.sends > 0 || c.workspace == nil {
		return
	}
	u := r.quotas.byWorkspace[c.workspace.Name]
	if u == nil {
		return
	}
	u.status.Admitted--
	if c.creditValidUntil > r.now {
		u.credits.add(1, c.creditValidUntil)
	} else {
		r.returnCredit(u, e)
	}
	c.creditValidUntil = 0
}

// returnCredit returns a credit to a holder, to this box's own account if it is one.
func (r *Router) returnCredit(u *workspaceQuota, e *Effects) {
	order := r.holdersOf(u.group).order
	switch {
	case u.account != nil:
		u.account.Return(r.now, 1)
	case len(order) > 0:
		e.add(Effect{Kind: SendQuotaMessage, Peer: order[0], Quota: &QuotaMessage{Kind: ReturnCredits, Workspace: u.name, Count: 1}})
	}
}

// admitWithCredits admits waiting calls, oldest first, while there are credits.
func (r *Router) admitWithCredits(u *workspaceQuota, e *Effects) {
	for len(u.waiting) > 0 {
		c := r.stillAwaitsCredit(u.waiting[0])
		if c == nil {
			u.waiting = u.waiting[1:]
			continue
		}
		if !u.credits.available(r.now) {
			return
		}
		id := u.waiting[0].id
		u.waiting = u.waiting[1:]
		r.useCredit(u, c)
		c.awaitsCredit = false
		r.admitToService(id, c, e)
	}
}

// refuseNewest refuses the n newest waiting calls, for which no holder is left.
func (r *Router) refuseNewest(u *workspaceQuota, n int, e *Effects) {
	first := max(0, len(u.waiting)-n)
	last := slices.Clone(u.waiting[first:])
	u.waiting = u.waiting[:first]
	for _, w := range last {
		if c := r.stillAwaitsCredit(w); c != nil {
			r.refuseForQuota(u, w.id, c, e)
		}
	}
}

func (r *Router) refuseForQuota(u *workspaceQuota, id CallID, c *call, e *Effects) {
	c.awaitsCredit = false
	u.status.Refused++
	r.refuse(id, c, Refusal{Reason: QuotaExceeded, Outcome: NotRun, RetryAfter: r.quotaRetryAfter(u)}, e)
}

// quotaRetryAfter is the retry delay for a call without a credit: the time until the first holder
// has one again, extended at random. The larger the share of refused calls, the more callers retry,
// and the longer the time over which they are spread.
func (r *Router) quotaRetryAfter(u *workspaceQuota) time.Duration {
	after := maxQuotaRetryAfter
	for _, until := range u.unavailableUntil {
		after = min(after, until.Sub(r.now))
	}
	after = max(after, minQuotaRetryAfter)
	total := u.status.Admitted + u.status.Refused
	spread := float64(u.status.Refused) / float64(max(1, total))
	after += time.Duration(spread * r.random.Float64() * float64(maxQuotaRetryAfter))
	return min(after, maxQuotaRetryAfter).Round(time.Millisecond)
}

// sweepQuotas handles timeouts: of requests, of credits and of waiting calls.
func (r *Router) sweepQuotas(e *Effects) {
	b := &r.quotas
	if r.now < b.sweepAt {
		return
	}
	b.sweepAt = r.now.Add(idleSweepPeriod)
	if r.partsReductionDue() {
		r.updateHolders()
	}
	for _, u := range b.order {
		if len(u.requests)+len(u.waiting)+len(u.credits) == 0 {
			continue
		}
		u.requests = slices.DeleteFunc(u.requests, func(a creditRequest) bool {
			lost := r.now.Sub(a.at) >= creditRequestTimeout
			if lost {
				u.unavailableUntil[a.holder] = r.now.Add(unresponsiveHolderBackoff)
			}
			return lost
		})
		u.credits.dropExpired(r.now)
		r.refuseTimedOut(u, e)
		r.requestCredits(u, e)
		if len(u.requests) > 0 {
			r.scheduleQuotaSweep(r.now.Add(sweepPeriod))
		}
	}
}

// refuseTimedOut refuses the calls that have waited for creditWaitTimeout.
func (r *Router) refuseTimedOut(u *workspaceQuota, e *Effects) {
	for len(u.waiting) > 0 && r.now.Sub(u.waiting[0].since) >= creditWaitTimeout {
		w := u.waiting[0]
		u.waiting = u.waiting[1:]
		if c := r.stillAwaitsCredit(w); c != nil {
			r.refuseForQuota(u, w.id, c, e)
		}
	}
}

// scheduleQuotaSweep makes the next sweep of the quotas due at a time or earlier.
func (r *Router) scheduleQuotaSweep(at units.Instant) {
	r.quotas.sweepAt = min(r.quotas.sweepAt, at)
	r.sweepAt = min(r.sweepAt, at)
}

// quotaStatuses returns the status of each workspace with calls or credits granted at this box, for
// the dump.
func (r *Router) quotaStatuses() []QuotaStatus {
	var list []QuotaStatus
	for _, u := range r.quotas.order {
		if s := u.status; s.Admitted+s.Refused+s.Granted > 0 {
			list = append(list, s)
		}
	}
	return list
}
