package replication

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// maxPeers bounds the replicas that a node keeps account of; it is well above any
// size that a cluster grows to.
const maxPeers = 64

// addPeer begins to keep account of another replica.
func (n *Node) addPeer(id units.ReplicaID) *progress {
	if p := n.peers[id]; p != nil || id == n.settings.ID || id == "" || len(n.peerIDs) >= maxPeers {
		return p
	}
	p := &progress{id: id, next: n.log.last() + 1}
	n.peers[id] = p
	n.peerIDs = append(n.peerIDs, id)
	return p
}

// Peers are the other replicas that this node keeps account of.
func (n *Node) Peers() []units.ReplicaID { return slices.Clone(n.peerIDs) }

// AddPeers begins to keep account of replicas that the settings name now.
func (n *Node) AddPeers(list []units.ReplicaID) {
	for _, id := range list {
		n.addPeer(id)
	}
}

// addVotersAsPeers makes sure that all voters are kept account of.
func (n *Node) addVotersAsPeers() {
	if n.settings.Growth == nil {
		return
	}
	for _, m := range n.voters() {
		n.addPeer(units.ReplicaID(m.Id))
	}
}

// senderOf returns a message's sender, or nil when it is none of the cluster's. A
// cluster that grows takes in whoever reports; others keep to their settings.
func (n *Node) senderOf(m *wire.Envelope) *progress {
	id := units.ReplicaID(m.From)
	if p := n.peers[id]; p != nil || n.settings.Growth == nil {
		return p
	}
	return n.addPeer(id)
}

// Voters returns the replicas that vote, as far as this one knows.
func (n *Node) Voters() []units.ReplicaID {
	var voters []units.ReplicaID
	for _, m := range n.voters() {
		voters = append(voters, units.ReplicaID(m.Id))
	}
	return voters
}

// MembershipIndex returns where in the log the present membership stands; zero before
// there is one.
func (n *Node) MembershipIndex() units.Index { return n.membership.index }

// Members returns the replicas that are known here, this one among them: the
// voters first, then those that follow.
func (n *Node) Members() []units.ReplicaID {
	members := n.Voters()
	for _, id := range append([]units.ReplicaID{n.settings.ID}, n.peerIDs...) {
		if !slices.Contains(members, id) {
			members = append(members, id)
		}
	}
	return members
}

// LiveMembers returns those of the members that this leader has had answers from
// within two election timeouts, itself among them.
func (n *Node) LiveMembers(now units.Instant) []units.ReplicaID {
	live := []units.ReplicaID{n.settings.ID}
	for _, id := range n.peerIDs {
		if p := n.peers[id]; p.lastContact != 0 && now.Sub(p.lastContact) < 2*n.settings.ElectionTimeout {
			live = append(live, id)
		}
	}
	return live
}
