package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// Until a verdict is there each caller of a request that crashes targets costs one more. So a box that sees a
// crash tells the others at once which requests were under way, and while they are suspected one call of each goes
// to a target at a time over all boxes, a canary, whoever calls. An answer to one clears the request everywhere:
// one that is well is held up for about as long as one call of it takes.

const (
	// suspicionTerm is for how long a crash holds up the requests that were under way: three crashes, one
	// after the other, are enough for a verdict and take less.
	suspicionTerm = 750 * time.Millisecond
	// canaryTerm is for how long a canary's coordinator waits for what becomes of it: an answer, or a crash,
	// which shows when its target's host has refused two checks.
	canaryTerm = 300 * time.Millisecond
	// verdictTime is for how long after a crash no canary goes: a note's way to the leader, which may have seen
	// enough, and the verdict's way back, between regions.
	verdictTime = 100 * time.Millisecond
	// canaryPause is the time between two requests to send a canary, a round trip between regions.
	canaryPause = 25 * time.Millisecond
	// canaryWait is how long a call waits at the most. It goes on then, as calls did before.
	canaryWait = 600 * time.Millisecond
	// otherFirst is for how long after a crash the caller under whose call it was leaves the turn to others:
	// a crash under another one's shows that the request is to blame whoever sends it.
	otherFirst = 250 * time.Millisecond
	// maxSuspicions bounds the requests that are suspected at a time; with more, targets crash by
	// themselves.
	maxSuspicions = 32
	// tellOn is how many boxes each one tells that is told: connections to all others would cost a small box
	// the time of its calls, and three steps reach 500.
	tellOn = 8
	// tellRate bounds those messages a second, and tellBurst how many may come at once: a box at which a
	// failure domain's calls break off must not crowd the others.
	tellRate  = 500
	tellBurst = 1000
)

// CanaryKind says what a message on canaries is about.
type CanaryKind uint8

// The kinds of message.
const (
	// SuspectCalls names requests under which a target has crashed.
	SuspectCalls CanaryKind = iota + 1
	// ClearCall names a request that a target has answered.
	ClearCall
	// AskCanary asks whether a call of a request may go.
	AskCanary
	// SendCanary lets it.
	SendCanary
)

// CanaryMessage is a message between boxes on requests under which targets crash.
type CanaryMessage struct {
	Kind CanaryKind
	// Calls are the requests: those of a crash with who sent them, others whoever sends them.
	Calls []crash.Fingerprint
	// Origin is the box that tells all others; empty for messages between two.
	Origin units.BoxID
	// Call is the one at the asking box that a SendCanary is for.
	Call CallID
}

// PeerCanary is a CanaryMessage of another box.
type PeerCanary struct {
	From    units.BoxID
	Message CanaryMessage
}

func (*PeerCanary) routingEvent() {}

// suspicion is a request of which one call goes at a time.
type suspicion struct {
	call  crash.Fingerprint
	until units.Instant
	// busyUntil is until when the coordinator lets no other canary go.
	busyUntil units.Instant
	// crashed is a call of it under which a target crashed last, at is when this box heard of that.
	crashed crash.Fingerprint
	at      units.Instant
}

// canaryBook is what a box knows of requests under which targets have just crashed.
type canaryBook struct {
	list []suspicion
	// set has the calls of list.
	set    fingerprintSet
	told   tokenBucket
	status CanaryStatus
}

// CanaryStatus is what the dump and the metrics show.
type CanaryStatus struct {
	// Suspected counts the requests that were suspected, Cleared those that an answer here cleared.
	Suspected uint64 `json:"suspected"`
	Cleared   uint64 `json:"cleared"`
	// Held counts the calls that waited, Sent the canaries, Unsure the calls that went on without
	// having been let go.
	Held   uint64 `json:"held"`
	Sent   uint64 `json:"sent"`
	Unsure uint64 `json:"unsure"`
}

// find returns the suspicion of a request, nil for none.
func (b *canaryBook) find(f crash.Fingerprint) *suspicion {
	i := slices.IndexFunc(b.list, func(s suspicion) bool { return s.call == f })
	if i < 0 {
		return nil
	}
	return &b.list[i]
}

// noteCrash has one call of a request go at a time after a crash.
func (b *canaryBook) noteCrash(f crash.Fingerprint, now units.Instant) {
	s := b.suspect(f.AnyCaller(), now)
	s.busyUntil = now.Add(verdictTime)
	s.crashed, s.at = f, now
}

// suspect has one call of a request go at a time from now on.
func (b *canaryBook) suspect(f crash.Fingerprint, now units.Instant) *suspicion {
	s := b.find(f)
	if s == nil {
		if len(b.list) >= maxSuspicions {
			b.drop(b.list[0].call)
		}
		b.list = append(b.list, suspicion{call: f})
		b.set.add(f)
		b.status.Suspected++
		s = &b.list[len(b.list)-1]
	}
	s.until = now.Add(suspicionTerm)
	return s
}

// drop lets calls of a request go as they come.
func (b *canaryBook) drop(f crash.Fingerprint) {
	b.dropIf(func(s suspicion) bool { return s.call == f })
}

func (b *canaryBook) dropOld(now units.Instant) {
	b.dropIf(func(s suspicion) bool { return now >= s.until })
}

func (b *canaryBook) dropIf(unwanted func(suspicion) bool) {
	before := len(b.list)
	b.list = slices.DeleteFunc(b.list, unwanted)
	if len(b.list) == before {
		return
	}
	b.set.clear()
	for _, s := range b.list {
		b.set.add(s.call)
	}
}

// suspectCrashed suspects the requests of a crash here and at all other boxes.
func (r *Router) suspectCrashed(n *crash.Note, e *Effects) {
	if !r.enabled(Canaries) {
		return
	}
	b := &r.crashes.canaries
	var calls []crash.Fingerprint
	for _, x := range n.Suspects {
		b.noteCrash(x.Fingerprint, r.now)
		calls = append(calls, x.Fingerprint)
	}
	r.tellCanaries(&CanaryMessage{Kind: SuspectCalls, Calls: calls, Origin: r.settings.Box}, e)
}

// tellCanaries tells the boxes that come after this one in the tree whose root is the message's origin, unless
// that would be too many messages. All boxes know the tree, by their list.
func (r *Router) tellCanaries(m *CanaryMessage, e *Effects) {
	n := len(r.rank.boxes)
	root, own := placeOf(m.Origin, r.rank.boxes), r.rank.rank
	if root < 0 || own < 0 {
		return
	}
	first := (own-root+n)%n*tellOn + 1
	last := min(first+tellOn, n)
	if first >= last || !r.crashes.canaries.told.takeN(r.now, float64(last-first), tellRate, tellBurst) {
		return
	}
	for k := first; k < last; k++ {
		e.add(Effect{Kind: SendCanaryMessage, Peer: r.rank.boxes[(root+k)%n].ID, Canary: m})
	}
}

// clearAnswered clears a request that a target has run to an answer.
func (r *Router) clearAnswered(c *call, e *Effects) {
	b := &r.crashes.canaries
	f, found := b.set.match(c.identity)
	if !found {
		return
	}
	b.drop(f)
	b.status.Cleared++
	r.tellCanaries(&CanaryMessage{Kind: ClearCall, Calls: []crash.Fingerprint{f}, Origin: r.settings.Box}, e)
}

// suspectedCall returns the suspected request that a call is one of.
func (r *Router) suspectedCall(c *call) (f crash.Fingerprint, found bool) {
	b := &r.crashes.canaries
	if len(b.list) == 0 {
		return f, false
	}
	b.dropOld(r.now)
	return b.set.match(c.identity)
}

// waitsForCanary has a new call of a suspected request wait until it may go; false means that it may now.
func (r *Router) waitsForCanary(id CallID, c *call, e *Effects) bool {
	f, found := r.suspectedCall(c)
	if !found {
		return false
	}
	if r.takesTurn(f, c) {
		return false
	}
	r.crashes.canaries.status.Held++
	c.awaitsCanaryTurn = true
	e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.arrived.Add(c.route.deadlineOf(c.requestedDeadline, r.settings.MaxDeadline))})
	r.askCanary(id, c, f, e)
	return true
}

// takesTurn tells whether a call may go now by this box's own word, and gives it the turn.
func (r *Router) takesTurn(f crash.Fingerprint, c *call) bool {
	b := &r.crashes.canaries
	if r.canaryCoordinator(f) != r.settings.Box || b.leavesTurn(f, c, r.now) || !b.giveTurn(f, r.now) {
		return false
	}
	b.status.Sent++
	return true
}

// leavesTurn tells whether a call had better let those of other callers go first.
func (b *canaryBook) leavesTurn(f crash.Fingerprint, c *call, now units.Instant) bool {
	s := b.find(f)
	return s != nil && now.Sub(s.at) < otherFirst && s.crashed.Matches(c.identity)
}

// askCanary asks the coordinator to let a call go, and will look again.
func (r *Router) askCanary(id CallID, c *call, f crash.Fingerprint, e *Effects) {
	r.timers.Push(timer{at: r.now.Add(canaryPause), call: id, kind: canaryTimer})
	coordinator := r.canaryCoordinator(f)
	if coordinator != r.settings.Box && !r.crashes.canaries.leavesTurn(f, c, r.now) {
		e.add(Effect{Kind: SendCanaryMessage, Peer: coordinator, Canary: &CanaryMessage{
			Kind: AskCanary, Calls: []crash.Fingerprint{f}, Call: id,
		}})
	}
}

// canaryTimePassed looks at a call that waits: it goes when its request isn't suspected any more, when it is its turn, and
// when it has waited long enough.
func (r *Router) canaryTimePassed(id CallID, c *call, e *Effects) {
	if !c.awaitsCanaryTurn {
		return
	}
	f, found := r.suspectedCall(c)
	switch {
	case !found:
		r.endCanaryWait(id, c, e)
	case r.now.Sub(c.arrived) >= canaryWait:
		r.crashes.canaries.status.Unsure++
		r.endCanaryWait(id, c, e)
	case r.takesTurn(f, c):
		r.endCanaryWait(id, c, e)
	default:
		r.askCanary(id, c, f, e)
	}
}

func (r *Router) endCanaryWait(id CallID, c *call, e *Effects) {
	c.awaitsCanaryTurn = false
	r.admitAfterCanary(id, c, e)
}

// canaryCoordinator is the box that says whose turn it is: the first by hash of those that stay, so that all ask
// the same one; this box where there is none.
func (r *Router) canaryCoordinator(f crash.Fingerprint) units.BoxID {
	return cmp.Or(rendezvousOwner(f.String(), withoutLeaving(r.rank.boxes)), r.settings.Box)
}

// giveTurn gives the turn away, unless a canary is out.
func (b *canaryBook) giveTurn(f crash.Fingerprint, now units.Instant) bool {
	s := b.find(f)
	if s == nil || now < s.busyUntil {
		return false
	}
	s.busyUntil = now.Add(canaryTerm)
	return true
}

// receiveCanary takes a message of another box.
func (r *Router) receiveCanary(from units.BoxID, m *CanaryMessage, e *Effects) {
	b := &r.crashes.canaries
	if !r.enabled(Canaries) {
		return
	}
	for _, f := range m.Calls[:min(len(m.Calls), maxSuspicions)] {
		switch m.Kind {
		case SuspectCalls:
			b.noteCrash(f, r.now)
		case ClearCall:
			b.drop(f)
		case AskCanary:
			r.answerCanary(from, f, m.Call, e)
		case SendCanary:
			r.takeCanaryTurn(f, m.Call, e)
		}
	}
	if m.Kind == SuspectCalls || m.Kind == ClearCall {
		r.tellCanaries(m, e)
	}
}

// answerCanary lets another box's call go where it is its turn. A coordinator that hasn't heard of the crash
// takes the asking box's word; one that says nothing is asked again.
func (r *Router) answerCanary(from units.BoxID, f crash.Fingerprint, id CallID, e *Effects) {
	b := &r.crashes.canaries
	b.dropOld(r.now)
	if b.find(f) == nil {
		b.suspect(f, r.now)
	}
	if b.giveTurn(f, r.now) {
		e.add(Effect{Kind: SendCanaryMessage, Peer: from, Canary: &CanaryMessage{Kind: SendCanary, Calls: []crash.Fingerprint{f}, Call: id}})
	}
}

// takeCanaryTurn sends the call whose turn it is. One that has ended leaves its turn to nobody until it runs out.
func (r *Router) takeCanaryTurn(f crash.Fingerprint, id CallID, e *Effects) {
	if c := r.calls.Get(id); c != nil && c.awaitsCanaryTurn && f.Matches(c.identity) {
		r.crashes.canaries.status.Sent++
		r.endCanaryWait(id, c, e)
	}
}
