package control

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// session is the state of a box that is attached to this replica.
type session struct {
	connection ConnectionID
	box        table.Box
	// sentRevision is the revision of the table that was last sent to the box, or that it had when
	// it attached. table is that table if this replica sent it, or a later one in which the box's
	// part is the same.
	sentRevision units.Revision
	table        *table.Table
	// queued is set while the box waits for its part of a whole table.
	queued bool
	// deferred is the box's last lease request while it waits for a leader.
	deferred *wire.RenewRequest
}

func (r *Replica) receiveBox(v BoxMessage, log *replication.Effects, e *Effects) {
	request := v.Envelope.GetRenewRequest()
	if request == nil || request.Box == nil {
		return
	}
	s := r.attach(v.Connection, request)
	r.push(s, true, e)
	if !r.caughtUp {
		r.deferRenewal(s, request, e)
		return
	}
	r.renew(s, request, log, e)
}

// deferRenewal keeps a lease request until a leader can answer it, and acknowledges it to the box,
// so that the box neither asks again soon nor tries another replica while the replicas elect a
// leader.
func (r *Replica) deferRenewal(s *session, request *wire.RenewRequest, e *Effects) {
	s.deferred = request
	// By the time a leader gets the request, the box may have sent calls that its evidence doesn't
	// include. Without a revision the leader doesn't count the box as one that has drained the old
	// version of a rollout.
	request.Revision = 0
	// The ages of the crash notes would be out of date; the box sends the notes again.
	request.CrashNotes = nil
	answer := r.boxEnvelope()
	answer.Body = &wire.Envelope_RenewResponse{RenewResponse: &wire.RenewResponse{Box: request.Box.Id, Nonce: request.Nonce, Start: request.Start}}
	e.BoxSends = append(e.BoxSends, BoxSend{Connection: s.connection, Envelope: answer})
}

// renew answers a lease request on the leader, or forwards it to the leader.
func (r *Replica) renew(s *session, request *wire.RenewRequest, log *replication.Effects, e *Effects) {
	s.deferred = nil
	if !r.node.IsLeader() {
		r.forwardRenewal(request, log)
		return
	}
	r.grantLease(request, e, func(granted *wire.Envelope) {
		answer := r.boxEnvelope()
		answer.Body = granted.Body
		e.BoxSends = append(e.BoxSends, BoxSend{Connection: s.connection, Envelope: answer})
	})
}

// updateCaughtUp updates whether this replica has caught up with a leader. Once it has, it knows
// the newest table, sends it to the boxes and has their deferred lease requests answered.
func (r *Replica) updateCaughtUp(log *replication.Effects, e *Effects) {
	caughtUp := r.node.CaughtUp() && (!r.node.IsLeader() || r.node.HasLease(r.now))
	if caughtUp == r.caughtUp {
		return
	}
	r.caughtUp = caughtUp
	if !caughtUp {
		return
	}
	r.finishReplay(e)
	r.pushPending = true
	r.pushAt = r.now
	for _, c := range r.sessions.Keys() {
		if s := r.sessions.Get(c); s.deferred != nil {
			r.renew(s, s.deferred, log, e)
		}
	}
}

func (r *Replica) attach(c ConnectionID, request *wire.RenewRequest) *session {
	s := r.sessions.Get(c)
	if s == nil {
		s = &session{connection: c, sentRevision: units.Revision(request.Revision)}
		r.sessions.Put(c, s)
	}
	s.box = wire.ToBox(request.Box)
	return s
}

func (r *Replica) forwardRenewal(request *wire.RenewRequest, log *replication.Effects) {
	request.Replica = string(r.settings.Replication.ID)
	r.sendToLeader(&wire.Envelope_RenewRequest{RenewRequest: request}, log)
}

// forwardGrant sends a leader's grant to the box that it is for, if the box is still attached.
func (r *Replica) forwardGrant(m *wire.Envelope, e *Effects) {
	for _, c := range r.sessions.Keys() {
		if string(r.sessions.Get(c).box.ID) == m.GetRenewResponse().Box {
			answer := r.boxEnvelope()
			answer.Body = m.Body
			e.BoxSends = append(e.BoxSends, BoxSend{Connection: c, Envelope: answer})
		}
	}
}

// wholeTableDelay is how long after its start a replica sends no whole table that may be outdated:
// replicas that start together elect a leader within it, and a box without a table holds its calls
// for a little longer.
const wholeTableDelay = 400 * time.Millisecond

// defersWholeTable reports whether a box should wait for the newest table: the one on this
// replica's disk is as old as its last snapshot, and a whole outdated table takes as much of a
// box's link and processor time as the newest one.
func (r *Replica) defersWholeTable(s *session) bool {
	return !r.caughtUp && r.now < r.startedAt.Add(wholeTableDelay) && r.tableOf(s) == nil
}

// tableOf returns the table that a box has, or nil if it isn't kept or the box has none.
func (r *Replica) tableOf(s *session) *table.Table {
	if s.table != nil {
		return s.table
	}
	if s.sentRevision == 0 {
		return nil
	}
	return r.previousTables.behind(r.state.Table().Revision - s.sentRevision)
}

// boxEnvelope returns an envelope for a box. It omits the sender, which the box knows from its
// attachment: every byte is sent to every box.
func (r *Replica) boxEnvelope() *wire.Envelope { return &wire.Envelope{} }
