package control

import (
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Sizes in bytes of what a table doesn't share with the next one.
const (
	// tableBytes is the size of a table without its collections.
	tableBytes = 512
	// serviceIndexBytes, routeIndexBytes and boxBytes are the size of an element of a collection that is copied
	// whenever one of its elements changes.
	serviceIndexBytes = 64
	routeIndexBytes   = 80
	boxBytes          = 64
	// changedServiceBytes and changedRouteBytes are the size of a service or a route that has changed.
	changedServiceBytes = 2048
	changedRouteBytes   = 512
)

// previousTables holds the tables before the current one, the newest last, for boxes that come from
// other replicas with one of them. Beyond a number or a size, the oldest are dropped, and such boxes get
// the whole table.
type previousTables struct {
	tables []previousTable
	bytes  int
	limit  int
}

type previousTable struct {
	table *table.Table
	bytes int
}

// push adds the table before a change.
func (p *previousTables) push(before *table.Table, change *table.Delta) {
	added := previousTable{table: before, bytes: unsharedBytes(before, change)}
	p.tables = append(p.tables, added)
	p.bytes += added.bytes
	for len(p.tables) > maxPreviousTables || p.bytes > p.limit && len(p.tables) > 1 {
		p.bytes -= p.tables[0].bytes
		// The slice keeps its array for some time, but not the table.
		p.tables[0] = previousTable{}
		p.tables = p.tables[1:]
	}
}

// behind returns the table that is a number of revisions behind the current one, or nil when it isn't kept.
func (p *previousTables) behind(revisions units.Revision) *table.Table {
	if revisions == 0 || revisions > units.Revision(len(p.tables)) {
		return nil
	}
	return p.tables[len(p.tables)-int(revisions)].table
}

// clear drops all tables.
func (p *previousTables) clear() { p.tables, p.bytes = nil, 0 }

// unsharedBytes estimates the memory of a table that the next one doesn't share.
func unsharedBytes(before *table.Table, change *table.Delta) int {
	bytes := tableBytes
	if services := len(change.Changed) + len(change.Patched) + len(change.Removed); services > 0 {
		bytes += len(before.Services)*serviceIndexBytes + services*changedServiceBytes
	}
	if routes := len(change.Routes.Put) + len(change.Routes.Removed); routes > 0 || change.Document != 0 {
		bytes += len(before.Routes)*routeIndexBytes + routes*changedRouteBytes
	}
	if len(change.Boxes.Put)+len(change.Boxes.Removed) > 0 {
		bytes += len(before.Boxes) * boxBytes
	}
	return bytes
}
