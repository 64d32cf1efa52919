package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// residencyWorld drives one router through a random schedule and checks each of its sends and
// probes.
type residencyWorld struct {
	*rapid.T
	router  *Router
	now     units.Instant
	table   *table.Table
	regions map[units.Domain]units.Region
	// calls are the calls in the box, running the sends and probes in flight.
	calls   map[*residencyCall]bool
	running []Effect
	// restricted counts the effects on calls that are restricted to regions.
	restricted residencyCounts
}

// residencyCall is a call with the regions that are allowed for it.
type residencyCall struct {
	host, path string
	id         CallID
	allowed    *table.AllowedRegions
}

// residencyCounts show that a schedule has covered the cases.
type residencyCounts struct{ sends, retries, hedges, probes, refusals int }

var (
	residencyDomains = []units.Domain{"d1", "d2", "d3", "d4", "d5", ""}
	residencyRegions = []units.Region{"north", "south", "east"}
)

func (w *residencyWorld) start() {
	r, err := NewRouter(Settings{
		Box: "me", Domain: "d1", Regions: w.regions, Seed: 1, ServeStale: true, ShareDelay: time.Second, AssumedColdPeriod: DefaultAssumedColdPeriod,
		ProbeCost: DefaultProbeCost, MaxDeadline: time.Minute,
	}, w.now)
	if err != nil {
		w.Fatal(err)
	}
	w.router, w.calls, w.running = r, map[*residencyCall]bool{}, nil
	w.reduce(&TableChanged{Table: w.table})
}

func (w *residencyWorld) reduce(event Event) {
	var e Effects
	w.router.Reduce(w.now, event, &e)
	for _, x := range e.List {
		w.check(x)
	}
}

// check checks one effect: a send or a probe for a call must go to a target of the present table in
// a region that the call's route allows.
func (w *residencyWorld) check(x Effect) {
	c, ok := x.Owner.(*residencyCall)
	if !ok {
		return
	}
	c.id = x.Call
	switch x.Kind {
	case Send, Probe:
		w.checkRegion(x, c)
		w.running = append(w.running, x)
	case Refuse:
		if c.allowed != nil {
			w.restricted.refusals++
		}
		delete(w.calls, c)
	case Deliver:
		delete(w.calls, c)
	}
}

func (w *residencyWorld) checkRegion(x Effect, c *residencyCall) {
	entry := w.table.Services[x.Endpoint.Service]
	if entry == nil {
		w.Fatalf("%s is sent to service %s, which isn't in the table", c.host+c.path, x.Endpoint.Service)
	}
	row := entry.Row(x.Endpoint.Target)
	if row == nil {
		w.Fatalf("%s is sent to target %s, which isn't in the table", c.host+c.path, x.Endpoint.Target)
	}
	if c.allowed == nil {
		return
	}
	region := w.regions[row.Domain]
	if region == "" || !slices.Contains(c.allowed.Names, region) {
		w.Fatalf("%s is sent to %s in region %q, allowed regions are %q", c.host+c.path, x.Endpoint.Target, region, c.allowed.Names)
	}
	switch {
	case x.Kind == Probe:
		w.restricted.probes++
	case x.Purpose == RetrySend:
		w.restricted.retries++
	case x.Purpose == HedgeSend:
		w.restricted.hedges++
	}
	w.restricted.sends++
}

// bind sets a call's allowed regions from the present table's route. A call that no route matches
// any more keeps its restriction.
func (w *residencyWorld) bind(c *residencyCall) {
	longest := -1
	for _, x := range w.table.Routes {
		if x.Host == c.host && strings.HasPrefix(c.path, x.PathPrefix) && len(x.PathPrefix) > longest {
			longest, c.allowed = len(x.PathPrefix), x.Regions
		}
	}
}

// changeTable draws a table of two services and up to two routes, each with random regions or none.
func (w *residencyWorld) changeTable() {
	next := table.NewTable()
	next.Revision, next.Document = w.table.Revision+1, w.table.Document+1
	for _, name := range []units.ServiceName{"a", "b"} {
		next.Services[name] = w.drawService(name)
	}
	next.Routes = map[table.RouteKey]*table.Route{}
	for _, prefix := range []string{"/", "/x/"} {
		if rapid.IntRange(0, 4).Draw(w.T, "route "+prefix) == 0 {
			continue
		}
		x := &table.Route{
			Name: prefix, Host: "h", PathPrefix: prefix, Work: table.WorkKind(rapid.IntRange(int(table.Repeatable), int(table.Patient)).Draw(w.T, "work")),
			Deadline: time.Second, LatencyObjective: 100 * time.Millisecond, Services: []table.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}},
			Regions: w.drawAllowed(),
		}
		next.Routes[x.Key()] = x
	}
	for _, d := range residencyDomains[:3] {
		if rapid.IntRange(0, 5).Draw(w.T, "evacuated") == 0 {
			next.Evacuations = append(next.Evacuations, table.Evacuation{Domain: d, Active: true, Since: next.Revision})
		}
	}
	w.table = next
	for c := range w.calls {
		w.bind(c)
	}
	w.reduce(&TableChanged{Table: next})
}

func (w *residencyWorld) drawService(name units.ServiceName) *table.Entry {
	entry := &table.Entry{Version: units.Version(w.table.Revision + 1), Service: table.Service{
		Name: name, Work: table.Repeatable, Hosts: []string{string(name)}, Deadline: time.Second, HoldLimit: 500 * time.Millisecond, HoldCount: 20,
		RetryBudget: 100, HedgeBudget: 100, MeasureBudget: 100, ProbeTargets: 2 * rapid.IntRange(0, 1).Draw(w.T, "probe targets"),
	}}
	registered := rapid.Bool().Draw(w.T, "registered")
	for i := range 6 {
		if rapid.IntRange(0, 3).Draw(w.T, "target") == 0 {
			continue
		}
		entry.Rows = entry.Rows.With(table.Row{
			Service: name, Target: units.TargetID(fmt.Sprintf("%s%d", name, i)), Address: fmt.Sprintf("127.0.0.1:%d", 1+i%4),
			Domain: rapid.SampledFrom(residencyDomains).Draw(w.T, "domain"), Weight: 100, MaxConnections: rapid.IntRange(0, 1).Draw(w.T, "limit"),
			State: table.Active, Registered: registered, Slots: 2,
		})
	}
	return entry
}

func (w *residencyWorld) drawAllowed() *table.AllowedRegions {
	if rapid.IntRange(0, 2).Draw(w.T, "restricted") == 0 {
		return nil
	}
	return &table.AllowedRegions{Names: rapid.SliceOfNDistinct(rapid.SampledFrom(residencyRegions), 0, 2, rapid.ID[units.Region]).Draw(w.T, "allowed")}
}

// changeRegions draws new regions of the failure domains; some domains have none.
func (w *residencyWorld) changeRegions() {
	regions := map[units.Domain]units.Region{}
	for _, d := range residencyDomains[:4] {
		regions[d] = rapid.SampledFrom(residencyRegions).Draw(w.T, "region")
	}
	w.regions = maps.Clone(regions)
	w.reduce(&RegionsChanged{Regions: regions})
}

func (w *residencyWorld) call() {
	c := &residencyCall{host: "h", path: rapid.SampledFrom([]string{"/", "/x/1", "/y"}).Draw(w.T, "path")}
	w.bind(c)
	w.calls[c] = true
	w.reduce(&CallArrived{Owner: c, Host: []byte(c.host), Path: []byte(c.path)})
}

// endOne ends a random attempt or probe in flight.
func (w *residencyWorld) endOne() {
	if len(w.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(w.T, "which")
	x := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	report := TargetReport{HasLoad: true, InFlight: float64(rapid.IntRange(0, 2).Draw(w.T, "load")), Slots: 2, Pace: 1}
	if x.Kind == Probe {
		w.reduce(&ProbeEnded{Target: x.Endpoint, Healthy: true, Report: report, Call: x.Call, Attempt: x.Attempt})
		return
	}
	result := rapid.SampledFrom([]AttemptResult{Answered, Answered, Failed, Shed, NotSent, Broken, Misdirected}).Draw(w.T, "result")
	w.reduce(&AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: result, Report: report})
}

func (w *residencyWorld) advance() {
	end := w.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(w.T, "time")) * time.Millisecond)
	for w.router.NextWake() <= end {
		w.now = max(w.now, w.router.NextWake())
		w.reduce(&Tick{})
	}
	w.now = end
}

// Under random changes of tables and regions, no call is sent, and no probe made for it, outside
// the regions that its route allows at that moment.
func TestNoSendLeavesTheAllowedRegions(t *testing.T) {
	var all residencyCounts
	rapid.Check(t, func(t *rapid.T) {
		w := &residencyWorld{T: t, now: units.Instant(time.Second), table: table.NewTable()}
		w.start()
		w.changeRegions()
		w.changeTable()
		steps := []func(){w.call, w.call, w.call, w.endOne, w.endOne, w.advance, w.advance, w.changeTable, w.changeRegions, w.start}
		for range 120 {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		c := w.restricted
		all.sends += c.sends
		all.retries += c.retries
		all.hedges += c.hedges
		all.probes += c.probes
		all.refusals += c.refusals
	})
	t.Logf("%+v", all)
	if all.retries == 0 || all.hedges == 0 || all.probes == 0 || all.refusals == 0 {
		t.Errorf("the schedules don't cover all cases: %+v", all)
	}
}
