package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// While calls wait for credits, a box sends requests to the holders of their workspace's quota, one
// holder after the other.

const (
	// creditRequestTimeout is when an unanswered request is considered lost.
	creditRequestTimeout = 100 * time.Millisecond
	// unresponsiveHolderBackoff is how long no request is sent to a holder that didn't answer the
	// last one.
	unresponsiveHolderBackoff = 500 * time.Millisecond
	// creditPrefetch is the time whose expected calls are added to a request beyond the calls that
	// already wait; maxCreditsPerRequest caps the credits of a request.
	creditPrefetch       = 200 * time.Millisecond
	maxCreditsPerRequest = 64
)

// QuotaKind is the kind of a QuotaMessage.
type QuotaKind uint8

// The kinds of QuotaMessage.
const (
	// RequestCredits requests up to Count credits.
	RequestCredits QuotaKind = iota + 1
	// GrantCredits grants Count credits and gives the time until the next one.
	GrantCredits
	// ReturnCredits returns Count unused credits.
	ReturnCredits
)

// QuotaMessage is a message between a box and a holder of a workspace's quota.
type QuotaMessage struct {
	Kind      QuotaKind
	Workspace units.WorkspaceName
	// Nonce matches a grant to its request.
	Nonce uint64
	Count int
	// RetryAfter is the time from a grant until the next credit is available.
	RetryAfter time.Duration
}

// PeerQuota is a QuotaMessage received from another box.
type PeerQuota struct {
	From    units.BoxID
	Message QuotaMessage
}

func (*PeerQuota) routingEvent() {}

// creditRequest is a request for credits that hasn't been answered.
type creditRequest struct {
	nonce  uint64
	holder units.BoxID
	count  int
	at     units.Instant
}

// requestAllCredits requests credits for all waiting calls, after a change of the holders.
func (r *Router) requestAllCredits(e *Effects) {
	for _, u := range r.quotas.order {
		if len(u.waiting) > 0 {
			r.requestCredits(u, e)
		}
	}
}

// requestCredits requests the credits that waiting calls need from the holders, and refuses calls
// if no holder is left.
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
		e.add(Effect{Kind: SendQuotaMessage, Peer: holder, Quota: &QuotaMessage{
			Kind: RequestCredits, Workspace: u.name, Nonce: r.quotas.nonce, Count: count,
		}})
	}
}

// nextHolder returns the next holder to send a request to; empty if there is none.
func (r *Router) nextHolder(u *workspaceQuota) units.BoxID {
	for _, h := range r.holdersOf(u.group).order {
		pending := slices.ContainsFunc(u.requests, func(a creditRequest) bool { return a.holder == h })
		if !pending && r.now >= u.unavailableUntil[h] {
			return h
		}
	}
	return ""
}

// grantOwnCredits takes credits from this box's own account.
func (r *Router) grantOwnCredits(u *workspaceQuota, count int) {
	n, retryAfter := r.grantCredits(u, count)
	u.credits.add(n, r.now.Add(creditLifetime))
	if n < count {
		u.unavailableUntil[r.settings.Box] = r.now.Add(retryAfter)
	}
}

// acceptCredits handles a holder's answer. Credits that arrive too late are returned.
func (r *Router) acceptCredits(from units.BoxID, m *QuotaMessage, e *Effects) {
	u := r.quotas.byWorkspace[m.Workspace]
	i := -1
	if u != nil {
		i = slices.IndexFunc(u.requests, func(a creditRequest) bool { return a.nonce == m.Nonce && a.holder == from })
	}
	if i < 0 {
		if m.Count > 0 {
			e.add(Effect{Kind: SendQuotaMessage, Peer: from, Quota: &QuotaMessage{Kind: ReturnCredits, Workspace: m.Workspace, Count: m.Count}})
		}
		return
	}
	request := u.requests[i]
	u.requests = slices.Delete(u.requests, i, i+1)
	delete(u.unavailableUntil, from)
	if m.Count < request.count {
		u.unavailableUntil[from] = r.now.Add(min(m.RetryAfter, maxQuotaRetryAfter))
	}
	u.credits.add(min(m.Count, request.count), r.now.Add(creditLifetime))
	r.requestCredits(u, e)
}

// receiveQuotaMessage handles a QuotaMessage of another box.
func (r *Router) receiveQuotaMessage(from units.BoxID, m *QuotaMessage, e *Effects) {
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
