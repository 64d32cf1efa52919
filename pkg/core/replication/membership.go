package replication

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// voter identifies a voting replica by its id and incarnation; another incarnation of the same
// replica isn't that voter.
type voter struct {
	id          units.ReplicaID
	incarnation units.Incarnation
}

func voterOf(m *wire.Member) voter {
	return voter{id: units.ReplicaID(m.Id), incarnation: units.Incarnation(m.Incarnation)}
}

// membershipState is the newest membership in the log, committed or not.
type membershipState struct {
	current *wire.Membership
	index   units.Index
}

// recomputeMembership reads the newest membership from the log, after a truncation, a snapshot or a
// restart.
func (n *Node) recomputeMembership() {
	n.membership = membershipState{}
	if s := n.log.snapshot; s != nil {
		n.membership = membershipState{current: s.Membership, index: units.Index(s.Index)}
	}
	n.addVotersAsPeers()
	for _, e := range n.log.entries {
		n.adoptMembership(e)
	}
}

func (n *Node) adoptMembership(e *wire.Entry) {
	if e.Membership == nil || units.Index(e.Index) < n.membership.index {
		return
	}
	n.membership = membershipState{current: e.Membership, index: units.Index(e.Index)}
	n.addVotersAsPeers()
}

// formed reports whether this replica belongs to a cluster.
func (n *Node) formed() bool { return n.membership.current != nil }

func (n *Node) voters() []*wire.Member {
	if n.membership.current == nil {
		return nil
	}
	return n.membership.current.Voters
}

func (n *Node) isVoter(v voter) bool {
	return slices.ContainsFunc(n.voters(), func(m *wire.Member) bool { return voterOf(m) == v })
}

// hasMember reports whether a replica is a voter under any incarnation.
func (n *Node) hasMember(id units.ReplicaID) bool {
	return slices.ContainsFunc(n.voters(), func(m *wire.Member) bool { return m.Id == string(id) })
}

func (n *Node) self() voter {
	return voter{id: n.settings.ID, incarnation: n.settings.Incarnation}
}

func (n *Node) quorum() int { return len(n.voters())/2 + 1 }

// changeMembership moves the voters one step closer to the replicas that are present, one
// replica at a time. A replica that lost its disk is first removed under its old
// incarnation, then added under the new one. The two steps keep any two quorums
// overlapping, even if the old disk returns.
func (n *Node) changeMembership(now units.Instant, e *Effects) {
	if n.role != leader || !n.termCommitted() || n.membership.index > n.log.commit {
		return
	}
	if next := n.nextMembership(now); next != nil {
		n.appendEntry(&wire.Entry{Membership: next}, e)
	}
}

func (n *Node) nextMembership(now units.Instant) *wire.Membership {
	if n.hasSurplusVoter() {
		return n.withoutSurplusVoter(now)
	}
	for _, id := range n.peerIDs {
		p := n.peers[id]
		if p.incarnation == "" || n.isVoter(voter{id: id, incarnation: p.incarnation}) || !n.caughtUp(p) {
			continue
		}
		if next := n.nextMembershipFor(now, p); next != nil {
			return next
		}
	}
	return nil
}

// nextMembershipFor returns the next membership on the way to making a
// replica a voter, or nil when it has to wait.
func (n *Node) nextMembershipFor(now units.Instant, p *progress) *wire.Membership {
	if n.hasMember(p.id) {
		return n.membershipWithout(p.id)
	}
	if n.hasAllVoters() && !n.canReplaceVoter(now, p) {
		return nil
	}
	return n.membershipWith(p)
}

// hasAllVoters reports whether the cluster has as many voters as it may grow to.
func (n *Node) hasAllVoters() bool {
	return n.settings.Growth != nil && len(n.voters()) >= n.settings.Growth.Voters
}

// hasSurplusVoter reports whether a successor has become a voter beside the one that it replaces.
func (n *Node) hasSurplusVoter() bool {
	return n.settings.Growth != nil && len(n.voters()) > n.settings.Growth.Voters
}

// canReplaceVoter reports whether a replica may become a voter in place of one that is unresponsive. It votes before
// the other one is removed: with one voter fewer, the cluster would bear fewer losses meanwhile. A leader that has
// just been resumed hasn't processed the responses that came meanwhile; it has no lease then.
func (n *Node) canReplaceVoter(now units.Instant, successor *progress) bool {
	return n.HasLease(now) && now.Sub(successor.lastContact) < n.settings.ElectionTimeout &&
		n.longestUnresponsive(now) != "" && n.hasResponsiveQuorum(now, n.membershipWith(successor))
}

// withoutSurplusVoter returns the membership without the voter that a successor replaces, or nil while the leader
// can't tell which one that is. If all respond again, the one that joined last is removed.
func (n *Node) withoutSurplusVoter(now units.Instant) *wire.Membership {
	if !n.HasLease(now) {
		return nil
	}
	removed := n.longestUnresponsive(now)
	if removed == "" && now.Sub(n.leaderSince) >= 2*n.settings.Growth.ReplaceAfter {
		removed = n.newestFollower()
	}
	if removed == "" {
		return nil
	}
	next := n.membershipWithout(removed)
	if !n.hasResponsiveQuorum(now, next) {
		return nil
	}
	return next
}

// newestFollower returns the voter that joined last, other than this leader.
func (n *Node) newestFollower() units.ReplicaID {
	voters := n.Voters()
	last := voters[len(voters)-1]
	if last == n.settings.ID {
		return voters[len(voters)-2]
	}
	return last
}

// hasResponsiveQuorum reports whether a quorum of a membership has responded to this leader within an election
// timeout.
func (n *Node) hasResponsiveQuorum(now units.Instant, m *wire.Membership) bool {
	responsive := 0
	for _, x := range m.Voters {
		if now.Sub(n.lastContactWith(voterOf(x), now)) < n.settings.ElectionTimeout {
			responsive++
		}
	}
	return responsive > len(m.Voters)/2
}

// longestUnresponsive returns the voter that has been unresponsive for longest, and for ReplaceAfter at least, or
// nothing when there is none.
func (n *Node) longestUnresponsive(now units.Instant) units.ReplicaID {
	var longest units.ReplicaID
	since := now.Add(-n.settings.Growth.ReplaceAfter)
	for _, m := range n.voters() {
		v := voterOf(m)
		if s := n.unresponsiveSince(v, now); v != n.self() && s <= since {
			longest, since = v.id, s
		}
	}
	return longest
}

// unresponsiveSince returns since when a voter has neither responded nor, while it lacks committed entries, made
// progress. One that hasn't responded to this leader within an election timeout has been silent since it last
// acknowledged all committed entries: otherwise each change of leader would let it keep its vote for longer.
func (n *Node) unresponsiveSince(v voter, now units.Instant) units.Instant {
	since := n.lastContactWith(v, now)
	if since == 0 {
		since = n.leaderSince
		if now.Sub(since) < n.settings.ElectionTimeout {
			return since
		}
	}
	if p := n.peers[v.id]; p != nil && p.lagsSince != 0 {
		since = min(since, p.lagsSince)
	}
	return since
}

func (n *Node) membershipWithout(id units.ReplicaID) *wire.Membership {
	next := &wire.Membership{Cluster: n.membership.current.Cluster}
	for _, m := range n.voters() {
		if m.Id != string(id) {
			next.Voters = append(next.Voters, m)
		}
	}
	return next
}

func (n *Node) membershipWith(p *progress) *wire.Membership {
	next := &wire.Membership{Cluster: n.membership.current.Cluster, Voters: slices.Clone(n.voters())}
	next.Voters = append(next.Voters, &wire.Member{Id: string(p.id), Incarnation: string(p.incarnation)})
	return next
}

func (n *Node) caughtUp(p *progress) bool {
	return p.match > 0 && p.match >= n.log.commit
}
