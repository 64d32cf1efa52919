package table

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/units"
)

// Workspace is a customer whose callers show one of its keys.
type Workspace struct {
	Name units.WorkspaceName `json:"name"`
	// Keys are the digests of the keys that let calls in.
	Keys []apikey.Digest `json:"keys"`
	// Priority ranks the workspace's calls before their routes do; 0 is the highest. It counts
	// where Ranked is set.
	Priority int  `json:"priority,omitempty"`
	Ranked   bool `json:"ranked,omitempty"`
	// Rate is how many calls a second may run, all boxes together; zero means no limit. Burst is
	// how many may run beside them.
	Rate  units.CallRate `json:"rate,omitempty"`
	Burst float64        `json:"burst,omitempty"`
}

// Workspaces are all those that a document names: nil lets in every call, an empty list those of
// public routes only.
type Workspaces []Workspace

var workspaceRules = []rule[Workspace]{
	{"name", func(w *Workspace) bool { return validWorkspaceName(w.Name) }, "use 1 to 64 visible characters of ASCII"},
	{"rate", func(w *Workspace) bool { return validAmount(float64(w.Rate)) }, "give 0 for no limit, or a positive number of calls a second"},
	{"burst", func(w *Workspace) bool { return validAmount(w.Burst) }, "give 0 or a positive number of calls"},
}

func validAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// validWorkspaceName tells whether a name may stand in a header.
func validWorkspaceName(n units.WorkspaceName) bool {
	if n == "" || len(n) > MaxNameLength {
		return false
	}
	return !slices.ContainsFunc([]byte(n), func(b byte) bool { return b <= ' ' || b > '~' })
}

// check says what is wrong with the workspaces, or returns an empty string. It names keys by
// their places.
func (w Workspaces) check() string {
	names := map[units.WorkspaceName]bool{}
	owners := map[apikey.Digest]units.WorkspaceName{}
	for i := range w {
		x := &w[i]
		if problems := findProblems(workspaceRules, x); len(problems) > 0 {
			return fmt.Sprintf("workspace %q: %s", x.Name, joinProblems(problems))
		}
		if names[x.Name] {
			return fmt.Sprintf("workspace %q stands in the document twice; remove one of them", x.Name)
		}
		names[x.Name] = true
		for keyIndex, k := range x.Keys {
			if owner, taken := owners[k]; taken {
				return fmt.Sprintf("workspace %q: key %d is also one of workspace %q; remove one of them", x.Name, keyIndex+1, owner)
			}
			owners[k] = x.Name
		}
	}
	return ""
}

// sorted returns the workspaces by name, with their keys in order.
func (w Workspaces) sorted() []Workspace {
	list := slices.Clone(w)
	for i := range list {
		list[i].Keys = slices.SortedFunc(slices.Values(list[i].Keys), apikey.Digest.Compare)
	}
	slices.SortFunc(list, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// equal tells whether two workspaces say the same.
func (w *Workspace) equal(o *Workspace) bool {
	return w.Name == o.Name && w.Priority == o.Priority && w.Ranked == o.Ranked && w.Rate == o.Rate && w.Burst == o.Burst &&
		slices.Equal(w.Keys, o.Keys)
}

// WorkspaceChange is a change of the list of workspaces; it holds what differs only.
type WorkspaceChange struct {
	Put     []Workspace           `json:"put,omitempty"`
	Removed []units.WorkspaceName `json:"removed,omitempty"`
}

// workspaceDifference returns the change that leads from one list to another; both are sorted by
// name.
func workspaceDifference(from, to []Workspace) WorkspaceChange {
	var c WorkspaceChange
	c.Put, c.Removed = sortedDifference(from, to, nameOfWorkspace, cmp.Compare, func(a, b Workspace) bool { return a.equal(&b) })
	return c
}

func nameOfWorkspace(w Workspace) units.WorkspaceName { return w.Name }

// Workspace returns the workspace of a name, or nil.
func (t *Table) Workspace(name units.WorkspaceName) *Workspace {
	i, found := slices.BinarySearchFunc(t.Workspaces, name, func(w Workspace, n units.WorkspaceName) int { return cmp.Compare(w.Name, n) })
	if !found {
		return nil
	}
	return &t.Workspaces[i]
}

// patchWorkspaces returns the list after a change.
func patchWorkspaces(list []Workspace, c WorkspaceChange) []Workspace {
	return patchSorted(list, c.Removed, c.Put, nameOfWorkspace, cmp.Compare)
}

// WorkspaceView is what operators see of a workspace.
type WorkspaceView struct {
	Name units.WorkspaceName `json:"name"`
	// Keys are the beginnings of the keys' digests.
	Keys     []string       `json:"keys"`
	Priority int            `json:"priority,omitempty"`
	Ranked   bool           `json:"ranked,omitempty"`
	Rate     units.CallRate `json:"rate,omitempty"`
	Burst    float64        `json:"burst,omitempty"`
	// Use is nil where it isn't known: only the leader does.
	Use *WorkspaceUse `json:"use,omitempty"`
}

// WorkspaceUse is what boxes have let in and refused of a workspace over the last seconds.
type WorkspaceUse struct {
	Admitted units.CallRate `json:"admitted"`
	Refused  units.CallRate `json:"refused"`
}

// View is what may be shown of the workspace.
func (w *Workspace) View() WorkspaceView {
	v := WorkspaceView{
		Name: w.Name, Priority: w.Priority, Ranked: w.Ranked, Rate: w.Rate, Burst: w.Burst, Keys: make([]string, 0, len(w.Keys)),
	}
	for _, k := range w.Keys {
		v.Keys = append(v.Keys, k.String())
	}
	return v
}
