package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// overloadSim simulates many boxes that receive more calls than their targets can serve in time.
// Targets have two slots, and use of the second slows both. A refused caller retries once, at the
// time that it is told.
type overloadSim struct {
	t               *testing.T
	random          *rand.Rand
	now             units.Instant
	routers         []*Router
	targets         map[units.TargetID]*overloadTarget
	events          *container.Heap[overloadEvent]
	withinObjective int
	callers         int
	// wasted counts the probes and sends that met an unreachable target or one that had asked for a
	// rest.
	wasted int
	// sharesNotices passes a notice that one box receives on to all boxes.
	sharesNotices bool
}

type overloadTarget struct {
	running     int
	unreachable bool
	// shedRate is the fraction of calls that the target sheds even with free slots.
	shedRate float64
	// rest is the length of the rest that the target asks for when it sheds a call; zero for none.
	rest time.Duration
}

type overloadEvent struct {
	at  units.Instant
	run func()
}

// overloadCaller is a caller with one call and its retries.
type overloadCaller struct {
	first   units.Instant
	retries int
}

const (
	overloadBoxes     = 60
	overloadTargets   = 48
	overloadWorkTime  = 60 * time.Millisecond
	overloadObjective = 200 * time.Millisecond
	overloadDeadline  = 600 * time.Millisecond
	// overloadCapacity is the approximate number of calls a second that all targets can serve.
	overloadCapacity  = overloadTargets * 2 / 0.102
	overloadRoundTrip = 2 * time.Millisecond
	// overloadConnectTime is the time that a retrying caller takes to connect.
	overloadConnectTime = 15 * time.Millisecond
)

func newOverloadSim(t *testing.T, off ...Mechanism) *overloadSim {
	f := &overloadSim{
		t: t, random: rand.New(rand.NewPCG(3, 4)), now: units.Instant(time.Second), targets: map[units.TargetID]*overloadTarget{},
		events: container.NewHeap(func(a, b overloadEvent) bool { return a.at < b.at }),
	}
	x := f.newTable()
	for i, b := range x.Boxes {
		r, err := NewRouter(Settings{
			Box: b.ID, Domain: b.Domain, Seed: uint64(i), ServeStale: true, ShareDelay: time.Second, ProbeCost: DefaultProbeCost,
			MaxDeadline: time.Minute, Disable: off,
		}, f.now)
		if err != nil {
			t.Fatal(err)
		}
		r.Reduce(f.now, &TableChanged{Table: x}, &Effects{})
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *overloadSim) newTable() *table.Table {
	x := table.NewTable()
	x.Revision, x.Document = 1, 1
	for i := range overloadBoxes {
		x.Boxes = append(x.Boxes, table.Box{ID: units.BoxID(fmt.Sprintf("b%03d", i)), Domain: overloadDomain(i)})
	}
	entry := &table.Entry{Service: table.Service{
		Name: "s", Work: table.Repeatable, Deadline: time.Second, HoldCount: 10, ProbeTargets: 2, MeasureBudget: 10,
	}, Version: 1}
	for i := range overloadTargets {
		id := units.TargetID(fmt.Sprintf("t%03d", i))
		f.targets[id] = &overloadTarget{}
		entry.Rows = entry.Rows.With(table.Row{
			Service: "s", Target: id, Address: "127.0.0.1:1", Domain: overloadDomain(i), Weight: 100, State: table.Active, Registered: true, Slots: 2,
		})
	}
	x.Services["s"] = entry
	route := &table.Route{
		Host: "s", PathPrefix: "/", Work: table.Repeatable, Deadline: time.Second, LatencyObjective: overloadObjective, MaxAttempts: 2,
		Services: []table.WeightedService{{Service: "s", Weight: 1}},
	}
	x.Routes = map[table.RouteKey]*table.Route{route.Key(): route}
	return x
}

func overloadDomain(i int) units.Domain { return units.Domain(fmt.Sprintf("d%d", i%3)) }

// makeUnreachable makes all targets of a domain refuse connections.
func (f *overloadSim) makeUnreachable(d units.Domain) {
	for i := range overloadTargets {
		if overloadDomain(i) == d {
			f.targets[units.TargetID(fmt.Sprintf("t%03d", i))].unreachable = true
		}
	}
}

// advance simulates a period in which calls arrive at a fraction of the capacity.
func (f *overloadSim) advance(d time.Duration, load float64) {
	gap := time.Duration(float64(time.Second) / (load * overloadCapacity))
	end := f.now.Add(d)
	for at := f.now; at < end; at = at.Add(time.Duration(f.random.ExpFloat64() * float64(gap))) {
		f.events.Push(overloadEvent{at, func() { f.callers++; f.call(&overloadCaller{first: f.now}) }})
	}
	for at := f.now; at < end; at = at.Add(time.Millisecond) {
		f.events.Push(overloadEvent{at, f.tick})
	}
	for {
		x, ok := f.events.Peek()
		if !ok || x.at >= end {
			f.now = end
			return
		}
		f.events.Pop()
		f.now = x.at
		x.run()
	}
}

func (f *overloadSim) after(d time.Duration, run func()) {
	f.events.Push(overloadEvent{f.now.Add(d), run})
}

func (f *overloadSim) tick() {
	for _, r := range f.routers {
		if r.NextWake() <= f.now {
			f.reduce(r, &Tick{})
		}
	}
}

func (f *overloadSim) call(c *overloadCaller) {
	left := overloadDeadline - f.now.Sub(c.first)
	if left <= 0 {
		return
	}
	r := f.routers[f.random.IntN(len(f.routers))]
	f.reduce(r, &CallArrived{Owner: c, Host: []byte("s"), Path: []byte("/"), Deadline: left})
}

func (f *overloadSim) reduce(r *Router, event Event) {
	var e Effects
	r.Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.apply(r, x)
	}
}

func (f *overloadSim) apply(r *Router, x Effect) {
	switch x.Kind {
	case Send:
		f.send(r, x)
	case Probe:
		f.probe(r, x)
	case Deliver:
		if c := x.Owner.(*overloadCaller); f.now.Sub(c.first) <= overloadObjective {
			f.withinObjective++
		}
	case Refuse:
		f.retryCaller(x.Owner.(*overloadCaller), x.Refusal.RetryAfter)
	}
}

func (f *overloadSim) send(r *Router, x Effect) {
	t := f.targets[x.Endpoint.Target]
	if t.unreachable {
		f.wasted++
		f.after(overloadRoundTrip, func() { f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: NotSent}) })
		return
	}
	if f.random.Float64() < t.shedRate {
		f.after(overloadRoundTrip, func() { f.shed(r, x, t) })
		return
	}
	t.running++
	duration := overloadWorkTime
	if t.running > 1 {
		duration = duration * 17 / 10 * time.Duration((t.running+1)/2)
	}
	f.after(duration, func() {
		t.running--
		f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: Answered, Report: t.report()})
	})
}

// shed answers a call that the target sheds.
func (f *overloadSim) shed(r *Router, x Effect, t *overloadTarget) {
	if t.rest > 0 {
		f.wasted++
	}
	report := t.report()
	report.Rest = t.rest
	f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: Shed, Report: report})
	if !f.sharesNotices || t.rest == 0 {
		return
	}
	f.after(overloadShareDelay, func() {
		for _, o := range f.routers {
			var e Effects
			o.handleNotice(x.Endpoint, TargetReport{Rest: t.rest - overloadShareDelay}, false, unknownLimitVersion, &e)
		}
	})
}

// overloadShareDelay is the time until a notice received by one box is known to all.
const overloadShareDelay = 50 * time.Millisecond

func (f *overloadSim) probe(r *Router, x Effect) {
	t := f.targets[x.Endpoint.Target]
	if t.unreachable {
		f.wasted++
	}
	f.after(overloadRoundTrip, func() {
		f.reduce(r, &ProbeEnded{Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, Healthy: !t.unreachable, Unreachable: t.unreachable, Report: t.report()})
	})
}

func (t *overloadTarget) report() TargetReport {
	if t.unreachable {
		return TargetReport{}
	}
	return TargetReport{HasLoad: true, InFlight: float64(t.running), Slots: 2, Pace: 1}
}

// retryCaller schedules a refused caller's only retry: at the time that it was told, but within a
// third of its remaining time.
func (f *overloadSim) retryCaller(c *overloadCaller, after time.Duration) {
	left := overloadDeadline - f.now.Sub(c.first)
	if c.retries > 0 {
		return
	}
	c.retries++
	f.after(min(after, left/3)+overloadConnectTime, func() { f.call(c) })
}

// measure simulates 2 s at half of the capacity, and then 4 s at the given load. It returns the
// fraction of the latter calls that were answered within their latency objective.
func (f *overloadSim) measure(load float64, before func()) float64 {
	f.advance(2*time.Second, 0.5)
	before()
	f.withinObjective, f.callers, f.wasted = 0, 0, 0
	f.advance(4*time.Second, load)
	return float64(f.withinObjective) / float64(f.callers)
}

func noChange() {}

// With a load of 1.8 times the capacity, slots are given to first tries before late retries.
func TestFirstTriesGoBeforeLateReturns(t *testing.T) {
	without := newOverloadSim(t, FirstTries).measure(1.8, noChange)
	with := newOverloadSim(t).measure(1.8, noChange)
	t.Logf("within objective: %.3f, and %.3f without the preference for first tries", with, without)
	if with < 1.1*without {
		t.Errorf("%.3f of the calls were answered within their latency objective, %.3f without the preference", with, without)
	}
}

// With a third of the targets unreachable, boxes stop trying them one by one.
func TestADarkDomainIsLearntAsOne(t *testing.T) {
	simulate := func(off ...Mechanism) *overloadSim {
		f := newOverloadSim(t, off...)
		f.measure(0.5, func() { f.makeUnreachable("d1") })
		return f
	}
	with, without := simulate(), simulate(DomainAvailability)
	t.Logf("wasted sends and probes per call: %.3f, and %.3f without the estimate of domain availability", with.wastedPerCall(), without.wastedPerCall())
	if 2*with.wastedPerCall() > without.wastedPerCall() {
		t.Errorf("%.3f sends and probes per call met unreachable targets, %.3f without the estimate", with.wastedPerCall(), without.wastedPerCall())
	}
}

// Where targets with free slots shed half of their calls, refused callers must retry early enough
// for their latency objective. With a pause of 100 ms only 0.65 of the calls were answered within
// their latency objective.
func TestCallersOfShedCallsComeBackInTime(t *testing.T) {
	f := newOverloadSim(t)
	withinObjective := f.measure(0.4, func() {
		for _, x := range f.targets {
			x.shedRate = 0.55
		}
	})
	t.Logf("within objective: %.3f", withinObjective)
	if withinObjective < 0.69 {
		t.Errorf("only %.3f of the calls were answered within their latency objective", withinObjective)
	}
}

func (f *overloadSim) wastedPerCall() float64 { return float64(f.wasted) / float64(f.callers) }
