// Package bodies decides which request bodies a box holds in memory, and which it passes on while they come.
// Bodies for which there is no memory wait in their connections, in the order in which they came.
package bodies

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// ID identifies a body.
type ID uint64

// Verdict is what becomes of a body.
type Verdict uint8

// The verdicts.
const (
	// Granted: the body may be held in memory.
	Granted Verdict = iota + 1
	// Streamed: it may be passed on through a window.
	Streamed
	// Queued: it waits; a later Release returns it.
	Queued
	// TooLarge: it doesn't fit even alone.
	TooLarge
	// QueueFull: as many bodies wait as may.
	QueueFull
	// TooLate: the link can't carry it until its deadline.
	TooLate
)

// Settings configure a budget.
type Settings struct {
	// Limit is the memory for all bodies, in bytes.
	Limit int
	// HeldLimit is the part of it for bodies that could be streamed; zero means all.
	HeldLimit int
	// Window is the memory that a streamed body takes, in bytes; zero means that none is streamed.
	Window int
	// MaxQueue is how many bodies may wait.
	MaxQueue int
	// LinkRate is the rate at which bodies come at most, in bytes per second; zero means without limit.
	LinkRate float64
}

// Claim is a body for which there should be memory.
type Claim struct {
	ID ID
	// Bytes is the memory that it takes if it is held.
	Bytes int
	// Streamable is set if it may be passed on while it comes.
	Streamable bool
	// Incoming is how many bytes are still to come; zero if that isn't known or doesn't matter.
	Incoming int
	// Deadline is when its call ends; zero if it has no deadline.
	Deadline units.Instant
}

// Grant is the verdict on a body that has waited.
type Grant struct {
	ID      ID
	Verdict Verdict
}

// Budget is the memory for bodies. A body gets all of its memory at once, so that no two wait for each other.
type Budget struct {
	settings Settings
	// used is the memory taken, held the part of it that streamable bodies have taken whole.
	used, held int
	admitted   map[ID]*admitted
	queue      []Claim
	// refused counts the bodies that got no memory.
	refused uint64
}

// admitted is a body that has its memory.
type admitted struct {
	Claim
	// bytes is the memory that it has taken.
	bytes    int
	isStream bool
}

// NewBudget returns an unused budget.
func NewBudget(s Settings) *Budget {
	if s.HeldLimit == 0 {
		s.HeldLimit = s.Limit
	}
	return &Budget{settings: s, admitted: map[ID]*admitted{}}
}

// Reserve asks for the memory of a body.
func (b *Budget) Reserve(now units.Instant, c Claim) Verdict {
	v := b.decide(now, c)
	if v != Granted && v != Streamed && v != Queued {
		b.refused++
	}
	return v
}

func (b *Budget) decide(now units.Instant, c Claim) Verdict {
	switch {
	case b.leastBytes(&c) > b.settings.Limit:
		return TooLarge
	case !b.MeetsDeadlines(now, c):
		return TooLate
	case len(b.queue) == 0:
		if v := b.admit(&c); v != 0 {
			return v
		}
	}
	if len(b.queue) >= b.settings.MaxQueue {
		return QueueFull
	}
	b.queue = append(b.queue, c)
	return Queued
}

// leastBytes returns the least memory that a body needs.
func (b *Budget) leastBytes(c *Claim) int {
	if !b.mayStream(c) {
		return c.Bytes
	}
	return min(c.Bytes, b.settings.Window)
}

func (b *Budget) mayStream(c *Claim) bool { return c.Streamable && b.settings.Window > 0 }

// admit gives a body its memory and returns how; zero if there is too little.
func (b *Budget) admit(c *Claim) Verdict {
	fits := b.used+c.Bytes <= b.settings.Limit
	if b.mayStream(c) {
		fits = fits && b.held+c.Bytes <= b.settings.HeldLimit
	}
	switch {
	case fits:
		b.add(&admitted{Claim: *c, bytes: c.Bytes})
		return Granted
	case b.mayStream(c) && b.used+b.settings.Window <= b.settings.Limit:
		b.add(&admitted{Claim: *c, bytes: b.settings.Window, isStream: true})
		return Streamed
	}
	return 0
}

func (b *Budget) add(a *admitted) {
	b.admitted[a.ID] = a
	b.used += a.bytes
	b.held += b.heldBytes(a)
}

// heldBytes returns what a body takes of the memory for those that are held though they could be streamed.
func (b *Budget) heldBytes(a *admitted) int {
	if a.isStream || !b.mayStream(&a.Claim) {
		return 0
	}
	return a.bytes
}

// SetIncoming updates how many bytes of an admitted body are still to come.
func (b *Budget) SetIncoming(id ID, n int) {
	if a := b.admitted[id]; a != nil {
		a.Incoming = n
	}
}

// Release returns a body's memory, and the bodies that get theirs now.
func (b *Budget) Release(id ID) []Grant {
	a := b.admitted[id]
	if a == nil {
		return nil
	}
	delete(b.admitted, id)
	b.used -= a.bytes
	b.held -= b.heldBytes(a)
	return b.grant()
}

// Abandon removes a body that waits; it returns false if it doesn't. Others may get their memory then.
func (b *Budget) Abandon(id ID) (granted []Grant, found bool) {
	i := slices.IndexFunc(b.queue, func(c Claim) bool { return c.ID == id })
	if i < 0 {
		return nil, false
	}
	b.queue = slices.Delete(b.queue, i, i+1)
	b.refused++
	return b.grant(), true
}

// grant gives the bodies at the head of the queue their memory.
func (b *Budget) grant() []Grant {
	var granted []Grant
	for len(b.queue) > 0 {
		v := b.admit(&b.queue[0])
		if v == 0 {
			break
		}
		granted = append(granted, Grant{ID: b.queue[0].ID, Verdict: v})
		b.queue = b.queue[1:]
	}
	return granted
}

// MeetsDeadlines reports whether the link can carry a body beside those that are under way, so that each comes
// before its deadline. It can't be known that the callers send that fast.
func (b *Budget) MeetsDeadlines(now units.Instant, c Claim) bool {
	if b.settings.LinkRate == 0 || c.Deadline == 0 || c.Incoming == 0 {
		return true
	}
	if float64(c.Incoming) > b.carriedUntil(now, c.Deadline) {
		return false
	}
	total := 0.0
	for _, x := range b.byDeadline(&c) {
		carried := b.carriedUntil(now, x.Deadline)
		// A body that is too late already takes no more of the link than there is.
		total += min(float64(x.Incoming), carried)
		if x.Deadline >= c.Deadline && total > carried {
			return false
		}
	}
	return true
}

// byDeadline returns the bodies under way that have deadlines, and a further one, in the order of these.
func (b *Budget) byDeadline(c *Claim) []*Claim {
	all := []*Claim{c}
	for a := range maps.Values(b.admitted) {
		if a.Deadline != 0 && a.Incoming > 0 {
			all = append(all, &a.Claim)
		}
	}
	slices.SortFunc(all, func(x, y *Claim) int {
		return cmp.Or(cmp.Compare(x.Deadline, y.Deadline), cmp.Compare(x.ID, y.ID))
	})
	return all
}

// carriedUntil returns how many bytes the link carries until a time.
func (b *Budget) carriedUntil(now, until units.Instant) float64 {
	return max(0, until.Sub(now).Seconds()) * b.settings.LinkRate
}

// Backlog returns after which time the link has carried what is under way, if the callers send as fast as that.
func (b *Budget) Backlog() time.Duration {
	if b.settings.LinkRate == 0 {
		return 0
	}
	total := 0
	for _, a := range b.admitted {
		total += a.Incoming
	}
	return time.Duration(float64(total) / b.settings.LinkRate * float64(time.Second))
}

// Status shows the budget to operators, in bytes and bodies.
type Status struct {
	Limit   int `json:"limit"`
	Used    int `json:"used"`
	Waiting int `json:"waiting"`
	// Streamed counts the bodies that are passed on while they come.
	Streamed int `json:"streamed"`
	// Refused counts the bodies that got no memory since the start, or gave up waiting for it.
	Refused uint64 `json:"refused"`
}

// Status returns the budget's state.
func (b *Budget) Status() Status {
	s := Status{Limit: b.settings.Limit, Used: b.used, Waiting: len(b.queue), Refused: b.refused}
	for _, a := range b.admitted {
		if a.isStream {
			s.Streamed++
		}
	}
	return s
}
