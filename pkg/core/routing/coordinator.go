package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// The coordinator of a target is the one box that permits calls to it while it names a limit. It is the
// box that comes first for the target, by rendezvous hashing, of those in the target's failure domain
// that stay. A box that becomes the coordinator waits until no box can go by a list that names
// another one, unless the one before has handed the target over.

// LimitKind says what a message on a target's limit is about.
type LimitKind uint8

// The kinds of message.
const (
	// RequestPermits asks for up to Count permits.
	RequestPermits LimitKind = iota + 1
	// GrantPermits gives Count permits, and says when the next are there.
	GrantPermits
	// ReturnPermits gives Count permits back that weren't used.
	ReturnPermits
	// ReportLimitEnd tells what was heard of a limit: that it is over.
	ReportLimitEnd
	// HandOver tells that the sender, which was the coordinator, permits no more calls.
	HandOver
)

// LimitMessage is a message between two boxes on the limit of a start of a target. Each of them
// carries the newest that its sender knows of the limit.
type LimitMessage struct {
	Kind    LimitKind
	Service units.ServiceName
	Target  units.TargetID
	Born    units.WallTime
	// Nonce ties a grant to the request that it answers.
	Nonce uint64
	Count int
	// RetryAfter is how long after a grant the next permit is there.
	RetryAfter time.Duration
	LimitState limit.State
}

// PeerLimit is a LimitMessage of another box.
type PeerLimit struct {
	From    units.BoxID
	Message LimitMessage
}

func (*PeerLimit) routingEvent() {}

// replacedBoxList is a list of boxes that is no longer in force.
type replacedBoxList struct {
	boxes      []table.Box
	replacedAt units.Instant
}

// cachedCoordinator is a target's coordinator by one list of boxes.
type cachedCoordinator struct {
	box            units.BoxID
	boxListVersion int
}

// coordinatorOf returns a target's coordinator; false means that there is none. A box that never had a list of
// boxes is alone; a list that has become empty says that none is in touch with the control replicas.
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

// rendezvousOwner returns the box that comes first for a name by rendezvous hashing; empty for none.
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

// sendLimit sends a message on a target's limit, or takes it at once if it is for this box.
func (r *Router) sendLimit(to units.BoxID, t *target, m LimitMessage, e *Effects) {
	m.Service, m.Target, m.Born = t.row.Service, t.row.Target, t.row.StartedAt
	m.LimitState = t.limitState()
	if to == r.settings.Box {
		r.receiveLimit(to, m, e)
		return
	}
	e.add(Effect{Kind: SendLimit, Peer: to, Limit: &m})
}

// limitState is what is known of a target's limit.
func (t *target) limitState() limit.State {
	if t.notice == nil || t.notice.limit == nil {
		return limit.State{}
	}
	return t.notice.limit.current
}

// receiveLimit takes a message. One on another start of the target than the one that this box knows says
// nothing here: the table will tell one of the two boxes about it.
func (r *Router) receiveLimit(from units.BoxID, m LimitMessage, e *Effects) {
	t := r.services[m.Service].target(m.Target)
	if t == nil || t.row.StartedAt != m.Born {
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

// account is what this box may permit of the target; nil where it was never asked.
func (t *target) account() *limit.TokenBucket {
	if !t.notice.isLimited() {
		return nil
	}
	return t.notice.limit.account
}

// handlePermitRequest answers a request for permits. A limit that is over permits nothing, and the answer says so.
func (r *Router) handlePermitRequest(from units.BoxID, t *target, m *LimitMessage, e *Effects) {
	answer := LimitMessage{Kind: GrantPermits, Nonce: m.Nonce, RetryAfter: permitRetryInterval}
	if box, _ := r.coordinatorOf(t); box == r.settings.Box && t.notice.isLimited() && r.leased() {
		x := t.notice.limit
		if x.account == nil {
			x.account = limit.NewTokenBucket(x.current.Rate, x.changedAt, r.coordinationStart(t))
		}
		answer.Count = x.account.Permit(r.now, min(m.Count, maxPermitsHeld))
		answer.RetryAfter = x.account.WaitTime(r.now)
		r.permits.Permitted += uint64(answer.Count)
	}
	r.sendLimit(from, t, answer, e)
}

// coordinationStart is from when on this box may permit calls to a target whose coordinator it is:
// at once if it has been so for as long as any box may go on by an older list, or the one
// before has handed over or is no longer listed.
func (r *Router) coordinationStart(t *target) units.Instant {
	from := r.servesFrom
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

// recordReplacedBoxList remembers the list of boxes that a new one replaces, for as long as boxes may go
// on by it.
func (r *Router) recordReplacedBoxList() {
	r.replacedBoxLists = slices.DeleteFunc(r.replacedBoxLists, func(p replacedBoxList) bool { return r.now.Sub(p.replacedAt) > r.settings.ShareDelay })
	if len(r.rank.boxes) > 0 {
		r.replacedBoxLists = append(r.replacedBoxLists, replacedBoxList{boxes: r.rank.boxes, replacedAt: r.now})
	}
}

// updateCoordination does what follows for the targets that this box permits calls to from a new list
// of boxes: those that another box coordinates now are handed over.
func (r *Router) updateCoordination(e *Effects) {
	if len(r.notices) == 0 {
		return
	}
	for _, s := range r.order {
		for _, t := range s.targets {
			if t.account() == nil {
				continue
			}
			if to, known := r.coordinatorOf(t); to != r.settings.Box {
				t.notice.limit.account = nil
				if known {
					r.sendLimit(to, t, LimitMessage{Kind: HandOver}, e)
				}
			}
		}
	}
}

// updateAccountStart works out anew from when on this box may permit calls to a target.
func (r *Router) updateAccountStart(t *target) {
	if x := t.account(); x != nil {
		x.SetNotBefore(r.now, r.coordinationStart(t))
	}
}
