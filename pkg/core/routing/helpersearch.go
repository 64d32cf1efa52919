package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// While a box is cut off from any targets it asks others which targets they reach. What it learns is
// kept by box and holds for the calls of all services, so that rare calls needn't find it out anew.
// Queries are spread evenly over failure domains, since boxes of the same one tend to be cut off
// together. Boxes that reach all targets send no messages.

const (
	// wantedHelpers is the number of boxes that should be known to reach the targets of a cut.
	wantedHelpers = 4
	// searchBurst is the number of queries in a turn of a search that has found no box yet, and the most
	// that may wait for answers at a time. searchInterval is the time between its turns.
	searchBurst    = 8
	searchInterval = 25 * time.Millisecond
	// answerTime is for how long a query may wait for its answer. Overloaded boxes take that long.
	answerTime = time.Second
	// queryRate, in queries per second, and queryBurst, in queries, bound those of all searches. Each
	// may open a connection between boxes, which several short cuts in a row must not multiply.
	queryRate  = 8
	queryBurst = 32
	// minSlowInterval and maxSlowInterval are the shortest and longest time between queries while some
	// boxes help, and once many were asked and none helps. The boxes that search tell each other of
	// those that help.
	minSlowInterval = 50 * time.Millisecond
	maxSlowInterval = 250 * time.Millisecond
	// refreshInterval is the time between two looks at the evidence while enough boxes help, which is
	// renewed after maxEvidenceAge. Relays that are served renew it, too.
	refreshInterval = 250 * time.Millisecond
	maxEvidenceAge  = 2 * time.Second
	// requeryInterval is the least time between queries to one box. A box that hadn't heard its targets
	// since the cut began verifies its links when it is asked, and is asked again after verificationTime.
	requeryInterval  = 500 * time.Millisecond
	verificationTime = 30 * time.Millisecond
	// maxNamedScopes bounds the services in a message, maxNamedHelpers the boxes.
	maxNamedScopes  = 16
	maxNamedHelpers = 3
	// verifyInterval is the least time between two verifications of this box's links.
	verifyInterval = 250 * time.Millisecond
)

// helperSearch is the search of a box that is cut off for boxes that aren't.
type helperSearch struct {
	// nextAt is when the next turn is due, interval the time between slow turns.
	nextAt   units.Instant
	interval time.Duration
	// queries counts those since the search began or last had enough results.
	queries int
	// hints are boxes that others named.
	hints []*helper
	// budget bounds the queries, and room those that may still be sent in this turn.
	budget tokenBucket
	room   int
}

// beginSearch prepares a search with the first cut. It starts once a check has failed too, or hasn't
// been answered in time: most cuts that aren't one end before.
func (r *Router) beginSearch() {
	s := &r.relays.search
	*s = helperSearch{nextAt: r.now.Add(probeSilence), interval: minSlowInterval, hints: s.hints[:0], budget: s.budget}
	for i := range r.relays.domains {
		r.relays.domains[i].queried = 0
	}
}

// searchHelpers takes the turn of the search that is due.
func (r *Router) searchHelpers(e *Effects) {
	s := &r.relays.search
	if len(r.relays.cuts) == 0 || !r.canRelay() {
		return
	}
	if r.now < s.nextAt {
		r.sweepAt = min(r.sweepAt, s.nextAt)
		return
	}
	s.room = searchBurst - r.countUnanswered()
	r.queryHinted(e)
	switch found, lacking := r.surveyNeediest(); {
	case !lacking:
		s.queries, s.interval = 0, minSlowInterval
		s.nextAt = r.now.Add(refreshInterval)
		r.query(r.nextToRefresh(), e)
	case found == 0 && s.queries < r.searchSamples():
		s.nextAt = r.now.Add(searchInterval)
		for range searchBurst {
			r.query(r.nextToQuery(), e)
		}
	default:
		s.nextAt = r.now.Add(s.interval)
		s.interval = min(2*s.interval, maxSlowInterval)
		r.query(r.nextToQuery(), e)
	}
	r.sweepAt = min(r.sweepAt, s.nextAt)
}

// countUnanswered returns the number of queries that may still be answered. Where all boxes are slow to
// answer, the search slows down with them.
func (r *Router) countUnanswered() int {
	n := 0
	for _, h := range r.helperCandidates() {
		if h.queriedAt > h.answeredAt && r.now.Sub(h.queriedAt) < answerTime {
			n++
		}
	}
	return n
}

// searchSamples is the number of queries of a search before it slows down: enough for a verdict, and
// two for each failure domain.
func (r *Router) searchSamples() int { return max(samplesForVerdict, 2*len(r.relays.domains)) }

// namedCuts returns the cuts that messages name, those least recently checked first.
func (r *Router) namedCuts() []*reach { return r.relays.cuts[:min(len(r.relays.cuts), maxNamedScopes)] }

// surveyNeediest surveys the cut for which the fewest boxes are known to help. It returns how many
// these are, and whether they are too few.
func (r *Router) surveyNeediest() (found int, lacking bool) {
	var neediest, last *reach
	most := 0
	for _, x := range r.namedCuts() {
		v := r.survey(x)
		if missing := min(wantedHelpers, v.allowed()) - v.found(); neediest == nil || missing > most {
			neediest, most, found = x, missing, v.found()
		}
		last = x
	}
	if last != neediest {
		r.survey(neediest)
	}
	return found, most > 0
}

// nextToQuery returns the box to ask next, after a survey; nil for none. Those that may have verified
// their links since they were asked come first, then unknown ones of the failure domain that was asked
// least, then the others.
func (r *Router) nextToQuery() *helper {
	var best queryRank
	var sample helperSample
	for _, h := range r.relays.candidates {
		if h.standing == HelperOutsideRegions || h.standing == HelperReaches || !r.mayQuery(h) {
			continue
		}
		rank := queryRank{standing: h.standing, queried: r.relays.domains[h.domain].queried, isNew: h.answeredAt == 0}
		if sample.seen == 0 || rank.isBefore(best) {
			best, sample = rank, helperSample{}
		}
		if rank == best {
			sample.add(h, r)
		}
	}
	return sample.pick(r)
}

// queryRank orders the boxes to ask by standing, then by how many of their domain were asked. Those
// that were asked in an earlier cut come first, as there may still be a connection.
type queryRank struct {
	standing HelperStanding
	queried  int
	isNew    bool
}

func (k queryRank) isBefore(o queryRank) bool {
	switch {
	case k.standing != o.standing:
		return k.standing < o.standing
	case k.queried != o.queried:
		return k.queried < o.queried
	}
	return !k.isNew && o.isNew
}

// mayQuery reports whether the box may be asked again.
func (r *Router) mayQuery(h *helper) bool {
	wait := requeryInterval
	if h.standing == HelperPlausible {
		wait = verificationTime
	}
	return h.queriedAt == 0 || r.now.Sub(h.queriedAt) >= wait
}

// nextToRefresh returns the box whose evidence is the oldest of those that help, if that is old; nil for
// none. Further boxes aren't asked: each may cost a connection.
func (r *Router) nextToRefresh() *helper {
	var oldest *helper
	for _, h := range r.relays.candidates {
		if h.standing > HelperPlausible || !r.mayQuery(h) || r.now.Sub(h.evidenceAt()) < maxEvidenceAge {
			continue
		}
		if oldest == nil || h.evidenceAt() < oldest.evidenceAt() {
			oldest = h
		}
	}
	return oldest
}

// queryHinted asks the boxes that others named.
func (r *Router) queryHinted(e *Effects) {
	hints := r.relays.search.hints
	r.relays.search.hints = hints[:0]
	for _, h := range hints {
		if r.mayQuery(h) || r.now.Sub(h.queriedAt) >= querySilence {
			r.query(h, e)
		}
	}
}

// query asks a box which targets it reaches; nil for none.
func (r *Router) query(h *helper, e *Effects) {
	s := &r.relays.search
	if h == nil || s.room <= 0 || !s.budget.take(r.now, queryRate, queryBurst) {
		return
	}
	h.queriedAt = r.now
	r.relays.domains[h.domain].queried++
	s.room--
	s.queries++
	r.relays.status.Queries++
	m := &ReachMessage{Kind: ReachQuery, HeardAge: r.age(r.relays.heardAt), HearsNothing: r.hearsNothing()}
	for _, x := range r.namedCuts() {
		m.Scopes = append(m.Scopes, r.describeScope(x))
	}
	e.add(Effect{Kind: SendReachMessage, Peer: h.box.ID, ReachMessage: m})
}

// hearsNothing reports whether the box has heard no target since it found itself cut off.
func (r *Router) hearsNothing() bool { return r.hasCut() && r.relays.heardAt < r.lastCutAt }

func (r *Router) describeScope(x *reach) ReachScope {
	scope := ReachScope{
		Service: x.service.row.Name, Regions: x.regionNames(), HeardAge: r.age(x.heardAt),
		CutOff: x.cutOff || x.failures > 0 || r.isInDoubt(x),
	}
	if x.cutOff {
		scope.CutAge = r.now.Sub(x.cutSince)
	}
	return scope
}

// receiveReachMessage handles a message of another box about the targets that it reaches.
func (r *Router) receiveReachMessage(from units.BoxID, m *ReachMessage, e *Effects) {
	h := r.helperFor(from)
	if h == nil || m.Kind != ReachQuery && m.Kind != ReachAnswer {
		return
	}
	m.Scopes = m.Scopes[:min(len(m.Scopes), maxNamedScopes)]
	h.heardAt = max(h.heardAt, r.before(m.HeardAge))
	h.hearsNothingAt = 0
	if m.HearsNothing {
		h.hearsNothingAt = r.now
	}
	for _, scope := range m.Scopes {
		v := reachEvidence{reachedAt: r.before(scope.HeardAge)}
		if scope.CutOff {
			v = reachEvidence{lostAt: r.now}
		}
		h.setEvidence(newScopeKey(scope.Service, scope.Regions), v)
	}
	if m.Kind == ReachQuery {
		r.answerQuery(h, m, e)
		return
	}
	h.answeredAt, h.load, h.fullUntil = r.now, m.Relayed, 0
	if m.Full {
		h.fullUntil = r.now.Add(helperBusyTime)
	}
	r.addHints(m.Helpers)
	r.relayHeld(h)
}

// answerQuery tells a box that is cut off which targets this one reaches.
func (r *Router) answerQuery(h *helper, m *ReachMessage, e *Effects) {
	answer := &ReachMessage{
		Kind: ReachAnswer, HeardAge: r.age(r.relays.heardAt), HearsNothing: r.hearsNothing(),
		Relayed: r.relays.inFlight, Full: !r.takesRelays() || r.relays.inFlight >= r.settings.MaxRelayed,
	}
	for i := range m.Scopes {
		scope := &m.Scopes[i]
		x := r.reachForScope(scope)
		if x == nil {
			continue
		}
		if len(answer.Scopes) == 0 {
			answer.Helpers = r.knownHelpers(x)
		}
		r.verify(x, m.HearsNothing, r.before(scope.CutAge), e)
		described := r.describeScope(x)
		described.Service, described.Regions = scope.Service, scope.Regions
		answer.Scopes = append(answer.Scopes, described)
	}
	e.add(Effect{Kind: SendReachMessage, Peer: h.box.ID, ReachMessage: answer})
}

// reachForScope returns the evidence for targets that another box names, or for all of their service's
// if this box has no calls with the same restriction; nil for an unknown service.
func (r *Router) reachForScope(scope *ReachScope) *reach {
	s := r.services[scope.Service]
	if s == nil {
		return nil
	}
	key := newScopeKey(scope.Service, scope.Regions)
	for _, x := range s.reaches {
		if x.key() == key {
			return x
		}
	}
	return s.reach()
}

// knownHelpers returns some boxes that are known to reach targets that this box is cut off from.
func (r *Router) knownHelpers(x *reach) []units.BoxID {
	if !x.cutOff {
		return nil
	}
	r.survey(x)
	var sample helperSample
	for _, h := range r.relays.candidates {
		if h.standing == HelperReaches {
			sample.add(h, r)
		}
	}
	var ids []units.BoxID
	for _, h := range sample.chosen[:min(sample.seen, maxNamedHelpers)] {
		ids = append(ids, h.box.ID)
	}
	return ids
}

// verify checks the link to a target if none of them has been heard since an instant; with anyService, if
// none of any service has. It checks a single one: a moment's silence of the targets must not have all
// boxes find themselves cut off because they ask each other.
func (r *Router) verify(x *reach, anyService bool, since units.Instant, e *Effects) {
	if x.heardAt > since || anyService && r.relays.heardAt > since || r.now < r.relays.nextVerifyAt {
		return
	}
	r.relays.nextVerifyAt = r.now.Add(verifyInterval)
	r.checkIfUnheard(x, since, 1, e)
}

// addHints has boxes asked that another box named.
func (r *Router) addHints(ids []units.BoxID) {
	if !r.hasCut() {
		return
	}
	s := &r.relays.search
	for _, id := range ids[:min(len(ids), maxNamedHelpers)] {
		h := r.helperFor(id)
		if h != nil && r.mayTakeCalls(&h.box) && r.now.Sub(h.answeredAt) >= requeryInterval && !slices.Contains(s.hints, h) {
			s.hints = append(s.hints, h)
			s.nextAt = r.now
			r.sweepAt = r.now
		}
	}
}

// relayHeld has the calls relayed that are held for targets which another box has just been found to
// reach.
func (r *Router) relayHeld(h *helper) {
	for _, x := range r.relays.cuts {
		if x.service.held.length > 0 && h.standingFor(r.evidenceQuery(x)) == HelperReaches {
			r.newCuts = append(r.newCuts, x)
		}
	}
}
