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

// canaryFleet simulates boxes, targets and a leader that decides by the boxes' notes, in virtual
// time. Callers send one request that crashes each target which runs it, one harmless request that
// many callers send, and others.
type canaryFleet struct {
	timeline
	random      *rand.Rand
	routers     []*Router
	boxes       []table.Box
	targets     map[units.TargetID]*canaryTarget
	tracker     *crash.Tracker
	quarantined []crash.Fingerprint
	// crashed counts the targets that the request crashed.
	crashed int
	// isolated is a box whose messages to and from other boxes are lost; messages counts the
	// messages between boxes.
	isolated units.BoxID
	messages int
	counts   map[string]*canaryCount
}

// canaryCount counts the calls of a request by result.
type canaryCount struct {
	calls, answered, refusedAsQuarantined int
	// late counts the calls whose answer took longer than lateAnswer.
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

// canaryRequest identifies a call by its content and its caller.
type canaryRequest struct {
	content string
	caller  uint64
}

func (q canaryRequest) Head() uint64   { return crash.Digest([]byte(q.content)) }
func (q canaryRequest) Body() uint64   { return 0 }
func (q canaryRequest) Caller() uint64 { return q.caller + 1 }

// canaryCaller is one caller's call; the caller retries when it is refused or breaks off.
type canaryCaller struct {
	request canaryRequest
	at      units.Instant
	tries   int
}

const (
	crashingRequest = "deadly"
	popularRequest  = "popular"
	uniqueRequest   = "other"

	canaryBoxes, canaryTargets = 18, 10

	crashDelay  = 100 * time.Millisecond
	workTime    = 60 * time.Millisecond
	restartTime = 3 * time.Second
	lateAnswer  = 400 * time.Millisecond
	noteDelay   = 8 * time.Millisecond
	grantDelay  = 15 * time.Millisecond
	peerDelay   = 2 * time.Millisecond
)

func newCanaryFleet(t *testing.T, seed uint64, off ...Mechanism) *canaryFleet {
	t.Helper()
	f := &canaryFleet{
		timeline: newTimeline(units.Instant(time.Minute)), random: rand.New(rand.NewPCG(seed, 7)), targets: map[units.TargetID]*canaryTarget{},
		tracker: crash.NewTracker(crash.CrashesToBlame), counts: map[string]*canaryCount{crashingRequest: {}, popularRequest: {}, uniqueRequest: {}},
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
		f.reduce(r, &TableChanged{Table: x})
		f.reduce(r, &LeaseChanged{Until: f.now.Add(time.Hour), At: f.now})
	}
	f.every(time.Millisecond, func() {
		for _, r := range f.routers {
			if r.NextWake() <= f.now {
				f.reduce(r, &Tick{})
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

// reduce passes an event to a router, and its crash notes to the leader.
func (f *canaryFleet) reduce(r *Router, event Event) {
	var e Effects
	r.Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.carryOut(r, x)
	}
	if r.EvidenceDue() {
		notes := r.CrashNotes()
		f.after(noteDelay, func() { f.receiveNotes(r, notes) })
	}
}

func (f *canaryFleet) receiveNotes(r *Router, notes []crash.Note) {
	for _, n := range notes {
		n.Box, n.Start = r.settings.Box, 1
		f.tracker.Record(n)
	}
	f.judge()
	if len(notes) > 0 {
		last := notes[len(notes)-1].Number
		f.after(grantDelay, func() { f.reduce(r, f.grant(last)) })
	}
}

// judge has the leader look for calls that cause crashes; its decisions go to all boxes.
func (f *canaryFleet) judge() {
	verdicts := f.tracker.Evaluate(f.now)
	for _, v := range verdicts {
		f.quarantined = append(f.quarantined, v.Fingerprint)
	}
	if len(verdicts) == 0 {
		return
	}
	f.after(grantDelay, func() {
		for _, r := range f.routers {
			f.reduce(r, f.grant(0))
		}
	})
}

func (f *canaryFleet) grant(noted uint64) *WatchedCallsChanged {
	v := &WatchedCallsChanged{Term: 1, Acknowledged: noted}
	for _, x := range f.quarantined {
		v.Calls = append(v.Calls, crash.WatchedCall{Call: x, Quarantined: true})
	}
	for _, x := range f.tracker.Suspects(8) {
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
		n := f.counts[c.request.content]
		n.answered++
		if f.now.Sub(c.at) > lateAnswer {
			n.late++
		}
	case Refuse:
		f.refused(x)
	case SendCanaryMessage:
		f.messages++
		if x.Peer == f.isolated || r.settings.Box == f.isolated {
			return
		}
		m := *x.Canary
		f.after(peerDelay, func() {
			for _, o := range f.routers {
				if o.settings.Box == x.Peer {
					f.reduce(o, &PeerCanary{From: r.settings.Box, Message: m})
				}
			}
		})
	}
}

// refused has the caller retry a moment later, like clients that repeat calls of unknown outcome.
func (f *canaryFleet) refused(x Effect) {
	c := x.Owner.(*canaryCaller)
	if x.Refusal.Reason == Quarantined {
		f.counts[c.request.content].refusedAsQuarantined++
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
			f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: NotSent, Refused: true})
		})
		return
	}
	ended := false
	t.running = append(t.running, canaryRun{router: r, send: x, ended: &ended})
	if x.Owner.(*canaryCaller).request.content == crashingRequest {
		f.after(crashDelay, func() {
			if !ended {
				f.crashed++
				f.crash(t)
			}
		})
		return
	}
	f.after(workTime, func() {
		if !ended {
			ended = true
			f.reduce(r, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: Answered, Report: f.report(t)})
		}
	})
}

// crash ends a target's process: the calls that it runs break off.
func (f *canaryFleet) crash(t *canaryTarget) {
	running := t.running
	t.running, t.downUntil = nil, f.now.Add(restartTime)
	for _, x := range running {
		if !*x.ended {
			*x.ended = true
			f.reduce(x.router, &AttemptEnded{Call: x.send.Call, Attempt: x.send.Attempt, Endpoint: x.send.Endpoint, Result: Broken})
		}
	}
}

func (f *canaryFleet) probe(r *Router, x Effect) {
	f.after(time.Millisecond, func() {
		t := f.targets[x.Endpoint.Target]
		down := f.now < t.downUntil
		f.reduce(r, &ProbeEnded{
			Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, Healthy: !down, Unreachable: down, Refused: down, Answered: !down, Report: f.report(t),
		})
	})
}

func (f *canaryFleet) report(t *canaryTarget) TargetReport {
	n := 0
	for _, x := range t.running {
		if !*x.ended {
			n++
		}
	}
	return TargetReport{HasLoad: f.now >= t.downUntil, InFlight: float64(n), Slots: 4, Pace: 1}
}

// call schedules random calls of a request at a mean rate, each of a different caller, until a
// time.
func (f *canaryFleet) call(content string, perSecond float64, until units.Instant) {
	f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if f.now > until {
			return
		}
		q := canaryRequest{content: content, caller: f.random.Uint64() >> 1}
		f.counts[content].calls++
		f.arrive(&canaryCaller{request: q, at: f.now})
		f.call(content, perSecond, until)
	})
}

func (f *canaryFleet) arrive(c *canaryCaller) {
	r := f.routers[f.random.IntN(len(f.routers))]
	identity := c.request
	if identity.content == uniqueRequest {
		identity.content = fmt.Sprint(uniqueRequest, identity.caller)
	}
	f.reduce(r, &CallArrived{Owner: c, Host: []byte("s"), Path: []byte("/"), Deadline: 2 * time.Second, Identity: identity})
}

// runLoad sends all requests for 8 seconds and runs 2 seconds longer.
func (f *canaryFleet) runLoad(crashingPerSecond float64) {
	until := f.now.Add(8 * time.Second)
	f.call(uniqueRequest, 120, until)
	f.call(popularRequest, 60, until)
	f.run(time.Second)
	f.call(crashingRequest, crashingPerSecond, until)
	f.run(9 * time.Second)
}

// A request that thirty callers send crashes at most four targets: three crashes identify it, first
// for one caller and then for all, and one more target may be lost to a call that was already in
// flight.
func TestARequestOfManyCallersEndsFewTargets(t *testing.T) {
	const maxCrashes, seeds = 4, 8
	total, without := 0, 0
	for seed := range uint64(seeds) {
		with, plain := newCanaryFleet(t, seed), newCanaryFleet(t, seed, Canaries)
		with.runLoad(4)
		plain.runLoad(4)
		t.Logf("seed %d: %d targets crashed, %d without canaries; popular request %+v, without canaries %+v", seed, with.crashed, plain.crashed, *with.counts[popularRequest], *plain.counts[popularRequest])
		total += with.crashed
		without += plain.crashed
		if n := with.counts[popularRequest]; n.refusedAsQuarantined > 0 || n.late*50 > n.calls || n.answered*50 < n.calls*49 {
			t.Errorf("seed %d: of %d calls of a harmless request %d were answered, %d late, %d refused as quarantined", seed, n.calls, n.answered, n.late, n.refusedAsQuarantined)
		}
	}
	t.Logf("%.1f targets crashed on average, %.1f without canaries", float64(total)/seeds, float64(without)/seeds)
	if total > maxCrashes*seeds {
		t.Errorf("%d targets crashed in %d runs, want at most %d", total, seeds, maxCrashes*seeds)
	}
}

// If the coordinator of canaries is isolated from the other boxes, calls of a suspected request are
// sent without a grant after a while, and a harmless request is still answered.
func TestASilentCoordinatorHoldsNothingUpForLong(t *testing.T) {
	f := newCanaryFleet(t, 3)
	f.isolated = f.routers[0].canaryCoordinator(crash.FingerprintOf(canaryRequest{content: crashingRequest}).AnyCaller())
	f.runLoad(4)
	n := f.counts[popularRequest]
	t.Logf("%d targets crashed; popular request %+v, crashing request %+v", f.crashed, *n, *f.counts[crashingRequest])
	if n.answered*50 < n.calls*49 || n.late*20 > n.calls {
		t.Errorf("of %d calls of a harmless request %d were answered, %d late", n.calls, n.answered, n.late)
	}
	for _, r := range f.routers {
		r.calls.Each(func(_ CallID, c *call) {
			if c.awaitsCanaryGrant && f.now.Sub(c.arrived) > maxCanaryWait+canaryPollInterval {
				t.Errorf("a call has waited for a canary grant for %s", f.now.Sub(c.arrived))
			}
		})
	}
}

// If many targets stop at once for another reason, the requests that were in flight are delayed
// only for as long as one call of each takes, and the number of messages between boxes is bounded.
func TestTargetsThatEndByThemselvesHoldUpLittle(t *testing.T) {
	f := newCanaryFleet(t, 5)
	f.after(4*time.Second, func() {
		for i := range canaryTargets / 2 {
			f.crash(f.targets[units.TargetID(fmt.Sprintf("t%d", i))])
		}
	})
	f.runLoad(1e-6)
	n := f.counts[popularRequest]
	t.Logf("popular request %+v, %d messages", *n, f.messages)
	if n.answered*50 < n.calls*49 || n.late*50 > n.calls || n.refusedAsQuarantined > 0 {
		t.Errorf("of %d calls %d were answered, %d late, %d refused as quarantined", n.calls, n.answered, n.late, n.refusedAsQuarantined)
	}
	if f.messages > canaryBoxes*(broadcastBurst+9*broadcastRate) {
		t.Errorf("the boxes sent %d messages", f.messages)
	}
}
