package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// canaryFleet is boxes, targets and a leader who judges by the boxes' notes, in virtual time. Callers send one
// request that ends each target which runs it, one that many send and that is well, and others.
type canaryFleet struct {
	timeline
	random  *rand.Rand
	routers []*Router
	boxes   []table.Box
	targets map[units.TargetID]*canaryTarget
	ledger  *crash.Tracker
	blamed  []crash.Fingerprint
	// lost counts the targets that ended under the request.
	lost int
	// silent is a box that neither hears nor says anything to others; told counts the messages between boxes.
	silent units.BoxID
	told   int
	well   map[string]*canaryCount
}

// canaryCount counts the calls of a request.
type canaryCount struct {
	calls, answered, blamed int
	// late counts those whose answer took more than lateAnswer.
	late int
}

type canaryTarget struct {
	downUntil units.Instant
	running   []canaryRun
}

type canaryRun struct {
	router *Router
	send   Effect
	ended  *bool
}

// request identifies a call by what is asked for and who asks.
type request struct {
	what   string
	caller uint64
}

func (q request) Head() uint64   { return crash.Digest([]byte(q.what)) }
func (q request) Body() uint64   { return 0 }
func (q request) Caller() uint64 { return q.caller + 1 }

// canaryCaller is one caller's call; it comes back when it is refused or broken off.
type canaryCaller struct {
	request request
	at      units.Instant
	tries   int
}

const (
	deadly  = "deadly"
	popular = "popular"
	other   = "other"

	canaryBoxes, canaryTargets = 18, 10

	runsDeadly = 100 * time.Millisecond
	runsWell   = 60 * time.Millisecond
	restarts   = 3 * time.Second
	lateAnswer = 400 * time.Millisecond
	noteTravel = 8 * time.Millisecond
	toldTravel = 15 * time.Millisecond
	peerTravel = 2 * time.Millisecond
)

func newCanaryFleet(t *testing.T, seed uint64, off ...Mechanism) *canaryFleet {
	t.Helper()
	f := &canaryFleet{
		timeline: newTimeline(units.Instant(time.Minute)), random: rand.New(rand.NewPCG(seed, 7)), targets: map[units.TargetID]*canaryTarget{},
		ledger: crash.NewTracker(crash.CrashesToBlame), well: map[string]*canaryCount{deadly: {}, popular: {}, other: {}},
	}
	x := f.newTable()
	for i := range f.boxes {
		r, err := NewRouter(Settings{
			Box: f.boxes[i].ID, Seed: seed + uint64(i), ServeStale: true, ShareDelay: time.Second, ProbeCost: DefaultProbeCost, MaxDeadline: time.Minute, Disable: off,
		}, f.now)
		if err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, r)
		f.give(r, &TableChanged{Table: x})
		f.give(r, &LeaseChanged{Until: f.now.Add(time.Hour), At: f.now})
	}
	f.every(time.Millisecond, func() {
		for _, r := range f.routers {
			if r.NextWake() <= f.now {
				f.give(r, &Tick{})
			}
		}
	})
	f.every(10*time.Millisecond, f.judge)
	return f
}

func (f *canaryFleet) newTable() *table.Table {
	x := table.NewTable()
	x.Revision, x.Document = 1, 1
	entry := &table.Entry{Version: 1, Service: table.Service{
		Name: "s", Work: table.Repeatable, Deadline: 2 * time.Second, HoldCount: 50, HoldLimit: time.Second, ProbeTargets: 2, MeasureBudget: 20, RetryBudget: 20,
	}}
	for i := range canaryTargets {
		id := units.TargetID(fmt.Sprintf("t%d", i))
		f.targets[id] = &canaryTarget{}
		entry.Rows = entry.Rows.With(table.Row{Service: "s", Target: id, Address: "127.0.0.1:1", Weight: 100, State: table.Active, Registered: true, Slots: 4})
	}
	x.Services["s"] = entry
	for i := range canaryBoxes {
		f.boxes = append(f.boxes, table.Box{ID: units.BoxID(fmt.Sprintf("b%02d", i))})
	}
	x.Boxes = f.boxes
	route := &table.Route{
		Host: "s", PathPrefix: "/", Work: table.Repeatable, Deadline: 2 * time.Second, LatencyObjective: 500 * time.Millisecond, MaxAttempts: 2,
		Services: []table.WeightedService{{Service: "s", Weight: 1}},
	}
	x.Routes = map[table.RouteKey]*table.Route{route.Key(): route}
	return x
}

// give gives a router an event, and the leader what it notes.
func (f *canaryFleet) give(r *Router, event Event) {
	var e Effects
	r.Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.carryOut(r, x)
	}
	if r.EvidenceDue() {
		notes := r.CrashNotes()
		f.after(noteTravel, func() { f.takeNotes(r, notes) })
	}
}

func (f *canaryFleet) takeNotes(r *Router, notes []crash.Note) {
	for _, n := range notes {
		n.Box, n.Start = r.settings.Box, 1
		f.ledger.Record(n)
	}
	f.judge()
	if len(notes) > 0 {
		last := notes[len(notes)-1].Number
		f.after(toldTravel, func() { f.give(r, f.granted(last)) })
	}
}

// judge has the leader look for who is to blame; verdicts go to all boxes.
func (f *canaryFleet) judge() {
	verdicts := f.ledger.Evaluate(f.now)
	for _, v := range verdicts {
		f.blamed = append(f.blamed, v.Fingerprint)
	}
	if len(verdicts) == 0 {
		return
	}
	f.after(toldTravel, func() {
		for _, r := range f.routers {
			f.give(r, f.granted(0))
		}
	})
}

func (f *canaryFleet) granted(noted uint64) *WatchedChanged {
	v := &WatchedChanged{Term: 1, Noted: noted}
	for _, x := range f.blamed {
		v.Calls = append(v.Calls, crash.WatchedCall{Call: x, Quarantined: true})
	}
	for _, x := range f.ledger.Suspects(8) {
		v.Calls = append(v.Calls, crash.WatchedCall{Call: x})
	}
	return v
}

func (f *canaryFleet) carryOut(r *Router, x Effect) {
	switch x.Kind {
	case Send:
		f.send(r, x)
	case Probe:
		f.probe(r, x)
	case Deliver:
		c := x.Owner.(*canaryCaller)
		n := f.well[c.request.what]
		n.answered++
		if f.now.Sub(c.at) > lateAnswer {
			n.late++
		}
	case Refuse:
		f.refused(x)
	case SendCanaryMessage:
		f.told++
		if x.Peer == f.silent || r.settings.Box == f.silent {
			return
		}
		m := *x.Canary
		f.after(peerTravel, func() {
			for _, o := range f.routers {
				if o.settings.Box == x.Peer {
					f.give(o, &PeerCanary{From: r.settings.Box, Message: m})
				}
			}
		})
	}
}

// refused has the caller come back a moment later, as clients do who repeat what isn't known to have run.
func (f *canaryFleet) refused(x Effect) {
	c := x.Owner.(*canaryCaller)
	if x.Refusal.Reason == Quarantined {
		f.well[c.request.what].blamed++
		return
	}
	if c.tries++; c.tries < 3 {
		f.after(50*time.Millisecond, func() { f.arrive(c) })
	}
}

func (f *canaryFleet) send(r *Router, x Effect) {
	t := f.targets[x.Endpoint.Target]
	if f.now < t.downUntil {
		f.after(time.Millisecond, func() {
			f.give(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: NotSent, Refused: true})
		})
		return
	}
	ended := false
	t.running = append(t.running, canaryRun{router: r, send: x, ended: &ended})
	if x.Owner.(*canaryCaller).request.what == deadly {
		f.after(runsDeadly, func() {
			if !ended {
				f.lost++
				f.end(t)
			}
		})
		return
	}
	f.after(runsWell, func() {
		if !ended {
			ended = true
			f.give(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: Answered, Reading: f.reading(t)})
		}
	})
}

// end ends a target's process: what it runs breaks off.
func (f *canaryFleet) end(t *canaryTarget) {
	running := t.running
	t.running, t.downUntil = nil, f.now.Add(restarts)
	for _, x := range running {
		if !*x.ended {
			*x.ended = true
			f.give(x.router, &AttemptEnded{Call: x.send.Call, Attempt: x.send.Attempt, Endpoint: x.send.Endpoint, Result: Broken})
		}
	}
}

func (f *canaryFleet) probe(r *Router, x Effect) {
	f.after(time.Millisecond, func() {
		t := f.targets[x.Endpoint.Target]
		down := f.now < t.downUntil
		f.give(r, &ProbeEnded{
			Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, Healthy: !down, Unreachable: down, Refused: down, Answered: !down, Reading: f.reading(t),
		})
	})
}

func (f *canaryFleet) reading(t *canaryTarget) Reading {
	n := 0
	for _, x := range t.running {
		if !*x.ended {
			n++
		}
	}
	return Reading{Known: f.now >= t.downUntil, InFlight: float64(n), Slots: 4, Pace: 1}
}

// call has a request come so often a second, each time of another caller, until a time.
func (f *canaryFleet) call(what string, perSecond float64, until units.Instant) {
	f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if f.now > until {
			return
		}
		q := request{what: what, caller: f.random.Uint64() >> 1}
		f.well[what].calls++
		f.arrive(&canaryCaller{request: q, at: f.now})
		f.call(what, perSecond, until)
	})
}

func (f *canaryFleet) arrive(c *canaryCaller) {
	r := f.routers[f.random.IntN(len(f.routers))]
	identity := c.request
	if identity.what == other {
		identity.what = fmt.Sprint(other, identity.caller)
	}
	f.give(r, &CallArrived{Owner: c, Host: []byte("s"), Path: []byte("/"), Deadline: 2 * time.Second, Identity: identity})
}

// play has all requests come for some seconds.
func (f *canaryFleet) play(deadlyPerSecond float64) {
	until := f.now.Add(8 * time.Second)
	f.call(other, 120, until)
	f.call(popular, 60, until)
	f.run(time.Second)
	f.call(deadly, deadlyPerSecond, until)
	f.run(9 * time.Second)
}

// A request that thirty callers send ends four targets at the most: three show who is to blame, of one caller's and
// then of all callers' requests, and one may be lost to a call that was under way.
func TestARequestOfManyCallersEndsFewTargets(t *testing.T) {
	const aim, seeds = 4, 8
	total, without := 0, 0
	for seed := range uint64(seeds) {
		with, plain := newCanaryFleet(t, seed), newCanaryFleet(t, seed, Canaries)
		with.play(4)
		plain.play(4)
		t.Logf("seed %d: %d targets ended, %d without canaries; popular %+v, %+v without", seed, with.lost, plain.lost, *with.well[popular], *plain.well[popular])
		total += with.lost
		without += plain.lost
		if n := with.well[popular]; n.blamed > 0 || n.late*50 > n.calls || n.answered*50 < n.calls*49 {
			t.Errorf("seed %d: of %d calls of a request that is well %d were answered, %d late, %d refused as quarantined", seed, n.calls, n.answered, n.late, n.blamed)
		}
	}
	t.Logf("%.1f targets in the mean, %.1f without canaries", float64(total)/seeds, float64(without)/seeds)
	if total > aim*seeds {
		t.Errorf("%d targets ended in %d plays, %d are wanted at the most", total, seeds, aim*seeds)
	}
}

// Where the box that says whose turn it is is cut off from the others, calls of a suspected request go on after a
// while, as they did before, and a request that is well is still answered.
func TestASilentCoordinatorHoldsNothingUpForLong(t *testing.T) {
	f := newCanaryFleet(t, 3)
	f.silent = f.routers[0].canaryCoordinator(crash.FingerprintOf(request{what: deadly}).AnyCaller())
	f.play(4)
	n := f.well[popular]
	t.Logf("%d targets ended; popular %+v, deadly %+v", f.lost, *n, *f.well[deadly])
	if n.answered*50 < n.calls*49 || n.late*20 > n.calls {
		t.Errorf("of %d calls of a request that is well %d were answered, %d late", n.calls, n.answered, n.late)
	}
	for _, r := range f.routers {
		r.calls.Each(func(_ CallID, c *call) {
			if c.awaitsCanaryTurn && f.now.Sub(c.arrived) > canaryWait+canaryPause {
				t.Errorf("a call has waited for %s", f.now.Sub(c.arrived))
			}
		})
	}
}

// Targets that end by themselves, all at once, hold up the requests that were under way for as long as one call of each
// takes, and cost a bounded number of messages.
func TestTargetsThatEndByThemselvesHoldUpLittle(t *testing.T) {
	f := newCanaryFleet(t, 5)
	f.after(4*time.Second, func() {
		for i := range canaryTargets / 2 {
			f.end(f.targets[units.TargetID(fmt.Sprintf("t%d", i))])
		}
	})
	f.play(1e-6)
	n := f.well[popular]
	t.Logf("popular %+v, %d messages", *n, f.told)
	if n.answered*50 < n.calls*49 || n.late*50 > n.calls || n.blamed > 0 {
		t.Errorf("of %d calls %d were answered, %d late, %d refused as quarantined", n.calls, n.answered, n.late, n.blamed)
	}
	if f.told > canaryBoxes*(tellBurst+9*tellRate) {
		t.Errorf("boxes sent each other %d messages", f.told)
	}
}
