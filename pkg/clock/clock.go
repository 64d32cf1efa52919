// Package clock reads the time for the shells; the decision logic gets it from
// them.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/madderpond/madderpond/pkg/units"
)

// Clock reads a process's steady clock and the wall clock. Instants count the time for which
// the machine was suspended, which the steady clock leaves out: what another process granted, a
// lease above all, runs out meanwhile.
type Clock struct {
	source source
	// startMonotonic, startWall and startSuspended are what the source read at the start.
	startMonotonic, startWall, startSuspended time.Duration
	// wallDrift is how much further than the steady clock the wall clock had moved when
	// suspensions were last looked for, suspendedSinceStart how long they were.
	wallDrift, suspendedSinceStart atomic.Int64
}

// source is where a clock reads from.
type source interface {
	// now reads the steady clock and the wall clock.
	now() (steady, wall time.Duration)
	// suspended is for how long the machine has been suspended so far.
	suspended() time.Duration
}

const (
	// firstInstant keeps the zero instant free to stand for "never".
	firstInstant = units.Instant(time.Second)
	// driftThreshold is by how much the wall clock moves against the steady one before the
	// suspended time is read, which takes two calls of the kernel: a shorter suspension harms no
	// lease, and a clock that is off by a thousandth is read so every ten seconds.
	driftThreshold = 10 * time.Millisecond
)

// NewClock returns a clock that starts now.
func NewClock() *Clock { return newClock(systemClocks{start: time.Now()}) }

func newClock(s source) *Clock {
	c := &Clock{source: s, startSuspended: s.suspended()}
	c.startMonotonic, c.startWall = s.now()
	return c
}

// Now returns the present instant.
func (c *Clock) Now() units.Instant {
	steady, wall := c.source.now()
	passed := steady - c.startMonotonic
	apart := int64(wall - c.startWall - passed)
	if moved := apart - c.wallDrift.Load(); moved >= int64(driftThreshold) || -moved >= int64(driftThreshold) {
		c.wallDrift.Store(apart)
		c.updateSuspended()
	}
	return firstInstant.Add(passed + time.Duration(c.suspendedSinceStart.Load()))
}

// updateSuspended reads how long the machine was suspended. Instants never go back.
func (c *Clock) updateSuspended() {
	slept := int64(c.source.suspended() - c.startSuspended)
	for held := c.suspendedSinceStart.Load(); slept > held && !c.suspendedSinceStart.CompareAndSwap(held, slept); held = c.suspendedSinceStart.Load() {
	}
}

// Wall returns the wall-clock time.
func (c *Clock) Wall() units.WallTime { return units.WallTime(time.Now().UnixMilli()) }

// Until returns the time left until an instant; it is negative once it is past.
func (c *Clock) Until(i units.Instant) time.Duration { return i.Sub(c.Now()) }

// Time returns the time of an instant, for deadlines of connections.
func (c *Clock) Time(i units.Instant) time.Time { return time.Now().Add(c.Until(i)) }

// systemClocks reads the clocks of the systemClocks.
type systemClocks struct{ start time.Time }

func (m systemClocks) now() (steady, wall time.Duration) {
	t := time.Now()
	return t.Sub(m.start), time.Duration(t.UnixNano())
}

// suspended is the difference of the two clocks that only differ in that; zero where the kernel
// doesn't have them.
func (m systemClocks) suspended() time.Duration {
	var counting, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &counting) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(counting.Nano() - steady.Nano())
}
