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

// regionFleet simulates a router in each of six failure domains in three regions, and the targets
// of one service, which report their load.
type regionFleet struct {
	t           *testing.T
	now         units.Instant
	random      *rand.Rand
	routers     map[units.Domain]*Router
	table       *table.Table
	unreachable map[units.Domain]bool
	load        map[units.TargetID]int
	events      fleetEvents
	// servedInRegion, servedElsewhere and refused count the calls of the region south by result and
	// by the region that they were sent to.
	servedInRegion, servedElsewhere, refused int
}

// fleetEvent is a scheduled event of the simulation.
type fleetEvent struct {
	at  units.Instant
	run func()
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
	fleetTargets   = 6
	fleetSlots     = 2
	fleetWorkTime  = 60 * time.Millisecond
	fleetProbeTime = 2 * time.Millisecond
	// fleetRoundTripNear and fleetRoundTripFar are the round trips between domains of one region
	// and between regions.
	fleetRoundTripNear = 2 * time.Millisecond
	fleetRoundTripFar  = 17 * time.Millisecond
)

var fleetRegions = map[units.Domain]units.Region{
	"south-a": "south", "south-b": "south", "west-a": "west", "west-b": "west", "east-a": "east", "east-b": "east",
}

var fleetDomains = []units.Domain{"south-a", "south-b", "west-a", "west-b", "east-a", "east-b"}

func newRegionFleet(t *testing.T, unreachable ...units.Domain) *regionFleet {
	f := &regionFleet{
		t: t, now: units.Instant(time.Second), random: rand.New(rand.NewPCG(1, 5)), routers: map[units.Domain]*Router{},
		unreachable: map[units.Domain]bool{}, load: map[units.TargetID]int{}, table: table.NewTable(),
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
		Name: "rates", Host: "rates", PathPrefix: "/", Work: table.Repeatable, Deadline: time.Second, LatencyObjective: 300 * time.Millisecond,
		Services: []table.WeightedService{{Service: "rates", Weight: 1}},
	}}
	for _, d := range unreachable {
		f.unreachable[d] = true
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
	f.dispatch(d, &TableChanged{Table: f.table})
}

func (f *regionFleet) dispatch(d units.Domain, event Event) {
	var e Effects
	f.routers[d].Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.apply(d, x)
	}
}

func (f *regionFleet) schedule(after time.Duration, what func()) {
	heap.Push(&f.events, fleetEvent{at: f.now.Add(after), run: what})
}

func (f *regionFleet) roundTrip(from, to units.Domain) time.Duration {
	switch {
	case from == to:
		return 0
	case fleetRegions[from] == fleetRegions[to]:
		return fleetRoundTripNear
	}
	return fleetRoundTripFar
}

func (f *regionFleet) apply(d units.Domain, x Effect) {
	switch x.Kind {
	case Refuse:
		f.countSouth(d, &f.refused)
	case Probe:
		f.schedule(f.roundTrip(d, x.Endpoint.Domain)+fleetProbeTime, func() {
			unreachable := f.unreachable[x.Endpoint.Domain]
			f.dispatch(d, &ProbeEnded{
				Target: x.Endpoint, Healthy: !unreachable, Unreachable: unreachable, Call: x.Call, Attempt: x.Attempt, Report: f.report(x.Endpoint, !unreachable),
			})
		})
	case Send:
		f.send(d, x)
	}
}

func (f *regionFleet) report(x *Endpoint, known bool) TargetReport {
	return TargetReport{HasLoad: known, InFlight: float64(f.load[x.Target]), Slots: fleetSlots, Pace: 1}
}

func (f *regionFleet) send(d units.Domain, x Effect) {
	if f.unreachable[x.Endpoint.Domain] {
		f.schedule(f.roundTrip(d, x.Endpoint.Domain), func() {
			f.dispatch(d, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: NotSent})
		})
		return
	}
	if fleetRegions[d] == fleetRegions[x.Endpoint.Domain] {
		f.countSouth(d, &f.servedInRegion)
	} else {
		f.countSouth(d, &f.servedElsewhere)
	}
	f.load[x.Endpoint.Target]++
	rounds := time.Duration((f.load[x.Endpoint.Target] + fleetSlots - 1) / fleetSlots)
	f.schedule(f.roundTrip(d, x.Endpoint.Domain)+rounds*fleetWorkTime, func() {
		f.load[x.Endpoint.Target]--
		f.dispatch(d, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: Answered, Report: f.report(x.Endpoint, true)})
	})
}

func (f *regionFleet) countSouth(d units.Domain, n *int) {
	if fleetRegions[d] == "south" {
		*n++
	}
}

// advance simulates a period in which the boxes of each domain together receive so many calls a
// second.
func (f *regionFleet) advance(d time.Duration, perSecond int) {
	pause := time.Second / time.Duration(perSecond*len(fleetDomains))
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(pause)
		for len(f.events) > 0 && f.events[0].at <= f.now {
			heap.Pop(&f.events).(fleetEvent).run()
		}
		for _, d := range fleetDomains {
			if f.routers[d].NextWake() <= f.now {
				f.dispatch(d, &Tick{})
			}
		}
		f.dispatch(fleetDomains[f.random.IntN(len(fleetDomains))], &CallArrived{Host: []byte("rates"), Path: []byte("/")})
	}
}

// If a failure domain is unreachable, its callers must be served by the other domain of their
// region, which has capacity for them.
func TestCallsOfADarkDomainStayInTheirRegion(t *testing.T) {
	f := newRegionFleet(t, "south-a")
	f.advance(4*time.Second, 40)
	t.Logf("%d served in the region, %d elsewhere, %d refused", f.servedInRegion, f.servedElsewhere, f.refused)
	if all := f.servedInRegion + f.servedElsewhere + f.refused; f.servedElsewhere > all/8 || f.refused > all/20 {
		t.Errorf("of %d calls %d left the region and %d were refused, although it has capacity", all, f.servedElsewhere, f.refused)
	}
}

// If a whole region is unreachable, its callers must be served by the other regions, from which
// answers to probes take 19 ms.
func TestCallsOfADarkRegionAreServedElsewhere(t *testing.T) {
	f := newRegionFleet(t, "south-a", "south-b")
	f.advance(4*time.Second, 40)
	t.Logf("%d served in the region, %d elsewhere, %d refused", f.servedInRegion, f.servedElsewhere, f.refused)
	if all := f.servedInRegion + f.servedElsewhere + f.refused; f.refused > all/10 {
		t.Errorf("of %d calls %d were refused, although other regions have capacity", all, f.refused)
	}
}
