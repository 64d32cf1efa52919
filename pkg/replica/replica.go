// Package replica runs a control replica: it manages the replica's store, its
// connections to other replicas and to boxes, and the requests of the
// administration API. All decisions are made by package control.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/latency"
	"github.com/madderpond/madderpond/pkg/store"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Replica is a running control replica.
type Replica struct {
	*common.Common
	// lock guards the fields from core to lastConn, and pendingWrites, writeInProgress and links.
	lock           sync.Mutex
	core           *control.Replica
	effects        control.Effects
	changed        chan struct{}
	lastRequest    control.RequestID
	pendingAnswers map[control.RequestID]chan control.Answer
	boxes          map[control.ConnectionID]*boxConn
	lastConn       control.ConnectionID

	store           *store.Store
	diskWorker      pond.Pool
	pendingWrites   []*replication.Write
	writeInProgress bool
	links           map[units.ReplicaID]*transport.Link
	identity        store.Identity
	halted          chan error
	gate            *startupGate
	// writeLatency is how long writes take until they are synced to disk, with retries.
	writeLatency *latency.Histogram
	stopped      atomic.Bool
	wake         chan struct{}
	done         chan struct{}
	timerLoop    sync.WaitGroup
}

// NewReplica opens the data folder and returns a replica that continues from its
// state. Errors are of kind Damaged, ForeignData or Unavailable.
func NewReplica(c *common.Common) (*Replica, error) {
	s, err := openWithRetry(c)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		Common:         c,
		changed:        make(chan struct{}),
		pendingAnswers: map[control.RequestID]chan control.Answer{},
		boxes:          map[control.ConnectionID]*boxConn{},
		store:          s,
		diskWorker:     pond.NewPool(1),
		links:          map[units.ReplicaID]*transport.Link{},
		identity:       s.Identity(),
		halted:         make(chan error, 1),
		writeLatency:   latency.NewHistogram(latency.Fine),
		wake:           make(chan struct{}, 1),
		done:           make(chan struct{}),
		gate:           newStartupGate(),
	}
	r.core, err = control.NewReplica(r.coreSettings(), s.Durable(), c.Clock.Now())
	if err != nil {
		s.Close()
		return nil, err
	}
	return r, nil
}

func (r *Replica) coreSettings() control.Settings {
	s := &r.Settings.Control
	var peers []units.ReplicaID
	for _, id := range r.Settings.ReplicaIDs() {
		if id != r.identity.Replica {
			peers = append(peers, id)
		}
	}
	return control.Settings{
		Domain: units.Domain(r.Settings.Domain),
		Replication: replication.Settings{
			ID: r.identity.Replica, Incarnation: r.identity.Incarnation, Boot: r.identity.Boot, Peers: peers,
			ElectionTimeout: s.ElectionTimeout.Std(), Heartbeat: s.Heartbeat.Std(), Seed: rand.Uint64(),
			MinCopies: s.MinCopies, Growth: r.growth(len(peers)),
		},
		Memory:      r.Settings.MemoryLimitMB << 20,
		ReadTimeout: s.ReadTimeout.Std(), SilentAfter: s.SilentAfter.Std(),
		Lease: s.Lease.Std(), LeaseMargin: control.DefaultLeaseMargin, EditTimeout: s.EditTimeout.Std(),
		SnapshotEvery: s.SnapshotEvery, KeepEntries: s.KeepEntries,
		Rollouts: control.RolloutSettings{
			Enabled: s.Rollout.Enabled, Limits: rollout.Limits{Share: s.Rollout.Share / 100, Slack: s.Rollout.Slack},
		},
	}
}

// growth returns how the cluster forms and grows automatically, or nil if the settings
// name all replicas. A replica that is itself a seed has one peer fewer than there are
// seeds.
func (r *Replica) growth(peers int) *replication.Growth {
	if len(r.Settings.Seeds) == 0 {
		return nil
	}
	g := r.Settings.Control.Growth
	return &replication.Growth{
		Bootstrap: g.Bootstrap, Seed: peers < len(r.Settings.Seeds), Voters: g.Voters, ReplaceAfter: g.ReplaceAfter.Std(),
	}
}

// Start creates the links to the other replicas and starts the timer loop.
func (r *Replica) Start() {
	for _, p := range r.Settings.Replicas {
		if p.Box != r.Settings.Box {
			r.links[units.ReplicaID(p.Box)] = r.newLink(p.Address)
		}
	}
	time.AfterFunc(maxGateDelay, r.gate.release)
	r.timerLoop.Add(1)
	go r.runTimer()
}

// SetSeeds applies the seeds of changed settings. In a cluster whose settings name all
// replicas, a change of these requires a restart.
func (r *Replica) SetSeeds(s *config.Settings) {
	if len(s.Seeds) > 0 {
		r.handle(control.SeedsChanged{Seeds: s.ReplicaIDs()})
	}
}

// Halted returns a channel that receives the reason if the replica has to stop because of
// an error.
func (r *Replica) Halted() <-chan error { return r.halted }

func (r *Replica) runTimer() {
	defer r.timerLoop.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-r.wake:
		case <-timer.C:
		}
		r.lock.Lock()
		r.reduce(control.Tick{})
		wait := r.Clock.Until(r.core.NextWake())
		r.lock.Unlock()
		timer.Reset(max(wait, time.Millisecond))
	}
}

// handle passes an event to the core and applies its effects.
func (r *Replica) handle(event control.Event) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.reduce(event)
}

func (r *Replica) reduce(event control.Event) {
	if r.stopped.Load() {
		return
	}
	r.core.Reduce(r.Clock.Now(), r.Clock.Wall(), event, &r.effects)
	r.applyEffects()
}

func (r *Replica) applyEffects() {
	e := &r.effects
	r.pendingWrites = append(r.pendingWrites, e.Writes...)
	r.startWrite()
	for _, m := range e.PeerSends {
		if link := r.linkTo(units.ReplicaID(m.To)); link != nil {
			link.Send(m)
		}
	}
	for _, s := range e.BoxSends {
		if b := r.boxes[s.Connection]; b != nil {
			b.send(s.Envelope)
		}
	}
	for _, a := range e.Answers {
		if pending := r.pendingAnswers[a.Request]; pending != nil {
			pending <- a
		}
	}
	for _, c := range e.Changes {
		r.logChange(c)
	}
	if r.core.CaughtUp() {
		r.gate.release()
	}
	if e.TableChanged {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	if e.Halt != nil {
		r.halt(e.Halt)
	}
	*e = control.Effects{}
}

func (r *Replica) halt(err error) {
	r.stopped.Store(true)
	select {
	case r.halted <- err:
	default:
	}
}

// ServeReplica handles another replica's messages until its connection ends.
func (r *Replica) ServeReplica(hello *wire.Hello, c *transport.Conn) {
	r.wakeLink(units.ReplicaID(hello.Replica))
	for {
		m, err := c.Receive()
		// A replica may send messages only in its own name.
		if err != nil || m.From != hello.Replica {
			return
		}
		r.handle(control.PeerMessage{Envelope: m, Domain: units.Domain(hello.Domain)})
	}
}

func (r *Replica) removePendingAnswer(id control.RequestID) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.pendingAnswers, id)
}

// Table returns the table of this replica, which may lag behind; see ReadTable.
func (r *Replica) Table() *table.Table {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.core.Table()
}

// Workspaces returns the workspaces as they are shown to operators.
func (r *Replica) Workspaces() []table.WorkspaceView {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.core.WorkspaceViews(r.Clock.Now())
}

// Changed returns a channel that is closed at the next change of the table.
func (r *Replica) Changed() <-chan struct{} {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.changed
}

// Leader returns the current leader's ID, or an empty one if it is unknown.
func (r *Replica) Leader() units.ReplicaID {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.core.Leader()
}

// Status is a replica's state for diagnostic dumps.
type Status struct {
	control.Status
	StoreBytes int64 `json:"storeBytes"`
	BoxConns   int   `json:"boxConnections"`
	// WriteLatency is how long writes took until they were synced to disk.
	WriteLatency latency.Summary `json:"syncs"`
}

// Status returns the replica's state.
func (r *Replica) Status() Status {
	r.lock.Lock()
	defer r.lock.Unlock()
	return Status{Status: r.core.Status(r.Clock.Now()), StoreBytes: r.store.Size(), BoxConns: len(r.boxes), WriteLatency: r.writeLatency.Summary()}
}

// handoverTimeout is how long a stopping leader waits for another replica to lead.
const handoverTimeout = 2 * time.Second

// Stop transfers leadership, if this replica leads, and closes the store. The context ends
// the wait for a new leader early.
func (r *Replica) Stop(ctx context.Context) {
	r.handle(control.StopRequested{})
	r.awaitSuccessor(ctx)
	r.stopped.Store(true)
	close(r.done)
	r.timerLoop.Wait()
	for _, l := range r.links {
		l.Close()
	}
	r.diskWorker.StopAndWait()
	if err := r.store.Close(); err != nil {
		r.Log.WithError(err).Warn("closing the data folder failed")
	}
}

// awaitSuccessor waits until another replica leads, so that it can take over pending
// edits before this replica stops.
func (r *Replica) awaitSuccessor(ctx context.Context) {
	timeout := time.After(handoverTimeout)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for len(r.links) > 0 {
		if leader := r.Leader(); leader != "" && leader != r.identity.Replica {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case <-ticker.C:
		}
	}
}
