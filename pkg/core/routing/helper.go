package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// helperFailureTime is for how long a box isn't chosen that a relay didn't reach, or that lacks a
	// table for the call.
	helperFailureTime = time.Second
	// helperBusyTime is for how long a box isn't chosen that declined for a reason of its own.
	helperBusyTime = 100 * time.Millisecond
	// querySilence is the time after which a box that hasn't answered a query counts as silent.
	querySilence = 250 * time.Millisecond
)

// helper is another box, with what is known of it as one that calls are relayed to. Evidence holds
// until newer evidence replaces it, or until this box reaches all targets again.
type helper struct {
	box table.Box
	// domain is the index of the box's failure domain in relayState.domains.
	domain int
	// inFlight is the number of this box's calls that are relayed there, load that of all boxes by its
	// own last word.
	inFlight, load int
	// evidence holds what is known of its links to the targets of single services.
	evidence map[scopeKey]reachEvidence
	// heardAt is when it last heard a target of any service, as far as known; hearsNothingAt is when
	// it said that it hears none, zero if it has said otherwise since.
	heardAt, hearsNothingAt units.Instant
	// queriedAt and answeredAt are the times of the last query and of the last answer.
	queriedAt, answeredAt units.Instant
	// avoidUntil is until when the box isn't chosen because a relay failed or it declined for a
	// reason of its own, fullUntil because it accepts no more calls.
	avoidUntil, fullUntil units.Instant
	// standing is the result of the last survey.
	standing HelperStanding
}

// reachEvidence is when a box last heard the targets, and when it was last known not to reach them;
// zero for never.
type reachEvidence struct {
	reachedAt, lostAt units.Instant
}

// helperReasons are the reasons for which a box declines a relayed call that another box may serve.
var helperReasons = [reasonCount]bool{
	RelayLimit: true, NoTable: true, NoLease: true, Stopping: true, StaleKeys: true, UnknownVersion: true, NoService: true, UnknownKey: true, NoTarget: true,
	StaleTable: true, Unreachable: true, BodyMemory: true, BodyTooLate: true,
}

// tableReasons are those that last until the box has a newer table.
var tableReasons = [reasonCount]bool{NoTable: true, StaleKeys: true, UnknownVersion: true, NoService: true, UnknownKey: true, StaleTable: true}

// setEvidence replaces the evidence on the box's links to some targets.
func (h *helper) setEvidence(key scopeKey, v reachEvidence) {
	if h.evidence == nil {
		h.evidence = map[scopeKey]reachEvidence{}
	}
	h.evidence[key] = v
}

// recordDeclined records that the box has declined a relayed call because it can't reach its targets.
func (h *helper) recordDeclined(now units.Instant, key scopeKey) {
	h.answeredAt = now
	h.recordLost(now, key)
}

// recordLost records that the box can't reach some targets.
func (h *helper) recordLost(now units.Instant, key scopeKey) {
	h.setEvidence(key, reachEvidence{lostAt: now})
}

// recordServed records that the box has served a relayed call.
func (h *helper) recordServed(now units.Instant, key scopeKey) {
	h.setEvidence(key, reachEvidence{reachedAt: now})
	h.heardAt, h.hearsNothingAt = now, 0
	h.avoidUntil, h.fullUntil = 0, 0
}

// recordFailed records that a relay didn't reach the box. What was known of it no longer holds.
func (h *helper) recordFailed(now units.Instant) {
	h.avoidUntil = now.Add(helperFailureTime)
	h.evidence, h.heardAt, h.hearsNothingAt, h.answeredAt = nil, 0, 0, 0
}

// evidenceQuery is what a box wants to know of others: whether they reach some targets. Evidence that
// they do counts from since on, evidence that they don't from lostSince on.
type evidenceQuery struct {
	now, since, lostSince units.Instant
	key                   scopeKey
	// anyService is set if evidence on the targets of any service counts: this box hears none at all,
	// so that it is about its network and not about a service.
	anyService bool
}

func (r *Router) evidenceQuery(x *reach) evidenceQuery {
	since := r.now
	if r.hasCut() {
		since = r.relays.cutsSince
	}
	return evidenceQuery{
		now: r.now, since: x.evidenceFrom(r.now), lostSince: since.Add(-suspicionMemory), key: x.key(), anyService: r.hearsNothing(),
	}
}

// evidenceFor returns the newest evidence on the box's links to the targets.
func (h *helper) evidenceFor(q evidenceQuery) reachEvidence {
	v, known := h.evidence[q.key]
	if !known && q.anyService {
		v.reachedAt = h.heardAt
	}
	v.lostAt = max(v.lostAt, h.hearsNothingAt)
	return v
}

// evidenceAt is when the box last showed what it reaches.
func (h *helper) evidenceAt() units.Instant { return max(h.answeredAt, h.heardAt) }

// isSilent reports whether the box has left a query unanswered, and hasn't shown since that it is
// alive.
func (h *helper) isSilent(now units.Instant) bool {
	return h.queriedAt > h.answeredAt && now.Sub(h.queriedAt) >= querySilence && h.heardAt < h.queriedAt
}

// standingFor returns the standing of the box, apart from regions.
func (h *helper) standingFor(q evidenceQuery) HelperStanding {
	v := h.evidenceFor(q)
	silent := h.isSilent(q.now)
	switch {
	case v.lostAt != 0 && v.lostAt >= v.reachedAt && v.lostAt >= q.lostSince && !silent:
		return HelperCutOff
	case q.now < h.fullUntil:
		return HelperFull
	case q.now < h.avoidUntil:
		return HelperAvoided
	case silent:
		return HelperSilent
	case v.reachedAt >= q.since:
		return HelperReaches
	case h.answeredAt >= q.since || h.heardAt >= q.since:
		return HelperPlausible
	}
	return HelperUnknown
}

// canRelay reports whether calls can be relayed at all.
func (r *Router) canRelay() bool { return r.relays.others > 0 && r.enabled(Relaying) }

// mayTakeCalls reports whether calls may be relayed to a box of the list.
func (r *Router) mayTakeCalls(b *table.Box) bool {
	return b.ID != r.settings.Box && !b.Leaving && b.Address != ""
}

// updateHelpers applies a new list of boxes.
func (r *Router) updateHelpers() {
	r.relays.others, r.relays.candidates, r.relays.search.hints = 0, nil, nil
	for i := range r.rank.boxes {
		if r.mayTakeCalls(&r.rank.boxes[i]) {
			r.relays.others++
		}
	}
	if len(r.relays.helpers) == 0 {
		return
	}
	listed := make(map[units.BoxID]bool, len(r.rank.boxes))
	for _, b := range r.rank.boxes {
		listed[b.ID] = true
	}
	for id, h := range r.relays.helpers {
		if h.inFlight == 0 && !listed[id] {
			delete(r.relays.helpers, id)
		}
	}
}

// helperFor returns the state of another box; nil for one that isn't in the list.
func (r *Router) helperFor(id units.BoxID) *helper {
	if h := r.relays.helpers[id]; h != nil {
		return h
	}
	i := indexOf(id, r.rank.boxes)
	if i < 0 || id == r.settings.Box {
		return nil
	}
	return r.newHelper(r.rank.boxes[i])
}

func (r *Router) newHelper(b table.Box) *helper {
	h := &helper{box: b}
	r.relays.helpers[b.ID] = h
	return h
}

// helperCandidates returns the boxes that calls may be relayed to, in the order of the list.
func (r *Router) helperCandidates() []*helper {
	if r.relays.candidates != nil {
		return r.relays.candidates
	}
	r.relays.domains = r.relays.domains[:0]
	for i := range r.rank.boxes {
		b := &r.rank.boxes[i]
		if !r.mayTakeCalls(b) {
			continue
		}
		h := r.relays.helpers[b.ID]
		if h == nil {
			h = r.newHelper(*b)
		}
		h.box, h.domain = *b, r.domainIndex(b.Domain)
		r.relays.candidates = append(r.relays.candidates, h)
	}
	return r.relays.candidates
}

// domainIndex returns the index of a candidate's failure domain, which it adds if necessary.
func (r *Router) domainIndex(domain units.Domain) int {
	for i := range r.relays.domains {
		if r.relays.domains[i].name == domain {
			return i
		}
	}
	r.relays.domains = append(r.relays.domains, helperDomain{name: domain})
	return len(r.relays.domains) - 1
}
