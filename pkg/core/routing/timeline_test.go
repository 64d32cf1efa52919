package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/units"
)

// timeline is virtual time, and what is to happen in it.
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

// after has something happen some time from now.
func (x *timeline) after(d time.Duration, do func()) { x.events.Push(scheduledEvent{x.now.Add(d), do}) }

// every has something happen again and again.
func (x *timeline) every(d time.Duration, do func()) {
	x.after(d, func() {
		do()
		x.every(d, do)
	})
}

// run lets time pass.
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
