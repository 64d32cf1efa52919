package routing

import (
	"cmp"
	"time"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// If the table lists workspaces, a call on a route that isn't public needs a workspace's key. It is
// checked against the table that is current when the call arrives; an admitted call may finish even
// if its key is revoked.

// staleKeysRetryAfter is the retry delay for calls refused because the box can't know which keys
// are valid. Most link failures are over within it, or the caller reaches another box.
const staleKeysRetryAfter = time.Second

// keyRing maps keys to workspaces.
type keyRing struct {
	required bool
	owners   map[apikey.Digest]*table.Workspace
	// document is the document version from which the ring was built.
	document units.DocumentVersion
}

// newKeyRing builds the key ring of a table.
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

// owner returns the workspace of the key that a call presents, or nil.
func (k *keyRing) owner(c *apikey.Credential) *table.Workspace {
	d, presented := c.Digest()
	if !presented {
		return nil
	}
	return k.owners[d]
}

// findWorkspace returns the workspace whose key a call presents, or the refusal of a call that lacks a valid one.
// There is neither where no key is needed.
func (r *Router) findWorkspace(x *route, presented *apikey.Credential) (*table.Workspace, Refusal) {
	if !r.keys.required || x.public {
		return nil, Refusal{}
	}
	if r.keysStale() {
		return nil, Refusal{Reason: StaleKeys, Outcome: NotRun, RetryAfter: staleKeysRetryAfter}
	}
	w := r.keys.owner(presented)
	if w == nil {
		return nil, Refusal{Reason: UnknownKey, Outcome: NotRun}
	}
	return w, Refusal{}
}

// keysStale reports whether a key may have been revoked without this box having been informed in
// time.
func (r *Router) keysStale() bool {
	return r.settings.MaxKeyStaleness > 0 && r.now > r.leaseConfirmedAt.Add(r.settings.MaxKeyStaleness)
}

// workspaceName returns the name of the call's workspace; empty if there is none.
func (c *call) workspaceName() units.WorkspaceName {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// urgency is the rank of a waiting call.
type urgency struct {
	// overdue is set for calls whose answer is overdue. They rank behind all others: most of them
	// already miss their deadline, so that a slot is of more use to a new call.
	overdue bool
	// primary and secondary are priorities; 0 is the highest.
	primary, secondary int
}

// urgency returns how urgent a call is: the workspace's priority ranks before the route's.
func (c *call) urgency() urgency {
	u := urgency{primary: c.route.priority, secondary: c.route.priority}
	if c.workspace != nil && c.workspace.Ranked {
		u.primary = c.workspace.Priority
	}
	return u
}

// compare sorts the most urgent call first.
func (u urgency) compare(o urgency) int {
	if u.overdue != o.overdue {
		if u.overdue {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(u.primary, o.primary), cmp.Compare(u.secondary, o.secondary))
}
