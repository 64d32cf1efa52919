// Package subscription is a box's side of the control state: it attaches to the
// control replica that is reached first, keeps the table up to date, renews the
// lease on it and moves on from a replica that has gone silent. It is pure.
package subscription

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Defaults of the timings.
const (
	DefaultRenewInterval  = 400 * time.Millisecond
	DefaultReplicaTimeout = 850 * time.Millisecond
)

// Settings are what a box needs to know to subscribe.
type Settings struct {
	Box table.Box
	// Replicas are the control replicas, in the settings' order, or those of them
	// that the settings know; the leader names the others.
	Replicas []units.ReplicaID
	// RenewInterval is the time between two requests for a lease.
	RenewInterval time.Duration
	// ReplicaTimeout is how long a replica may go without granting a lease.
	ReplicaTimeout time.Duration
	// Start names this run of the box, so that grants for an earlier one don't
	// count.
	Start uint64
	// Seed feeds the order of the replicas and the jitter of pauses.
	Seed uint64
}

// Event is something that happened outside of the core.
type Event interface{ subscriptionEvent() }

// Tick says that time has passed; it is due at NextWake.
type Tick struct{}

// Received is a message from the attached replica.
type Received struct {
	Attachment Attachment
	Envelope   *wire.Envelope
}

// Attached says that the connection to a replica has been made.
type Attached struct {
	Attachment Attachment
	Replica    units.ReplicaID
}

// Detached says that the connection to the replica has ended, or that none of the
// replicas could be reached.
type Detached struct{ Attachment Attachment }

// ReplicasChanged says that the settings name other replicas.
type ReplicasChanged struct{ Replicas []units.ReplicaID }

// Leaving says whether the box is about to go.
type Leaving struct{ IsLeaving bool }

func (Tick) subscriptionEvent()            {}
func (Received) subscriptionEvent()        {}
func (Attached) subscriptionEvent()        {}
func (Detached) subscriptionEvent()        {}
func (ReplicasChanged) subscriptionEvent() {}
func (Leaving) subscriptionEvent()         {}

// Attachment numbers the attempts to attach, so that news of an earlier one
// can't be taken for the present one's.
type Attachment uint64

// Effects are what the shell is to do. Attach means: end the connection there
// is, connect to the Replicas at the same time and keep the connection that is
// made first, within DialLimit.
type Effects struct {
	Attach      bool
	Replicas    []units.ReplicaID
	Attachment  Attachment
	DialTimeout time.Duration
	Sends       []*wire.Envelope
	// Table is set when a new table is in force.
	Table *table.Table
	// LeaseChanged is set when LeaseUntil returns something new.
	LeaseChanged bool
	// ExposuresChanged is set when Exposures replace those there were.
	ExposuresChanged bool
	Exposures        []rollout.Exposure
	// Watched is set when a grant says something of calls under which targets crash.
	Watched *Watched
}

// grant is a lease that waits for the revision it was given for.
type grant struct {
	revision units.Revision
	// requestedAt is when the request for it was requestedAt.
	requestedAt units.Instant
	expiresAt   units.Instant
}

// maxPendingGrants bounds the leases that wait for their revision.
const maxPendingGrants = 16

// Subscription is the state of a box's subscription.
type Subscription struct {
	settings   Settings
	random     *rand.Rand
	table      *table.Table
	attachment Attachment
	replicas   replicaList
	// assembly holds the fragments of a message that is coming in.
	assembly  wire.Assembly
	link      link
	grantedAt units.Instant
	renewAt   units.Instant
	nonce     uint64
	// sentAt remembers when the requests that are under way were sent.
	sentAt        map[uint64]units.Instant
	pendingGrants []grant
	leaseUntil    units.Instant
	// leaseRequestedAt is when the request for the present lease was sent.
	leaseRequestedAt units.Instant
	// leaseDuration is how long the last grant was for.
	leaseDuration time.Duration
	leaving       bool
	// exposuresNonce names the request whose answer the present exposures came with; exposed is set
	// while there are some.
	exposuresNonce uint64
	hasExposures   bool
	// watchedNonce names the request whose answer last said which calls are watched, watchedTerm the
	// leader that said so; watching is set while there are some.
	watchedNonce uint64
	watchedTerm  units.Term
	hasWatched   bool
}

// NewSubscription returns a subscription that has no table yet.
func NewSubscription(s Settings, now units.Instant) *Subscription {
	random := rand.New(rand.NewPCG(s.Seed, s.Start))
	return &Subscription{
		settings: s,
		random:   random,
		table:    table.NewTable(),
		replicas: newReplicaList(s.Replicas, random),
		link:     link{nextDialAt: now},
		sentAt:   map[uint64]units.Instant{},
		renewAt:  now,
	}
}

// Reduce takes one event at a time of the box's clock and adds what is to be
// done to e.
func (s *Subscription) Reduce(now units.Instant, event Event, e *Effects) {
	switch v := event.(type) {
	case Tick:
		s.tick(now, e)
	case Received:
		if v.Attachment == s.attachment {
			s.receive(now, v.Envelope, e)
		}
	case Attached:
		if v.Attachment == s.attachment {
			s.connected(now, v.Replica, e)
		}
	case Detached:
		if v.Attachment == s.attachment {
			s.disconnected(now)
		}
	case ReplicasChanged:
		s.replicas.configure(v.Replicas)
	case Leaving:
		s.leaving = v.IsLeaving
		s.renewAt = now
		s.tick(now, e)
	case RenewNow:
		s.renewNow(now, e)
	}
}

func (s *Subscription) tick(now units.Instant, e *Effects) {
	if s.link.state == linkUp && now.Sub(max(s.link.lastActivity, s.grantedAt)) >= s.replicaTimeout() {
		s.disconnected(now)
	}
	if s.link.state != linkUp && now >= s.link.nextDialAt {
		s.attach(now, e)
	}
	if s.link.state == linkUp && now >= s.renewAt {
		s.renew(now, e)
		s.moveToPreferred(now, e)
	}
}

func (s *Subscription) renew(now units.Instant, e *Effects) {
	s.renewAt = now.Add(s.renewInterval())
	s.sendRenewal(now, e)
}

func (s *Subscription) sendRenewal(now units.Instant, e *Effects) {
	s.nonce++
	s.sentAt[s.nonce] = now
	delete(s.sentAt, s.nonce-maxPendingGrants)
	box := s.settings.Box
	box.Leaving = s.leaving
	m := &wire.Envelope{From: string(box.ID), Body: &wire.Envelope_RenewRequest{RenewRequest: &wire.RenewRequest{
		Box:      wire.FromBox(box),
		Revision: uint64(s.table.Revision),
		Nonce:    s.nonce,
		Start:    s.settings.Start,
		Replicas: s.replicas.checksum,
	}}}
	e.Sends = append(e.Sends, m)
}

func (s *Subscription) receive(now units.Instant, m *wire.Envelope, e *Effects) {
	switch b := m.Body.(type) {
	case *wire.Envelope_Table:
		s.replaceTable(now, wire.ToTable(b.Table), e)
	case *wire.Envelope_DeltaBatch:
		for _, d := range b.DeltaBatch.Deltas {
			s.patchTable(now, wire.ToDelta(d), e)
		}
	case *wire.Envelope_RenewResponse:
		s.receiveGrant(now, b.RenewResponse, e)
	case *wire.Envelope_Fragment:
		s.receiveFragment(now, b.Fragment, e)
	}
	s.activateGrants(e)
}

// receiveFragment takes a part of a large message. Each one shows that the replica is at
// work, however long the link takes for all of them.
func (s *Subscription) receiveFragment(now units.Instant, f *wire.Fragment, e *Effects) {
	s.recordActivity(now)
	whole, err := s.assembly.Add(f)
	if err != nil {
		// Attaching anew brings the whole table.
		s.disconnected(now)
		return
	}
	if whole != nil && whole.GetFragment() == nil {
		s.receive(now, whole, e)
	}
}

// replaceTable never goes back to an earlier revision than one in force. A newer table
// shows that the replica is at work, so its leader's grant has time anew.
func (s *Subscription) replaceTable(now units.Instant, t *table.Table, e *Effects) {
	if t.Revision <= s.table.Revision {
		return
	}
	s.recordActivity(now)
	s.table = t
	e.Table = t
}

func (s *Subscription) patchTable(now units.Instant, d *table.Delta, e *Effects) {
	next, ok := s.table.Patch(d)
	if !ok {
		// A change that doesn't follow is either old, which is harmless, or shows
		// that one was missed; attaching anew brings the whole table.
		if d.Revision > s.table.Revision {
			s.disconnected(now)
		}
		return
	}
	s.table = next
	e.Table = next
}

func (s *Subscription) receiveGrant(now units.Instant, r *wire.RenewResponse, e *Effects) {
	sent, known := s.sentAt[r.Nonce]
	if !known || r.Start != s.settings.Start {
		return
	}
	if r.Duration == 0 {
		s.link.awaitsLeader = true
		return
	}
	delete(s.sentAt, r.Nonce)
	s.replicas.updateListed(r.Replicas, r.ReplicaDomains)
	s.recordActivity(now)
	s.grantedAt = now
	s.leaseDuration = time.Duration(r.Duration)
	s.applyExposures(sent, r, e)
	s.applyWatched(r, e)
	s.pendingGrants = append(s.pendingGrants, grant{
		revision:    units.Revision(r.Revision),
		requestedAt: sent,
		expiresAt:   sent.Add(time.Duration(r.Duration)),
	})
	if len(s.pendingGrants) > maxPendingGrants {
		s.pendingGrants = s.pendingGrants[1:]
	}
}

// activateGrants puts those leases in force whose revision has been reached.
func (s *Subscription) activateGrants(e *Effects) {
	s.pendingGrants = slices.DeleteFunc(s.pendingGrants, func(g grant) bool {
		if g.revision > s.table.Revision {
			return false
		}
		if g.expiresAt > s.leaseUntil {
			s.leaseUntil, s.leaseRequestedAt = g.expiresAt, g.requestedAt
			e.LeaseChanged = true
		}
		return true
	})
}

// NextWake returns when the next Tick is due at the latest.
func (s *Subscription) NextWake() units.Instant {
	if s.link.state == linkUp {
		return s.renewAt
	}
	return s.link.nextDialAt
}

// LeaseUntil returns when the lease on the table runs out; from then on the box
// can't know whether the table is still in force.
func (s *Subscription) LeaseUntil() units.Instant { return s.leaseUntil }

// LeaseRequestedAt returns when the table was last known to be in force: when the request for the
// present lease was sent.
func (s *Subscription) LeaseRequestedAt() units.Instant { return s.leaseRequestedAt }

// HasFreshLease tells whether at least half of the lease is left. A box that isn't fresh
// has missed several renewals; callers had better be sent elsewhere while it can
// still answer those that come.
func (s *Subscription) HasFreshLease(now units.Instant) bool {
	return s.leaseUntil.Sub(now) > s.leaseDuration/2
}

// Table returns the table in force, which is never changed in place.
func (s *Subscription) Table() *table.Table { return s.table }

// Status is a subscription's state as the dump shows it.
type Status struct {
	Box      units.BoxID     `json:"box"`
	Replica  units.ReplicaID `json:"replica"`
	Attached bool            `json:"attached"`
	Revision units.Revision  `json:"revision"`
	// LeaseLeft is how long the lease still holds; negative when it has run out.
	LeaseLeft time.Duration `json:"leaseLeft"`
	// GrantAge is how long ago the last grant came.
	GrantAge time.Duration `json:"grantAge"`
	Leaving  bool          `json:"leaving"`
}

// Status returns the subscription's state at a time.
func (s *Subscription) Status(now units.Instant) Status {
	status := Status{
		Box: s.settings.Box.ID, Attached: s.link.state == linkUp, Revision: s.table.Revision,
		LeaseLeft: s.leaseUntil.Sub(now), GrantAge: now.Sub(s.grantedAt), Leaving: s.leaving,
	}
	status.Replica = s.replicas.current
	return status
}

// Attachment returns the number of the present attempt to attach, or of the connection.
func (s *Subscription) Attachment() Attachment { return s.attachment }
