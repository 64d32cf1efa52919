package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// start is one start of a target.
type start struct {
	id   units.TargetID
	born units.WallTime
}

// said is what a start has told the box.
type said struct {
	restUntil units.Instant
	leaving   bool
}

// talkers is a box whose targets ask for rest and leave in answers of all kinds, while rows come, go and
// name new starts. It checks each send and probe against what its target had said.
type talkers struct {
	*rapid.T
	router   *Router
	now      units.Instant
	revision units.Revision
	// rows are the targets that register, listed the ones that the table has now.
	rows   []table.Row
	listed []bool
	heard  map[start]said
	// sends and probes are under way; calls are those that may have one.
	sends, probes []Effect
	calls         []CallID
}

func newTalkers(t *rapid.T) *talkers {
	x := &talkers{T: t, now: units.Instant(time.Second), heard: map[start]said{}}
	router, err := NewRouter(Settings{
		Box: "me", Seed: rapid.Uint64().Draw(t, "seed"), ServeStale: true, ShareDelay: time.Second, ProbeCost: DefaultProbeCost, MaxDeadline: time.Minute,
	}, x.now)
	if err != nil {
		t.Fatal(err)
	}
	x.router = router
	for i := range 4 {
		for _, service := range []units.ServiceName{"once", "read", "file"} {
			x.rows = append(x.rows, table.Row{
				Service: service, Target: units.TargetID(fmt.Sprintf("%s-%d", service, i)), Address: fmt.Sprintf("10.0.0.%d:80", len(x.rows)),
				Weight: 100, State: table.Active, Registered: true, Slots: 3, Born: 1,
			})
			x.listed = append(x.listed, true)
		}
	}
	x.putTable()
	return x
}

func (x *talkers) putTable() {
	next := table.NewTable()
	x.revision++
	next.Revision, next.Document = x.revision, 1
	next.Boxes = []table.Box{{ID: "me"}}
	works := map[units.ServiceName]table.Work{"once": table.Once, "read": table.Repeatable, "file": table.Patient}
	for name, work := range works {
		next.Services[name] = &table.Entry{Version: units.Version(x.revision), Service: table.Service{
			Name: name, Work: work, Hosts: []string{string(name)}, Deadline: 2 * time.Second, HoldLimit: time.Second, HoldCount: 20,
			RetryBudget: 50, HedgeBudget: 50, ProbeTargets: 2, MeasureBudget: 50,
		}}
	}
	for i, row := range x.rows {
		if x.listed[i] {
			entry := next.Services[row.Service]
			entry.Rows = entry.Rows.With(row)
		}
	}
	x.give(&TableChanged{Table: next})
}

func (x *talkers) give(event Event) {
	var e Effects
	x.router.Reduce(x.now, event, &e)
	for _, effect := range e.List {
		switch effect.Kind {
		case Send:
			x.check(effect, false)
			x.sends = append(x.sends, effect)
			x.calls = append(x.calls, effect.Call)
		case Probe:
			x.check(effect, true)
			x.probes = append(x.probes, effect)
		case Hold:
			x.calls = append(x.calls, effect.Call)
		}
	}
}

// check checks that a target gets nothing that it doesn't want.
func (x *talkers) check(effect Effect, probe bool) {
	e := effect.Endpoint
	h := x.heard[start{e.Target, e.Born}]
	if x.now < h.restUntil {
		x.Fatalf("%s got something %s before the end of its rest (probe: %t)", e.Target, h.restUntil.Sub(x.now), probe)
	}
	if h.leaving {
		x.Fatalf("%s got something after it had said that it leaves (probe: %t)", e.Target, probe)
	}
}

// words draws what an answer says, and notes that the box will have heard it.
func (x *talkers) words(e *Endpoint) Reading {
	r := Reading{HasLoad: true, InFlight: float64(rapid.IntRange(0, 4).Draw(x.T, "load")), Slots: 3, Pace: 1}
	switch rapid.IntRange(0, 5).Draw(x.T, "words") {
	case 0:
		r.Rest = time.Duration(rapid.IntRange(1, 3000).Draw(x.T, "rest")) * time.Millisecond
	case 1:
		r.Leaving = rapid.IntRange(0, 3).Draw(x.T, "leaving") == 0
	}
	key := start{e.Target, e.Born}
	h := x.heard[key]
	h.leaving = h.leaving || r.Leaving
	if r.Rest > 0 {
		h.restUntil = max(h.restUntil, x.now.Add(r.Rest))
	}
	x.heard[key] = h
	return r
}

func (x *talkers) call(*rapid.T) {
	host := rapid.SampledFrom([]string{"once", "read", "file"}).Draw(x.T, "host")
	x.give(&CallArrived{Owner: x, Host: []byte(host), Path: []byte("/")})
}

// takeOut takes one of a list out of it.
func takeOut(t *rapid.T, list *[]Effect) Effect {
	if len(*list) == 0 {
		t.Skip("nothing is under way")
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	effect := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return effect
}

func (x *talkers) answer(t *rapid.T) {
	s := takeOut(t, &x.sends)
	v := &AttemptEnded{Call: s.Call, Attempt: s.Attempt, Endpoint: s.Endpoint}
	v.Result = rapid.SampledFrom([]AttemptResult{Answered, Answered, Failed, Shed, Shed, Broken, NotSent, Withheld}).Draw(t, "result")
	if v.Result != NotSent && v.Result != Withheld {
		v.Reading = x.words(s.Endpoint)
	}
	x.give(v)
}

func (x *talkers) begin(t *rapid.T) {
	s := takeOut(t, &x.sends)
	x.give(&AttemptStarted{Call: s.Call, Attempt: s.Attempt, Endpoint: s.Endpoint, Reading: x.words(s.Endpoint), Remaining: -1})
	x.sends = append(x.sends, s)
}

func (x *talkers) probed(t *rapid.T) {
	p := takeOut(t, &x.probes)
	v := &ProbeEnded{Target: p.Endpoint, Call: p.Call, Attempt: p.Attempt}
	if rapid.Bool().Draw(t, "answered") {
		v.Answered, v.Healthy = true, rapid.Bool().Draw(t, "healthy")
		v.Reading = x.words(p.Endpoint)
	} else {
		v.Unreachable = rapid.Bool().Draw(t, "unreachable")
		v.Refused = v.Unreachable && rapid.Bool().Draw(t, "refused")
	}
	x.give(v)
}

func (x *talkers) leave(t *rapid.T) {
	if len(x.calls) == 0 {
		t.Skip("there is no call")
	}
	x.give(&CallerGone{Call: rapid.SampledFrom(x.calls).Draw(t, "call")})
}

func (x *talkers) pass(t *rapid.T) {
	end := x.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
	for x.router.NextWake() <= end {
		x.now = max(x.now, x.router.NextWake())
		x.give(&Tick{})
	}
	x.now = end
}

// edit has a row go, come back, move to another address or name a new start.
func (x *talkers) edit(t *rapid.T) {
	i := rapid.IntRange(0, len(x.rows)-1).Draw(t, "row")
	switch rapid.IntRange(0, 3).Draw(t, "edit") {
	case 0:
		x.listed[i] = !x.listed[i]
	case 1:
		x.rows[i].Born++
	case 2:
		x.rows[i].Address += "0"
	case 3:
		x.rows[i].State = table.Active + table.Leaving - x.rows[i].State
	}
	x.putTable()
}

// Whatever comes in whatever order, nothing is sent to a start of a target before the end of its
// rests, or after it has said that it leaves.
func TestNothingReachesTargetsThatWantNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newTalkers(t)
		t.Repeat(map[string]func(*rapid.T){
			"call": x.call, "call again": x.call, "answer": x.answer, "begin": x.begin, "probed": x.probed, "leave": x.leave, "pass": x.pass, "edit": x.edit,
		})
		if n := len(x.router.notices); n > len(x.heard) {
			t.Fatalf("%d notices are kept of %d starts that said anything", n, len(x.heard))
		}
	})
}
