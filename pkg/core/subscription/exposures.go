package subscription

import (
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// RenewNow asks for a request for a lease at once: it carries news that the leader had better
// have before the next one is due.
type RenewNow struct{}

func (RenewNow) subscriptionEvent() {}

// renewNow sends a request at once where there is a replica to send it to.
func (s *Subscription) renewNow(now units.Instant, e *Effects) {
	if s.link.state == linkUp {
		s.renew(now, e)
	}
}

// applyExposures passes on what a grant says of rollouts, unless a later request was answered
// before: a late answer must not bring back what the leader has withdrawn.
func (s *Subscription) applyExposures(asked units.Instant, r *wire.RenewResponse, e *Effects) {
	if r.Nonce < s.exposuresNonce {
		return
	}
	s.exposuresNonce = r.Nonce
	if len(r.Exposures) == 0 && !s.hasExposures {
		return
	}
	s.hasExposures = len(r.Exposures) > 0
	e.ExposuresChanged = true
	e.Exposures = wire.ToExposures(r.Exposures, asked)
}
