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

// targetIncarnation identifies one incarnation of a target.
type targetIncarnation struct {
	id   units.TargetID
	born units.WallTime
}

// announcedNotice is what an incarnation of a target has announced to the box.
type announcedNotice struct {
	restUntil units.Instant
	leaving   bool
}

// noticeModel is a box whose targets ask for rests and announce their shutdown, in answers of all
// kinds, while rows are added, removed and changed to new incarnations. It checks each send and
// probe against what the target had announced.
type noticeModel struct {
	*rapid.T
	router   *Router
	now      units.Instant
	revision units.Revision
	// rows are the registered targets; listed is set for those that the table contains now.
	rows      []table.Row
	listed    []bool
	announced map[targetIncarnation]announcedNotice
	// sends and probes are in flight; calls are those that may have some.
	sends, probes []Effect
	calls         []CallID
}

func newNoticeModel(t *rapid.T) *noticeModel {
	x := &noticeModel{T: t, now: units.Instant(time.Second), announced: map[targetIncarnation]announcedNotice{}}
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

func (x *noticeModel) putTable() {
	next := table.NewTable()
	x.revision++
	next.Revision, next.Document = x.revision, 1
	next.Boxes = []table.Box{{ID: "me"}}
	works := map[units.ServiceName]table.WorkKind{"once": table.AtMostOnce, "read": table.Repeatable, "file": table.Patient}
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
	x.dispatch(&TableChanged{Table: next})
}

func (x *noticeModel) dispatch(event Event) {
	var e Effects
	x.router.Reduce(x.now, event, &e)
	for _, effect := range e.List {
		switch effect.Kind {
		case Send:
			x.checkAllowed(effect, false)
			x.sends = append(x.sends, effect)
			x.calls = append(x.calls, effect.Call)
		case Probe:
			x.checkAllowed(effect, true)
			x.probes = append(x.probes, effect)
		case Hold:
			x.calls = append(x.calls, effect.Call)
		}
	}
}

// checkAllowed checks that nothing is sent to a target that doesn't accept it.
func (x *noticeModel) checkAllowed(effect Effect, probe bool) {
	e := effect.Endpoint
	h := x.announced[targetIncarnation{e.Target, e.Born}]
	if x.now < h.restUntil {
		x.Fatalf("%s was sent something %s before the end of its rest (probe: %t)", e.Target, h.restUntil.Sub(x.now), probe)
	}
	if h.leaving {
		x.Fatalf("%s was sent something after it had announced its shutdown (probe: %t)", e.Target, probe)
	}
}

// drawReport draws the content of an answer and records what it announces to the box.
func (x *noticeModel) drawReport(e *Endpoint) TargetReport {
	r := TargetReport{HasLoad: true, InFlight: float64(rapid.IntRange(0, 4).Draw(x.T, "load")), Slots: 3, Pace: 1}
	switch rapid.IntRange(0, 5).Draw(x.T, "words") {
	case 0:
		r.Rest = time.Duration(rapid.IntRange(1, 3000).Draw(x.T, "rest")) * time.Millisecond
	case 1:
		r.Leaving = rapid.IntRange(0, 3).Draw(x.T, "leaving") == 0
	}
	key := targetIncarnation{e.Target, e.Born}
	h := x.announced[key]
	h.leaving = h.leaving || r.Leaving
	if r.Rest > 0 {
		h.restUntil = max(h.restUntil, x.now.Add(r.Rest))
	}
	x.announced[key] = h
	return r
}

func (x *noticeModel) arrive(*rapid.T) {
	host := rapid.SampledFrom([]string{"once", "read", "file"}).Draw(x.T, "host")
	x.dispatch(&CallArrived{Owner: x, Host: []byte(host), Path: []byte("/")})
}

// removeRandom removes a random element from a list and returns it.
func removeRandom(t *rapid.T, list *[]Effect) Effect {
	if len(*list) == 0 {
		t.Skip("nothing is in flight")
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	effect := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return effect
}

func (x *noticeModel) endAttempt(t *rapid.T) {
	s := removeRandom(t, &x.sends)
	v := &AttemptEnded{Call: s.Call, Attempt: s.Attempt, Endpoint: s.Endpoint}
	v.Result = rapid.SampledFrom([]AttemptResult{Answered, Answered, Failed, Shed, Shed, Broken, NotSent, Withheld}).Draw(t, "result")
	if v.Result != NotSent && v.Result != Withheld {
		v.Report = x.drawReport(s.Endpoint)
	}
	x.dispatch(v)
}

func (x *noticeModel) startAnswer(t *rapid.T) {
	s := removeRandom(t, &x.sends)
	x.dispatch(&AttemptStarted{Call: s.Call, Attempt: s.Attempt, Endpoint: s.Endpoint, Report: x.drawReport(s.Endpoint), Remaining: -1})
	x.sends = append(x.sends, s)
}

func (x *noticeModel) endProbe(t *rapid.T) {
	p := removeRandom(t, &x.probes)
	v := &ProbeEnded{Target: p.Endpoint, Call: p.Call, Attempt: p.Attempt}
	if rapid.Bool().Draw(t, "answered") {
		v.Answered, v.Healthy = true, rapid.Bool().Draw(t, "healthy")
		v.Report = x.drawReport(p.Endpoint)
	} else {
		v.Unreachable = rapid.Bool().Draw(t, "unreachable")
		v.Refused = v.Unreachable && rapid.Bool().Draw(t, "refused")
	}
	x.dispatch(v)
}

func (x *noticeModel) abandonCall(t *rapid.T) {
	if len(x.calls) == 0 {
		t.Skip("there is no call")
	}
	x.dispatch(&CallerGone{Call: rapid.SampledFrom(x.calls).Draw(t, "call")})
}

func (x *noticeModel) advance(t *rapid.T) {
	end := x.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
	for x.router.NextWake() <= end {
		x.now = max(x.now, x.router.NextWake())
		x.dispatch(&Tick{})
	}
	x.now = end
}

// editRow removes a row, restores it, changes its address or state, or gives it a new incarnation.
func (x *noticeModel) editRow(t *rapid.T) {
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

// Whatever the order of events, nothing may be sent to a target before the end of its rests, or
// after it has announced its shutdown, until its next incarnation starts.
func TestNothingReachesTargetsThatWantNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newNoticeModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"call": x.arrive, "call again": x.arrive, "answer": x.endAttempt, "begin": x.startAnswer, "probed": x.endProbe, "leave": x.abandonCall, "pass": x.advance, "edit": x.editRow,
		})
		if n := len(x.router.notices); n > len(x.announced) {
			t.Fatalf("%d notices are kept although only %d incarnations sent any", n, len(x.announced))
		}
	})
}
