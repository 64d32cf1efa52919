package test

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/lab"
)

const (
	// wordsFrom is the first seed whose targets ask for rest and leave by their answers.
	wordsFrom = 50_000
	// soakLeastRest and soakMostRest bound the rests that targets ask for, in milliseconds.
	soakLeastRest = 500
	soakMostRest  = 3000
	// limitsFrom is the first seed whose targets name limits.
	limitsFrom = 60_000
	// soakMostLimit bounds the limits that targets name, in tenths of a call a second.
	soakMostLimit = 60
	// limitDisturbed is for how long before a window a disturbance of a box excuses its calls.
	limitDisturbed = 7 * time.Second
)

// words tells whether the seed's targets ask for rest and leave by their answers.
func (x *soak) words() bool { return x.seed >= wordsFrom }

// disturbance is a time at which a process stood still or was down. It may have been told
// something meanwhile that it never read.
type disturbance struct {
	thing       any
	since, till time.Time
}

// disturb notes that a process is disturbed until the function that it returns is called.
func (x *soak) disturb(thing any) func() {
	since := time.Now()
	return func() {
		x.lock.Lock()
		defer x.lock.Unlock()
		x.disturbed = append(x.disturbed, disturbance{thing: thing, since: since, till: time.Now()})
	}
}

func (x *soak) wasDisturbed(thing any, since, till time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	for _, d := range x.disturbed {
		if d.thing == thing && !d.since.After(till) && !d.till.Before(since) {
			return true
		}
	}
	return false
}

// withMost does something with most targets of both services.
func (x *soak) withMost(do func(...*lab.TargetProcess)) bool {
	some := x.targets[1:]
	things := make([]any, 0, len(some))
	for _, t := range some {
		things = append(things, t)
	}
	return x.with(func() { do(some...) }, things...)
}

// askForRest has a target turn calls away and ask for rest.
func (x *soak) askForRest() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.with(func() { x.rest(t) }, t)
}

// askForRestTogether has most targets of both services ask for rest at the same time.
func (x *soak) askForRestTogether() bool {
	return x.withMost(x.rest)
}

func (x *soak) rest(some ...*lab.TargetProcess) {
	for _, t := range some {
		x.tell(t, fmt.Sprintf("shed=1&rest_ms=%d", soakLeastRest+x.draw(soakMostRest-soakLeastRest)))
	}
	x.pause(200, 1500)
	for _, t := range some {
		x.tell(t, "shed=0")
	}
}

// leaveByAnswers has a target say that it leaves, which its reports don't, and end some seconds
// later. It starts again under its id.
func (x *soak) leaveByAnswers() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.with(func() {
		x.tell(t, "leaving=1")
		x.pause(2500, 4000)
		t.Process.Kill()
	}, t)
}

// nameLimits has a target name a limit that may change, and end.
func (x *soak) nameLimits() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.with(func() { x.limit(t) }, t)
}

// nameLimitsTogether has most targets of both services do so at the same time.
func (x *soak) nameLimitsTogether() bool {
	return x.withMost(x.limit)
}

func (x *soak) limit(some ...*lab.TargetProcess) {
	for range 1 + x.draw(2) {
		for _, t := range some {
			x.tell(t, fmt.Sprintf("limit=%g", float64(x.draw(soakMostLimit))/10))
		}
		x.pause(2000, 4500)
	}
	for _, t := range some {
		x.tell(t, "shed=0")
	}
}

// boxAt is the box whose entry is at an address.
func (x *soak) boxAt(entry string) *lab.Node {
	for _, b := range x.cluster.Boxes {
		if b.Entry == entry {
			return b
		}
	}
	return nil
}

// checkWords makes sure that boxes sent no more to targets that had asked for rest, had said that
// they leave or named limits, but for boxes that were disturbed since and targets that stood still.
func (x *soak) checkWords() {
	for _, t := range x.targets {
		all, err := lab.ReadBreaches(t.Journal)
		x.must(err)
		for _, b := range all {
			if b.Limit != nil {
				x.checkLimit(t, b.Limit)
				continue
			}
			if x.wasDisturbed(x.boxAt(b.Box), b.InformedAt, b.At) || x.wasDisturbed(t, b.InformedAt, b.At) {
				continue
			}
			x.Errorf("%s got a call from %s %s after it had said to it that it wants none: %+v", t.Name, b.Box, b.At.Sub(b.InformedAt), b)
		}
	}
}

// unwanted counts the calls that were refused because all targets of a service had asked for rest, or named limits.
// Their callers come again at once, so that they are many however well the others are served. Seeds
// whose targets say nothing have none.
func (x *soak) unwanted(reasons map[string]int) int {
	if !x.words() {
		return 0
	}
	return reasons[routing.TargetsResting.String()] + reasons[routing.TargetsLimited.String()]
}

// checkLimit makes sure that boxes which weren't disturbed sent no more than a target's limit allows.
func (x *soak) checkLimit(t *lab.TargetProcess, b *lab.LimitBreach) {
	since := b.At.Add(-limitDisturbed)
	if x.wasDisturbed(t, since, b.At) {
		return
	}
	n := 0
	for entry, calls := range b.Calls {
		if !x.wasDisturbed(x.boxAt(entry), since, b.At) {
			n += calls
		}
	}
	if float64(n) > b.Allowed {
		x.Errorf("%s named a limit of %g a second and got %d calls from boxes that weren't disturbed, allowed %.0f: %v", t.Name, b.Rate, n, b.Allowed, b.Calls)
	}
}
