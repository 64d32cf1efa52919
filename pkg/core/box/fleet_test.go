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
	// exposureTime is how long the leader's leases and exposures last.
	exposureTime = time.Second
	renewEvery   = 400 * time.Millisecond
	silence      = 850 * time.Millisecond
	oldTargets   = 40
	newTargets   = 40
	oldSoftware  = units.SoftwareVersion("v1")
	newSoftware  = units.SoftwareVersion("v2")
	theService   = units.ServiceName("s")
)

// failer is what ends a test: of the testing package, or of rapid.
type failer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// fleet is many boxes, a leader and the targets of a service in two versions, in virtual time.
type fleet struct {
	t      failer
	random *rand.Rand
	now    units.Instant
	events *container.Heap[happening]
	boxes  []*member
	leader leader
	// loss is the part of messages that are lost, late the part that take up to 3 s.
	loss, late float64
	// bad is the part of the new version's answers that fail.
	bad float64
	// calls counts those that arrived, newSends the sends to the new version, lastNew when the
	// last of them was sent.
	calls, newSends int
	lastNew         units.Instant
}

// member is one box of a fleet.
type member struct {
	core    *Box
	index   int
	start   uint64
	effects Effects
	// open are the attempts under way at the old version.
	open map[attemptKey]bool
	// drainedAt is the stage for which the box has told that nothing is under way at the old
	// version, by its revision.
	drainedAt units.Revision
	// frozenUntil is when a box that stands still wakes, cutFrom when its messages end.
	frozenUntil, cutFrom units.Instant
}

type attemptKey struct {
	call   routing.CallID
	number routing.AttemptNumber
}

// happening is what happens at a time.
type happening struct {
	at units.Instant
	do func()
}

func newFleet(t failer, boxes int, seed uint64) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: units.Instant(time.Second),
		events: container.NewHeap(func(a, b happening) bool { return a.at < b.at }),
	}
	f.leader = leader{f: f}
	f.leader.begin(boxes)
	for i := range boxes {
		m := &member{index: i, cutFrom: units.Instant(time.Hour)}
		f.boxes = append(f.boxes, m)
		f.start(m)
		f.keepCalling(m)
	}
	return f
}

func boxName(i int) units.BoxID { return units.BoxID(fmt.Sprintf("b%03d", i)) }

// start starts a box, anew where it ran before.
func (f *fleet) start(m *member) {
	m.start++
	m.drainedAt = 0
	m.open = map[attemptKey]bool{}
	core, err := NewBox(subscription.Settings{
		Box: table.Box{ID: boxName(m.index)}, Replicas: []units.ReplicaID{"r1", "r2"}, RenewEvery: renewEvery, Silence: silence,
		Start: m.start, Seed: f.random.Uint64(),
	}, routing.Settings{
		Box: boxName(m.index), Seed: f.random.Uint64(), ServeStale: m.index%2 == 0, ShareDelay: time.Second,
		ColdDoubt: routing.DefaultColdDoubt, ProbeCost: routing.DefaultProbeCost, MaxDeadline: time.Minute,
	}, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	m.core = core
	f.keepTicking(m, m.start)
}

func (f *fleet) after(d time.Duration, do func()) { f.events.Push(happening{at: f.now.Add(d), do: do}) }

// run lets time pass.
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

// keepTicking wakes a box until it is started anew.
func (f *fleet) keepTicking(m *member, start uint64) {
	if m.start != start {
		return
	}
	f.give(m, Tick{})
	f.after(max(10*time.Millisecond, m.core.NextWake().Sub(f.now)), func() { f.keepTicking(m, start) })
}

// keepCalling brings a box 8 calls a second.
func (f *fleet) keepCalling(m *member) {
	f.after(time.Duration(f.random.ExpFloat64()*float64(125*time.Millisecond)), func() {
		f.calls++
		f.give(m, &routing.CallArrived{Owner: m, Host: []byte(theService), Path: []byte("/"), Deadline: time.Second})
		f.keepCalling(m)
	})
}

// give gives a box an event, or once it wakes where it stands still: what came meanwhile is
// then read in any order.
func (f *fleet) give(m *member, e Event) {
	if f.now < m.frozenUntil {
		start := m.start
		wait := m.frozenUntil.Sub(f.now) + time.Duration(f.random.Int64N(int64(5*time.Millisecond)))
		f.after(wait, func() {
			if m.start == start {
				f.give(m, e)
			}
		})
		return
	}
	if x, ended := e.(*routing.AttemptEnded); ended {
		delete(m.open, attemptKey{x.Call, x.Attempt})
	}
	m.effects.Reset()
	m.core.Reduce(f.now, e, &m.effects)
	f.carryOut(m)
}

func (f *fleet) carryOut(m *member) {
	routed, sends, attach := m.effects.Routing.List, m.effects.Subscription.Sends, m.effects.Subscription
	m.effects = Effects{}
	before := len(m.open)
	for _, x := range routed {
		switch x.Kind {
		case routing.Send:
			f.answer(m, x)
		case routing.Cancel:
			delete(m.open, attemptKey{x.Call, x.Attempt})
		}
	}
	for _, s := range sends {
		f.checkUnderWay(m, s.GetRenewRequest(), before)
		f.post(m, func() { f.leader.receive(m, s) })
	}
	if attach.Attach {
		f.post(m, func() { f.leader.attach(m, attach.Attachment, attach.Replicas[0]) })
	}
}

// checkUnderWay checks what a request tells of the old version's calls: too few never, and too
// many only if it was made before the same event canceled some.
func (f *fleet) checkUnderWay(m *member, x *wire.RenewRequest, before int) {
	told := 0
	for _, v := range x.Evidence {
		if units.SoftwareVersion(v.Software) == oldSoftware {
			told += int(v.UnderWay)
		}
	}
	if len(x.Evidence) > 0 && told != len(m.open) && (told != before || told < len(m.open)) {
		f.t.Fatalf("box %d tells of %d calls under way at the old version, there are %d", m.index, told, len(m.open))
	}
}

// post delivers a message between a box and its replica, late or never at times.
func (f *fleet) post(m *member, do func()) {
	start := m.start
	if f.random.Float64() < f.loss || f.now >= m.cutFrom {
		return
	}
	delay := time.Duration(f.random.Int64N(int64(10 * time.Millisecond)))
	if f.random.Float64() < f.late {
		delay = time.Duration(f.random.Int64N(int64(3 * time.Second)))
	}
	f.after(delay, func() {
		if m.start == start {
			do()
		}
	})
}

// answer answers an attempt after some time, and counts it where it went.
func (f *fleet) answer(m *member, x routing.Effect) {
	result := routing.Answered
	if x.Endpoint.Target[0] == 'o' {
		f.leader.checkOldSend(m)
		m.open[attemptKey{x.Call, x.Attempt}] = true
	}
	if x.Endpoint.Target[0] == 'n' {
		f.newSends++
		f.lastNew = f.now
		f.leader.checkSend(m, x.Attempt)
		if f.random.Float64() < f.bad {
			result = routing.Failed
		}
	}
	start := m.start
	f.after(time.Duration(20+f.random.IntN(60))*time.Millisecond, func() {
		if m.start == start {
			f.give(m, &routing.AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: result})
		}
	})
}

// leader is the control side: it grants exposures, and rolls back at 50 bad answers.
type leader struct {
	f     *fleet
	table *table.Table
	// down is set while no leader answers, withholds while it grants leases without exposures.
	down, withholds bool
	// stageSince is when the present stage began, endedAt when the rollout was rolled back.
	stageSince, endedAt units.Instant
	// seen are the bad answers of the new version that each run of a box has told of.
	seen map[string]uint64
}

func (l *leader) begin(boxes int) {
	t := table.NewTable()
	t.Revision = 1
	entry := &table.Entry{Version: 1, Service: table.Service{
		Name: theService, Work: table.Repeatable, Hosts: []string{string(theService)}, Deadline: time.Second, HoldCount: 10,
	}}
	add := func(prefix string, n int, v units.SoftwareVersion) {
		for i := range n {
			entry.Rows = entry.Rows.With(table.Row{
				Service: theService, Target: units.TargetID(fmt.Sprintf("%s%02d", prefix, i)), Address: "127.0.0.1:1", Weight: 100,
				State: table.Active, Registered: true, Slots: 3, Software: v,
			})
		}
	}
	add("n", newTargets, newSoftware)
	add("o", oldTargets, oldSoftware)
	t.Services[theService] = entry
	for i := range boxes {
		t.Boxes = append(t.Boxes, table.Box{ID: boxName(i)})
	}
	t.InForce = []table.SoftwareInForce{{Service: theService, Software: oldSoftware}}
	l.table, l.seen = t, map[string]uint64{}
}

func (l *leader) record() *table.Rollout { return l.table.Rollout(theService) }

// step puts a stage in force and pushes the change to all boxes.
func (l *leader) step(stage table.RolloutStage, share units.Percent, targets int) {
	x := table.Rollout{Service: theService, From: oldSoftware, To: newSoftware, Stage: stage, Share: share, Order: l.table.Revision + 1}
	if before := l.record(); before.Active() {
		x.Order = before.Order
	}
	x.Since = l.table.Revision + 1
	for i := range targets {
		x.Targets = append(x.Targets, units.TargetID(fmt.Sprintf("n%02d", i)))
	}
	d := &table.Delta{From: l.table.Revision, Revision: x.Since, Rollouts: []table.Rollout{x}}
	next, ok := l.table.Patch(d)
	if !ok {
		l.f.t.Fatal("the leader's own change doesn't follow")
	}
	l.table, l.stageSince = next, l.f.now
	if stage == table.RolloutRolledBack {
		l.endedAt = l.f.now
	}
	for _, m := range l.f.boxes {
		l.push(m, &wire.Envelope{Body: &wire.Envelope_DeltaBatch{DeltaBatch: &wire.DeltaBatch{Deltas: []*wire.Delta{wire.FromDelta(d)}}}})
	}
}

func (l *leader) push(m *member, x *wire.Envelope) {
	l.f.post(m, func() { l.f.give(m, subscription.Received{Attachment: m.attachment(), Envelope: x}) })
}

func (m *member) attachment() subscription.Attachment { return m.core.Subscription().Attachment() }

func (l *leader) attach(m *member, a subscription.Attachment, to units.ReplicaID) {
	l.f.give(m, subscription.Attached{Attachment: a, Replica: to})
	l.push(m, &wire.Envelope{Body: &wire.Envelope_Table{Table: wire.FromTable(l.table)}})
}

// receive answers a request for a lease, and rolls back once it knows of 50 bad answers.
func (l *leader) receive(m *member, x *wire.Envelope) {
	if l.down {
		return
	}
	request := x.GetRenewRequest()
	for _, v := range wire.ToEvidence(request.Evidence) {
		if v.Software == newSoftware {
			l.seen[fmt.Sprintf("%d/%d", m.index, request.Start)] = v.Failures
		}
	}
	l.noteDrained(m, request)
	response := &wire.RenewResponse{
		Box: request.Box.Id, Nonce: request.Nonce, Start: request.Start, Revision: uint64(l.table.Revision), Duration: int64(exposureTime),
	}
	if v := l.record(); v.Active() && !l.withholds {
		response.Exposures = []*wire.Exposure{{
			Service: string(theService), Order: uint64(v.Order), Since: uint64(v.Since), Share: float64(v.Share), Duration: int64(exposureTime),
		}}
	}
	l.push(m, &wire.Envelope{Body: &wire.Envelope_RenewResponse{RenewResponse: response}})
}

func (l *leader) knownBad() uint64 {
	sum := uint64(0)
	for _, n := range l.seen {
		sum += n
	}
	return sum
}

// checkSend checks a send to the new version: nobody may send any when the last grant has run
// out that the leader can have given, without a rollout in its table, or after a failure on
// trial.
func (l *leader) checkSend(m *member, n routing.AttemptNumber) {
	if l.endedAt != 0 && l.f.now >= l.endedAt.Add(exposureTime) {
		l.f.t.Fatalf("box %d sent the new version a call %s after the rollback", m.index, l.f.now.Sub(l.endedAt))
	}
	v := m.core.Subscription().Table().Rollout(theService)
	if !v.Active() {
		l.f.t.Fatalf("box %d sent the new version a call without a rollout in its table", m.index)
	}
	if n > 1 && v.Stage == table.RolloutTrial {
		l.f.t.Fatalf("box %d sent the new version a call again", m.index)
	}
}

// noteDrained notes a box that knows of the shift and has nothing under way at the old version.
func (l *leader) noteDrained(m *member, request *wire.RenewRequest) {
	v := l.record()
	if v == nil || v.Stage != table.RolloutShifted || request.Revision < uint64(v.Since) {
		return
	}
	for _, x := range request.Evidence {
		if units.SoftwareVersion(x.Software) == oldSoftware && x.UnderWay > 0 {
			return
		}
	}
	m.drainedAt = v.Since
}

// checkOldSend checks a send to the old version: none may come from a box with a link that was
// drained.
func (l *leader) checkOldSend(m *member) {
	if m.drainedAt != 0 && l.f.now < m.core.Subscription().LeaseUntil() {
		l.f.t.Fatalf("box %d sent the old version a call after it had told that none was under way", m.index)
	}
}
