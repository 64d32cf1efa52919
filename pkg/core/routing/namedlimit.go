package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may name in its answers how many calls a second it takes from all boxes together, for as
// long as it says so. A box that has heard it sends such a target nothing without a permit of the
// target's coordinator (coordinator.go), whatever the reason for the send is. Any box's part would be
// wrong otherwise: of a limit below the number of boxes each would have to send less than a call a
// second, and callers come to other boxes than those whose part is left.

const (
	// limitMemory is how long a box remembers that a limit is over, so that a box that hasn't
	// heard it yet doesn't begin it anew.
	limitMemory = time.Minute
	// retellLimit is the least time between two log lines on limits that one target names.
	retellLimit = time.Second
)

// namedLimit is what a box knows of the limit of a start of a target, and what it holds of it.
type namedLimit struct {
	word limit.Word
	// heardAt is when an answer to this box last named a limit, changedAt when the word last changed.
	heardAt, changedAt units.Instant
	// toldAt is when the log was last told of a limit.
	toldAt units.Instant
	// permits are those that are held.
	permits allowances
	// ask is the request under way, again when the next one is worth while.
	ask   permitRequest
	again units.Instant
	// account is kept by the target's coordinator alone; nil before the first request.
	account *limit.Account
	// handedBy is the coordinator that has handed the target over to this box, at handedAt.
	handedBy units.BoxID
	handedAt units.Instant
}

// limited tells whether the target names a limit.
func (n *notice) limited() bool { return n != nil && n.limit != nil && n.limit.word.Limited }

// openLimit returns what is known of the limit; it begins with nothing.
func (n *notice) openLimit() *namedLimit {
	if n.limit == nil {
		n.limit = &namedLimit{}
	}
	return n.limit
}

// nameLimit takes an answer of a start of a target that names a limit. One to a call that was sent before the
// newest word was known may be older than that: only a tighter limit is taken from it.
func (r *Router) nameLimit(n *notice, endpoint *Endpoint, rate units.CallRate, base uint64, e *Effects) {
	x := n.openLimit()
	x.heardAt = r.now
	w := x.word.Naming(rate)
	if !w.Same(x.word) && (w.Tighter(x.word) || base == x.word.Version) {
		r.changeLimit(n, endpoint, w, e)
	}
}

// endLimit takes a good answer that names no limit. It ends one only if its call was sent once the newest word was
// known, and after this box last heard of the limit: an answer that was on its way then says nothing. The
// coordinator tells the other boxes when they ask.
func (r *Router) endLimit(a *attempt, said ReportedLimit, e *Effects) {
	t := a.target
	if said.Present || said.Malformed || !t.notice.limited() {
		return
	}
	x := t.notice.limit
	if a.limitVersion != x.word.Version || a.sent <= x.heardAt {
		return
	}
	r.changeLimit(t.notice, t.endpoint, x.word.Ending(), e)
	if to, known := r.coordinatorOf(t); known && to != r.settings.Box {
		r.sendLimit(to, t, LimitMessage{Kind: ReportLimitEnd}, e)
	}
}

// learnLimit takes the word on a target's limit that another box has sent.
func (r *Router) learnLimit(t *target, w limit.Word, e *Effects) {
	if !w.Replaces(t.limitState()) || t.notice == nil && !w.Limited {
		return
	}
	if t.notice == nil {
		t.notice = r.noticeOf(originOfRow(&t.row))
	}
	t.notice.openLimit()
	r.changeLimit(t.notice, t.endpoint, w, e)
}

// changeLimit puts a word in force. The shell keeps calls without a permit from the target from now on,
// or lets all go there again.
func (r *Router) changeLimit(n *notice, endpoint *Endpoint, w limit.Word, e *Effects) {
	x := n.limit
	before := x.word
	x.word, x.changedAt = w, r.now
	switch {
	case !w.Limited:
		x.permits, x.ask, x.again, x.account = nil, permitRequest{}, 0, nil
	case x.account != nil:
		x.account.SetRate(r.now, w.Rate)
	}
	begins, ends := w.Limited && !before.Limited, before.Limited && !w.Limited
	if !begins && !ends && (w.Same(before) || r.now.Sub(x.toldAt) < retellLimit) {
		return
	}
	x.toldAt = r.now
	news := n.forShell(r.now)
	news.LimitBegins, news.LimitEnds = w.Limited, ends
	e.add(Effect{Kind: TargetNotice, Endpoint: endpoint, Notice: news})
	for _, s := range r.bindEverywhere(n, endpoint, e) {
		if ends {
			r.freedServices = append(r.freedServices, s)
		}
	}
}
