package subscription

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// firstGrantDivisor shortens the timeout and the renewal interval of a box without any grant. It
	// can't serve calls yet, and the replica's process may be suspended.
	firstGrantDivisor = 4
	// maxConcurrentDials bounds the replicas that are dialled at the same time.
	maxConcurrentDials = 5
	// minDialTimeout is the timeout of the first attempts to reach replicas. A connection request to a
	// machine without power is retransmitted only after a second, so these attempts are short: the
	// replicas may be starting, like this box. After dialsBeforeBackoff failed attempts the timeout
	// doubles with each one, up to maxDialTimeout, so that many boxes that can't reach any replica
	// make few attempts.
	minDialTimeout     = 60 * time.Millisecond
	dialsBeforeBackoff = 12
	maxDialTimeout     = 2 * time.Second
	// maxTimeoutDoublings is well above the number that leads to maxDialTimeout, and avoids an overflow.
	maxTimeoutDoublings = 16
	// failuresToRetryAvoided is the number of failed attempts after which avoided replicas are dialled
	// too: they may have restarted.
	failuresToRetryAvoided = 2
	// minMoveDelay and moveJitter determine how long a box waits before it moves to its preferred
	// replica: the replicas of a new cluster are listed one after the other. moveRetryDelay is the time
	// to the next attempt.
	minMoveDelay   = 500 * time.Millisecond
	moveJitter     = 1500 * time.Millisecond
	moveRetryDelay = 10 * time.Second
	// dialJitter is the relative range over which boxes vary the dial timeout, so that they don't all
	// dial at the same time.
	dialJitter = 0.5
)

// linkState is the state of the connection to a replica.
type linkState uint8

const (
	linkDown linkState = iota
	linkDialling
	linkUp
)

// link is the connection to a control replica.
type link struct {
	state linkState
	// lastActivity is when the connection was made or last brought a grant or a part of the table.
	lastActivity units.Instant
	// awaitsLeader is set once the replica has answered that it has no leader.
	awaitsLeader bool
	// nextDialAt is when replicas may be dialled again.
	nextDialAt units.Instant
	// moveAt is when a box moves to its preferred replica; zero while it is attached to it.
	moveAt units.Instant
	// failures counts the attempts since the replica last showed activity.
	failures int
}

// attach dials the best candidates.
func (s *Subscription) attach(now units.Instant, e *Effects) {
	s.dial(now, s.replicas.candidates(now, maxConcurrentDials, s.link.failures >= failuresToRetryAvoided), e)
}

// moveToPreferred moves a box with a lease to its preferred replica, after a random delay so that
// the boxes don't all move at the same time.
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
	// If the attempt fails, the preferred replica is avoided, not the one that is left.
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

// nextDialTimeout returns the timeout of the next attempt, after which another may follow.
func (s *Subscription) nextDialTimeout() time.Duration {
	timeout := maxDialTimeout
	if doublings := max(0, s.link.failures-dialsBeforeBackoff); doublings < maxTimeoutDoublings {
		timeout = min(timeout, minDialTimeout<<doublings)
	}
	s.link.failures++
	return time.Duration(float64(timeout) * (1 + dialJitter*(s.random.Float64()-0.5)))
}

// connected starts to use the connection that was made first.
func (s *Subscription) connected(now units.Instant, to units.ReplicaID, e *Effects) {
	s.replicas.current = to
	s.link.state = linkUp
	s.link.lastActivity = now
	s.renew(now, e)
}

// disconnected gives up the connection and avoids its replica. Replicas are dialled with the next
// tick, unless the last attempt is too recent.
func (s *Subscription) disconnected(now units.Instant) {
	s.link.state = linkDown
	s.replicas.avoidCurrent(now)
}

// recordActivity records that the replica works.
func (s *Subscription) recordActivity(now units.Instant) {
	s.link.lastActivity = now
	s.link.failures = 0
}

// replicaTimeout returns the time without activity after which the replica is given up.
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
