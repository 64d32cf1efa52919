package sheet

import (
	"reflect"
	"slices"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Sheets are the table as its operators write it.
type Sheets struct {
	Services []table.Service
	Rows     []table.Row
}

// FromTable returns a table's sheets, services and rows in order.
func FromTable(t *table.Table) Sheets {
	var s Sheets
	for _, n := range t.ServiceNames() {
		s.Services = append(s.Services, t.Services[n].Service)
		s.Rows = append(s.Rows, t.Services[n].Rows.List()...)
	}
	return s
}

// Diff returns the operations that make a table what the sheets say. What the
// sheets leave out stays, unless prune is set. Operations on one service follow
// each other.
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

func sameService(a, b *table.Service) bool {
	x, y := *a, *b
	if len(x.Hosts) == 0 && len(y.Hosts) == 0 {
		x.Hosts, y.Hosts = nil, nil
	}
	return reflect.DeepEqual(x, y)
}

// deletions returns the deletions of what the sheets leave out.
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

// Bases returns the present versions of the services that operations touch.
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
