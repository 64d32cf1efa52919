package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may announce in its answers how many calls a second it accepts from all boxes together.
// The limit is in force as long as its answers contain it. A box that knows of the limit sends
// nothing to the target without a permit from the target's coordinator (coordinator.go), whatever
// the purpose of the send. Fixed shares for all boxes wouldn't work: if the limit is below the
// number of boxes, each would be limited to less than one call a second, and callers arrive at
// other boxes than those with unused shares.

const (
	// endedLimitRetention is how long a box remembers that a limit has ended, so that a box that
	// doesn't know this yet can't restore the limit.
	endedLimitRetention = time.Minute
	// minLimitLogInterval is the least time between two log lines about the limits of one target.
	minLimitLogInterval = time.Second
)

// targetLimit is a box's state of the limit announced by one incarnation of a target, and the
// permits that the box holds.
type targetLimit struct {
	current limit.State
	// receivedAt is when an answer to this box last announced a limit, changedAt when the limit
	// last changed.
	receivedAt, changedAt units.Instant
	// loggedAt is when the limit was last logged.
	loggedAt units.Instant
	// permits are the unused permits held by this box.
	permits allowances
	// request is the last permit request, nextRequestAt the earliest useful time for the next one.
	request       permitRequest
	nextRequestAt units.Instant
	// account is the token bucket of the limit, kept by the target's coordinator only; nil before
	// the first request.
	account *limit.TokenBucket
	// handedOverBy is the coordinator that handed the target over to this box, at handedOverAt.
	handedOverBy units.BoxID
	handedOverAt units.Instant
}

// isLimited reports whether the target announces a limit.
func (n *notice) isLimited() bool { return n != nil && n.limit != nil && n.limit.current.Limited }

// ensureLimit returns the state of the limit; it creates an empty one if there is none.
func (n *notice) ensureLimit() *targetLimit {
	if n.limit == nil {
		n.limit = &targetLimit{}
	}
	return n.limit
}

// recordLimit processes an answer that announces a limit. If the call was sent before the current
// version was known, the answer may be older than that version, so only a lower limit is accepted.
func (r *Router) recordLimit(n *notice, endpoint *Endpoint, rate units.CallRate, knownVersion uint64, e *Effects) {
	x := n.ensureLimit()
	x.receivedAt = r.now
	w := x.current.WithRate(rate)
	if !w.SameLimit(x.current) && (w.StricterThan(x.current) || knownVersion == x.current.Version) {
		r.setLimit(n, endpoint, w, e)
	}
}

// recordNoLimit processes a good answer that announces no limit. It ends the limit only if the call
// was sent when the current version was known and after this box last received a limit; otherwise
// the answer may be older than the limit. The coordinator informs the other boxes when they request
// permits.
func (r *Router) recordNoLimit(a *attempt, announced ReportedLimit, e *Effects) {
	t := a.target
	if announced.Present || announced.Malformed || !t.notice.isLimited() {
		return
	}
	x := t.notice.limit
	if a.limitVersion != x.current.Version || a.sent <= x.receivedAt {
		return
	}
	r.setLimit(t.notice, t.endpoint, x.current.Cleared(), e)
	if to, known := r.coordinatorOf(t); known && to != r.settings.Box {
		r.sendLimitMessage(to, t, LimitMessage{Kind: ReportLimitEnd}, e)
	}
}

// updateLimitFromPeer applies the state of a target's limit that another box has sent.
func (r *Router) updateLimitFromPeer(t *target, w limit.State, e *Effects) {
	if !w.Supersedes(t.limitState()) || t.notice == nil && !w.Limited {
		return
	}
	if t.notice == nil {
		t.notice = r.ensureNotice(incarnationOfRow(&t.row))
	}
	t.notice.ensureLimit()
	r.setLimit(t.notice, t.endpoint, w, e)
}

// setLimit puts a new state of the limit in force. From then on the shell sends the target no calls
// without a permit, or all calls again if the limit has ended.
func (r *Router) setLimit(n *notice, endpoint *Endpoint, w limit.State, e *Effects) {
	x := n.limit
	before := x.current
	x.current, x.changedAt = w, r.now
	switch {
	case !w.Limited:
		x.permits, x.request, x.nextRequestAt, x.account = nil, permitRequest{}, 0, nil
	case x.account != nil:
		x.account.SetRate(r.now, w.Rate)
	}
	begins, ends := w.Limited && !before.Limited, before.Limited && !w.Limited
	if !begins && !ends && (w.SameLimit(before) || r.now.Sub(x.loggedAt) < minLimitLogInterval) {
		return
	}
	x.loggedAt = r.now
	change := n.toShellNotice(r.now)
	change.LimitBegins, change.LimitEnds = w.Limited, ends
	e.add(Effect{Kind: TargetNotice, Endpoint: endpoint, Notice: change})
	for _, s := range r.applyToServices(n, endpoint, e) {
		if ends {
			r.freedServices = append(r.freedServices, s)
		}
	}
}
