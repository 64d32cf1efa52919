package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// A box asks the holders of a workspace's quota for credits, one after the other, as long as calls wait.

const (
	// creditAskTerm is after what time an unanswered request counts as lost.
	creditAskTerm = 100 * time.Millisecond
	// silentHolder is for how long a holder that didn't answer isn't asked again.
	silentHolder = 500 * time.Millisecond
	// creditsAhead is for how much of a box's own calls it asks ahead, mostCredits how many credits a
	// request asks for at the most.
	creditsAhead = 200 * time.Millisecond
	mostCredits  = 64
)

// QuotaKind says what a message on a quota is about.
type QuotaKind uint8

// The kinds of message.
const (
	// AskCredits asks for up to Count credits.
	AskCredits QuotaKind = iota + 1
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
	// Again is how long after a grant the next credit is there.
	Again time.Duration
}

// PeerQuota is a QuotaMessage of another box.
type PeerQuota struct {
	From    units.BoxID
	Message QuotaMessage
}

func (*PeerQuota) routingEvent() {}

// creditAsk is a request for credits that is under way.
type creditAsk struct {
	nonce  uint64
	holder units.BoxID
	count  int
	at     units.Instant
}

// askAllCredits asks for whatever waits, of holders that may be others now.
func (r *Router) askAllCredits(e *Effects) {
	for _, u := range r.quotas.order {
		if len(u.waiting) > 0 {
			r.askCredits(u, e)
		}
	}
}

// askCredits asks holders for what the calls that wait need, and refuses those that no holder is left for.
func (r *Router) askCredits(u *quotaUse, e *Effects) {
	for {
		r.serveCredits(u, e)
		need := len(u.waiting)
		for _, a := range u.asks {
			need -= a.count
		}
		if need <= 0 {
			return
		}
		holder := r.nextHolder(u)
		if holder == "" {
			r.refuseLast(u, need, e)
			return
		}
		count := min(mostCredits, need+int(u.came.perSecond(r.now)*creditsAhead.Seconds()))
		if holder == r.settings.Box {
			r.takeOwnCredits(u, count)
			continue
		}
		r.quotas.nonce++
		u.asks = append(u.asks, creditAsk{nonce: r.quotas.nonce, holder: holder, count: count, at: r.now})
		r.sweepQuotasBy(r.now.Add(creditAskTerm))
		e.add(Effect{Kind: SendQuota, Peer: holder, Quota: &QuotaMessage{
			Kind: AskCredits, Workspace: u.name, Nonce: r.quotas.nonce, Count: count,
		}})
	}
}

// nextHolder returns the next holder to ask; empty for none.
func (r *Router) nextHolder(u *quotaUse) units.BoxID {
	for _, h := range r.seatsOf(u.group).order {
		asked := slices.ContainsFunc(u.asks, func(a creditAsk) bool { return a.holder == h })
		if !asked && r.now >= u.closed[h] {
			return h
		}
	}
	return ""
}

// takeOwnCredits takes credits of this box's own account.
func (r *Router) takeOwnCredits(u *quotaUse, count int) {
	n, again := r.permitCredits(u, count)
	u.credits.add(n, r.now.Add(creditTerm))
	if n < count {
		u.closed[r.settings.Box] = r.now.Add(again)
	}
}

// takeCredits takes a holder's answer. What comes too late goes back.
func (r *Router) takeCredits(from units.BoxID, m *QuotaMessage, e *Effects) {
	u := r.quotas.uses[m.Workspace]
	i := -1
	if u != nil {
		i = slices.IndexFunc(u.asks, func(a creditAsk) bool { return a.nonce == m.Nonce && a.holder == from })
	}
	if i < 0 {
		if m.Count > 0 {
			e.add(Effect{Kind: SendQuota, Peer: from, Quota: &QuotaMessage{Kind: ReturnCredits, Workspace: m.Workspace, Count: m.Count}})
		}
		return
	}
	ask := u.asks[i]
	u.asks = slices.Delete(u.asks, i, i+1)
	delete(u.closed, from)
	if m.Count < ask.count {
		u.closed[from] = r.now.Add(min(m.Again, mostQuotaRetry))
	}
	u.credits.add(min(m.Count, ask.count), r.now.Add(creditTerm))
	r.askCredits(u, e)
}

// receiveQuota takes a message of another box.
func (r *Router) receiveQuota(from units.BoxID, m *QuotaMessage, e *Effects) {
	switch m.Kind {
	case AskCredits:
		r.meetCreditAsk(from, m, e)
	case GrantCredits:
		r.takeCredits(from, m, e)
	case ReturnCredits:
		if u := r.quotas.uses[m.Workspace]; u != nil && u.account != nil {
			u.account.Return(r.now, min(m.Count, mostCredits))
		}
	}
}
