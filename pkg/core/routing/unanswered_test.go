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

// hangFleet simulates some boxes with the same targets, which never answer calls that they can't
// queue.
type hangFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     units.Instant
	routers []*Router
	targets map[units.TargetID]*hangingTarget
	pending *container.Heap[pendingEvent]
	started map[string]units.Instant
	// sends counts the sends of each call.
	sends map[string]int
	// delivered, late, refused and lost count the calls by result; lost ones were refused at their
	// deadline.
	delivered, late, refused, lost int
}

// hangingTarget runs some calls at a time, queues some, and drops the others without an answer.
type hangingTarget struct {
	slots, queue int
	inFlight     map[string]bool
	busyUntil    []units.Instant
	// dropsAll makes the target drop every call.
	dropsAll bool
	dropped  int
	sends    int
}

type pendingEvent struct {
	at     units.Instant
	router *Router
	event  Event
	// attempt names the attempt that the event ends at its target; empty for other events.
	attempt string
	target  *hangingTarget
}

const (
	hangWorkTime  = 20 * time.Millisecond
	hangObjective = 200 * time.Millisecond
	hangDeadline  = time.Second
	hangStep      = time.Millisecond
	// hangProbeDelay is the age of a probe's answer on arrival.
	hangProbeDelay = 4 * time.Millisecond
	hangSeed       = 20261202
)

func newHangFleet(t *testing.T, work table.WorkKind, boxes, targets int) *hangFleet {
	w := &hangFleet{
		t: t, random: rand.New(rand.NewPCG(hangSeed, 1)), now: units.Instant(time.Second),
		targets: map[units.TargetID]*hangingTarget{}, started: map[string]units.Instant{}, sends: map[string]int{},
		pending: container.NewHeap(func(a, b pendingEvent) bool { return a.at < b.at }),
	}
	service := table.Service{
		Name: "shop", Work: work, Deadline: hangDeadline, RetryBudget: 20, HedgeBudget: 20, MeasureBudget: 50, ProbeTargets: 2,
	}
	next := table.NewTable()
	next.Revision, next.Document = 1, 1
	entry := &table.Entry{Service: service, Version: 1}
	for i := range targets {
		id := units.TargetID(fmt.Sprintf("t%d", i))
		entry.Rows = entry.Rows.With(table.Row{
			Service: "shop", Target: id, Address: "127.0.0.1:1", Weight: 100, State: table.Active, Registered: true, Slots: 2,
		})
		w.targets[id] = &hangingTarget{slots: 2, queue: 1, inFlight: map[string]bool{}, busyUntil: make([]units.Instant, 2)}
	}
	next.Services["shop"] = entry
	route := &table.Route{
		Name: "shop", Host: "shop", PathPrefix: "/", Work: work, Deadline: hangDeadline, LatencyObjective: hangObjective,
		Services: []table.WeightedService{{Service: "shop", Weight: 1}},
	}
	next.Routes = map[table.RouteKey]*table.Route{route.Key(): route}
	for i := range boxes {
		next.Boxes = append(next.Boxes, table.Box{ID: units.BoxID(fmt.Sprintf("b%d", i))})
	}
	for i, b := range next.Boxes {
		r, err := NewRouter(Settings{Box: b.ID, Seed: uint64(i), ServeStale: true, ProbeCost: DefaultProbeCost, MaxDeadline: time.Minute}, w.now)
		if err != nil {
			t.Fatal(err)
		}
		w.routers = append(w.routers, r)
		w.dispatch(r, &TableChanged{Table: next})
	}
	return w
}

func (w *hangFleet) dispatch(r *Router, event Event) {
	var e Effects
	r.Reduce(w.now, event, &e)
	for i := range e.List {
		w.apply(r, &e.List[i])
	}
}

func (w *hangFleet) apply(r *Router, x *Effect) {
	name, _ := x.Owner.(string)
	switch x.Kind {
	case Send:
		w.sends[name]++
		w.targets[x.Endpoint.Target].receive(w, r, x, name)
	case Cancel:
		delete(w.targets[x.Endpoint.Target].inFlight, attemptName(name, x.Attempt))
	case Probe:
		w.pending.Push(pendingEvent{at: w.now.Add(hangProbeDelay), router: r, event: &ProbeEnded{
			Target: x.Endpoint, Healthy: true, Report: w.targets[x.Endpoint.Target].report(), Call: x.Call, Attempt: x.Attempt,
		}})
	case Deliver:
		w.delivered++
		if w.now.Sub(w.started[name]) > hangObjective {
			w.late++
		}
	case Refuse:
		w.refused++
		if x.Refusal.Outcome == NotRun && w.sends[name] > 0 {
			w.t.Errorf("%s was sent but refused as not run: %s", name, x.Refusal.Reason)
		}
		if x.Refusal.Reason == DeadlinePassed {
			w.lost++
		}
	}
}

func attemptName(call string, n AttemptNumber) string { return fmt.Sprintf("%s #%d", call, n) }

func (x *hangingTarget) report() TargetReport {
	return TargetReport{HasLoad: true, InFlight: float64(len(x.inFlight)), Slots: float64(x.slots), Pace: 1}
}

// receive accepts a call or drops it.
func (x *hangingTarget) receive(w *hangFleet, r *Router, s *Effect, call string) {
	x.sends++
	if x.dropsAll || len(x.inFlight) >= x.slots+x.queue {
		x.dropped++
		return
	}
	name := attemptName(call, s.Attempt)
	x.inFlight[name] = true
	slot := 0
	for i, until := range x.busyUntil {
		if until < x.busyUntil[slot] {
			slot = i
		}
	}
	x.busyUntil[slot] = max(x.busyUntil[slot], w.now).Add(hangWorkTime)
	w.pending.Push(pendingEvent{at: x.busyUntil[slot], router: r, attempt: name, target: x, event: &AttemptEnded{Call: s.Call, Attempt: s.Attempt, Result: Answered}})
}

// run simulates a period in which each box receives calls at random times with a mean gap.
func (w *hangFleet) run(length, gap time.Duration) {
	end := w.now.Add(length)
	for ; w.now < end; w.now = w.now.Add(hangStep) {
		w.step()
		for i, r := range w.routers {
			if w.random.Float64() < float64(hangStep)/float64(gap) {
				name := fmt.Sprintf("%d-%d", i, len(w.started))
				w.started[name] = w.now
				w.dispatch(r, &CallArrived{Owner: name, Host: []byte("shop"), Path: []byte("/")})
			}
		}
	}
}

func (w *hangFleet) step() {
	for {
		next, ok := w.pending.Peek()
		if !ok || next.at > w.now {
			break
		}
		w.pending.Pop()
		if ended, isEnd := next.event.(*AttemptEnded); isEnd {
			if !next.target.inFlight[next.attempt] {
				continue
			}
			delete(next.target.inFlight, next.attempt)
			ended.Report = next.target.report()
		}
		w.dispatch(next.router, next.event)
	}
	for _, r := range w.routers {
		if r.NextWake() <= w.now {
			w.dispatch(r, &Tick{})
		}
	}
}

// Ten boxes send about as many calls as three targets can handle, which drop what they can't queue.
// Guards against losing calls: of the dropped calls at most one in 25 may stay until its deadline,
// as both of its sends may be dropped. Afterwards no target may remain without calls.
func TestTenBoxesAtTargetsThatHang(t *testing.T) {
	w := newHangFleet(t, table.Repeatable, 10, 3)
	w.run(2*time.Second, 100*time.Millisecond)
	w.run(4*time.Second, 33*time.Millisecond)
	w.run(3*time.Second, 100*time.Millisecond)
	dropped := 0
	for _, x := range w.targets {
		dropped += x.dropped
	}
	t.Logf("delivered %d, %d late, refused %d, lost %d, dropped %d", w.delivered, w.late, w.refused, w.lost, dropped)
	if dropped == 0 {
		t.Fatal("no target dropped a call, so nothing was tested")
	}
	if w.lost*25 > dropped {
		t.Errorf("%d calls stayed until their deadline", w.lost)
	}
	w.expectAllTargetsUsed()
}

// Two of four targets drop every call for 5 s but still answer probes. Guards against calls that
// are lost there instead of being sent to the other two, and against never using the two again.
func TestHalfOfAServiceHangs(t *testing.T) {
	w := newHangFleet(t, table.Repeatable, 4, 4)
	w.run(2*time.Second, 40*time.Millisecond)
	w.setDropping(true, "t0", "t1")
	before := w.lost
	w.run(5*time.Second, 40*time.Millisecond)
	t.Logf("delivered %d, %d late, refused %d, lost %d, dropped %d and %d", w.delivered, w.late, w.refused, w.lost,
		w.targets["t0"].dropped, w.targets["t1"].dropped)
	if lost := w.lost - before; lost > 5 {
		t.Errorf("%d calls stayed until their deadline", lost)
	}
	w.setDropping(false, "t0", "t1")
	w.run(3*time.Second, 40*time.Millisecond)
	w.expectAllTargetsUsed()
}

// Guards against calls of work that must not run twice being sent twice to such targets, and
// against telling callers that a call hasn't run after it was sent.
func TestOnceCallsAtTargetsThatHang(t *testing.T) {
	w := newHangFleet(t, table.AtMostOnce, 10, 3)
	w.run(6*time.Second, 33*time.Millisecond)
	for name, n := range w.sends {
		if n > 1 {
			t.Errorf("%s was sent %d times", name, n)
		}
	}
	dropped := 0
	for _, x := range w.targets {
		dropped += x.dropped
	}
	t.Logf("delivered %d, %d late, refused %d, lost %d, dropped %d", w.delivered, w.late, w.refused, w.lost, dropped)
	if dropped == 0 {
		t.Fatal("no target dropped a call, so nothing was tested")
	}
}

func (w *hangFleet) setDropping(on bool, ids ...units.TargetID) {
	for _, id := range ids {
		w.targets[id].dropsAll = on
	}
}

// expectAllTargetsUsed checks that every target receives calls again.
func (w *hangFleet) expectAllTargetsUsed() {
	before := map[units.TargetID]int{}
	for id, x := range w.targets {
		before[id] = x.sends
	}
	w.run(2*time.Second, 40*time.Millisecond)
	for id, x := range w.targets {
		if x.sends == before[id] {
			w.t.Errorf("%s receives no calls any more", id)
		}
	}
}
