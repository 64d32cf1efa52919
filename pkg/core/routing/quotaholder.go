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
	// unledGrants is for how long after its lease a holder goes on giving credits. Elections are over
	// within it as a rule.
	unledGrants = 2 * time.Second
	// savedSlack is the part of the slack that holders save up beside a workspace's burst: calls of small
	// workspaces come in clusters, and each holder has a small part of their rate only.
	savedSlack = 0.5
	// mostCreditPause bounds the pause between two requests of a box to a holder that has nothing left.
	// askedPart is the part of that pause which would have just one request come for each credit.
	mostCreditPause = 2 * time.Second
	askedPart       = 0.5
	// unknownHolder is when a box asks again that took another one for a holder.
	unknownHolder = 500 * time.Millisecond
)

// quotaSeats are the holders of a group by the list of boxes in force.
type quotaSeats struct {
	holders []units.BoxID
	// order is the order in which this box asks them.
	order []units.BoxID
	// held is set while this box is one of them, from is from when on it gives credits.
	held bool
	from units.Instant
	// parts is how many parts the rates are divided in, fewerFrom is from when on they may be fewer;
	// zero while there are as many as holders.
	parts     int
	fewerFrom units.Instant
}

// takeover is how long a new holder waits for the one before to stop.
func (r *Router) takeover() time.Duration { return r.settings.ShareDelay + unledGrants }

// seatsOf returns a group's holders.
func (r *Router) seatsOf(g quota.Group) *quotaSeats {
	s := r.quotas.seats[g]
	if s == nil {
		s = &quotaSeats{}
		r.quotas.seats[g] = s
	}
	return s
}

// reviewSeats works out who holds which part by the present list of boxes, and opens and closes this
// box's accounts.
func (r *Router) reviewSeats() {
	boxes := r.quotaBoxes()
	for _, g := range quota.Groups() {
		s := r.seatsOf(g)
		s.holders = g.Holders(boxes)
		s.order = quota.PreferenceOrder(r.settings.Box, s.holders)
		r.countParts(s)
		held := slices.Contains(s.holders, r.settings.Box)
		if held && !s.held {
			s.from = r.holdsFrom()
		}
		s.held = held
	}
	r.quotas.reviewed = true
	for _, u := range r.quotas.order {
		r.reviewQuotaAccount(u)
	}
}

// holdsFrom is from when on a box that has become a holder gives credits. One that has just started, and
// stands in the first list that it gets, was on the list all the time: nobody has taken its parts, and
// what it gave before its start is gone.
func (r *Router) holdsFrom() units.Instant {
	if r.noBoxesSeen || !r.quotas.reviewed && r.rank.listed {
		return r.now
	}
	return r.now.Add(r.takeover())
}

// quotaBoxes are the boxes that may hold quotas. Those that are about to go stay holders until they are
// gone: another one would have to wait for that anyway.
func (r *Router) quotaBoxes() []units.BoxID {
	if r.noBoxesSeen {
		return []units.BoxID{r.settings.Box}
	}
	ids := make([]units.BoxID, 0, len(r.rank.boxes))
	for _, b := range r.rank.boxes {
		ids = append(ids, b.ID)
	}
	return ids
}

// countParts notes in how many parts rates are divided. Fewer holders get larger parts only when the
// ones before can give no more.
func (r *Router) countParts(s *quotaSeats) {
	n := max(1, len(s.holders))
	switch {
	case n >= s.parts || s.fewerFrom != 0 && r.now >= s.fewerFrom:
		s.parts, s.fewerFrom = n, 0
	case s.fewerFrom == 0:
		s.fewerFrom = r.now.Add(r.takeover())
	}
}

// seatsDue tells whether rates are to be divided in fewer parts now.
func (r *Router) seatsDue() bool {
	for _, s := range r.quotas.seats {
		if s.fewerFrom != 0 && r.now >= s.fewerFrom {
			return true
		}
	}
	return false
}

// reviewQuotaAccount opens, changes or closes this box's account of a workspace.
func (r *Router) reviewQuotaAccount(u *quotaUse) {
	s := r.seatsOf(u.group)
	maps.DeleteFunc(u.closed, func(h units.BoxID, _ units.Instant) bool { return !slices.Contains(s.holders, h) })
	if !s.held {
		u.account = nil
		return
	}
	parts := float64(s.parts)
	slack := savedSlack * float64(r.settings.QuotaSlack) / parts
	rate, burst := u.rate/units.CallRate(parts), u.burst/parts+slack
	if u.account == nil {
		u.account = limit.NewShareBucket(rate, burst, r.heldAtFirst(s, slack), r.now, s.from)
		return
	}
	u.account.SetRateAndBurst(r.now, rate, burst)
}

// heldAtFirst is what an account begins with. Before a restart the box may have given all it had: then it
// begins with a part of a call, drawn by lot, so that after a restart of all boxes not all holders of a
// small workspace wait for their first one equally long.
func (r *Router) heldAtFirst(s *quotaSeats, slack float64) float64 {
	if s.from > r.now {
		return slack
	}
	return r.random.Float64()
}

// mayGrant tells whether this box may give credits of parts that it holds: it is in touch, or was a
// moment ago, so that nobody else can hold them.
func (r *Router) mayGrant() bool { return r.noBoxesSeen || r.now < r.leaseUntil.Add(unledGrants) }

// renewSeats has a box that was out of touch for longer than it gives credits begin anew as a holder:
// others may hold its parts by now.
func (r *Router) renewSeats() {
	if !r.quotas.any() || r.mayGrant() || r.leaseUntil == 0 {
		return
	}
	for _, s := range r.quotas.seats {
		s.held = false
	}
	for _, u := range r.quotas.order {
		u.account = nil
	}
	r.reviewSeats()
}

// permitCredits takes credits off this box's account, and says when the next one is there.
func (r *Router) permitCredits(u *quotaUse, count int) (n int, again time.Duration) {
	if u.account == nil || !r.mayGrant() {
		return 0, unknownHolder
	}
	n = u.account.Permit(r.now, min(count, mostCredits))
	u.status.Granted += uint64(n)
	again = u.account.WaitTime(r.now)
	if n < count {
		u.disappointed.note(r.now)
		again = max(again, min(mostCreditPause, u.crowdPause(r.now)))
	}
	return n, again
}

// crowdPause is how long boxes wait with their next requests where many ask for what few credits there
// are, so that requests don't become many times the credits.
func (u *quotaUse) crowdPause(now units.Instant) time.Duration {
	rate := float64(u.rate) / quota.HoldersPerGroup
	return time.Duration(askedPart * u.disappointed.perSecond(now) / rate * float64(time.Second))
}

// meetCreditAsk answers a request for credits.
func (r *Router) meetCreditAsk(from units.BoxID, m *QuotaMessage, e *Effects) {
	answer := &QuotaMessage{Kind: GrantCredits, Workspace: m.Workspace, Nonce: m.Nonce, Again: unknownHolder}
	if u := r.quotas.uses[m.Workspace]; u != nil {
		answer.Count, answer.Again = r.permitCredits(u, m.Count)
	}
	e.add(Effect{Kind: SendQuota, Peer: from, Quota: answer})
}
