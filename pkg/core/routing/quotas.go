package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/core/quota"
	"github.com/madderpond/madderpond/pkg/units"
)

// A credit lets in one call of a workspace whose rate is limited. A box asks the workspace's holders for
// as many as its calls need, one holder after the other while they have none left, and refuses at once
// what nobody has a credit for.

const (
	// creditTerm is how long a box may keep a credit that it has no use for: runs come that much later
	// than the holder counted them.
	creditTerm = 300 * time.Millisecond
	// creditWait is how long a call waits for credits at all. A holder answers within a few milliseconds.
	creditWait = 350 * time.Millisecond
	// maxCreditWaiting bounds the calls of a workspace that wait for credits at a box.
	maxCreditWaiting = 1024
	// quotaRateMemory is over what time a box estimates how many calls a workspace sends it.
	quotaRateMemory = 2 * time.Second
	// leastQuotaRetry and mostQuotaRetry bound when a caller without a credit may come back.
	leastQuotaRetry = 200 * time.Millisecond
	mostQuotaRetry  = 5 * time.Second
)

// quotaBook is what a box knows of quotas.
type quotaBook struct {
	uses map[units.WorkspaceName]*quotaUse
	// order lists uses by name.
	order []*quotaUse
	seats map[quota.Group]*quotaSeats
	nonce uint64
	// sweepAt is when time alone may next bring something about.
	sweepAt units.Instant
	// reviewed is set once the holders by a list of boxes were worked out.
	reviewed bool
	// tellAt is when the leader is next told of uses.
	tellAt units.Instant
	// document and listed are those that the book was last reviewed for.
	document units.DocumentVersion
	listed   int
}

// quotaUse is what a box knows of the quota of one workspace.
type quotaUse struct {
	name  units.WorkspaceName
	rate  units.CallRate
	burst float64
	group quota.Group
	// credits are those on hand.
	credits allowances
	waiting []creditCall
	asks    []creditAsk
	// closed says until when holders have nothing to give, or don't answer.
	closed map[units.BoxID]units.Instant
	// came counts the calls that come here.
	came eventRate
	// account is this box's part, where it is a holder; disappointed counts the requests that it didn't
	// give all to.
	account      *limit.TokenBucket
	disappointed eventRate
	status       QuotaStatus
	// told is the status that the leader was told of last.
	told QuotaStatus
}

// creditCall is a call that waits for a credit.
type creditCall struct {
	id    CallID
	since units.Instant
}

// QuotaStatus is what the dump shows of a workspace's quota at a box.
type QuotaStatus struct {
	Workspace units.WorkspaceName `json:"workspace"`
	// Admitted and Refused count the box's own calls, Granted the credits that it gave as a holder.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	Granted  uint64 `json:"granted,omitempty"`
}

func newQuotaBook() quotaBook {
	return quotaBook{uses: map[units.WorkspaceName]*quotaUse{}, seats: map[quota.Group]*quotaSeats{}}
}

// any tells whether a workspace's rate is limited.
func (b *quotaBook) any() bool { return len(b.order) > 0 }

// reviewQuotas takes the limits and the list of boxes that are in force.
func (r *Router) reviewQuotas(e *Effects) {
	b := &r.quotas
	if b.document == r.table.Document && b.listed == r.boxListVersion {
		return
	}
	limitsChanged := b.document != r.table.Document
	b.document, b.listed = r.table.Document, r.boxListVersion
	if limitsChanged {
		r.takeQuotas(e)
	}
	if b.any() {
		r.reviewSeats()
		r.askAllCredits(e)
	}
}

// takeQuotas takes the limits of the table's workspaces.
func (r *Router) takeQuotas(e *Effects) {
	b := &r.quotas
	kept := map[units.WorkspaceName]*quotaUse{}
	before := b.order
	b.order = nil
	for i := range r.table.Workspaces {
		w := &r.table.Workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		u := b.uses[w.Name]
		if u == nil {
			u = &quotaUse{
				name: w.Name, group: quota.GroupOf(w.Name), closed: map[units.BoxID]units.Instant{}, status: QuotaStatus{Workspace: w.Name},
			}
		}
		u.rate, u.burst = w.Rate, w.Burst
		kept[w.Name] = u
		b.order = append(b.order, u)
	}
	for _, u := range before {
		if kept[u.name] == nil {
			r.releaseWaiting(u, e)
		}
	}
	b.uses = kept
}

// releaseWaiting lets calls go on that wait for credits of a workspace whose rate is no longer limited.
func (r *Router) releaseWaiting(u *quotaUse, e *Effects) {
	for _, w := range u.waiting {
		if c := r.creditWaiter(w); c != nil {
			c.awaitsCredit = false
			r.admitToService(w.id, c, e)
		}
	}
	u.waiting = nil
}

// creditWaiter returns the call of an entry of the queue, or nil where it has ended.
func (r *Router) creditWaiter(w creditCall) *call {
	if c := r.calls.Get(w.id); c != nil && c.awaitsCredit {
		return c
	}
	return nil
}

// waitsForCredit takes a credit for a call, or has it wait for one, or refuses it; false means that the call may
// go on.
func (r *Router) waitsForCredit(id CallID, c *call, e *Effects) bool {
	if c.workspace == nil || c.workspace.Rate <= 0 {
		return false
	}
	u := r.quotas.uses[c.workspace.Name]
	if u == nil {
		return false
	}
	u.came.note(r.now)
	if r.takeCredit(u, c) {
		return false
	}
	if len(u.waiting) >= maxCreditWaiting {
		r.refuseCredit(u, id, c, e)
		return true
	}
	c.awaitsCredit = true
	u.waiting = append(u.waiting, creditCall{id: id, since: r.now})
	first := len(e.List)
	r.askCredits(u, e)
	if r.creditWaiter(creditCall{id: id}) != nil {
		// The caller's goroutine needs the call's id before anything else happens to it.
		e.List = slices.Insert(e.List, first, Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: r.now.Add(creditWait)})
	}
	return true
}

// eventRate estimates how many events there are a second, over the last quotaRateMemory.
type eventRate struct {
	value float64
	at    units.Instant
}

func (x *eventRate) note(now units.Instant) {
	x.value = x.perSecond(now) + 1/quotaRateMemory.Seconds()
	x.at = now
}

func (x *eventRate) perSecond(now units.Instant) float64 {
	return x.value * max(0, 1-float64(now.Sub(x.at))/float64(quotaRateMemory))
}

// takeCredit uses a credit on hand for a call, or one of the box's own account.
func (r *Router) takeCredit(u *quotaUse, c *call) bool {
	until, ok := u.credits.use(r.now)
	switch {
	case ok:
		c.creditValidUntil = until
	case len(u.waiting) == 0 && u.account != nil && r.mayGrant() && u.account.Permit(r.now, 1) == 1:
		c.creditValidUntil = r.now.Add(creditTerm)
	default:
		return false
	}
	u.status.Admitted++
	return true
}

// unuseCredit gives back the credit of a call that ends without having been sent: to the next call while it
// holds, else to a holder.
func (r *Router) unuseCredit(c *call, e *Effects) {
	if c.creditValidUntil == 0 || c.sends > 0 || c.workspace == nil {
		return
	}
	u := r.quotas.uses[c.workspace.Name]
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

// returnCredit gives a credit back to a holder, this box if it is one.
func (r *Router) returnCredit(u *quotaUse, e *Effects) {
	order := r.seatsOf(u.group).order
	switch {
	case u.account != nil:
		u.account.Return(r.now, 1)
	case len(order) > 0:
		e.add(Effect{Kind: SendQuota, Peer: order[0], Quota: &QuotaMessage{Kind: ReturnCredits, Workspace: u.name, Count: 1}})
	}
}

// serveCredits lets in the calls that wait, the first first, as far as there are credits.
func (r *Router) serveCredits(u *quotaUse, e *Effects) {
	for len(u.waiting) > 0 {
		c := r.creditWaiter(u.waiting[0])
		if c == nil {
			u.waiting = u.waiting[1:]
			continue
		}
		if !u.credits.available(r.now) {
			return
		}
		id := u.waiting[0].id
		u.waiting = u.waiting[1:]
		r.takeCredit(u, c)
		c.awaitsCredit = false
		r.admitToService(id, c, e)
	}
}

// refuseLast refuses the calls that came last, for which no holder is left to ask.
func (r *Router) refuseLast(u *quotaUse, n int, e *Effects) {
	first := max(0, len(u.waiting)-n)
	last := slices.Clone(u.waiting[first:])
	u.waiting = u.waiting[:first]
	for _, w := range last {
		if c := r.creditWaiter(w); c != nil {
			r.refuseCredit(u, w.id, c, e)
		}
	}
}

func (r *Router) refuseCredit(u *quotaUse, id CallID, c *call, e *Effects) {
	c.awaitsCredit = false
	u.status.Refused++
	r.refuse(id, c, Refusal{Reason: QuotaExceeded, Outcome: NotRun, RetryAfter: r.quotaRetry(u)}, e)
}

// quotaRetry is when a caller without a credit may come back: when the first holder has one again. The
// more calls are refused of those that come, the more callers wait for it, so that they are spread over
// longer.
func (r *Router) quotaRetry(u *quotaUse) time.Duration {
	after := mostQuotaRetry
	for _, until := range u.closed {
		after = min(after, until.Sub(r.now))
	}
	after = max(after, leastQuotaRetry)
	total := u.status.Admitted + u.status.Refused
	spread := float64(u.status.Refused) / float64(max(1, total))
	after += time.Duration(spread * r.random.Float64() * float64(mostQuotaRetry))
	return min(after, mostQuotaRetry).Round(time.Millisecond)
}

// sweepQuotas does what time alone brings about: requests are lost, credits end, calls have waited long
// enough.
func (r *Router) sweepQuotas(e *Effects) {
	b := &r.quotas
	if r.now < b.sweepAt {
		return
	}
	b.sweepAt = r.now.Add(calmSweepPeriod)
	if r.seatsDue() {
		r.reviewSeats()
	}
	for _, u := range b.order {
		if len(u.asks)+len(u.waiting)+len(u.credits) == 0 {
			continue
		}
		u.asks = slices.DeleteFunc(u.asks, func(a creditAsk) bool {
			lost := r.now.Sub(a.at) >= creditAskTerm
			if lost {
				u.closed[a.holder] = r.now.Add(silentHolder)
			}
			return lost
		})
		u.credits.dropExpired(r.now)
		r.refuseWaitedOut(u, e)
		r.askCredits(u, e)
		if len(u.asks) > 0 {
			r.sweepQuotasBy(r.now.Add(sweepPeriod))
		}
	}
}

// refuseWaitedOut refuses the calls that have waited for as long as they may.
func (r *Router) refuseWaitedOut(u *quotaUse, e *Effects) {
	for len(u.waiting) > 0 && r.now.Sub(u.waiting[0].since) >= creditWait {
		w := u.waiting[0]
		u.waiting = u.waiting[1:]
		if c := r.creditWaiter(w); c != nil {
			r.refuseCredit(u, w.id, c, e)
		}
	}
}

// sweepQuotasBy has quotas looked at by a time at the latest.
func (r *Router) sweepQuotasBy(at units.Instant) {
	r.quotas.sweepAt = min(r.quotas.sweepAt, at)
	r.sweepAt = min(r.sweepAt, at)
}

// quotaStatuses are what the dump shows, for the workspaces whose calls came here or that this box holds.
func (r *Router) quotaStatuses() []QuotaStatus {
	var list []QuotaStatus
	for _, u := range r.quotas.order {
		if s := u.status; s.Admitted+s.Refused+s.Granted > 0 {
			list = append(list, s)
		}
	}
	return list
}
