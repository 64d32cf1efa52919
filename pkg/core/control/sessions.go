package control

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// session is a box that is attached to this replica.
type session struct {
	connection ConnectionID
	box        units.BoxID
	// sent is the revision up to which the box was sent the table.
	sent units.Revision
	// waiting is the box's last request for a lease while it waits for a leader.
	waiting *wire.RenewRequest
}

func (r *Replica) receiveBox(v BoxMessage, log *replication.Effects, e *Effects) {
	request := v.Envelope.GetRenewRequest()
	if request == nil || request.Box == nil {
		return
	}
	s := r.attach(v.Connection, request)
	r.push(s, e)
	if !r.caughtUp {
		r.keepWaiting(s, request, e)
		return
	}
	r.renew(s, request, log, e)
}

// keepWaiting keeps a request until a leader can answer it, and lets the box know, so that
// it neither asks again soon nor looks for another replica while the replicas elect a
// leader. What that saves wasn't measured by itself.
func (r *Replica) keepWaiting(s *session, request *wire.RenewRequest, e *Effects) {
	s.waiting = request
	// By the time a leader gets the request the box may have sent calls that its evidence leaves
	// out. Without a revision it doesn't count as a box that has drained the old version.
	request.Revision = 0
	// The notes' ages would no longer be true; the box sends them again.
	request.CrashNotes = nil
	answer := r.boxEnvelope()
	answer.Body = &wire.Envelope_RenewResponse{RenewResponse: &wire.RenewResponse{Box: request.Box.Id, Nonce: request.Nonce, Start: request.Start}}
	e.BoxSends = append(e.BoxSends, BoxSend{Connection: s.connection, Envelope: answer})
}

// renew has the leader answer a request for a lease.
func (r *Replica) renew(s *session, request *wire.RenewRequest, log *replication.Effects, e *Effects) {
	s.waiting = nil
	if !r.node.IsLeader() {
		r.passRenewal(request, log)
		return
	}
	r.grant(request, e, func(granted *wire.Envelope) {
		answer := r.boxEnvelope()
		answer.Body = granted.Body
		e.BoxSends = append(e.BoxSends, BoxSend{Connection: s.connection, Envelope: answer})
	})
}

// noticeCatchingUp serves the boxes that have waited for a leader: it knows the newest
// table, and so does this replica now.
func (r *Replica) noticeCatchingUp(log *replication.Effects, e *Effects) {
	caughtUp := r.node.CaughtUp() && (!r.node.IsLeader() || r.node.HasLease(r.now))
	if caughtUp == r.caughtUp {
		return
	}
	r.caughtUp = caughtUp
	if !caughtUp {
		return
	}
	r.noteReplayed(e)
	r.pushPending = true
	r.pushAt = r.now
	for _, c := range r.sessions.Keys() {
		if s := r.sessions.Get(c); s.waiting != nil {
			r.renew(s, s.waiting, log, e)
		}
	}
}

func (r *Replica) attach(c ConnectionID, request *wire.RenewRequest) *session {
	s := r.sessions.Get(c)
	if s == nil {
		s = &session{connection: c, sent: units.Revision(request.Revision)}
		r.sessions.Put(c, s)
	}
	s.box = units.BoxID(request.Box.Id)
	return s
}

func (r *Replica) passRenewal(request *wire.RenewRequest, log *replication.Effects) {
	request.Replica = string(r.settings.Replication.ID)
	r.sendLeader(&wire.Envelope_RenewRequest{RenewRequest: request}, log)
}

// passGrant hands a leader's grant to the box it is for, if it is still here.
func (r *Replica) passGrant(m *wire.Envelope, e *Effects) {
	for _, c := range r.sessions.Keys() {
		if string(r.sessions.Get(c).box) == m.GetRenewResponse().Box {
			answer := r.boxEnvelope()
			answer.Body = m.Body
			e.BoxSends = append(e.BoxSends, BoxSend{Connection: c, Envelope: answer})
		}
	}
}

// pushDue brings all boxes up to date, unless that was done a moment ago. It is done once
// an event, whatever that committed: a replica that has read its log again doesn't show
// boxes each step of its history.
func (r *Replica) pushDue(e *Effects) {
	r.pushPending = r.pushPending || e.TableChanged
	if !r.pushPending || r.now < r.pushAt {
		return
	}
	r.pushPending = false
	r.pushAt = r.now.Add(pushPeriod)
	for _, c := range r.sessions.Keys() {
		r.push(r.sessions.Get(c), e)
	}
}

// push brings a box up to the present revision, by the changes it lacks where
// they are still kept, and by the whole table otherwise. A box that knows more
// than this replica is left alone until the replica has caught up.
func (r *Replica) push(s *session, e *Effects) {
	present := r.state.Table()
	if s.sent >= present.Revision || !r.node.Formed() || r.holdsTable(s) {
		return
	}
	for _, m := range r.messagesSince(s.sent, e) {
		e.BoxSends = append(e.BoxSends, BoxSend{Connection: s.connection, Envelope: m})
	}
	s.sent = present.Revision
}

// tableHold is for how long after its start a replica sends no whole table that may be an
// old one. Leaders stood 43 to 350 ms after the start of replicas that had lost power; a
// box without a table holds its calls for a little longer.
const tableHold = 400 * time.Millisecond

// holdsTable tells whether a box had better wait for the newest table: the one on this
// replica's disk is as old as its last snapshot, and a whole table takes a box's link and
// processor as long as the newest one does.
func (r *Replica) holdsTable(s *session) bool {
	return !r.caughtUp && r.now < r.startedAt.Add(tableHold) && r.needsWholeTable(s.sent)
}

// needsWholeTable tells whether changes don't lead from a revision to the present one:
// they aren't all kept, or there is no table to change.
func (r *Replica) needsWholeTable(from units.Revision) bool {
	return from == 0 || int(r.state.Table().Revision-from) > r.deltas.Len()
}

// boxEnvelope is a message to a box, which knows whom it is attached to: every byte of
// it goes to every box.
func (r *Replica) boxEnvelope() *wire.Envelope { return &wire.Envelope{} }

// boxUpdate is the messages that bring a box from one revision to another. They are made
// once for all boxes.
type boxUpdate struct {
	from, to units.Revision
	messages []*wire.Envelope
}

// messagesSince returns what brings a box from a revision to the present one.
func (r *Replica) messagesSince(from units.Revision, e *Effects) []*wire.Envelope {
	to := r.state.Table().Revision
	if u := &r.lastUpdate; u.messages != nil && u.from == from && u.to == to {
		return u.messages
	}
	m := r.boxEnvelope()
	m.Body = r.bodySince(from)
	r.lastUpdate = boxUpdate{from: from, to: to, messages: fragments(m, e)}
	return r.lastUpdate.messages
}

// bodySince is the changes that follow a revision, or the whole table.
func (r *Replica) bodySince(from units.Revision) wire.Body {
	present := r.state.Table()
	if r.needsWholeTable(from) {
		return &wire.Envelope_Table{Table: wire.FromTable(present)}
	}
	missing := int(present.Revision - from)
	batch := &wire.DeltaBatch{}
	for i := r.deltas.Len() - missing; i < r.deltas.Len(); i++ {
		batch.Deltas = append(batch.Deltas, wire.FromDelta(r.deltas.At(i)))
	}
	return &wire.Envelope_DeltaBatch{DeltaBatch: batch}
}

// fragments divides a message; one that can't be encoded stops the replica.
func fragments(m *wire.Envelope, e *Effects) []*wire.Envelope {
	list, err := wire.Fragments(m)
	if err != nil {
		e.Halt = err
	}
	return list
}
