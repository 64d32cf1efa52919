package replication

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// snapshotRetryHeartbeats is how many heartbeats a snapshot may take before it is sent
// again.
const snapshotRetryHeartbeats = 20

func (n *Node) leaderTick(now units.Instant, e *Effects) {
	if n.lostQuorum(now) {
		n.becomeFollower(now, n.term, "", e)
		return
	}
	if now >= n.heartbeatAt {
		n.heartbeatAt = now.Add(n.settings.Heartbeat)
		n.broadcast(now, e)
	}
	n.changeMembership(now, e)
	n.sendPending(now, e)
}

// lostQuorum tells whether the leader has gone without a quorum's answers for
// an election timeout; another may have been elected since.
func (n *Node) lostQuorum(now units.Instant) bool {
	return now >= n.electionAt && now.Sub(n.quorumContact(now)) >= n.settings.ElectionTimeout
}

// quorumContact returns the latest time at which a quorum is known to have
// followed this leader.
func (n *Node) quorumContact(now units.Instant) units.Instant {
	times := make([]units.Instant, 0, len(n.voters()))
	for _, m := range n.voters() {
		times = append(times, n.lastContactWith(voterOf(m), now))
	}
	slices.Sort(times)
	return times[len(times)-n.quorum()]
}

func (n *Node) lastContactWith(v voter, now units.Instant) units.Instant {
	if v == n.self() {
		return now
	}
	p := n.peers[v.id]
	if p == nil || p.incarnation != v.incarnation {
		return 0
	}
	return p.lastContact
}

// HasLease tells whether this node can be sure that no other leader exists and
// that it knows all that was ever committed.
func (n *Node) HasLease(now units.Instant) bool {
	if !n.IsLeader() || !n.termCommitted() {
		return false
	}
	// A tenth is kept back for clocks that run at different speeds.
	leaseDuration := n.settings.ElectionTimeout * 9 / 10
	return now.Sub(n.quorumContact(now)) < leaseDuration
}

// CaughtUp tells whether this node has committed an entry of the present leader's term,
// and so all that was committed before it.
func (n *Node) CaughtUp() bool {
	term, kept := n.log.term(n.log.commit)
	return n.leaderID != "" && kept && term == n.term
}

// broadcast sends every other replica an append request, empty or not.
func (n *Node) broadcast(now units.Instant, e *Effects) {
	for _, id := range n.peerIDs {
		if p := n.peers[id]; n.shouldSendTo(now, p) {
			n.sendAppend(now, p, e)
		}
	}
}

// shouldSendTo tells whether a replica is worth sending to: every one that the
// settings or the membership name, and others as long as they are heard.
func (n *Node) shouldSendTo(now units.Instant, p *progress) bool {
	if n.settings.Growth == nil || n.hasMember(p.id) {
		return true
	}
	return p.incarnation != "" && now.Sub(p.lastReceived) < nonVoterTimeout
}

// nonVoterTimeout is how long a replica that doesn't vote may be silent before a leader
// stops sending to it.
const nonVoterTimeout = 5 * time.Second

// sendPending sends the entries and the commit that followers haven't been sent yet, unless they
// have still to answer what they were sent.
func (n *Node) sendPending(now units.Instant, e *Effects) {
	for _, id := range n.peerIDs {
		p := n.peers[id]
		lacks := p.next <= n.log.last() || p.sentCommit < n.log.commit
		if p.incarnation != "" && lacks && !p.inFlight.full(now, n.settings.Heartbeat) && n.shouldSendTo(now, p) {
			n.sendAppend(now, p, e)
		}
	}
}

func (n *Node) sendAppend(now units.Instant, p *progress, e *Effects) {
	p.inFlight.add(now)
	p.sentCommit = n.log.commit
	previous := p.next - 1
	term, kept := n.log.term(previous)
	if !kept {
		n.sendSnapshot(now, p, e)
		return
	}
	entries := n.log.entriesFrom(p.next)
	m := n.envelope(p.id)
	m.Body = &wire.Envelope_AppendRequest{AppendRequest: &wire.AppendRequest{
		Term: uint64(n.term), PrevIndex: uint64(previous), PrevTerm: uint64(term),
		Commit: uint64(n.log.commit), Entries: entries, Round: uint64(now),
		// Whoever learns of a commit knows on whose word it rests.
		Acknowledged: n.acknowledgementsFor(p, now),
	}}
	e.Sends = append(e.Sends, m)
	// What was sent is taken as received; a rejection puts next back.
	p.next += units.Index(len(entries))
}

// resendAfterRejection answers a rejection. A follower that waits for a snapshot rejects
// everything until it has come; answering each of those would only feed it more.
func (n *Node) resendAfterRejection(now units.Instant, p *progress, e *Effects) {
	if _, kept := n.log.term(p.next - 1); !kept && n.snapshotInFlight(now, p) {
		return
	}
	n.sendAppend(now, p, e)
}

func (n *Node) snapshotInFlight(now units.Instant, p *progress) bool {
	return p.snapshotSentAt != 0 && now.Sub(p.snapshotSentAt) < snapshotRetryHeartbeats*n.settings.Heartbeat
}

// sendSnapshot sends the snapshot, and between two of them an empty append that
// keeps the follower from starting an election.
func (n *Node) sendSnapshot(now units.Instant, p *progress, e *Effects) {
	m := n.envelope(p.id)
	if n.snapshotInFlight(now, p) {
		s := n.log.snapshot
		m.Body = &wire.Envelope_AppendRequest{AppendRequest: &wire.AppendRequest{
			Term: uint64(n.term), PrevIndex: s.Index, PrevTerm: s.Term,
			Commit: uint64(n.log.commit), Round: uint64(now),
		}}
		e.Sends = append(e.Sends, m)
		return
	}
	p.snapshotSentAt = now
	m.Body = &wire.Envelope_SnapshotRequest{SnapshotRequest: &wire.SnapshotRequest{
		Term: uint64(n.term), Snapshot: n.log.snapshot, Round: uint64(now),
	}}
	e.Sends = append(e.Sends, m)
}

func (n *Node) receiveAppendResponse(now units.Instant, p *progress, r *wire.AppendResponse, e *Effects) {
	if units.Term(r.Term) > n.term {
		n.becomeFollower(now, units.Term(r.Term), "", e)
		return
	}
	if n.role != leader || units.Term(r.Term) < n.term {
		return
	}
	p.lastContact = max(p.lastContact, units.Instant(r.Round))
	p.inFlight.complete(units.Instant(r.Round))
	p.recordAcksDelivered(units.Instant(r.Round))
	match := units.Index(r.Match)
	if r.Rejected {
		p.next = max(p.match+1, min(match+1, n.log.last()+1))
		n.resendAfterRejection(now, p, e)
		return
	}
	if match > p.match {
		p.match = match
		p.next = max(p.next, match+1)
		n.advanceCommit(now, e)
		n.changeMembership(now, e)
	}
	n.recordAcknowledged(p)
	n.sendPending(now, e)
}

// requiredCopies is how many voters must have synced an entry before it is committed. A
// young cluster may have fewer voters than requiredCopies are asked for; then all of them
// must, and nothing is committed before the cluster has grown.
func (n *Node) requiredCopies() int {
	return max(n.quorum(), n.settings.MinCopies)
}

// advanceCommit moves the commit index to what enough voters have synced.
func (n *Node) advanceCommit(now units.Instant, e *Effects) {
	matches := make([]units.Index, 0, len(n.voters()))
	for _, m := range n.voters() {
		matches = append(matches, n.matchOf(voterOf(m)))
	}
	if len(matches) < n.requiredCopies() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.requiredCopies()]
	term, kept := n.log.term(index)
	if index <= n.log.commit || !kept || term != n.term {
		return
	}
	n.commitTo(index, e)
	for _, p := range n.peers {
		n.recordAcknowledged(p)
	}
	n.changeMembership(now, e)
	// Followers learn of the commit at once, not with the next heartbeat.
	n.sendPending(now, e)
}

func (n *Node) matchOf(v voter) units.Index {
	if v == n.self() {
		return n.log.synced
	}
	p := n.peers[v.id]
	if p == nil || p.incarnation != v.incarnation {
		return 0
	}
	return p.match
}

func (n *Node) commitTo(index units.Index, e *Effects) {
	for i := n.log.commit + 1; i <= index; i++ {
		e.Committed = append(e.Committed, n.log.entryAt(i))
	}
	n.log.commit = max(n.log.commit, index)
}

// Propose adds commands to the log. It returns false when this node doesn't
// lead; nothing was added then.
func (n *Node) Propose(now units.Instant, commands [][]byte, e *Effects) bool {
	if !n.IsLeader() {
		return false
	}
	for _, c := range commands {
		n.appendEntry(&wire.Entry{Command: c}, e)
	}
	n.sendPending(now, e)
	return true
}

func (n *Node) appendEntry(entry *wire.Entry, e *Effects) {
	entry.Index = uint64(n.log.last() + 1)
	entry.Term = uint64(n.term)
	n.log.entries = append(n.log.entries, entry)
	n.adoptMembership(entry)
	n.writeEntries([]*wire.Entry{entry}, e)
}

// TransferLeadership asks the follower that has most of the log to take over. From then
// on this node leads no more in its term. It returns false when it doesn't lead
// or nobody else can.
func (n *Node) TransferLeadership(now units.Instant, e *Effects) bool {
	if !n.IsLeader() {
		return false
	}
	successor := n.pickSuccessor(now)
	if successor == nil {
		return false
	}
	n.sendAppend(now, successor, e)
	m := n.envelope(successor.id)
	m.Body = &wire.Envelope_TimeoutNow{TimeoutNow: &wire.TimeoutNow{Term: uint64(n.term)}}
	e.Sends = append(e.Sends, m)
	// Without heartbeats from here the others elect somebody even if the heir
	// never hears of it.
	n.becomeFollower(now, n.term, "", e)
	return true
}

func (n *Node) pickSuccessor(now units.Instant) *progress {
	var successor *progress
	for _, id := range n.peerIDs {
		p := n.peers[id]
		recent := now.Sub(p.lastContact) < n.settings.ElectionTimeout
		if !recent || !n.isVoter(voter{id: id, incarnation: p.incarnation}) {
			continue
		}
		if successor == nil || p.match > successor.match {
			successor = p
		}
	}
	return successor
}

func (n *Node) receiveTimeoutNow(now units.Instant, r *wire.TimeoutNow, e *Effects) {
	if units.Term(r.Term) != n.term || n.role == leader || !n.isVoter(n.self()) {
		return
	}
	n.startElection(now, true, e)
}
