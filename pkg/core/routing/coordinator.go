package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// While a target announces a rate limit, one box, its coordinator, issues the permits for calls to
// it. The coordinator is the first box by rendezvous hashing among those in the target's failure
// domain that aren't leaving. A box that becomes coordinator issues no permits while another box
// may still act on a list that names a different coordinator, unless the previous coordinator has
// handed the target over.

// LimitKind is the kind of a LimitMessage.
type LimitKind uint8

// The kinds of LimitMessage.
const (
	// RequestPermits requests up to Count permits.
	RequestPermits LimitKind = iota + 1
	// GrantPermits grants Count permits and gives the time until the next ones.
	GrantPermits
	// ReturnPermits returns Count unused permits.
	ReturnPermits
	// ReportLimitEnd reports that the target no longer announces a limit.
	ReportLimitEnd
	// HandOver reports that the sender, the previous coordinator, issues no more permits.
	HandOver
)

// LimitMessage is a message between two boxes about the limit of one incarnation of a target.
type LimitMessage struct {
	Kind    LimitKind
	Service units.ServiceName
	Target  units.TargetID
	// Born is when the target's incarnation started.
	Born units.WallTime
	// Nonce matches a grant to its request.
	Nonce uint64
	Count int
	// RetryAfter is the time from a grant until the next permit is available.
	RetryAfter time.Duration
	// LimitState is the newest state of the limit that the sender knows.
	LimitState limit.State
}

// PeerLimit is a LimitMessage received from another box.
type PeerLimit struct {
	From    units.BoxID
	Message LimitMessage
}

func (*PeerLimit) routingEvent() {}

// replacedBoxList is a former list of boxes; replacedAt is when the next list replaced it.
type replacedBoxList struct {
	boxes      []table.Box
	replacedAt units.Instant
}

// cachedCoordinator is a target's coordinator, computed from the list of boxes boxListVersion.
type cachedCoordinator struct {
	box            units.BoxID
	boxListVersion int
}

// coordinatorOf returns a target's coordinator; false means that there is none. A box that never
// had a list of boxes acts alone. A list that has become empty means that no box is connected to
// the control replicas.
func (r *Router) coordinatorOf(t *target) (units.BoxID, bool) {
	switch {
	case r.noBoxesSeen:
		return r.settings.Box, true
	case len(r.rank.boxes) == 0:
		return "", false
	}
	if t.coordination.boxListVersion != r.boxListVersion {
		t.coordination = cachedCoordinator{box: rendezvousOwner(t.row.Target, r.boxesInDomainOf(t)), boxListVersion: r.boxListVersion}
	}
	return t.coordination.box, t.coordination.box != ""
}

// rendezvousOwner returns the box with the highest rendezvous hash for a name; empty if there are
// no boxes.
func rendezvousOwner[T ~string](name T, boxes []table.Box) units.BoxID {
	var first units.BoxID
	var highest uint64
	for _, b := range boxes {
		if h := rendezvous.Hash(b.ID, name); first == "" || h > highest || h == highest && b.ID < first {
			first, highest = b.ID, h
		}
	}
	return first
}

// sendLimitMessage sends a message about a target's limit, or handles it directly if this box is
// the recipient.
func (r *Router) sendLimitMessage(to units.BoxID, t *target, m LimitMessage, e *Effects) {
	m.Service, m.Target, m.Born = t.row.Service, t.row.Target, t.row.Born
	m.LimitState = t.limitState()
	if to == r.settings.Box {
		r.receiveLimitMessage(to, m, e)
		return
	}
	e.add(Effect{Kind: SendLimitMessage, Peer: to, Limit: &m})
}

// limitState is the newest known state of a target's limit.
func (t *target) limitState() limit.State {
	if t.notice == nil || t.notice.limit == nil {
		return limit.State{}
	}
	return t.notice.limit.current
}

// receiveLimitMessage handles a message. A message about another incarnation of the target is
// ignored: the next table updates whichever of the two boxes is behind.
func (r *Router) receiveLimitMessage(from units.BoxID, m LimitMessage, e *Effects) {
	t := r.services[m.Service].target(m.Target)
	if t == nil || t.row.Born != m.Born {
		return
	}
	r.updateLimitFromPeer(t, m.LimitState, e)
	switch m.Kind {
	case RequestPermits:
		r.handlePermitRequest(from, t, &m, e)
	case GrantPermits:
		r.acceptPermits(from, t, &m, e)
	case ReturnPermits:
		if x := t.account(); x != nil {
			x.Return(r.now, min(m.Count, maxPermitsHeld))
		}
	case HandOver:
		if t.notice.isLimited() {
			t.notice.limit.handedOverBy, t.notice.limit.handedOverAt = from, r.now
			r.updateAccountStart(t)
		}
	}
}

// account is the token bucket from which this box issues permits for the target; nil before the
// first request.
func (t *target) account() *limit.TokenBucket {
	if !t.notice.isLimited() {
		return nil
	}
	return t.notice.limit.account
}

// handlePermitRequest answers a request for permits. Once the limit has ended it grants none; the
// limit state in the answer shows the end.
func (r *Router) handlePermitRequest(from units.BoxID, t *target, m *LimitMessage, e *Effects) {
	answer := LimitMessage{Kind: GrantPermits, Nonce: m.Nonce, RetryAfter: permitRetryInterval}
	if box, _ := r.coordinatorOf(t); box == r.settings.Box && t.notice.isLimited() && r.leased() {
		x := t.notice.limit
		if x.account == nil {
			x.account = limit.NewTokenBucket(x.current.Rate, x.changedAt, r.coordinationStart(t))
		}
		answer.Count = x.account.Permit(r.now, min(m.Count, maxPermitsHeld))
		answer.RetryAfter = x.account.WaitTime(r.now)
		r.permits.Issued += uint64(answer.Count)
	}
	r.sendLimitMessage(from, t, answer, e)
}

// coordinationStart is when this box, as a target's coordinator, may begin to issue permits. This
// is at once if no box can still act on a list with another coordinator, or if that coordinator has
// handed over or is no longer listed.
func (r *Router) coordinationStart(t *target) units.Instant {
	from := r.servingFrom
	x := t.notice.limit
	for _, p := range r.replacedBoxLists {
		switch box := rendezvousOwner(t.row.Target, boxesInDomain(p.boxes, t.row.Domain)); {
		case box == r.settings.Box:
		case !r.rank.contains(box):
			from = max(from, p.replacedAt)
		case x.handedOverBy == box && x.handedOverAt.Add(r.settings.ShareDelay) > p.replacedAt:
			from = max(from, x.handedOverAt)
		default:
			from = max(from, p.replacedAt.Add(r.settings.ShareDelay))
		}
	}
	return from
}

func (b boxRank) contains(id units.BoxID) bool {
	return slices.ContainsFunc(b.boxes, func(x table.Box) bool { return x.ID == id })
}

// recordReplacedBoxList keeps the list that a new one replaces for as long as other boxes may still
// act on it.
func (r *Router) recordReplacedBoxList() {
	r.replacedBoxLists = slices.DeleteFunc(r.replacedBoxLists, func(p replacedBoxList) bool { return r.now.Sub(p.replacedAt) > r.settings.ShareDelay })
	if len(r.rank.boxes) > 0 {
		r.replacedBoxLists = append(r.replacedBoxLists, replacedBoxList{boxes: r.rank.boxes, replacedAt: r.now})
	}
}

// updateCoordination applies a new list of boxes to the targets that this box issues permits for:
// those with another coordinator now are handed over.
func (r *Router) updateCoordination(e *Effects) {
	if len(r.notices) == 0 {
		return
	}
	for _, s := range r.sortedServices {
		for _, t := range s.targets {
			if t.account() == nil {
				continue
			}
			if to, known := r.coordinatorOf(t); to != r.settings.Box {
				t.notice.limit.account = nil
				if known {
					r.sendLimitMessage(to, t, LimitMessage{Kind: HandOver}, e)
				}
			}
		}
	}
}

// updateAccountStart recomputes when this box may begin to issue permits for a target.
func (r *Router) updateAccountStart(t *target) {
	if x := t.account(); x != nil {
		x.SetNotBefore(r.now, r.coordinationStart(t))
	}
}
