package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// newBenchRouter returns a router of one of several boxes, with the given number of services and
// targets per service. Its table is in force and its shares have settled.
func newBenchRouter(b testing.TB, services, targets, limit int, off ...Mechanism) (*Router, units.Instant) {
	b.Helper()
	now := units.Instant(time.Second)
	r, err := NewRouter(Settings{Box: "box-00", ShareDelay: time.Second, ProbeCost: 5 * time.Millisecond, MaxDeadline: time.Hour, Disable: off}, now)
	if err != nil {
		b.Fatal(err)
	}
	t := table.NewTable()
	t.Revision = 1
	for i := range 15 {
		t.Boxes = append(t.Boxes, table.Box{ID: units.BoxID(fmt.Sprintf("box-%02d", i))})
	}
	for i := range services {
		name := units.ServiceName(fmt.Sprintf("s%d", i))
		entry := &table.Entry{Version: 1, Service: table.Service{
			Name: name, Work: table.Repeatable, Hosts: []string{string(name)}, Deadline: time.Second, HoldLimit: time.Second, HoldCount: 100,
		}}
		for k := range targets {
			entry.Rows = entry.Rows.With(table.Row{
				Service: name, Target: units.TargetID(fmt.Sprintf("t%04d", k)), Address: "127.0.0.1:1", Weight: 100,
				MaxInFlight: limit, State: table.Active,
			})
		}
		t.Services[name] = entry
	}
	var e Effects
	r.Reduce(now, &LeaseChanged{Until: now.Add(time.Hour)}, &e)
	r.Reduce(now, &TableChanged{Table: t}, &e)
	now = now.Add(2 * time.Second)
	r.Reduce(now, &Tick{}, &e)
	return r, now
}

// benchCalls measures calls from arrival to answer.
func benchCalls(b *testing.B, r *Router, now units.Instant, arrived *CallArrived) {
	b.Helper()
	var e Effects
	ended := &AttemptEnded{Result: Answered}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(10 * time.Microsecond)
		e.Reset()
		r.Reduce(now, arrived, &e)
		ended.Call, ended.Attempt = e.List[0].Call, e.List[0].Attempt
		r.Reduce(now, ended, &e)
		r.Reduce(now, &Tick{}, &e)
	}
}

// BenchmarkCall measures one call from arrival to answer.
func BenchmarkCall(b *testing.B) {
	for _, targets := range []int{5, 20, 100, 500, 2000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r, now := newBenchRouter(b, 1, targets, 0)
			benchCalls(b, r, now, &CallArrived{Owner: r, Host: []byte("s0"), Path: []byte("/")})
		})
	}
}

// BenchmarkCallWithKey measures a call that is authorized by one of many keys. BenchmarkCall with 5
// targets is the same without keys.
func BenchmarkCallWithKey(b *testing.B) {
	const keys = 10_000
	r, now := newBenchRouter(b, 1, 5, 0)
	next := *r.table
	next.Revision++
	next.Document, next.KeysRequired = 1, true
	for i := range keys {
		next.Workspaces = append(next.Workspaces, table.Workspace{
			Name: units.WorkspaceName(fmt.Sprintf("w%05d", i)), Keys: []apikey.Digest{apikey.DigestOf(fmt.Appendf(nil, "key-%05d", i))},
		})
	}
	var e Effects
	r.Reduce(now, &TableChanged{Table: &next}, &e)
	benchCalls(b, r, now, &CallArrived{
		Owner: r, Host: []byte("s0"), Path: []byte("/"), Credential: apikey.CredentialFromHeader([][]byte{[]byte("key-04711")}),
	})
}

// BenchmarkCallBesideQuarantines measures a call that isn't quarantined, at a box with many
// quarantines. BenchmarkCall with 5 targets is the same without any.
func BenchmarkCallBesideQuarantines(b *testing.B) {
	r, now := newBenchRouter(b, 1, 5, 0)
	var e Effects
	next := *r.table
	next.Revision++
	for i := range uint64(table.MaxQuarantines) {
		next.Quarantines = append(next.Quarantines, table.Quarantine{Call: crash.Fingerprint{Head: i, Body: 1, Caller: 1}})
	}
	r.Reduce(now, &TableChanged{Table: &next}, &e)
	arrived := &CallArrived{Owner: r, Host: []byte("s0"), Path: []byte("/"), Identity: wordIdentity("GET shop.example /orders/2026/10045?page=3&sort=new")}
	benchCalls(b, r, now, arrived)
}

// BenchmarkTick measures a tick without any calls, one for each ten milliseconds.
func BenchmarkTick(b *testing.B) {
	for _, services := range []int{10, 270, 2700} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			r, now := newBenchRouter(b, services, 7, 0)
			var e Effects
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(sweepPeriod)
				e.Reset()
				r.Reduce(now, &Tick{}, &e)
			}
		})
	}
}

// BenchmarkTableChange measures the cost of an edit of one service to a box.
func BenchmarkTableChange(b *testing.B) {
	for _, services := range []int{10, 270, 2700} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			r, now := newBenchRouter(b, services, 7, 6)
			entry := r.table.Services["s1"]
			var e Effects
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				e.Reset()
				next, _ := r.table.Patch(&table.Delta{
					From: r.table.Revision, Revision: r.table.Revision + 1,
					Changed: []*table.Entry{{Service: entry.Service, Version: entry.Version + 1, Rows: entry.Rows}},
				})
				r.Reduce(now, &TableChanged{Table: next}, &e)
			}
		})
	}
}

// BenchmarkMemory reports the memory that a router uses for each target.
func BenchmarkMemory(b *testing.B) {
	for _, services := range []int{270, 2700} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				r, _ := newBenchRouter(b, services, 7, 6)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(services*7), "bytes/target")
				runtime.KeepAlive(r)
			}
		})
	}
}

// BenchmarkBoxChange measures the cost of a change of the list of boxes to a box.
func BenchmarkBoxChange(b *testing.B) {
	for _, boxes := range []int{15, 60, 240} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			r, now := newBenchRouter(b, 270, 7, 6)
			var e Effects
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				next := &table.Table{Revision: r.table.Revision + 1, Services: r.table.Services}
				for k := range boxes + i%2 {
					next.Boxes = append(next.Boxes, table.Box{ID: units.BoxID(fmt.Sprintf("box-%02d", k))})
				}
				e.Reset()
				r.Reduce(now, &TableChanged{Table: next}, &e)
			}
		})
	}
}

// BenchmarkFirstTable measures how a newly started box processes its first table, of 473 boxes and
// 719 registered targets in three services.
func BenchmarkFirstTable(b *testing.B) {
	now := units.Instant(time.Second)
	t := table.NewTable()
	t.Revision, t.Document = 1, 1
	domain := func(i int) units.Domain { return units.Domain(fmt.Sprintf("domain-%d", i%6)) }
	for i := range 473 {
		t.Boxes = append(t.Boxes, table.Box{ID: units.BoxID(fmt.Sprintf("box-%03d", i)), Domain: domain(i)})
	}
	for i, targets := range []int{197, 107, 415} {
		name := units.ServiceName(fmt.Sprintf("s%d", i))
		entry := &table.Entry{Version: 1, Service: table.Service{Name: name, Work: table.Repeatable, ProbeTargets: 2}}
		for k := range targets {
			entry.Rows = entry.Rows.With(table.Row{
				Service: name, Target: units.TargetID(fmt.Sprintf("t%04d", k)), Address: fmt.Sprintf("10.%d.%d.%d:1", i, k%6, k/6),
				Domain: domain(k), Weight: 100, Slots: 3, State: table.Active, Registered: true,
			})
		}
		t.Services[name] = entry
	}
	b.ReportAllocs()
	for range b.N {
		r, err := NewRouter(Settings{Box: "box-000", Domain: domain(0), ShareDelay: time.Second, ProbeCost: 5 * time.Millisecond, MaxDeadline: time.Hour}, now)
		if err != nil {
			b.Fatal(err)
		}
		var e Effects
		r.Reduce(now, &TableChanged{Table: t}, &e)
	}
}

// BenchmarkCallBesideRests measures a call at a service of which every second target rests.
// BenchmarkCall is the same without any rest.
func BenchmarkCallBesideRests(b *testing.B) { benchCallsBeside(b, TargetReport{Rest: time.Hour}) }

// BenchmarkCallBesideLimits measures a call at a service of which every second target announces a
// limit, with permits that this box grants itself. BenchmarkCall is the same without any limit.
func BenchmarkCallBesideLimits(b *testing.B) {
	benchCallsBeside(b, TargetReport{Limit: ReportedLimit{Present: true, Rate: 2}})
}

// benchCallsBeside measures calls at a service of which every second target has sent a notice.
func benchCallsBeside(b *testing.B, report TargetReport) {
	for _, targets := range []int{20, 500} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r, now := newBenchRouter(b, 1, targets, 0)
			var e Effects
			for i, t := range r.sortedServices[0].targets {
				t.row.Address = fmt.Sprintf("10.0.0.1:%d", i)
				t.endpoint.Address = t.row.Address
				if i%2 == 0 {
					r.handleNotice(t.endpoint, report, false, unknownLimitVersion, &e)
				}
			}
			benchCalls(b, r, now, &CallArrived{Owner: r, Host: []byte("s0"), Path: []byte("/")})
		})
	}
}
