package table

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// Table is the part of the replicated state that boxes need. A Table is immutable;
// Patch returns a new one.
type Table struct {
	Revision units.Revision               `json:"revision"`
	Services map[units.ServiceName]*Entry `json:"services"`
	// Boxes are sorted by id.
	Boxes []Box `json:"boxes"`
	// Document is the version of the document in force; zero means that there is
	// none.
	Document units.DocumentVersion `json:"document,omitempty"`
	// Routes take precedence over the services' own hosts and prefixes.
	Routes map[RouteKey]*Route `json:"-"`
	// Evacuations are the records of failure domains that are or were evacuated, sorted by domain.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Rollouts are the last rollouts of the services, sorted by service.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// InForce are the software versions whose targets get calls, sorted by service. Targets of a
	// service that isn't listed get calls whatever their version.
	InForce []SoftwareInForce `json:"inForce,omitempty"`
	// Quarantines are the calls that are kept from all targets, sorted by fingerprint.
	Quarantines []Quarantine `json:"quarantines,omitempty"`
	// Workspaces are the customers whose keys calls may present, sorted by name.
	Workspaces []Workspace `json:"-"`
	// KeysRequired is set if calls of routes that aren't public must present a workspace's key.
	KeysRequired bool `json:"-"`
}

// Delta is the change of a table from one revision to a later one.
type Delta struct {
	From     units.Revision      `json:"from"`
	Revision units.Revision      `json:"revision"`
	Changed  []*Entry            `json:"changed,omitempty"`
	Patched  []*EntryPatch       `json:"patched,omitempty"`
	Removed  []units.ServiceName `json:"removed,omitempty"`
	// Boxes is the change of the list of boxes.
	Boxes BoxChange `json:"boxes"`
	// Document is the version of a document that is put in force, or zero.
	Document units.DocumentVersion `json:"document,omitempty"`
	Routes   RouteChange           `json:"routes"`
	// Evacuations are the new or changed records of failure domains.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Rollouts and InForce are the new or changed records of services.
	Rollouts []Rollout         `json:"rollouts,omitempty"`
	InForce  []SoftwareInForce `json:"inForce,omitempty"`
	// Quarantines are the new or changed quarantines, Released the calls whose quarantine ends.
	Quarantines []Quarantine        `json:"quarantines,omitempty"`
	Released    []crash.Fingerprint `json:"released,omitempty"`
	// Workspaces and KeysRequired apply only if Document is set.
	Workspaces   WorkspaceChange `json:"workspaces"`
	KeysRequired bool            `json:"keysRequired,omitempty"`
}

// BoxChange is a change of the list of boxes. It holds only what differs, since the
// list may be long and changes whenever a box joins or leaves.
type BoxChange struct {
	// Put are the new or changed boxes.
	Put     []Box         `json:"put,omitempty"`
	Removed []units.BoxID `json:"removed,omitempty"`
}

// Empty reports whether nothing changes.
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

// Patch returns the table after a delta. If the delta doesn't start at the table's
// revision, or patches a service that isn't in the table, ok is false and Patch
// returns the table itself.
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

// Box returns the box with an id, or nil.
func (t *Table) Box(id units.BoxID) *Box {
	i, found := findBox(t.Boxes, id)
	if !found {
		return nil
	}
	return &t.Boxes[i]
}

// ServiceNames returns the sorted names of the services.
func (t *Table) ServiceNames() []units.ServiceName {
	return slices.Sorted(maps.Keys(t.Services))
}
