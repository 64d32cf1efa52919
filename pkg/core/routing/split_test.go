package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// splitTable has one route whose calls are divided three to one, and another that changes.
func splitTable(revision units.Revision) *table.Table {
	x := table.NewTable()
	x.Revision, x.Document = revision, units.DocumentVersion(revision)
	for _, name := range []units.ServiceName{"a", "b"} {
		entry := &table.Entry{Service: table.Service{Name: name, Work: table.Repeatable, Deadline: time.Second}, Version: units.Version(revision)}
		entry.Rows = entry.Rows.With(table.Row{Service: name, Target: units.TargetID(name), Address: "127.0.0.1:1", Weight: 1, State: table.Active})
		x.Services[name] = entry
	}
	other := &table.Route{
		Host: "other", PathPrefix: "/", Work: table.Repeatable, Deadline: time.Duration(revision) * time.Second, Services: []table.WeightedService{{Service: "a", Weight: 1}},
	}
	route := &table.Route{
		Host: "s", PathPrefix: "/", Work: table.Repeatable, Deadline: time.Second, MaxAttempts: 1,
		Services: []table.WeightedService{{Service: "a", Weight: 75}, {Service: "b", Weight: 25}},
	}
	x.Routes = map[table.RouteKey]*table.Route{route.Key(): route, other.Key(): other}
	return x
}

// splitBox is a box that calls are made to; it counts those that go to the part of a quarter.
type splitBox struct {
	router *Router
	b      int
}

func newSplitBox(t *testing.T, id string) *splitBox {
	t.Helper()
	r, err := NewRouter(Settings{Box: units.BoxID(id), ServeStale: true, ShareDelay: time.Second, MaxDeadline: time.Minute}, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Reduce(1, &TableChanged{Table: splitTable(1)}, &Effects{})
	return &splitBox{router: r}
}

func (x *splitBox) call(t *testing.T) {
	t.Helper()
	var e Effects
	x.router.Reduce(1, &CallArrived{Host: []byte("s"), Path: []byte("/"), Deadline: time.Second}, &e)
	for _, effect := range e.List {
		if effect.Kind != Send {
			continue
		}
		if effect.Endpoint.Target == "b" {
			x.b++
		}
		x.router.Reduce(1, &AttemptEnded{Call: effect.Call, Attempt: effect.Attempt, Endpoint: effect.Endpoint, Result: Answered}, &Effects{})
		return
	}
	t.Fatal("the call wasn't sent")
}

// A route's parts get their weights of the calls, however few come to each of many boxes.
func TestPartsGetTheirWeightsOverManyBoxes(t *testing.T) {
	const boxes, weight, off = 1000, 0.25, 0.05
	for calls := 1; calls <= 3; calls++ {
		got := 0
		for i := range boxes {
			x := newSplitBox(t, fmt.Sprintf("front-%04d", i))
			for range calls {
				x.call(t)
			}
			got += x.b
		}
		if part := float64(got) / float64(boxes*calls); math.Abs(part-weight) > off {
			t.Errorf("with %d calls a box the part of %.2f gets %.3f", calls, weight, part)
		}
	}
}

// Changes of the table that leave a route alone don't begin its turns anew.
func TestPartsGetTheirWeightsWhileTheTableChanges(t *testing.T) {
	const calls, weight, off = 400, 0.25, 0.02
	x := newSplitBox(t, "box")
	for i := range calls {
		x.router.Reduce(1, &TableChanged{Table: splitTable(units.Revision(i + 2))}, &Effects{})
		x.call(t)
	}
	if part := float64(x.b) / calls; math.Abs(part-weight) > off {
		t.Errorf("the part of %.2f gets %.3f", weight, part)
	}
}
