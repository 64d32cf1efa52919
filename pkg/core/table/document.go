package table

import (
	"fmt"
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
)

// Document is a whole table of services and routes that an operator replaces as a
// unit, with a version number of the operator's. A document whose version isn't
// higher than the current one's changes nothing.
type Document struct {
	Version  units.DocumentVersion `json:"version"`
	Services []Service             `json:"services"`
	Routes   []*Route              `json:"routes"`
	// Workspaces are those whose keys calls must present; nil admits calls without a key.
	Workspaces Workspaces `json:"workspaces"`
	// Source is the document as the operator wrote it; the API returns it unchanged.
	Source []byte `json:"source,omitempty"`
}

// CheckDocument returns a description of the first problem with a document and its
// remedy, or an empty string.
func CheckDocument(d *Document) string {
	names := map[units.ServiceName]bool{}
	for i := range d.Services {
		s := &d.Services[i]
		if problems := findProblems(documentServiceRules, s); len(problems) > 0 {
			return fmt.Sprintf("service %q: %s", s.Name, joinProblems(problems))
		}
		if names[s.Name] {
			return fmt.Sprintf("service %q appears twice in the document; remove one of them", s.Name)
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

// documentServiceRules are the rules for services in a document, which don't need
// hosts of their own since routes lead to them.
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

// ApplyDocument puts a document in force if its version is higher than the current
// one's. The delta is nil if nothing changes.
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

// commit applies a delta to the table and returns it.
func (s *State) commit(d *Delta) *Delta {
	s.updateDivisions(d)
	s.table, _ = s.table.Patch(d)
	return d
}
