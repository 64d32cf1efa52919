// Package entry is the shell of an entry box: callers' HTTP on one side, the
// core in the middle, targets, control replicas and other boxes on the other
// sides.
package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/box"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/pacing"
	"github.com/madderpond/madderpond/pkg/target"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Entry is an entry box at work.
type Entry struct {
	*common.Common
	// lock guards the core and everything below it.
	lock    sync.Mutex
	core    *box.Box
	effects box.Effects
	// waker ticks the core by itself at wakeAt; nil before the start.
	waker  *time.Timer
	wakeAt units.Instant
	// waiting holds the calls whose callers wait for an answer.
	waiting map[*call]bool
	// running counts the sends under way.
	running atomic.Int64

	pools *target.Pools
	// pacer shares the box's link among answers; nil where it isn't limited.
	pacer    *pacing.Pacer
	workers  pond.Pool
	control  *controlClient
	peers    *peerLinks
	metrics  *metrics
	server   *fasthttp.Server
	listener net.Listener
	leaving  atomic.Bool
	// shown is the revision that was last traced of in the log.
	shown units.Revision
	// traced counts the ordinary calls, of which a sample is logged.
	traced atomic.Uint64
	// barred counts the calls whose regions have no target, for the log.
	barred barredCalls
	// listedLeaving is set while the platform's list has this box as leaving.
	listedLeaving atomic.Bool
	done          chan struct{}
	stopped       sync.WaitGroup
}

// queuePart is the part of the workers' number that may wait for one.
const queuePart = 4

// NewEntry returns an entry that doesn't listen yet. peerAddress is where other
// boxes reach this one.
func NewEntry(c *common.Common, peerAddress string) (*Entry, error) {
	s := &c.Settings.Entry
	core, err := newCore(c, peerAddress)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		Common:  c,
		core:    core,
		wakeAt:  notSet,
		waiting: map[*call]bool{},
		pools:   target.NewPools(targetSettings(s), c.Clock),
		workers: pond.NewPool(s.MaxCalls, pond.WithQueueSize(max(1, s.MaxCalls/queuePart)), pond.WithNonBlocking(true)),
		pacer:   pacing.NewPacer(pacing.FromMegabits(s.LinkMbps), c.Clock),
		metrics: newMetrics(),
		done:    make(chan struct{}),
	}
	e.control = newControlClient(e)
	e.peers = newPeerLinks(e)
	e.server = e.newServer()
	return e, nil
}

func newCore(c *common.Common, peerAddress string) (*box.Box, error) {
	s := c.Settings
	id := units.BoxID(s.Box)
	return box.NewBox(subscription.Settings{
		Box:        table.Box{ID: id, Domain: units.Domain(s.Domain), Address: peerAddress},
		Replicas:   s.ReplicaIDs(),
		RenewEvery: subscription.DefaultRenewEvery,
		Silence:    subscription.DefaultSilence,
		Start:      rand.Uint64(),
		Seed:       rand.Uint64(),
	}, routing.Settings{
		Box:               id,
		Domain:            units.Domain(s.Domain),
		Regions:           s.Regions,
		Seed:              rand.Uint64(),
		Policy:            routing.PolicyName(s.Entry.Policy),
		ServeStale:        s.Entry.ServeStale,
		ShareDelay:        s.Entry.ShareDelay.Std(),
		AssumedColdPeriod: s.Entry.ColdDoubt.Std(),
		ProbeCost:         s.Entry.ProbeCost.Std(),
		Loans:             s.Entry.Loans,
		MaxDeadline:       s.Entry.MaxDeadline.Std(),
		LinkRate:          float64(pacing.FromMegabits(s.Entry.LinkMbps)),
		MaxKeyStaleness:   s.Entry.KeyDoubt.Std(),
		QuotaSlack:        s.Entry.QuotaSlack,
		Disable:           s.Entry.Disable,
	}, c.Clock.Now())
}

// Start begins to listen and to follow the control state.
func (e *Entry) Start() error {
	listener, err := net.Listen("tcp", e.Settings.Entry.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "choose an address of this box whose port is free", "can't listen for callers on %s", e.Settings.Entry.Listen)
	}
	e.listener = listener
	e.stopped.Add(1)
	go e.runJanitor()
	e.lock.Lock()
	e.waker = time.AfterFunc(0, e.tick)
	e.lock.Unlock()
	go func() {
		if err := e.server.Serve(listener); err != nil {
			e.Log.WithError(err).Error("the entry for callers has stopped")
		}
	}()
	return nil
}

// Address returns where callers reach this box.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// reduce gives the core an event and carries out what follows from it. Effects
// are carried out under the lock, so that they happen in the core's order; none
// of them waits for anything.
func (e *Entry) reduce(event box.Event) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.reduceLocked(event)
}

func (e *Entry) reduceLocked(event box.Event) {
	e.core.Reduce(e.Clock.Now(), event, &e.effects)
	e.carryOut()
	e.logTable()
	e.armWaker()
}

// armWaker sets the waker to when the core next has something to do. One that comes a
// little early is left as it is.
func (e *Entry) armWaker() {
	next := e.core.NextWake()
	if e.waker == nil || next >= e.wakeAt && next.Sub(e.wakeAt) < earlyWake {
		return
	}
	e.wakeAt = next
	e.waker.Reset(max(e.Clock.Until(next), minWait))
}

// tick lets the core see that time has passed.
func (e *Entry) tick() {
	e.lock.Lock()
	defer e.lock.Unlock()
	select {
	case <-e.done:
		return
	default:
	}
	e.wakeAt = notSet
	e.reduceLocked(box.Tick{})
}

// carryOut does what the effects say. Doing so may add more of them.
func (e *Entry) carryOut() {
	list := &e.effects.Routing
	for i := 0; i < len(list.List); i++ {
		e.carryOutRouting(list.List[i])
	}
	s := &e.effects.Subscription
	if s.Attach {
		e.control.attach(s.Replicas, s.Attachment, s.DialLimit)
	}
	for _, m := range s.Sends {
		e.control.send(m)
	}
	e.effects.Reset()
}

func (e *Entry) carryOutRouting(x routing.Effect) {
	e.noteEffect(&x)
	switch x.Kind {
	case routing.Send:
		e.startAttempt(x)
	case routing.Hold:
		x.Owner.(*call).id = x.Call
		e.metrics.held.Add(1)
	case routing.Refuse:
		e.noteRefusal(&x)
		x.Owner.(*call).refuse(x)
	case routing.Deliver:
		x.Owner.(*call).deliver(x)
	case routing.Keep:
		x.Owner.(*call).keep(x)
	case routing.Cancel:
		x.Owner.(*call).cancel(x.Attempt)
	case routing.Probe:
		e.startProbe(x)
	case routing.EjectionChanged:
		e.logTurn(&x)
	case routing.ExposureSwitched:
		e.logExposure(x.ExposureSwitch)
	case routing.ServiceHangs:
		e.logHangs(&x)
	case routing.TargetCrashed:
		e.logCrash(&x)
	case routing.CallQuarantined:
		e.logBlamed(&x)
	case routing.TargetNotice:
		e.takeNotice(&x)
	case routing.SendLoanMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Loan{Loan: wire.FromLoan(x.Loan)}})
	case routing.SendLimitMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Limit{Limit: wire.FromLimit(x.Limit)}})
	case routing.SendQuotaMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Quota{Quota: wire.FromQuota(x.Quota)}})
	case routing.SendCanaryMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Canary{Canary: wire.FromCanary(x.Canary)}})
	case routing.RegionUnknown:
		e.logUnknownRegion(&x)
	}
}

// minWait keeps the waker from spinning.
const minWait = 100 * time.Microsecond

// notSet is the time of a waker that has just gone off.
const notSet = units.Instant(math.MaxInt64)

// earlyWake is how much too early the waker may come: setting it anew with every call
// costs more.
const earlyWake = 5 * time.Millisecond

// runJanitor does what must be done now and then.
func (e *Entry) runJanitor() {
	defer e.stopped.Done()
	idle, hangUps := time.NewTicker(time.Second), time.NewTicker(e.Settings.Entry.HangUpCheck.Std())
	defer idle.Stop()
	defer hangUps.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-idle.C:
			e.pools.CloseIdle()
			e.peers.closeIdle()
		case <-hangUps.C:
			e.reportHangUps()
		}
	}
}

// Leave says that this box is about to stop: it is no longer ready, and asks its
// callers to go elsewhere, but serves whatever still comes and can end in time.
func (e *Entry) Leave(stop time.Duration) {
	e.leaving.Store(true)
	e.reduce(subscription.Leaving{On: true})
	e.reduce(&routing.StopPlanned{Until: e.Clock.Now().Add(stop)})
}

// SetReplicas takes the control replicas that changed settings name.
func (e *Entry) SetReplicas(s *config.Settings) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.control.configure(s.Replicas)
	e.reduceLocked(subscription.ReplicasChanged{Replicas: s.ReplicaIDs()})
}

// SetRegions takes the regions of the failure domains that changed settings name.
func (e *Entry) SetRegions(s *config.Settings) {
	e.reduce(&routing.RegionsChanged{Regions: s.Regions})
}

// SetListedLeaving says whether the platform's list has this box as leaving. Such
// a box isn't ready, but it doesn't turn its callers away: the list may be wrong.
func (e *Entry) SetListedLeaving(on bool) {
	e.listedLeaving.Store(on)
	e.reduce(subscription.Leaving{On: on || e.leaving.Load()})
}

// Stop ends the entry once every call has its answer, or the context ends.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.server.ShutdownWithContext(ctx)
	close(e.done)
	e.stopped.Wait()
	e.waker.Stop()
	e.control.close()
	e.peers.close()
	e.workers.Stop()
	return err
}

// Ready tells whether the platform's balancer should send calls here.
func (e *Entry) Ready() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return !e.leaving.Load() && !e.listedLeaving.Load() && e.core.Ready(e.Clock.Now())
}

// Leaving tells whether a planned stop is under way.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Status is an entry's state as the dump shows it.
type Status struct {
	box.Status
	Leaving     bool            `json:"leaving"`
	Address     string          `json:"address"`
	Connections int             `json:"connections"`
	Targets     []target.Status `json:"targets"`
}

// Status returns the entry's state.
func (e *Entry) Status() Status {
	e.lock.Lock()
	defer e.lock.Unlock()
	return Status{
		Status:      e.core.Status(e.Clock.Now()),
		Leaving:     e.leaving.Load(),
		Address:     e.Address(),
		Connections: int(e.server.GetOpenConnectionsCount()),
		Targets:     e.pools.Status(),
	}
}

func targetSettings(s *entrySettings) target.Settings {
	return target.Settings{
		ConnectTimeout: s.ConnectTimeout.Std(), IdleLimit: s.IdleTarget.Std(), OnceIdle: s.OnceIdle.Std(), BufferBody: s.BufferBody,
		ShedStatus: s.ShedStatus, ShedHeader: s.ShedHeader, LoadHeader: s.LoadHeader,
		DeadlineHeader: s.DeadlineHeader, ProbePath: s.ProbePath, CallIDHeader: s.CallIDHeader,
		IdentityHeader: s.IdentityHeader, TargetHeader: s.TargetHeader, ColdHeader: s.ColdHeader, LeavingHeader: s.LeavingHeader,
		LimitHeader:   s.LimitHeader,
		PromiseStatus: s.PromiseStatus, Unframed: s.Unframed,
	}
}
