package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// regionFleet is a router in each of six failure domains of three regions, beside targets of
// one service that tell their load.
type regionFleet struct {
	t       *testing.T
	now     units.Instant
	random  *rand.Rand
	routers map[units.Domain]*Router
	table   *table.Table
	dark    map[units.Domain]bool
	load    map[units.TargetID]int
	events  fleetEvents
	// stayed, left and refused count the calls of the region south by where they were sent.
	stayed, left, refused int
}

// fleetEvent is what a router hears at a time.
type fleetEvent struct {
	at   units.Instant
	what func()
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int           { return len(h) }
func (h fleetEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h fleetEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *fleetEvents) Push(x any)        { *h = append(*h, x.(fleetEvent)) }
func (h *fleetEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	fleetTargets = 6
	fleetSlots   = 2
	fleetWork    = 60 * time.Millisecond
	fleetProbe   = 2 * time.Millisecond
	// fleetWayNear and fleetWayFar are there and back between domains, and between regions.
	fleetWayNear = 2 * time.Millisecond
	fleetWayFar  = 17 * time.Millisecond
)

var fleetRegions = map[units.Domain]units.Region{
	"south-a": "south", "south-b": "south", "west-a": "west", "west-b": "west", "east-a": "east", "east-b": "east",
}

var fleetDomains = []units.Domain{"south-a", "south-b", "west-a", "west-b", "east-a", "east-b"}

func newRegionFleet(t *testing.T, dark ...units.Domain) *regionFleet {
	f := &regionFleet{
		t: t, now: units.Instant(time.Second), random: rand.New(rand.NewPCG(1, 5)), routers: map[units.Domain]*Router{},
		dark: map[units.Domain]bool{}, load: map[units.TargetID]int{}, table: table.NewTable(),
	}
	entry := &table.Entry{Service: table.Service{
		Name: "rates", Work: table.Repeatable, Hosts: []string{"rates"}, Deadline: time.Second, HoldCount: 10, RetryBudget: 10, HedgeBudget: 10,
		MeasureBudget: 100, ProbeTargets: 2,
	}, Version: 1}
	for _, d := range fleetDomains {
		for i := range fleetTargets {
			entry.Rows = entry.Rows.With(table.Row{
				Service: "rates", Target: units.TargetID(fmt.Sprintf("%s-%d", d, i)), Address: "127.0.0.1:1", Domain: d,
				Weight: 100, State: table.Active, Registered: true, Slots: fleetSlots,
			})
		}
		f.table.Boxes = append(f.table.Boxes, table.Box{ID: units.BoxID(d), Domain: d})
	}
	f.table.Revision, f.table.Document = 1, 1
	f.table.Services["rates"] = entry
	f.table.Routes = map[table.RouteKey]*table.Route{{Host: "rates", PathPrefix: "/"}: {
		Name: "rates", Host: "rates", PathPrefix: "/", Work: table.Repeatable, Deadline: time.Second, Aim: 300 * time.Millisecond,
		Parts: []table.Part{{Service: "rates", Weight: 1}},
	}}
	for _, d := range dark {
		f.dark[d] = true
	}
	for i, d := range fleetDomains {
		f.start(d, uint64(i))
	}
	return f
}

func (f *regionFleet) start(d units.Domain, seed uint64) {
	r, err := NewRouter(Settings{
		Box: units.BoxID(d), Domain: d, Regions: fleetRegions, Seed: seed, ServeStale: true, ShareDelay: time.Second,
		ProbeCost: DefaultProbeCost, MaxDeadline: time.Minute,
	}, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.routers[d] = r
	f.give(d, &TableChanged{Table: f.table})
}

func (f *regionFleet) give(d units.Domain, event Event) {
	var e Effects
	f.routers[d].Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.carryOut(d, x)
	}
}

func (f *regionFleet) later(after time.Duration, what func()) {
	heap.Push(&f.events, fleetEvent{at: f.now.Add(after), what: what})
}

func (f *regionFleet) way(from, to units.Domain) time.Duration {
	switch {
	case from == to:
		return 0
	case fleetRegions[from] == fleetRegions[to]:
		return fleetWayNear
	}
	return fleetWayFar
}

func (f *regionFleet) carryOut(d units.Domain, x Effect) {
	switch x.Kind {
	case Refuse:
		f.count(d, &f.refused)
	case Probe:
		f.later(f.way(d, x.Endpoint.Domain)+fleetProbe, func() {
			dark := f.dark[x.Endpoint.Domain]
			f.give(d, &ProbeEnded{
				Target: x.Endpoint, Healthy: !dark, Unreachable: dark, Call: x.Call, Attempt: x.Attempt, Reading: f.reading(x.Endpoint, !dark),
			})
		})
	case Send:
		f.send(d, x)
	}
}

func (f *regionFleet) reading(x *Endpoint, known bool) Reading {
	return Reading{HasLoad: known, InFlight: float64(f.load[x.Target]), Slots: fleetSlots, Pace: 1}
}

func (f *regionFleet) send(d units.Domain, x Effect) {
	if f.dark[x.Endpoint.Domain] {
		f.later(f.way(d, x.Endpoint.Domain), func() {
			f.give(d, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: NotSent})
		})
		return
	}
	if fleetRegions[d] == fleetRegions[x.Endpoint.Domain] {
		f.count(d, &f.stayed)
	} else {
		f.count(d, &f.left)
	}
	f.load[x.Endpoint.Target]++
	waves := time.Duration((f.load[x.Endpoint.Target] + fleetSlots - 1) / fleetSlots)
	f.later(f.way(d, x.Endpoint.Domain)+waves*fleetWork, func() {
		f.load[x.Endpoint.Target]--
		f.give(d, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: Answered, Reading: f.reading(x.Endpoint, true)})
	})
}

func (f *regionFleet) count(d units.Domain, n *int) {
	if fleetRegions[d] == "south" {
		*n++
	}
}

// pass lets time pass; the boxes of each domain get so many calls a second together.
func (f *regionFleet) pass(d time.Duration, perSecond int) {
	pause := time.Second / time.Duration(perSecond*len(fleetDomains))
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(pause)
		for len(f.events) > 0 && f.events[0].at <= f.now {
			heap.Pop(&f.events).(fleetEvent).what()
		}
		for _, d := range fleetDomains {
			if f.routers[d].NextWake() <= f.now {
				f.give(d, &Tick{})
			}
		}
		f.give(fleetDomains[f.random.IntN(len(fleetDomains))], &CallArrived{Host: []byte("rates"), Path: []byte("/")})
	}
}

// With a failure domain unreachable its callers are served by the other domain of their region, which
// has room.
func TestCallsOfADarkDomainStayInTheirRegion(t *testing.T) {
	f := newRegionFleet(t, "south-a")
	f.pass(4*time.Second, 40)
	t.Logf("%d stayed, %d left, %d were refused", f.stayed, f.left, f.refused)
	if all := f.stayed + f.left + f.refused; f.left > all/8 || f.refused > all/20 {
		t.Errorf("of %d calls %d left the region and %d were refused, though it has room", all, f.left, f.refused)
	}
}

// With all of a region unreachable its callers are served by the others: answers to probes take 19 ms
// from there.
func TestCallsOfADarkRegionAreServedElsewhere(t *testing.T) {
	f := newRegionFleet(t, "south-a", "south-b")
	f.pass(4*time.Second, 40)
	t.Logf("%d stayed, %d left, %d were refused", f.stayed, f.left, f.refused)
	if all := f.stayed + f.left + f.refused; f.refused > all/10 {
		t.Errorf("of %d calls %d were refused, though other regions have room", all, f.refused)
	}
}
