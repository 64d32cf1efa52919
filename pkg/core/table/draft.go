package table

import (
	"fmt"
	"slices"
	"strings"

	"github.com/madderpond/madderpond/pkg/units"
)

// draft collects the changes of one edit before any of them takes effect.
type draft struct {
	base *Table
	// changed holds the new entries; a nil entry stands for a removed service.
	changed map[units.ServiceName]*Entry
	order   []units.ServiceName
	// matchesChanged is set when a service may answer to other hosts or paths.
	matchesChanged bool
}

// draft carries out an edit's operations on the side. The detail says why it
// can't be done, or is empty.
func (s *State) draft(e *Edit) (*draft, string) {
	d := &draft{base: s.table, changed: map[units.ServiceName]*Entry{}}
	for i, o := range e.Operations {
		if detail := d.apply(o); detail != "" {
			return nil, fmt.Sprintf("operation %d: %s", i+1, detail)
		}
	}
	if !d.matchesChanged {
		return d, ""
	}
	return d, d.findDuplicateMatch()
}

func (d *draft) apply(o Operation) string {
	name := o.ServiceName()
	entry := d.entry(name)
	if entry == nil && o.Kind != PutService {
		return fmt.Sprintf("service %s doesn't exist; put the service first", name)
	}
	switch o.Kind {
	case PutService:
		d.matchesChanged = true
		next := &Entry{Service: *o.Service}
		if entry != nil {
			next.Rows = entry.Rows
		}
		d.put(name, next)
	case DeleteService:
		d.put(name, nil)
	case PutRow:
		d.put(name, &Entry{Service: entry.Service, Rows: entry.Rows.With(*o.Row)})
	case DeleteRow:
		if o.Row == nil || entry.Row(o.Row.Target) == nil {
			return fmt.Sprintf("service %s has no such row; name a target that stands in the table", name)
		}
		d.put(name, &Entry{Service: entry.Service, Rows: entry.Rows.Without(o.Row.Target)})
	}
	return ""
}

func (d *draft) entry(name units.ServiceName) *Entry {
	if entry, touched := d.changed[name]; touched {
		return entry
	}
	return d.base.Services[name]
}

func (d *draft) put(name units.ServiceName, e *Entry) {
	if _, touched := d.changed[name]; !touched {
		d.order = append(d.order, name)
	}
	d.changed[name] = e
}

// findDuplicateMatch makes sure that a call's host and path name one service.
func (d *draft) findDuplicateMatch() string {
	type match struct{ host, prefix string }
	owners := map[match]units.ServiceName{}
	names := slices.Concat(d.base.ServiceNames(), d.order)
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		entry := d.entry(n)
		if entry == nil {
			continue
		}
		for _, h := range hostsOrAny(entry.Service.Hosts) {
			m := match{host: h, prefix: entry.Service.PathPrefix}
			if owner, duplicate := owners[m]; duplicate {
				return fmt.Sprintf("services %s and %s answer to the same host %q and path prefix %q; change one of them", owner, n, h, m.prefix)
			}
			owners[m] = n
		}
	}
	return ""
}

func hostsOrAny(hosts []string) []string {
	if len(hosts) == 0 {
		return []string{""}
	}
	return hosts
}

func (d *draft) delta() *Delta {
	out := &Delta{From: d.base.Revision, Revision: d.base.Revision + 1}
	names := slices.SortedFunc(slices.Values(d.order), func(a, b units.ServiceName) int {
		return strings.Compare(string(a), string(b))
	})
	for _, n := range names {
		entry := d.changed[n]
		if entry == nil {
			out.Removed = append(out.Removed, n)
			continue
		}
		// Versions follow the revision, so that a service which was removed and
		// put again never meets its old versions.
		entry.Version = units.Version(out.Revision)
		out.Changed = append(out.Changed, entry)
	}
	return out
}
