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
	boot        uint64
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

// restart forgets the log position, as after a change of leader or disk.
func (p *progress) restart(next units.Index) {
	p.next = next
	p.match = 0
	p.contact = 0
	p.snapshotAt = 0
}
