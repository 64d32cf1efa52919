package replication

import (
	"fmt"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// maxPresenceInterval bounds the interval at which a replica with an empty disk requests the
	// others' presence. The interval starts at minPresenceInterval and doubles: after a power failure
	// the others wait for the previous leader's lease to expire, unless they learn that it has
	// restarted with an empty disk.
	maxPresenceInterval = 200 * time.Millisecond
	minPresenceInterval = 10 * time.Millisecond
	// maxPresenceAge is how old a presence message may be to be used in forming a cluster.
	maxPresenceAge = 2 * time.Second
	// firstIndex is the index and the term at which a new cluster's log starts.
	firstIndex = 1
)

// requestPresence asks the other replicas whether they belong to a cluster, at increasing intervals.
func (n *Node) requestPresence(now units.Instant, e *Effects) {
	if now < n.heartbeatAt {
		return
	}
	n.presenceInterval = min(maxPresenceInterval, max(minPresenceInterval, 2*n.presenceInterval))
	n.heartbeatAt = now.Add(n.presenceInterval)
	for _, id := range n.peerIDs {
		n.sendPresence(id, true, e)
	}
}

func (n *Node) sendPresence(to units.ReplicaID, isRequest bool, e *Effects) {
	m := n.envelope(to)
	presence := &wire.Presence{Asks: isRequest, Formed: n.formed()}
	if g := n.settings.Growth; g != nil {
		presence.Bootstrap = g.Bootstrap
		for _, id := range n.Members() {
			presence.Members = append(presence.Members, string(id))
		}
	}
	m.Body = &wire.Envelope_Presence{Presence: presence}
	e.Sends = append(e.Sends, m)
}

func (n *Node) receivePresence(now units.Instant, p *progress, r *wire.Presence, e *Effects) {
	p.formed = r.Formed
	p.bootstrap = r.Bootstrap
	p.presenceAt = now
	n.addReportedMembers(r)
	if !r.Asks {
		return
	}
	n.sendPresence(p.id, false, e)
	if n.formed() && !r.Formed && n.isNewlyFormed() && n.isVoter(voter{id: p.id, incarnation: p.incarnation}) {
		// This voter hasn't received the formation message.
		n.sendFormation(p.id, e)
	}
}

// addReportedMembers adds the members that a replica of an existing cluster reports as peers of
// a replica that belongs to no cluster or has no leader. The other may know the leader's address when this replica
// doesn't.
func (n *Node) addReportedMembers(r *wire.Presence) {
	if n.settings.Growth == nil || n.formed() && n.leaderID != "" || !r.Formed {
		return
	}
	for _, id := range r.Members {
		n.addPeer(units.ReplicaID(id))
	}
}

// CanBootstrap reports whether this replica may form the cluster on its own: it is
// the first of the seeds, and all of them have recently answered that they are empty and
// may bootstrap too. Only one replica can meet this condition, so no two clusters form.
func (n *Node) CanBootstrap(now units.Instant) bool {
	g := n.settings.Growth
	if g == nil || !g.Bootstrap || !g.Seed || n.formed() {
		return false
	}
	for _, id := range n.settings.Peers {
		p := n.peers[id]
		if id < n.settings.ID || p.presenceAt == 0 || now.Sub(p.presenceAt) > maxPresenceAge || p.formed || !p.bootstrap {
			return false
		}
	}
	return true
}

// isNewlyFormed reports whether the log holds only the cluster's formation.
func (n *Node) isNewlyFormed() bool {
	return n.log.snapshot != nil && n.log.snapshot.Index == firstIndex && n.log.commit == firstIndex
}

// FormCluster creates a cluster of all replicas in the settings. An operator requests it
// once, with all of them present and empty. The error is of kind Unavailable or Invalid
// and names the replicas that prevent it.
func (n *Node) FormCluster(now units.Instant, cluster string, state []byte, e *Effects) error {
	if n.formed() {
		return fault.New(fault.Invalid, "nothing needs to be done", "cluster %s is formed already", n.membership.current.Cluster)
	}
	m := &wire.Membership{Cluster: cluster}
	m.Voters = append(m.Voters, &wire.Member{Id: string(n.settings.ID), Incarnation: string(n.settings.Incarnation)})
	var problems []string
	for _, id := range n.settings.Peers {
		p := n.peers[id]
		if p.presenceAt == 0 || now.Sub(p.presenceAt) > maxPresenceAge {
			problems = append(problems, fmt.Sprintf("%s can't be reached", id))
			continue
		}
		if p.formed {
			problems = append(problems, fmt.Sprintf("%s already belongs to a cluster", id))
			continue
		}
		m.Voters = append(m.Voters, &wire.Member{Id: string(id), Incarnation: string(p.incarnation)})
	}
	if len(problems) > 0 {
		return fault.New(fault.Unavailable,
			"start all replicas with empty data folders and try again; a replica that lost its disk joins an existing cluster by itself",
			"the cluster can't be formed: %s", strings.Join(problems, ", "))
	}
	n.installFormation(now, &wire.Snapshot{Index: firstIndex, Term: firstIndex, Membership: m, State: state}, e)
	for _, id := range n.settings.Peers {
		n.sendFormation(id, e)
	}
	return nil
}

func (n *Node) installFormation(now units.Instant, s *wire.Snapshot, e *Effects) {
	n.term = max(n.term, firstIndex)
	n.writeHardState(e)
	n.installSnapshot(s, e)
	n.role = follower
	n.resetElection(now)
}

func (n *Node) sendFormation(to units.ReplicaID, e *Effects) {
	m := n.envelope(to)
	m.Body = &wire.Envelope_FormCluster{FormCluster: &wire.FormCluster{Snapshot: n.log.snapshot}}
	n.sendAfterSync(m, e)
}

func (n *Node) receiveFormCluster(now units.Instant, r *wire.FormCluster, e *Effects) {
	if n.formed() || r.Snapshot == nil {
		return
	}
	for _, m := range r.Snapshot.Membership.GetVoters() {
		if voterOf(m) == n.self() {
			n.installFormation(now, r.Snapshot, e)
			return
		}
	}
}
