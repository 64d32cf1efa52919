package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/core/quota"
	"github.com/madderpond/madderpond/pkg/units"
)

// A holder grants credits from its part of a workspace's rate. The parts add up to the rate: a box
// that becomes a holder grants nothing while the previous holder of its part might still grant
// credits, and a box that has lost contact stops granting before others take over its part.

const (
	// grantGracePeriod is how long after the end of its lease a holder continues to grant credits.
	// Elections usually take less.
	grantGracePeriod = 2 * time.Second
	// burstSlackFraction is the fraction of the quota slack that holders may save in addition to a
	// workspace's burst: the calls of small workspaces come in clusters, and each holder has only a
	// small part of their rate.
	burstSlackFraction = 0.5
	// maxCongestionDelay caps the time between two requests of a box to a holder that has no
	// credits left. congestionDelayFactor is the fraction used of the delay at which one request
	// would arrive for each credit.
	maxCongestionDelay    = 2 * time.Second
	congestionDelayFactor = 0.5
	// nonHolderRetryAfter is the retry delay for a box that sent its request to a box that isn't a
	// holder.
	nonHolderRetryAfter = 500 * time.Millisecond
)

// quotaHolders are the holders of a group of workspaces according to the current list of boxes.
type quotaHolders struct {
	holders []units.BoxID
	// order is the order in which this box sends requests to the holders.
	order []units.BoxID
	// isHolder is set while this box is one of them, grantsFrom is when it begins to grant credits.
	isHolder   bool
	grantsFrom units.Instant
	// parts is the number of parts into which rates are divided, reducePartsAt when that number may
	// fall to the number of holders; zero while they are equal.
	parts         int
	reducePartsAt units.Instant
}

// takeoverDelay is how long a new holder waits for the previous one to stop.
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

// updateHolders computes the holders from the current list of boxes, and opens and closes this
// box's accounts.
func (r *Router) updateHolders() {
	boxes := r.eligibleHolders()
	for _, g := range quota.Groups() {
		s := r.holdersOf(g)
		s.holders = g.Holders(boxes)
		s.order = quota.PreferenceOrder(r.settings.Box, s.holders)
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

// grantStart is when a box that has become a holder begins to grant credits. A box that has just
// started and is in the first list that it gets never left the list: no other box has taken over
// its parts, and its new account lacks the credits that it granted before.
func (r *Router) grantStart() units.Instant {
	if r.noBoxesSeen || !r.quotas.holdersKnown && r.rank.listed {
		return r.now
	}
	return r.now.Add(r.takeoverDelay())
}

// eligibleHolders are the boxes that may hold quotas. Leaving boxes remain holders until they are
// gone, because another box would have to wait for that anyway.
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

// updateParts updates the number of parts into which rates are divided. After a loss of holders the
// parts grow only once the former holders can't grant credits any more.
func (r *Router) updateParts(s *quotaHolders) {
	n := max(1, len(s.holders))
	switch {
	case n >= s.parts || s.reducePartsAt != 0 && r.now >= s.reducePartsAt:
		s.parts, s.reducePartsAt = n, 0
	case s.reducePartsAt == 0:
		s.reducePartsAt = r.now.Add(r.takeoverDelay())
	}
}

// partsReductionDue reports whether rates are to be divided into fewer parts now.
func (r *Router) partsReductionDue() bool {
	for _, s := range r.quotas.holders {
		if s.reducePartsAt != 0 && r.now >= s.reducePartsAt {
			return true
		}
	}
	return false
}

// updateQuotaAccount opens, updates or closes this box's account of a workspace.
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
		u.account = limit.NewShareBucket(rate, burst, r.initialCredits(s, slack), r.now, s.grantsFrom)
		return
	}
	u.account.SetRateAndBurst(r.now, rate, burst)
}

// initialCredits is the initial balance of an account. Before a restart the box may have granted
// all its credits, so it begins with a random fraction of a credit: if all boxes restart, the
// holders of a small workspace don't all wait equally long for their first credit.
func (r *Router) initialCredits(s *quotaHolders, slack float64) float64 {
	if s.grantsFrom > r.now {
		return slack
	}
	return r.random.Float64()
}

// mayGrant reports whether this box may grant credits of its parts: it holds a lease, or did so
// within grantGracePeriod, so that no other box can hold them.
func (r *Router) mayGrant() bool { return r.noBoxesSeen || r.now < r.leaseUntil.Add(grantGracePeriod) }

// resetStaleHolder makes a box that was out of contact for longer than it grants credits start over
// as a holder: other boxes may hold its parts by now.
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

// grantCredits takes up to count credits from this box's account, and returns their number and the
// time until the next one.
func (r *Router) grantCredits(u *workspaceQuota, count int) (n int, retryAfter time.Duration) {
	if u.account == nil || !r.mayGrant() {
		return 0, nonHolderRetryAfter
	}
	n = u.account.Permit(r.now, min(count, maxCreditsPerRequest))
	u.status.Granted += uint64(n)
	retryAfter = u.account.WaitTime(r.now)
	if n < count {
		u.shortfalls.record(r.now)
		retryAfter = max(retryAfter, min(maxCongestionDelay, u.congestionDelay(r.now)))
	}
	return n, retryAfter
}

// congestionDelay is how long boxes wait before their next requests if many request few credits, so
// that there aren't many times more requests than credits.
func (u *workspaceQuota) congestionDelay(now units.Instant) time.Duration {
	rate := float64(u.rate) / quota.HoldersPerGroup
	return time.Duration(congestionDelayFactor * u.shortfalls.perSecond(now) / rate * float64(time.Second))
}

// handleCreditRequest answers a request for credits.
func (r *Router) handleCreditRequest(from units.BoxID, m *QuotaMessage, e *Effects) {
	answer := &QuotaMessage{Kind: GrantCredits, Workspace: m.Workspace, Nonce: m.Nonce, RetryAfter: nonHolderRetryAfter}
	if u := r.quotas.byWorkspace[m.Workspace]; u != nil {
		answer.Count, answer.RetryAfter = r.grantCredits(u, m.Count)
	}
	e.add(Effect{Kind: SendQuotaMessage, Peer: from, Quota: answer})
}
