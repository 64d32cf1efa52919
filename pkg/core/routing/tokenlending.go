package routing

import (
	"math"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Boxes lend each other saved tokens. Budgets and rates that hold for all boxes together are divided
// into equal parts, so that they hold whatever fails, but calls aren't always spread equally. A box whose
// part is spent while calls arrive requests tokens from the others, one after the other, and these grant
// what they have saved and don't need. A token is spent once, by whoever holds it: a grant that is lost is
// lost tokens, and no box has to know who else lends or borrows. Nothing is sent while parts suffice.

// TokenKind is the kind of a TokenMessage.
type TokenKind uint8

// The kinds of TokenMessage.
const (
	// RequestTokens requests tokens.
	RequestTokens TokenKind = iota + 1
	// GrantTokens answers RequestTokens.
	GrantTokens
)

// TokenMessage is a message between two boxes about the tokens of a service's budgets.
type TokenMessage struct {
	Kind    TokenKind
	Service units.ServiceName
	// Nonce matches a grant to its request.
	Nonce uint64
	// Probes is the number of probes that are requested or granted.
	Probes int
	// Calls are targets with a rate in the table: those for which calls are requested, at most MaxCalls
	// in all, or those for each of which a call is granted.
	Calls    []units.TargetID
	MaxCalls int
	// Cold is set for calls to cold targets, of whose rate a few boxes have parts.
	Cold bool
}

// PeerTokens is a TokenMessage received from another box.
type PeerTokens struct {
	From    units.BoxID
	Message TokenMessage
}

func (*PeerTokens) routingEvent() {}

const (
	// borrowedProbeLifetime is how long borrowed probes may be used. The lender saves new ones
	// meanwhile, so that it adds to the bursts of all boxes.
	borrowedProbeLifetime = 200 * time.Millisecond
	// borrowAhead is the time whose expected probes a box requests before it runs out of tokens.
	borrowAhead = 100 * time.Millisecond
	// minBorrowingRate is the rate of a service's calls, in calls a second, from which on a box borrows
	// probes: with fewer calls, probes spread over its part of the budget are enough.
	minBorrowingRate = 10
	// lendReserve is the time whose expected probes a lender keeps for its own calls.
	lendReserve = 500 * time.Millisecond
	// maxTokenRequests is the number of requests of a service that may be unanswered at a time.
	maxTokenRequests = 4
	// tokenRequestTimeout is when an unanswered request is considered lost.
	tokenRequestTimeout = 100 * time.Millisecond
	// minLapTime is the least time between two requests to the same lender.
	minLapTime = 250 * time.Millisecond
	// fruitlessRequests is the number of requests in a row without a token after which a box pauses,
	// for minBorrowPause at first and twice as long each time.
	fruitlessRequests = 12
	minBorrowPause    = 10 * time.Millisecond
	maxBorrowPause    = 500 * time.Millisecond
	// maxProbesPerRequest and maxCallsPerRequest cap the tokens of a request.
	maxProbesPerRequest = 64
	maxCallsPerRequest  = 16
)

// tokenBorrowing is a box's state on the tokens that it borrows for a service.
type tokenBorrowing struct {
	probes   allowances
	requests []tokenRequest
	// position is the index of the next lender, lapStartedAt when the first one was last sent a request.
	position     int
	lapStartedAt units.Instant
	// fruitless counts the requests in a row that brought no token.
	fruitless  int
	pauseUntil units.Instant
	status     TokenStatus
}

// tokenRequest is a request for tokens that hasn't been answered.
type tokenRequest struct {
	nonce  uint64
	lender units.BoxID
	at     units.Instant
	// calls is the number of calls requested.
	calls int
}

// TokenStatus counts the tokens of a service that were lent between boxes.
type TokenStatus struct {
	// Requests is the number of requests sent, Fruitless that of those without a token.
	Requests  uint64 `json:"requests"`
	Fruitless uint64 `json:"fruitless"`
	// Probes and Calls are the tokens borrowed, LentProbes and LentCalls those lent.
	Probes     uint64 `json:"probes"`
	Calls      uint64 `json:"calls"`
	LentProbes uint64 `json:"lentProbes"`
	LentCalls  uint64 `json:"lentCalls"`
}

// lenderRing is the order in which a box requests tokens from the others: a random one, so that requests
// spread over boxes and failure domains.
type lenderRing struct {
	boxes []units.BoxID
	// boxListVersion is the number of the list of boxes that the order was drawn from.
	boxListVersion int
	// nonce is that of the last request.
	nonce uint64
}

// tokenLenders returns the other boxes in the order of requests.
func (r *Router) tokenLenders() []units.BoxID {
	if r.lenders.boxListVersion == r.boxListVersion {
		return r.lenders.boxes
	}
	r.lenders.boxListVersion = r.boxListVersion
	r.lenders.boxes = r.lenders.boxes[:0]
	for _, b := range r.rank.boxes {
		if b.ID != r.settings.Box {
			r.lenders.boxes = append(r.lenders.boxes, b.ID)
		}
	}
	r.random.Shuffle(len(r.lenders.boxes), func(i, j int) {
		r.lenders.boxes[i], r.lenders.boxes[j] = r.lenders.boxes[j], r.lenders.boxes[i]
	})
	return r.lenders.boxes
}

// expectedProbes is the number of probes that the calls arriving in a period are expected to send.
func (s *service) expectedProbes(now units.Instant, period time.Duration) float64 {
	return s.arrivals.perSecond(now) * period.Seconds() * float64(s.row.ProbeTargets)
}

// availableProbes returns the number of probes that the box may send now.
func (s *service) availableProbes(now units.Instant) float64 {
	s.borrowing.probes.dropExpired(now)
	return s.probeBudget.tokens + float64(len(s.borrowing.probes))
}

// borrowProbes requests probes if those left won't last and calls arrive fast enough.
func (r *Router) borrowProbes(s *service, e *Effects) {
	if s.arrivals.perSecond(r.now) < minBorrowingRate {
		return
	}
	need := s.expectedProbes(r.now, borrowAhead)
	if s.availableProbes(r.now) >= need {
		return
	}
	r.borrowTokens(s, TokenMessage{Probes: min(maxProbesPerRequest, int(math.Ceil(2*need)))}, e)
}

// borrowCalls requests calls to the targets whose rate keeps calls waiting here.
func (r *Router) borrowCalls(s *service, e *Effects) {
	r.borrowColdCalls(s, e)
	missing := s.held.length + len(s.waiting)
	for i := range s.borrowing.requests {
		missing -= s.borrowing.requests[i].calls
	}
	if missing <= 0 {
		return
	}
	var limited []units.TargetID
	for _, t := range s.targets {
		if len(limited) < maxCallsPerRequest && t.row.MaxRate > 0 && t.isEligible() && !t.hasCallToken(r.now) {
			limited = append(limited, t.row.Target)
		}
	}
	r.random.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	if len(limited) > 0 {
		r.borrowTokens(s, TokenMessage{Calls: limited, MaxCalls: missing}, e)
	}
}

// borrowTokens sends requests to the next lenders.
func (r *Router) borrowTokens(s *service, m TokenMessage, e *Effects) {
	b := &s.borrowing
	b.dropLost(r.now)
	lenders := r.tokenLenders()
	if !r.enabled(TokenLending) || !r.rank.listed || len(lenders) == 0 {
		return
	}
	m.Kind, m.Service = RequestTokens, s.row.Name
	for r.now >= b.pauseUntil && len(b.requests) < min(maxTokenRequests, len(lenders)) {
		r.lenders.nonce++
		m.Nonce = r.lenders.nonce
		lender := b.nextLender(lenders, r.now)
		b.requests = append(b.requests, tokenRequest{nonce: m.Nonce, lender: lender, at: r.now, calls: m.MaxCalls})
		b.status.Requests++
		request := m
		e.add(Effect{Kind: SendTokenMessage, Peer: lender, Tokens: &request})
		if m.MaxCalls > 0 {
			return
		}
	}
}

// nextLender returns the next lender. After a whole lap the box pauses if that took less than
// minLapTime: lenders have saved little since.
func (b *tokenBorrowing) nextLender(lenders []units.BoxID, now units.Instant) units.BoxID {
	i := b.position % len(lenders)
	if i == 0 {
		b.lapStartedAt = now
	}
	b.position = i + 1
	if b.position == len(lenders) {
		b.pauseUntil = max(b.pauseUntil, b.lapStartedAt.Add(minLapTime))
	}
	return lenders[i]
}

// dropLost drops the requests that weren't answered in time.
func (b *tokenBorrowing) dropLost(now units.Instant) {
	b.requests = slices.DeleteFunc(b.requests, func(x tokenRequest) bool {
		lost := now.Sub(x.at) >= tokenRequestTimeout
		if lost {
			b.recordFruitless(now)
		}
		return lost
	})
}

// recordFruitless counts a request that brought no token, and begins a pause after several in a row.
func (b *tokenBorrowing) recordFruitless(now units.Instant) {
	b.status.Fruitless++
	b.fruitless++
	if n := b.fruitless - fruitlessRequests; n >= 0 {
		pause := min(maxBorrowPause, minBorrowPause<<min(n, 10))
		b.pauseUntil = max(b.pauseUntil, now.Add(pause))
	}
}

// receiveTokenMessage handles a TokenMessage of another box.
func (r *Router) receiveTokenMessage(from units.BoxID, m *TokenMessage, e *Effects) {
	switch m.Kind {
	case RequestTokens:
		r.lendTokens(from, m, e)
	case GrantTokens:
		r.acceptTokens(from, m, e)
	}
}

// lendTokens answers a request with the tokens that this box can spare. A box whose table isn't in
// force has no part any more.
func (r *Router) lendTokens(from units.BoxID, m *TokenMessage, e *Effects) {
	grant := &TokenMessage{Kind: GrantTokens, Service: m.Service, Nonce: m.Nonce}
	if s := r.services[m.Service]; s != nil && r.leased() && r.enabled(TokenLending) {
		if m.Cold {
			grant.Cold, grant.Calls = true, r.lendColdCalls(s, m.Calls)
		} else {
			grant.Probes = r.lendProbes(s, m.Probes)
			grant.Calls = r.lendCalls(s, m.Calls, m.MaxCalls)
		}
	}
	e.add(Effect{Kind: SendTokenMessage, Peer: from, Tokens: grant})
}

// lendProbes takes up to n probes from the box's own part, and returns their number.
func (r *Router) lendProbes(s *service, n int) int {
	r.refillProbeBudget(s)
	reserve := max(float64(s.row.ProbeTargets), s.expectedProbes(r.now, lendReserve))
	spare := int(min(s.probeBudget.tokens, maxProbesPerRequest) - reserve)
	n = max(0, min(n, spare))
	s.probeBudget.tokens -= float64(n)
	s.borrowing.status.LentProbes += uint64(n)
	return n
}

// lendCalls takes up to n calls to the given targets from the box's own part of their rates, and returns
// the targets for which it had one. While calls are held here, it lends none.
func (r *Router) lendCalls(s *service, ids []units.TargetID, n int) []units.TargetID {
	var lent []units.TargetID
	for _, id := range ids[:min(len(ids), maxCallsPerRequest)] {
		t := s.target(id)
		if len(lent) < n && t != nil && s.held.length == 0 && t.row.MaxRate > 0 && t.callBucket.take(r.now, t.rateShare.value, rateBurst) {
			lent = append(lent, id)
		}
	}
	s.borrowing.status.LentCalls += uint64(len(lent))
	return lent
}

// acceptTokens adds granted tokens to those that the box may spend. A grant that comes too late is
// dropped.
func (r *Router) acceptTokens(from units.BoxID, m *TokenMessage, e *Effects) {
	s := r.services[m.Service]
	if s == nil {
		return
	}
	if m.Cold {
		r.acceptColdCall(s, m)
		return
	}
	b := &s.borrowing
	b.dropLost(r.now)
	i := slices.IndexFunc(b.requests, func(x tokenRequest) bool { return x.nonce == m.Nonce && x.lender == from })
	if i < 0 {
		return
	}
	b.requests = slices.Delete(b.requests, i, i+1)
	probes := min(m.Probes, maxProbesPerRequest)
	if probes > 0 {
		b.probes.add(probes, r.now.Add(borrowedProbeLifetime))
	}
	calls := r.acceptCallTokens(s, m.Calls)
	b.status.Probes += uint64(probes)
	b.status.Calls += uint64(calls)
	if probes+calls == 0 {
		b.recordFruitless(r.now)
		r.borrowCalls(s, e)
		return
	}
	b.fruitless = 0
	if calls > 0 {
		r.serveHeld(s, e)
	}
	r.borrowCalls(s, e)
}

// acceptCallTokens fills the box's own buckets with a borrowed call for each of the given targets, and
// returns their number. A bucket holds no more than the box could have saved itself, so that lending
// doesn't add to the calls that all boxes may send at once.
func (r *Router) acceptCallTokens(s *service, ids []units.TargetID) int {
	n := 0
	for _, id := range ids[:min(len(ids), maxCallsPerRequest)] {
		if t := s.target(id); t != nil && t.row.MaxRate > 0 {
			t.callBucket.tokens = min(rateBurst, t.callBucket.tokens+1)
			n++
		}
	}
	return n
}

// hasCallToken reports whether the target's rate allows another call of this box now.
func (t *target) hasCallToken(now units.Instant) bool {
	t.callBucket.refill(now, t.rateShare.value, rateBurst)
	return t.callBucket.tokens >= 1
}

// spendProbes takes n probes from the box's own part and from borrowed ones, or none if there aren't as
// many.
func (s *service) spendProbes(now units.Instant, n int) bool {
	if s.availableProbes(now) < float64(n) {
		return false
	}
	for range n {
		if s.probeBudget.tokens >= 1 {
			s.probeBudget.tokens--
			continue
		}
		s.borrowing.probes.use(now)
	}
	return true
}
