// Package pacing shares a box's link among the answers that it writes. Link is the pure
// part: it decides who may write how much and when, by a clock and the link's rate. Pacer
// is the shell around it that answers' writers wait on.
package pacing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Rate is how fast a link is, in bytes a second; zero means that it isn't limited.
type Rate float64

// FromMegabits returns a rate given in megabits a second.
func FromMegabits(mbps float64) Rate { return Rate(mbps * 1e6 / 8) }

// WriterID names a writer whose piece waits.
type WriterID uint64

const (
	// pacedPart is the part of the link that answers may take together. The rest is for what
	// isn't counted here: requests to targets, probes, messages of the control state, and the
	// heads of packets; a small call must not queue behind a large answer because of them.
	pacedPart = 0.75
	// pieceTime is how long a piece occupies the link: as long as a small answer may have to
	// wait behind it, a small part of the closest aims that callers of small answers have, which
	// are tenths of a second.
	pieceTime = 5 * time.Millisecond
	// leastPiece keeps a slow link from being used in packets that are mostly heads, mostPiece
	// a fast one from copying buffers that cost memory for each answer.
	leastPiece = 4 << 10
	mostPiece  = 64 << 10
	// smallPieces is how many pieces an answer may have to count as small: waiting for its
	// turn twice would delay it more than it delays others.
	smallPieces = 2
	// lateness is how much of the link's time may be made up for after a piece was granted
	// later than it could have been, since timers come late by a millisecond or two.
	lateness = 5 * time.Millisecond
	// starvedAfter is how long a piece waits before it goes ahead of closer aims: a caller
	// whose route has a far aim must not lose its answer to a stream of more urgent ones.
	starvedAfter = time.Second
	// mostYield is how long a piece waits for small answers at the most. While they take all of
	// answers' part of the link, for seconds or minutes, callers of large answers would
	// otherwise get nothing until well after.
	mostYield = 250 * time.Millisecond
)

// noAim ranks answers of routes without an aim behind all others.
const noAim = time.Duration(1<<63 - 1)

// waiter is a writer that waits for its next piece.
type waiter struct {
	id    WriterID
	bytes int
	aim   time.Duration
	since units.Instant
}

// Link decides who may write next. It has no clock of its own.
type Link struct {
	rate Rate
	// free is when what was written will have left, as far as answers' part of the link goes.
	free units.Instant
	// lastTurn is when the last piece was granted.
	lastTurn units.Instant
	// waiting are in the order in which they asked. A writer asks for one piece at a time, so
	// that those of one aim take turns.
	waiting []waiter
}

// NewLink returns a link on which nothing is under way.
func NewLink(r Rate) *Link { return &Link{rate: r * pacedPart} }

// Piece is how many bytes a large answer may write at a time.
func (l *Link) Piece() int {
	return min(mostPiece, max(leastPiece, int(float64(l.rate)*pieceTime.Seconds())))
}

// IsSmall tells whether an answer is written at once, before the rest of large ones.
func (l *Link) IsSmall(bytes int) bool { return bytes <= smallPieces*l.Piece() }

// Wrote counts bytes that were written without asking; what waits comes later by them, but
// not without end.
func (l *Link) Wrote(now units.Instant, bytes int) {
	before := l.free
	l.occupy(now, bytes)
	l.free = min(l.free, max(before, l.yieldsUntil(now)))
}

// yieldsUntil is up to when the next piece waits for small answers.
func (l *Link) yieldsUntil(now units.Instant) units.Instant {
	if len(l.waiting) == 0 {
		return now.Add(mostYield)
	}
	return max(l.lastTurn, l.waiting[0].since).Add(mostYield)
}

// Ask puts a writer's next piece among those that wait. A closer aim goes first; zero means
// none.
func (l *Link) Ask(now units.Instant, id WriterID, bytes int, aim time.Duration) {
	if aim <= 0 {
		aim = noAim
	}
	l.waiting = append(l.waiting, waiter{id: id, bytes: bytes, aim: aim, since: now})
}

// Unused gives back the time of a piece that wasn't written after all.
func (l *Link) Unused(bytes int) { l.free = l.free.Add(-l.timeOf(bytes)) }

// Next returns the writer whose piece may be written now, and false when there is none yet.
func (l *Link) Next(now units.Instant) (WriterID, bool) {
	if len(l.waiting) == 0 || l.free > now {
		return 0, false
	}
	i := l.first(now)
	w := l.waiting[i]
	l.remove(i)
	l.lastTurn = now
	l.occupy(now, w.bytes)
	return w.id, true
}

// Due is when Next is to be asked again; false means that nobody waits.
func (l *Link) Due() (units.Instant, bool) { return l.free, len(l.waiting) > 0 }

// first is the place of the piece whose turn it is: the oldest of those that have starved,
// else the oldest of the closest aim.
func (l *Link) first(now units.Instant) int {
	if now.Sub(l.waiting[0].since) > starvedAfter {
		return 0
	}
	best := 0
	for i := range l.waiting {
		if l.waiting[i].aim < l.waiting[best].aim {
			best = i
		}
	}
	return best
}

func (l *Link) remove(i int) { l.waiting = append(l.waiting[:i], l.waiting[i+1:]...) }

func (l *Link) occupy(now units.Instant, bytes int) {
	from := max(l.free, now.Add(-lateness))
	l.free = from.Add(l.timeOf(bytes))
}

// timeOf is how long bytes occupy answers' part of the link.
func (l *Link) timeOf(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(l.rate) * float64(time.Second))
}
