package table

import (
	"fmt"
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
)

// Document is a whole table of services and routes that is put as one, under a
// version of the operator's. The highest version holds: a document whose version
// isn't above the held one changes nothing.
type Document struct {
	Version  units.DocumentVersion `json:"version"`
	Services []Service             `json:"services"`
	Routes   []*Route              `json:"routes"`
	// Workspaces are those whose keys let calls in; nil lets in every call.
	Workspaces Workspaces `json:"workspaces"`
	// Source is the document as its operator wrote it; reads give it back.
	Source []byte `json:"source,omitempty"`
}

// CheckDocument says what is wrong with a document, or returns an empty string.
func CheckDocument(d *Document) string {
	names := map[units.ServiceName]bool{}
	for i := range d.Services {
		s := &d.Services[i]
		if problems := findProblems(documentServiceRules, s); len(problems) > 0 {
			return fmt.Sprintf("service %q: %s", s.Name, joinProblems(problems))
		}
		if names[s.Name] {
			return fmt.Sprintf("service %q stands in the document twice; remove one of them", s.Name)
		}
		names[s.Name] = true
	}
	keys := map[RouteKey]bool{}
	for _, r := range d.Routes {
		if detail := checkDocumentRoute(r, names); detail != "" {
			return fmt.Sprintf("route %q: %s", r.Name, detail)
		}
		if keys[r.Key()] {
			return fmt.Sprintf("route %q: another route has the same host and path prefix; change one of them", r.Name)
		}
		keys[r.Key()] = true
	}
	return d.Workspaces.check()
}

// documentServiceRules are the rules that don't need a service to be reachable by
// a host of its own.
var documentServiceRules = slices.DeleteFunc(slices.Clone(serviceRules), func(r rule[Service]) bool {
	return r.column == "hosts" || r.column == "path_prefix"
})

func checkDocumentRoute(r *Route, services map[units.ServiceName]bool) string {
	if problems := CheckRoute(r); len(problems) > 0 {
		return joinProblems(problems)
	}
	for _, p := range r.Services {
		if !services[p.Service] {
			return fmt.Sprintf("service %q isn't in the document; add it", p.Service)
		}
	}
	return ""
}

// Document returns the document in force, or nil.
func (s *State) Document() *Document { return s.document }

// ApplyDocument puts a document in force if its version is above the held one. The
// delta is nil when nothing changes.
func (s *State) ApplyDocument(d *Document) *Delta {
	if s.document != nil && d.Version <= s.document.Version {
		return nil
	}
	s.document = d
	delta := s.newDelta()
	delta.Document = d.Version
	delta.Routes = routeDifference(s.table.Routes, routesByKey(d.Routes))
	delta.KeysRequired = d.Workspaces != nil
	delta.Workspaces = workspaceDifference(s.table.Workspaces, d.Workspaces.sorted())
	kept := map[units.ServiceName]bool{}
	for i := range d.Services {
		kept[d.Services[i].Name] = true
		s.putDocumentService(&d.Services[i], delta)
	}
	for _, n := range s.table.ServiceNames() {
		if !kept[n] {
			delta.Removed = append(delta.Removed, n)
		}
	}
	s.rollBackRemovedServices(delta)
	return s.commit(delta)
}

func routesByKey(routes []*Route) map[RouteKey]*Route {
	byKey := make(map[RouteKey]*Route, len(routes))
	for _, r := range routes {
		byKey[r.Key()] = r
	}
	return byKey
}

// putDocumentService adds a service to a delta if the document changes it.
func (s *State) putDocumentService(service *Service, delta *Delta) {
	old := s.table.Services[service.Name]
	if old != nil && old.Service.equal(service) {
		return
	}
	entry := &Entry{Service: *service, Version: units.Version(delta.Revision)}
	var rows []Row
	if old != nil {
		rows = old.Rows.operatorRows()
	}
	for _, r := range s.targets {
		if r.Service == service.Name {
			rows = append(rows, r.row(service))
		}
	}
	entry.Rows = RowsOf(rows...)
	delta.Changed = append(delta.Changed, entry)
}

func (s *State) newDelta() *Delta {
	return &Delta{From: s.table.Revision, Revision: s.table.Revision + 1}
}

// commit puts a delta in force and returns it.
func (s *State) commit(d *Delta) *Delta {
	s.updateDivisions(d)
	s.table, _ = s.table.Patch(d)
	return d
}
