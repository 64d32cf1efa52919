// Package bodymemory shares a budget for the bodies of requests among goroutines.
package bodymemory

import (
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/core/bodies"
	"github.com/madderpond/madderpond/pkg/units"
)

// Memory is the memory for bodies. A nil Memory has no limit.
type Memory struct {
	lock   sync.Mutex
	budget *bodies.Budget
	nextID bodies.ID
	// waiting has the channel of each body that waits, which gets its verdict.
	waiting map[bodies.ID]chan bodies.Verdict
}

// NewMemory returns memory of which nothing is taken.
func NewMemory(s bodies.Settings) *Memory {
	return &Memory{budget: bodies.NewBudget(s), waiting: map[bodies.ID]chan bodies.Verdict{}}
}

// Reserve asks for a body's memory, and waits for it for a time. The verdict is bodies.Queued if there was none;
// the id, which is zero without a limit, is for Release.
func (m *Memory) Reserve(now units.Instant, c bodies.Claim, wait time.Duration) (bodies.ID, bodies.Verdict) {
	if m == nil {
		return 0, bodies.Granted
	}
	m.lock.Lock()
	m.nextID++
	c.ID = m.nextID
	verdict := m.budget.Reserve(now, c)
	if verdict != bodies.Queued {
		m.lock.Unlock()
		return c.ID, verdict
	}
	granted := make(chan bodies.Verdict, 1)
	m.waiting[c.ID] = granted
	m.lock.Unlock()
	select {
	case v := <-granted:
		return c.ID, v
	case <-time.After(wait):
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	next, stillWaits := m.budget.Abandon(c.ID)
	m.wake(next)
	if !stillWaits {
		// It was granted at the last moment.
		return c.ID, <-granted
	}
	delete(m.waiting, c.ID)
	return c.ID, bodies.Queued
}

// MeetsDeadline reports whether the link can carry a body before its call's deadline.
func (m *Memory) MeetsDeadline(now units.Instant, c bodies.Claim) bool {
	if m == nil {
		return true
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.budget.MeetsDeadlines(now, c)
}

// SetIncoming updates how many bytes of a body are still to come.
func (m *Memory) SetIncoming(id bodies.ID, n int) {
	if m == nil {
		return
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.budget.SetIncoming(id, n)
}

// Release returns a body's memory, if it has reserved any.
func (m *Memory) Release(id bodies.ID) {
	if m == nil || id == 0 {
		return
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.wake(m.budget.Release(id))
}

func (m *Memory) wake(granted []bodies.Grant) {
	for _, g := range granted {
		if c := m.waiting[g.ID]; c != nil {
			c <- g.Verdict
			delete(m.waiting, g.ID)
		}
	}
}

// Backlog returns after which time the link has carried the bodies under way.
func (m *Memory) Backlog() time.Duration {
	if m == nil {
		return 0
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.budget.Backlog()
}

// Status returns the budget's state.
func (m *Memory) Status() bodies.Status {
	if m == nil {
		return bodies.Status{}
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.budget.Status()
}
