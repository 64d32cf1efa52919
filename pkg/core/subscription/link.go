package subscription

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// hurry is by how much a box without any grant yet is less patient: it serves nobody,
	// and the replica may be standing still.
	hurry = 4
	// maxCandidates bounds the replicas that are dialled at the same time.
	maxCandidates = 5
	// firstDialLimit is how long an attempt to reach replicas may take. What is sent to a
	// box without power is sent again only after a second, so attempts are short at first:
	// the replicas may be starting, as this box is. After evenDials attempts in vain the
	// limit doubles with each one, up to maxDialLimit, so that many boxes without any replica
	// in reach make few attempts.
	firstDialLimit = 60 * time.Millisecond
	evenDials      = 12
	maxDialLimit   = 2 * time.Second
	// maxDoublings is well above what leads to maxDialLimit, and below an overflow.
	maxDoublings = 16
	// desperateFrom is the number of attempts in vain from which on replicas are dialled
	// that had to be left a moment ago: they may have started again.
	desperateFrom = 2
	// moveDelay and moveSpread are how long after it learnt of its home a box moves there: replicas that
	// form a cluster are named one after the other. moveAgain is when it tries again.
	moveDelay  = 500 * time.Millisecond
	moveSpread = 1500 * time.Millisecond
	moveAgain  = 10 * time.Second
	// dialJitter is the part of a limit by which boxes differ, so that they don't all dial
	// at the same time.
	dialJitter = 0.5
)

// linkState is how far the connection to a replica has come.
type linkState uint8

const (
	linkDown linkState = iota
	linkDialling
	linkUp
)

// link is the connection to a control replica.
type link struct {
	state linkState
	// since is when the connection was made or last brought news.
	since units.Instant
	// waits is set once the replica has said that it waits for a leader.
	waits bool
	// nextAt is when replicas may be dialled again.
	nextAt units.Instant
	// moveAt is when a box that isn't attached to its home moves there; zero while it is.
	moveAt units.Instant
	// failures counts the attempts that have brought no news since the last that did.
	failures int
}

// attach dials replicas anew.
func (s *Subscription) attach(now units.Instant, e *Effects) {
	s.dial(now, s.replicas.candidates(now, maxCandidates, s.link.failures >= desperateFrom), e)
}

// moveHome has a box that has a lease move to the replica that it is to be attached to, some time after it
// learnt that it isn't, so that not all boxes move together.
func (s *Subscription) moveHome(now units.Instant, e *Effects) {
	home := s.replicas.home(s.settings.Box.ID, s.settings.Box.Domain, now)
	switch {
	case home == s.replicas.current:
		s.link.moveAt = 0
		return
	case home == "" || !s.Fresh(now):
		return
	case s.link.moveAt == 0:
		s.link.moveAt = now.Add(moveDelay + time.Duration(s.random.Float64()*float64(moveSpread)))
	}
	if now < s.link.moveAt {
		return
	}
	s.link.moveAt = now.Add(moveAgain)
	// An attempt in vain is put down to the home, not to the replica that is left.
	s.replicas.current = home
	s.dial(now, []units.ReplicaID{home}, e)
}

func (s *Subscription) dial(now units.Instant, candidates []units.ReplicaID, e *Effects) {
	limit := s.nextDialLimit()
	s.link.state = linkDialling
	s.link.waits = false
	s.link.nextAt = now.Add(limit)
	if len(candidates) == 0 {
		return
	}
	s.attachment++
	s.assembly = wire.Assembly{}
	e.Attach = true
	e.Replicas = candidates
	e.Attachment = s.attachment
	e.DialLimit = limit
}

// nextDialLimit is how long the next attempt may take, after which another may follow.
func (s *Subscription) nextDialLimit() time.Duration {
	limit := maxDialLimit
	if doublings := max(0, s.link.failures-evenDials); doublings < maxDoublings {
		limit = min(limit, firstDialLimit<<doublings)
	}
	s.link.failures++
	return time.Duration(float64(limit) * (1 + dialJitter*(s.random.Float64()-0.5)))
}

// connected takes the connection that was made first.
func (s *Subscription) connected(now units.Instant, to units.ReplicaID, e *Effects) {
	s.replicas.current = to
	s.link.state = linkUp
	s.link.since = now
	s.renew(now, e)
}

// disconnected gives the connection up. Replicas are dialled again with the next tick,
// unless the last attempt was a moment ago.
func (s *Subscription) disconnected(now units.Instant) {
	s.link.state = linkDown
	s.replicas.leave(now)
}

// noteNews says that the replica is at work.
func (s *Subscription) noteNews(now units.Instant) {
	s.link.since = now
	s.link.failures = 0
}

// patience is how long the replica may go without news.
func (s *Subscription) patience() time.Duration {
	if s.grantedAt == 0 && !s.link.waits {
		return s.settings.Silence / hurry
	}
	return s.settings.Silence
}

func (s *Subscription) renewPeriod() time.Duration {
	if s.grantedAt == 0 && !s.link.waits {
		return s.settings.RenewEvery / hurry
	}
	return s.settings.RenewEvery
}
