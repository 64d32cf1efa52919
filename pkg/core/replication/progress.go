package replication

import (
	"github.com/madderpond/madderpond/pkg/units"
)

// progress is what a replica knows of another one. The fields about the replication of the log are
// used by a leader only.
type progress struct {
	id units.ReplicaID
	// incarnation is empty until the first message of the other replica arrives.
	incarnation units.Incarnation
	// previousIncarnations are those that incarnation has replaced. A late message of one of them is no
	// evidence about the current one.
	previousIncarnations map[units.Incarnation]bool
	boot                 uint64
	// acknowledged is what the replica is known to have acknowledged, to this leader or
	// to an earlier one.
	acknowledged acknowledgement
	// lagsSince is since when a voter has lacked committed entries, after the one at lagsAt; zero if it has
	// acknowledged all of them.
	lagsSince units.Instant
	lagsAt    units.Index
	// acksDelivered is the version of the voters' acknowledgements that the replica is known to have;
	// acksSent is the version last sent to it and the round of that append request.
	acksDelivered uint64
	acksSent      struct {
		version uint64
		round   units.Instant
	}
	next  units.Index
	match units.Index
	// sentCommit is the commit index last sent to the replica.
	sentCommit units.Index
	inFlight   inFlightAppends
	// lastContact is when the newest answered append request was sent, on the leader's
	// clock. Over a quorum, these times bound how long no other leader can have been elected.
	lastContact units.Instant
	// lastReceived is when the last message arrived from the replica.
	lastReceived units.Instant
	// snapshotSentAt is when a snapshot was last sent; another is sent only after a timeout.
	snapshotSentAt units.Instant
	// formed and bootstrap are the replica's last presence message, received at presenceAt.
	formed     bool
	bootstrap  bool
	presenceAt units.Instant
}

// replaceIncarnation records that the replica runs with another disk. It returns false for an
// incarnation that was replaced before.
func (p *progress) replaceIncarnation(next units.Incarnation) bool {
	if p.previousIncarnations == nil {
		p.previousIncarnations = map[units.Incarnation]bool{}
	}
	p.previousIncarnations[p.incarnation] = true
	p.incarnation = next
	return !p.previousIncarnations[next]
}

// reset discards the replication state after a change of leader or incarnation.
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
