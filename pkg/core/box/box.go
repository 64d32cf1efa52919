// Package box is the whole decision logic of an entry box: one reducer over all
// of its events, made of its subscription to the control state and its routing.
package box

import (
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Event is a subscription.Event, a routing.Event or a Tick.
type Event any

// Tick says that time has passed; it is due at NextWake.
type Tick struct{}

// Effects are what the shell is to do.
type Effects struct {
	Subscription subscription.Effects
	Routing      routing.Effects
}

// Reset empties the effects and keeps their room.
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

// Reduce takes one event at a time of the box's clock and adds what is to be
// done to e.
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
		b.reduceSubscription(now, subscription.Urgent{}, e)
	}
}

// reduceSubscription lets the router know at once what has changed.
func (b *Box) reduceSubscription(now units.Instant, event subscription.Event, e *Effects) {
	before := len(e.Subscription.Sends)
	b.subscription.Reduce(now, event, &e.Subscription)
	if e.Subscription.Table != nil {
		b.router.Reduce(now, &routing.TableChanged{Table: e.Subscription.Table}, &e.Routing)
		e.Subscription.Table = nil
	}
	// Before the lease, which has the router decide about calls that came before it.
	if e.Subscription.ExposuresChanged {
		b.router.Reduce(now, &routing.ExposuresChanged{Exposures: e.Subscription.Exposures}, &e.Routing)
		e.Subscription.ExposuresChanged = false
		e.Subscription.Exposures = nil
	}
	if x := e.Subscription.Watched; x != nil {
		b.router.Reduce(now, &routing.WatchedCallsChanged{Term: x.Term, Acknowledged: x.Noted, Calls: x.Calls}, &e.Routing)
		e.Subscription.Watched = nil
	}
	if e.Subscription.LeaseChanged {
		b.router.Reduce(now, &routing.LeaseChanged{Until: b.subscription.LeaseUntil(), At: b.subscription.LeasedAt()}, &e.Routing)
		e.Subscription.LeaseChanged = false
	}
	b.addEvidence(now, e.Subscription.Sends[before:])
}

// addEvidence has requests for a lease carry what the router has seen of new versions, of
// crashes and of workspaces' calls.
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

// NextWake returns when the next Tick is due at the latest.
func (b *Box) NextWake() units.Instant {
	return min(b.subscription.NextWake(), b.router.NextWake())
}

// Ready tells whether callers should be sent to this box.
func (b *Box) Ready(now units.Instant) bool {
	return b.router.Serving(now) && (b.router.ServesStale() || b.subscription.Fresh(now))
}

// Subscription returns the box's subscription, for reading.
func (b *Box) Subscription() *subscription.Subscription { return b.subscription }

// Router returns the box's router, for reading.
func (b *Box) Router() *routing.Router { return b.router }

// Status is a box's state as the dump shows it.
type Status struct {
	Subscription subscription.Status `json:"subscription"`
	Routing      routing.Status      `json:"routing"`
}

// Status returns the box's state at a time.
func (b *Box) Status(now units.Instant) Status {
	return Status{Subscription: b.subscription.Status(now), Routing: b.router.Status(now)}
}
