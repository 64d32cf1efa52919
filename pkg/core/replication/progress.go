package replication

import (
	"github.com/madderpond/madderpond/pkg/units"
)

// progress is what a replica knows of another one. The fields on the log are
// of use to a leader only.
type progress struct {
	id units.ReplicaID
	// incarnation is empty until the other replica has been heard.
	incarnation units.Incarnation
	// earlier are the incarnations that were heard before it. A message of one of them
	// that comes late says nothing about a later one.
	earlier map[units.Incarnation]bool
	boot    uint64
	// unproven is set after a start of the other replica until it has shown that it
	// still holds what it acknowledged.
	unproven bool
	next     units.Index
	match    units.Index
	// contact is when the newest answered heartbeat was sent, on the leader's
	// clock; it bounds how long no other leader can have been elected.
	contact units.Instant
	// heard is when anything at all came from the other replica.
	heard units.Instant
	// snapshotAt is when a snapshot was last sent; another waits its turn.
	snapshotAt units.Instant
	// formed is what the replica said of itself when it was last asked.
	formed    bool
	bootstrap bool
	asked     units.Instant
}

// replaceIncarnation takes note of another disk of the replica; it returns false for one
// that was replaced before.
func (p *progress) replaceIncarnation(next units.Incarnation) bool {
	if p.earlier == nil {
		p.earlier = map[units.Incarnation]bool{}
	}
	p.earlier[p.incarnation] = true
	p.incarnation = next
	return !p.earlier[next]
}

// restart forgets the log position, as after a change of leader or disk.
func (p *progress) restart(next units.Index) {
	p.next = next
	p.match = 0
	p.contact = 0
	p.snapshotAt = 0
}
