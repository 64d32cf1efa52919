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
	// AskPermits asks for up to Count permits.
	AskPermits LimitKind = iota + 1
	// GrantPermits gives Count permits, and says when the next are there.
	GrantPermits
	// ReturnPermits gives Count permits back that weren't used.
	ReturnPermits
	// TellLimit tells what was heard of a limit: that it is over.
	TellLimit
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
	// Again is how long after a grant the next permit is there.
	Again time.Duration
	Word  limit.Word
}

// PeerLimit is a LimitMessage of another box.
type PeerLimit struct {
	From    units.BoxID
	Message LimitMessage
}

func (*PeerLimit) routingEvent() {}

// pastBoxes is a list of boxes that is no longer in force.
type pastBoxes struct {
	boxes []table.Box
	until units.Instant
}

// coordination is a target's coordinator by one list of boxes.
type coordination struct {
	box    units.BoxID
	listed int
}

// coordinatorOf returns a target's coordinator; false means that there is none. A box that never had a list of
// boxes is alone; a list that has become empty says that none is in touch with the control replicas.
func (r *Router) coordinatorOf(t *target) (units.BoxID, bool) {
	switch {
	case r.neverListed:
		return r.settings.Box, true
	case len(r.rank.boxes) == 0:
		return "", false
	}
	if t.coordination.listed != r.boxLists {
		t.coordination = coordination{box: firstFor(t.row.Target, r.boxesInDomainOf(t)), listed: r.boxLists}
	}
	return t.coordination.box, t.coordination.box != ""
}

// firstFor returns the box that comes first for a name by rendezvous hashing; empty for none.
func firstFor[T ~string](name T, boxes []table.Box) units.BoxID {
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
	m.Service, m.Target, m.Born = t.row.Service, t.row.Target, t.row.Born
	m.Word = t.limitWord()
	if to == r.settings.Box {
		r.receiveLimit(to, m, e)
		return
	}
	e.add(Effect{Kind: SendLimit, Peer: to, Limit: &m})
}

// limitWord is what is known of a target's limit.
func (t *target) limitWord() limit.Word {
	if t.notice == nil || t.notice.limit == nil {
		return limit.Word{}
	}
	return t.notice.limit.current
}

// receiveLimit takes a message. One on another start of the target than the one that this box knows says
// nothing here: the table will tell one of the two boxes about it.
func (r *Router) receiveLimit(from units.BoxID, m LimitMessage, e *Effects) {
	t := r.services[m.Service].target(m.Target)
	if t == nil || t.row.Born != m.Born {
		return
	}
	r.updateLimitFromPeer(t, m.Word, e)
	switch m.Kind {
	case AskPermits:
		r.meetAsk(from, t, &m, e)
	case GrantPermits:
		r.takeGrant(from, t, &m, e)
	case ReturnPermits:
		if x := t.account(); x != nil {
			x.Return(r.now, min(m.Count, mostPermits))
		}
	case HandOver:
		if t.notice.isLimited() {
			t.notice.limit.handedOverBy, t.notice.limit.handedOverAt = from, r.now
			r.reviewAccount(t)
		}
	}
}

// account is what this box may permit of the target; nil where it was never asked.
func (t *target) account() *limit.Account {
	if !t.notice.isLimited() {
		return nil
	}
	return t.notice.limit.account
}

// meetAsk answers a request for permits. A limit that is over permits nothing, and the answer says so.
func (r *Router) meetAsk(from units.BoxID, t *target, m *LimitMessage, e *Effects) {
	answer := LimitMessage{Kind: GrantPermits, Nonce: m.Nonce, Again: askPause}
	if box, _ := r.coordinatorOf(t); box == r.settings.Box && t.notice.isLimited() && r.leased() {
		x := t.notice.limit
		if x.account == nil {
			x.account = limit.NewAccount(x.current.Rate, x.changedAt, r.coordinatesFrom(t))
		}
		answer.Count = x.account.Permit(r.now, min(m.Count, mostPermits))
		answer.Again = x.account.Wait(r.now)
		r.permits.Permitted += uint64(answer.Count)
	}
	r.sendLimit(from, t, answer, e)
}

// coordinatesFrom is from when on this box may permit calls to a target whose coordinator it is:
// at once if it has been so for as long as any box may go on by an older list, or the one
// before has handed over or is no longer listed.
func (r *Router) coordinatesFrom(t *target) units.Instant {
	from := r.servesFrom
	x := t.notice.limit
	for _, p := range r.pastBoxes {
		switch box := firstFor(t.row.Target, boxesInDomain(p.boxes, t.row.Domain)); {
		case box == r.settings.Box:
		case !r.rank.lists(box):
			from = max(from, p.until)
		case x.handedOverBy == box && x.handedOverAt.Add(r.settings.ShareDelay) > p.until:
			from = max(from, x.handedOverAt)
		default:
			from = max(from, p.until.Add(r.settings.ShareDelay))
		}
	}
	return from
}

func (b boxRank) lists(id units.BoxID) bool {
	return slices.ContainsFunc(b.boxes, func(x table.Box) bool { return x.ID == id })
}

// keepPastBoxes remembers the list of boxes that a new one replaces, for as long as boxes may go
// on by it.
func (r *Router) keepPastBoxes() {
	r.pastBoxes = slices.DeleteFunc(r.pastBoxes, func(p pastBoxes) bool { return r.now.Sub(p.until) > r.settings.ShareDelay })
	if len(r.rank.boxes) > 0 {
		r.pastBoxes = append(r.pastBoxes, pastBoxes{boxes: r.rank.boxes, until: r.now})
	}
}

// reviewCoordination does what follows for the targets that this box permits calls to from a new list
// of boxes: those that another box coordinates now are handed over.
func (r *Router) reviewCoordination(e *Effects) {
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

// reviewAccount works out anew from when on this box may permit calls to a target.
func (r *Router) reviewAccount(t *target) {
	if x := t.account(); x != nil {
		x.SetFrom(r.now, r.coordinatesFrom(t))
	}
}
