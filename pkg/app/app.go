// Package app builds a process from its settings and runs it: its roles, its ports and its
// planned stop.
package app

import (
	"context"
	"expvar"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/admin"
	"github.com/madderpond/madderpond/pkg/boxlist"
	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/entry"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/logging"
	"github.com/madderpond/madderpond/pkg/reload"
	"github.com/madderpond/madderpond/pkg/replica"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/wire"
)

// App is a process with the roles that its settings enable. A role that is disabled is nil.
type App struct {
	*common.Common
	listener *transport.Listener
	// trafficTimer triggers the periodic log line about traffic between processes.
	trafficTimer *time.Timer
	replica      *replica.Replica
	entry        *entry.Entry
	admin        *admin.Server
	metrics      *admin.MetricsServer
	logger       *logging.Logger
	boxList      *boxlist.Watcher
	reloader     *reload.Reloader
	// extensions are started after the replica, the entry and the admin and metrics servers, and
	// before the box list watcher. A planned stop stops them after the entry and before the replica.
	extensions []Extension
	// formOnStart forms a cluster of this single replica at startup.
	formOnStart bool
}

// Extension is a component that a program adds to those of the process, such as another
// interface to the same operations.
type Extension interface {
	// Start starts serving; the error is an Unavailable fault.
	Start() error
	// Stop stops serving; ctx bounds how long that may take.
	Stop(ctx context.Context)
}

// Components are the components of a process that extensions may use. Entry and Replica are
// nil in a process without that role.
type Components struct {
	*common.Common
	Entry   *entry.Entry
	Replica *replica.Replica
}

// ExtensionFactory returns an extension for a process.
type ExtensionFactory func(Components) Extension

// NewApp returns a process that isn't started yet. source is where its settings were read
// from, and is read again on a reload.
func NewApp(s *config.Settings, source reload.Source, factories ...ExtensionFactory) (*App, error) {
	logger := logging.NewLogger(s.LogLevel)
	a := &App{logger: logger, Common: &common.Common{Log: logger.WithField("box", s.Box), Settings: s, Clock: clock.NewClock()}}
	a.reloader = reload.NewReloader(a.Log, s, source, a.applySettings)
	a.metrics = admin.NewMetricsServer(a.Common)
	if err := a.build(); err != nil {
		a.Log.WithError(err).WithField("kind", fault.KindOf(err)).Error("madderpond can't start")
		a.releaseResources()
		a.Close()
		return nil, err
	}
	for _, newExtension := range factories {
		a.extensions = append(a.extensions, newExtension(Components{Common: a.Common, Entry: a.entry, Replica: a.replica}))
	}
	return a, nil
}

func (a *App) build() (err error) {
	if p := a.Settings.Peer; p.Certificate != "" {
		if a.Security, err = transport.LoadSecurity(p.Certificate, p.Key, p.Authority); err != nil {
			return err
		}
	}
	if a.Settings.Has(config.RoleControl) {
		if a.replica, err = replica.NewReplica(a.Common); err != nil {
			return err
		}
	}
	if a.listener, err = transport.Listen(a.peerAddress(), a.Settings.Domain, a.Security, a.Log, a.gate(), a.servePeer); err != nil {
		return err
	}
	if a.Settings.Has(config.RoleEntry) {
		advertise := a.Settings.Peer.Advertise
		if advertise == "" {
			advertise = a.listener.Address()
		}
		if a.entry, err = entry.NewEntry(a.Common, advertise); err != nil {
			return err
		}
		a.listener.ServeRelays(a.entry.ServeRelay)
	}
	a.boxList = boxlist.NewWatcher(a.Common)
	a.admin, err = admin.NewServer(a.Common, admin.Components{Entry: a.entry, Replica: a.replica, BoxList: a.boxList, Reloader: a.reloader})
	return err
}

// Close writes the last lines of the log.
func (a *App) Close() { a.logger.Close() }

// releaseResources closes the listener and stops the replica after a failed start.
func (a *App) releaseResources() {
	if a.listener != nil {
		a.listener.Close()
	}
	if a.replica != nil {
		a.replica.Stop(context.Background())
	}
}

// peerAddress returns the address to listen on for other processes. A replica that keeps the
// default of peer.listen uses its address in the list of replicas that all boxes share.
func (a *App) peerAddress() string {
	if !a.Settings.Has(config.RoleControl) || a.Settings.Peer.Listen != config.Defaults().Peer.Listen {
		return a.Settings.Peer.Listen
	}
	for _, r := range a.Settings.Replicas {
		if r.Box == a.Settings.Box {
			return r.Address
		}
	}
	return a.Settings.Peer.Listen
}

// gate returns the replica as the gate of the peer port, or nil in a process without a replica.
// While the replica starts, the gate delays connections of boxes until it has the newest table,
// for a bounded time; connections of other replicas are served at once.
func (a *App) gate() transport.Gate {
	if a.replica == nil {
		return nil
	}
	return a.replica
}

// servePeer passes a connection to the role that it is addressed to: replicas name themselves
// in the hello, and a box's session with a replica begins with a lease renewal. Everything else
// is for the entry, and so is a lease renewal in a process without a replica.
func (a *App) servePeer(hello *wire.Hello, c *transport.Conn) {
	if hello.Replica != "" {
		if a.replica != nil {
			a.replica.ServeReplica(hello, c)
		}
		return
	}
	first, err := c.Receive()
	if err != nil {
		return
	}
	switch {
	case first.GetRenewRequest() != nil && a.replica != nil:
		a.replica.ServeBox(first, c)
	case a.entry != nil:
		a.entry.ServePeer(hello, first, c)
	}
}

// Start starts all components of the process.
func (a *App) Start() error {
	if a.replica != nil {
		a.replica.Start()
		a.formSingleReplica()
	}
	if a.entry != nil {
		if err := a.entry.Start(); err != nil {
			return err
		}
	}
	if err := a.admin.Start(); err != nil {
		return err
	}
	a.admin.Publish()
	expvar.Publish("madderpond.traffic", expvar.Func(func() any { return transport.TrafficCounts() }))
	a.logTraffic()
	expvar.Publish("madderpond.log", expvar.Func(func() any { return map[string]uint64{"dropped": a.logger.Dropped()} }))
	a.metrics.Start()
	for _, x := range a.extensions {
		if err := x.Start(); err != nil {
			return err
		}
	}
	if a.boxList != nil {
		a.boxList.Start(a.setListedLeaving)
	}
	fields := logrus.Fields{"admin": a.admin.Address(), "peer": a.listener.Address(), "kind": "started"}
	if a.entry != nil {
		fields["entry"] = a.entry.Address()
	}
	a.Log.WithFields(fields).Info("madderpond has started")
	a.warnIfUnsecured()
	return nil
}

// Run serves until SIGTERM or SIGINT requests a planned stop, or until the replica halts on a
// fatal error, which it returns. A second signal ends the planned stop at once.
func (a *App) Run() error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	done := make(chan struct{})
	defer close(done)
	go a.reloader.Run(reloads, done)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := a.Start(); err != nil {
		a.releaseResources()
		return err
	}
	select {
	case <-signals:
	case err := <-a.halted():
		a.Log.WithError(err).WithField("kind", fault.KindOf(err)).Error("fatal error; madderpond stops")
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Settings.Stop.Leave.Std()+a.Settings.Stop.Limit.Std())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return a.Stop(ctx)
}

// applySettings applies those changes of the settings that need no restart.
func (a *App) applySettings(s *config.Settings) {
	a.logger.ChangeLevel(s.LogLevel)
	setMemoryLimit(s)
	if a.entry != nil {
		a.entry.SetReplicas(s)
		a.entry.SetRegions(s)
	}
	if a.replica != nil {
		a.replica.SetSeeds(s)
	}
}

// warnIfUnsecured logs a warning if the peer port has no TLS and isn't on a loopback address:
// any host that reaches it could then act as a box or a replica.
func (a *App) warnIfUnsecured() {
	address, err := netip.ParseAddrPort(a.listener.Address())
	if a.Security == nil && err == nil && !address.Addr().IsLoopback() {
		a.Log.Warn("the peer port accepts any host that can reach it; set peer.certificate, peer.key and peer.authority")
	}
}

// formSingleReplica forms a cluster of this replica alone, if the command line requests it. No
// other replica has to be waited for.
func (a *App) formSingleReplica() {
	if !a.formOnStart {
		return
	}
	if err := a.replica.FormCluster(nil); err != nil {
		a.Log.WithError(err).Info("no new cluster was formed")
	}
}

// setListedLeaving handles a change of this box's state in the list of live and leaving boxes that
// the environment publishes (setting platform.list): leaving is true if the list has this box
// among the leaving ones.
func (a *App) setListedLeaving(leaving bool) {
	a.Log.WithField("leaving", leaving).Info("this box's state in the platform's box list has changed")
	if a.entry != nil {
		a.entry.SetListedLeaving(leaving)
	}
}

// halted returns the channel on which the replica reports a fatal error. Without a replica it
// is nil and never delivers.
func (a *App) halted() <-chan error {
	if a.replica == nil {
		return nil
	}
	return a.replica.Halted()
}

// adminStopTimeout bounds how long a planned stop waits for open requests to the
// administration API and to the metrics server, for both together.
const adminStopTimeout = 200 * time.Millisecond

// Stop performs a planned stop: the box announces that it is leaving, keeps serving for
// stop.leave so that the load balancer in front of the boxes can react, and stops once every
// call is answered or ctx is done. The error is an Unavailable fault if calls were cut off.
func (a *App) Stop(ctx context.Context) error {
	a.Log.WithField("kind", "leaving").Info("planned stop started")
	a.trafficTimer.Stop()
	if a.boxList != nil {
		a.boxList.Stop()
	}
	var err error
	if a.entry != nil {
		a.entry.Leave(a.Settings.Stop.Leave.Std() + a.Settings.Stop.Limit.Std())
		select {
		case <-time.After(a.Settings.Stop.Leave.Std()):
		case <-ctx.Done():
		}
		err = a.entry.Stop(ctx)
	}
	for _, x := range a.extensions {
		x.Stop(ctx)
	}
	if a.replica != nil {
		a.replica.Stop(ctx)
	}
	a.listener.Close()
	// Long polls of /v1/watch must not delay the stop.
	adminCtx, cancel := context.WithTimeout(ctx, adminStopTimeout)
	defer cancel()
	a.admin.Stop(adminCtx)
	a.metrics.Stop(adminCtx)
	a.Log.WithField("kind", "stopped").Info("planned stop finished")
	return fault.Wrap(err, fault.Unavailable, "allow more time in stop.limit", "calls were still in flight at the end of the planned stop")
}

const (
	// trafficLogInterval is the time between two log lines about the traffic with other processes.
	trafficLogInterval = 20 * time.Second
	// maxTrafficKinds bounds the kinds of messages in such a line, to keep it short.
	maxTrafficKinds = 8
)

// logTraffic starts to log periodically which kinds of messages account for the most bytes
// since the start of the process.
func (a *App) logTraffic() {
	a.trafficTimer = time.AfterFunc(trafficLogInterval, func() {
		defer a.trafficTimer.Reset(trafficLogInterval)
		counts := transport.TrafficCounts()
		a.Log.WithFields(logrus.Fields{"kind": "traffic", "counts": counts[:min(maxTrafficKinds, len(counts))]}).Info("traffic between this process and others")
	})
}
