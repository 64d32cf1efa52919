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
