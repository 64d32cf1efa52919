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

// crowd replays more calls than targets can serve in time over many boxes. Targets have two
// slots, the second of which slows both; refused callers come back once, as they are told.
type crowd struct {
	t       *testing.T
	random  *rand.Rand
	now     units.Instant
	routers []*Router
	targets map[units.TargetID]*crowdTarget
	events  *container.Heap[crowdEvent]
	inAim   int
	asked   int
	// wasted counts the probes and sends that met an unreachable target, or one that rests.
	wasted int
	// shared has every box hear what a target says to one of them.
	shared bool
}

type crowdTarget struct {
	running int
	dark    bool
	// sheds is the part of calls that the target sheds, whatever room it has.
	sheds float64
	// rest is for how long a target that sheds wants nothing more from the box.
	rest time.Duration
}

type crowdEvent struct {
	at  units.Instant
	run func()
}

// crowdCaller is one caller's call over its tries.
type crowdCaller struct {
	first   units.Instant
	retries int
}

const (
	crowdBoxes    = 60
	crowdTargets  = 48
	crowdWork     = 60 * time.Millisecond
	crowdAim      = 200 * time.Millisecond
	crowdDeadline = 600 * time.Millisecond
	// crowdCapacity is about how many calls a second all targets serve.
	crowdCapacity = crowdTargets * 2 / 0.102
	crowdWay      = 2 * time.Millisecond
	// crowdConnect is how long a caller who comes back takes to connect.
	crowdConnect = 15 * time.Millisecond
)

func newCrowd(t *testing.T, off ...Mechanism) *crowd {
	f := &crowd{
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

func (f *crowd) newTable() *table.Table {
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
		Host: "s", PathPrefix: "/", Work: table.Repeatable, Deadline: time.Second, Aim: crowdAim, MaxAttempts: 2,
		Parts: []table.Part{{Service: "s", Weight: 1}},
	}
	x.Routes = map[table.RouteKey]*table.Route{route.Key(): route}
	return x
}

func crowdDomain(i int) units.Domain { return units.Domain(fmt.Sprintf("d%d", i%3)) }

// darken has all targets of a domain refuse connections.
func (f *crowd) darken(d units.Domain) {
	for i := range crowdTargets {
		if crowdDomain(i) == d {
			f.targets[units.TargetID(fmt.Sprintf("t%03d", i))].dark = true
		}
	}
}

// pass lets calls come for a time, at a part of the capacity.
func (f *crowd) pass(d time.Duration, load float64) {
	gap := time.Duration(float64(time.Second) / (load * crowdCapacity))
	end := f.now.Add(d)
	for at := f.now; at < end; at = at.Add(time.Duration(f.random.ExpFloat64() * float64(gap))) {
		f.events.Push(crowdEvent{at, func() { f.asked++; f.call(&crowdCaller{first: f.now}) }})
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

func (f *crowd) after(d time.Duration, run func()) {
	f.events.Push(crowdEvent{f.now.Add(d), run})
}

func (f *crowd) tick() {
	for _, r := range f.routers {
		if r.NextWake() <= f.now {
			f.reduce(r, &Tick{})
		}
	}
}

func (f *crowd) call(c *crowdCaller) {
	left := crowdDeadline - f.now.Sub(c.first)
	if left <= 0 {
		return
	}
	r := f.routers[f.random.IntN(len(f.routers))]
	f.reduce(r, &CallArrived{Owner: c, Host: []byte("s"), Path: []byte("/"), Deadline: left})
}

func (f *crowd) reduce(r *Router, event Event) {
	var e Effects
	r.Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.carryOut(r, x)
	}
}

func (f *crowd) carryOut(r *Router, x Effect) {
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
		f.comeBack(x.Owner.(*crowdCaller), x.Refusal.RetryAfter)
	}
}

func (f *crowd) send(r *Router, x Effect) {
	t := f.targets[x.Endpoint.Target]
	if t.dark {
		f.wasted++
		f.after(crowdWay, func() { f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: NotSent}) })
		return
	}
	if f.random.Float64() < t.sheds {
		f.after(crowdWay, func() { f.shed(r, x, t) })
		return
	}
	t.running++
	takes := crowdWork
	if t.running > 1 {
		takes = takes * 17 / 10 * time.Duration((t.running+1)/2)
	}
	f.after(takes, func() {
		t.running--
		f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: Answered, Reading: t.reading()})
	})
}

// shed answers a call that a target turns away.
func (f *crowd) shed(r *Router, x Effect, t *crowdTarget) {
	if t.rest > 0 {
		f.wasted++
	}
	said := t.reading()
	said.Rest = t.rest
	f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: Shed, Reading: said})
	if !f.shared || t.rest == 0 {
		return
	}
	f.after(crowdTold, func() {
		for _, o := range f.routers {
			var e Effects
			o.hear(x.Endpoint, Reading{Rest: t.rest - crowdTold}, false, noBase, &e)
		}
	})
}

// crowdTold is how long it takes until what one box has heard is known to all.
const crowdTold = 50 * time.Millisecond

func (f *crowd) probe(r *Router, x Effect) {
	t := f.targets[x.Endpoint.Target]
	if t.dark {
		f.wasted++
	}
	f.after(crowdWay, func() {
		f.reduce(r, &ProbeEnded{Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, Healthy: !t.dark, Unreachable: t.dark, Reading: t.reading()})
	})
}

func (t *crowdTarget) reading() Reading {
	if t.dark {
		return Reading{}
	}
	return Reading{HasLoad: true, InFlight: float64(t.running), Slots: 2, Pace: 1}
}

// comeBack has a refused caller try once more, when it was told to but within a third of the
// time that it has left.
func (f *crowd) comeBack(c *crowdCaller, after time.Duration) {
	left := crowdDeadline - f.now.Sub(c.first)
	if c.retries > 0 {
		return
	}
	c.retries++
	f.after(min(after, left/3)+crowdConnect, func() { f.call(c) })
}

// play has calls come at half of the capacity, and then at a load for 4 s; it returns the
// part of the latter that was answered in aim.
func (f *crowd) play(load float64, before func()) float64 {
	f.pass(2*time.Second, 0.5)
	before()
	f.inAim, f.asked, f.wasted = 0, 0, 0
	f.pass(4*time.Second, load)
	return float64(f.inAim) / float64(f.asked)
}

func nothing() {}

// With calls of 1.8 times the capacity, slots go to first tries.
func TestFirstTriesGoBeforeLateReturns(t *testing.T) {
	without := newCrowd(t, FirstTries).play(1.8, nothing)
	with := newCrowd(t).play(1.8, nothing)
	t.Logf("in aim: %.3f, and %.3f where late returns take places", with, without)
	if with < 1.1*without {
		t.Errorf("%.3f of the calls were answered in aim, %.3f without the preference", with, without)
	}
}

// With a third of the targets unreachable, boxes stop trying them one by one.
func TestADarkDomainIsLearntAsOne(t *testing.T) {
	play := func(off ...Mechanism) *crowd {
		f := newCrowd(t, off...)
		f.play(0.5, func() { f.darken("d1") })
		return f
	}
	with, without := play(), play(Outlook)
	t.Logf("wasted tries a call: %.3f, and %.3f target by target", with.perCall(), without.perCall())
	if 2*with.perCall() > without.perCall() {
		t.Errorf("%.3f tries a call met dark targets, %.3f without the outlook", with.perCall(), without.perCall())
	}
}

// Where targets with room shed half of their calls, refused callers come back in time for their
// aim. With a pause of 100 ms 0.65 of the calls were answered in aim.
func TestCallersOfShedCallsComeBackInTime(t *testing.T) {
	f := newCrowd(t)
	inAim := f.play(0.4, func() {
		for _, x := range f.targets {
			x.sheds = 0.55
		}
	})
	t.Logf("in aim: %.3f", inAim)
	if inAim < 0.69 {
		t.Errorf("%.3f of the calls were answered in aim", inAim)
	}
}

func (f *crowd) perCall() float64 { return float64(f.wasted) / float64(f.asked) }
