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

// crowdSim simulates many boxes that receive more calls than their targets can serve in time.
// Targets have two slots, and use of the second slows both. A refused caller retries once, at the
// time that it is told.
type crowdSim struct {
	t       *testing.T
	random  *rand.Rand
	now     units.Instant
	routers []*Router
	targets map[units.TargetID]*crowdTarget
	events  *container.Heap[crowdEvent]
	inAim   int
	callers int
	// wasted counts the probes and sends that met an unreachable target or one that had asked for a
	// rest.
	wasted int
	// sharesNotices passes what a target tells one box on to all boxes.
	sharesNotices bool
}

type crowdTarget struct {
	running     int
	unreachable bool
	// shedRate is the fraction of calls that the target sheds even with free slots.
	shedRate float64
	// rest is the length of the rest that the target asks for when it sheds a call; zero for none.
	rest time.Duration
}

type crowdEvent struct {
	at  units.Instant
	run func()
}

// crowdCaller is a caller with one call and its retries.
type crowdCaller struct {
	first   units.Instant
	retries int
}

const (
	crowdBoxes    = 60
	crowdTargets  = 48
	crowdWorkTime = 60 * time.Millisecond
	crowdAim      = 200 * time.Millisecond
	crowdDeadline = 600 * time.Millisecond
	// crowdCapacity is the approximate number of calls a second that all targets can serve.
	crowdCapacity  = crowdTargets * 2 / 0.102
	crowdRoundTrip = 2 * time.Millisecond
	// crowdConnectTime is the time that a retrying caller takes to connect.
	crowdConnectTime = 15 * time.Millisecond
)

func newCrowdSim(t *testing.T, off ...Mechanism) *crowdSim {
	f := &crowdSim{
		t: t, random: rand.New(rand.NewPCG(3, 4)), now: units.Instant(time.Second), targets: map[units.TargetID]*crowdTarget{},
		events: container.NewHeap(func(a, b crowdEvent) bool { return a.at < b.at }),
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

func (f *crowdSim) newTable() *table.Table {
	x := table.NewTable()
	x.Revision, x.Document = 1, 1
	for i := range crowdBoxes {
		x.Boxes = append(x.Boxes, table.Box{ID: units.BoxID(fmt.Sprintf("b%03d", i)), Domain: crowdDomain(i)})
	}
	entry := &table.Entry{Service: table.Service{
		Name: "s", Work: table.Repeatable, Deadline: time.Second, HoldCount: 10, ProbeTargets: 2, MeasureBudget: 10,
	}, Version: 1}
	for i := range crowdTargets {
		id := units.TargetID(fmt.Sprintf("t%03d", i))
		f.targets[id] = &crowdTarget{}
		entry.Rows = entry.Rows.With(table.Row{
			Service: "s", Target: id, Address: "127.0.0.1:1", Domain: crowdDomain(i), Weight: 100, State: table.Active, Registered: true, Slots: 2,
		})
	}
	x.Services["s"] = entry
	route := &table.Route{
		Host: "s", PathPrefix: "/", Work: table.Repeatable, Deadline: time.Second, LatencyObjective: crowdAim, MaxAttempts: 2,
		Services: []table.WeightedService{{Service: "s", Weight: 1}},
	}
	x.Routes = map[table.RouteKey]*table.Route{route.Key(): route}
	return x
}

func crowdDomain(i int) units.Domain { return units.Domain(fmt.Sprintf("d%d", i%3)) }

// makeUnreachable makes all targets of a domain refuse connections.
func (f *crowdSim) makeUnreachable(d units.Domain) {
	for i := range crowdTargets {
		if crowdDomain(i) == d {
			f.targets[units.TargetID(fmt.Sprintf("t%03d", i))].unreachable = true
		}
	}
}

// advance simulates a period in which calls arrive at a fraction of the capacity.
func (f *crowdSim) advance(d time.Duration, load float64) {
	gap := time.Duration(float64(time.Second) / (load * crowdCapacity))
	end := f.now.Add(d)
	for at := f.now; at < end; at = at.Add(time.Duration(f.random.ExpFloat64() * float64(gap))) {
		f.events.Push(crowdEvent{at, func() { f.callers++; f.call(&crowdCaller{first: f.now}) }})
	}
	for at := f.now; at < end; at = at.Add(time.Millisecond) {
		f.events.Push(crowdEvent{at, f.tick})
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

func (f *crowdSim) after(d time.Duration, run func()) {
	f.events.Push(crowdEvent{f.now.Add(d), run})
}

func (f *crowdSim) tick() {
	for _, r := range f.routers {
		if r.NextWake() <= f.now {
			f.reduce(r, &Tick{})
		}
	}
}

func (f *crowdSim) call(c *crowdCaller) {
	left := crowdDeadline - f.now.Sub(c.first)
	if left <= 0 {
		return
	}
	r := f.routers[f.random.IntN(len(f.routers))]
	f.reduce(r, &CallArrived{Owner: c, Host: []byte("s"), Path: []byte("/"), Deadline: left})
}

func (f *crowdSim) reduce(r *Router, event Event) {
	var e Effects
	r.Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.apply(r, x)
	}
}

func (f *crowdSim) apply(r *Router, x Effect) {
	switch x.Kind {
	case Send:
		f.send(r, x)
	case Probe:
		f.probe(r, x)
	case Deliver:
		if c := x.Owner.(*crowdCaller); f.now.Sub(c.first) <= crowdAim {
			f.inAim++
		}
	case Refuse:
		f.retryCaller(x.Owner.(*crowdCaller), x.Refusal.RetryAfter)
	}
}

func (f *crowdSim) send(r *Router, x Effect) {
	t := f.targets[x.Endpoint.Target]
	if t.unreachable {
		f.wasted++
		f.after(crowdRoundTrip, func() { f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: NotSent}) })
		return
	}
	if f.random.Float64() < t.shedRate {
		f.after(crowdRoundTrip, func() { f.shed(r, x, t) })
		return
	}
	t.running++
	duration := crowdWorkTime
	if t.running > 1 {
		duration = duration * 17 / 10 * time.Duration((t.running+1)/2)
	}
	f.after(duration, func() {
		t.running--
		f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: Answered, Reading: t.reading()})
	})
}

// shed answers a call that the target sheds.
func (f *crowdSim) shed(r *Router, x Effect, t *crowdTarget) {
	if t.rest > 0 {
		f.wasted++
	}
	reading := t.reading()
	reading.Rest = t.rest
	f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: Shed, Reading: reading})
	if !f.sharesNotices || t.rest == 0 {
		return
	}
	f.after(crowdShareDelay, func() {
		for _, o := range f.routers {
			var e Effects
			o.handleNotice(x.Endpoint, TargetReport{Rest: t.rest - crowdShareDelay}, false, unknownLimitVersion, &e)
		}
	})
}

// crowdShareDelay is the time until a notice received by one box is known to all.
const crowdShareDelay = 50 * time.Millisecond

func (f *crowdSim) probe(r *Router, x Effect) {
	t := f.targets[x.Endpoint.Target]
	if t.unreachable {
		f.wasted++
	}
	f.after(crowdRoundTrip, func() {
		f.reduce(r, &ProbeEnded{Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, Healthy: !t.unreachable, Unreachable: t.unreachable, Reading: t.reading()})
	})
}

func (t *crowdTarget) reading() TargetReport {
	if t.unreachable {
		return TargetReport{}
	}
	return TargetReport{HasLoad: true, InFlight: float64(t.running), Slots: 2, Pace: 1}
}

// retryCaller schedules a refused caller's only retry: at the time that it was told, but within a
// third of its remaining time.
func (f *crowdSim) retryCaller(c *crowdCaller, after time.Duration) {
	left := crowdDeadline - f.now.Sub(c.first)
	if c.retries > 0 {
		return
	}
	c.retries++
	f.after(min(after, left/3)+crowdConnectTime, func() { f.call(c) })
}

// measure simulates 2 s at half of the capacity, and then 4 s at the given load. It returns the
// fraction of the latter calls that were answered within their aim.
func (f *crowdSim) measure(load float64, before func()) float64 {
	f.advance(2*time.Second, 0.5)
	before()
	f.inAim, f.callers, f.wasted = 0, 0, 0
	f.advance(4*time.Second, load)
	return float64(f.inAim) / float64(f.callers)
}

func noChange() {}

// With a load of 1.8 times the capacity, slots are given to first tries before late retries.
func TestFirstTriesGoBeforeLateReturns(t *testing.T) {
	without := newCrowdSim(t, FirstTries).measure(1.8, noChange)
	with := newCrowdSim(t).measure(1.8, noChange)
	t.Logf("within aim: %.3f, and %.3f without the preference for first tries", with, without)
	if with < 1.1*without {
		t.Errorf("%.3f of the calls were answered within their aim, %.3f without the preference", with, without)
	}
}

// With a third of the targets unreachable, boxes stop trying them one by one.
func TestADarkDomainIsLearntAsOne(t *testing.T) {
	play := func(off ...Mechanism) *crowdSim {
		f := newCrowdSim(t, off...)
		f.measure(0.5, func() { f.makeUnreachable("d1") })
		return f
	}
	with, without := play(), play(DomainAvailability)
	t.Logf("wasted sends and probes per call: %.3f, and %.3f without the estimate of domain availability", with.wastedPerCall(), without.wastedPerCall())
	if 2*with.wastedPerCall() > without.wastedPerCall() {
		t.Errorf("%.3f sends and probes per call met unreachable targets, %.3f without the estimate", with.wastedPerCall(), without.wastedPerCall())
	}
}

// Where targets with free slots shed half of their calls, refused callers must retry early enough
// for their aim. With a pause of 100 ms only 0.65 of the calls were answered within their aim.
func TestCallersOfShedCallsComeBackInTime(t *testing.T) {
	f := newCrowdSim(t)
	inAim := f.measure(0.4, func() {
		for _, x := range f.targets {
			x.shedRate = 0.55
		}
	})
	t.Logf("within aim: %.3f", inAim)
	if inAim < 0.69 {
		t.Errorf("only %.3f of the calls were answered within their aim", inAim)
	}
}

func (f *crowdSim) wastedPerCall() float64 { return float64(f.wasted) / float64(f.callers) }
