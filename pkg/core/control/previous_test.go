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

// A log of large documents takes a bounded size, however many entries may stand between snapshots.
func TestALogOfLargeDocumentsIsCompacted(t *testing.T) {
	const limit = 16 << 10
	w := emptyWorld(t, 1, 3, 0)
	w.settings.SnapshotEvery, w.settings.KeepEntries = 1000, 500
	w.settings.Memory = limit * logDivisor
	for _, r := range w.replicas {
		w.startReplica(r)
	}
	w.form()
	for version := 1; version <= 120; version++ {
		d := largeDocument(version, 50)
		w.order(w.leader(), func(id RequestID) Event { return DocumentSubmitted{Request: id, Document: d} }, func(a Answer) {
			if a.Err == nil {
				w.orders.highestDocument = d.Version
			}
		})
		w.run(100 * time.Millisecond)
		for _, r := range w.replicas {
			if bytes := r.core.node.LogBytes(); bytes > 2*limit {
				t.Fatalf("the log of %s takes %d bytes after %d documents, %d are allowed", r.id, bytes, version, limit)
			}
		}
	}
	if w.orders.highestDocument != 120 {
		t.Fatalf("document %d is in force, 120 were sent", w.orders.highestDocument)
	}
	w.crashAll(0)
	w.run(2 * time.Second)
	for _, r := range w.replicas {
		if have := r.core.Table().Document; have != 120 {
			t.Errorf("%s holds document %d after a restart, not 120", r.id, have)
		}
	}
}
