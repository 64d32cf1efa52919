package replication

import (
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// acknowledgement is how much of the committed log a replica has acknowledged. A disk
// that holds less is an older copy, and its replica must not go on with it: what it
// acknowledged may have been committed on the strength of that.
type acknowledgement struct {
	incarnation units.Incarnation
	// boot is the start in which the replica last acknowledged anything.
	boot  uint64
	index units.Index
}

// merge takes over what another replica knows. It returns false when that was no news.
func (a *acknowledgement) merge(b acknowledgement) bool {
	previous := *a
	if a.incarnation != b.incarnation {
		*a = b
		return true
	}
	a.boot = max(a.boot, b.boot)
	a.index = max(a.index, b.index)
	return *a != previous
}

// recordAcknowledged takes note of what a follower has just acknowledged to this leader.
// Only what is committed counts: the rest may yet be replaced by another leader's log.
func (n *Node) recordAcknowledged(p *progress) {
	if p.match == 0 {
		return
	}
	a := acknowledgement{incarnation: p.incarnation, boot: p.boot, index: min(p.match, n.log.commit)}
	if p.acknowledged.merge(a) {
		n.acksVersion++
	}
}

// lostAcknowledgedEntries tells whether a replica that has started again lacks entries that it
// acknowledged before, to whichever leader. It is in question until the first append
// that the replica takes; whatever else it may say before that proves nothing.
func (n *Node) lostAcknowledgedEntries(p *progress, m *wire.Envelope) bool {
	r := m.GetAppendResponse()
	a := &p.acknowledged
	if n.role != leader || r == nil || !r.Rejected || units.Term(r.Term) != n.term {
		return false
	}
	if a.incarnation != p.incarnation || m.Boot <= a.boot {
		return false
	}
	return units.Index(r.Match) < max(p.match, a.index)
}

// acknowledgementsFor returns what a follower should know of the voters' acknowledgements,
// or nothing when it has the newest.
func (n *Node) acknowledgementsFor(p *progress, round units.Instant) []*wire.Acknowledged {
	if p.acksDelivered == n.acksVersion {
		return nil
	}
	p.acksSent.version, p.acksSent.round = n.acksVersion, round
	own := acknowledgement{incarnation: n.settings.Incarnation, boot: n.settings.Boot, index: min(n.log.synced, n.log.commit)}
	list := []*wire.Acknowledged{acknowledgedToWire(n.settings.ID, own)}
	for _, id := range n.peerIDs {
		if a := n.peers[id].acknowledged; id != p.id && a.index > 0 {
			list = append(list, acknowledgedToWire(id, a))
		}
	}
	return list
}

func acknowledgedToWire(id units.ReplicaID, a acknowledgement) *wire.Acknowledged {
	return &wire.Acknowledged{Id: string(id), Incarnation: string(a.incarnation), Boot: a.boot, Index: uint64(a.index)}
}

// recordAcksDelivered takes note of an answer to the heartbeat that carried the acknowledgements.
func (p *progress) recordAcksDelivered(round units.Instant) {
	if p.acksSent.version != 0 && round >= p.acksSent.round {
		p.acksDelivered = p.acksSent.version
	}
}

// mergeAcknowledged takes over what the leader knows of the voters' acknowledgements.
func (n *Node) mergeAcknowledged(list []*wire.Acknowledged) {
	for _, x := range list {
		p := n.peers[units.ReplicaID(x.Id)]
		incarnation := units.Incarnation(x.Incarnation)
		if p == nil || p.previousIncarnations[incarnation] && p.incarnation != incarnation {
			continue
		}
		p.acknowledged.merge(acknowledgement{incarnation: incarnation, boot: x.Boot, index: units.Index(x.Index)})
	}
}
