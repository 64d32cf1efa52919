package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// maxKeptNotes bounds the notes that a box keeps to send them to the next leader: a newly
	// elected leader has none. A note has about 100 bytes.
	maxKeptNotes = 64
	// maxNotesPerRequest bounds the notes in one lease request, to 3 KB.
	maxNotesPerRequest = 32
	// minUrgentRequestInterval is the minimum time between two lease requests that are sent early
	// because of notes. A box whose calls break off at many targets must not overload the leader.
	minUrgentRequestInterval = 20 * time.Millisecond
)

// crashNotes are a box's notes on crashes. The leader of the term has those with numbers up to
// acknowledged.
type crashNotes struct {
	list         []crash.Note
	lastNumber   uint64
	term         units.Term
	acknowledged uint64
	// lastUrgentAt is when notes last caused an early lease request.
	lastUrgentAt units.Instant
}

// add assigns a number to a note and keeps it.
func (x *crashNotes) add(n crash.Note) crash.Note {
	x.lastNumber++
	n.Number = x.lastNumber
	if len(x.list) >= maxKeptNotes {
		x.list = append(x.list[:0], x.list[1:]...)
	}
	x.list = append(x.list, n)
	return n
}

// acknowledge records the number of the last note that the leader of a term has.
func (x *crashNotes) acknowledge(term units.Term, noted uint64) {
	if term != x.term {
		x.term = term
		x.acknowledged = 0
	}
	x.acknowledged = max(x.acknowledged, noted)
}

// unacknowledged returns the next notes that the leader doesn't have yet.
func (x *crashNotes) unacknowledged() []crash.Note {
	for i, n := range x.list {
		if n.Number > x.acknowledged {
			return x.list[i:min(len(x.list), i+maxNotesPerRequest)]
		}
	}
	return nil
}

// CrashNotes returns the notes to send with the next lease request.
func (r *Router) CrashNotes() []crash.Note { return r.crashes.notes.unacknowledged() }

// requestNotesSend requests that notes are sent to the leader at once: each further crash costs a
// target.
func (r *Router) requestNotesSend() {
	x := &r.crashes.notes
	if x.lastUrgentAt != 0 && r.now.Sub(x.lastUrgentAt) < minUrgentRequestInterval {
		return
	}
	x.lastUrgentAt = r.now
	r.evidenceDue = true
}
