package replication

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// startPreVote asks the other voters whether this replica could win an election, before it raises
// the term. A replica that was disconnected thus doesn't disturb the leader on its return.
func (n *Node) startPreVote(now units.Instant, e *Effects) {
	n.electionAt = now.Add(n.settings.ElectionTimeout/preVoteDivisor + n.electionJitter())
	n.leaderID = ""
	if !n.stateSynced() {
		// The last election isn't over: this replica's vote hasn't been sent yet.
		return
	}
	if !n.isVoter(n.self()) {
		n.announcePresence(e)
		return
	}
	if n.role == preCandidate {
		n.announcePresence(e)
	}
	n.role = preCandidate
	n.requestVotes(now, true, false, e)
}

const (
	// preVoteDivisor divides the election timeout into the shortest time between two pre-votes. They
	// change no state, so they may be frequent.
	preVoteDivisor = 8
	// jitterDivisor divides the election timeout into the interval over which the starts of
	// simultaneous elections are spread. It is several times the duration of an election.
	jitterDivisor = 2
)

// electionJitter returns a random delay that keeps two replicas from becoming candidates at the same
// time.
func (n *Node) electionJitter() time.Duration {
	return n.randomBelow(n.settings.ElectionTimeout / jitterDivisor)
}

// recordStart records that a replica has started. If that replica held the lease, the lease has
// ended, since it is kept in memory only, and the next election needn't wait for its expiry.
func (n *Node) recordStart(now units.Instant, id units.ReplicaID, incarnation units.Incarnation, boot uint64) {
	l := n.leaseHolder
	if l == nil || l.Id != string(id) || l.Incarnation == string(incarnation) && l.Boot >= boot {
		return
	}
	n.leaseHolder = nil
	n.lastLeaderContact = now.Add(-n.settings.ElectionTimeout)
	n.electionAt = min(n.electionAt, now.Add(n.electionJitter()))
}

// announcePresence sends this replica's presence to all peers. It is used by a replica without a leader
// that isn't a voter, or whose pre-vote failed: it may have a new incarnation or an address that no peer
// knows, or have lost its vote to a replica that it doesn't know and that leads now.
func (n *Node) announcePresence(e *Effects) {
	if n.settings.Growth == nil {
		return
	}
	for _, id := range n.peerIDs {
		n.sendPresence(id, true, e)
	}
}

func (n *Node) startElection(now units.Instant, transfer bool, e *Effects) {
	n.electionAt = now.Add(n.settings.ElectionTimeout/2 + n.randomBelow(n.settings.ElectionTimeout))
	n.candidateSince = now
	n.role = candidate
	n.term++
	n.vote = n.settings.ID
	n.leaderID = ""
	n.writeHardState(e)
	n.requestVotes(now, false, transfer, e)
}

// awaitVotes gives the other voters time to sync their votes, by the time that this candidate's own vote took: they
// may first complete another write.
func (n *Node) awaitVotes(now units.Instant) {
	if !n.stateSynced() {
		return
	}
	took := now.Sub(n.candidateSince)
	if until := now.Add(2 * took); until > n.electionAt {
		n.electionAt = until.Add(n.electionJitter())
	}
}

func (n *Node) requestVotes(now units.Instant, pre, transfer bool, e *Effects) {
	n.votes = map[units.ReplicaID]bool{n.settings.ID: true}
	n.rejections = map[units.ReplicaID]bool{}
	r := &wire.VoteRequest{
		Term:      uint64(n.term),
		LastIndex: uint64(n.log.last()),
		LastTerm:  uint64(n.log.lastTerm()),
		Pre:       pre,
		Transfer:  transfer,
	}
	if pre {
		r.Term++
	}
	for _, m := range n.voters() {
		if units.ReplicaID(m.Id) == n.settings.ID {
			continue
		}
		out := n.envelope(units.ReplicaID(m.Id))
		out.Body = &wire.Envelope_VoteRequest{VoteRequest: r}
		// The candidate's own vote counts, so it must be synced before the request is sent.
		n.sendAfterSync(out, e)
	}
	n.countVotes(now, e)
}

func (n *Node) receiveVoteRequest(now units.Instant, p *progress, r *wire.VoteRequest, e *Effects) {
	if !n.formed() {
		return
	}
	term := units.Term(r.Term)
	if !r.Transfer && n.HasRecentLeader(now) {
		// The response carries the current term, so that a candidate with an earlier one updates its own.
		n.sendVoteResponse(p.id, r, false, e)
		return
	}
	if !r.Pre && term > n.term {
		n.becomeFollower(now, term, "", e)
	}
	granted := n.canGrantVote(p.id, r)
	if granted && !r.Pre {
		n.vote = p.id
		n.writeHardState(e)
		n.resetElection(now)
	}
	n.sendVoteResponse(p.id, r, granted, e)
}

// HasRecentLeader reports whether a leader was in contact within the time in which its
// lease may still be valid.
func (n *Node) HasRecentLeader(now units.Instant) bool {
	if n.role == leader {
		return n.quorumContact(now).Add(n.settings.ElectionTimeout) > now
	}
	return now.Sub(n.lastLeaderContact) < n.settings.ElectionTimeout
}

func (n *Node) canGrantVote(from units.ReplicaID, r *wire.VoteRequest) bool {
	if !n.log.upToDate(units.Index(r.LastIndex), units.Term(r.LastTerm)) {
		return false
	}
	if r.Pre {
		return units.Term(r.Term) > n.term
	}
	if units.Term(r.Term) < n.term {
		return false
	}
	return n.vote == "" || n.vote == from
}

func (n *Node) sendVoteResponse(to units.ReplicaID, r *wire.VoteRequest, granted bool, e *Effects) {
	m := n.envelope(to)
	answer := &wire.VoteResponse{Term: uint64(n.term), Pre: r.Pre, Granted: granted}
	if r.Pre && granted {
		answer.Term = r.Term
	}
	m.Body = &wire.Envelope_VoteResponse{VoteResponse: answer}
	n.sendAfterSync(m, e)
}

func (n *Node) receiveVoteResponse(now units.Instant, p *progress, r *wire.VoteResponse, e *Effects) {
	if !r.Granted {
		if units.Term(r.Term) > n.term {
			n.becomeFollower(now, units.Term(r.Term), "", e)
			return
		}
		n.recordVoteRejection(now, p, r)
		return
	}
	if !n.isCurrentElection(r) || !n.isVoter(voter{id: p.id, incarnation: p.incarnation}) {
		return
	}
	n.votes[p.id] = true
	n.countVotes(now, e)
}

// recordVoteRejection records a rejected vote and abandons an election that can no longer be won,
// such as one among several simultaneous candidates. The next one starts without waiting for the
// timeout.
func (n *Node) recordVoteRejection(now units.Instant, p *progress, r *wire.VoteResponse) {
	if r.Pre || !n.isCurrentElection(r) || !n.isVoter(voter{id: p.id, incarnation: p.incarnation}) {
		return
	}
	n.rejections[p.id] = true
	if len(n.rejections) > len(n.voters())-n.quorum() {
		n.role = follower
		n.electionAt = now.Add(n.electionJitter())
	}
}

// isCurrentElection reports whether a response belongs to the vote that this replica has last
// requested.
func (n *Node) isCurrentElection(r *wire.VoteResponse) bool {
	if r.Pre {
		return n.role == preCandidate && units.Term(r.Term) == n.term+1
	}
	return n.role == candidate && units.Term(r.Term) == n.term
}

func (n *Node) countVotes(now units.Instant, e *Effects) {
	if len(n.votes) < n.quorum() {
		return
	}
	if n.role == preCandidate {
		n.startElection(now, false, e)
		return
	}
	n.becomeLeader(now, e)
}

func (n *Node) becomeFollower(now units.Instant, term units.Term, leaderID units.ReplicaID, e *Effects) {
	n.role = follower
	n.leaderID = leaderID
	if term > n.term {
		n.term = term
		n.vote = ""
		n.writeHardState(e)
	}
	n.resetElection(now)
}

func (n *Node) becomeLeader(now units.Instant, e *Effects) {
	n.role = leader
	n.leaderSince = now
	n.leaderID = n.settings.ID
	for _, p := range n.peers {
		p.reset(n.log.last() + 1)
		// The votes show that a quorum was reachable a moment ago. The followers have
		// one election timeout for their first responses to the new leader.
		p.lastContact = 0
	}
	n.termStart = n.log.last() + 1
	n.electionAt = now.Add(n.settings.ElectionTimeout)
	n.heartbeatAt = now
	// Committing an entry of the new term commits all entries before it.
	n.appendEntry(&wire.Entry{Leader: &wire.LeaderStart{
		Id: string(n.settings.ID), Incarnation: string(n.settings.Incarnation), Boot: n.settings.Boot,
	}}, e)
	n.leaderTick(now, e)
}

// termCommitted reports whether the leader has committed an entry of its own
// term, and so knows all entries that were committed before.
func (n *Node) termCommitted() bool { return n.log.commit >= n.termStart }
