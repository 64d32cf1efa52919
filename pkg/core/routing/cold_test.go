package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// coldFleet simulates many boxes in four failure domains with the targets of one service.
type coldFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     units.Instant
	routers []*Router
	table   *table.Table
	// arrivals are the times at which each target received calls.
	arrivals map[units.TargetID][]units.Instant
	sent     int
}

const (
	// coldFleetRate is the rate that a cold target accepts, in calls a second;
	// coldFleetMaxPerSecond is the most calls that it can receive in any second without being
	// overloaded.
	coldFleetRate         = 2.5
	coldFleetMaxPerSecond = 11
)

func newColdFleet(t *testing.T, boxes, targets int) *coldFleet {
	f := &coldFleet{
		t: t, random: rand.New(rand.NewPCG(1, 2)), now: units.Instant(time.Second),
		arrivals: map[units.TargetID][]units.Instant{}, table: table.NewTable(),
	}
	f.table.Revision = 1
	for i := range boxes {
		box := table.Box{ID: units.BoxID(fmt.Sprintf("b%03d", i)), Domain: domainOf(i)}
		f.table.Boxes = append(f.table.Boxes, box)
		f.routers = append(f.routers, f.newRouter(box, uint64(i)))
	}
	f.putTargets(targets, func(*table.Row) {})
	f.advance(5 * time.Second)
	return f
}

func domainOf(i int) units.Domain { return units.Domain(fmt.Sprintf("d%d", i%4)) }

func (f *coldFleet) newRouter(b table.Box, seed uint64) *Router {
	r, err := NewRouter(Settings{
		Box: b.ID, Domain: b.Domain, Seed: seed, ServeStale: true, ShareDelay: time.Second, ColdDoubt: DefaultColdDoubt, ProbeCost: DefaultProbeCost, MaxDeadline: time.Minute,
	}, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// putTargets puts the service's targets in force, after the function has changed their rows.
func (f *coldFleet) putTargets(n int, change func(*table.Row)) {
	entry := &table.Entry{Service: table.Service{
		Name: "s", Work: table.Repeatable, Hosts: []string{"s"}, Deadline: time.Second, HoldCount: 10, ColdRate: coldFleetRate,
	}, Version: units.Version(f.table.Revision)}
	for i := range n {
		row := table.Row{
			Service: "s", Target: units.TargetID(fmt.Sprintf("t%03d", i)), Address: "127.0.0.1:1", Domain: domainOf(i),
			Weight: 100, State: table.Active, Registered: true, Slots: 2,
		}
		change(&row)
		entry.Rows = entry.Rows.With(row)
	}
	next := *f.table
	next.Revision++
	next.Services = map[units.ServiceName]*table.Entry{"s": entry}
	f.table = &next
	f.applyTable(f.routers)
}

// restartCold restarts all targets of a domain, which are then cold for 3 s.
func (f *coldFleet) restartCold(d units.Domain, targets int) {
	f.putTargets(targets, func(r *table.Row) {
		if r.Domain == d {
			r.Target += "-again"
			r.ColdRemaining = 3 * time.Second
		}
	})
}

func (f *coldFleet) applyTable(routers []*Router) {
	for _, r := range routers {
		r.Reduce(f.now, &TableChanged{Table: f.table}, &Effects{})
	}
}

// advance simulates a period with about 700 calls a second, each answered after 100 ms.
func (f *coldFleet) advance(d time.Duration) {
	const perTick = 7
	type ending struct {
		at     units.Instant
		router *Router
		event  *AttemptEnded
	}
	var inFlight []ending
	for end := f.now.Add(d); f.now < end || len(inFlight) > 0; {
		f.now = f.now.Add(10 * time.Millisecond)
		for len(inFlight) > 0 && inFlight[0].at <= f.now {
			inFlight[0].router.Reduce(f.now, inFlight[0].event, &Effects{})
			inFlight = inFlight[1:]
		}
		if f.now >= end {
			continue
		}
		for range perTick {
			r := f.routers[f.random.IntN(len(f.routers))]
			var e Effects
			r.Reduce(f.now, &CallArrived{Host: []byte("s"), Path: []byte("/")}, &e)
			for _, x := range e.List {
				if x.Kind == Send {
					f.sent++
					f.arrivals[x.Endpoint.Target] = append(f.arrivals[x.Endpoint.Target], f.now)
					inFlight = append(inFlight, ending{f.now.Add(100 * time.Millisecond), r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: Answered}})
				}
			}
		}
		for _, r := range f.routers {
			r.Reduce(f.now, &Tick{}, &Effects{})
		}
	}
}

// maxCallsPerSecond returns the most calls that a target of a domain received in any second ending
// at or after a time.
func (f *coldFleet) maxCallsPerSecond(d units.Domain, since units.Instant) int {
	most := 0
	for row := range f.table.Services["s"].Rows.All() {
		if row.Domain != d {
			continue
		}
		times := f.arrivals[row.Target]
		first := 0
		for last, at := range times {
			for first < last && at.Sub(times[first]) >= time.Second {
				first++
			}
			if at >= since {
				most = max(most, last-first+1)
			}
		}
	}
	return most
}

// callsReceived returns how many calls the targets of a domain have received since a time.
func (f *coldFleet) callsReceived(d units.Domain, since units.Instant) int {
	n := 0
	for row := range f.table.Services["s"].Rows.All() {
		for _, at := range f.arrivals[row.Target] {
			if row.Domain == d && at >= since {
				n++
			}
		}
	}
	return n
}

// Guards against overloading the targets of a failure domain that all return cold to a hundred
// boxes: none may receive more calls than it can handle, and together they must receive their
// share.
func TestADomainThatComesBackColdIsNotOverrun(t *testing.T) {
	const targets = 60
	f := newColdFleet(t, 100, targets)
	since := f.now
	f.restartCold("d1", targets)
	f.advance(2500 * time.Millisecond)
	if most := f.maxCallsPerSecond("d1", since); most > coldFleetMaxPerSecond {
		t.Errorf("a cold target received %d calls in a second, it can handle %d", most, coldFleetMaxPerSecond)
	}
	// Each of the two boxes of a target receives seven calls a second and distributes them over all
	// targets that it may use.
	if n := f.callsReceived("d1", since); n < targets/8 {
		t.Errorf("%d cold targets received %d calls in 2.5 s", targets/4, n)
	}
}

// Guards against overloading cold targets while some boxes have a longer list of boxes than others.
func TestColdTargetsAreNotOverrunWhileBoxesDisagree(t *testing.T) {
	const targets = 60
	f := newColdFleet(t, 100, targets)
	since := f.now
	f.restartCold("d1", targets)
	next := *f.table
	next.Revision++
	next.Boxes = f.table.Boxes[:50]
	f.table = &next
	f.applyTable(f.routers[:50])
	f.advance(2500 * time.Millisecond)
	if most := f.maxCallsPerSecond("d1", since); most > coldFleetMaxPerSecond {
		t.Errorf("a cold target received %d calls in a second, it can handle %d", most, coldFleetMaxPerSecond)
	}
}

// Targets of a restored domain may be cold without having reported it.
func TestARestoredDomainIsNotOverrun(t *testing.T) {
	const targets = 60
	f := newColdFleet(t, 100, targets)
	f.evacuate("d1", true)
	f.advance(time.Second)
	evacuated := f.callsReceived("d1", f.now.Add(-time.Second))
	since := f.now
	f.evacuate("d1", false)
	f.advance(DefaultColdDoubt - 100*time.Millisecond)
	if evacuated > 0 {
		t.Errorf("targets of an evacuated domain received %d calls", evacuated)
	}
	if most := f.maxCallsPerSecond("d1", since); most > coldFleetMaxPerSecond {
		t.Errorf("a target of a restored domain received %d calls in a second, it can handle %d when cold", most, coldFleetMaxPerSecond)
	}
	f.advance(time.Second)
	if n := f.callsReceived("d1", f.now.Add(-time.Second)); n < targets {
		t.Errorf("the targets of a domain received only %d calls in a second although they must be warm", n)
	}
}

func (f *coldFleet) evacuate(d units.Domain, active bool) {
	next := *f.table
	next.Revision++
	next.Evacuations = []table.Evacuation{{Domain: d, Active: active, Since: next.Revision}}
	f.table = &next
	f.applyTable(f.routers)
}

// Guards against recomputing this box's share of every cold target when one row changes: with 3,000
// targets and 300 boxes that blocked boxes for seconds when a domain returned cold.
func TestAChangeOfOneRowLeavesOtherColdTargetsAlone(t *testing.T) {
	const boxes, targets = 300, 200
	cost := func(cold time.Duration) float64 {
		f := newColdFleet(t, boxes, 0)
		f.putTargets(targets, func(r *table.Row) { r.ColdRemaining = cold })
		weight := 1
		return testing.AllocsPerRun(5, func() {
			weight++
			f.routers = f.routers[:1]
			f.putTargets(targets, func(r *table.Row) {
				r.ColdRemaining = cold
				if r.Target == "t000" {
					r.Weight = weight
				}
			})
		})
	}
	if warm, cold := cost(0), cost(time.Hour); cold > warm+targets {
		t.Errorf("a change of one row takes %.0f allocations with %d cold targets, %.0f with warm ones", cold, targets, warm)
	}
}
