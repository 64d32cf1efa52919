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

// RateFromMegabits returns a rate given in megabits a second.
func RateFromMegabits(mbps float64) Rate { return Rate(mbps * 1e6 / 8) }

// WriterID names a writer whose piece waits.
type WriterID uint64

const (
	// pacedFraction is the part of the link that answers may take together. The rest is for what
	// isn't counted here: requests to targets, probes, messages of the control state, and
	// packet headers; a small call must not queue behind a large answer because of them.
	pacedFraction = 0.75
	// pieceTime is how long a piece occupies the link: as long as a small answer may have to
	// wait behind it, a small part of the closest aims that callers of small answers have, which
	// are tenths of a second.
	pieceTime = 5 * time.Millisecond
	// minPieceBytes and mostPiece bound a piece, in bytes: smaller ones would fill a slow link with
	// packet headers, larger ones take a copying buffer of that size for each answer.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
	// maxSmallPieces is how many pieces an answer may have to count as small: waiting for its
	// turn twice would delay it more than it delays others.
	maxSmallPieces = 2
	// maxCatchUp is how much of the link's time may be caught up on after a piece was granted
	// later than it could have been, since timers come late by a millisecond or two.
	maxCatchUp = 5 * time.Millisecond
	// starvationTimeout is how long a piece waits before it goes ahead of closer aims: a caller
	// whose route has a far aim must not lose its answer to a stream of more urgent ones.
	starvationTimeout = time.Second
	// maxYield is how long a piece waits for small answers at the most. While they take all of
	// answers' part of the link, for seconds or minutes, callers of large answers would
	// otherwise get nothing until well after.
	maxYield = 250 * time.Millisecond
)

// noObjective ranks answers of routes without an aim behind all others.
const noObjective = time.Duration(1<<63 - 1)

// waiter is a writer that waits for its next piece.
type waiter struct {
	id         WriterID
	bytes      int
	objective  time.Duration
	enqueuedAt units.Instant
}

// Link decides who may write next. It has no clock of its own.
type Link struct {
	rate Rate
	// freeAt is when what was written will have left, as far as answers' part of the link goes.
	freeAt units.Instant
	// lastGrantAt is when the last piece was granted.
	lastGrantAt units.Instant
	// queue are in the order in which they asked. A writer asks for one piece at a time, so
	// that those of one aim take turns.
	queue []waiter
}

// NewLink returns a link on which nothing is under way.
func NewLink(r Rate) *Link { return &Link{rate: r * pacedFraction} }

// PieceBytes is how many bytes a large answer may write at a time.
func (l *Link) PieceBytes() int {
	return min(maxPieceBytes, max(minPieceBytes, int(float64(l.rate)*pieceTime.Seconds())))
}

// IsSmall tells whether an answer is written at once, before the rest of large ones.
func (l *Link) IsSmall(bytes int) bool { return bytes <= maxSmallPieces*l.PieceBytes() }

// RecordSmall counts bytes that were written without asking; what waits comes later by them, but
// not without end.
func (l *Link) RecordSmall(now units.Instant, bytes int) {
	before := l.freeAt
	l.occupy(now, bytes)
	l.freeAt = min(l.freeAt, max(before, l.yieldDeadline(now)))
}

// yieldDeadline is up to when the next piece waits for small answers.
func (l *Link) yieldDeadline(now units.Instant) units.Instant {
	if len(l.queue) == 0 {
		return now.Add(maxYield)
	}
	return max(l.lastGrantAt, l.queue[0].enqueuedAt).Add(maxYield)
}

// Enqueue puts a writer's next piece among those that wait. A closer aim goes first; zero means
// none.
func (l *Link) Enqueue(now units.Instant, id WriterID, bytes int, aim time.Duration) {
	if aim <= 0 {
		aim = noObjective
	}
	l.queue = append(l.queue, waiter{id: id, bytes: bytes, objective: aim, enqueuedAt: now})
}

// Refund gives back the time of a piece that wasn't written after all.
func (l *Link) Refund(bytes int) { l.freeAt = l.freeAt.Add(-l.transferTime(bytes)) }

// NextWriter returns the writer whose piece may be written now, and false when there is none yet.
func (l *Link) NextWriter(now units.Instant) (WriterID, bool) {
	if len(l.queue) == 0 || l.freeAt > now {
		return 0, false
	}
	i := l.nextIndex(now)
	w := l.queue[i]
	l.remove(i)
	l.lastGrantAt = now
	l.occupy(now, w.bytes)
	return w.id, true
}

// NextGrantAt is when Next is to be asked again; false means that nobody waits.
func (l *Link) NextGrantAt() (units.Instant, bool) { return l.freeAt, len(l.queue) > 0 }

// nextIndex is the place of the piece whose turn it is: the oldest of those that have starved,
// else the oldest of the closest aim.
func (l *Link) nextIndex(now units.Instant) int {
	if now.Sub(l.queue[0].enqueuedAt) > starvationTimeout {
		return 0
	}
	best := 0
	for i := range l.queue {
		if l.queue[i].objective < l.queue[best].objective {
			best = i
		}
	}
	return best
}

func (l *Link) remove(i int) { l.queue = append(l.queue[:i], l.queue[i+1:]...) }

func (l *Link) occupy(now units.Instant, bytes int) {
	from := max(l.freeAt, now.Add(-maxCatchUp))
	l.freeAt = from.Add(l.transferTime(bytes))
}

// transferTime is how long bytes occupy answers' part of the link.
func (l *Link) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(l.rate) * float64(time.Second))
}
