package replication

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// snapshotRetryHeartbeats is the number of heartbeat intervals after which an unanswered snapshot
// is sent again.
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

// lostQuorum reports whether a quorum hasn't answered the leader for an
// election timeout, in which case another leader may have been elected.
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

// HasLease reports whether this node can be sure that no other leader exists and
// that it knows all entries that were ever committed.
func (n *Node) HasLease(now units.Instant) bool {
	if !n.IsLeader() || !n.termCommitted() {
		return false
	}
	// A tenth of the election timeout allows for clocks that run at different speeds.
	leaseDuration := n.settings.ElectionTimeout * 9 / 10
	return now.Sub(n.quorumContact(now)) < leaseDuration
}

// CaughtUp reports whether this node has committed an entry of the current leader's term,
// and so all entries that were committed before it.
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

// shouldSendTo reports whether the leader sends appends to a replica: always to those that the
// settings or the membership name, and to others while they are in contact.
func (n *Node) shouldSendTo(now units.Instant, p *progress) bool {
	if n.settings.Growth == nil || n.hasMember(p.id) {
		return true
	}
	return p.incarnation != "" && now.Sub(p.lastReceived) < nonVoterTimeout
}

// nonVoterTimeout is the time without a message after which a leader stops sending to a replica
// that doesn't vote.
const nonVoterTimeout = 5 * time.Second

// sendPending sends followers the entries and the commit index that they haven't been sent yet,
// unless too many appends are in flight to them.
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
		// A replica that learns of a commit also learns which acknowledgements it is based on.
		Acknowledged: n.acknowledgementsFor(p, now),
	}}
	e.Sends = append(e.Sends, m)
	// Entries are assumed to arrive; a rejection moves next back.
	p.next += units.Index(len(entries))
}

// resendAfterRejection sends the follower an append that matches its log. A follower that waits for
// a snapshot rejects all appends until it has arrived; answering those would only cause more of them.
func (n *Node) resendAfterRejection(now units.Instant, p *progress, e *Effects) {
	if _, kept := n.log.term(p.next - 1); !kept && n.snapshotInFlight(now, p) {
		return
	}
	n.sendAppend(now, p, e)
}

func (n *Node) snapshotInFlight(now units.Instant, p *progress) bool {
	return p.snapshotSentAt != 0 && now.Sub(p.snapshotSentAt) < snapshotRetryHeartbeats*n.settings.Heartbeat
}

// sendSnapshot sends the snapshot or, while one is in flight, an empty append that
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

// requiredCopies returns how many voters must have synced an entry before it is committed. A new
// cluster may have fewer voters than MinCopies; it commits nothing until it has grown to that
// number.
func (n *Node) requiredCopies() int {
	return max(n.quorum(), n.settings.MinCopies)
}

// advanceCommit moves the commit index to the last entry that enough voters have synced.
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
	// Followers are sent the commit index at once, not only with the next heartbeat.
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

// Propose appends commands to the log. It returns false, without appending any, when this node
// isn't the leader.
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
	n.log.append(entry)
	n.adoptMembership(entry)
	n.writeEntries([]*wire.Entry{entry}, e)
}

// TransferLeadership asks the follower with the most complete log to start an election, and steps
// down. It returns false when this node isn't the leader or no voter was recently in contact.
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
	// As this node sends no more heartbeats, the others elect a leader even if the
	// successor doesn't receive the request.
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
