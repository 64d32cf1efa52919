package clock

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// fakeSource is a source whose clocks the test sets.
type fakeSource struct {
	monotonic, wall, suspendedFor time.Duration
	reads                         int
}

func (f *fakeSource) now() (monotonic, wall time.Duration) { return f.monotonic, f.wall }

func (f *fakeSource) suspended() time.Duration {
	f.reads++
	return f.suspendedFor
}

// advance lets time pass on both clocks.
func (f *fakeSource) advance(d time.Duration) {
	f.monotonic += d
	f.wall += d
}

// suspend suspends the machine for a time, which only the wall clock counts.
func (f *fakeSource) suspend(d time.Duration) {
	f.wall += d
	f.suspendedFor += d
}

func TestInstantsCountSuspensions(t *testing.T) {
	f := &fakeSource{monotonic: 5 * time.Second, wall: time.Hour, suspendedFor: time.Minute}
	c := newClock(f)
	start := c.Now()
	lease := start.Add(2 * time.Second)
	f.advance(time.Second)
	if remaining := c.Until(lease); remaining != time.Second {
		t.Fatalf("%s remain of the lease", remaining)
	}
	f.suspend(3 * time.Second)
	if remaining := c.Until(lease); remaining != -2*time.Second {
		t.Fatalf("after the suspension %s remain of the lease", remaining)
	}
	f.suspend(500 * time.Millisecond)
	f.advance(time.Second)
	if got := c.Now().Sub(start); got != 5500*time.Millisecond {
		t.Fatalf("%s have passed", got)
	}
}

// A step of the wall clock, or a wall clock that runs a little fast, must not count as a suspension.
func TestTheWallClockMovesNoInstant(t *testing.T) {
	f := &fakeSource{}
	c := newClock(f)
	start := c.Now()
	for _, step := range []time.Duration{time.Hour, -2 * time.Hour, 5 * time.Millisecond} {
		f.wall += step
		f.advance(time.Second)
		c.Now()
	}
	if got := c.Now().Sub(start); got != 3*time.Second {
		t.Fatalf("%s have passed", got)
	}
	reads := f.reads
	for range 1000 {
		f.advance(time.Millisecond)
		f.wall += time.Microsecond
		c.Now()
	}
	if f.reads > reads+1 {
		t.Errorf("the suspended time was read %d times in a second", f.reads-reads)
	}
}

// A wall clock that is set back by as much as a suspension hides the suspension until it next drifts.
// Instants must not go back then either.
func TestInstantsNeverGoBack(t *testing.T) {
	f := &fakeSource{}
	c := newClock(f)
	last := units.Instant(0)
	for i := range 100 {
		f.suspend(time.Duration(i) * time.Millisecond)
		f.wall -= time.Duration(i%7) * 20 * time.Millisecond
		f.advance(time.Millisecond)
		if now := c.Now(); now < last {
			t.Fatalf("instant %d lies before %d", now, last)
		} else {
			last = now
		}
	}
}

func TestTheMachinesClockRuns(t *testing.T) {
	c := NewClock()
	first := c.Now()
	time.Sleep(2 * time.Millisecond)
	if elapsed := c.Now().Sub(first); elapsed < 2*time.Millisecond {
		t.Errorf("%s have passed", elapsed)
	}
}

// BenchmarkNow measures the cost of an instant: 49 ns, of which the monotonic clock alone takes 27 ns.
func BenchmarkNow(b *testing.B) {
	c := NewClock()
	for b.Loop() {
		c.Now()
	}
}
