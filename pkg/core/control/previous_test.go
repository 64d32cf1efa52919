package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// largeDocument returns a document with many routes, of which a few differ between versions.
func largeDocument(version, routes int) *table.Document {
	d := &table.Document{
		Version: units.DocumentVersion(version), Source: []byte(fmt.Sprint(version)),
		Services: []table.Service{{Name: "s", Work: table.AtMostOnce, Deadline: time.Second}},
	}
	for i := range routes {
		deadline := time.Second
		if i%routes == version%routes {
			deadline = 2 * time.Second
		}
		d.Routes = append(d.Routes, &table.Route{
			Name: fmt.Sprintf("r-%d", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Work: table.AtMostOnce, Deadline: deadline,
			Services: []table.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	return d
}

func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Earlier tables took memory with routes times changes, until a replica was at its limit.
func TestEarlierTablesTakeBoundedMemory(t *testing.T) {
	const routes, changes = 3500, 400
	p := &previousTables{limit: 4 << 20}
	state := table.NewState()
	apply := func(from, to int) {
		for version := from; version < to; version++ {
			before := state.Table()
			p.push(before, state.ApplyDocument(largeDocument(version, routes)))
		}
	}
	apply(1, 20)
	start := heapBytes()
	apply(20, changes)
	if grown := heapBytes() - start; grown > 3*p.limit {
		t.Errorf("%d changes of %d routes take %d MB, %d MB are allowed for earlier tables", changes, routes, grown>>20, p.limit>>20)
	}
	if n := len(p.tables); n < 2 || p.bytes > p.limit {
		t.Errorf("%d earlier tables of %d bytes are kept, %d bytes are allowed", n, p.bytes, p.limit)
	}
	runtime.KeepAlive(p)
}

// A box that comes with a table that isn't kept any more gets the whole table.
func TestEarlierTablesAreFoundByTheirAge(t *testing.T) {
	p := &previousTables{limit: 3 * tableBytes}
	for revision := range 10 {
		p.push(&table.Table{Revision: units.Revision(revision)}, &table.Delta{})
	}
	for behind, want := range map[units.Revision]units.Revision{1: 9, 2: 8, 3: 7} {
		if got := p.behind(behind); got == nil || got.Revision != want {
			t.Errorf("the table %d revisions ago is %+v, want revision %d", behind, got, want)
		}
	}
	for _, behind := range []units.Revision{0, 4, 11, ^units.Revision(0)} {
		if got := p.behind(behind); got != nil {
			t.Errorf("the table %d revisions ago is %+v, want none", behind, got)
		}
	}
}
