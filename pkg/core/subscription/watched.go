package subscription

import (
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Watched holds a grant's data on calls that may crash targets.
type Watched struct {
	// Term is the leader's term, Acknowledged the number of the last crash note of this box that it
	// has received, and Calls are the calls to watch.
	Term         units.Term
	Acknowledged uint64
	Calls        []crash.WatchedCall
}

// applyWatched reports a grant's watched calls in e, unless a later request has already been
// answered. Most grants carry none.
func (s *Subscription) applyWatched(r *wire.RenewResponse, e *Effects) {
	if r.Nonce < s.watchedNonce {
		return
	}
	s.watchedNonce = r.Nonce
	term := units.Term(r.Term)
	if len(r.Watched) == 0 && !s.hasWatched && r.Noted == 0 && term == s.watchedTerm {
		return
	}
	s.hasWatched = len(r.Watched) > 0
	s.watchedTerm = term
	e.Watched = &Watched{Term: term, Acknowledged: r.Noted, Calls: wire.ToWatchedCalls(r.Watched)}
}
