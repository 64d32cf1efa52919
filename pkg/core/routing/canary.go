package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// Until a quarantine is decided, each caller of a request that crashes targets costs another
// target. So a box that detects a crash reports the requests that were in flight to all other boxes
// at once, and while these are suspected only one call of each, a canary, is at a target at a time
// over all boxes and callers. An answer to a canary clears the request everywhere, so that a
// harmless request is delayed for about as long as one call of it takes.

const (
	// suspicionDuration is for how long after a crash the requests that were in flight are
	// suspected: three crashes, one after the other, are enough for a quarantine and take less.
	suspicionDuration = 750 * time.Millisecond
	// canaryTimeout is how long a canary's coordinator waits for its result: an answer, or a crash,
	// which is detected once the target's host has refused two probes.
	canaryTimeout = 300 * time.Millisecond
	// verdictDelay is for how long after a crash no canary is sent: the time for a note to reach
	// the leader, which may have enough of them, and for its decision to come back, between
	// regions.
	verdictDelay = 100 * time.Millisecond
	// canaryPollInterval is the time between two requests for a canary grant: a round trip between
	// regions.
	canaryPollInterval = 25 * time.Millisecond
	// maxCanaryWait is the longest time a call waits for a canary grant. It is sent without one
	// then.
	maxCanaryWait = 600 * time.Millisecond
	// callerYieldTime is for how long after a crash the caller of the call requests no grant, so
	// that other callers get it: a crash during another caller's call shows that the request is the
	// cause, whoever sends it.
	callerYieldTime = 250 * time.Millisecond
	// maxSuspicions bounds the requests that are suspected at a time. With more of them, targets
	// crash for another reason.
	maxSuspicions = 32
	// broadcastFanout is the number of boxes to which each box of the broadcast tree forwards a
	// message: connections to all others would cost a small box the time of its calls, and three
	// levels reach 500.
	broadcastFanout = 8
	// broadcastRate bounds the broadcast messages per second, and broadcastBurst how many may be
	// sent at once: a box at which the calls of a failure domain break off must not overload the
	// others.
	broadcastRate  = 500
	broadcastBurst = 1000
)

// CanaryKind is the kind of a CanaryMessage.
type CanaryKind uint8

// The kinds of messages between boxes about canaries.
const (
	// SuspectCalls reports requests that were in flight at a target that crashed.
	SuspectCalls CanaryKind = iota + 1
	// ClearCall reports a request that a target has answered.
	ClearCall
	// RequestCanary requests a grant to send a call of a request from its coordinator.
	RequestCanary
	// GrantCanary is that grant.
	GrantCanary
)

// CanaryMessage is a message between boxes about requests that may crash targets.
type CanaryMessage struct {
	Kind CanaryKind
	// Calls are the requests. Those of a crash include the caller, others stand for any caller.
	Calls []crash.Fingerprint
	// Origin is the box whose message is broadcast; empty for messages between two boxes.
	Origin units.BoxID
	// Call identifies the waiting call at the requesting box.
	Call CallID
}

// PeerCanary is a CanaryMessage received from another box.
type PeerCanary struct {
	From    units.BoxID
	Message CanaryMessage
}

func (*PeerCanary) routingEvent() {}

// suspicion is a request of which one call is sent at a time.
type suspicion struct {
	call  crash.Fingerprint
	until units.Instant
	// canaryUntil is the time until which the coordinator grants no other canary.
	canaryUntil units.Instant
	// lastCrashed is the call of the request that was in flight at the last crash, crashedAt when
	// this box was informed of that crash.
	lastCrashed crash.Fingerprint
	crashedAt   units.Instant
}

// canaryState is a box's state on requests that were in flight at recent crashes.
type canaryState struct {
	suspicions []suspicion
	// fingerprints indexes the calls of suspicions.
	fingerprints fingerprintSet
	broadcasts   tokenBucket
	status       CanaryStatus
}

// CanaryStatus holds the counters that the dump and the metrics show.
type CanaryStatus struct {
	// Suspected counts the requests that were suspected, Cleared those that an answer at this box
	// cleared.
	Suspected uint64 `json:"suspected"`
	Cleared   uint64 `json:"cleared"`
	// Held counts the calls that waited for a grant, Sent the canaries, TimedOut the calls that
	// were sent without a grant after maxCanaryWait.
	Held     uint64 `json:"held"`
	Sent     uint64 `json:"sent"`
	TimedOut uint64 `json:"unsure"`
}

// find returns the suspicion of a request, nil for none.
func (b *canaryState) find(f crash.Fingerprint) *suspicion {
	i := slices.IndexFunc(b.suspicions, func(s suspicion) bool { return s.call == f })
	if i < 0 {
		return nil
	}
	return &b.suspicions[i]
}

// recordCrash suspects a request after a crash, and delays its next canary.
func (b *canaryState) recordCrash(f crash.Fingerprint, now units.Instant) {
	s := b.suspect(f.AnyCaller(), now)
	s.canaryUntil = now.Add(verdictDelay)
	s.lastCrashed, s.crashedAt = f, now
}

// suspect adds or renews the suspicion of a request, so that one call of it is sent at a time from
// now on.
func (b *canaryState) suspect(f crash.Fingerprint, now units.Instant) *suspicion {
	s := b.find(f)
	if s == nil {
		if len(b.suspicions) >= maxSuspicions {
			b.drop(b.suspicions[0].call)
		}
		b.suspicions = append(b.suspicions, suspicion{call: f})
		b.fingerprints.add(f)
		b.status.Suspected++
		s = &b.suspicions[len(b.suspicions)-1]
	}
	s.until = now.Add(suspicionDuration)
	return s
}

// drop ends the suspicion of a request.
func (b *canaryState) drop(f crash.Fingerprint) {
	b.dropIf(func(s suspicion) bool { return s.call == f })
}

func (b *canaryState) dropExpired(now units.Instant) {
	b.dropIf(func(s suspicion) bool { return now >= s.until })
}

func (b *canaryState) dropIf(unwanted func(suspicion) bool) {
	before := len(b.suspicions)
	b.suspicions = slices.DeleteFunc(b.suspicions, unwanted)
	if len(b.suspicions) == before {
		return
	}
	b.fingerprints.clear()
	for _, s := range b.suspicions {
		b.fingerprints.add(s.call)
	}
}

// suspectCrashed suspects the requests of a crash at this box and at all others.
func (r *Router) suspectCrashed(n *crash.Note, e *Effects) {
	if !r.enabled(Canaries) {
		return
	}
	b := &r.crashes.canaries
	var calls []crash.Fingerprint
	for _, x := range n.Suspects {
		b.recordCrash(x.Fingerprint, r.now)
		calls = append(calls, x.Fingerprint)
	}
	r.broadcastCanary(&CanaryMessage{Kind: SuspectCalls, Calls: calls, Origin: r.settings.Box}, e)
}

// broadcastCanary forwards a message to the box's children in the broadcast tree whose root is the
// message's origin, unless that would exceed the rate limit. All boxes derive the same tree from
// the list of boxes.
func (r *Router) broadcastCanary(m *CanaryMessage, e *Effects) {
	n := len(r.rank.boxes)
	root, own := indexOf(m.Origin, r.rank.boxes), r.rank.rank
	if root < 0 || own < 0 {
		return
	}
	first := (own-root+n)%n*broadcastFanout + 1
	last := min(first+broadcastFanout, n)
	if first >= last || !r.crashes.canaries.broadcasts.takeN(r.now, float64(last-first), broadcastRate, broadcastBurst) {
		return
	}
	for k := first; k < last; k++ {
		e.add(Effect{Kind: SendCanaryMessage, Peer: r.rank.boxes[(root+k)%n].ID, Canary: m})
	}
}

// clearSuspicion ends the suspicion of a request that a target has answered.
func (r *Router) clearSuspicion(c *call, e *Effects) {
	b := &r.crashes.canaries
	f, found := b.fingerprints.match(c.identity)
	if !found {
		return
	}
	b.drop(f)
	b.status.Cleared++
	r.broadcastCanary(&CanaryMessage{Kind: ClearCall, Calls: []crash.Fingerprint{f}, Origin: r.settings.Box}, e)
}

// findSuspicion returns the suspected request that a call matches.
func (r *Router) findSuspicion(c *call) (f crash.Fingerprint, found bool) {
	b := &r.crashes.canaries
	if len(b.suspicions) == 0 {
		return f, false
	}
	b.dropExpired(r.now)
	return b.fingerprints.match(c.identity)
}

// holdForCanary holds a new call of a suspected request until it gets a canary grant. It returns
// false if the call may be sent now.
func (r *Router) holdForCanary(id CallID, c *call, e *Effects) bool {
	f, found := r.findSuspicion(c)
	if !found {
		return false
	}
	if r.grantOwnCanary(f, c) {
		return false
	}
	r.crashes.canaries.status.Held++
	c.awaitsCanaryGrant = true
	e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: c.arrived.Add(c.route.callDeadline(c.requestedDeadline, r.settings.MaxDeadline))})
	r.requestCanaryGrant(id, c, f, e)
	return true
}

// grantOwnCanary grants a canary to one of this box's own calls if this box is the coordinator of
// the request and the call needn't wait. It reports whether it did.
func (r *Router) grantOwnCanary(f crash.Fingerprint, c *call) bool {
	b := &r.crashes.canaries
	if r.canaryCoordinator(f) != r.settings.Box || b.yieldsToOtherCallers(f, c, r.now) || !b.grantCanary(f, r.now) {
		return false
	}
	b.status.Sent++
	return true
}

// yieldsToOtherCallers reports whether calls of other callers come first, since this call's own
// caller had one in flight at the last crash.
func (b *canaryState) yieldsToOtherCallers(f crash.Fingerprint, c *call, now units.Instant) bool {
	s := b.find(f)
	return s != nil && now.Sub(s.crashedAt) < callerYieldTime && s.lastCrashed.Matches(c.identity)
}

// requestCanaryGrant requests a grant from the coordinator, and schedules the next request.
func (r *Router) requestCanaryGrant(id CallID, c *call, f crash.Fingerprint, e *Effects) {
	r.timers.Push(timer{at: r.now.Add(canaryPollInterval), call: id, kind: canaryTimer})
	coordinator := r.canaryCoordinator(f)
	if coordinator != r.settings.Box && !r.crashes.canaries.yieldsToOtherCallers(f, c, r.now) {
		e.add(Effect{Kind: SendCanaryMessage, Peer: coordinator, Canary: &CanaryMessage{
			Kind: RequestCanary, Calls: []crash.Fingerprint{f}, Call: id,
		}})
	}
}

// canaryTimerFired sends a waiting call if its request is no longer suspected, if it gets a grant,
// or if it has waited for maxCanaryWait. Otherwise it requests a grant again.
func (r *Router) canaryTimerFired(id CallID, c *call, e *Effects) {
	if !c.awaitsCanaryGrant {
		return
	}
	f, found := r.findSuspicion(c)
	switch {
	case !found:
		r.endCanaryWait(id, c, e)
	case r.now.Sub(c.arrived) >= maxCanaryWait:
		r.crashes.canaries.status.TimedOut++
		r.endCanaryWait(id, c, e)
	case r.grantOwnCanary(f, c):
		r.endCanaryWait(id, c, e)
	default:
		r.requestCanaryGrant(id, c, f, e)
	}
}

func (r *Router) endCanaryWait(id CallID, c *call, e *Effects) {
	c.awaitsCanaryGrant = false
	r.admitAfterCanary(id, c, e)
}

// canaryCoordinator returns the box that grants the canaries of a request: the first by rendezvous
// hashing of the boxes that aren't leaving, so that all boxes determine the same one; this box
// where there is none.
func (r *Router) canaryCoordinator(f crash.Fingerprint) units.BoxID {
	return cmp.Or(rendezvousOwner(f.String(), withoutLeaving(r.rank.boxes)), r.settings.Box)
}

// grantCanary grants a canary of a request, and reports false if another one may still be in
// flight.
func (b *canaryState) grantCanary(f crash.Fingerprint, now units.Instant) bool {
	s := b.find(f)
	if s == nil || now < s.canaryUntil {
		return false
	}
	s.canaryUntil = now.Add(canaryTimeout)
	return true
}

// receiveCanaryMessage handles a message of another box.
func (r *Router) receiveCanaryMessage(from units.BoxID, m *CanaryMessage, e *Effects) {
	b := &r.crashes.canaries
	if !r.enabled(Canaries) {
		return
	}
	for _, f := range m.Calls[:min(len(m.Calls), maxSuspicions)] {
		switch m.Kind {
		case SuspectCalls:
			b.recordCrash(f, r.now)
		case ClearCall:
			b.drop(f)
		case RequestCanary:
			r.grantCanaryToPeer(from, f, m.Call, e)
		case GrantCanary:
			r.acceptCanaryGrant(f, m.Call, e)
		}
	}
	if m.Kind == SuspectCalls || m.Kind == ClearCall {
		r.broadcastCanary(m, e)
	}
}

// grantCanaryToPeer grants a canary to another box's call if no other one is in flight. A
// coordinator that hasn't been informed of the crash trusts the requesting box. It sends no
// refusal, since the box repeats its request.
func (r *Router) grantCanaryToPeer(from units.BoxID, f crash.Fingerprint, id CallID, e *Effects) {
	b := &r.crashes.canaries
	b.dropExpired(r.now)
	if b.find(f) == nil {
		b.suspect(f, r.now)
	}
	if b.grantCanary(f, r.now) {
		e.add(Effect{Kind: SendCanaryMessage, Peer: from, Canary: &CanaryMessage{Kind: GrantCanary, Calls: []crash.Fingerprint{f}, Call: id}})
	}
}

// acceptCanaryGrant sends the call that was granted a canary. If the call has ended, the grant is
// unused until it times out.
func (r *Router) acceptCanaryGrant(f crash.Fingerprint, id CallID, e *Effects) {
	if c := r.calls.Get(id); c != nil && c.awaitsCanaryGrant && f.Matches(c.identity) {
		r.crashes.canaries.status.Sent++
		r.endCanaryWait(id, c, e)
	}
}
