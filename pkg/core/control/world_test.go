package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// world is a simulated cluster: it runs the real cores of replicas and boxes in virtual time, over
// a network that loses, duplicates, delays and reorders messages, and with disks that lose what
// wasn't synced. It checks the cluster's invariants after every event.
type world struct {
	t        fataler
	random   *rand.Rand
	now      units.Instant
	events   *container.Heap[event]
	sequence int
	replicas []*fakeReplica
	boxes    []*fakeBox
	// boxRate is the rate of a box's link in bytes per second; zero for no limit.
	boxRate float64
	// updates counts the messages to boxes that change their table.
	updates       int
	lossRate      float64
	duplicateRate float64
	settings      Settings
	// electionTimeout is the replicas' election timeout; they send heartbeats at a fifth of it.
	electionTimeout time.Duration
	// snapshotTime is added to the delivery of each snapshot.
	snapshotTime time.Duration
	// renewInterval and replicaTimeout are the settings RenewInterval and ReplicaTimeout of the boxes.
	renewInterval, replicaTimeout time.Duration

	answers  map[units.EditID]table.Result
	accepted map[units.Revision]acceptedEdit
	// tablesByRevision holds the table of each revision as the first replica or box showed it.
	tablesByRevision map[units.Revision]*table.Table
	leaders          map[units.Term]units.ReplicaID
	requests         RequestID

	// growth is set for a cluster that forms from seeds and grows by itself.
	growth *replication.Growth
	seeds  int
	// gone are replicas that won't return; the settings name others as seeds.
	gone   []*fakeReplica
	orders acknowledgedOrders
	// traffic is set if the boxes send calls.
	traffic *traffic
	// crashReporters hold the crashes that boxes have noted.
	crashReporters crashReporters
}

type fataler interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

type acceptedEdit struct {
	id units.EditID
	at units.Instant
}

type event struct {
	at       units.Instant
	sequence int
	run      func()
}

// fakeReplica is a replica's core with a simulated disk.
type fakeReplica struct {
	id          units.ReplicaID
	core        *Replica
	disk        replication.DurableState
	pending     []*replication.Write
	incarnation int
	boot        uint64
	generation  int
	up          bool
	frozen      bool
	// syncing is set while a sync is in progress.
	syncing bool
	// extraSync is added to each sync of its disk.
	extraSync time.Duration
	// stalled is set while the disk completes no writes.
	stalled    bool
	heldEvents []func()
	// partition is the side of a network partition that this process is on.
	partition int
	halted    error
}

type fakeBox struct {
	id         units.BoxID
	core       *subscription.Subscription
	generation int
	up         bool
	partition  int
	attachment subscription.Attachment
	replica    units.ReplicaID
	// linkFreeAt is when the last message on its connection has been transferred.
	linkFreeAt units.Instant
	// highestRevision is the last revision that the box had in force, across its restarts.
	highestRevision units.Revision
}

const (
	testLease    = 400 * time.Millisecond
	testElection = 100 * time.Millisecond
)

func newWorld(t fataler, seed uint64, replicas, boxes int) *world {
	w := emptyWorld(t, seed, replicas, boxes)
	for _, r := range w.replicas {
		w.startReplica(r)
	}
	w.form()
	for _, b := range w.boxes {
		w.startBox(b)
	}
	return w
}

// emptyWorld returns a world whose processes haven't started yet.
func emptyWorld(t fataler, seed uint64, replicas, boxes int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), now: units.Instant(time.Second),
		events:           container.NewHeap(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }),
		answers:          map[units.EditID]table.Result{},
		accepted:         map[units.Revision]acceptedEdit{},
		tablesByRevision: map[units.Revision]*table.Table{},
		leaders:          map[units.Term]units.ReplicaID{},
		electionTimeout:  testElection,
		renewInterval:    50 * time.Millisecond, replicaTimeout: 150 * time.Millisecond,
		settings: Settings{
			Lease: testLease, LeaseMargin: 100 * time.Millisecond, EditTimeout: time.Second,
			SnapshotEvery: 20, KeepEntries: 5, ReadTimeout: 300 * time.Millisecond, SilentAfter: time.Second,
			Rollouts: RolloutSettings{Enabled: true, Limits: rollout.Limits{Share: 0.1, Slack: 50}},
		},
	}
	for i := range replicas {
		w.replicas = append(w.replicas, &fakeReplica{id: replicaName(i)})
	}
	for i := range boxes {
		w.boxes = append(w.boxes, &fakeBox{id: units.BoxID(fmt.Sprintf("b%d", i))})
	}
	w.orders = newAcknowledgedOrders()
	return w
}

func replicaName(i int) units.ReplicaID { return units.ReplicaID(fmt.Sprintf("r%d", i)) }

// form forms the cluster from all replicas.
func (w *world) form() {
	w.run(500 * time.Millisecond)
	w.order(w.replicas[0], func(id RequestID) Event { return FormRequested{Request: id, Cluster: "test"} }, func(a Answer) {
		if a.Err != nil {
			w.t.Fatalf("the cluster didn't form: %v", a.Err)
		}
	})
	w.run(time.Second)
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	w.events.Push(event{at: w.now.Add(d), sequence: w.sequence, run: run})
}

// run advances virtual time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		e, ok := w.events.Peek()
		if !ok || e.at > end {
			break
		}
		w.events.Pop()
		w.now = e.at
		e.run()
		w.check()
	}
	w.now = end
}

func (w *world) startReplica(r *fakeReplica) {
	r.boot++
	r.generation++
	r.up, r.frozen, r.halted = true, false, nil
	s := w.settings
	s.Replication = replication.Settings{
		ID: r.id, Incarnation: units.Incarnation(fmt.Sprintf("%s.%d", r.id, r.incarnation)), Boot: r.boot,
		ElectionTimeout: w.electionTimeout, Heartbeat: w.electionTimeout / 5, Seed: w.random.Uint64(),
	}
	for _, o := range w.replicas {
		if o != r && (w.growth == nil || w.isSeed(o)) {
			s.Replication.Peers = append(s.Replication.Peers, o.id)
		}
	}
	w.setGrowth(r, &s.Replication)
	core, err := NewReplica(s, copyDurable(&r.disk), w.now)
	if err != nil {
		w.t.Fatalf("%s can't start: %v", r.id, err)
	}
	r.core = core
	w.tickReplica(r, r.generation)
}

func copyDurable(d *replication.DurableState) *replication.DurableState {
	c := &replication.DurableState{Entries: append([]*wire.Entry(nil), d.Entries...), Snapshot: d.Snapshot}
	c.HardState.Term, c.HardState.Vote = d.HardState.Term, d.HardState.Vote
	return c
}

func (w *world) tickReplica(r *fakeReplica, generation int) {
	if !r.up || r.generation != generation {
		return
	}
	w.deliver(r, Tick{})
	wait := max(r.core.NextWake().Sub(w.now), time.Millisecond)
	w.after(wait, func() { w.tickReplica(r, generation) })
}

// deliver has a replica's core handle an event; a frozen replica handles it when it is unfrozen.
func (w *world) deliver(r *fakeReplica, e Event) {
	if !r.up || r.halted != nil {
		return
	}
	if r.frozen {
		r.heldEvents = append(r.heldEvents, func() { w.deliver(r, e) })
		return
	}
	var effects Effects
	r.core.Reduce(w.now, units.WallTime(w.now/1e6), e, &effects)
	w.applyEffects(r, &effects)
}

func (w *world) applyEffects(r *fakeReplica, e *Effects) {
	if e.Halt != nil {
		r.halted = e.Halt
		return
	}
	r.pending = append(r.pending, e.Writes...)
	if len(e.Writes) > 0 {
		w.scheduleSync(r)
	}
	for _, m := range e.PeerSends {
		w.sendPeer(r, m)
	}
	for _, s := range e.BoxSends {
		w.sendBox(r, s)
	}
	for _, a := range e.Answers {
		w.dispatchAnswer(a)
	}
	if e.TableChanged {
		w.checkReplicaTable(r)
	}
}

// scheduleSync syncs all pending writes at once, unless a sync is in progress.
func (w *world) scheduleSync(r *fakeReplica) {
	if r.syncing || len(r.pending) == 0 {
		return
	}
	r.syncing = true
	generation := r.generation
	last := r.pending[len(r.pending)-1].Sequence
	w.after(r.extraSync+w.syncTime(), func() {
		if r.generation != generation || !r.up {
			return
		}
		r.syncing = false
		if r.stalled {
			return
		}
		for len(r.pending) > 0 && r.pending[0].Sequence <= last {
			applyWrite(&r.disk, r.pending[0])
			r.pending = r.pending[1:]
		}
		w.deliver(r, DiskSynced{Sequence: last})
		w.scheduleSync(r)
	})
}

// syncTime returns how long a sync takes: mostly a short time, and sometimes as long as on a busy
// disk.
func (w *world) syncTime() time.Duration {
	if w.random.IntN(10) == 0 {
		return time.Duration(w.random.IntN(40)) * time.Millisecond
	}
	return time.Duration(w.random.IntN(3000)) * time.Microsecond
}

// applyWrite applies a write to a disk, as the store does.
func applyWrite(d *replication.DurableState, x *replication.Write) {
	if x.HardState != nil {
		d.HardState.Term, d.HardState.Vote = x.HardState.Term, x.HardState.Vote
	}
	if x.Snapshot != nil {
		d.Snapshot = x.Snapshot
	}
	if x.ResetLog {
		d.Entries = nil
	}
	keep := func(f func(*wire.Entry) bool) {
		var kept []*wire.Entry
		for _, e := range d.Entries {
			if f(e) {
				kept = append(kept, e)
			}
		}
		d.Entries = kept
	}
	if x.CompactTo > 0 {
		keep(func(e *wire.Entry) bool { return e.Index > uint64(x.CompactTo) })
	}
	if len(x.Entries) > 0 {
		keep(func(e *wire.Entry) bool { return e.Index < x.Entries[0].Index })
		d.Entries = append(d.Entries, x.Entries...)
	}
}

// copyMessage encodes and decodes a message, as the network does.
func (w *world) copyMessage(m *wire.Envelope) *wire.Envelope {
	data, err := proto.Marshal(m)
	if err != nil {
		w.t.Fatalf("a message can't be encoded: %v", err)
	}
	c := &wire.Envelope{}
	if err := proto.Unmarshal(data, c); err != nil {
		w.t.Fatalf("a message can't be decoded: %v", err)
	}
	return c
}

// maxLatency is the longest time that the delivery of a message takes.
const maxLatency = 42 * time.Millisecond

func (w *world) latency() time.Duration {
	d := time.Duration(200+w.random.IntN(1500)) * time.Microsecond
	if w.random.Float64() < 0.02 {
		d += time.Duration(w.random.IntN(40)) * time.Millisecond
	}
	return d
}

// copyCount returns how many copies of a message are delivered.
func (w *world) copyCount() int {
	x := w.random.Float64()
	switch {
	case x < w.lossRate:
		return 0
	case x < w.lossRate+w.duplicateRate:
		return 2
	}
	return 1
}

func (w *world) sendPeer(r *fakeReplica, m *wire.Envelope) {
	to := w.replica(units.ReplicaID(m.To))
	for range w.copyCount() {
		c := w.copyMessage(m)
		latency := w.latency()
		if c.GetSnapshotRequest() != nil {
			latency += w.snapshotTime
		}
		w.after(latency, func() {
			if r.partition == to.partition {
				w.deliver(to, PeerMessage{Envelope: c})
			}
		})
	}
}

func (w *world) replica(id units.ReplicaID) *fakeReplica {
	for _, r := range w.replicas {
		if r.id == id {
			return r
		}
	}
	w.t.Fatalf("there is no replica %s", id)
	return nil
}

// connectionOf returns the id that a box's attachment has on the replica.
func connectionOf(box, generation int, a subscription.Attachment) ConnectionID {
	return ConnectionID(box)<<48 | ConnectionID(generation)<<32 | ConnectionID(a)
}

func (w *world) sendBox(r *fakeReplica, s BoxSend) {
	b := w.boxes[int(s.Connection>>48)]
	generation := int(s.Connection>>32) & 0xffff
	attachment := subscription.Attachment(uint32(s.Connection))
	c := w.copyMessage(s.Envelope)
	if c.GetRenewResponse() == nil {
		w.updates++
	}
	b.linkFreeAt = max(b.linkFreeAt, w.now.Add(w.latency()))
	if w.boxRate > 0 {
		b.linkFreeAt = b.linkFreeAt.Add(time.Duration(float64(proto.Size(c)) / w.boxRate * float64(time.Second)))
	}
	w.after(b.linkFreeAt.Sub(w.now), func() {
		// A connection keeps the order of messages and loses none, but it may be cut.
		if r.partition != b.partition || b.generation != generation {
			return
		}
		w.deliverToBox(b, subscription.Received{Attachment: attachment, Envelope: c})
	})
}

func (w *world) startBox(b *fakeBox) {
	b.generation++
	b.up = true
	b.linkFreeAt = 0
	var ids []units.ReplicaID
	for _, r := range w.replicas {
		if w.growth == nil || w.isSeed(r) {
			ids = append(ids, r.id)
		}
	}
	b.core = subscription.NewSubscription(subscription.Settings{
		Box: table.Box{ID: b.id, Address: "127.0.0.1:1"}, Replicas: ids, RenewInterval: w.renewInterval,
		ReplicaTimeout: w.replicaTimeout, Start: uint64(b.generation), Seed: w.random.Uint64(),
	}, w.now)
	w.tickBox(b, b.generation)
}

func (w *world) tickBox(b *fakeBox, generation int) {
	if b.generation != generation || !b.up {
		return
	}
	w.deliverToBox(b, subscription.Tick{})
	w.after(10*time.Millisecond, func() { w.tickBox(b, generation) })
}

func (w *world) deliverToBox(b *fakeBox, e subscription.Event) {
	if !b.up {
		return
	}
	if w.traffic != nil {
		w.traffic.recordExposures(b, e)
	}
	var effects subscription.Effects
	b.core.Reduce(w.now, e, &effects)
	w.crashReporters.receiveGrant(b, effects.Watched)
	if effects.Attach {
		b.linkFreeAt = 0
		b.attachment = effects.Attachment
		w.connectBox(b, b.generation, &effects)
	}
	for _, m := range effects.Sends {
		w.sendFromBox(b, w.copyMessage(m))
	}
	if effects.Table != nil {
		w.checkTable("box "+string(b.id), effects.Table)
	}
}

// connectBox attaches a box to the first replica of its list that is up and on its side of the
// network.
func (w *world) connectBox(b *fakeBox, generation int, e *subscription.Effects) {
	n, dialled := e.Attachment, e.Replicas
	w.after(w.latency()+w.latency(), func() {
		if b.generation != generation || b.attachment != n {
			return
		}
		for _, id := range dialled {
			if r := w.replica(id); r.up && r.partition == b.partition {
				b.replica = id
				w.deliverToBox(b, subscription.Attached{Attachment: n, Replica: id})
				return
			}
		}
	})
}

func (w *world) sendFromBox(b *fakeBox, m *wire.Envelope) {
	if w.traffic != nil {
		w.traffic.addEvidence(b, m)
	}
	w.crashReporters.addNotes(b, m, w.now)
	r := w.replica(b.replica)
	c := connectionOf(w.boxIndex(b), b.generation, b.attachment)
	w.after(w.latency(), func() {
		if r.partition == b.partition {
			w.deliver(r, BoxMessage{Connection: c, Envelope: m})
		}
	})
}

func (w *world) boxIndex(b *fakeBox) int {
	for i, x := range w.boxes {
		if x == b {
			return i
		}
	}
	return -1
}

// submit sends an edit to a replica; submitting the same edit again resends it.
func (w *world) submit(r *fakeReplica, e *table.Edit) {
	w.order(r, func(id RequestID) Event { return EditSubmitted{Request: id, Edit: e} }, func(a Answer) { w.recordEditAnswer(e.ID, a) })
}

// crash stops a replica; what wasn't synced is lost.
func (w *world) crash(r *fakeReplica) {
	r.up = false
	r.generation++
	r.syncing = false
	r.pending = nil
	r.heldEvents = nil
}

// loseDisk crashes a replica and replaces its disk by an empty one.
func (w *world) loseDisk(r *fakeReplica) {
	w.crash(r)
	r.disk = replication.DurableState{}
	r.incarnation++
	r.boot = 0
}

func (w *world) unfreeze(r *fakeReplica) {
	r.frozen = false
	held := r.heldEvents
	r.heldEvents = nil
	for _, f := range held {
		f()
	}
}

// voters counts the voters that are up, connected and not halted.
func (w *world) voters() int {
	n := 0
	for _, r := range w.replicas {
		if r.up && r.partition == 0 && !r.frozen && r.halted == nil && r.core.Status(w.now).Log.Voter {
			n++
		}
	}
	return n
}

// endFaults ends all faults.
func (w *world) endFaults() {
	w.lossRate, w.duplicateRate = 0, 0
	for _, r := range w.replicas {
		r.partition = 0
		w.unfreeze(r)
		if r.halted != nil {
			w.t.Fatalf("%s has halted: %v", r.id, r.halted)
		}
		if !r.up {
			w.startReplica(r)
		}
	}
	for _, b := range w.boxes {
		b.partition = 0
		if !b.up {
			w.startBox(b)
		}
	}
}

// newEdit returns an edit that puts a service with one row.
func newEdit(id, service string, base units.Version, weight int) *table.Edit {
	name := units.ServiceName(service)
	return &table.Edit{
		ID: units.EditID(id), Operator: "test", Bases: map[units.ServiceName]units.Version{name: base},
		Operations: []table.Operation{
			{Kind: table.PutService, Service: &table.Service{
				Name: name, Work: table.Repeatable, Hosts: []string{service + ".test"}, Deadline: time.Second,
			}},
			{Kind: table.PutRow, Row: &table.Row{
				Service: name, Target: "t1", Address: "127.0.0.1:1", Weight: weight, State: table.Active,
			}},
		},
	}
}

// versionAt returns the version of a service on a replica.
func versionAt(r *fakeReplica, service string) units.Version {
	if e := r.core.Table().Services[units.ServiceName(service)]; e != nil {
		return e.Version
	}
	return 0
}

func TestClusterServesEditsWithoutFaults(t *testing.T) {
	w := newWorld(t, 1, 3, 3)
	for i := range 50 {
		r := w.replicas[i%3]
		w.submit(r, newEdit(fmt.Sprintf("e%d", i), "s", versionAt(r, "s"), i))
		w.run(20 * time.Millisecond)
	}
	if n := len(w.accepted); n < 45 {
		t.Fatalf("only %d of 50 edits were accepted without any fault", n)
	}
	w.checkRecovery()
}

// leader returns the replica that leads, or nil.
func (w *world) leader() *fakeReplica {
	for _, r := range w.replicas {
		if r.up && r.core.node.IsLeader() {
			return r
		}
	}
	return nil
}

func TestAStoppingLeaderHandsOver(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3, 1)
		old := w.leader()
		w.deliver(old, StopRequested{})
		// An election after a timeout can't have happened by then.
		w.run(testElection * 9 / 10)
		if next := w.leader(); next == nil || next == old {
			t.Fatalf("seed %d: no replica took over from %s", seed, old.id)
		}
		w.checkRecovery()
	}
}

func TestAFailedDiskAcknowledgesNothing(t *testing.T) {
	w := newWorld(t, 1, 3, 1)
	r := w.leader()
	w.submit(r, newEdit("doomed", "s", 0, 1))
	w.deliver(r, DiskFailed{Cause: errors.New("no space left")})
	if r.halted == nil {
		t.Fatal("the replica didn't halt after its disk failed")
	}
	if answer, ok := w.answers["doomed"]; ok {
		t.Fatalf("an edit that was never synced got the answer %+v", answer)
	}
	w.deliver(r, DiskSynced{Sequence: 1 << 40})
	if _, ok := w.answers["doomed"]; ok {
		t.Fatal("a halted replica answered")
	}
}

// A replica that restarts with an older copy of its disk must be detected whichever of its messages
// arrives first.
func TestAnOlderCopyIsRefusedWhateverComesFirst(t *testing.T) {
	w := newWorld(t, 3, 3, 1)
	old := w.leader()
	r := w.followers()[0]
	w.startFromOlderCopy(r, func() {})
	w.deliver(old, PeerMessage{Envelope: &wire.Envelope{
		From: string(r.id), To: string(old.id), Incarnation: fmt.Sprintf("%s.%d", r.id, r.incarnation), Boot: r.boot,
		Body: &wire.Envelope_Presence{Presence: &wire.Presence{Formed: true}},
	}})
	w.run(2 * time.Second)
	if r.halted == nil {
		t.Fatalf("%s keeps running with an older copy of its disk: %+v", r.id, r.core.Status(w.now).Log)
	}
}

// An older copy must be detected by a leader that never had an answer from its replica before: the
// leader that knew what the replica had acknowledged is frozen when the replica starts.
func TestAnOlderCopyIsRefusedAfterAChangeOfLeader(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3, 1)
		old := w.leader()
		r := w.followers()[0]
		w.startFromOlderCopy(r, func() { old.frozen = true })
		w.run(time.Second)
		w.unfreeze(old)
		w.run(2 * time.Second)
		if r.halted == nil {
			t.Fatalf("seed %d: %s keeps running with an older copy of its disk: %+v", seed, r.id, r.core.Status(w.now).Log)
		}
	}
}

// A leader that restarts with an older copy of its own disk is detected as well.
func TestAnOlderCopyOfTheLeaderIsRefused(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3, 1)
		old := w.leader()
		w.startFromOlderCopy(old, func() { w.run(time.Second) })
		w.run(2 * time.Second)
		if old.halted == nil {
			t.Fatalf("seed %d: %s keeps running with an older copy of its disk: %+v", seed, old.id, old.core.Status(w.now).Log)
		}
	}
}

// followers returns the replicas that don't lead.
func (w *world) votingFollower() *fakeReplica {
	for _, r := range w.followers() {
		if r.core.Status(w.now).Log.Voter {
			return r
		}
	}
	w.t.Fatalf("no follower votes")
	return nil
}

func (w *world) followers() []*fakeReplica {
	var list []*fakeReplica
	leader := w.leader()
	for _, r := range w.replicas {
		if r != leader {
			list = append(list, r)
		}
	}
	return list
}

// startFromOlderCopy has ten edits accepted, then replaces a replica's disk by a copy from before
// them and restarts the replica. The replica is down while meanwhile runs.
func (w *world) startFromOlderCopy(r *fakeReplica, meanwhile func()) {
	leader := w.leader()
	older := copyDurable(&r.disk)
	for i := range 10 {
		w.submit(leader, newEdit(fmt.Sprintf("e%d", i), "s", versionAt(leader, "s"), i))
		w.run(50 * time.Millisecond)
	}
	w.crash(r)
	meanwhile()
	r.disk = *copyDurable(older)
	w.startReplica(r)
}
