package test

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/lab"
)

const (
	// wordsFrom is the first seed whose targets ask for rest and leave by their answers.
	firstNoticeSeed = 50_000
	// soakLeastRest and soakMostRest bound the rests that targets ask for, in milliseconds.
	soakMinRestMs = 500
	soakMaxRestMs = 3000
	// limitsFrom is the first seed whose targets name limits.
	firstLimitSeed = 60_000
	// soakMostLimit bounds the limits that targets name, in tenths of a call a second.
	soakMaxLimitTenths = 60
	// limitDisturbed is for how long before a window a disturbance of a box excuses its calls.
	limitOutageMargin = 7 * time.Second
)

// words tells whether the seed's targets ask for rest and leave by their answers.
func (x *soak) hasNotices() bool { return x.seed >= firstNoticeSeed }

// disturbance is a time at which a process stood still or was down. It may have been told
// something meanwhile that it never read.
type outage struct {
	affected     any
	since, until time.Time
}

// disturb notes that a process is disturbed until the function that it returns is called.
func (x *soak) beginOutage(thing any) func() {
	since := time.Now()
	return func() {
		x.lock.Lock()
		defer x.lock.Unlock()
		x.outages = append(x.outages, outage{affected: thing, since: since, until: time.Now()})
	}
}

func (x *soak) hadOutage(thing any, since, till time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	for _, d := range x.outages {
		if d.affected == thing && !d.since.After(till) && !d.until.Before(since) {
			return true
		}
	}
	return false
}

// withMost does something with most targets of both services.
func (x *soak) withMostTargets(do func(...*lab.TargetProcess)) bool {
	targets := x.targets[1:]
	things := make([]any, 0, len(targets))
	for _, t := range targets {
		things = append(things, t)
	}
	return x.withClaim(func() { do(targets...) }, things...)
}

// askForRest has a target turn calls away and ask for rest.
func (x *soak) restOneTarget() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.withClaim(func() { x.requestRest(t) }, t)
}

// askForRestTogether has most targets of both services ask for rest at the same time.
func (x *soak) restMostTargets() bool {
	return x.withMostTargets(x.requestRest)
}

func (x *soak) requestRest(some ...*lab.TargetProcess) {
	for _, t := range some {
		x.setBehaviorUnlessDown(t, fmt.Sprintf("shed=1&rest_ms=%d", soakMinRestMs+x.draw(soakMaxRestMs-soakMinRestMs)))
	}
	x.pause(200, 1500)
	for _, t := range some {
		x.setBehaviorUnlessDown(t, "shed=0")
	}
}

// leaveByAnswers has a target say that it leaves, which its reports don't, and end some seconds
// later. It starts again under its id.
func (x *soak) announceLeaving() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.withClaim(func() {
		x.setBehaviorUnlessDown(t, "leaving=1")
		x.pause(2500, 4000)
		t.Process.Kill()
	}, t)
}

// nameLimits has a target name a limit that may change, and end.
func (x *soak) limitOneTarget() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.withClaim(func() { x.announceLimits(t) }, t)
}

// nameLimitsTogether has most targets of both services do so at the same time.
func (x *soak) limitMostTargets() bool {
	return x.withMostTargets(x.announceLimits)
}

func (x *soak) announceLimits(some ...*lab.TargetProcess) {
	for range 1 + x.draw(2) {
		for _, t := range some {
			x.setBehaviorUnlessDown(t, fmt.Sprintf("limit=%g", float64(x.draw(soakMaxLimitTenths))/10))
		}
		x.pause(2000, 4500)
	}
	for _, t := range some {
		x.setBehaviorUnlessDown(t, "shed=0")
	}
}

// boxAt is the box whose entry is at an address.
func (x *soak) boxByEntry(entry string) *lab.Node {
	for _, b := range x.cluster.Boxes {
		if b.Entry == entry {
			return b
		}
	}
	return nil
}

// checkWords makes sure that boxes sent no more to targets that had asked for rest, had said that
// they leave or named limits, but for boxes that were disturbed since and targets that stood still.
func (x *soak) checkNotices() {
	for _, t := range x.targets {
		all, err := lab.ReadBreaches(t.Journal)
		x.must(err)
		for _, b := range all {
			if b.Limit != nil {
				x.checkLimit(t, b.Limit)
				continue
			}
			if x.hadOutage(x.boxByEntry(b.Box), b.Said, b.At) || x.hadOutage(t, b.Said, b.At) {
				continue
			}
			x.Errorf("%s got a call from %s %s after it had said to it that it wants none: %+v", t.Name, b.Box, b.At.Sub(b.Said), b)
		}
	}
}

// unwanted counts the calls that were refused because all targets of a service had asked for rest, or named limits.
// Their callers come again at once, so that they are many however well the others are served. Seeds
// whose targets say nothing have none.
func (x *soak) countTargetRefusals(reasons map[string]int) int {
	if !x.hasNotices() {
		return 0
	}
	return reasons[routing.TargetsResting.String()] + reasons[routing.TargetsLimited.String()]
}

// checkLimit makes sure that boxes which weren't disturbed sent no more than a target's limit allows.
func (x *soak) checkLimit(t *lab.TargetProcess, b *lab.LimitBreach) {
	since := b.At.Add(-limitOutageMargin)
	if x.hadOutage(t, since, b.At) {
		return
	}
	n := 0
	for entry, calls := range b.Calls {
		if !x.hadOutage(x.boxByEntry(entry), since, b.At) {
			n += calls
		}
	}
	if float64(n) > b.Allowed {
		x.Errorf("%s named a limit of %g a second and got %d calls from boxes that weren't disturbed, allowed %.0f: %v", t.Name, b.Rate, n, b.Allowed, b.Calls)
	}
}
