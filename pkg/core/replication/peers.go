package replication

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// maxPeers bounds the peers of a node. It is well above the size of any cluster.
const maxPeers = 64

// addPeer adds another replica to the peers and returns its progress; nil when it can't be added.
func (n *Node) addPeer(id units.ReplicaID) *progress {
	if p := n.peers[id]; p != nil || id == n.settings.ID || id == "" {
		return p
	}
	if len(n.peerIDs) >= maxPeers && !n.removeSilentPeer() {
		return nil
	}
	p := &progress{id: id, next: n.log.last() + 1}
	n.peers[id] = p
	n.peerIDs = append(n.peerIDs, id)
	return p
}

// removeSilentPeer removes the peer that has been silent for longest, of those that neither the settings nor the
// membership name. It returns false when there is none. Without it, no successor could join once maxPeers replicas
// have been replaced.
func (n *Node) removeSilentPeer() bool {
	var silent *progress
	for _, id := range n.peerIDs {
		p := n.peers[id]
		if n.hasMember(id) || slices.Contains(n.settings.Peers, id) {
			continue
		}
		if silent == nil || p.lastReceived < silent.lastReceived {
			silent = p
		}
	}
	if silent == nil {
		return false
	}
	delete(n.peers, silent.id)
	n.peerIDs = slices.DeleteFunc(n.peerIDs, func(id units.ReplicaID) bool { return id == silent.id })
	return true
}

// Peers returns the other replicas that this node knows of.
func (n *Node) Peers() []units.ReplicaID { return slices.Clone(n.peerIDs) }

// AddPeers adds replicas that the settings now name.
func (n *Node) AddPeers(list []units.ReplicaID) {
	for _, id := range list {
		n.addPeer(id)
	}
}

// addVotersAsPeers adds all voters to the peers, if the cluster may grow.
func (n *Node) addVotersAsPeers() {
	if n.settings.Growth == nil {
		return
	}
	for _, m := range n.voters() {
		n.addPeer(units.ReplicaID(m.Id))
	}
}

// senderOf returns a message's sender, or nil when the node doesn't know it. With Growth, an
// unknown sender is added as a peer; without, only the replicas in the settings are.
func (n *Node) senderOf(m *wire.Envelope) *progress {
	id := units.ReplicaID(m.From)
	if p := n.peers[id]; p != nil || n.settings.Growth == nil {
		return p
	}
	return n.addPeer(id)
}

// Voters returns the voters that this node knows of.
func (n *Node) Voters() []units.ReplicaID {
	var voters []units.ReplicaID
	for _, m := range n.voters() {
		voters = append(voters, units.ReplicaID(m.Id))
	}
	return voters
}

// MembershipIndex returns the log index of the current membership; zero before
// there is one.
func (n *Node) MembershipIndex() units.Index { return n.membership.index }

// Members returns the replicas that are known here, including this one: the
// voters first, then the others.
func (n *Node) Members() []units.ReplicaID {
	members := n.Voters()
	for _, id := range append([]units.ReplicaID{n.settings.ID}, n.peerIDs...) {
		if !slices.Contains(members, id) {
			members = append(members, id)
		}
	}
	return members
}

// LiveMembers returns the members that have answered this leader
// within two election timeouts, including itself.
func (n *Node) LiveMembers(now units.Instant) []units.ReplicaID {
	live := []units.ReplicaID{n.settings.ID}
	for _, id := range n.peerIDs {
		if p := n.peers[id]; p.lastContact != 0 && now.Sub(p.lastContact) < 2*n.settings.ElectionTimeout {
			live = append(live, id)
		}
	}
	return live
}
