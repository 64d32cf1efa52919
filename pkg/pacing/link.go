// Package pacing shares a box's outbound link among the responses that it writes. Link is the
// scheduling logic without I/O: it decides which writer may write how many bytes and when,
// from the time and the link's rate. Pacer wraps it with a clock, a lock and a timer, and
// blocks writers until their turn.
package pacing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Rate is a link's rate in bytes per second; zero means unlimited.
type Rate float64

// RateFromMegabits converts a rate in megabits per second.
func RateFromMegabits(mbps float64) Rate { return Rate(mbps * 1e6 / 8) }

// WriterID identifies a writer whose piece is queued.
type WriterID uint64

const (
	// pacedFraction is the fraction of the link that all responses together may use. The rest is
	// for traffic that isn't counted here: requests to targets, probes, control messages and
	// packet headers. Otherwise these would make a small call queue behind a large response.
	pacedFraction = 0.75
	// pieceTime is how long one piece occupies the link, and so how long a small response may
	// wait behind it. It is a small fraction of the shortest latency objectives of small
	// responses, which are tenths of a second.
	pieceTime = 5 * time.Millisecond
	// minPieceBytes and maxPieceBytes bound a piece. Smaller ones would fill a slow link with
	// packet headers; larger ones need a copy buffer of that size for each response.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
	// maxSmallPieces is how many pieces a small response may have. Two waits for a grant would
	// delay it more than it delays others.
	maxSmallPieces = 2
	// maxCatchUp is how much unused link time may be made up for after a late grant, since
	// timers fire a millisecond or two late.
	maxCatchUp = 5 * time.Millisecond
	// starvationTimeout is how long a piece waits before it takes precedence over shorter
	// latency objectives, so that a stream of more urgent responses can't starve a route with a
	// long objective.
	starvationTimeout = time.Second
	// maxYield caps how long a piece waits for small responses. While these use the whole paced
	// fraction of the link, for seconds or minutes, callers of large responses would otherwise
	// get nothing until well after.
	maxYield = 250 * time.Millisecond
)

// noObjective ranks responses of routes without a latency objective behind all others.
const noObjective = time.Duration(1<<63 - 1)

// waiter is a writer that waits for the grant of its next piece.
type waiter struct {
	id         WriterID
	bytes      int
	objective  time.Duration
	enqueuedAt units.Instant
}

// Link decides which writer may write next. It has no clock of its own.
type Link struct {
	rate Rate
	// freeAt is when the paced fraction of the link will have sent everything written so far.
	freeAt units.Instant
	// lastGrantAt is when a piece was last granted.
	lastGrantAt units.Instant
	// queue is in arrival order. A writer queues one piece at a time, so that writers with the
	// same objective take turns.
	queue []waiter
}

// NewLink returns an idle link with the given rate.
func NewLink(r Rate) *Link { return &Link{rate: r * pacedFraction} }

// PieceBytes returns how many bytes a large response may write at a time.
func (l *Link) PieceBytes() int {
	return min(maxPieceBytes, max(minPieceBytes, int(float64(l.rate)*pieceTime.Seconds())))
}

// IsSmall reports whether a response of that many bytes is written at once, ahead of large ones.
func (l *Link) IsSmall(bytes int) bool { return bytes <= maxSmallPieces*l.PieceBytes() }

// RecordSmall counts the bytes of a response that is written without a grant. It delays the
// queued pieces, up to their yield deadline.
func (l *Link) RecordSmall(now units.Instant, bytes int) {
	previous := l.freeAt
	l.occupy(now, bytes)
	l.freeAt = min(l.freeAt, max(previous, l.yieldDeadline(now)))
}

// yieldDeadline returns until when the next piece may be delayed by small responses.
func (l *Link) yieldDeadline(now units.Instant) units.Instant {
	if len(l.queue) == 0 {
		return now.Add(maxYield)
	}
	return max(l.lastGrantAt, l.queue[0].enqueuedAt).Add(maxYield)
}

// Enqueue adds a writer's next piece to the queue. A shorter latency objective goes first; zero
// means none.
func (l *Link) Enqueue(now units.Instant, id WriterID, bytes int, objective time.Duration) {
	if objective <= 0 {
		objective = noObjective
	}
	l.queue = append(l.queue, waiter{id: id, bytes: bytes, objective: objective, enqueuedAt: now})
}

// Refund returns the link time of a granted piece that wasn't written.
func (l *Link) Refund(bytes int) { l.freeAt = l.freeAt.Add(-l.transferTime(bytes)) }

// NextWriter grants a piece and returns its writer; false means that none may be written yet.
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

// NextGrantAt returns when to call NextWriter again; false means that the queue is empty.
func (l *Link) NextGrantAt() (units.Instant, bool) { return l.freeAt, len(l.queue) > 0 }

// nextIndex returns the queue index of the next piece to grant: the oldest if it has waited
// beyond the starvation timeout, else the oldest with the shortest objective.
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
	start := max(l.freeAt, now.Add(-maxCatchUp))
	l.freeAt = start.Add(l.transferTime(bytes))
}

// transferTime returns how long bytes occupy the paced fraction of the link.
func (l *Link) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(l.rate) * float64(time.Second))
}
