// Package entry runs an entry box. It does the I/O around the core, which makes all
// decisions: HTTP with callers, and connections to targets, control replicas and other
// boxes.
package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/bodymemory"
	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/bodies"
	"github.com/madderpond/madderpond/pkg/core/box"
	"github.com/madderpond/madderpond/pkg/core/capacity"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/pacing"
	"github.com/madderpond/madderpond/pkg/target"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Entry is a running entry box.
type Entry struct {
	*common.Common
	// lock guards the core, the calls, and all fields below it that change after the start, except
	// the atomic ones.
	lock    sync.Mutex
	core    *box.Box
	effects box.Effects
	// wakeTimer sends the core a tick at wakeAt; nil before the start.
	wakeTimer *time.Timer
	wakeAt    units.Instant
	// waitingCalls is the set of calls whose callers wait for an answer.
	waitingCalls map[*call]bool
	// runningAttempts counts the sends in flight.
	runningAttempts atomic.Int64

	pools *target.Pools
	// pacer shares the box's link among large answers; nil if the link's rate isn't set.
	pacer *pacing.Pacer
	// admission keeps the calls that are read to what the box can carry.
	admission *admission
	// bodies is the memory for large request bodies; nil without a limit.
	bodies *bodymemory.Memory
	// responses is the memory to buffer responses; nil without a limit.
	responses *bodymemory.Memory
	lingerer  *lingerer
	workers   pond.Pool
	control   *controlClient
	peers     *peerLinks
	metrics   *metrics
	server    *fasthttp.Server
	listener  net.Listener
	leaving   atomic.Bool
	// loggedRevision is the revision of the table that was logged last.
	loggedRevision units.Revision
	// ordinaryCalls counts the calls that were answered at the first attempt, of which a sample is
	// logged.
	ordinaryCalls atomic.Uint64
	// regionRefusals counts the refused calls for which no allowed region has a target, for the log.
	regionRefusals refusalLogState
	// listedLeaving is set while the platform's list of boxes shows this box as leaving.
	listedLeaving atomic.Bool
	done          chan struct{}
	stopped       sync.WaitGroup
}

// queueDivisor is the number of workers per send that may be queued for one.
const queueDivisor = 4

// NewEntry returns an entry that doesn't listen yet. peerAddress is the address at which other
// boxes reach this one.
func NewEntry(c *common.Common, peerAddress string) (*Entry, error) {
	s := &c.Settings.Entry
	core, err := newCore(c, peerAddress)
	if err != nil {
		return nil, err
	}
	linkRate := pacing.RateFromMegabits(s.LinkMbps)
	e := &Entry{
		Common:       c,
		core:         core,
		wakeAt:       noWakeSet,
		waitingCalls: map[*call]bool{},
		workers:      pond.NewPool(s.MaxCalls, pond.WithQueueSize(max(1, s.MaxCalls/queueDivisor)), pond.WithNonBlocking(true)),
		pacer:        pacing.NewPacer(linkRate, c.Clock),
		responses:    newResponseMemory(c.Settings.MemoryLimitMB),
		bodies:       newBodyMemory(c.Settings.MemoryLimitMB, s.MaxBody, float64(linkRate)),
		lingerer:     newLingerer(c.Clock, c.Log, float64(linkRate)),
		metrics:      newMetrics(),
		done:         make(chan struct{}),
	}
	e.admission = newAdmission(capacity.Settings{
		LinkRate: float64(linkRate), Cores: s.Cores,
	}, c.Clock, c.Log, e.setShort, func() bool { return e.control.ping() })
	e.pools = target.NewPools(e.targetSettings(), c.Clock)
	e.control = newControlClient(e)
	e.peers = newPeerLinks(e)
	e.server = e.newServer()
	return e, nil
}

func newCore(c *common.Common, peerAddress string) (*box.Box, error) {
	s := c.Settings
	id := units.BoxID(s.Box)
	return box.NewBox(subscription.Settings{
		Box:            table.Box{ID: id, Domain: units.Domain(s.Domain), Address: peerAddress},
		Replicas:       s.ReplicaIDs(),
		RenewInterval:  subscription.DefaultRenewInterval,
		ReplicaTimeout: subscription.DefaultReplicaTimeout,
		Start:          rand.Uint64(),
		Seed:           rand.Uint64(),
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
		LinkRate:          float64(pacing.RateFromMegabits(s.Entry.LinkMbps)),
		MaxKeyStaleness:   s.Entry.KeyDoubt.Std(),
		QuotaSlack:        s.Entry.QuotaSlack,
		MaxRelayed:        s.Entry.MaxRelayed,
		Disable:           s.Entry.Disable,
	}, c.Clock.Now())
}

// Start begins to listen for callers and to follow the control state.
func (e *Entry) Start() error {
	listener, err := net.Listen("tcp", e.Settings.Entry.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "choose an address of this box whose port is free", "can't listen for callers on %s", e.Settings.Entry.Listen)
	}
	e.listener = newGatedListener(listener, e.admission, e.lingerer, e.maxConnections())
	e.stopped.Add(1)
	go e.runPeriodicTasks()
	e.lock.Lock()
	e.wakeTimer = time.AfterFunc(0, e.tick)
	e.lock.Unlock()
	go func() {
		if err := e.server.Serve(e.listener); err != nil {
			e.Log.WithError(err).Error("the HTTP server for callers stopped")
		}
	}()
	return nil
}

// Address returns the address on which this box listens for callers.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// reduce passes an event to the core and applies the resulting effects. Effects
// are applied under the lock, so that they happen in the core's order; none
// of them blocks.
func (e *Entry) reduce(event box.Event) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.reduceLocked(event)
}

func (e *Entry) reduceLocked(event box.Event) {
	e.core.Reduce(e.Clock.Now(), event, &e.effects)
	e.applyEffects()
	e.logTable()
	e.resetWakeTimer()
}

// resetWakeTimer sets the wake timer to the time at which the core next has something to do. A timer
// that would fire slightly early is left unchanged.
func (e *Entry) resetWakeTimer() {
	next := e.core.NextWake()
	if e.wakeTimer == nil || next >= e.wakeAt && next.Sub(e.wakeAt) < wakeTolerance {
		return
	}
	e.wakeAt = next
	e.wakeTimer.Reset(max(e.Clock.Until(next), minWakeDelay))
}

// tick informs the core that time has passed.
func (e *Entry) tick() {
	e.lock.Lock()
	defer e.lock.Unlock()
	select {
	case <-e.done:
		return
	default:
	}
	e.wakeAt = noWakeSet
	e.reduceLocked(box.Tick{})
}

// applyEffects applies the effects, including those that are added meanwhile.
func (e *Entry) applyEffects() {
	list := &e.effects.Routing
	for i := 0; i < len(list.List); i++ {
		e.applyRoutingEffect(list.List[i])
	}
	s := &e.effects.Subscription
	if s.Attach {
		e.control.attach(s.Replicas, s.Attachment, s.DialTimeout)
	}
	for _, m := range s.Sends {
		e.control.send(m)
	}
	e.effects.Reset()
}

func (e *Entry) applyRoutingEffect(x routing.Effect) {
	e.recordEffect(&x)
	switch x.Kind {
	case routing.Send:
		e.startAttempt(x)
	case routing.Hold:
		x.Owner.(*call).id = x.Call
		e.metrics.held.Add(1)
	case routing.Refuse:
		e.logRegionRefusal(&x)
		x.Owner.(*call).refuse(x)
	case routing.Deliver:
		x.Owner.(*call).deliver(x)
	case routing.Keep:
		x.Owner.(*call).keepAnswer(x)
	case routing.Cancel:
		x.Owner.(*call).cancelAttempt(x.Attempt)
	case routing.Probe:
		e.startProbe(x)
	case routing.EjectionChanged:
		e.logHealthChange(&x)
	case routing.ExposureSwitched:
		e.logExposure(x.ExposureSwitch)
	case routing.ServiceHangs:
		e.logHangingService(&x)
	case routing.TargetCrashed:
		e.logCrash(&x)
	case routing.CallQuarantined:
		e.logBlamedCall(&x)
	case routing.TargetNotice:
		e.applyNotice(&x)
	case routing.SendLoanMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Loan{Loan: wire.FromLoan(x.Loan)}})
	case routing.SendLimitMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Limit{Limit: wire.FromLimit(x.Limit)}})
	case routing.SendQuotaMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Quota{Quota: wire.FromQuota(x.Quota)}})
	case routing.SendCanaryMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Canary{Canary: wire.FromCanary(x.Canary)}})
	case routing.SendTokenMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Tokens{Tokens: wire.FromTokens(x.Tokens)}})
	case routing.SendReachMessage:
		e.peers.send(x.Peer, &wire.Envelope{Body: &wire.Envelope_Reach{Reach: wire.FromReach(x.ReachMessage)}})
	case routing.ReachChanged:
		e.logReach(x.Reach)
	case routing.SearchEnded:
		e.logSearch(x.Reach)
	case routing.RegionUnknown:
		e.logUnknownRegion(&x)
	}
}

// minWakeDelay keeps the wake timer from firing in a busy loop.
const minWakeDelay = 100 * time.Microsecond

// noWakeSet is the value of wakeAt while the wake timer isn't set.
const noWakeSet = units.Instant(math.MaxInt64)

// wakeTolerance is how much too early the wake timer may fire: an early tick costs less than
// resetting the timer with every call.
const wakeTolerance = 5 * time.Millisecond

// runPeriodicTasks closes idle connections and checks for disconnected callers until the entry stops.
func (e *Entry) runPeriodicTasks() {
	defer e.stopped.Done()
	idle, hangUpChecks := time.NewTicker(time.Second), time.NewTicker(e.Settings.Entry.HangUpCheck.Std())
	defer idle.Stop()
	defer hangUpChecks.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-idle.C:
			e.pools.CloseIdle()
			e.peers.closeIdle()
		case <-hangUpChecks.C:
			e.reportDisconnectedCallers()
		}
	}
}

// Leave announces that this box stops after the remaining time. It is no longer ready, and asks its
// callers to use another box, but still serves calls that can end in time.
func (e *Entry) Leave(remaining time.Duration) {
	e.leaving.Store(true)
	e.reduce(subscription.Leaving{IsLeaving: true})
	e.reduce(&routing.StopPlanned{Until: e.Clock.Now().Add(remaining)})
}

// setShort informs the core whether the box is short of capacity.
func (e *Entry) setShort(isShort bool) { e.reduce(&routing.CapacityChanged{Short: isShort}) }

// SetReplicas updates the control replicas to those in changed settings.
func (e *Entry) SetReplicas(s *config.Settings) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.control.setReplicas(s.Replicas)
	e.reduceLocked(subscription.ReplicasChanged{Replicas: s.ReplicaIDs()})
}

// SetRegions updates the regions of the failure domains to those in changed settings.
func (e *Entry) SetRegions(s *config.Settings) {
	e.reduce(&routing.RegionsChanged{Regions: s.Regions})
}

// SetListedLeaving sets whether the platform's list of boxes shows this box as leaving. Such a box
// isn't ready, but it still serves callers without asking them to use another box: the list may be
// wrong.
func (e *Entry) SetListedLeaving(on bool) {
	e.listedLeaving.Store(on)
	e.reduce(subscription.Leaving{IsLeaving: on || e.leaving.Load()})
}

// Stop stops the entry once every call is answered, or the context ends.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.server.ShutdownWithContext(ctx)
	e.lingerer.stop(ctx)
	close(e.done)
	e.stopped.Wait()
	e.wakeTimer.Stop()
	e.admission.stop()
	e.control.close()
	e.peers.close()
	e.workers.Stop()
	return err
}

// Ready reports whether the platform's load balancer should send calls here.
func (e *Entry) Ready() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return !e.leaving.Load() && !e.listedLeaving.Load() && !e.admission.isOverloaded() && e.core.Ready(e.Clock.Now())
}

// Leaving reports whether a planned stop has begun.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Status is an entry's state as the admin API's dump shows it.
type Status struct {
	box.Status
	Leaving     bool            `json:"leaving"`
	Address     string          `json:"address"`
	Connections int             `json:"connections"`
	Admission   AdmissionStatus `json:"admission"`
	Bodies      bodies.Status   `json:"bodies"`
	Responses   bodies.Status   `json:"responses"`
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
		Admission:   e.admission.status(),
		Bodies:      e.bodies.Status(),
		Responses:   e.responses.Status(),
		Targets:     e.pools.Status(),
	}
}

func (e *Entry) targetSettings() target.Settings {
	s := &e.Settings.Entry
	// The settings have been checked; an empty address parses to the zero address.
	source, _ := netip.ParseAddr(s.TargetSource)
	return target.Settings{
		Source:         source,
		ConnectTimeout: s.ConnectTimeout.Std(), IdleTimeout: s.IdleTarget.Std(), AtMostOnceIdleTimeout: s.OnceIdle.Std(), MaxBufferedBytes: s.BufferBody,
		ShedStatus: s.ShedStatus, ShedHeader: s.ShedHeader, LoadHeader: s.LoadHeader,
		DeadlineHeader: s.DeadlineHeader, ProbePath: s.ProbePath, CallIDHeader: s.CallIDHeader,
		IdentityHeader: s.IdentityHeader, TargetHeader: s.TargetHeader, ColdHeader: s.ColdHeader, LeavingHeader: s.LeavingHeader,
		LimitHeader:              s.LimitHeader,
		StatusMayMeanNotExecuted: s.PromiseStatus, AllowUnframed: s.Unframed,
		MaxHeadBytes: s.HeaderBytes, ReserveMemory: e.reserveResponse, DialRelay: e.dialRelay, Traffic: &e.admission.targets,
	}
}
