package test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
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

var (
	// skewBoxes are the boxes of each failure domain of TestMostConnectionsToOneOfManyBoxes.
	skewBoxes = flag.String("skew-boxes", "", "boxes of each failure domain whose connections go to one box, such as 6,6,3,3; empty leaves the test out")
	skewRate  = flag.Float64("skew-rate", 150, "calls a second of all callers together")
)

// What callers must see while most new connections go to one box, relative to before.
const (
	skewServed = 0.97
	skewInAim  = 0.95
	// skewToHot is the share of new connections that go to that box.
	skewToHot = 0.9
	// skewContact is the time from a skew's beginning in which boxes find out; it is judged by itself.
	skewContact = 3 * time.Second
)

// skewKind is a kind of call.
type skewKind struct {
	service   units.ServiceName
	share     float64
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	once      bool
	targets   int
}

var skewKinds = []skewKind{
	{service: "balance", share: 4.3, work: 100 * time.Millisecond, objective: 250 * time.Millisecond, deadline: time.Second, targets: 10},
	{service: "redemption", share: 1.8, work: 130 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1200 * time.Millisecond, once: true, targets: 8},
	{service: "reporting", share: 2.9, work: 280 * time.Millisecond, objective: 760 * time.Millisecond, deadline: 2400 * time.Millisecond, targets: 21},
}

// Most new connections go to one of many boxes, with real processes. It needs a machine for itself.
func TestMostConnectionsToOneOfManyBoxes(t *testing.T) {
	if *skewBoxes == "" {
		t.Skip("it is run by hand, with -skew-boxes")
	}
	x := startSkewCluster(t)
	datadriven.RunTest(t, "testdata/skew", x.command)
	x.mustAllBeClean(x.calls)
}

// skewCluster is a cluster with callers whose new connections can go to one box.
type skewCluster struct {
	*testCluster
	domains []units.Domain
	lock    sync.Mutex
	clients []*skewClient
	samples []skewSample
	// calls are all calls, later tries included.
	calls []lab.Call
	// hot is the box that most new connections go to; nil for none.
	hot    *lab.Node
	hotAt  time.Time
	before skewFractions
	random *rand.Rand
}

// skewClient is a caller with the box that it keeps a connection to; nil for none.
type skewClient struct {
	domain units.Domain
	box    *lab.Node
	caller *lab.Caller
}

// skewSample is a first try: when it was made, and how it fared.
type skewSample struct {
	lab.Call
	kind *skewKind
	at   time.Time
}

func startSkewCluster(t *testing.T) *skewCluster {
	x := &skewCluster{random: rand.New(rand.NewPCG(1, 2))}
	for d, text := range strings.Split(*skewBoxes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		x.domains = append(x.domains, slices.Repeat([]units.Domain{lossDomain(d)}, n)...)
	}
	targets := 0
	for i := range skewKinds {
		targets += skewKinds[i].targets
	}
	x.testCluster = startCluster(t, clusterOptions{
		replicas: 1, boxes: len(x.domains), targets: targets,
		adjust: func(s *config.Settings) {
			useShortLeases(s)
			s.Entry.CallIDHeader = lab.RequestHeader
			if slices.Contains(s.Roles, config.RoleEntry) {
				s.Domain = string(x.domains[boxNumber(s.Box)-1])
			}
		},
		targetArguments: []string{
			"--slots", "3", "--queue", "6", "--slow-share", "0.25", "--nearly-full", "3", "--break-when-full", "--report-pace",
		},
	})
	x.must(lab.Eventually(waitTimeout, func() error { return x.api().PutDocument(skewDocument()) }))
	i := 0
	for k := range skewKinds {
		for n := range skewKinds[k].targets {
			r := &table.Registration{
				Target: units.TargetID(x.targets[i].Name), Service: skewKinds[k].service, Address: x.targets[i].Address, Slots: 3,
				State: table.Active, Sequence: 1, Born: 1000, Domain: lossDomain(n % 4),
			}
			x.must(lab.Eventually(waitTimeout, func() error { return x.api().SubmitReport(r) }))
			i++
		}
	}
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
	for k := range skewKinds {
		x.awaitServed(lab.CallSpec{Host: string(skewKinds[k].service) + ".test", AtMostOnce: skewKinds[k].once})
	}
	for i := range 300 {
		x.clients = append(x.clients, &skewClient{domain: x.domains[i*len(x.domains)/300]})
	}
	return x
}

func skewDocument() json.RawMessage {
	d := table.Document{Version: 1}
	for i := range skewKinds {
		k := &skewKinds[i]
		work := table.Repeatable
		if k.once {
			work = table.AtMostOnce
		}
		d.Services = append(d.Services, table.Service{
			Name: k.service, Work: work, Deadline: k.deadline, HoldLimit: table.DefaultHoldLimit, HoldCount: table.DefaultHoldCount,
			RetryBudget: 5, HedgeBudget: 12, ExtraBurst: 25, ProbeTargets: 2, MeasureBudget: 9, ProbePath: "/healthz", TargetConnections: 260,
		})
		d.Routes = append(d.Routes, &table.Route{
			Name: string(k.service), Host: string(k.service) + ".test", PathPrefix: "/", Work: work, Deadline: k.deadline,
			LatencyObjective: k.objective, MaxAttempts: 2, Services: []table.WeightedService{{Service: k.service, Weight: 1}},
		})
	}
	data, _ := json.Marshal(&d)
	return data
}

// command runs a command of a script: "call for=D", "before for=D", which sets what aims are compared with,
// "hot box=N", "spread", and "aim for=D", which reports where callers fare worse than before.
func (x *skewCluster) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "call":
		x.call(d)
	case "before":
		x.before = x.fractions(x.call(d), func(*skewSample) bool { return true })
		t.Logf("%s %s", d.Pos, &x.before)
	case "hot":
		var n int
		d.ScanArgs(t, "box", &n)
		x.hot, x.hotAt = x.cluster.Boxes[min(n, len(x.cluster.Boxes))-1], time.Now()
	case "spread":
		x.hot = nil
	case "aim":
		return x.aim(d)
	default:
		d.Fatalf(t, "there is no command %s", d.Cmd)
	}
	return "done\n"
}

// call makes calls for a time and returns the first tries.
func (x *skewCluster) call(d *datadriven.TestData) []skewSample {
	length := x.scanDuration(d, "for")
	x.samples = nil
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	next := time.Now()
	for next.Before(end) {
		time.Sleep(time.Until(next))
		x.startCall(&wait)
		next = next.Add(time.Duration(x.random.ExpFloat64() * float64(time.Second) / *skewRate))
	}
	wait.Wait()
	return x.samples
}

// startCall makes a call, on a kept connection or on one of its own.
func (x *skewCluster) startCall(wait *sync.WaitGroup) {
	client := x.clients[x.random.IntN(len(x.clients))]
	k := x.drawKind()
	keeps := x.random.Float64() < 0.5
	closes := !keeps || x.hot != nil && x.random.Float64() < 0.5
	caller := client.caller
	if !keeps || client.caller == nil {
		client.box = x.connect(client.domain)
		caller = lab.NewCaller(client.box.Entry)
	}
	if keeps {
		client.caller = caller
		if closes {
			client.caller = nil
		}
	}
	work := time.Duration(float64(k.work) * math.Exp(0.3*x.random.NormFloat64()-0.045))
	spec := lab.CallSpec{Host: string(k.service) + ".test", AtMostOnce: k.once, Work: work, NewConnection: closes}
	again := x.anyBox(client.domain)
	wait.Go(func() { x.makeCall(caller, spec, k, again) })
}

// makeCall makes a call, and once more at another box if that refuses it.
func (x *skewCluster) makeCall(caller *lab.Caller, spec lab.CallSpec, k *skewKind, again *lab.Node) {
	s := skewSample{at: time.Now(), kind: k}
	s.Call = caller.Do(spec)
	x.record(s.Call, &s)
	if s.Verdict == lab.NotRun {
		time.Sleep(s.RetryAfter)
		spec.NewConnection = true
		x.record(lab.NewCaller(again.Entry).Do(spec), nil)
	}
}

// record keeps a call, and the sample of a first try.
func (x *skewCluster) record(c lab.Call, first *skewSample) {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.calls = append(x.calls, c)
	if first != nil {
		x.samples = append(x.samples, *first)
	}
}

func (x *skewCluster) drawKind() *skewKind {
	p := x.random.Float64() * 9
	for i := range skewKinds {
		if p -= skewKinds[i].share; p < 0 {
			return &skewKinds[i]
		}
	}
	return &skewKinds[0]
}

// connect returns the box that a new connection goes to.
func (x *skewCluster) connect(domain units.Domain) *lab.Node {
	if x.hot != nil && x.random.Float64() < skewToHot {
		return x.hot
	}
	return x.anyBox(domain)
}

func (x *skewCluster) anyBox(domain units.Domain) *lab.Node {
	for {
		if i := x.random.IntN(len(x.domains)); x.domains[i] == domain {
			return x.cluster.Boxes[i]
		}
	}
}

// skewFractions counts first tries.
type skewFractions struct {
	calls, served, inAim int
	reasons              map[string]int
}

func (f *skewFractions) String() string {
	return fmt.Sprintf("%d calls, %.3f served, %.3f in aim, others %v", f.calls, f.servedRatio(), f.inAimRatio(), f.reasons)
}

func (f *skewFractions) servedRatio() float64 { return float64(f.served) / float64(max(1, f.calls)) }
func (f *skewFractions) inAimRatio() float64  { return float64(f.inAim) / float64(max(1, f.calls)) }

func (x *skewCluster) fractions(samples []skewSample, include func(s *skewSample) bool) skewFractions {
	f := skewFractions{reasons: map[string]int{}}
	for i := range samples {
		s := &samples[i]
		if !include(s) {
			continue
		}
		f.calls++
		if s.Verdict != lab.Complete {
			f.reasons[s.Reason+s.Detail]++
			continue
		}
		f.served++
		if s.Latency <= s.kind.objective {
			f.inAim++
		}
	}
	return f
}

func (x *skewCluster) aim(d *datadriven.TestData) string {
	samples := x.call(d)
	isFirst := func(s *skewSample) bool { return x.hot != nil && s.at.Sub(x.hotAt) < skewContact }
	var misses []string
	for _, w := range []struct {
		name    string
		include func(s *skewSample) bool
	}{
		{"in the first 3 s", isFirst},
		{"later", func(s *skewSample) bool { return !isFirst(s) }},
	} {
		f := x.fractions(samples, w.include)
		if f.calls == 0 {
			continue
		}
		x.Logf("%s %s: %s", d.Pos, w.name, &f)
		if f.servedRatio() < skewServed*x.before.servedRatio() {
			misses = append(misses, "served "+w.name)
		}
		if f.inAimRatio() < skewInAim*x.before.inAimRatio() {
			misses = append(misses, "in aim "+w.name)
		}
	}
	if len(misses) == 0 {
		return "meets the aim\n"
	}
	return "misses the aim: " + strings.Join(misses, ", ") + "\n"
}
