package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// reachWork is how long a target works on a call, reachSlots how many it runs at a time. One more
	// breaks the connection.
	reachWork  = 40 * time.Millisecond
	reachSlots = 3
	// reachIdle is for how long a box keeps an idle connection to a target.
	reachIdle = 10 * time.Second
	// reachConnect is the connect timeout of boxes.
	reachConnect = 250 * time.Millisecond
	// reachDeadline is the deadline of calls.
	reachDeadline = 1500 * time.Millisecond
)

// reachFleet simulates, in virtual time, the boxes of several failure domains, the targets of several
// services, and callers. Boxes can be cut off from targets.
type reachFleet struct {
	timeline
	random   *rand.Rand
	boxes    []*reachBox
	byID     map[units.BoxID]*reachBox
	targets  map[units.TargetID]*reachTarget
	services []*table.Entry
	listed   []table.Box
	regions  map[units.Domain]units.Region
	revision units.Revision
	calls    []*reachCall
	// messages counts the messages between boxes about the targets that they reach, sentAt are their
	// times.
	messages int
	sentAt   []units.Instant
	// maxRelayed is the number of other boxes' calls that a box accepts at a time.
	maxRelayed int
	machine    reachMachine
}

// reachBox is a box with its connections to targets.
type reachBox struct {
	simulatedProcess
	id     units.BoxID
	domain units.Domain
	router *Router
	down   bool
	// cut is how the box is cut off from targets; empty if it isn't. services names those concerned;
	// nil for all.
	cut      string
	services []units.ServiceName
	idle     map[units.TargetID][]units.Instant
	// opened are the times at which connections to targets were opened.
	opened []units.Instant
	// relaysInFlight is the number of other boxes' calls in flight here, mostRelayed the most.
	relaysInFlight, mostRelayed int
}

type reachTarget struct {
	service  units.ServiceName
	domain   units.Domain
	inFlight int
	down     bool
}

// reachCall is a call at the box that it arrived at, or that it was relayed to.
type reachCall struct {
	box     *reachBox
	service units.ServiceName
	arrived units.Instant
	ended   units.Instant
	served  bool
	refusal Refusal
	relays  int
	// first is the caller's call that was relayed; nil for that itself. runs counts how often targets
	// ran it.
	first *reachCall
	runs  int
	// wasCut is set if the box was cut off from the service when the call arrived.
	wasCut bool
	// done reports the end of a relayed call to the box that relayed it; nil for a caller's own.
	done func(served bool, refusal Refusal)
	// id is set once the box has made an effect for the call.
	id CallID
}

type reachFleetOptions struct {
	domains, boxes, services, targets int
	seed                              uint64
	regions                           bool
	maxRelayed                        int
	processors                        int
}

func newReachFleet(o reachFleetOptions) *reachFleet {
	f := &reachFleet{
		timeline: newTimeline(units.Instant(time.Minute)), random: rand.New(rand.NewPCG(o.seed, 21)), byID: map[units.BoxID]*reachBox{},
		targets: map[units.TargetID]*reachTarget{}, regions: map[units.Domain]units.Region{}, maxRelayed: o.maxRelayed, revision: 1,
		machine: reachMachine{processors: o.processors, sessions: map[[2]units.BoxID]units.Instant{}},
	}
	for d := range o.domains {
		if o.regions {
			f.regions[reachDomain(d)] = units.Region(fmt.Sprintf("r%d", d/2))
		}
		for i := range o.boxes {
			b := &reachBox{id: units.BoxID(fmt.Sprintf("d%d-%03d", d, i)), domain: reachDomain(d)}
			f.boxes = append(f.boxes, b)
			f.byID[b.id] = b
			f.listed = append(f.listed, table.Box{ID: b.id, Domain: b.domain, Address: string(b.id) + ":1"})
		}
	}
	for s := range o.services {
		f.services = append(f.services, f.service(s, o))
	}
	for _, b := range f.boxes {
		f.start(b)
	}
	return f
}

func reachDomain(d int) units.Domain { return units.Domain(fmt.Sprintf("d%d", d)) }

// service returns a service: every third one's calls can't be repeated, and with regions every other
// one is restricted to the first.
func (f *reachFleet) service(s int, o reachFleetOptions) *table.Entry {
	name := units.ServiceName(fmt.Sprintf("s%d", s))
	entry := &table.Entry{Service: table.Service{
		Name: name, Work: table.Repeatable, Hosts: []string{string(name)}, Deadline: reachDeadline, HoldLimit: time.Second, HoldCount: 100,
		RetryBudget: 20, HedgeBudget: 10, ProbeTargets: 2, MeasureBudget: 20,
	}}
	if s%3 == 1 {
		entry.Service.Work = table.AtMostOnce
	}
	for i := range o.targets {
		id := units.TargetID(fmt.Sprintf("%s-t%d", name, i))
		x := &reachTarget{service: name, domain: reachDomain(i % o.domains)}
		f.targets[id] = x
		entry.Rows = entry.Rows.With(table.Row{
			Service: name, Target: id, Address: string(id) + ":1", Domain: x.domain, Weight: 100, State: table.Active,
			Registered: true, Slots: reachSlots, Born: 1,
		})
	}
	return entry
}

func (f *reachFleet) start(b *reachBox) {
	router, err := NewRouter(Settings{
		Box: b.id, Domain: b.domain, Regions: f.regions, Seed: f.random.Uint64(), ServeStale: true, ShareDelay: DefaultShareDelay,
		ProbeCost: DefaultProbeCost, MaxDeadline: time.Minute, MaxRelayed: f.maxRelayed,
	}, f.now)
	if err != nil {
		panic(err)
	}
	b.incarnation++
	b.router, b.wakeAt, b.down, b.relaysInFlight = router, 0, false, 0
	b.idle = map[units.TargetID][]units.Instant{}
	f.deliver(b, &TableChanged{Table: f.table()})
}

// stop kills a box.
func (f *reachFleet) stop(b *reachBox) {
	b.down = true
	b.incarnation++
}

func (f *reachFleet) table() *table.Table {
	t := table.NewTable()
	t.Revision, t.Document, t.Boxes = f.revision, 1, slices.Clone(f.listed)
	for i, entry := range f.services {
		t.Services[entry.Service.Name] = entry
		if len(f.regions) > 0 && i%2 == 1 {
			if t.Routes == nil {
				t.Routes = map[table.RouteKey]*table.Route{}
			}
			route := f.restrictedRoute(entry)
			t.Routes[route.Key()] = route
		}
	}
	return t
}

// restrictedRoute returns a route to a service that is restricted to the first region.
func (f *reachFleet) restrictedRoute(entry *table.Entry) *table.Route {
	s := &entry.Service
	return &table.Route{
		Name: string(s.Name), Host: string(s.Name), PathPrefix: "/", Work: s.Work, Deadline: s.Deadline,
		Regions: &table.AllowedRegions{Names: []units.Region{"r0"}}, Services: []table.WeightedService{{Service: s.Name, Weight: 1}},
	}
}

// publish sends a new table to all boxes, each at a different time.
func (f *reachFleet) publish() {
	f.revision++
	t := f.table()
	for _, b := range f.boxes {
		f.later(b, f.upTo(300*time.Millisecond), func() { f.deliver(b, &TableChanged{Table: t}) })
	}
}

func (f *reachFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(d))
}

// later schedules an action of a box, unless that has been restarted by then.
func (f *reachFleet) later(b *reachBox, d time.Duration, do func()) {
	incarnation := b.incarnation
	f.after(d, func() {
		if b.incarnation == incarnation && !b.down {
			do()
		}
	})
}

func (f *reachFleet) deliver(b *reachBox, event Event) {
	if x, ok := event.(*TableChanged); ok && x.Table.Revision <= b.router.table.Revision {
		return
	}
	var e Effects
	b.router.Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.carryOut(b, x)
	}
	b.mustKnowCuts()
	f.wake(b)
}

// mustKnowCuts panics unless the list of cuts holds each reach that is cut off once.
func (b *reachBox) mustKnowCuts() {
	cuts := 0
	for _, s := range b.router.sortedServices {
		for _, x := range s.reaches {
			if !x.cutOff {
				continue
			}
			cuts++
			if !slices.Contains(b.router.relays.cuts, x) {
				panic(fmt.Sprintf("%s lacks the cut of %s", b.id, s.row.Name))
			}
		}
	}
	if n := len(b.router.relays.cuts); n != cuts {
		panic(fmt.Sprintf("%s lists %d cuts, but there are %d", b.id, n, cuts))
	}
}

func (f *reachFleet) wake(b *reachBox) {
	f.timeline.wake(&b.simulatedProcess, b.router.NextWake(), func() { f.deliver(b, &Tick{}) })
}

func (f *reachFleet) carryOut(b *reachBox, x Effect) {
	c, _ := x.Owner.(*reachCall)
	if c != nil {
		c.id = x.Call
	}
	switch x.Kind {
	case Send:
		if x.Endpoint.Relay != "" {
			c.relays++
			f.relay(b, c, x)
			return
		}
		f.contact(b, x.Endpoint, false, func(r contactResult) { f.sendArrives(b, x, r) })
	case Probe:
		f.contact(b, x.Endpoint, x.NewConnection, func(r contactResult) { f.probeArrives(b, x, r) })
	case SendReachMessage:
		f.post(b, x)
	case Deliver:
		f.end(b, c, true, Refusal{})
	case Refuse:
		f.end(b, c, false, x.Refusal)
	}
}

func (f *reachFleet) end(b *reachBox, c *reachCall, served bool, refusal Refusal) {
	c.ended, c.served, c.refusal = f.now, served, refusal
	if c.done != nil {
		b.relaysInFlight--
		c.done(served, refusal)
	}
}

// contactResult is how a box's contact with a target began.
type contactResult int

const (
	contactMade contactResult = iota
	contactRefused
	contactTimedOut
	// contactSilent: bytes were written that the target never gets.
	contactSilent
	contactBroken
)

// contact uses a connection of a box to a target, a new one if there is no idle one. then is called with
// the result.
func (f *reachFleet) contact(b *reachBox, x *Endpoint, fresh bool, then func(contactResult)) {
	connections := slices.DeleteFunc(b.idle[x.Target], func(at units.Instant) bool { return f.now.Sub(at) > reachIdle })
	reused := !fresh && len(connections) > 0
	if reused {
		connections = connections[:len(connections)-1]
	} else {
		b.opened = append(b.opened, f.now)
	}
	b.idle[x.Target] = connections
	result, took := f.contactResult(b, x, reused)
	f.later(b, took+f.machine.spendOnContact(f.now, reused), func() { then(result) })
}

func (f *reachFleet) contactResult(b *reachBox, x *Endpoint, reused bool) (contactResult, time.Duration) {
	trip := f.tripTime(b.domain, x.Domain)
	switch cut := b.cutFrom(x.Service); {
	case f.targets[x.Target].down:
		return contactRefused, trip
	case cut == "", cut == "live" && reused:
		return contactMade, trip
	case cut == "silent" && reused:
		return contactSilent, 0
	case cut == "silent":
		return contactTimedOut, reachConnect
	case reused:
		return contactBroken, trip
	}
	return contactRefused, trip
}

// cutFrom returns how the box is cut off from a service; empty if it isn't.
func (b *reachBox) cutFrom(service units.ServiceName) string {
	if b.services == nil || slices.Contains(b.services, service) {
		return b.cut
	}
	return ""
}

// tripTime is the time from one failure domain to another.
func (f *reachFleet) tripTime(from, to units.Domain) time.Duration {
	if from == to {
		return 200*time.Microsecond + f.upTo(200*time.Microsecond)
	}
	return 700*time.Microsecond + f.upTo(400*time.Microsecond)
}

func (f *reachFleet) keep(b *reachBox, x *Endpoint) {
	b.idle[x.Target] = append(b.idle[x.Target], f.now)
}

func (f *reachFleet) sendArrives(b *reachBox, x Effect, r contactResult) {
	ended := &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint}
	switch r {
	case contactSilent:
		return
	case contactRefused, contactTimedOut:
		ended.Result, ended.Unreachable, ended.Refused = NotSent, true, r == contactRefused
		f.deliver(b, ended)
		return
	case contactBroken:
		ended.Result = Broken
		f.deliver(b, ended)
		return
	}
	t := f.targets[x.Endpoint.Target]
	if t.inFlight >= 2*reachSlots {
		ended.Result = Broken
		f.deliver(b, ended)
		return
	}
	t.inFlight++
	x.Owner.(*reachCall).countRun()
	work := reachWork/2 + f.upTo(reachWork)
	if t.inFlight > reachSlots {
		work *= 2
	}
	f.after(work, func() { t.inFlight-- })
	f.later(b, work+f.tripTime(b.domain, x.Endpoint.Domain), func() {
		if b.cutFrom(x.Endpoint.Service) == "silent" {
			return
		}
		ended.Result, ended.Report = Answered, t.report()
		f.keep(b, x.Endpoint)
		f.deliver(b, ended)
	})
}

func (c *reachCall) countRun() {
	if c.first != nil {
		c = c.first
	}
	c.runs++
}

func (f *reachFleet) probeArrives(b *reachBox, x Effect, r contactResult) {
	ended := &ProbeEnded{Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, SentAt: x.SentAt}
	switch r {
	case contactSilent:
		f.later(b, reachConnect, func() { f.deliver(b, ended) })
		return
	case contactMade:
		f.later(b, f.tripTime(b.domain, x.Endpoint.Domain), func() {
			if b.cutFrom(x.Endpoint.Service) == "silent" {
				return
			}
			ended.Answered, ended.Healthy, ended.Report = true, true, f.targets[x.Endpoint.Target].report()
			f.keep(b, x.Endpoint)
			f.deliver(b, ended)
		})
		return
	}
	ended.Unreachable, ended.Refused = r != contactBroken, r == contactRefused
	f.deliver(b, ended)
}

func (t *reachTarget) report() TargetReport {
	return TargetReport{HasLoad: true, InFlight: float64(t.inFlight), Slots: reachSlots, Pace: 1}
}

// post carries a message to another box.
func (f *reachFleet) post(from *reachBox, x Effect) {
	f.messages++
	f.sentAt = append(f.sentAt, f.now)
	to := f.byID[x.Peer]
	trip := f.tripTime(from.domain, to.domain) + f.machine.spendOnMessage(f.now, from.id, to.id, x.ReachMessage.Kind)
	f.later(to, trip, func() { f.deliver(to, &PeerReach{From: from.id, Message: *x.ReachMessage}) })
}

// relay carries a call to another box, and its end back.
func (f *reachFleet) relay(from *reachBox, c *reachCall, x Effect) {
	to := f.byID[x.Endpoint.Relay]
	ended := &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint}
	back := func() {
		f.later(from, f.tripTime(to.domain, from.domain), func() { f.deliver(from, ended) })
	}
	f.after(f.tripTime(from.domain, to.domain)+f.machine.spendOnContact(f.now, false), func() {
		if to.down {
			ended.Result, ended.Unreachable = NotSent, true
			back()
			return
		}
		relayed := &reachCall{first: c, box: to, service: c.service, arrived: f.now, done: func(served bool, refusal Refusal) {
			ended.Result, ended.HelperLoad = Answered, to.relaysInFlight
			if !served {
				ended.Result, ended.Declined = Declined, refusal
			}
			back()
		}}
		to.relaysInFlight++
		description := x.Relay
		f.deliver(to, &CallArrived{
			Owner: relayed, Host: []byte(c.service), Path: []byte("/"), Deadline: x.Deadline.Sub(f.now), Relayed: &description,
		})
		to.mostRelayed = max(to.mostRelayed, to.relaysInFlight)
	})
}

// call makes a call of a service at a box.
func (f *reachFleet) call(b *reachBox, service units.ServiceName) {
	if b.down {
		return
	}
	c := &reachCall{box: b, service: service, arrived: f.now, wasCut: b.cutFrom(service) != ""}
	f.calls = append(f.calls, c)
	f.deliver(b, &CallArrived{Owner: c, Host: []byte(service), Path: []byte("/"), Deadline: reachDeadline})
}

// callAllSteadily makes calls of each service at each box.
func (f *reachFleet) callAllSteadily(interval time.Duration) {
	for _, b := range f.boxes {
		for _, entry := range f.services {
			f.callSteadily(b, entry.Service.Name, interval)
		}
	}
}

// callSteadily makes calls of a service at a box, at random times with a mean interval.
func (f *reachFleet) callSteadily(b *reachBox, service units.ServiceName, interval time.Duration) {
	f.after(f.upTo(2*interval), func() {
		f.call(b, service)
		f.callSteadily(b, service, interval)
	})
}

// cutOff cuts a box off from the targets of services; nil for all. Calls in flight there break, or
// are never answered.
func (f *reachFleet) cutOff(b *reachBox, how string, services []units.ServiceName) {
	b.cut, b.services = how, services
}
