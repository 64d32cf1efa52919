// Package clock reads the time for the parts of a process that do I/O. The decision logic reads no
// clock; it gets the time as an argument.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/madderpond/madderpond/pkg/units"
)

// Clock reads the monotonic clock and the wall clock. Its instants include the time for which the
// machine was suspended, unlike the monotonic clock, since what another process has granted, such
// as a lease, expires during a suspension too.
type Clock struct {
	source source
	// startMonotonic, startWall and startSuspended are the readings of the source at the start.
	startMonotonic, startWall, startSuspended time.Duration
	// wallDrift is how much further the wall clock had advanced than the monotonic clock when
	// suspensions were last checked for, in nanoseconds since the start. suspendedSinceStart is
	// how long the machine was suspended, in nanoseconds.
	wallDrift, suspendedSinceStart atomic.Int64
}

// source has the readings that a clock is based on.
type source interface {
	// now reads the monotonic clock and the wall clock.
	now() (monotonic, wall time.Duration)
	// suspended returns for how long the machine has been suspended so far.
	suspended() time.Duration
}

const (
	// firstInstant is after zero, which means "never".
	firstInstant = units.Instant(time.Second)
	// driftThreshold is by how much the wall clock must drift from the monotonic clock before the
	// suspended time is read again, which takes two system calls. A shorter suspension harms no
	// lease, and a wall clock that is off by a thousandth causes one such read every ten seconds.
	driftThreshold = 10 * time.Millisecond
)

// NewClock returns a clock that starts now.
func NewClock() *Clock { return newClock(systemClocks{start: time.Now()}) }

func newClock(s source) *Clock {
	c := &Clock{source: s, startSuspended: s.suspended()}
	c.startMonotonic, c.startWall = s.now()
	return c
}

// Now returns the current instant.
func (c *Clock) Now() units.Instant {
	monotonic, wall := c.source.now()
	elapsed := monotonic - c.startMonotonic
	drift := int64(wall - c.startWall - elapsed)
	if moved := drift - c.wallDrift.Load(); moved >= int64(driftThreshold) || -moved >= int64(driftThreshold) {
		c.wallDrift.Store(drift)
		c.updateSuspended()
	}
	return firstInstant.Add(elapsed + time.Duration(c.suspendedSinceStart.Load()))
}

// updateSuspended reads for how long the machine was suspended. It only ever increases the stored
// time, so that instants never go back.
func (c *Clock) updateSuspended() {
	suspended := int64(c.source.suspended() - c.startSuspended)
	for stored := c.suspendedSinceStart.Load(); suspended > stored && !c.suspendedSinceStart.CompareAndSwap(stored, suspended); stored = c.suspendedSinceStart.Load() {
	}
}

// Wall returns the wall-clock time.
func (c *Clock) Wall() units.WallTime { return units.WallTime(time.Now().UnixMilli()) }

// Until returns the time remaining until an instant; it is negative for a past one.
func (c *Clock) Until(i units.Instant) time.Duration { return i.Sub(c.Now()) }

// Time returns the local time of an instant, for the deadlines of connections.
func (c *Clock) Time(i units.Instant) time.Time { return time.Now().Add(c.Until(i)) }

// systemClocks reads the operating system's clocks.
type systemClocks struct{ start time.Time }

func (s systemClocks) now() (monotonic, wall time.Duration) {
	t := time.Now()
	return t.Sub(s.start), time.Duration(t.UnixNano())
}

// suspended returns the difference between the two clocks that differ only in the suspended time;
// zero if the kernel doesn't have them.
func (s systemClocks) suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
