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
	// maxPresenceInterval is how often an empty replica asks the others. It begins with
	// firstPresence and doubles: after a loss of power the others wait for the lease of
	// whoever led before, until they hear that it has started again without its disk.
	maxPresenceInterval = 200 * time.Millisecond
	minPresenceInterval = 10 * time.Millisecond
	// maxPresenceAge is how old an answer may be to count when a cluster forms.
	maxPresenceAge = 2 * time.Second
	// firstIndex is where a new cluster's log begins.
	firstIndex = 1
)

// requestPresence asks the other replicas whether a cluster exists, and forms one where
// that is this replica's part.
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
		// The formation message to this voter was lost.
		n.sendFormation(p.id, e)
	}
}

// addReportedMembers lets a replica that belongs to no cluster ask those that a formed one
// names; a seed may know the leader's address where this one doesn't.
func (n *Node) addReportedMembers(r *wire.Presence) {
	if n.settings.Growth == nil || n.formed() || !r.Formed {
		return
	}
	for _, id := range r.Members {
		n.addPeer(units.ReplicaID(id))
	}
}

// CanBootstrap tells whether this replica is the one that forms the cluster by itself:
// the first of the seeds, once all of them have answered that they are empty and
// may form one as well. Only one replica can be that, so no two clusters form.
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

// isNewlyFormed tells whether the log holds nothing but the cluster's formation.
func (n *Node) isNewlyFormed() bool {
	return n.log.snapshot != nil && n.log.snapshot.Index == firstIndex && n.log.commit == firstIndex
}

// Form makes a cluster of all the replicas that the settings name. It is done
// once, on an operator's word, with all of them present and empty. The error is
// of kind Unavailable or Invalid and names the replicas that stand in the way.
func (n *Node) Form(now units.Instant, cluster string, state []byte, e *Effects) error {
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
			problems = append(problems, fmt.Sprintf("%s belongs to a cluster already", id))
			continue
		}
		m.Voters = append(m.Voters, &wire.Member{Id: string(id), Incarnation: string(p.incarnation)})
	}
	if len(problems) > 0 {
		return fault.New(fault.Unavailable,
			"start all replicas with empty data folders and ask again; a replica that lost its disk needs no forming, it joins by itself",
			"the cluster can't form: %s", strings.Join(problems, ", "))
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
