package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/apikey"
)

// A box that has just started gets its table a moment later. Calls that come before are
// held for it: a caller that is refused comes back later than the table does, and all of
// them at the same time.

const (
	// firstTableTimeout is for how long after its start a box holds calls for its first table; after a loss
	// of power of all boxes a leader stands and tables come well within it.
	firstTableTimeout = 500 * time.Millisecond
	// maxEarlyCalls bounds the calls that are held so.
	maxEarlyCalls = 512
	// noTableRetryAfter is when the caller of a box without a table may come back.
	noTableRetryAfter = 250 * time.Millisecond
)

// earlyCall is a call that came before the first table.
type earlyCall struct {
	id       CallID
	host     string
	path     string
	key      apikey.Credential
	deadline time.Duration
}

// holdEarly holds a call for the first table, and tells whether it does.
func (r *Router) holdEarly(id CallID, c *call, v *CallArrived, e *Effects) bool {
	until := r.startedAt.Add(firstTableTimeout)
	if !r.enabled(EarlyCalls) || r.now >= until || len(r.early) >= maxEarlyCalls {
		return false
	}
	if v.Deadline > 0 {
		until = min(until, r.now.Add(v.Deadline))
	}
	c.awaitsTable = true
	r.early = append(r.early, earlyCall{id: id, host: string(v.Host), path: string(v.Path), key: v.Credential.Detached(), deadline: v.Deadline})
	r.timers.Push(timer{at: until, call: id, kind: firstTableTimer})
	e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: until})
	return true
}

// admitEarly decides about the calls that were held for the first table, once that is in
// force.
func (r *Router) admitEarly(e *Effects) {
	if len(r.early) == 0 || r.tableIsEmpty() || !r.leased() {
		return
	}
	list := r.early
	r.early = nil
	for _, x := range list {
		c := r.calls.Get(x.id)
		if c == nil || !c.awaitsTable {
			continue
		}
		c.awaitsTable = false
		r.admit(x.id, c, &CallArrived{Host: []byte(x.host), Path: []byte(x.path), Credential: x.key, Deadline: x.deadline}, e)
	}
}

// refuseEarly refuses a call whose table hasn't come in time.
func (r *Router) refuseEarly(id CallID, c *call, e *Effects) {
	if c.awaitsTable {
		r.refuse(id, c, Refusal{Reason: NoTable, Outcome: NotRun, RetryAfter: noTableRetryAfter}, e)
	}
}
