package subscription

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// firstGrantDivisor is by how much a box without any grant yet is less patient: it serves nobody,
	// and the replica may be standing still.
	firstGrantDivisor = 4
	// maxConcurrentDials bounds the replicas that are dialled at the same time.
	maxConcurrentDials = 5
	// minDialTimeout is how long an attempt to reach replicas may take. What is sent to a
	// box without power is sent again only after a second, so attempts are short at first:
	// the replicas may be starting, as this box is. After evenDials attempts in vain the
	// limit doubles with each one, up to maxDialLimit, so that many boxes without any replica
	// in reach make few attempts.
	minDialTimeout     = 60 * time.Millisecond
	dialsBeforeBackoff = 12
	maxDialTimeout     = 2 * time.Second
	// maxTimeoutDoublings is well above what leads to maxDialLimit, and below an overflow.
	maxTimeoutDoublings = 16
	// failuresToRetryAvoided is the number of attempts in vain from which on replicas are dialled
	// that had to be left a moment ago: they may have started again.
	failuresToRetryAvoided = 2
	// minMoveDelay and moveSpread are how long after it learnt of its home a box moves there: replicas that
	// form a cluster are named one after the other. moveAgain is when it tries again.
	minMoveDelay   = 500 * time.Millisecond
	moveJitter     = 1500 * time.Millisecond
	moveRetryDelay = 10 * time.Second
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
	// lastActivity is when the connection was made or last brought news.
	lastActivity units.Instant
	// awaitsLeader is set once the replica has said that it awaitsLeader for a leader.
	awaitsLeader bool
	// nextDialAt is when replicas may be dialled again.
	nextDialAt units.Instant
	// moveAt is when a box that isn't attached to its home moves there; zero while it is.
	moveAt units.Instant
	// failures counts the attempts that have brought no news since the last that did.
	failures int
}

// attach dials replicas anew.
func (s *Subscription) attach(now units.Instant, e *Effects) {
	s.dial(now, s.replicas.candidates(now, maxConcurrentDials, s.link.failures >= failuresToRetryAvoided), e)
}

// moveToPreferred has a box that has a lease move to the replica that it is to be attached to, some time after it
// learnt that it isn't, so that not all boxes move together.
func (s *Subscription) moveToPreferred(now units.Instant, e *Effects) {
	preferred := s.replicas.preferred(s.settings.Box.ID, s.settings.Box.Domain, now)
	switch {
	case preferred == s.replicas.current:
		s.link.moveAt = 0
		return
	case preferred == "" || !s.HasFreshLease(now):
		return
	case s.link.moveAt == 0:
		s.link.moveAt = now.Add(minMoveDelay + time.Duration(s.random.Float64()*float64(moveJitter)))
	}
	if now < s.link.moveAt {
		return
	}
	s.link.moveAt = now.Add(moveRetryDelay)
	// An attempt in vain is put down to the home, not to the replica that is left.
	s.replicas.current = preferred
	s.dial(now, []units.ReplicaID{preferred}, e)
}

func (s *Subscription) dial(now units.Instant, candidates []units.ReplicaID, e *Effects) {
	timeout := s.nextDialTimeout()
	s.link.state = linkDialling
	s.link.awaitsLeader = false
	s.link.nextDialAt = now.Add(timeout)
	if len(candidates) == 0 {
		return
	}
	s.attachment++
	s.assembly = wire.Assembly{}
	e.Attach = true
	e.Replicas = candidates
	e.Attachment = s.attachment
	e.DialTimeout = timeout
}

// nextDialTimeout is how long the next attempt may take, after which another may follow.
func (s *Subscription) nextDialTimeout() time.Duration {
	timeout := maxDialTimeout
	if doublings := max(0, s.link.failures-dialsBeforeBackoff); doublings < maxTimeoutDoublings {
		timeout = min(timeout, minDialTimeout<<doublings)
	}
	s.link.failures++
	return time.Duration(float64(timeout) * (1 + dialJitter*(s.random.Float64()-0.5)))
}

// connected takes the connection that was made first.
func (s *Subscription) connected(now units.Instant, to units.ReplicaID, e *Effects) {
	s.replicas.current = to
	s.link.state = linkUp
	s.link.lastActivity = now
	s.renew(now, e)
}

// disconnected gives the connection up. Replicas are dialled again with the next tick,
// unless the last attempt was a moment ago.
func (s *Subscription) disconnected(now units.Instant) {
	s.link.state = linkDown
	s.replicas.avoidCurrent(now)
}

// recordActivity says that the replica is at work.
func (s *Subscription) recordActivity(now units.Instant) {
	s.link.lastActivity = now
	s.link.failures = 0
}

// replicaTimeout is how long the replica may go without news.
func (s *Subscription) replicaTimeout() time.Duration {
	if s.grantedAt == 0 && !s.link.awaitsLeader {
		return s.settings.ReplicaTimeout / firstGrantDivisor
	}
	return s.settings.ReplicaTimeout
}

func (s *Subscription) renewInterval() time.Duration {
	if s.grantedAt == 0 && !s.link.awaitsLeader {
		return s.settings.RenewInterval / firstGrantDivisor
	}
	return s.settings.RenewInterval
}
