package entry

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/bodies"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// bodyFraction is the fraction of the memory limit that bodies may take together. The rest is for
	// everything else, and for bodies that have been released and not been collected yet.
	bodyFraction = 0.6
	// maxBodyFraction is the same where a single body of the largest size needs more.
	maxBodyFraction = 0.8
	// heldFraction is the part of that for large bodies that are held whole. The rest is for small ones, and for
	// windows.
	heldFraction = 0.85
	// streamBufferBytes is the buffer of a socket from which a body is streamed, and streamWindowBytes the memory
	// that such a body takes: the system doubles the buffer.
	streamBufferBytes = 256 << 10
	streamWindowBytes = 2 * streamBufferBytes
	// callBytes is what a call takes while its body comes, besides that: buffers of its connection, its head and
	// a goroutine.
	callBytes = 24 << 10
	// headCopies is how often a call's head is in memory: as received, as parsed, and as sent to a target.
	headCopies = 4
	// uncountedHeadBytes is the size up to which a head takes no more memory than its connection.
	uncountedHeadBytes = 4 << 10
	// connectionFraction is the fraction of the memory limit that callers' connections may take, each of them
	// connectionBytes.
	connectionFraction = 0.3
	connectionBytes    = 32 << 10
	// maxWaitingBodies bounds the calls whose bodies wait in their connections.
	maxWaitingBodies = 64
)

// bodyMemory is the memory for request bodies, shared by all calls.
type bodyMemory struct {
	lock   sync.Mutex
	budget *bodies.Budget
	nextID bodies.ID
	// waiting has the channel of each body that waits, which gets its verdict.
	waiting map[bodies.ID]chan bodies.Verdict
}

// newBodyMemory returns the memory for bodies of a process with a memory limit, for which zero is no limit, and
// with a link, in bytes per second.
func newBodyMemory(limitMB, maxBody int, linkRate float64) *bodyMemory {
	if limitMB == 0 {
		return nil
	}
	limit := float64(limitMB) * (1 << 20)
	bound := max(bodyFraction*limit, min(float64(maxBody), maxBodyFraction*limit))
	return &bodyMemory{waiting: map[bodies.ID]chan bodies.Verdict{}, budget: bodies.NewBudget(bodies.Settings{
		Limit: int(bound), HeldLimit: int(heldFraction * bound), Window: streamWindowBytes, MaxQueue: maxWaitingBodies, LinkRate: linkRate,
	})}
}

// reserve asks for a body's memory, and waits for it for a time. The verdict is bodies.Queued if there was none.
func (m *bodyMemory) reserve(now units.Instant, c bodies.Claim, wait time.Duration) (bodies.ID, bodies.Verdict) {
	if m == nil {
		return 0, bodies.Granted
	}
	m.lock.Lock()
	m.nextID++
	c.ID = m.nextID
	verdict := m.budget.Reserve(now, c)
	granted := make(chan bodies.Verdict, 1)
	if verdict == bodies.Queued {
		m.waiting[c.ID] = granted
	}
	m.lock.Unlock()
	if verdict != bodies.Queued {
		return c.ID, verdict
	}
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

// meetsDeadline reports whether the link can carry a body before its call's deadline.
func (m *bodyMemory) meetsDeadline(now units.Instant, c bodies.Claim) bool {
	if m == nil {
		return true
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.budget.MeetsDeadlines(now, c)
}

// reserveHead reserves memory for what a long head takes while its call is served, or refuses the call. The id is
// zero for a short one.
func (e *Entry) reserveHead(ctx *fasthttp.RequestCtx) (id bodies.ID, ok bool) {
	n := len(ctx.Request.Header.RawHeaders())
	if n <= uncountedHeadBytes {
		return 0, true
	}
	id, verdict := e.bodies.reserve(e.Clock.Now(), bodies.Claim{Bytes: headCopies * n}, 0)
	if verdict != bodies.Granted {
		e.refuseBody(ctx, headCopies*n, verdict)
		return 0, false
	}
	return id, true
}

// maxConnections returns how many connections callers may have, by the settings and by the memory limit.
func (e *Entry) maxConnections() int {
	n := e.Settings.Entry.MaxConnections
	if limit := e.Settings.MemoryLimitMB << 20; limit > 0 {
		n = min(n, int(connectionFraction*float64(limit)/connectionBytes))
	}
	return max(1, n)
}

// setIncoming updates how many bytes of a body are still to come.
func (m *bodyMemory) setIncoming(id bodies.ID, n int) {
	if m == nil {
		return
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.budget.SetIncoming(id, n)
}

// release returns a body's memory, if it has reserved any.
func (m *bodyMemory) release(id bodies.ID) {
	if m == nil || id == 0 {
		return
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.wake(m.budget.Release(id))
}

func (m *bodyMemory) wake(granted []bodies.Grant) {
	for _, g := range granted {
		if c := m.waiting[g.ID]; c != nil {
			c <- g.Verdict
			delete(m.waiting, g.ID)
		}
	}
}

// backlog returns after which time the link has carried the bodies under way.
func (m *bodyMemory) backlog() time.Duration {
	if m == nil {
		return 0
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.budget.Backlog()
}

func (m *bodyMemory) status() bodies.Status {
	if m == nil {
		return bodies.Status{}
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.budget.Status()
}
