package control

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// pushPeriod is the least time between two rounds. A change after a quiet time goes out at
	// once; many in a row go together, which is far less to send, and for each box to put in force.
	pushPeriod = 40 * time.Millisecond
	// pushPerBox makes that time longer with the boxes that are attached, so that updates take a bounded
	// part of a replica's processor time however many there are.
	pushPerBox = time.Millisecond
	// pushSlice is how many boxes' own parts of a change are worked out for one event, or one part of a
	// whole table, which takes as long; pushPause is the time until the next ones. Elections and leases
	// don't wait for a round, which takes half of its period, nor for a third of a fleet that starts together.
	pushSlice = 8
	pushPause = pushSlice * pushPerBox / 2
)

// pushRound brings all attached boxes to one table, so that what leads there is worked out once.
type pushRound struct {
	// to is the table of the round that began last, nil before the first.
	to *table.Table
	// waiting are the boxes that the round hasn't come to, empty those that wait for their part of a
	// whole table, the longest first.
	waiting, empty []ConnectionID
	// nextAt is when it goes on.
	nextAt units.Instant
	// spent is what the present event has taken of a slice.
	spent int
}

// pushDue begins a round when the table has changed, unless the last one was a moment ago, and goes on
// with the one that has begun. A replica that has read its log again doesn't show boxes each step of its history.
func (r *Replica) pushDue(e *Effects) {
	r.pushPending = r.pushPending || e.TableChanged
	if r.pushPending && r.now >= r.pushAt && len(r.round.waiting) == 0 {
		r.pushPending = false
		r.pushAt = r.now.Add(max(pushPeriod, time.Duration(r.sessions.Len())*pushPerBox))
		r.round.to, r.round.waiting = r.state.Table(), r.sessions.Keys()
	}
	if r.round.busy() && r.now >= r.round.nextAt {
		r.continueRound(e)
	}
}

func (p *pushRound) busy() bool { return len(p.waiting)+len(p.empty) > 0 }

// continueRound serves the boxes without a table first: they can't serve calls.
func (r *Replica) continueRound(e *Effects) {
	p := &r.round
	p.spent = 0
	for p.busy() && p.spent < pushSlice {
		queue := &p.waiting
		if len(p.empty) > 0 {
			queue = &p.empty
		}
		s := r.sessions.Get((*queue)[0])
		*queue = (*queue)[1:]
		if s == nil {
			continue
		}
		s.queued = false
		r.push(s, false, e)
	}
	p.nextAt = r.now.Add(pushPause)
}

// nextPush returns when pushDue has something to do, before limit.
func (r *Replica) nextPush(limit units.Instant) units.Instant {
	if r.round.busy() {
		return min(limit, r.round.nextAt)
	}
	if r.pushPending {
		return min(limit, r.pushAt)
	}
	return limit
}

// push brings a box up to date. A box that knows more than this replica is left alone until the replica
// has caught up.
func (r *Replica) push(s *session, due bool, e *Effects) {
	if s.sent >= r.state.Table().Revision || !r.node.Formed() || r.holdsTable(s) {
		return
	}
	for _, m := range r.update(s, due, e) {
		e.BoxSends = append(e.BoxSends, BoxSend{Connection: s.connection, Envelope: m})
	}
}

// update returns what brings a box to the table of the present round: what differs from the table that it has where
// that is known, and the whole of it otherwise. What changes nothing of the box's part waits for its next request, unless it
// is due now: most changes of large services concern few boxes.
func (r *Replica) update(s *session, due bool, e *Effects) []*wire.Envelope {
	from, to := r.tableOf(s), r.round.to
	if to == nil {
		to = r.state.Table()
	}
	if s.sent >= to.Revision {
		return nil
	}
	if from == nil {
		return r.firstTable(s, to, due, e)
	}
	s.table = to
	messages := r.difference(s, from, to, due, e)
	if len(messages) > 0 {
		s.sent = to.Revision
	}
	return messages
}

// firstTable returns the messages of a box's whole table. A part of its own waits for its turn.
func (r *Replica) firstTable(s *session, to *table.Table, asked bool, e *Effects) []*wire.Envelope {
	u := r.tableToSend(to, e)
	if u.parts != nil && asked {
		if !s.queued {
			s.queued = true
			r.round.empty = append(r.round.empty, s.connection)
		}
		return nil
	}
	s.sent, s.table = to.Revision, to
	if u.parts == nil {
		return u.messages
	}
	r.round.spent += pushSlice
	return fragments(wire.TableEnvelope(u.parts.For(&s.box)), e)
}

// difference returns the messages of what a box lacks that has its part of a table. There are none where the
// part doesn't change, unless they are due.
func (r *Replica) difference(s *session, from, to *table.Table, due bool, e *Effects) []*wire.Envelope {
	u := r.updateFrom(from, to)
	if u.parts == nil && s.sent == from.Revision {
		if u.messages == nil {
			u.messages = fragments(wire.DeltaEnvelope(u.delta), e)
		}
		return u.messages
	}
	r.round.spent++
	part := u.partOf(s)
	if part.Empty() && !due {
		return nil
	}
	return fragments(wire.DeltaEnvelope(part), e)
}

// boxUpdate is what brings boxes from one table to another. It is worked out once for all boxes,
// and so are its messages where all boxes are told the same; parts is nil then.
type boxUpdate struct {
	from, to *table.Table
	delta    *table.Delta
	parts    *table.DeltaDivider
	messages []*wire.Envelope
}

// partOf returns what a box is told, whose revision may be an earlier one with the same part.
func (u *boxUpdate) partOf(s *session) *table.Delta {
	part := *u.delta
	if u.parts != nil {
		part = *u.parts.For(&s.box)
	}
	part.From = s.sent
	return &part
}

// wholeTable is a table for boxes that have none: its messages, where all boxes are told the same, or its parts.
type wholeTable struct {
	table    *table.Table
	parts    *table.TableDivider
	messages []*wire.Envelope
}

func (r *Replica) tableToSend(to *table.Table, e *Effects) *wholeTable {
	u := &r.lastTable
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

// updateFrom returns what leads from one table to another.
func (r *Replica) updateFrom(from, to *table.Table) *boxUpdate {
	u := &r.lastUpdate
	if u.from != from || u.to != to {
		delta := table.Difference(from, to)
		*u = boxUpdate{from: from, to: to, delta: delta}
		if delta.Divided(to) {
			u.parts = delta.Divider(from, to)
		}
	}
	return u
}

// fragments divides a message; one that can't be encoded stops the replica.
func fragments(m *wire.Envelope, e *Effects) []*wire.Envelope {
	list, err := wire.Fragments(m)
	if err != nil {
		e.Halt = err
	}
	return list
}
