package test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

// Boxes that lost their links to all targets refused all calls while other boxes served theirs.
func TestABoxThatLosesItsTargetsServesFirstTries(t *testing.T) {
	datadriven.Walk(t, "testdata/lost-targets", func(t *testing.T, path string) {
		t.Parallel()
		x := startLossCluster(t, smallLoss(nil))
		datadriven.RunTest(t, path, x.command)
		x.mustAllBeClean(x.calls)
	})
}

// lossOptions are the size and settings of a lossCluster.
type lossOptions struct {
	domains, boxes, targets int
	// adjust changes the boxes' settings; nil for none.
	adjust func(*config.Settings)
}

// smallLoss is a cluster of six boxes in two failure domains, with three targets a service.
func smallLoss(adjust func(*config.Settings)) lossOptions {
	return lossOptions{domains: 2, boxes: 3, targets: 3, adjust: adjust}
}

const (
	// lossCallers is how many callers call each box at a time.
	lossCallers = 3
	// maxFailedFirstTries is the fraction of first tries that may fail.
	maxFailedFirstTries = 0.02
)

// lossServices are the services of the scripts, each with its own targets.
var lossServices = []units.ServiceName{"shop", "pay"}

// lossCluster is a cluster in which single boxes can be cut off from targets.
type lossCluster struct {
	*testCluster
	options lossOptions
	paths   []*lab.FaultProxy
	// calls are those made by commands.
	calls    []lab.Call
	services []units.ServiceName
}

// startLossCluster starts a cluster whose boxes connect to the targets through proxies, each box from
// an address of its own.
func startLossCluster(t *testing.T, o lossOptions) *lossCluster {
	x := &lossCluster{options: o, testCluster: startCluster(t, clusterOptions{
		replicas: 1, boxes: o.domains * o.boxes, targets: o.targets * len(lossServices), adjust: func(s *config.Settings) {
			useShortLeases(s)
			s.Entry.CallIDHeader = lab.RequestHeader
			s.Domain = string(lossDomain((boxNumber(s.Box) - 1) / o.boxes))
			s.Entry.TargetSource = lossSource(s.Box).String()
			if o.adjust != nil {
				o.adjust(s)
			}
		},
		targetArguments: []string{"--slots", "4", "--queue", "8", "--work", "5ms"},
	})}
	x.must(lab.Eventually(waitTimeout, func() error { return x.api().PutDocument(lossDocument()) }))
	for i, target := range x.targets {
		path, err := lab.StartFaultProxy(target.Address)
		x.must(err)
		t.Cleanup(path.Close)
		x.paths = append(x.paths, path)
		x.services = append(x.services, lossServices[i%len(lossServices)])
		x.must(lab.Eventually(waitTimeout, func() error { return x.api().SubmitReport(x.registration(i)) }))
	}
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
	for _, service := range lossServices {
		x.awaitServed(lossCall(service, 0))
	}
	return x
}

// lossSource is the address from which a box connects to targets.
func lossSource(box string) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 0, 10 + byte(boxNumber(box))})
}

// boxNumber is the number in a box's name, from 1.
func boxNumber(box string) int {
	var n int
	fmt.Sscanf(box, "box-%d", &n)
	return n
}

// lossDomain is the name of a failure domain, by its number.
func lossDomain(i int) units.Domain { return []units.Domain{"north", "south", "east", "west"}[i] }

func (x *lossCluster) registration(i int) *table.Registration {
	return &table.Registration{
		Target: units.TargetID(x.targets[i].Name), Service: x.services[i], Address: x.paths[i].Address(), Slots: 4, State: table.Active,
		Sequence: 1, Born: 1000, Domain: lossDomain(i / len(lossServices) % x.options.domains),
	}
}

func lossDocument() json.RawMessage {
	d := table.Document{Version: 1}
	for _, name := range lossServices {
		work := table.Repeatable
		if name == "pay" {
			work = table.AtMostOnce
		}
		d.Services = append(d.Services, table.Service{
			Name: name, Work: work, Deadline: 3 * time.Second, HoldLimit: time.Second, HoldCount: 100,
			RetryBudget: 20, HedgeBudget: 10, ProbeTargets: 2, MeasureBudget: 20, ProbePath: "/healthz",
		})
		d.Routes = append(d.Routes, &table.Route{
			Name: string(name), Host: string(name) + ".test", PathPrefix: "/", Work: work, Deadline: 3 * time.Second,
			LatencyObjective: time.Second, Services: []table.WeightedService{{Service: name, Weight: 1}},
		})
	}
	data, _ := json.Marshal(&d)
	return data
}

// lossCall is the i-th call of a service; every other one is made on a connection of its own.
func lossCall(service units.ServiceName, i int) lab.CallSpec {
	return lab.CallSpec{Host: string(service) + ".test", AtMostOnce: service == "pay", AnswerBytes: i % 3000, NewConnection: i%2 == 0}
}

// command runs a command of a script: "cut how=silent|reset|new", "reconnect", "settle for=TIME", which
// only makes calls, and "first-tries calls=N", which reports how these fared. The arguments boxes and
// services name those that it applies to; without them that is all.
func (x *lossCluster) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "cut":
		var how string
		d.ScanArgs(t, "how", &how)
		mode := map[string]lab.CutMode{"silent": lab.CutSilent, "reset": lab.CutReset, "new": lab.CutNew}[how]
		x.eachPath(d, func(p *lab.FaultProxy, box netip.Addr) { p.CutOff(box, mode) })
	case "reconnect":
		x.eachPath(d, func(p *lab.FaultProxy, box netip.Addr) { p.Reconnect(box) })
	case "settle":
		end := time.Now().Add(x.scanDuration(d, "for"))
		x.callBoxes(d, func(i int) bool { return time.Now().Before(end) })
	case "first-tries":
		var calls int
		d.ScanArgs(t, "calls", &calls)
		return describeFirstTries(x.callBoxes(d, func(i int) bool { return i < calls }))
	default:
		d.Fatalf(t, "there is no command %s", d.Cmd)
	}
	return "done\n"
}

func (x *lossCluster) eachPath(d *datadriven.TestData, do func(p *lab.FaultProxy, box netip.Addr)) {
	for _, n := range x.boxesOf(d) {
		for i, p := range x.paths {
			if slices.Contains(x.servicesOf(d), x.services[i]) {
				do(p, lossSource(n.Settings.Box))
			}
		}
	}
}

func (x *lossCluster) boxesOf(d *datadriven.TestData) []*lab.Node {
	if domains, ok := d.Arg("domains"); ok {
		return x.boxesOfDomains(d, domains.Vals)
	}
	named, ok := d.Arg("boxes")
	if !ok {
		return x.cluster.Boxes
	}
	var nodes []*lab.Node
	for _, n := range x.cluster.Boxes {
		if slices.Contains(named.Vals, strings.TrimPrefix(n.Settings.Box, "box-")) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// boxesOfDomains returns the boxes of failure domains, but for the first spare=N of each.
func (x *lossCluster) boxesOfDomains(d *datadriven.TestData, domains []string) []*lab.Node {
	spare := 0
	d.MaybeScanArgs(x.T, "spare", &spare)
	var nodes []*lab.Node
	for i, n := range x.cluster.Boxes {
		if slices.Contains(domains, n.Settings.Domain) && i%x.options.boxes >= spare {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (x *lossCluster) servicesOf(d *datadriven.TestData) []units.ServiceName {
	if !d.HasArg("services") {
		return lossServices
	}
	var service string
	d.ScanArgs(x.T, "services", &service)
	return []units.ServiceName{units.ServiceName(service)}
}

// callBoxes has each caller make calls of all services at its box, one after the other, while more is
// true, and returns them.
func (x *lossCluster) callBoxes(d *datadriven.TestData, more func(i int) bool) []lab.Call {
	var wait sync.WaitGroup
	var lock sync.Mutex
	var calls []lab.Call
	for _, n := range x.boxesOf(d) {
		for range lossCallers {
			wait.Go(func() {
				caller := lab.NewCaller(n.Entry)
				for i := 0; more(i); i++ {
					caller.Do(lossCall(lossServices[i%len(lossServices)], i/2))
					time.Sleep(soakCallPause)
				}
				lock.Lock()
				defer lock.Unlock()
				calls = append(calls, caller.Calls()...)
			})
		}
	}
	wait.Wait()
	x.calls = append(x.calls, calls...)
	return calls
}

// describeFirstTries reports whether calls were served, but for the fraction that may fail, or how
// many were and why the others weren't.
func describeFirstTries(calls []lab.Call) string {
	served := countServed(calls)
	if float64(len(calls)-served) <= maxFailedFirstTries*float64(len(calls)) {
		return "served\n"
	}
	var reasons []string
	for _, c := range calls {
		if c.Verdict != lab.Complete {
			reasons = append(reasons, c.Reason+c.Detail)
		}
	}
	slices.Sort(reasons)
	names := strings.Join(slices.Compact(reasons), ", ")
	if served == 0 {
		return fmt.Sprintf("none served: %s\n", names)
	}
	return fmt.Sprintf("served %d of %d: %s\n", served, len(calls), names)
}
