package routing

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// sentAttempt is a send that hasn't ended.
type sentAttempt struct {
	call   CallID
	number AttemptNumber
}

// inboundWorld is a router with a route of large answers, and what it has under way.
type inboundWorld struct {
	router *Router
	now    units.Instant
	sent   []sentAttempt
	busy   time.Duration
}

func newInboundWorld(t *rapid.T) *inboundWorld {
	w := &inboundWorld{now: units.Instant(time.Second)}
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
			Name: host, Host: host, PathPrefix: "/", Work: table.Repeatable, Deadline: time.Second, Aim: 400 * time.Millisecond,
			LargeAnswers: large, Parts: []table.Part{{Service: "s", Weight: 1}},
		}
		next.Routes[r.Key()] = r
	}
	w.give(t, &TableChanged{Table: next})
	return w
}

// give hands an event to the router, keeps what it sends and checks what it counts.
func (w *inboundWorld) give(t *rapid.T, e Event) {
	var effects Effects
	w.router.Reduce(w.now, e, &effects)
	for _, x := range effects.List {
		if x.Kind == Send {
			w.sent = append(w.sent, sentAttempt{call: x.Call, number: x.Attempt})
		}
	}
	if w.router.expectedBytes < -1 {
		t.Fatalf("%f bytes are expected", w.router.expectedBytes)
	}
	if x := &w.router.inbound; x.passing < 0 || x.left(w.now) > x.passing {
		t.Fatalf("the link is occupied for %s by answers that take %s", x.left(w.now), x.passing)
	}
}

// pass lets time pass; the link can't have been occupied for longer than that.
func (w *inboundWorld) pass(t *rapid.T, d time.Duration) {
	w.now = w.now.Add(d)
	w.give(t, &Tick{})
	busy := w.router.inbound.busyBy(w.now)
	if busy < w.busy || busy-w.busy > d {
		t.Fatalf("within %s the link was occupied for %s", d, busy-w.busy)
	}
	w.busy = busy
}

func (w *inboundWorld) draw(t *rapid.T) sentAttempt {
	return w.sent[rapid.IntRange(0, len(w.sent)-1).Draw(t, "attempt")]
}

// However calls end, nothing stays expected once all are over, and the link is never counted
// as occupied for longer than time has passed.
func TestRandomInboundCountsEndWithTheirCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newInboundWorld(t)
		for range 60 {
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			switch {
			case kind <= 1:
				w.give(t, &CallArrived{Host: []byte([]string{"large", "small"}[kind]), Path: []byte("/")})
			case kind == 2 || len(w.sent) == 0:
				w.pass(t, time.Duration(rapid.IntRange(1, 200).Draw(t, "ms"))*time.Millisecond)
			case kind == 3:
				a := w.draw(t)
				w.give(t, &AttemptStarted{Call: a.call, Attempt: a.number, Remaining: rapid.IntRange(-1, 540_000).Draw(t, "coming")})
			case kind == 4:
				a := w.draw(t)
				result := AttemptResult(rapid.IntRange(int(Answered), int(Canceled)).Draw(t, "result"))
				w.give(t, &AttemptEnded{Call: a.call, Attempt: a.number, Result: result})
			case kind == 5:
				w.give(t, &CallerGone{Call: w.draw(t).call})
			}
		}
		w.pass(t, 2*time.Second)
		if math.Abs(w.router.expectedBytes) > 1 {
			t.Fatalf("%f bytes are still expected of no call", w.router.expectedBytes)
		}
		if passing, left := w.router.inbound.passing, w.router.inbound.left(w.now); passing != 0 || left != 0 {
			t.Fatalf("answers of %s occupy the link for another %s, but no call is under way", passing, left)
		}
	})
}

// With the mechanism switched off, what takes long is put down to its target.
func TestWithoutSharedLinkNothingIsHidden(t *testing.T) {
	r, err := NewRouter(Settings{Box: "me", LinkRate: 1000, Disable: []Mechanism{SharedLink}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	c, a := &call{route: &route{}}, &attempt{}
	r.inbound.begins(0, 1000)
	r.now = units.Instant(time.Second)
	if took := r.timeAtTarget(c, a); took != time.Second || r.saysNothing(a) {
		t.Errorf("an answer that came after 1s counts as %s", took)
	}
}
