package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// A box asks the holders of a workspace's quota for credits, one after the other, as long as calls wait.

const (
	// creditRequestTimeout is after what time an unanswered request counts as lost.
	creditRequestTimeout = 100 * time.Millisecond
	// silentHolderBackoff is for how long a holder that didn't answer isn't asked again.
	silentHolderBackoff = 500 * time.Millisecond
	// creditPrefetch is for how much of a box's own calls it asks ahead, mostCredits how many credits a
	// request asks for at the most.
	creditPrefetch = 200 * time.Millisecond
	maxCreditsPerRequest  = 64
)

// QuotaKind says what a message on a quota is about.
type QuotaKind uint8

// The kinds of message.
const (
	// RequestCredits asks for up to Count credits.
	RequestCredits QuotaKind = iota + 1
	// GrantCredits gives Count credits, and says when the next is there.
	GrantCredits
	// ReturnCredits gives Count credits back that weren't used.
	ReturnCredits
)

// QuotaMessage is a message between a box and a holder of a workspace's quota.
type QuotaMessage struct {
	Kind      QuotaKind
	Workspace units.WorkspaceName
	// Nonce ties a grant to the request that it answers.
	Nonce uint64
	Count int
	// RetryAfter is how long after a grant the next credit is there.
	RetryAfter time.Duration
}

// PeerQuota is a QuotaMessage of another box.
type PeerQuota struct {
	From    units.BoxID
	Message QuotaMessage
}

func (*PeerQuota) routingEvent() {}

// creditRequest is a request for credits that is under way.
type creditRequest struct {
	nonce  uint64
	holder units.BoxID
	count  int
	at     units.Instant
}

// requestAllCredits asks for whatever waits, of holders that may be others now.
func (r *Router) requestAllCredits(e *Effects) {
	for _, u := range r.quotas.order {
		if len(u.waiting) > 0 {
			r.requestCredits(u, e)
		}
	}
}

// requestCredits asks holders for what the calls that wait need, and refuses those that no holder is left for.
func (r *Router) requestCredits(u *workspaceQuota, e *Effects) {
	for {
		r.admitWithCredits(u, e)
		need := len(u.waiting)
		for _, a := range u.requests {
			need -= a.count
		}
		if need <= 0 {
			return
		}
		holder := r.nextHolder(u)
		if holder == "" {
			r.refuseNewest(u, need, e)
			return
		}
		count := min(maxCreditsPerRequest, need+int(u.arrivals.perSecond(r.now)*creditPrefetch.Seconds()))
		if holder == r.settings.Box {
			r.grantOwnCredits(u, count)
			continue
		}
		r.quotas.nonce++
		u.requests = append(u.requests, creditRequest{nonce: r.quotas.nonce, holder: holder, count: count, at: r.now})
		r.scheduleQuotaSweep(r.now.Add(creditRequestTimeout))
		e.add(Effect{Kind: SendQuota, Peer: holder, Quota: &QuotaMessage{
			Kind: RequestCredits, Workspace: u.name, Nonce: r.quotas.nonce, Count: count,
		}})
	}
}

// nextHolder returns the next holder to ask; empty for none.
func (r *Router) nextHolder(u *workspaceQuota) units.BoxID {
	for _, h := range r.holdersOf(u.group).order {
		asked := slices.ContainsFunc(u.requests, func(a creditRequest) bool { return a.holder == h })
		if !asked && r.now >= u.unavailableUntil[h] {
			return h
		}
	}
	return ""
}

// grantOwnCredits takes credits of this box's own account.
func (r *Router) grantOwnCredits(u *workspaceQuota, count int) {
	n, again := r.grantCredits(u, count)
	u.credits.add(n, r.now.Add(creditLifetime))
	if n < count {
		u.unavailableUntil[r.settings.Box] = r.now.Add(again)
	}
}

// acceptCredits takes a holder's answer. What comes too late goes back.
func (r *Router) acceptCredits(from units.BoxID, m *QuotaMessage, e *Effects) {
	u := r.quotas.byWorkspace[m.Workspace]
	i := -1
	if u != nil {
		i = slices.IndexFunc(u.requests, func(a creditRequest) bool { return a.nonce == m.Nonce && a.holder == from })
	}
	if i < 0 {
		if m.Count > 0 {
			e.add(Effect{Kind: SendQuota, Peer: from, Quota: &QuotaMessage{Kind: ReturnCredits, Workspace: m.Workspace, Count: m.Count}})
		}
		return
	}
	ask := u.requests[i]
	u.requests = slices.Delete(u.requests, i, i+1)
	delete(u.unavailableUntil, from)
	if m.Count < ask.count {
		u.unavailableUntil[from] = r.now.Add(min(m.RetryAfter, maxQuotaRetryAfter))
	}
	u.credits.add(min(m.Count, ask.count), r.now.Add(creditLifetime))
	r.requestCredits(u, e)
}

// receiveQuota takes a message of another box.
func (r *Router) receiveQuota(from units.BoxID, m *QuotaMessage, e *Effects) {
	switch m.Kind {
	case RequestCredits:
		r.handleCreditRequest(from, m, e)
	case GrantCredits:
		r.acceptCredits(from, m, e)
	case ReturnCredits:
		if u := r.quotas.byWorkspace[m.Workspace]; u != nil && u.account != nil {
			u.account.Return(r.now, min(m.Count, maxCreditsPerRequest))
		}
	}
}
