// Package bodies decides which request bodies a box holds in memory. Bodies that don't fit wait in their
// connections, in the order in which they came, until others have ended.
package bodies

import "slices"

// ID identifies a body.
type ID uint64

// Verdict is what becomes of a body.
type Verdict uint8

// The verdicts.
const (
	// Granted: the body may be read.
	Granted Verdict = iota + 1
	// Queued: it waits; a later Release returns its id.
	Queued
	// TooLarge: it doesn't fit even alone.
	TooLarge
	// QueueFull: as many bodies wait as may.
	QueueFull
)

// Budget is the memory for bodies, in bytes. A body gets all of its memory at once, so that no two
// wait for each other.
type Budget struct {
	limit, used int
	// maxQueue is how many bodies may wait.
	maxQueue int
	queue    []claim
}

// claim is a body's memory.
type claim struct {
	id    ID
	bytes int
}

// NewBudget returns an unused budget.
func NewBudget(limit, maxQueue int) *Budget { return &Budget{limit: limit, maxQueue: maxQueue} }

// Reserve asks for the memory of a body.
func (b *Budget) Reserve(id ID, bytes int) Verdict {
	switch {
	case bytes > b.limit:
		return TooLarge
	case len(b.queue) == 0 && b.used+bytes <= b.limit:
		b.used += bytes
		return Granted
	case len(b.queue) >= b.maxQueue:
		return QueueFull
	}
	b.queue = append(b.queue, claim{id: id, bytes: bytes})
	return Queued
}

// Release returns a body's memory, and the bodies that get theirs now.
func (b *Budget) Release(bytes int) []ID {
	b.used -= bytes
	return b.grant()
}

// Abandon removes a body that waits; it returns false if it doesn't. Others may get their memory then.
func (b *Budget) Abandon(id ID) (granted []ID, found bool) {
	i := slices.IndexFunc(b.queue, func(c claim) bool { return c.id == id })
	if i < 0 {
		return nil, false
	}
	b.queue = slices.Delete(b.queue, i, i+1)
	return b.grant(), true
}

// grant gives the bodies at the head of the queue their memory.
func (b *Budget) grant() []ID {
	var granted []ID
	for len(b.queue) > 0 && b.used+b.queue[0].bytes <= b.limit {
		b.used += b.queue[0].bytes
		granted = append(granted, b.queue[0].id)
		b.queue = b.queue[1:]
	}
	return granted
}

// Status shows the budget to operators, in bytes and bodies.
type Status struct {
	Limit   int `json:"limit"`
	Used    int `json:"used"`
	Waiting int `json:"waiting"`
}

// Status returns the budget's state.
func (b *Budget) Status() Status { return Status{Limit: b.limit, Used: b.used, Waiting: len(b.queue)} }
