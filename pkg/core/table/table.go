package table

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// Table is what the boxes need of the replicated state. A Table that was handed
// out isn't changed any more; Apply and Patch make new ones.
type Table struct {
	Revision units.Revision               `json:"revision"`
	Services map[units.ServiceName]*Entry `json:"services"`
	// Boxes are sorted by id.
	Boxes []Box `json:"boxes"`
	// Document is the version of the whole document that was put last; zero stands
	// for none.
	Document units.DocumentVersion `json:"document,omitempty"`
	// Routes come before the services' own hosts and prefixes.
	Routes map[RouteKey]*Route `json:"-"`
	// Evacuations are the failure domains that are or were evacuated, sorted by domain.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Rollouts are the last rollouts of services, sorted by service.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// InForce are the versions of software that take calls, sorted by service. Targets of a
	// service that isn't listed take calls whatever their version.
	InForce []SoftwareInForce `json:"inForce,omitempty"`
	// Quarantines are the calls that no target gets, sorted by fingerprint.
	Quarantines []Quarantine `json:"quarantines,omitempty"`
	// Workspaces are the customers whose keys let calls in, sorted by name.
	Workspaces []Workspace `json:"-"`
	// KeysRequired is set where calls of routes that aren't public need the key of a workspace.
	KeysRequired bool `json:"-"`
}

// Delta carries a table from one revision to the next.
type Delta struct {
	From     units.Revision      `json:"from"`
	Revision units.Revision      `json:"revision"`
	Changed  []*Entry            `json:"changed,omitempty"`
	Patched  []*EntryPatch       `json:"patched,omitempty"`
	Removed  []units.ServiceName `json:"removed,omitempty"`
	// Boxes is what changes in the list of boxes.
	Boxes BoxChange `json:"boxes"`
	// Document is the version of a document that comes in force, or zero.
	Document units.DocumentVersion `json:"document,omitempty"`
	Routes   RouteChange           `json:"routes"`
	// Evacuations are the records of failure domains that change.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Rollouts and InForce are the records of services that change.
	Rollouts []Rollout         `json:"rollouts,omitempty"`
	InForce  []SoftwareInForce `json:"inForce,omitempty"`
	// Quarantines are those that begin or change, Released those that end.
	Quarantines []Quarantine        `json:"quarantines,omitempty"`
	Released    []crash.Fingerprint `json:"released,omitempty"`
	// Workspaces and KeysRequired come with a document.
	Workspaces   WorkspaceChange `json:"workspaces"`
	KeysRequired bool            `json:"keysRequired,omitempty"`
}

// BoxChange is a change of the list of boxes. It holds what differs only, since
// the list may be long and changes whenever a box comes or goes.
type BoxChange struct {
	// Put are boxes that are new or have changed.
	Put     []Box         `json:"put,omitempty"`
	Removed []units.BoxID `json:"removed,omitempty"`
}

// Empty tells whether nothing changes.
func (c BoxChange) Empty() bool { return len(c.Put)+len(c.Removed) == 0 }

func findBox(boxes []Box, id units.BoxID) (int, bool) {
	return slices.BinarySearchFunc(boxes, id, func(b Box, id units.BoxID) int {
		return strings.Compare(string(b.ID), string(id))
	})
}

// patchBoxes returns the list after a change.
func patchBoxes(boxes []Box, c BoxChange) []Box {
	return patchSorted(boxes, c.Removed, c.Put, func(b Box) units.BoxID { return b.ID }, cmp.Compare)
}

// NewTable returns an empty table at revision zero.
func NewTable() *Table {
	return &Table{Services: map[units.ServiceName]*Entry{}}
}

// Patch returns the table after a delta. The delta must start at the table's
// own revision; ok is false otherwise, and the table is returned as it was.
func (t *Table) Patch(d *Delta) (next *Table, ok bool) {
	if d.From != t.Revision || d.Revision <= d.From {
		return t, false
	}
	next = &Table{
		Revision: d.Revision, Services: t.Services, Boxes: patchBoxes(t.Boxes, d.Boxes),
		Document: max(t.Document, d.Document), Routes: patchRoutes(t.Routes, d.Routes),
		Evacuations: patchEvacuations(t.Evacuations, d.Evacuations),
		Rollouts:    patchByService(t.Rollouts, d.Rollouts, serviceOfRollout),
		InForce:     patchByService(t.InForce, d.InForce, serviceInForce),
		Quarantines: patchQuarantines(t.Quarantines, d),
		Workspaces:  patchWorkspaces(t.Workspaces, d.Workspaces), KeysRequired: t.KeysRequired,
	}
	if d.Document != 0 {
		next.KeysRequired = d.KeysRequired
	}
	if len(d.Changed)+len(d.Patched)+len(d.Removed) == 0 {
		return next, true
	}
	next.Services = maps.Clone(t.Services)
	for _, e := range d.Changed {
		next.Services[e.Service.Name] = e
	}
	for _, p := range d.Patched {
		old := t.Services[p.Service]
		if old == nil {
			return t, false
		}
		next.Services[p.Service] = p.apply(old)
	}
	for _, n := range d.Removed {
		delete(next.Services, n)
	}
	return next, true
}

// Box returns a box of the list, or nil.
func (t *Table) Box(id units.BoxID) *Box {
	i, found := findBox(t.Boxes, id)
	if !found {
		return nil
	}
	return &t.Boxes[i]
}

// ServiceNames returns the names of the services in order.
func (t *Table) ServiceNames() []units.ServiceName {
	return slices.Sorted(maps.Keys(t.Services))
}
