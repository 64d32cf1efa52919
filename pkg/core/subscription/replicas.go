package subscription

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// failedFor is how long a replica that had to be left comes after all others.
const failedFor = 3 * time.Second

// replicaList is the choice of the replica to attach to. The settings name some
// replicas, the leader names those that it knows to be at work.
type replicaList struct {
	random *rand.Rand
	// known are all replicas: those of the settings first, then those learned.
	known []units.ReplicaID
	// named are those that the leader named last.
	named []units.ReplicaID
	// checksum sums up those, as they came.
	checksum uint64
	leftAt   map[units.ReplicaID]units.Instant
	current  units.ReplicaID
	turn     int
}

func newReplicaList(settings []units.ReplicaID, random *rand.Rand) replicaList {
	return replicaList{
		random: random, known: slices.Clone(settings), leftAt: map[units.ReplicaID]units.Instant{},
		turn: random.IntN(max(1, len(settings))),
	}
}

// learn takes the leader's list of replicas at work; an empty one says nothing.
func (l *replicaList) learn(names []string) {
	if len(names) == 0 {
		return
	}
	l.checksum = wire.ChecksumNames(names)
	l.named = l.named[:0]
	for _, n := range names {
		id := units.ReplicaID(n)
		l.named = append(l.named, id)
		if !slices.Contains(l.known, id) {
			l.known = append(l.known, id)
		}
	}
}

// next leaves the present replica and returns the one to attach to: one that the
// leader named if there is any that wasn't left lately, else any in turn. It returns
// an empty id when no replica is known.
func (l *replicaList) next(now units.Instant) units.ReplicaID {
	if len(l.known) == 0 {
		return ""
	}
	if l.current != "" {
		l.leftAt[l.current] = now
	}
	l.current = l.pick(now)
	return l.current
}

func (l *replicaList) pick(now units.Instant) units.ReplicaID {
	var good []units.ReplicaID
	for _, id := range l.named {
		if left := l.leftAt[id]; left == 0 || now.Sub(left) > failedFor {
			good = append(good, id)
		}
	}
	if len(good) > 0 {
		return good[l.random.IntN(len(good))]
	}
	l.turn = (l.turn + 1) % len(l.known)
	return l.known[l.turn]
}
