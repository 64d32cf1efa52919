package replication

import (
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// acknowledgement is the part of the committed log that a replica has acknowledged. A replica whose
// disk holds less runs from an older copy and must stop: entries that it acknowledged may have been
// committed because of its acknowledgement.
type acknowledgement struct {
	incarnation units.Incarnation
	// boot numbers the replica's process that last acknowledged an entry.
	boot  uint64
	index units.Index
}

// merge adds another replica's knowledge of the same acknowledgement. It reports whether anything
// changed.
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

// recordAcknowledged records what a follower has acknowledged to this leader, up to the commit
// index: uncommitted entries may still be replaced by another leader's.
func (n *Node) recordAcknowledged(p *progress) {
	if p.match == 0 {
		return
	}
	a := acknowledgement{incarnation: p.incarnation, boot: p.boot, index: min(p.match, n.log.commit)}
	if p.acknowledged.merge(a) {
		n.acksVersion++
	}
}

// lostAcknowledgedEntries reports whether a replica that has restarted lacks entries that it
// acknowledged before, to this leader or an earlier one. Only the position in a rejected append
// shows this, until the replica acknowledges an entry after its restart.
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

// acknowledgementsFor returns the voters' acknowledgements for an append request to a follower, or
// nil if the follower already has the current version of them.
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

// recordAcksDelivered records that the follower has answered an append request, and so has received
// the acknowledgements sent in that request or an earlier one.
func (p *progress) recordAcksDelivered(round units.Instant) {
	if p.acksSent.version != 0 && round >= p.acksSent.round {
		p.acksDelivered = p.acksSent.version
	}
}

// mergeAcknowledged adds the voters' acknowledgements that the leader knows of. It skips those of an
// incarnation that this replica knows to be replaced.
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

// recordLags records since when each voter has lacked committed entries, as far as this replica knows.
func (n *Node) recordLags(now units.Instant) {
	for _, m := range n.voters() {
		p := n.peers[units.ReplicaID(m.Id)]
		if p == nil {
			continue
		}
		index := units.Index(0)
		if p.acknowledged.incarnation == units.Incarnation(m.Incarnation) {
			index = p.acknowledged.index
		}
		switch {
		case index >= n.log.commit:
			p.lagsSince = 0
		case p.lagsSince == 0 || p.lagsAt != index:
			p.lagsSince, p.lagsAt = now, index
		}
	}
}
