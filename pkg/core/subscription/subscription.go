// Package subscription is a box's connection to the control state: it attaches to the
// control replica that is reached first, keeps the table up to date, renews the lease
// on it and leaves a replica that no longer responds. It does no I/O; the shell executes its Effects.
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

// Default timings.
const (
	DefaultRenewInterval  = 400 * time.Millisecond
	DefaultReplicaTimeout = 850 * time.Millisecond
)

// Settings are the parameters of a subscription.
type Settings struct {
	Box table.Box
	// Replicas are the control replicas in the order of the settings, or some of them;
	// the leader lists the others.
	Replicas []units.ReplicaID
	// RenewInterval is the interval between two lease requests.
	RenewInterval time.Duration
	// ReplicaTimeout is how long a replica may go without activity before the box leaves it.
	ReplicaTimeout time.Duration
	// Start identifies this process of the box, so that grants for an earlier one are
	// ignored.
	Start uint64
	// Seed is the seed of the order of the replicas and the jitter of delays.
	Seed uint64
}

// Event is an input to Reduce.
type Event interface{ subscriptionEvent() }

// Tick reports that time has passed; it is due at NextWake.
type Tick struct{}

// Received is a message from the attached replica.
type Received struct {
	Attachment Attachment
	Envelope   *wire.Envelope
}

// Attached reports that the connection to a replica has been made.
type Attached struct {
	Attachment Attachment
	Replica    units.ReplicaID
}

// Detached reports that the connection to the replica has ended, or that no
// replica could be reached.
type Detached struct{ Attachment Attachment }

// ReplicasChanged reports that the settings name other replicas.
type ReplicasChanged struct{ Replicas []units.ReplicaID }

// Leaving reports whether the box is about to stop serving.
type Leaving struct{ IsLeaving bool }

func (Tick) subscriptionEvent()            {}
func (Received) subscriptionEvent()        {}
func (Attached) subscriptionEvent()        {}
func (Detached) subscriptionEvent()        {}
func (ReplicasChanged) subscriptionEvent() {}
func (Leaving) subscriptionEvent()         {}

// Attachment numbers the attempts to attach, so that events of an earlier attempt
// can be told from those of the current one.
type Attachment uint64

// Effects are the actions for the shell. Attach means: close the current connection,
// dial the Replicas concurrently and keep the connection that is
// made first, within DialTimeout.
type Effects struct {
	Attach      bool
	Replicas    []units.ReplicaID
	Attachment  Attachment
	DialTimeout time.Duration
	Sends       []*wire.Envelope
	// Table is set when the table has changed.
	Table *table.Table
	// LeaseChanged is set when LeaseUntil has changed.
	LeaseChanged bool
	// ExposuresChanged is set when Exposures replace the previous ones.
	ExposuresChanged bool
	Exposures        []rollout.Exposure
	// Watched is set when a grant carries or ends watched calls, acknowledges crash notes or is of
	// another leader's term.
	Watched *Watched
}

// grant is a lease that becomes valid once the table has reached its revision.
type grant struct {
	revision units.Revision
	// requestedAt is when the request for it was sent.
	requestedAt units.Instant
	expiresAt   units.Instant
}

// maxPendingGrants bounds the grants that wait for their revision, and the requests in flight.
const maxPendingGrants = 16

// Subscription is the state of a box's subscription.
type Subscription struct {
	settings   Settings
	random     *rand.Rand
	table      *table.Table
	attachment Attachment
	replicas   replicaList
	// assembly holds the fragments of a message that is being received.
	assembly  wire.Assembly
	link      link
	grantedAt units.Instant
	renewAt   units.Instant
	nonce     uint64
	// sentAt holds the send times of the requests in flight, by nonce.
	sentAt        map[uint64]units.Instant
	pendingGrants []grant
	leaseUntil    units.Instant
	// leaseRequestedAt is when the request for the current lease was sent.
	leaseRequestedAt units.Instant
	// leaseDuration is the duration of the last grant.
	leaseDuration time.Duration
	leaving       bool
	// exposuresNonce is the nonce of the request that the current exposures answer; hasExposures is
	// set while there are any.
	exposuresNonce uint64
	hasExposures   bool
	// watchedNonce is the nonce of the request that the current watched calls answer, watchedTerm the
	// leader's term in that answer; hasWatched is set while there are any.
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

// Reduce processes one event at a time of the box's clock and adds the resulting
// actions to e.
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

// receiveFragment adds a part of a large message. Each part counts as activity of the replica,
// however long the link takes to transfer all of them.
func (s *Subscription) receiveFragment(now units.Instant, f *wire.Fragment, e *Effects) {
	s.recordActivity(now)
	whole, err := s.assembly.Add(f)
	if err != nil {
		// A new attachment brings the whole table.
		s.disconnected(now)
		return
	}
	if whole != nil && whole.GetFragment() == nil {
		s.receive(now, whole, e)
	}
}

// replaceTable ignores revisions that aren't newer than the current one. A newer table
// counts as activity, so that its leader's grant may take the full timeout again.
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
		// A delta that doesn't follow is either old, which is harmless, or shows
		// that one was missed; a new attachment brings the whole table.
		if d.Revision > s.table.Revision {
			s.disconnected(now)
		}
		return
	}
	s.table = next
	e.Table = next
}

func (s *Subscription) receiveGrant(now units.Instant, r *wire.RenewResponse, e *Effects) {
	requestedAt, known := s.sentAt[r.Nonce]
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
	s.applyExposures(requestedAt, r, e)
	s.applyWatched(r, e)
	s.pendingGrants = append(s.pendingGrants, grant{
		revision:    units.Revision(r.Revision),
		requestedAt: requestedAt,
		expiresAt:   requestedAt.Add(time.Duration(r.Duration)),
	})
	if len(s.pendingGrants) > maxPendingGrants {
		s.pendingGrants = s.pendingGrants[1:]
	}
}

// activateGrants applies the grants whose revision the table has reached.
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

// NextWake returns the latest time at which the next Tick is due.
func (s *Subscription) NextWake() units.Instant {
	if s.link.state == linkUp {
		return s.renewAt
	}
	return s.link.nextDialAt
}

// LeaseUntil returns when the lease on the table expires. From then on the box
// can't know whether the table is still current.
func (s *Subscription) LeaseUntil() units.Instant { return s.leaseUntil }

// LeaseRequestedAt returns when the table was last known to be current: when the request for the
// current lease was sent.
func (s *Subscription) LeaseRequestedAt() units.Instant { return s.leaseRequestedAt }

// HasFreshLease reports whether at least half of the lease is left. Otherwise the box
// has missed several renewals, and new callers should be sent to other boxes while it can
// still answer.
func (s *Subscription) HasFreshLease(now units.Instant) bool {
	return s.leaseUntil.Sub(now) > s.leaseDuration/2
}

// Table returns the current table, which is never modified in place.
func (s *Subscription) Table() *table.Table { return s.table }

// Status is a subscription's state as written to the dump.
type Status struct {
	Box      units.BoxID     `json:"box"`
	Replica  units.ReplicaID `json:"replica"`
	Attached bool            `json:"attached"`
	Revision units.Revision  `json:"revision"`
	// LeaseLeft is the remaining time of the lease; negative after it has expired.
	LeaseLeft time.Duration `json:"leaseLeft"`
	// GrantAge is the time since the last grant.
	GrantAge time.Duration `json:"grantAge"`
	Leaving  bool          `json:"leaving"`
}

// Status returns the subscription's state at the given time.
func (s *Subscription) Status(now units.Instant) Status {
	status := Status{
		Box: s.settings.Box.ID, Attached: s.link.state == linkUp, Revision: s.table.Revision,
		LeaseLeft: s.leaseUntil.Sub(now), GrantAge: now.Sub(s.grantedAt), Leaving: s.leaving,
	}
	status.Replica = s.replicas.current
	return status
}

// Attachment returns the number of the current attempt to attach, or of the connection it made.
func (s *Subscription) Attachment() Attachment { return s.attachment }
