package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/apikey"
)

// A box that has just started receives its table shortly afterwards. Calls that arrive earlier are
// held until then: callers that were refused would retry later than the table arrives, and all of
// them at the same time.

const (
	// firstTableTimeout is for how long after its start a box holds calls for its first table. When
	// all boxes restart after a power loss, the cluster elects a leader and distributes tables well
	// within this time.
	firstTableTimeout = 500 * time.Millisecond
	// maxEarlyCalls bounds the calls that are held for the first table.
	maxEarlyCalls = 512
	// noTableRetryAfter is the retry delay reported by a box without a table.
	noTableRetryAfter = 250 * time.Millisecond
)

// earlyCall is a call that arrived before the first table.
type earlyCall struct {
	id       CallID
	host     string
	path     string
	key      apikey.Credential
	deadline time.Duration
}

// holdEarly holds a call for the first table, and reports whether it did.
func (r *Router) holdEarly(id CallID, c *call, v *CallArrived, e *Effects) bool {
	until := r.startedAt.Add(firstTableTimeout)
	if !r.enabled(EarlyCalls) || r.now >= until || len(r.earlyCalls) >= maxEarlyCalls {
		return false
	}
	if v.Deadline > 0 {
		until = min(until, r.now.Add(v.Deadline))
	}
	c.awaitsTable = true
	r.earlyCalls = append(r.earlyCalls, earlyCall{id: id, host: string(v.Host), path: string(v.Path), key: v.Credential.Detached(), deadline: v.Deadline})
	r.timers.Push(timer{at: until, call: id, kind: firstTableTimer})
	e.add(Effect{Kind: Hold, Call: id, Owner: c.owner, Deadline: until})
	return true
}

// admitEarly admits the calls that were held for the first table, once that is in force.
func (r *Router) admitEarly(e *Effects) {
	if len(r.earlyCalls) == 0 || r.tableIsEmpty() || !r.leased() {
		return
	}
	list := r.earlyCalls
	r.earlyCalls = nil
	for _, x := range list {
		c := r.calls.Get(x.id)
		if c == nil || !c.awaitsTable {
			continue
		}
		c.awaitsTable = false
		r.admit(x.id, c, &CallArrived{Host: []byte(x.host), Path: []byte(x.path), Credential: x.key, Deadline: x.deadline}, e)
	}
}

// refuseEarly refuses a call for which the first table hasn't arrived in time.
func (r *Router) refuseEarly(id CallID, c *call, e *Effects) {
	if c.awaitsTable {
		r.refuse(id, c, Refusal{Reason: NoTable, Outcome: NotRun, RetryAfter: noTableRetryAfter}, e)
	}
}
