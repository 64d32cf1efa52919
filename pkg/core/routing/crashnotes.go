package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// maxKeptNotes bounds the notes that a box keeps for the next leader: a leader that has just
	// been elected knows none. Some 100 bytes each.
	maxKeptNotes = 64
	// maxNotesPerRequest bounds the notes of one request for a lease, 3 KB.
	maxNotesPerRequest = 32
	// minUrgentRequestInterval is the time between two requests for a lease that notes bring about. A box
	// whose calls break off at many targets must not crowd the leader.
	minUrgentRequestInterval = 20 * time.Millisecond
)

// crashNotes are a box's notes, of which the leader has those up to taken.
type crashNotes struct {
	list         []crash.Note
	lastNumber   uint64
	term         units.Term
	acknowledged uint64
	// lastUrgentAt is when notes last brought about a request.
	lastUrgentAt units.Instant
}

// add numbers and keeps a note.
func (x *crashNotes) add(n crash.Note) crash.Note {
	x.lastNumber++
	n.Number = x.lastNumber
	if len(x.list) >= maxKeptNotes {
		x.list = append(x.list[:0], x.list[1:]...)
	}
	x.list = append(x.list, n)
	return n
}

// acknowledge takes which notes the leader of a term has.
func (x *crashNotes) acknowledge(term units.Term, noted uint64) {
	if term != x.term {
		x.term = term
		x.acknowledged = 0
	}
	x.acknowledged = max(x.acknowledged, noted)
}

// unacknowledged are notes that the leader doesn't have.
func (x *crashNotes) unacknowledged() []crash.Note {
	for i, n := range x.list {
		if n.Number > x.acknowledged {
			return x.list[i:min(len(x.list), i+maxNotesPerRequest)]
		}
	}
	return nil
}

// CrashNotes returns notes that the leader may not have.
func (r *Router) CrashNotes() []crash.Note { return r.crashes.notes.unacknowledged() }

// requestNotesSend has the leader told at once: each further crash costs a target.
func (r *Router) requestNotesSend() {
	x := &r.crashes.notes
	if x.lastUrgentAt != 0 && r.now.Sub(x.lastUrgentAt) < minUrgentRequestInterval {
		return
	}
	x.lastUrgentAt = r.now
	r.evidenceDue = true
}
