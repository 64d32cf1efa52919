package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/units"
)

// timeline is a virtual clock with a schedule of events.
type timeline struct {
	now    units.Instant
	events *container.Heap[scheduledEvent]
}

type scheduledEvent struct {
	at     units.Instant
	action func()
}

func newTimeline(now units.Instant) timeline {
	return timeline{now: now, events: container.NewHeap(func(a, b scheduledEvent) bool { return a.at < b.at })}
}

// after schedules an action after a delay.
func (x *timeline) after(d time.Duration, do func()) { x.events.Push(scheduledEvent{x.now.Add(d), do}) }

// simulatedProcess is what a simulated box keeps of its process.
type simulatedProcess struct {
	// incarnation is increased with each start.
	incarnation int
	// wakeAt is when the process is next woken; zero for never.
	wakeAt units.Instant
}

// wake has tick called at a time, but in a millisecond at the earliest, unless the process is already woken
// before or starts again.
func (x *timeline) wake(p *simulatedProcess, at units.Instant, tick func()) {
	at = max(at, x.now.Add(time.Millisecond))
	if p.wakeAt > x.now && p.wakeAt <= at {
		return
	}
	p.wakeAt = at
	incarnation := p.incarnation
	x.after(at.Sub(x.now), func() {
		if p.incarnation == incarnation && p.wakeAt == at {
			p.wakeAt = 0
			tick()
		}
	})
}

// every schedules an action periodically.
func (x *timeline) every(d time.Duration, do func()) {
	x.after(d, func() {
		do()
		x.every(d, do)
	})
}

// run advances the clock and runs the actions that are due.
func (x *timeline) run(d time.Duration) {
	end := x.now.Add(d)
	for {
		next, ok := x.events.Peek()
		if !ok || next.at > end {
			break
		}
		x.events.Pop()
		x.now = max(x.now, next.at)
		next.action()
	}
	x.now = end
}
