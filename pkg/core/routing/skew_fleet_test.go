package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// skewSlots is how many calls a target runs at a time, skewQueue how many more wait there. A full
	// target resets the connection.
	skewSlots = 3
	skewQueue = 6
	// skewNearlyFull is the number of running calls from which on work takes skewSlowdown times as long.
	skewNearlyFull = 3
	skewSlowdown   = 1.7
	// Other processes on a target's machine slow its work skewNoise times, for a part of the spans of
	// skewSpan.
	skewSpan  = 150 * time.Millisecond
	skewNoise = 5.0
	// skewColdSlowdown is how much longer work takes at a cold target.
	skewColdSlowdown = 2.0
	// skewColdKnown is how long boxes take to learn from probes that a target has become cold.
	skewColdKnown = time.Second
	// skewProbeWork is the work of answering a probe.
	skewProbeWork = 6 * time.Millisecond
	// skewProbeRate is the number of probes a second that a target may get from all boxes together.
	skewProbeRate = 54.0
	// skewClientTrip is the time between a caller and a box.
	skewClientTrip = 3 * time.Millisecond
	// skewConnectTime is the time that a target takes to accept a connection.
	skewConnectTime = time.Millisecond
)

// skewClass is a kind of call.
type skewClass struct {
	service           units.ServiceName
	host              string
	share             float64
	work              time.Duration
	objective         time.Duration
	timeout, patience time.Duration
	priority          int
	kind              table.WorkKind
	// request and answer are the mean bytes of the bodies.
	request, answer float64
}

var skewClasses = []skewClass{
	{service: "balance", host: "balance", share: 4.3, work: 90 * time.Millisecond, objective: 250 * time.Millisecond, timeout: time.Second, patience: 2 * time.Second, priority: 2, kind: table.Repeatable, answer: 1500},
	{service: "redemption", host: "redeem", share: 1.8, work: 120 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 1200 * time.Millisecond, patience: 2500 * time.Millisecond, priority: 1, kind: table.AtMostOnce, request: 4000, answer: 400},
	{service: "reporting", host: "statement", share: 1.7, work: 220 * time.Millisecond, objective: 600 * time.Millisecond, timeout: 2 * time.Second, patience: 4 * time.Second, priority: 2, kind: table.Repeatable, answer: 400},
	{service: "reporting", host: "settlement", share: 1.2, work: 360 * time.Millisecond, objective: time.Second, timeout: 3 * time.Second, patience: 6 * time.Second, priority: 2, kind: table.Repeatable, answer: 5000},
}

// skewFleet simulates, in virtual time, the boxes of several failure domains, targets whose speed varies,
// and callers whose connections may go to one box.
type skewFleet struct {
	timeline
	random   *rand.Rand
	boxes    []*skewBox
	byID     map[units.BoxID]*skewBox
	targets  map[units.TargetID]*skewTarget
	ordered  []*skewTarget
	services []*table.Entry
	listed   []table.Box
	revision units.Revision
	calls    []*skewCall
	clients  []*skewClient
	// perSecond is the number of calls a second of all callers together.
	perSecond float64
	// slowShare is the share of spans in which a target is slow.
	slowShare float64
	// hot are the boxes that get most new connections, of the callers in a failure domain; empty for all.
	hot       []*skewBox
	hotDomain units.Domain
	hotEvery  time.Duration
	hotAt     units.Instant
	messages  int
	// workspaces are those of the table, credential is the key that all calls carry.
	workspaces table.Workspaces
	credential apikey.Credential
	// admitted are the times of the calls that were sent to a target, whatever came of them.
	admitted []units.Instant
}

type skewBox struct {
	simulatedProcess
	id     units.BoxID
	domain units.Domain
	router *Router
	down   bool
	// frozenUntil is when a stopped process goes on.
	frozenUntil units.Instant
	// silentPeers makes the box's messages to and from others get lost, cut its links to targets.
	silentPeers, cut bool
	idle             map[units.TargetID][]units.Instant
	relaysInFlight   int
	machine          skewMachine
}

// skewClient is a caller that keeps its connection, or not.
type skewClient struct {
	domain units.Domain
	box    *skewBox
}

type skewCall struct {
	box           *skewBox
	class         *skewClass
	arrived       units.Instant
	ended         units.Instant
	served        bool
	refusal       Refusal
	first         bool
	runs, sends   int
	runsByAttempt map[AttemptNumber]*skewRun
	done          func(served bool, refusal Refusal)
	relayOf       *skewCall
	client        units.Domain
	patience      time.Duration
	incarnation   int
	// answerBytes is the size of its answer. givenUp is set if that came after the caller had left.
	answerBytes float64
	givenUp     bool
	// refusedConnection is set if no box accepted the caller's connection.
	refusedConnection bool
}

// skewRun is a call at a target.
type skewRun struct {
	left     time.Duration
	ended    func()
	canceled bool
}

type skewTarget struct {
	id      units.TargetID
	service units.ServiceName
	domain  units.Domain
	row     table.Row
	down    bool
	// silent makes it leave calls, probes and connects unanswered.
	silent bool
	// hampered makes all spans slow.
	hampered bool
	// rest is what it answers calls with: a rest that it asks for; rate the limit that it announces.
	rest time.Duration
	rate units.CallRate
	slow bool
	// coldUntil is when it will be warm.
	coldUntil units.Instant
	running   []*skewRun
	waiting   []*skewRun
	updatedAt units.Instant
	version   int
	// probes and calls are the times of those that reached it.
	probes []units.Instant
	calls  []units.Instant
	// coldCalls are the times of the calls that reached it once the boxes knew that it is cold.
	coldCalls []units.Instant
	coldSince units.Instant
}

type skewOptions struct {
	domains   []int
	perSecond float64
	targets   [3]int
	slowShare float64
	seed      uint64
	clients   int
	// rate is the table's rate for each target, inFlight its limit of calls in flight; both are zero for
	// targets that register. coldRate is the rate of calls that a cold target takes.
	rate, coldRate float64
	inFlight       int
	// quota is the rate of the workspace that all calls belong to; zero for calls without a key.
	quota float64
	// mbps is the rate of each box's link each way, cores its part of a core; zero is unlimited.
	mbps, cores float64
}

func newSkewFleet(o skewOptions) *skewFleet {
	f := &skewFleet{
		timeline: newTimeline(units.Instant(time.Minute)), random: rand.New(rand.NewPCG(o.seed, 65)), byID: map[units.BoxID]*skewBox{},
		targets: map[units.TargetID]*skewTarget{}, revision: 1, perSecond: o.perSecond, slowShare: o.slowShare,
	}
	if o.quota > 0 {
		f.useQuota(o.quota)
	}
	for d, n := range o.domains {
		for i := range n {
			b := &skewBox{id: units.BoxID(fmt.Sprintf("d%d-%03d", d, i)), domain: skewDomain(d), machine: newSkewMachine(o.mbps, o.cores, f.now)}
			f.boxes = append(f.boxes, b)
			f.byID[b.id] = b
			f.listed = append(f.listed, table.Box{ID: b.id, Domain: b.domain, Address: string(b.id) + ":1"})
		}
	}
	for i, name := range []units.ServiceName{"balance", "redemption", "reporting"} {
		f.services = append(f.services, f.newService(name, o.targets[i], &o))
	}
	for _, b := range f.boxes {
		f.start(b)
	}
	for i := range o.clients {
		f.clients = append(f.clients, &skewClient{domain: skewDomain(i % len(o.domains))})
	}
	return f
}

// useQuota has all calls belong to a workspace with a rate, in calls a second, and as large a burst.
func (f *skewFleet) useQuota(rate float64) {
	key := []byte("key")
	f.workspaces = table.Workspaces{{Name: "acme", Rate: units.CallRate(rate), Burst: rate, Keys: []apikey.Digest{apikey.DigestOf(key)}}}
	f.credential = apikey.CredentialFromHeader([][]byte{key})
}

func skewDomain(d int) units.Domain { return units.Domain(fmt.Sprintf("d%d", d)) }

func (f *skewFleet) newService(name units.ServiceName, targets int, o *skewOptions) *table.Entry {
	entry := &table.Entry{Service: table.Service{
		Name: name, Work: table.AtMostOnce, Deadline: time.Second, HoldLimit: table.DefaultHoldLimit, HoldCount: table.DefaultHoldCount,
		RetryBudget: 5, HedgeBudget: 12, ExtraBurst: 25, ProbeTargets: 2,
		ColdRate:      o.coldRate,
		MeasureBudget: units.Percent(100 * skewProbeRate * DefaultProbeCost.Seconds() / defaultSlots),
	}, Version: 1}
	for i := range targets {
		t := &skewTarget{id: units.TargetID(fmt.Sprintf("%s-%02d", name, i)), service: name, domain: skewDomain(i % len(o.domains))}
		t.row = table.Row{
			Service: name, Target: t.id, Address: string(t.id) + ":1", Domain: t.domain, Weight: 100, State: table.Active,
			Registered: o.rate == 0 && o.inFlight == 0, Slots: skewSlots, MaxConnections: 260, Born: 1, MaxRate: o.rate, MaxInFlight: o.inFlight,
		}
		f.targets[t.id] = t
		f.ordered = append(f.ordered, t)
		entry.Rows = entry.Rows.With(t.row)
		f.after(f.upTo(skewSpan), func() { f.nextSpan(t) })
	}
	return entry
}

func (f *skewFleet) table() *table.Table {
	t := table.NewTable()
	t.Revision, t.Document, t.Boxes = f.revision, 1, slices.Clone(f.listed)
	t.Routes = map[table.RouteKey]*table.Route{}
	t.Workspaces, t.KeysRequired = f.workspaces, len(f.workspaces) > 0
	for _, entry := range f.services {
		t.Services[entry.Service.Name] = entry
	}
	for i := range skewClasses {
		c := &skewClasses[i]
		route := &table.Route{
			Name: c.host, Host: c.host, PathPrefix: "/", Work: c.kind, Deadline: c.timeout, LatencyObjective: c.objective, MaxAttempts: 2,
			Priority: c.priority, Services: []table.WeightedService{{Service: c.service, Weight: 1}},
		}
		t.Routes[route.Key()] = route
	}
	return t
}

func (f *skewFleet) start(b *skewBox) {
	router, err := NewRouter(Settings{
		Box: b.id, Domain: b.domain, Seed: f.random.Uint64(), ServeStale: true, ShareDelay: DefaultShareDelay,
		ProbeCost: DefaultProbeCost, AssumedColdPeriod: DefaultAssumedColdPeriod, MaxDeadline: time.Minute, MaxRelayed: DefaultMaxRelayed,
		Loans: true, QuotaSlack: DefaultQuotaSlack,
	}, f.now)
	if err != nil {
		panic(err)
	}
	b.incarnation++
	b.router, b.wakeAt, b.down, b.relaysInFlight = router, 0, false, 0
	b.idle = map[units.TargetID][]units.Instant{}
	f.deliver(b, &LeaseChanged{At: f.now, Until: f.now.Add(time.Hour)})
	f.deliver(b, &TableChanged{Table: f.table()})
	f.ping(b)
}

// stop kills a box: its calls end without an answer.
func (f *skewFleet) stop(b *skewBox) {
	b.down = true
	b.incarnation++
}

// publish sends a new table to all boxes, each at a different time.
func (f *skewFleet) publish() {
	f.revision++
	t := f.table()
	for _, b := range f.boxes {
		f.later(b, f.upTo(300*time.Millisecond), func() {
			if t.Revision > b.router.table.Revision {
				f.deliver(b, &TableChanged{Table: t})
			}
		})
	}
}

func (f *skewFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(d))
}

// later schedules an action of a box, unless that has been restarted by then. A stopped process acts once
// it goes on.
func (f *skewFleet) later(b *skewBox, d time.Duration, do func()) {
	incarnation := b.incarnation
	f.after(d, func() {
		if b.incarnation != incarnation || b.down {
			return
		}
		if f.now < b.frozenUntil {
			f.later(b, b.frozenUntil.Sub(f.now), do)
			return
		}
		do()
	})
}

func (f *skewFleet) deliver(b *skewBox, event Event) {
	var e Effects
	b.router.Reduce(f.now, event, &e)
	for _, x := range e.List {
		f.carryOut(b, x)
	}
	f.wake(b)
}

func (f *skewFleet) wake(b *skewBox) {
	f.timeline.wake(&b.simulatedProcess, b.router.NextWake(), func() {
		if f.now < b.frozenUntil {
			f.later(b, b.frozenUntil.Sub(f.now), func() { f.deliver(b, &Tick{}) })
			return
		}
		f.deliver(b, &Tick{})
	})
}

func (f *skewFleet) carryOut(b *skewBox, x Effect) {
	c, _ := x.Owner.(*skewCall)
	switch x.Kind {
	case Send:
		if c.sends++; c.sends == 1 {
			f.admitted = append(f.admitted, f.now)
		}
		if x.Endpoint.Relay != "" {
			f.relay(b, c, x)
			return
		}
		f.send(b, c, x)
	case Cancel:
		f.cancel(b, c, x)
	case Probe:
		f.probe(b, x)
	case Deliver:
		f.end(b, c, c.answerBytes, true, Refusal{})
	case Refuse:
		f.end(b, c, skewRefusalBytes, false, x.Refusal)
	case SendLoanMessage, SendLimitMessage, SendQuotaMessage, SendCanaryMessage, SendReachMessage, SendTokenMessage:
		f.post(b, x)
	}
}

func (f *skewFleet) end(b *skewBox, c *skewCall, bytes float64, served bool, refusal Refusal) {
	if c.done != nil {
		c.done(served, refusal)
		return
	}
	upload := f.upload(b, bytes)
	b.machine.gate.CallEnded(f.now, b.machine.usage())
	c.ended, c.served, c.refusal = f.now.Add(upload), served, refusal
	waited := c.ended.Sub(c.arrived)
	if served && b.machine.out.rate > 0 && waited+skewClientTrip > c.patience {
		c.served, c.givenUp = false, true
	}
	left := c.patience - waited - refusal.RetryAfter
	if served || refusal.Outcome != NotRun || !c.first || left <= 0 {
		return
	}
	f.after(upload+refusal.RetryAfter+2*skewClientTrip, func() {
		again := &skewCall{class: c.class, client: c.client, patience: left, arrived: f.now}
		f.callOnNewConnection(f.anyBox(c.client), again, nil)
	})
}

// tripTime is the time from one failure domain to another.
func (f *skewFleet) tripTime(from, to units.Domain) time.Duration {
	if from == to {
		return 200*time.Microsecond + f.upTo(100*time.Microsecond)
	}
	return 1400*time.Microsecond + f.upTo(300*time.Microsecond)
}

// contact uses a connection of a box to a target, a new one if there is no idle one, and returns the time
// until the target gets what is sent.
func (f *skewFleet) contact(b *skewBox, x *Endpoint) time.Duration {
	idle := slices.DeleteFunc(b.idle[x.Target], func(at units.Instant) bool { return f.now.Sub(at) > reachIdle })
	trip := f.tripTime(b.domain, x.Domain)
	if n := len(idle); n > 0 {
		b.idle[x.Target] = idle[:n-1]
		return trip
	}
	b.idle[x.Target] = idle
	return 3*trip + skewConnectTime
}

func (f *skewFleet) keep(b *skewBox, x *Endpoint, limit int) {
	if limit == 0 || len(b.idle[x.Target]) < limit {
		b.idle[x.Target] = append(b.idle[x.Target], f.now)
	}
}

func (f *skewFleet) send(b *skewBox, c *skewCall, x Effect) {
	t := f.targets[x.Endpoint.Target]
	ended := &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: NotSent}
	back := func(after time.Duration, bytes float64) {
		f.receive(b, after+f.tripTime(t.domain, b.domain), bytes, skewEventWork, func() { f.deliver(b, ended) })
	}
	trip := f.contact(b, x.Endpoint) + f.upload(b, skewHeadBytes+c.class.request)
	switch {
	case t.silent || b.cut:
		f.later(b, reachConnect, func() { ended.Unreachable = true; f.deliver(b, ended) })
		return
	case t.down:
		ended.Unreachable, ended.Refused = true, true
		back(trip, skewConnectBytes)
		return
	}
	run := &skewRun{left: f.workTime(c.class)}
	if c.runsByAttempt == nil {
		c.runsByAttempt = map[AttemptNumber]*skewRun{}
	}
	c.runsByAttempt[x.Attempt] = run
	f.after(trip, func() {
		if run.canceled {
			return
		}
		t.calls = append(t.calls, f.now)
		if f.now < t.coldUntil && f.now >= t.coldSince.Add(skewColdKnown) {
			t.coldCalls = append(t.coldCalls, f.now)
		}
		if t.rest > 0 {
			ended.Result, ended.Report = Shed, t.report()
			back(0, skewHeadBytes)
			return
		}
		if len(t.running)+len(t.waiting) >= skewSlots+skewQueue || t.down {
			ended.Result = Broken
			back(0, skewConnectBytes)
			return
		}
		c.origin().runs++
		run.ended = func() {
			if t.down {
				ended.Result = Broken
			} else {
				ended.Result, ended.Report = Answered, t.report()
				f.later(b, 0, func() { f.keep(b, x.Endpoint, x.Connections) })
			}
			c.answerBytes = f.answerBytes(b, c.class)
			back(0, c.answerBytes)
		}
		t.add(f, run)
	})
}

// origin returns the caller's own call of a relayed one.
func (c *skewCall) origin() *skewCall {
	if c.relayOf != nil {
		return c.relayOf
	}
	return c
}

func (f *skewFleet) cancel(b *skewBox, c *skewCall, x Effect) {
	run := c.runsByAttempt[x.Attempt]
	if run == nil {
		return
	}
	run.canceled = true
	f.after(f.tripTime(b.domain, x.Endpoint.Domain), func() { f.targets[x.Endpoint.Target].remove(f, run) })
	f.later(b, 0, func() {
		f.deliver(b, &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint, Result: Canceled})
	})
}

// workTime draws how long a call runs at a target's usual speed.
func (f *skewFleet) workTime(c *skewClass) time.Duration {
	return time.Duration(float64(c.work) * math.Exp(0.3*f.random.NormFloat64()-0.045))
}

func (f *skewFleet) probe(b *skewBox, x Effect) {
	t := f.targets[x.Endpoint.Target]
	ended := &ProbeEnded{Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, SentAt: x.SentAt}
	trip := f.contact(b, x.Endpoint) + f.upload(b, skewProbeBytes)
	switch {
	case t.silent || b.cut:
		f.later(b, reachConnect, func() { ended.Unreachable = true; f.deliver(b, ended) })
		return
	case t.down:
		ended.Unreachable, ended.Refused = true, true
		f.later(b, 2*trip, func() { f.deliver(b, ended) })
		return
	}
	f.after(trip, func() {
		t.probes = append(t.probes, f.now)
		t.progress(f)
		t.addWork(f, skewProbeWork)
		ended.Answered, ended.Healthy, ended.Report = true, true, t.report()
		f.receive(b, f.tripTime(b.domain, t.domain), skewProbeBytes, skewProbeTime, func() {
			f.keep(b, x.Endpoint, x.Connections)
			f.deliver(b, ended)
		})
	})
}

// speed is how much work the target does in a second.
func (t *skewTarget) speed() float64 {
	speed := 1.0
	if t.slow || t.hampered {
		speed /= skewNoise
	}
	if len(t.running) >= skewNearlyFull {
		speed /= skewSlowdown
	}
	if t.updatedAt < t.coldUntil {
		speed /= skewColdSlowdown
	}
	return speed
}

func (t *skewTarget) report() TargetReport {
	x := TargetReport{HasLoad: true, InFlight: float64(len(t.running) + len(t.waiting)), Slots: skewSlots, Pace: 1, Rest: t.rest}
	x.Cold = max(0, t.coldUntil.Sub(t.updatedAt))
	if t.slow || t.hampered {
		x.Pace = skewNoise
	}
	if t.rate > 0 {
		x.Limit = ReportedLimit{Present: true, Rate: t.rate}
	}
	return x
}

// progress subtracts the work done since the last change.
func (t *skewTarget) progress(f *skewFleet) {
	done := time.Duration(float64(f.now.Sub(t.updatedAt)) * t.speed())
	for _, r := range t.running {
		r.left -= done
	}
	t.updatedAt = f.now
}

// schedule starts waiting calls and schedules the next end of one.
func (t *skewTarget) schedule(f *skewFleet) {
	for len(t.running) < skewSlots && len(t.waiting) > 0 {
		t.running = append(t.running, t.waiting[0])
		t.waiting = t.waiting[1:]
	}
	t.version++
	if len(t.running) == 0 {
		return
	}
	next := slices.MinFunc(t.running, func(a, b *skewRun) int { return int(a.left - b.left) })
	version := t.version
	f.after(max(0, time.Duration(float64(next.left)/t.speed()))+1, func() {
		if t.version != version {
			return
		}
		t.progress(f)
		t.remove(f, next)
		next.ended()
	})
}

func (t *skewTarget) add(f *skewFleet, r *skewRun) {
	t.progress(f)
	t.waiting = append(t.waiting, r)
	t.schedule(f)
}

// addWork delays one of the running calls.
func (t *skewTarget) addWork(f *skewFleet, d time.Duration) {
	if len(t.running) == 0 {
		return
	}
	t.progress(f)
	t.running[f.random.IntN(len(t.running))].left += d
	t.schedule(f)
}

func (t *skewTarget) remove(f *skewFleet, r *skewRun) {
	t.progress(f)
	same := func(o *skewRun) bool { return o == r }
	t.running = slices.DeleteFunc(t.running, same)
	t.waiting = slices.DeleteFunc(t.waiting, same)
	t.schedule(f)
}

func (f *skewFleet) nextSpan(t *skewTarget) {
	t.progress(f)
	t.slow = f.random.Float64() < f.slowShare
	t.schedule(f)
	f.after(skewSpan, func() { f.nextSpan(t) })
}

// post carries a message to another box.
func (f *skewFleet) post(from *skewBox, x Effect) {
	f.messages++
	to := f.byID[x.Peer]
	if from.silentPeers || to.silentPeers {
		return
	}
	f.receive(to, f.upload(from, skewMessageBytes)+f.tripTime(from.domain, to.domain), skewMessageBytes, skewEventWork, func() {
		f.deliver(to, skewMessage(from.id, &x))
	})
}

func skewMessage(from units.BoxID, x *Effect) Event {
	switch x.Kind {
	case SendLoanMessage:
		return &PeerLoan{From: from, Message: x.Loan}
	case SendLimitMessage:
		return &PeerLimit{From: from, Message: *x.Limit}
	case SendQuotaMessage:
		return &PeerQuota{From: from, Message: *x.Quota}
	case SendTokenMessage:
		return &PeerTokens{From: from, Message: *x.Tokens}
	case SendCanaryMessage:
		return &PeerCanary{From: from, Message: *x.Canary}
	default:
		return &PeerReach{From: from, Message: *x.ReachMessage}
	}
}

// relay carries a call to another box, and its end back.
func (f *skewFleet) relay(from *skewBox, c *skewCall, x Effect) {
	to := f.byID[x.Endpoint.Relay]
	ended := &AttemptEnded{Call: x.Call, Attempt: x.Attempt, Endpoint: x.Endpoint}
	back := func(bytes float64) {
		f.receive(from, f.upload(to, bytes)+f.tripTime(to.domain, from.domain), bytes, skewEventWork, func() { f.deliver(from, ended) })
	}
	description := x.Relay
	f.after(f.upload(from, skewHeadBytes+c.class.request)+f.tripTime(from.domain, to.domain), func() {
		if to.down {
			ended.Result, ended.Unreachable = NotSent, true
			back(0)
			return
		}
		relayed := &skewCall{class: c.class, relayOf: c.origin(), box: to, arrived: f.now}
		relayed.done = func(served bool, refusal Refusal) {
			to.relaysInFlight--
			ended.Result, ended.HelperLoad = Answered, to.relaysInFlight
			if !served {
				ended.Result, ended.Declined = Declined, refusal
			}
			c.answerBytes = relayed.answerBytes
			back(skewHeadBytes + c.answerBytes)
		}
		to.relaysInFlight++
		f.receive(to, 0, skewHeadBytes+c.class.request, skewCallWork, func() {
			f.deliver(to, &CallArrived{Owner: relayed, Host: []byte(c.class.host), Path: []byte("/"), Deadline: x.Deadline.Sub(f.now), Relayed: &description})
		})
	})
}

// anyBox returns a random box of a failure domain that accepts connections.
func (f *skewFleet) anyBox(domain units.Domain) *skewBox {
	return f.randomBox(func(b *skewBox) bool { return b.domain == domain })
}

// randomBox returns a random box that accepts connections and fits; nil if none does.
func (f *skewFleet) randomBox(fits func(b *skewBox) bool) *skewBox {
	var fitting []*skewBox
	for _, b := range f.boxes {
		if !b.down && f.now >= b.frozenUntil && fits(b) {
			fitting = append(fitting, b)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	return fitting[f.random.IntN(len(fitting))]
}

// skewToHot is the share of new connections that go to the box that gets most of them.
const skewToHot = 0.9

// connect returns the box that a new connection of a caller goes to.
func (f *skewFleet) connect(domain units.Domain) *skewBox {
	if len(f.hot) == 0 || f.hotDomain != "" && f.hotDomain != domain || f.random.Float64() >= skewToHot {
		return f.anyBox(domain)
	}
	i := 0
	if f.hotEvery > 0 {
		i = int(f.now.Sub(f.hotAt) / f.hotEvery)
	}
	if b := f.hot[i%len(f.hot)]; !b.down && f.now >= b.frozenUntil {
		return b
	}
	return f.anyBox(domain)
}

// callSteadily makes calls at random times.
func (f *skewFleet) callSteadily() {
	gap := time.Duration(f.random.ExpFloat64() * float64(time.Second) / f.perSecond)
	f.after(gap, func() {
		f.callerCalls()
		f.callSteadily()
	})
}

// callerCalls makes one call. Half of the callers keep their connections, which they close after every
// second call while most go to one box, or if the box asks for it.
func (f *skewFleet) callerCalls() {
	x := f.clients[f.random.IntN(len(f.clients))]
	keeps := f.random.Float64() < 0.5
	box, isNew := x.box, !keeps || x.box == nil || x.box.down
	if isNew {
		box = f.connect(x.domain)
	} else if len(f.hot) > 0 && f.random.Float64() < 0.5 || !box.machine.keepsConnections(f.now) {
		x.box = nil
	}
	c := &skewCall{class: f.drawClass(), first: true, client: x.domain, arrived: f.now}
	c.patience = c.class.patience
	f.calls = append(f.calls, c)
	switch {
	case !isNew:
		f.admit(box)
		f.callOnOpenConnection(box, c)
	case keeps:
		f.callOnNewConnection(box, c, x)
	default:
		f.callOnNewConnection(box, c, nil)
	}
}

func (f *skewFleet) drawClass() *skewClass {
	total := 0.0
	for i := range skewClasses {
		total += skewClasses[i].share
	}
	x := f.random.Float64() * total
	for i := range skewClasses {
		if x -= skewClasses[i].share; x < 0 {
			return &skewClasses[i]
		}
	}
	return &skewClasses[0]
}

// callOnNewConnection makes a call at a box, or at another one if that refuses the connection. keeper is the
// caller that keeps the connection, if any.
func (f *skewFleet) callOnNewConnection(b *skewBox, c *skewCall, keeper *skewClient) {
	if !b.machine.isLimited() {
		if keeper != nil {
			keeper.box = b
		}
		f.callOnOpenConnection(b, c)
		return
	}
	f.connectAndCall(b, c, keeper, maxSkewTries)
}

// inAim reports whether the caller had its answer within the latency objective.
func (c *skewCall) inAim() bool {
	return c.served && c.ended.Sub(c.arrived)+skewClientTrip <= c.class.objective
}

// isLost reports whether the call's box was killed while it had the call.
func (c *skewCall) isLost() bool { return c.incarnation != c.box.incarnation }
