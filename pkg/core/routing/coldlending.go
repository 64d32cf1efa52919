package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
)

// The few boxes that share a cold target's rate lend their calls to a box whose calls wait. Such a box
// knows whom to ask: rendezvous hashing gives all boxes the same ones.

const (
	// borrowedColdLifetime is how long a borrowed call to a cold target may be used. The lender saves
	// another one meanwhile, so that it adds to the calls within a second.
	borrowedColdLifetime = 50 * time.Millisecond
	// coldRequestInterval is the least time between two requests for calls to a target, coldRequestPause
	// that after a request that brought none.
	coldRequestInterval = 25 * time.Millisecond
	coldRequestPause    = 100 * time.Millisecond
)

// borrowColdCalls requests calls to cold targets for calls that wait here.
func (r *Router) borrowColdCalls(s *service, e *Effects) {
	if s.row.ColdRate <= 0 || !r.enabled(TokenLending) || !r.rank.listed {
		return
	}
	missing := s.held.length + len(s.waiting)
	for _, t := range s.targets {
		if missing <= 0 {
			return
		}
		if !t.isCold(r.now) || t.coldRateAdmits(r.now) || !t.isEligible() || r.now < t.cold.nextRequestAt {
			continue
		}
		if r.requestColdCall(t, e) {
			missing--
		}
	}
}

// requestColdCall requests a call to a cold target from one of the other boxes that share its rate.
func (r *Router) requestColdCall(t *target, e *Effects) bool {
	lender := r.coldLender(t)
	if lender == "" {
		return false
	}
	// An answer with a call allows the next request earlier.
	t.cold.nextRequestAt = r.now.Add(coldRequestPause)
	r.lenders.nonce++
	t.cold.requestNonce = r.lenders.nonce
	t.service.borrowing.status.Requests++
	e.add(Effect{Kind: SendTokenMessage, Peer: lender, Tokens: &TokenMessage{
		Kind: RequestTokens, Service: t.row.Service, Nonce: t.cold.requestNonce, Calls: []units.TargetID{t.row.Target}, MaxCalls: 1, Cold: true,
	}})
	return true
}

// coldLender returns a random one of the other boxes that share a cold target's rate; empty for none.
func (r *Router) coldLender(t *target) units.BoxID {
	var lender units.BoxID
	seen := 0
	for _, b := range r.coldSharers(t) {
		if b == r.settings.Box {
			continue
		}
		seen++
		if r.random.IntN(seen) == 0 {
			lender = b
		}
	}
	return lender
}

// coldSharers returns the boxes that share the target's rate while it is cold. They are computed once for
// each list of boxes.
func (r *Router) coldSharers(t *target) []units.BoxID {
	if t.cold.sharersVersion == r.boxListVersion {
		return t.cold.sharers
	}
	var ids []units.BoxID
	for _, b := range r.boxesInDomainOf(t) {
		ids = append(ids, b.ID)
	}
	t.cold.sharersVersion = r.boxListVersion
	t.cold.sharers = rendezvous.Highest(ids, boxesPerColdTarget, func(b units.BoxID) uint64 { return rendezvous.Hash(b, t.row.Target) })
	return t.cold.sharers
}

// lendColdCalls takes a call from the box's part of a cold target's rate. That another box found the
// target cold is reason to take it for cold.
func (r *Router) lendColdCalls(s *service, ids []units.TargetID) []units.TargetID {
	if len(ids) != 1 {
		return nil
	}
	t := s.target(ids[0])
	if t == nil {
		return nil
	}
	if !t.isCold(r.now) {
		r.markPossiblyCold(t)
	}
	if !t.isCold(r.now) || !t.cold.bucket.take(r.now, t.coldRate(), coldBurst) {
		return nil
	}
	s.borrowing.status.LentCalls++
	return ids
}

// acceptColdCall handles a lender's answer about a cold target.
func (r *Router) acceptColdCall(s *service, m *TokenMessage) {
	if len(m.Calls) == 0 {
		return
	}
	t := s.target(m.Calls[0])
	if t == nil || m.Nonce == 0 || t.cold.requestNonce != m.Nonce || !t.isCold(r.now) {
		return
	}
	t.cold.requestNonce = 0
	t.cold.nextRequestAt = r.now.Add(coldRequestInterval)
	t.cold.borrowed.add(1, r.now.Add(borrowedColdLifetime))
	s.borrowing.status.Calls++
	r.freedServices = append(r.freedServices, s)
}
