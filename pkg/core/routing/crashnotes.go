package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// keptNotes bounds the notes that a box keeps for the next leader: a leader that has just
	// been elected knows none. Some 100 bytes each.
	keptNotes = 64
	// sentNotes bounds the notes of one request for a lease, 3 KB.
	sentNotes = 32
	// notesPause is the time between two requests for a lease that notes bring about. A box
	// whose calls break off at many targets must not crowd the leader.
	notesPause = 20 * time.Millisecond
)

// crashNotes are a box's notes, of which the leader has those up to taken.
type crashNotes struct {
	list   []crash.Note
	number uint64
	term   units.Term
	taken  uint64
	// urgentAt is when notes last brought about a request.
	urgentAt units.Instant
}

// add numbers and keeps a note.
func (x *crashNotes) add(n crash.Note) crash.Note {
	x.number++
	n.Number = x.number
	if len(x.list) >= keptNotes {
		x.list = append(x.list[:0], x.list[1:]...)
	}
	x.list = append(x.list, n)
	return n
}

// acknowledge takes which notes the leader of a term has.
func (x *crashNotes) acknowledge(term units.Term, noted uint64) {
	if term != x.term {
		x.term = term
		x.taken = 0
	}
	x.taken = max(x.taken, noted)
}

// missing are notes that the leader doesn't have.
func (x *crashNotes) missing() []crash.Note {
	for i, n := range x.list {
		if n.Number > x.taken {
			return x.list[i:min(len(x.list), i+sentNotes)]
		}
	}
	return nil
}

// CrashNotes returns notes that the leader may not have.
func (r *Router) CrashNotes() []crash.Note { return r.crashes.notes.missing() }

// sendNotesSoon has the leader told at once: each further crash costs a target.
func (r *Router) sendNotesSoon() {
	x := &r.crashes.notes
	if x.urgentAt != 0 && r.now.Sub(x.urgentAt) < notesPause {
		return
	}
	x.urgentAt = r.now
	r.evidenceDue = true
}
