package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/core/quota"
	"github.com/madderpond/madderpond/pkg/units"
)

// A holder gives credits from its part of a workspace's rate. Parts add up to the rate: a box that
// becomes a holder gives nothing before whoever held its part can give no more, and one that is out of
// touch stops giving before others take its part.

const (
	// grantGracePeriod is for how long after its lease a holder goes on giving credits. Elections are over
	// within it as a rule.
	grantGracePeriod = 2 * time.Second
	// burstSlackFraction is the part of the slack that holders save up beside a workspace's burst: calls of small
	// workspaces come in clusters, and each holder has a small part of their rate only.
	burstSlackFraction = 0.5
	// maxCongestionDelay bounds the pause between two requests of a box to a holder that has nothing left.
	// askedPart is the part of that pause which would have just one request come for each credit.
	maxCongestionDelay = 2 * time.Second
	congestionDelayFactor       = 0.5
	// nonHolderRetryAfter is when a box asks again that took another one for a holder.
	nonHolderRetryAfter = 500 * time.Millisecond
)

// quotaHolders are the holders of a group by the list of boxes in force.
type quotaHolders struct {
	holders []units.BoxID
	// order is the order in which this box asks them.
	order []units.BoxID
	// isHolder is set while this box is one of them, from is from when on it gives credits.
	isHolder bool
	grantsFrom units.Instant
	// parts is how many parts the rates are divided in, fewerFrom is from when on they may be fewer;
	// zero while there are as many as holders.
	parts     int
	reducePartsAt units.Instant
}

// takeoverDelay is how long a new holder waits for the one before to stop.
func (r *Router) takeoverDelay() time.Duration { return r.settings.ShareDelay + grantGracePeriod }

// holdersOf returns a group's holders.
func (r *Router) holdersOf(g quota.Group) *quotaHolders {
	s := r.quotas.holders[g]
	if s == nil {
		s = &quotaHolders{}
		r.quotas.holders[g] = s
	}
	return s
}

// updateHolders works out who holds which part by the present list of boxes, and opens and closes this
// box's accounts.
func (r *Router) updateHolders() {
	boxes := r.eligibleHolders()
	for _, g := range quota.Groups() {
		s := r.holdersOf(g)
		s.holders = g.Holders(boxes)
		s.order = quota.OrderFor(r.settings.Box, s.holders)
		r.updateParts(s)
		held := slices.Contains(s.holders, r.settings.Box)
		if held && !s.isHolder {
			s.grantsFrom = r.grantStart()
		}
		s.isHolder = held
	}
	r.quotas.holdersKnown = true
	for _, u := range r.quotas.order {
		r.updateQuotaAccount(u)
	}
}

// grantStart is from when on a box that has become a holder gives credits. One that has just started, and
// stands in the first list that it gets, was on the list all the time: nobody has taken its parts, and
// what it gave before its start is gone.
func (r *Router) grantStart() units.Instant {
	if r.noBoxesSeen || !r.quotas.holdersKnown && r.rank.listed {
		return r.now
	}
	return r.now.Add(r.takeoverDelay())
}

// eligibleHolders are the boxes that may hold quotas. Those that are about to go stay holders until they are
// gone: another one would have to wait for that anyway.
func (r *Router) eligibleHolders() []units.BoxID {
	if r.noBoxesSeen {
		return []units.BoxID{r.settings.Box}
	}
	ids := make([]units.BoxID, 0, len(r.rank.boxes))
	for _, b := range r.rank.boxes {
		ids = append(ids, b.ID)
	}
	return ids
}

// updateParts notes in how many parts rates are divided. Fewer holders get larger parts only when the
// ones before can give no more.
func (r *Router) updateParts(s *quotaHolders) {
	n := max(1, len(s.holders))
	switch {
	case n >= s.parts || s.reducePartsAt != 0 && r.now >= s.reducePartsAt:
		s.parts, s.reducePartsAt = n, 0
	case s.reducePartsAt == 0:
		s.reducePartsAt = r.now.Add(r.takeoverDelay())
	}
}

// partsReductionDue tells whether rates are to be divided in fewer parts now.
func (r *Router) partsReductionDue() bool {
	for _, s := range r.quotas.holders {
		if s.reducePartsAt != 0 && r.now >= s.reducePartsAt {
			return true
		}
	}
	return false
}

// updateQuotaAccount opens, changes or closes this box's account of a workspace.
func (r *Router) updateQuotaAccount(u *workspaceQuota) {
	s := r.holdersOf(u.group)
	maps.DeleteFunc(u.unavailableUntil, func(h units.BoxID, _ units.Instant) bool { return !slices.Contains(s.holders, h) })
	if !s.isHolder {
		u.account = nil
		return
	}
	parts := float64(s.parts)
	slack := burstSlackFraction * float64(r.settings.QuotaSlack) / parts
	rate, burst := u.rate/units.CallRate(parts), u.burst/parts+slack
	if u.account == nil {
		u.account = limit.NewShare(rate, burst, r.initialCredits(s, slack), r.now, s.grantsFrom)
		return
	}
	u.account.SetShare(r.now, rate, burst)
}

// initialCredits is what an account begins with. Before a restart the box may have given all it had: then it
// begins with a part of a call, drawn by lot, so that after a restart of all boxes not all holders of a
// small workspace wait for their first one equally long.
func (r *Router) initialCredits(s *quotaHolders, slack float64) float64 {
	if s.grantsFrom > r.now {
		return slack
	}
	return r.random.Float64()
}

// mayGrant tells whether this box may give credits of parts that it holds: it is in touch, or was a
// moment ago, so that nobody else can hold them.
func (r *Router) mayGrant() bool { return r.noBoxesSeen || r.now < r.leaseUntil.Add(grantGracePeriod) }

// resetStaleHolder has a box that was out of touch for longer than it gives credits begin anew as a holder:
// others may hold its parts by now.
func (r *Router) resetStaleHolder() {
	if !r.quotas.active() || r.mayGrant() || r.leaseUntil == 0 {
		return
	}
	for _, s := range r.quotas.holders {
		s.isHolder = false
	}
	for _, u := range r.quotas.order {
		u.account = nil
	}
	r.updateHolders()
}

// grantCredits takes credits off this box's account, and says when the next one is there.
func (r *Router) grantCredits(u *workspaceQuota, count int) (n int, again time.Duration) {
	if u.account == nil || !r.mayGrant() {
		return 0, nonHolderRetryAfter
	}
	n = u.account.Permit(r.now, min(count, maxCreditsPerRequest))
	u.status.Granted += uint64(n)
	again = u.account.Wait(r.now)
	if n < count {
		u.shortfalls.record(r.now)
		again = max(again, min(maxCongestionDelay, u.congestionDelay(r.now)))
	}
	return n, again
}

// congestionDelay is how long boxes wait with their next requests where many ask for what few credits there
// are, so that requests don't become many times the credits.
func (u *workspaceQuota) congestionDelay(now units.Instant) time.Duration {
	rate := float64(u.rate) / quota.Seats
	return time.Duration(congestionDelayFactor * u.shortfalls.perSecond(now) / rate * float64(time.Second))
}

// handleCreditRequest answers a request for credits.
func (r *Router) handleCreditRequest(from units.BoxID, m *QuotaMessage, e *Effects) {
	answer := &QuotaMessage{Kind: GrantCredits, Workspace: m.Workspace, Nonce: m.Nonce, RetryAfter: nonHolderRetryAfter}
	if u := r.quotas.byWorkspace[m.Workspace]; u != nil {
		answer.Count, answer.RetryAfter = r.grantCredits(u, m.Count)
	}
	e.add(Effect{Kind: SendQuota, Peer: from, Quota: answer})
}
