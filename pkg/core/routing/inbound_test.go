package routing

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	call   CallID
	number AttemptNumber
}

// inboundModel is a router with a route that has large answers, and its attempts in flight.
type inboundModel struct {
	router   *Router
	now      units.Instant
	sent     []sentAttempt
	busyTime time.Duration
}

func newInboundModel(t *rapid.T) *inboundModel {
	w := &inboundModel{now: units.Instant(time.Second)}
	router, err := NewRouter(Settings{Box: "me", ServeStale: true, ShareDelay: time.Second, MaxDeadline: time.Minute, LinkRate: 875_000}, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.router = router
	next := table.NewTable()
	next.Revision = 1
	next.Boxes = []table.Box{{ID: "me"}}
	next.Services["s"] = &table.Entry{
		Service: table.Service{Name: "s", Work: table.Repeatable, Deadline: time.Second, HedgeBudget: 50, RetryBudget: 50, ExtraBurst: 9},
		Rows: table.RowsOf(
			table.Row{Service: "s", Target: "t1", Address: "127.0.0.1:1", Weight: 1, State: table.Active},
			table.Row{Service: "s", Target: "t2", Address: "127.0.0.1:2", Weight: 1, State: table.Active},
		),
	}
	next.Routes = map[table.RouteKey]*table.Route{}
	for host, large := range map[string]bool{"large": true, "small": false} {
		r := &table.Route{
			Name: host, Host: host, PathPrefix: "/", Work: table.Repeatable, Deadline: time.Second, LatencyObjective: 400 * time.Millisecond,
			LargeResponses: large, Services: []table.WeightedService{{Service: "s", Weight: 1}},
		}
		next.Routes[r.Key()] = r
	}
	w.dispatch(t, &TableChanged{Table: next})
	return w
}

// dispatch passes an event to the router, stores the resulting sends and checks the counts.
func (w *inboundModel) dispatch(t *rapid.T, e Event) {
	var effects Effects
	w.router.Reduce(w.now, e, &effects)
	for _, x := range effects.List {
		if x.Kind == Send {
			w.sent = append(w.sent, sentAttempt{call: x.Call, number: x.Attempt})
		}
	}
	if w.router.expected < -1 {
		t.Fatalf("the expected bytes are negative: %f", w.router.expected)
	}
	if x := &w.router.inbound; x.pendingTime < 0 || x.remaining(w.now) > x.pendingTime {
		t.Fatalf("the link remains occupied for %s by answers with a transfer time of %s", x.remaining(w.now), x.pendingTime)
	}
}

// advance lets time pass and checks that the link wasn't occupied for longer than that.
func (w *inboundModel) advance(t *rapid.T, d time.Duration) {
	w.now = w.now.Add(d)
	w.dispatch(t, &Tick{})
	busy := w.router.inbound.busyTime(w.now)
	if busy < w.busyTime || busy-w.busyTime > d {
		t.Fatalf("within %s the link was occupied for %s", d, busy-w.busyTime)
	}
	w.busyTime = busy
}

func (w *inboundModel) drawAttempt(t *rapid.T) sentAttempt {
	return w.sent[rapid.IntRange(0, len(w.sent)-1).Draw(t, "attempt")]
}

// Whatever the results of calls, no bytes may remain expected once all calls have ended, and the
// link may never be counted as occupied for longer than the elapsed time.
func TestRandomInboundCountsEndWithTheirCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newInboundModel(t)
		for range 60 {
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			switch {
			case kind <= 1:
				w.dispatch(t, &CallArrived{Host: []byte([]string{"large", "small"}[kind]), Path: []byte("/")})
			case kind == 2 || len(w.sent) == 0:
				w.advance(t, time.Duration(rapid.IntRange(1, 200).Draw(t, "ms"))*time.Millisecond)
			case kind == 3:
				a := w.drawAttempt(t)
				w.dispatch(t, &AttemptStarted{Call: a.call, Attempt: a.number, Coming: rapid.IntRange(-1, 540_000).Draw(t, "coming")})
			case kind == 4:
				a := w.drawAttempt(t)
				result := AttemptResult(rapid.IntRange(int(Answered), int(Canceled)).Draw(t, "result"))
				w.dispatch(t, &AttemptEnded{Call: a.call, Attempt: a.number, Result: result})
			case kind == 5:
				w.dispatch(t, &CallerGone{Call: w.drawAttempt(t).call})
			}
		}
		w.advance(t, 2*time.Second)
		if math.Abs(w.router.expected) > 1 {
			t.Fatalf("%f bytes are still expected without any call", w.router.expected)
		}
		if pending, remaining := w.router.inbound.pendingTime, w.router.inbound.remaining(w.now); pending != 0 || remaining != 0 {
			t.Fatalf("the pending transfer time is %s and the link remains occupied for %s, but no call is in flight", pending, remaining)
		}
	})
}

// With the mechanism switched off, delays are attributed to the target.
func TestWithoutSharedLinkNothingIsHidden(t *testing.T) {
	r, err := NewRouter(Settings{Box: "me", LinkRate: 1000, Disable: []Mechanism{SharedLink}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	c, a := &call{route: &route{}}, &attempt{}
	r.inbound.start(0, 1000)
	r.now = units.Instant(time.Second)
	if took := r.timeAtTarget(c, a); took != time.Second || r.isInconclusive(a) {
		t.Errorf("an answer after 1s is recorded with a time of %s", took)
	}
}
