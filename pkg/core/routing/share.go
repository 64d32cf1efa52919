package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// unlimited is the share of a limit that isn't set.
const unlimited = 1 << 30

// boxRank is this box's position in the list of boxes.
type boxRank struct {
	box    units.BoxID
	boxes  []table.Box
	rank   int
	count  int
	listed bool
}

func rankOf(box units.BoxID, boxes []table.Box) boxRank {
	rank := indexOf(box, boxes)
	return boxRank{box: box, boxes: boxes, rank: rank, count: len(boxes), listed: rank >= 0}
}

// indexOf returns a box's index in a list, or -1.
func indexOf(box units.BoxID, boxes []table.Box) int {
	return slices.IndexFunc(boxes, func(b table.Box) bool { return b.ID == box })
}

// boxListChange lists the boxes that joined and left with a new list.
type boxListChange struct {
	joined []table.Box
	left   []table.Box
}

func (b boxRank) changeTo(next boxRank) boxListChange {
	var m boxListChange
	known := make(map[units.BoxID]bool, len(b.boxes))
	for _, x := range b.boxes {
		known[x.ID] = true
	}
	for _, x := range next.boxes {
		if !known[x.ID] {
			m.joined = append(m.joined, x)
		}
		delete(known, x.ID)
	}
	for _, x := range b.boxes {
		if known[x.ID] {
			m.left = append(m.left, x)
		}
	}
	return m
}

// onlyRemoves reports whether the new list lacks some boxes of the old one, adds none, and both
// contain this box.
func (m boxListChange) onlyRemoves(from, to boxRank) bool {
	return from.listed && to.listed && len(m.joined) == 0 && len(m.left) > 0
}

// integerShare returns this box's part of a limit that counts whole units, given the number of
// boxes that rank before it for the target. The parts of all listed boxes add up to the limit
// exactly. The remainder goes to the first boxes by rendezvous hashing, so that the loss of a box
// doesn't reduce the part of any other.
func (b boxRank) integerShare(limit, rank int) int {
	if limit == 0 {
		return unlimited
	}
	if !b.listed {
		return 0
	}
	share := limit / b.count
	if rank < limit%b.count {
		share++
	}
	return share
}

// countBefore returns how many of the given boxes rank before this one for a target, by rendezvous
// hashing.
func (b boxRank) countBefore(target units.TargetID, boxes []table.Box) int {
	own := rendezvous.Hash(b.box, target)
	n := 0
	for _, o := range boxes {
		if h := rendezvous.Hash(o.ID, target); h > own || h == own && o.ID < b.box {
			n++
		}
	}
	return n
}

// rateShare returns this box's part of a rate.
func (b boxRank) rateShare(rate float64) float64 {
	if !b.listed {
		return 0
	}
	return rate / float64(b.count)
}

// delayedShare is a share that falls at once and rises only after a delay, when every other box
// must have applied its own decrease or lost its lease. It is the minimum of the values requested
// within the last delay.
type delayedShare struct {
	history []requestedShare
	value   float64
}

type requestedShare struct {
	at    units.Instant
	value float64
}

// setImmediately sets the share without delay.
func (s *delayedShare) setImmediately(value float64) {
	s.history = append(s.history[:0], requestedShare{value: value, at: -units.Instant(time.Hour)})
	s.value = value
}

// request records a new requested value.
func (s *delayedShare) request(now units.Instant, value float64, delay time.Duration) {
	if value >= unlimited {
		// Without a limit there is nothing that others could exceed.
		s.history = append(s.history[:0], requestedShare{at: now.Add(-delay), value: value})
	} else if n := len(s.history); n == 0 || s.history[n-1].value != value {
		s.history = append(s.history, requestedShare{at: now, value: value})
	}
	s.advance(now, delay)
}

// raise applies a higher value at once. It is used after the loss of boxes whose lease has expired:
// no other box's share falls then, so there is nothing to wait for. A share that is still being
// delayed isn't raised at once.
func (s *delayedShare) raise(now units.Instant, value float64, delay time.Duration) {
	if len(s.history) == 1 && value >= s.history[0].value && s.history[0].at.Add(delay) <= now {
		s.history[0].value = value
		s.value = value
		return
	}
	s.request(now, value, delay)
}

// advance computes the value at a time, and returns when it may next rise, or zero if no increase
// is pending.
func (s *delayedShare) advance(now units.Instant, delay time.Duration) units.Instant {
	// The value that was requested when the delay began still applies.
	for len(s.history) > 1 && s.history[1].at.Add(delay) <= now {
		s.history = s.history[1:]
	}
	first := s.history[0]
	settled := first.at.Add(delay) <= now
	if !settled {
		// Before its first request a new box had no share at all.
		s.value = 0
		return first.at.Add(delay)
	}
	s.value = first.value
	for _, w := range s.history[1:] {
		s.value = min(s.value, w.value)
	}
	if len(s.history) == 1 {
		return 0
	}
	return s.history[1].at.Add(delay)
}
