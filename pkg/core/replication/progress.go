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
	// previousIncarnations are the incarnations that were heard before it. A message of one of them
	// that comes late says nothing about a later one.
	previousIncarnations map[units.Incarnation]bool
	boot                 uint64
	// acknowledged is what the replica is known to have acknowledged, to this leader or
	// to an earlier one.
	acknowledged acknowledgement
	// acksDelivered is which version of all acknowledgements the replica is known to have, and
	// telling the one that was last sent to it, in which round.
	acksDelivered uint64
	acksSent      struct {
		version uint64
		round   units.Instant
	}
	next  units.Index
	match units.Index
	// sentCommit is the commit index that the replica was last sent.
	sentCommit units.Index
	inFlight   inFlightAppends
	// lastContact is when the newest answered heartbeat was sent, on the leader's
	// clock; it bounds how long no other leader can have been elected.
	lastContact units.Instant
	// lastReceived is when anything at all came from the other replica.
	lastReceived units.Instant
	// snapshotSentAt is when a snapshot was last sent; another waits its turn.
	snapshotSentAt units.Instant
	// formed is what the replica said of itself when it was last asked.
	formed     bool
	bootstrap  bool
	presenceAt units.Instant
}

// replaceIncarnation takes note of another disk of the replica; it returns false for one
// that was replaced before.
func (p *progress) replaceIncarnation(next units.Incarnation) bool {
	if p.previousIncarnations == nil {
		p.previousIncarnations = map[units.Incarnation]bool{}
	}
	p.previousIncarnations[p.incarnation] = true
	p.incarnation = next
	return !p.previousIncarnations[next]
}

// reset forgets the log position, as after a change of leader or disk.
func (p *progress) reset(next units.Index) {
	p.next = next
	p.match = 0
	p.sentCommit = 0
	p.inFlight = inFlightAppends{}
	p.lastContact = 0
	p.snapshotSentAt = 0
	p.acksDelivered = 0
	p.acksSent.version = 0
}
