package replication

import (
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// acceptLeader records contact with the leader of a term. It rejects the message and returns false
// if the term is out of date.
func (n *Node) acceptLeader(now units.Instant, p *progress, term units.Term, e *Effects) bool {
	if term < n.term {
		n.sendAppendResponse(p.id, &wire.AppendResponse{Rejected: true}, e)
		return false
	}
	if term > n.term || n.role != follower || n.leaderID != p.id {
		n.becomeFollower(now, term, p.id, e)
	}
	n.lastLeaderContact = now
	if n.leaseHolder == nil || n.leaseHolder.Id != string(p.id) || n.leaseHolder.Boot != p.boot {
		n.leaseHolder = &wire.LeaderStart{Id: string(p.id), Incarnation: string(p.incarnation), Boot: p.boot}
	}
	n.resetElection(now)
	return true
}

func (n *Node) sendAppendResponse(to units.ReplicaID, r *wire.AppendResponse, e *Effects) {
	n.sendAfterSync(n.appendResponse(to, r), e)
}

func (n *Node) appendResponse(to units.ReplicaID, r *wire.AppendResponse) *wire.Envelope {
	r.Term = uint64(n.term)
	m := n.envelope(to)
	m.Body = &wire.Envelope_AppendResponse{AppendResponse: r}
	return m
}

func (n *Node) receiveAppend(now units.Instant, p *progress, r *wire.AppendRequest, e *Effects) {
	if !n.acceptLeader(now, p, units.Term(r.Term), e) {
		return
	}
	n.mergeAcknowledged(r.Acknowledged)
	previous := units.Index(r.PrevIndex)
	if !n.formed() {
		// Before this replica has a snapshot it has no log to append to.
		n.sendAppendResponse(p.id, &wire.AppendResponse{Rejected: true, Round: r.Round}, e)
		return
	}
	term, kept := n.log.term(previous)
	if previous >= n.log.base && (!kept || term != units.Term(r.PrevTerm)) {
		hint := min(previous-1, n.log.last())
		n.sendAppendResponse(p.id, &wire.AppendResponse{Rejected: true, Match: uint64(hint), Round: r.Round}, e)
		return
	}
	n.mergeEntries(r.Entries, e)
	match := previous + units.Index(len(r.Entries))
	n.commitTo(min(units.Index(r.Commit), match, n.log.last()), e)
	response := &wire.AppendResponse{Match: uint64(max(match, n.log.base)), Round: r.Round}
	if len(r.Entries) == 0 && n.stateSynced() {
		n.sendContact(p.id, response, e)
		return
	}
	n.sendAppendResponse(p.id, response, e)
}

// sendContact answers a heartbeat at once, for the entries that are synced. The leader's lease doesn't depend on the
// disks of its followers then.
func (n *Node) sendContact(to units.ReplicaID, r *wire.AppendResponse, e *Effects) {
	r.Match = min(r.Match, uint64(n.log.synced))
	e.Sends = append(e.Sends, n.appendResponse(to, r))
}

func (n *Node) mergeEntries(entries []*wire.Entry, e *Effects) {
	before := n.log.last()
	added := n.log.merge(entries)
	if len(added) == 0 {
		return
	}
	if first := units.Index(added[0].Index); first <= n.log.commit {
		e.Halt = fault.New(fault.Damaged, "keep the data folder for analysis and start with an empty one",
			"the leader's entry %d conflicts with a committed entry", first)
		return
	}
	n.writeEntries(added, e)
	if units.Index(added[0].Index) <= before {
		n.recomputeMembership()
		return
	}
	for _, entry := range added {
		n.adoptMembership(entry)
	}
}

func (n *Node) receiveSnapshot(now units.Instant, p *progress, r *wire.SnapshotRequest, e *Effects) {
	if !n.acceptLeader(now, p, units.Term(r.Term), e) {
		return
	}
	index := units.Index(r.Snapshot.Index)
	term, kept := n.log.term(index)
	switch {
	case !n.formed():
		n.installSnapshot(r.Snapshot, e)
	case index <= n.log.commit:
	case kept && term == units.Term(r.Snapshot.Term):
		// The log holds all that the snapshot covers. The entries after it may have been
		// acknowledged, and replacing the log with a late snapshot would lose them.
		n.commitTo(index, e)
	default:
		n.installSnapshot(r.Snapshot, e)
	}
	n.sendAppendResponse(p.id, &wire.AppendResponse{Match: uint64(max(index, n.log.commit)), Round: r.Round}, e)
}

// installSnapshot replaces the log and the applied state with a snapshot.
func (n *Node) installSnapshot(s *wire.Snapshot, e *Effects) {
	n.log.reset(s)
	n.logWrites = nil
	n.recomputeMembership()
	w := n.newWrite(e)
	w.ResetLog = true
	w.Snapshot = s
	n.stateWrite = w.Sequence
	e.Restored = s
	e.Committed = nil
}

// Compact stores state as the snapshot at the commit index and drops older entries, except for
// the last keep entries, which slow followers may still need.
func (n *Node) Compact(state []byte, keep int, e *Effects) {
	index := n.log.commit
	term, kept := n.log.term(index)
	if !kept {
		return
	}
	s := &wire.Snapshot{
		Index: uint64(index), Term: uint64(term), Membership: n.committedMembership(), State: state,
		Leader: n.log.leaderOf(term),
	}
	n.log.snapshot = s
	w := n.newWrite(e)
	w.Snapshot = s
	if index > units.Index(keep) {
		w.CompactTo = index - units.Index(keep)
		n.log.compact(w.CompactTo)
	}
}

// committedMembership returns the newest membership up to the commit index.
func (n *Node) committedMembership() *wire.Membership {
	if n.membership.index <= n.log.commit {
		return n.membership.current
	}
	m := n.log.snapshot.Membership
	for _, e := range n.log.entries {
		if units.Index(e.Index) > n.log.commit {
			break
		}
		if e.Membership != nil {
			m = e.Membership
		}
	}
	return m
}

// LogBytes returns the size of the commands in the log that is kept in memory.
func (n *Node) LogBytes() int { return n.log.bytes }

// CommittedWithin returns how many of the last committed entries have commands of at most a size together.
func (n *Node) CommittedWithin(bytes int) int {
	count := 0
	for i := n.log.commit; i > n.log.base; i-- {
		bytes -= len(n.log.entryAt(i).Command)
		if bytes < 0 {
			break
		}
		count++
	}
	return count
}

// EntriesSinceSnapshot returns how many committed entries aren't covered by the snapshot.
func (n *Node) EntriesSinceSnapshot() int {
	if n.log.snapshot == nil {
		return int(n.log.commit)
	}
	return int(n.log.commit - units.Index(n.log.snapshot.Index))
}
