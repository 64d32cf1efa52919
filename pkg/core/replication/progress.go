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
	// acknowledged is what the replica is known to have acknowledged, to this leader or
	// to an earlier one.
	acknowledged acknowledgement
	// told is which version of all acknowledgements the replica is known to have, and
	// telling the one that was last sent to it, in which round.
	told    uint64
	telling struct {
		version uint64
		round   units.Instant
	}
	next  units.Index
	match units.Index
	// toldCommit is the commit index that the replica was last sent.
	toldCommit units.Index
	flight     flight
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
	p.toldCommit = 0
	p.flight = flight{}
	p.contact = 0
	p.snapshotAt = 0
	p.told = 0
	p.telling.version = 0
}
