package subscription

import (
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Watched is what a grant says of calls under which targets crash.
type Watched struct {
	// Term is the leader's, Noted the last of the box's notes that it has.
	Term  units.Term
	Noted uint64
	Calls []crash.WatchedCall
}

// takeWatched passes on what a grant says of calls, unless a later request was answered before.
// Most grants say nothing.
func (s *Subscription) takeWatched(r *wire.RenewResponse, e *Effects) {
	if r.Nonce < s.watchedBy {
		return
	}
	s.watchedBy = r.Nonce
	term := units.Term(r.Term)
	if len(r.Watched) == 0 && !s.watching && r.Noted == 0 && term == s.watchedTerm {
		return
	}
	s.watching = len(r.Watched) > 0
	s.watchedTerm = term
	e.Watched = &Watched{Term: term, Noted: r.Noted, Calls: wire.ToWatched(r.Watched)}
}
