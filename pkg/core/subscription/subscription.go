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
	DefaultRenewEvery = 400 * time.Millisecond
	DefaultSilence    = 850 * time.Millisecond
)

// Settings are what a box needs to know to subscribe.
type Settings struct {
	Box table.Box
	// Replicas are the control replicas, in the settings' order, or those of them
	// that the settings know; the leader names the others.
	Replicas []units.ReplicaID
	// RenewEvery is the time between two requests for a lease.
	RenewEvery time.Duration
	// Silence is how long a replica may go without granting a lease.
	Silence time.Duration
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
type Leaving struct{ On bool }

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
	Attach     bool
	Replicas   []units.ReplicaID
	Attachment Attachment
	DialLimit  time.Duration
	Sends      []*wire.Envelope
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
	// sent is when the request for it was sent.
	sent  units.Instant
	until units.Instant
}

// maxGrants bounds the leases that wait for their revision.
const maxGrants = 16

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
	sentAt     map[uint64]units.Instant
	grants     []grant
	leaseUntil units.Instant
	// leasedAt is when the request for the present lease was sent.
	leasedAt units.Instant
	// leaseTime is how long the last grant was for.
	leaseTime time.Duration
	leaving   bool
	// exposedBy names the request whose answer the present exposures came with; exposed is set
	// while there are some.
	exposedBy uint64
	exposed   bool
	// watchedBy names the request whose answer last said which calls are watched, watchedTerm the
	// leader that said so; watching is set while there are some.
	watchedBy   uint64
	watchedTerm units.Term
	watching    bool
}

// NewSubscription returns a subscription that has no table yet.
func NewSubscription(s Settings, now units.Instant) *Subscription {
	random := rand.New(rand.NewPCG(s.Seed, s.Start))
	return &Subscription{
		settings: s,
		random:   random,
		table:    table.NewTable(),
		replicas: newReplicaList(s.Replicas, random),
		link:     link{nextAt: now},
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
		s.leaving = v.On
		s.renewAt = now
		s.tick(now, e)
	case Urgent:
		s.sendUrgently(now, e)
	}
}

func (s *Subscription) tick(now units.Instant, e *Effects) {
	if s.link.state == linkUp && now.Sub(max(s.link.since, s.grantedAt)) >= s.patience() {
		s.disconnected(now)
	}
	if s.link.state != linkUp && now >= s.link.nextAt {
		s.attach(now, e)
	}
	if s.link.state == linkUp && now >= s.renewAt {
		s.renew(now, e)
		s.moveHome(now, e)
	}
}

func (s *Subscription) renew(now units.Instant, e *Effects) {
	s.renewAt = now.Add(s.renewPeriod())
	s.sendRenewal(now, e)
}

func (s *Subscription) sendRenewal(now units.Instant, e *Effects) {
	s.nonce++
	s.sentAt[s.nonce] = now
	delete(s.sentAt, s.nonce-maxGrants)
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
		s.takeGrant(now, b.RenewResponse, e)
	case *wire.Envelope_Fragment:
		s.takeFragment(now, b.Fragment, e)
	}
	s.useGrants(e)
}

// takeFragment takes a part of a large message. Each one shows that the replica is at
// work, however long the link takes for all of them.
func (s *Subscription) takeFragment(now units.Instant, f *wire.Fragment, e *Effects) {
	s.noteNews(now)
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
	s.noteNews(now)
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

func (s *Subscription) takeGrant(now units.Instant, r *wire.RenewResponse, e *Effects) {
	sent, known := s.sentAt[r.Nonce]
	if !known || r.Start != s.settings.Start {
		return
	}
	if r.Duration == 0 {
		s.link.waits = true
		return
	}
	delete(s.sentAt, r.Nonce)
	s.replicas.learn(r.Replicas, r.ReplicaDomains)
	s.noteNews(now)
	s.grantedAt = now
	s.leaseTime = time.Duration(r.Duration)
	s.takeExposures(sent, r, e)
	s.takeWatched(r, e)
	s.grants = append(s.grants, grant{
		revision: units.Revision(r.Revision),
		sent:     sent,
		until:    sent.Add(time.Duration(r.Duration)),
	})
	if len(s.grants) > maxGrants {
		s.grants = s.grants[1:]
	}
}

// useGrants puts those leases in force whose revision has been reached.
func (s *Subscription) useGrants(e *Effects) {
	s.grants = slices.DeleteFunc(s.grants, func(g grant) bool {
		if g.revision > s.table.Revision {
			return false
		}
		if g.until > s.leaseUntil {
			s.leaseUntil, s.leasedAt = g.until, g.sent
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
	return s.link.nextAt
}

// LeaseUntil returns when the lease on the table runs out; from then on the box
// can't know whether the table is still in force.
func (s *Subscription) LeaseUntil() units.Instant { return s.leaseUntil }

// LeasedAt returns when the table was last known to be in force: when the request for the
// present lease was sent.
func (s *Subscription) LeasedAt() units.Instant { return s.leasedAt }

// Fresh tells whether at least half of the lease is left. A box that isn't fresh
// has missed several renewals; callers had better be sent elsewhere while it can
// still answer those that come.
func (s *Subscription) Fresh(now units.Instant) bool {
	return s.leaseUntil.Sub(now) > s.leaseTime/2
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
