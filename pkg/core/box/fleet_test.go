package box

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// exposureTime is the duration of the leader's leases and exposures.
	exposureTime   = time.Second
	renewInterval  = 400 * time.Millisecond
	replicaTimeout = 850 * time.Millisecond
	oldTargets     = 40
	newTargets     = 40
	oldSoftware    = units.SoftwareVersion("v1")
	newSoftware    = units.SoftwareVersion("v2")
	testService    = units.ServiceName("s")
)

// testFailer is the part of testing.T and rapid.T that ends a test.
type testFailer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// fleet simulates many boxes, a leader and the targets of a service in two versions, in virtual time.
type fleet struct {
	t      testFailer
	random *rand.Rand
	now    units.Instant
	events *container.Heap[scheduledEvent]
	boxes  []*member
	leader leader
	// lossRate is the fraction of messages that are lost, delayRate the fraction delayed by up to 3 s.
	lossRate, delayRate float64
	// failureRate is the fraction of the new version's answers that fail.
	failureRate float64
	// calls counts the calls that arrived, newSends the sends to the new version; lastNewSend is the
	// time of the last of these.
	calls, newSends int
	lastNewSend     units.Instant
}

// member is one box of a fleet.
type member struct {
	core    *Box
	index   int
	start   uint64
	effects Effects
	// inFlight are the attempts in flight at the old version.
	inFlight map[attemptKey]bool
	// drainedStage is the revision of the stage for which the box has reported that nothing is in
	// flight at the old version.
	drainedStage units.Revision
	// frozenUntil is when a suspended box resumes, disconnectedAt when its messages stop.
	frozenUntil, disconnectedAt units.Instant
}

type attemptKey struct {
	call   routing.CallID
	number routing.AttemptNumber
}

// scheduledEvent is an action at a virtual time.
type scheduledEvent struct {
	at units.Instant
	do func()
}

func newFleet(t testFailer, boxes int, seed uint64) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: units.Instant(time.Second),
		events: container.NewHeap(func(a, b scheduledEvent) bool { return a.at < b.at }),
	}
	f.leader = leader{f: f}
	f.leader.setUpTable(boxes)
	for i := range boxes {
		m := &member{index: i, disconnectedAt: units.Instant(time.Hour)}
		f.boxes = append(f.boxes, m)
		f.start(m)
		f.keepCalling(m)
	}
	return f
}

func boxName(i int) units.BoxID { return units.BoxID(fmt.Sprintf("b%03d", i)) }

// start starts or restarts a box.
func (f *fleet) start(m *member) {
	m.start++
	m.drainedStage = 0
	m.inFlight = map[attemptKey]bool{}
	core, err := NewBox(subscription.Settings{
		Box: table.Box{ID: boxName(m.index)}, Replicas: []units.ReplicaID{"r1", "r2"}, RenewInterval: renewInterval, ReplicaTimeout: replicaTimeout,
		Start: m.start, Seed: f.random.Uint64(),
	}, routing.Settings{
		Box: boxName(m.index), Seed: f.random.Uint64(), ServeStale: m.index%2 == 0, ShareDelay: time.Second,
		AssumedColdPeriod: routing.DefaultAssumedColdPeriod, ProbeCost: routing.DefaultProbeCost, MaxDeadline: time.Minute,
	}, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	m.core = core
	f.keepTicking(m, m.start)
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.events.Push(scheduledEvent{at: f.now.Add(d), do: do})
}

// run advances the virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for {
		x, ok := f.events.Peek()
		if !ok || x.at > end {
			break
		}
		f.events.Pop()
		f.now = max(f.now, x.at)
		x.do()
	}
	f.now = end
}

// keepTicking sends a box its ticks until it is restarted.
func (f *fleet) keepTicking(m *member, start uint64) {
	if m.start != start {
		return
	}
	f.deliver(m, Tick{})
	f.schedule(max(10*time.Millisecond, m.core.NextWake().Sub(f.now)), func() { f.keepTicking(m, start) })
}

// keepCalling sends a box 8 calls a second on average.
func (f *fleet) keepCalling(m *member) {
	f.schedule(time.Duration(f.random.ExpFloat64()*float64(125*time.Millisecond)), func() {
		f.calls++
		f.deliver(m, &routing.CallArrived{Owner: m, Host: []byte(testService), Path: []byte("/"), Deadline: time.Second})
		f.keepCalling(m)
	})
}

// deliver sends a box an event, or schedules it for when a suspended box resumes. Events from the
// time of the suspension are then processed in any order.
func (f *fleet) deliver(m *member, e Event) {
	if f.now < m.frozenUntil {
		start := m.start
		wait := m.frozenUntil.Sub(f.now) + time.Duration(f.random.Int64N(int64(5*time.Millisecond)))
		f.schedule(wait, func() {
			if m.start == start {
				f.deliver(m, e)
			}
		})
		return
	}
	if x, ended := e.(*routing.AttemptEnded); ended {
		delete(m.inFlight, attemptKey{x.Call, x.Attempt})
	}
	m.effects.Reset()
	m.core.Reduce(f.now, e, &m.effects)
	f.applyEffects(m)
}

func (f *fleet) applyEffects(m *member) {
	routed, sends, attach := m.effects.Routing.List, m.effects.Subscription.Sends, m.effects.Subscription
	m.effects = Effects{}
	before := len(m.inFlight)
	for _, x := range routed {
		switch x.Kind {
		case routing.Send:
			f.answer(m, x)
		case routing.Cancel:
			delete(m.inFlight, attemptKey{x.Call, x.Attempt})
		}
	}
	for _, s := range sends {
		f.checkReportedInFlight(m, s.GetRenewRequest(), before)
		f.transmit(m, func() { f.leader.receive(m, s) })
	}
	if attach.Attach {
		f.transmit(m, func() { f.leader.attach(m, attach.Attachment, attach.Replicas[0]) })
	}
}

// checkReportedInFlight checks the reported number of calls in flight at the old version. It must
// never be too low, and may be too high only if the same event canceled some after the request was
// made.
func (f *fleet) checkReportedInFlight(m *member, x *wire.RenewRequest, before int) {
	reported := 0
	for _, v := range x.Evidence {
		if units.SoftwareVersion(v.Software) == oldSoftware {
			reported += int(v.UnderWay)
		}
	}
	if len(x.Evidence) > 0 && reported != len(m.inFlight) && (reported != before || reported < len(m.inFlight)) {
		f.t.Fatalf("box %d reports %d calls in flight at the old version, there are %d", m.index, reported, len(m.inFlight))
	}
}

// transmit delivers a message between a box and its replica; some are late and some are lost.
func (f *fleet) transmit(m *member, do func()) {
	start := m.start
	if f.random.Float64() < f.lossRate || f.now >= m.disconnectedAt {
		return
	}
	delay := time.Duration(f.random.Int64N(int64(10 * time.Millisecond)))
	if f.random.Float64() < f.delayRate {
		delay = time.Duration(f.random.Int64N(int64(3 * time.Second)))
	}
	f.schedule(delay, func() {
		if m.start == start {
			do()
		}
	})
}

// answer ends an attempt after a random time and counts the sends to the new version.
func (f *fleet) answer(m *member, x routing.Effect) {
	result := routing.Answered
	if x.Endpoint.Target[0] == 'o' {
		f.leader.checkOldSend(m)
		m.inFlight[attemptKey{x.Call, x.Attempt}] = true
	}
	if x.Endpoint.Target[0] == 'n' {
		f.newSends++
		f.lastNewSend = f.now
		f.leader.checkNewSend(m, x.Attempt)
		if f.random.Float64() < f.failureRate {
			result = routing.Failed
		}
	}
	start := m.start
	f.schedule(time.Duration(20+f.random.IntN(60))*time.Millisecond, func() {
		if m.start == start {
			f.deliver(m, &routing.AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: result})
		}
	})
}

// leader replaces the control replicas: it grants leases and exposures and collects evidence, by which runStage
// rolls back at 50 failures.
type leader struct {
	f     *fleet
	table *table.Table
	// down is set while the leader doesn't answer, withholdsExposures while it grants leases without
	// exposures.
	down, withholdsExposures bool
	// stageStartedAt is when the current stage started, rolledBackAt when the rollout was rolled back.
	stageStartedAt, rolledBackAt units.Instant
	// failuresByProcess are the new version's failures that each process of a box has reported.
	failuresByProcess map[string]uint64
}

func (l *leader) setUpTable(boxes int) {
	t := table.NewTable()
	t.Revision = 1
	entry := &table.Entry{Version: 1, Service: table.Service{
		Name: testService, Work: table.Repeatable, Hosts: []string{string(testService)}, Deadline: time.Second, HoldCount: 10,
	}}
	add := func(prefix string, n int, v units.SoftwareVersion) {
		for i := range n {
			entry.Rows = entry.Rows.With(table.Row{
				Service: testService, Target: units.TargetID(fmt.Sprintf("%s%02d", prefix, i)), Address: "127.0.0.1:1", Weight: 100,
				State: table.Active, Registered: true, Slots: 3, Software: v,
			})
		}
	}
	add("n", newTargets, newSoftware)
	add("o", oldTargets, oldSoftware)
	t.Services[testService] = entry
	for i := range boxes {
		t.Boxes = append(t.Boxes, table.Box{ID: boxName(i)})
	}
	t.InForce = []table.SoftwareInForce{{Service: testService, Software: oldSoftware}}
	l.table, l.failuresByProcess = t, map[string]uint64{}
}

func (l *leader) rollout() *table.Rollout { return l.table.Rollout(testService) }

// startStage starts a stage and pushes the change to all boxes.
func (l *leader) startStage(stage table.RolloutStage, share units.Percent, targets int) {
	x := table.Rollout{Service: testService, From: oldSoftware, To: newSoftware, Stage: stage, Share: share, Order: l.table.Revision + 1}
	if before := l.rollout(); before.Active() {
		x.Order = before.Order
	}
	x.Since = l.table.Revision + 1
	for i := range targets {
		x.Targets = append(x.Targets, units.TargetID(fmt.Sprintf("n%02d", i)))
	}
	d := &table.Delta{From: l.table.Revision, Revision: x.Since, Rollouts: []table.Rollout{x}}
	next, ok := l.table.Patch(d)
	if !ok {
		l.f.t.Fatal("the leader's own delta doesn't follow")
	}
	l.table, l.stageStartedAt = next, l.f.now
	if stage == table.RolloutRolledBack {
		l.rolledBackAt = l.f.now
	}
	for _, m := range l.f.boxes {
		l.push(m, &wire.Envelope{Body: &wire.Envelope_DeltaBatch{DeltaBatch: &wire.DeltaBatch{Deltas: []*wire.Delta{wire.FromDelta(d)}}}})
	}
}

func (l *leader) push(m *member, x *wire.Envelope) {
	l.f.transmit(m, func() { l.f.deliver(m, subscription.Received{Attachment: m.attachment(), Envelope: x}) })
}

func (m *member) attachment() subscription.Attachment { return m.core.Subscription().Attachment() }

func (l *leader) attach(m *member, a subscription.Attachment, to units.ReplicaID) {
	l.f.deliver(m, subscription.Attached{Attachment: a, Replica: to})
	l.push(m, &wire.Envelope{Body: &wire.Envelope_Table{Table: wire.FromTable(l.table)}})
}

// receive answers a lease request and records the failures that it reports.
func (l *leader) receive(m *member, x *wire.Envelope) {
	if l.down {
		return
	}
	request := x.GetRenewRequest()
	for _, v := range wire.ToEvidence(request.Evidence) {
		if v.Software == newSoftware {
			l.failuresByProcess[fmt.Sprintf("%d/%d", m.index, request.Start)] = v.Failures
		}
	}
	l.recordDrained(m, request)
	response := &wire.RenewResponse{
		Box: request.Box.Id, Nonce: request.Nonce, Start: request.Start, Revision: uint64(l.table.Revision), Duration: int64(exposureTime),
	}
	if v := l.rollout(); v.Active() && !l.withholdsExposures {
		response.Exposures = []*wire.Exposure{{
			Service: string(testService), Order: uint64(v.Order), Since: uint64(v.Since), Share: float64(v.Share), Duration: int64(exposureTime),
		}}
	}
	l.push(m, &wire.Envelope{Body: &wire.Envelope_RenewResponse{RenewResponse: response}})
}

func (l *leader) knownFailures() uint64 {
	sum := uint64(0)
	for _, n := range l.failuresByProcess {
		sum += n
	}
	return sum
}

// checkNewSend fails the test if a box sends the new version a call after the last grant that
// the leader can have given has expired, without a rollout in its table, or as a retry during a trial.
func (l *leader) checkNewSend(m *member, n routing.AttemptNumber) {
	if l.rolledBackAt != 0 && l.f.now >= l.rolledBackAt.Add(exposureTime) {
		l.f.t.Fatalf("box %d sent the new version a call %s after the rollback", m.index, l.f.now.Sub(l.rolledBackAt))
	}
	v := m.core.Subscription().Table().Rollout(testService)
	if !v.Active() {
		l.f.t.Fatalf("box %d sent the new version a call without a rollout in its table", m.index)
	}
	if n > 1 && v.Stage == table.RolloutTrial {
		l.f.t.Fatalf("box %d retried a call at the new version", m.index)
	}
}

// recordDrained records a box that knows of the shift and has nothing in flight at the old version.
func (l *leader) recordDrained(m *member, request *wire.RenewRequest) {
	v := l.rollout()
	if v == nil || v.Stage != table.RolloutShifted || request.Revision < uint64(v.Since) {
		return
	}
	for _, x := range request.Evidence {
		if units.SoftwareVersion(x.Software) == oldSoftware && x.UnderWay > 0 {
			return
		}
	}
	m.drainedStage = v.Since
}

// checkOldSend fails the test if a drained box that holds a lease sends the old version a call.
func (l *leader) checkOldSend(m *member) {
	if m.drainedStage != 0 && l.f.now < m.core.Subscription().LeaseUntil() {
		l.f.t.Fatalf("box %d sent the old version a call after it had reported none in flight", m.index)
	}
}
