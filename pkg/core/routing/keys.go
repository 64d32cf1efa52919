package routing

import (
	"cmp"
	"time"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Where the table names workspaces, a call of a route that isn't public needs the key of one.
// Each call is judged by the table in force as it comes; one that was let in may end.

// staleKeysRetryAfter is when a caller may come back to a box that can't know which keys hold. Most
// links that are cut are back, or the caller finds another box, within it.
const staleKeysRetryAfter = time.Second

// keyRing finds the workspaces of keys.
type keyRing struct {
	required bool
	owners   map[apikey.Digest]*table.Workspace
	// document is the version that the ring was made from.
	document units.DocumentVersion
}

// newKeyRing returns the ring of a table.
func newKeyRing(t *table.Table) keyRing {
	k := keyRing{required: t.KeysRequired, document: t.Document}
	if !k.required {
		return k
	}
	k.owners = map[apikey.Digest]*table.Workspace{}
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		for _, d := range w.Keys {
			k.owners[d] = w
		}
	}
	return k
}

// owner returns the workspace whose key a call presents, or nil.
func (k *keyRing) owner(c *apikey.Credential) *table.Workspace {
	d, presented := c.Digest()
	if !presented {
		return nil
	}
	return k.owners[d]
}

// refuseWithoutKey refuses a call that needs a key and doesn't present one that holds.
func (r *Router) refuseWithoutKey(id CallID, c *call, presented *apikey.Credential, e *Effects) bool {
	if !r.keys.required || c.route.public {
		return false
	}
	if r.keysStale() {
		r.refuse(id, c, Refusal{Reason: KeysInDoubt, Outcome: NotRun, RetryAfter: staleKeysRetryAfter}, e)
		return true
	}
	c.workspace = r.keys.owner(presented)
	if c.workspace == nil {
		r.refuse(id, c, Refusal{Reason: UnknownKey, Outcome: NotRun}, e)
		return true
	}
	return false
}

// keysStale tells whether a key may have been taken away without this box having heard of it
// in time.
func (r *Router) keysStale() bool {
	return r.settings.MaxKeyStaleness > 0 && r.now > r.leaseConfirmedAt.Add(r.settings.MaxKeyStaleness)
}

// workspaceName is the name of the call's workspace; empty for a call without one.
func (c *call) workspaceName() units.WorkspaceName {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// urgency ranks calls that wait.
type urgency struct {
	// overdue is set for calls whose answer is overdue. They come behind all others: most of them
	// are late already, so that a slot does more for a call that has just come.
	overdue bool
	// primary and secondary are priorities; 0 is the highest.
	primary, secondary int
}

// urgency is how urgent a call is: its workspace's priority comes before its route's.
func (c *call) urgency() urgency {
	u := urgency{primary: c.route.priority, secondary: c.route.priority}
	if c.workspace != nil && c.workspace.Ranked {
		u.primary = c.workspace.Priority
	}
	return u
}

// compare orders the most urgent first.
func (u urgency) compare(o urgency) int {
	if u.overdue != o.overdue {
		if u.overdue {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(u.primary, o.primary), cmp.Compare(u.secondary, o.secondary))
}
