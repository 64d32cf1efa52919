package sheet

import (
	"reflect"
	"slices"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Sheets hold the services and rows of the table in the form that operators edit. Routes aren't
// included.
type Sheets struct {
	Services []table.Service
	Rows     []table.Row
}

// FromTable returns a table's sheets. Services are sorted by name, and rows are grouped by
// service.
func FromTable(t *table.Table) Sheets {
	var s Sheets
	for _, n := range t.ServiceNames() {
		s.Services = append(s.Services, t.Services[n].Service)
		s.Rows = append(s.Rows, t.Services[n].Rows.List()...)
	}
	return s
}

// Diff returns the operations that change a table to the content of the sheets: first those on
// services, then those on rows. Services and rows that the sheets don't contain are kept, or
// deleted last if prune is set.
func Diff(t *table.Table, s Sheets, prune bool) []table.Operation {
	var operations []table.Operation
	for i := range s.Services {
		v := &s.Services[i]
		if entry := t.Services[v.Name]; entry == nil || !sameService(&entry.Service, v) {
			operations = append(operations, table.Operation{Kind: table.PutService, Service: v})
		}
	}
	for i := range s.Rows {
		v := &s.Rows[i]
		if entry := t.Services[v.Service]; entry == nil || entry.Row(v.Target) == nil || *entry.Row(v.Target) != *v {
			operations = append(operations, table.Operation{Kind: table.PutRow, Row: v})
		}
	}
	if prune {
		operations = append(operations, deletions(t, s)...)
	}
	return operations
}

// sameService reports whether two services are equal. A nil list of hosts equals an empty one.
func sameService(a, b *table.Service) bool {
	x, y := *a, *b
	if len(x.Hosts) == 0 && len(y.Hosts) == 0 {
		x.Hosts, y.Hosts = nil, nil
	}
	return reflect.DeepEqual(x, y)
}

// deletions returns operations that delete the services and rows that the sheets don't contain.
func deletions(t *table.Table, s Sheets) []table.Operation {
	var operations []table.Operation
	for _, n := range t.ServiceNames() {
		entry := t.Services[n]
		if !slices.ContainsFunc(s.Services, func(v table.Service) bool { return v.Name == n }) {
			operations = append(operations, table.Operation{Kind: table.DeleteService, Service: &table.Service{Name: n}})
			continue
		}
		for r := range entry.Rows.All() {
			if !slices.ContainsFunc(s.Rows, func(v table.Row) bool { return v.Service == n && v.Target == r.Target }) {
				operations = append(operations, table.Operation{Kind: table.DeleteRow, Row: &table.Row{Service: n, Target: r.Target}})
			}
		}
	}
	return operations
}

// Bases returns the current versions of the services that operations change, 0 for a service
// that doesn't exist.
func Bases(t *table.Table, operations []table.Operation) map[units.ServiceName]units.Version {
	bases := map[units.ServiceName]units.Version{}
	for _, o := range operations {
		n := o.ServiceName()
		bases[n] = 0
		if entry := t.Services[n]; entry != nil {
			bases[n] = entry.Version
		}
	}
	return bases
}
