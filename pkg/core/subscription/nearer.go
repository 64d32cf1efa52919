package subscription

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Every change goes to each box over its link. Links between regions are slow and their bytes cost more, so a
// box that is attached to a replica of another region looks for one of its own: then a change
// crosses between regions once for each replica, not once for each box. How far a replica is
// shows in the time that connecting to it takes.

const (
	// farDial is the time of connecting from which on a replica counts as one of another region:
	// within a region a round trip takes 1 to 5 ms.
	farDial = 10 * time.Millisecond
	// moveAfter and moveSpread say when a box looks for a nearer replica, so that boxes which
	// started together don't move together. Each search that finds none doubles the time, up
	// to maxMoveDoublings times, since it interrupts a link that works.
	moveAfter        = time.Second
	moveSpread       = 3 * time.Second
	maxMoveDoublings = 6
)

// noteDial takes how long connecting to a replica took.
func (l *replicaList) noteDial(id units.ReplicaID, took time.Duration) {
	if took > 0 {
		l.took[id] = took
	}
}

// isFar tells whether connecting to the replica took long.
func (l *replicaList) isFar(id units.ReplicaID) bool { return l.took[id] >= farDial }

// mayBeNearer tells whether a replica that the leader named may be nearer than the present one.
func (l *replicaList) mayBeNearer(now units.Instant) bool {
	if l.current == "" || !l.isFar(l.current) {
		return false
	}
	for _, id := range l.named {
		if !l.isFar(id) && l.rank(id, now) != rankLeft {
			return true
		}
	}
	return false
}

// distance orders replicas of the same rank: those known to be near, those that nothing is
// known of, those known to be far.
func (l *replicaList) distance(id units.ReplicaID) int {
	switch took := l.took[id]; {
	case took == 0:
		return 1
	case took < farDial:
		return 0
	}
	return 2
}

// planMove has the box look for a nearer replica, where there may be one.
func (s *Subscription) planMove(now units.Instant) {
	if !s.settings.SeveralRegions || s.moveAt != 0 || !s.replicas.mayBeNearer(now) {
		return
	}
	wait := moveAfter + time.Duration(s.random.Float64()*float64(moveSpread))
	s.moveAt = now.Add(wait << min(s.moves, maxMoveDoublings))
}

// moveNearer looks for a nearer replica when it is time.
func (s *Subscription) moveNearer(now units.Instant, e *Effects) {
	if s.moveAt == 0 || now < s.moveAt {
		return
	}
	s.moveAt = 0
	if s.replicas.mayBeNearer(now) {
		s.moves++
		s.attach(now, e)
	}
}

// noteAttached takes where a search has led to.
func (s *Subscription) noteAttached(to units.ReplicaID, took time.Duration) {
	s.replicas.noteDial(to, took)
	if !s.replicas.isFar(to) {
		s.moves = 0
	}
}
