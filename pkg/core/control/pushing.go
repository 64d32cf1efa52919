package control

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// pushPeriod is the minimum time between the starts of two push rounds. The first change after
	// a quiet period is sent at once; many changes in a row are sent together, which is much less
	// to send, and much less for each box to put in force.
	pushPeriod = 40 * time.Millisecond
	// pushPeriodPerBox lengthens that period for every attached box, so that updates take a bounded
	// share of a replica's processor time however many boxes there are.
	pushPeriodPerBox = time.Millisecond
	// pushBatch is the number of boxes whose own parts of a change are computed for one event; one
	// part of a whole table takes as long as all of them. pushBatchInterval is the time until the
	// next batch. Elections and leases thus don't wait for a whole round, which takes half of its
	// period, nor for the first tables when a third of a fleet starts at once.
	pushBatch         = 8
	pushBatchInterval = pushBatch * pushPeriodPerBox / 2
)

// pushRound brings all attached boxes to the same table, so that the changes that lead to it are
// computed once.
type pushRound struct {
	// to is the table of the round that started last, nil before the first.
	to *table.Table
	// waiting are the boxes that the round hasn't served yet, awaitingTable those that wait for
	// their part of a whole table; both with the longest wait first.
	waiting, awaitingTable []ConnectionID
	// nextAt is when the next batch is due.
	nextAt units.Instant
	// batchUsed is how much of its batch the current event has used, in boxes.
	batchUsed int
}

// pushUpdates starts a round when the table has changed and the period since the last round's start
// is over, and continues a round in progress. A replica that has replayed its log doesn't send
// boxes each step of its history.
func (r *Replica) pushUpdates(e *Effects) {
	r.pushPending = r.pushPending || e.TableChanged
	if r.pushPending && r.now >= r.pushAt && len(r.pushRound.waiting) == 0 {
		r.pushPending = false
		r.pushAt = r.now.Add(max(pushPeriod, time.Duration(r.sessions.Len())*pushPeriodPerBox))
		r.pushRound.to, r.pushRound.waiting = r.state.Table(), r.sessions.Keys()
	}
	if r.pushRound.busy() && r.now >= r.pushRound.nextAt {
		r.continueRound(e)
	}
}

func (p *pushRound) busy() bool { return len(p.waiting)+len(p.awaitingTable) > 0 }

// continueRound serves the next batch of boxes, those without a table first: they can't serve
// calls.
func (r *Replica) continueRound(e *Effects) {
	p := &r.pushRound
	p.batchUsed = 0
	for p.busy() && p.batchUsed < pushBatch {
		queue := &p.waiting
		if len(p.awaitingTable) > 0 {
			queue = &p.awaitingTable
		}
		s := r.sessions.Get((*queue)[0])
		*queue = (*queue)[1:]
		if s == nil {
			continue
		}
		s.queued = false
		r.push(s, false, e)
	}
	p.nextAt = r.now.Add(pushBatchInterval)
}

// nextPush returns when pushUpdates next has work, but no later than limit.
func (r *Replica) nextPush(limit units.Instant) units.Instant {
	if r.pushRound.busy() {
		return min(limit, r.pushRound.nextAt)
	}
	if r.pushPending {
		return min(limit, r.pushAt)
	}
	return limit
}

// push sends a box its update; requested is set when the box has just asked for a lease. A box with
// a later revision than this replica's is left alone until the replica has caught up.
func (r *Replica) push(s *session, requested bool, e *Effects) {
	if s.sentRevision >= r.state.Table().Revision || !r.node.Formed() || r.defersWholeTable(s) {
		return
	}
	for _, m := range r.updateMessages(s, requested, e) {
		e.BoxSends = append(e.BoxSends, BoxSend{Connection: s.connection, Envelope: m})
	}
}

// updateMessages returns the messages that bring a box to the table of the current round: a delta
// from the table that the box has if that table is known, and a whole table otherwise. A delta that
// doesn't change the box's part is only sent when requested: most changes of large services concern
// few boxes.
func (r *Replica) updateMessages(s *session, requested bool, e *Effects) []*wire.Envelope {
	from, to := r.tableOf(s), r.pushRound.to
	if to == nil {
		to = r.state.Table()
	}
	if s.sentRevision >= to.Revision {
		return nil
	}
	if from == nil {
		return r.wholeTableMessages(s, to, requested, e)
	}
	s.table = to
	messages := r.deltaMessages(s, from, to, requested, e)
	if len(messages) > 0 {
		s.sentRevision = to.Revision
	}
	return messages
}

// wholeTableMessages returns the messages of a box's whole table. A box that needs a part of its
// own is queued for it.
func (r *Replica) wholeTableMessages(s *session, to *table.Table, requested bool, e *Effects) []*wire.Envelope {
	u := r.wholeTableFor(to, e)
	if u.parts != nil && requested {
		if !s.queued {
			s.queued = true
			r.pushRound.awaitingTable = append(r.pushRound.awaitingTable, s.connection)
		}
		return nil
	}
	s.sentRevision, s.table = to.Revision, to
	if u.parts == nil {
		return u.messages
	}
	r.pushRound.batchUsed += pushBatch
	return fragments(wire.TableEnvelope(u.parts.For(&s.box)), e)
}

// deltaMessages returns the messages that bring a box from one table to another. There are none if
// the box's part doesn't change, unless they were requested.
func (r *Replica) deltaMessages(s *session, from, to *table.Table, requested bool, e *Effects) []*wire.Envelope {
	u := r.updateBetween(from, to)
	if u.parts == nil && s.sentRevision == from.Revision {
		if u.messages == nil {
			u.messages = fragments(wire.DeltaEnvelope(u.delta), e)
		}
		return u.messages
	}
	r.pushRound.batchUsed++
	part := u.partOf(s)
	if part.Empty() && !requested {
		return nil
	}
	return fragments(wire.DeltaEnvelope(part), e)
}

// boxUpdate is the change from one table to another. It is computed once for all boxes, and so are
// its messages if all boxes get the same ones; parts is nil then.
type boxUpdate struct {
	from, to *table.Table
	delta    *table.Delta
	parts    *table.DeltaDivider
	messages []*wire.Envelope
}

// partOf returns the delta for a box. It starts at the box's own revision, which may be an earlier
// one than from at which the box's part was the same.
func (u *boxUpdate) partOf(s *session) *table.Delta {
	part := *u.delta
	if u.parts != nil {
		part = *u.parts.For(&s.box)
	}
	part.From = s.sentRevision
	return &part
}

// wholeTable is a table for boxes that have none: its messages if all boxes get the same ones, or
// else its parts.
type wholeTable struct {
	table    *table.Table
	parts    *table.TableDivider
	messages []*wire.Envelope
}

func (r *Replica) wholeTableFor(to *table.Table, e *Effects) *wholeTable {
	u := &r.cachedTable
	if u.table == to {
		return u
	}
	*u = wholeTable{table: to}
	if to.Divided() {
		u.parts = to.Divider()
	} else {
		u.messages = fragments(wire.TableEnvelope(to), e)
	}
	return u
}

// updateBetween returns the update from one table to another, which is cached.
func (r *Replica) updateBetween(from, to *table.Table) *boxUpdate {
	u := &r.cachedUpdate
	if u.from != from || u.to != to {
		delta := table.Difference(from, to)
		*u = boxUpdate{from: from, to: to, delta: delta}
		if delta.Divided(to) {
			u.parts = delta.Divider(from, to)
		}
	}
	return u
}

// fragments splits a message into fragments; a message that can't be encoded halts the replica.
func fragments(m *wire.Envelope, e *Effects) []*wire.Envelope {
	list, err := wire.Fragments(m)
	if err != nil {
		e.Halt = err
	}
	return list
}
