package replication

import (
	"math/rand/v2"
	"time"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// role is a replica's role in its term.
type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

var roleNames = map[role]string{
	follower:     "follower",
	preCandidate: "pre-candidate",
	candidate:    "candidate",
	leader:       "leader",
}

// deferredSend is a message that must not be sent before a write is synced.
type deferredSend struct {
	after    WriteSequence
	envelope *wire.Envelope
}

// Node is the state of one control replica in the replicated log.
type Node struct {
	settings Settings
	random   *rand.Rand

	term       units.Term
	vote       units.ReplicaID
	log        *entryLog
	membership membershipState

	role     role
	leaderID units.ReplicaID
	peers    map[units.ReplicaID]*progress
	// peerIDs holds the peers' ids in the order in which they were added.
	peerIDs []units.ReplicaID
	// votes and rejections are the answers to the vote that this node has last requested.
	votes      map[units.ReplicaID]bool
	rejections map[units.ReplicaID]bool
	// leaderSince is when this node last became the leader.
	leaderSince units.Instant
	// termStart is the index of the leader's first entry in its term.
	termStart units.Index

	electionAt  units.Instant
	heartbeatAt units.Instant
	// candidateSince is when this node last became a candidate.
	candidateSince units.Instant
	// presenceInterval is the current interval between presence requests of a replica without a cluster.
	presenceInterval time.Duration
	// lastLeaderContact is when a leader's message last arrived. For an election timeout after it no
	// vote is granted, which guarantees the leader's lease.
	lastLeaderContact units.Instant
	// acksVersion counts the changes of the voters' known acknowledgements.
	acksVersion uint64
	// leaseHolder is the process of the last leader whose lease this replica may have supported; nil
	// when that isn't known.
	leaseHolder *wire.LeaderStart

	lastWrite  WriteSequence
	lastSynced WriteSequence
	// stateWrite is the last write of the term, the vote or a snapshot.
	stateWrite WriteSequence
	deferred   []deferredSend
	// logWrites holds the last entry of each log write that isn't synced yet.
	logWrites []logWrite
}

type logWrite struct {
	sequence WriteSequence
	last     units.Index
	term     units.Term
}

// NewNode returns a node that continues from its durable state. A replica with an empty
// DurableState belongs to no cluster yet.
func NewNode(s Settings, d *DurableState, now units.Instant) *Node {
	n := &Node{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, s.Boot)),
		term:     units.Term(d.HardState.Term),
		vote:     units.ReplicaID(d.HardState.Vote),
		log:      newEntryLog(d),
		peers:    map[units.ReplicaID]*progress{},
		// The time of the last leader contact isn't stored; now is the latest it can be.
		lastLeaderContact: now,
	}
	for _, id := range s.Peers {
		n.addPeer(id)
	}
	n.recomputeMembership()
	n.addVotersAsPeers()
	if n.log.lastTerm() == n.term {
		// A replica stores a later term before it answers that term's leader.
		n.leaseHolder = n.log.leaderOf(n.term)
	}
	n.recordStart(now, s.ID, s.Incarnation, s.Boot)
	// An early pre-vote informs the others of this start, which may have ended a lease.
	n.electionAt = now.Add(n.randomBelow(s.ElectionTimeout / preVoteDivisor))
	return n
}

// Tick starts the elections, heartbeats and requests that are due; call it at NextWake or later.
func (n *Node) Tick(now units.Instant, e *Effects) {
	if !n.formed() {
		n.requestPresence(now, e)
		return
	}
	n.recordLags(now)
	if n.role == leader {
		n.leaderTick(now, e)
		return
	}
	if now >= n.electionAt {
		n.startPreVote(now, e)
	}
}

// NextWake returns the latest time at which Tick must be called.
func (n *Node) NextWake() units.Instant {
	if n.role == leader || !n.formed() {
		return n.heartbeatAt
	}
	return n.electionAt
}

// WritesSynced records that all writes up to and including a sequence are synced.
func (n *Node) WritesSynced(now units.Instant, s WriteSequence, e *Effects) {
	n.lastSynced = max(n.lastSynced, s)
	for len(n.logWrites) > 0 && n.logWrites[0].sequence <= n.lastSynced {
		w := n.logWrites[0]
		n.logWrites = n.logWrites[1:]
		// The synced entry may have been replaced since.
		if term, ok := n.log.term(w.last); ok && term == w.term {
			n.log.synced = max(n.log.synced, w.last)
		}
	}
	n.releaseDeferred(e)
	switch n.role {
	case leader:
		n.advanceCommit(now, e)
	case candidate:
		n.awaitVotes(now)
	}
}

// stateSynced reports whether the term, the vote and the snapshot are on this replica's disk.
func (n *Node) stateSynced() bool { return n.stateWrite <= n.lastSynced }

func (n *Node) releaseDeferred(e *Effects) {
	kept := n.deferred[:0]
	for _, g := range n.deferred {
		if g.after <= n.lastSynced {
			e.Sends = append(e.Sends, g.envelope)
			continue
		}
		kept = append(kept, g)
	}
	n.deferred = kept
}

// Receive processes a message from another replica.
func (n *Node) Receive(now units.Instant, m *wire.Envelope, e *Effects) {
	p := n.senderOf(m)
	if p == nil || !n.admit(now, p, m, e) {
		return
	}
	n.dispatch(now, p, m, e)
	n.recordLags(now)
}

// admit reports whether a sender's messages may be processed, and refuses the sender if not.
func (n *Node) admit(now units.Instant, p *progress, m *wire.Envelope, e *Effects) bool {
	if n.formed() && m.Cluster != "" && m.Cluster != n.membership.current.Cluster {
		n.refuseForeignCluster(p.id, m, e)
		return false
	}
	incarnation := units.Incarnation(m.Incarnation)
	if p.incarnation == incarnation && m.Boot < p.boot {
		n.refuse(p.id, m, "its disk holds an older copy: a later start of it has been seen", e)
		return false
	}
	isNew := true
	if p.incarnation != incarnation {
		p.reset(n.log.last() + 1)
		isNew = p.replaceIncarnation(incarnation)
	}
	p.boot = m.Boot
	if isNew {
		n.recordStart(now, p.id, p.incarnation, p.boot)
	}
	if n.lostAcknowledgedEntries(p, m) {
		n.refuse(p.id, m, "its disk holds an older copy: it acknowledged more than it holds now", e)
		return false
	}
	p.lastReceived = now
	return true
}

// refuseForeignCluster refuses a member of another cluster. Only a cluster with a commit after its
// formation refuses: of two clusters that formed at once, the one without a quorum is given up.
func (n *Node) refuseForeignCluster(to units.ReplicaID, m *wire.Envelope, e *Effects) {
	if n.log.commit > firstIndex {
		n.refuse(to, m, "they belong to cluster "+n.membership.current.Cluster+", this one to "+m.Cluster, e)
	}
}

// refuse reports to a sender why its messages are rejected, which stops it. The refusal names the boot
// and incarnation of the message, so that a later start, or one with another disk, ignores it.
func (n *Node) refuse(to units.ReplicaID, refused *wire.Envelope, reason string, e *Effects) {
	m := n.envelope(to)
	m.Body = &wire.Envelope_Refusal{Refusal: &wire.Refusal{Reason: reason, Boot: refused.Boot, Incarnation: refused.Incarnation}}
	e.Sends = append(e.Sends, m)
}

func (n *Node) dispatch(now units.Instant, p *progress, m *wire.Envelope, e *Effects) {
	switch b := m.Body.(type) {
	case *wire.Envelope_VoteRequest:
		n.receiveVoteRequest(now, p, b.VoteRequest, e)
	case *wire.Envelope_VoteResponse:
		n.receiveVoteResponse(now, p, b.VoteResponse, e)
	case *wire.Envelope_AppendRequest:
		n.receiveAppend(now, p, b.AppendRequest, e)
	case *wire.Envelope_AppendResponse:
		n.receiveAppendResponse(now, p, b.AppendResponse, e)
	case *wire.Envelope_SnapshotRequest:
		n.receiveSnapshot(now, p, b.SnapshotRequest, e)
	case *wire.Envelope_TimeoutNow:
		n.receiveTimeoutNow(now, b.TimeoutNow, e)
	case *wire.Envelope_Presence:
		n.receivePresence(now, p, b.Presence, e)
	case *wire.Envelope_FormCluster:
		n.receiveFormCluster(now, b.FormCluster, e)
	case *wire.Envelope_Refusal:
		n.receiveRefusal(b.Refusal, e)
	}
}

func (n *Node) receiveRefusal(r *wire.Refusal, e *Effects) {
	if r.Boot != n.settings.Boot || r.Incarnation != string(n.settings.Incarnation) {
		return
	}
	e.Halt = fault.New(fault.ForeignData,
		"move the data folder away and start with an empty one; the replica then copies the state from the others",
		"the other replicas refuse this one: %s", r.Reason)
}

func (n *Node) envelope(to units.ReplicaID) *wire.Envelope {
	m := &wire.Envelope{
		From:        string(n.settings.ID),
		To:          string(to),
		Incarnation: string(n.settings.Incarnation),
		Boot:        n.settings.Boot,
	}
	if n.formed() {
		m.Cluster = n.membership.current.Cluster
	}
	return m
}

// sendAfterSync sends a message once every write issued so far is synced.
func (n *Node) sendAfterSync(m *wire.Envelope, e *Effects) {
	if n.lastWrite <= n.lastSynced {
		e.Sends = append(e.Sends, m)
		return
	}
	n.deferred = append(n.deferred, deferredSend{after: n.lastWrite, envelope: m})
}

func (n *Node) newWrite(e *Effects) *Write {
	n.lastWrite++
	w := &Write{Sequence: n.lastWrite}
	e.Writes = append(e.Writes, w)
	return w
}

func (n *Node) writeHardState(e *Effects) {
	w := n.newWrite(e)
	w.HardState = &wire.HardState{Term: uint64(n.term), Vote: string(n.vote)}
	n.stateWrite = w.Sequence
}

func (n *Node) writeEntries(entries []*wire.Entry, e *Effects) {
	w := n.newWrite(e)
	w.Entries = entries
	last := entries[len(entries)-1]
	n.logWrites = append(n.logWrites, logWrite{
		sequence: w.Sequence,
		last:     units.Index(last.Index),
		term:     units.Term(last.Term),
	})
}

func (n *Node) resetElection(now units.Instant) {
	n.electionAt = now.Add(n.settings.ElectionTimeout + n.randomBelow(n.settings.ElectionTimeout))
}

func (n *Node) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(limit)))
}

// IsLeader reports whether this node is the leader, as far as it knows.
func (n *Node) IsLeader() bool { return n.role == leader }

// Leader returns the leader of this term, or an empty id when it isn't known.
func (n *Node) Leader() units.ReplicaID { return n.leaderID }

// Term returns the current term.
func (n *Node) Term() units.Term { return n.term }

// Formed reports whether this replica belongs to a cluster.
func (n *Node) Formed() bool { return n.formed() }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() units.Index { return n.log.commit }

// LastEntry returns the term and the index of the last entry in the log, committed or not.
func (n *Node) LastEntry() (units.Term, units.Index) { return n.log.lastTerm(), n.log.last() }

// EntriesAfterSnapshot returns the entries behind the snapshot, committed or not, of a node that has just been
// made from a disk; one that has run may keep earlier ones for slow followers.
func (n *Node) EntriesAfterSnapshot() []*wire.Entry { return n.log.entries }

// Status is a node's state as written to the dump.
type Status struct {
	Role        string            `json:"role"`
	Term        units.Term        `json:"term"`
	Leader      units.ReplicaID   `json:"leader"`
	Incarnation units.Incarnation `json:"incarnation"`
	Boot        uint64            `json:"boot"`
	Formed      bool              `json:"formed"`
	Voter       bool              `json:"voter"`
	Cluster     string            `json:"cluster,omitempty"`
	LastIndex   units.Index       `json:"lastIndex"`
	Commit      units.Index       `json:"commit"`
	Synced      units.Index       `json:"synced"`
	Snapshot    units.Index       `json:"snapshot"`
	Peers       []PeerStatus      `json:"peers"`
}

// PeerStatus is what a node knows of another replica.
type PeerStatus struct {
	ID          units.ReplicaID   `json:"id"`
	Incarnation units.Incarnation `json:"incarnation,omitempty"`
	Voter       bool              `json:"voter"`
	Match       units.Index       `json:"match"`
	// Acknowledged is the last committed index that the replica is known to have acknowledged, to
	// this leader or an earlier one.
	Acknowledged units.Index `json:"acknowledged"`
	// SinceReceived is the time since its last message.
	SinceReceived time.Duration `json:"silence"`
	Contacted     bool          `json:"heard"`
}

// Status returns the node's state at the given time.
func (n *Node) Status(now units.Instant) Status {
	s := Status{
		Role: roleNames[n.role], Term: n.term, Leader: n.leaderID,
		Incarnation: n.settings.Incarnation, Boot: n.settings.Boot,
		Formed: n.formed(), Voter: n.isVoter(n.self()),
		LastIndex: n.log.last(), Commit: n.log.commit, Synced: n.log.synced,
	}
	if n.formed() {
		s.Cluster = n.membership.current.Cluster
	}
	if n.log.snapshot != nil {
		s.Snapshot = units.Index(n.log.snapshot.Index)
	}
	for _, id := range n.peerIDs {
		p := n.peers[id]
		s.Peers = append(s.Peers, PeerStatus{
			ID: id, Incarnation: p.incarnation, Match: p.match, Acknowledged: p.acknowledged.index,
			Voter:         n.isVoter(voter{id: id, incarnation: p.incarnation}),
			SinceReceived: now.Sub(p.lastReceived), Contacted: p.incarnation != "",
		})
	}
	return s
}
