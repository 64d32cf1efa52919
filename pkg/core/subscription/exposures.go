package subscription

import (
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// RenewNow requests a lease renewal at once: the box has evidence for the leader that shouldn't wait
// for the next renewal.
type RenewNow struct{}

func (RenewNow) subscriptionEvent() {}

// renewNow sends a renewal at once if the box is attached to a replica.
func (s *Subscription) renewNow(now units.Instant, e *Effects) {
	if s.link.state == linkUp {
		s.renew(now, e)
	}
}

// applyExposures reports a grant's exposures of new versions in e, unless a later request has
// already been answered: a late grant must not restore what the leader has withdrawn.
func (s *Subscription) applyExposures(requestedAt units.Instant, r *wire.RenewResponse, e *Effects) {
	if r.Nonce < s.exposuresNonce {
		return
	}
	s.exposuresNonce = r.Nonce
	if len(r.Exposures) == 0 && !s.hasExposures {
		return
	}
	s.hasExposures = len(r.Exposures) > 0
	e.ExposuresChanged = true
	e.Exposures = wire.ToExposures(r.Exposures, requestedAt)
}
