// Package box implements the decision logic of an entry box: one reducer over all
// of its events, composed of its subscription to the control state and its router.
package box

import (
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Event is a subscription.Event, a routing.Event or a Tick.
type Event any

// Tick reports that time has passed; it is due at NextWake.
type Tick struct{}

// Effects are the actions for the shell, which does the I/O.
type Effects struct {
	Subscription subscription.Effects
	Routing      routing.Effects
}

// Reset clears the effects and keeps their capacity.
func (e *Effects) Reset() {
	e.Subscription = subscription.Effects{}
	e.Routing.Reset()
}

// Box is the state of an entry box.
type Box struct {
	subscription *subscription.Subscription
	router       *routing.Router
}

// NewBox returns a box that has no table yet. The error is an Invalid fault when
// the settings name an unknown policy.
func NewBox(s subscription.Settings, r routing.Settings, now units.Instant) (*Box, error) {
	router, err := routing.NewRouter(r, now)
	if err != nil {
		return nil, err
	}
	return &Box{subscription: subscription.NewSubscription(s, now), router: router}, nil
}

// Reduce processes one event at a time of the box's clock and adds the resulting
// actions to e.
func (b *Box) Reduce(now units.Instant, event Event, e *Effects) {
	switch v := event.(type) {
	case routing.Event:
		b.router.Reduce(now, v, &e.Routing)
	case subscription.Event:
		b.reduceSubscription(now, v, e)
	case Tick:
		b.reduceSubscription(now, subscription.Tick{}, e)
		b.router.Reduce(now, &routing.Tick{}, &e.Routing)
	}
	if b.router.EvidenceDue() {
		b.reduceSubscription(now, subscription.RenewNow{}, e)
	}
}

// reduceSubscription also passes the changes that result from the event to the router.
func (b *Box) reduceSubscription(now units.Instant, event subscription.Event, e *Effects) {
	before := len(e.Subscription.Sends)
	b.subscription.Reduce(now, event, &e.Subscription)
	if e.Subscription.Table != nil {
		b.router.Reduce(now, &routing.TableChanged{Table: e.Subscription.Table}, &e.Routing)
		e.Subscription.Table = nil
	}
	// Exposures precede the lease, as the lease makes the router handle calls that have waited for it.
	if e.Subscription.ExposuresChanged {
		b.router.Reduce(now, &routing.ExposuresChanged{Exposures: e.Subscription.Exposures}, &e.Routing)
		e.Subscription.ExposuresChanged = false
		e.Subscription.Exposures = nil
	}
	if x := e.Subscription.Watched; x != nil {
		b.router.Reduce(now, &routing.WatchedCallsChanged{Term: x.Term, Acknowledged: x.Acknowledged, Calls: x.Calls}, &e.Routing)
		e.Subscription.Watched = nil
	}
	if e.Subscription.LeaseChanged {
		b.router.Reduce(now, &routing.LeaseChanged{Until: b.subscription.LeaseUntil(), At: b.subscription.LeaseRequestedAt()}, &e.Routing)
		e.Subscription.LeaseChanged = false
	}
	b.addEvidence(now, e.Subscription.Sends[before:])
}

// addEvidence adds to lease requests what the router has observed about new versions,
// crashes and workspaces' calls.
func (b *Box) addEvidence(now units.Instant, sends []*wire.Envelope) {
	for _, m := range sends {
		if x := m.GetRenewRequest(); x != nil {
			x.Evidence = wire.FromEvidence(b.router.CollectEvidence())
			x.CrashNotes = wire.FromCrashNotes(b.router.CrashNotes(), now)
			x.Refused = wire.FromFingerprints(b.router.DrainRefused())
			x.Uses = wire.FromQuotaUses(b.router.DrainQuotaUsage(now))
		}
	}
}

// NextWake returns the latest time at which the next Tick is due.
func (b *Box) NextWake() units.Instant {
	return min(b.subscription.NextWake(), b.router.NextWake())
}

// Ready reports whether callers should be sent to this box.
func (b *Box) Ready(now units.Instant) bool {
	return b.router.Serving(now) && (b.router.ServesStale() || b.subscription.HasFreshLease(now))
}

// Subscription returns the box's subscription, which mustn't be changed.
func (b *Box) Subscription() *subscription.Subscription { return b.subscription }

// Router returns the box's router, which mustn't be changed.
func (b *Box) Router() *routing.Router { return b.router }

// Status is a box's state as written to the dump.
type Status struct {
	Subscription subscription.Status `json:"subscription"`
	Routing      routing.Status      `json:"routing"`
}

// Status returns the box's state at the given time.
func (b *Box) Status(now units.Instant) Status {
	return Status{Subscription: b.subscription.Status(now), Routing: b.router.Status(now)}
}
