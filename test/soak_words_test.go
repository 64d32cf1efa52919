package test

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/lab"
)

const (
	// firstNoticeSeed is the first seed whose targets ask for rest and announce leaving in their responses.
	firstNoticeSeed = 50_000
	// soakMinRestMs and soakMaxRestMs bound the rests that targets ask for, in milliseconds.
	soakMinRestMs = 500
	soakMaxRestMs = 3000
	// firstLimitSeed is the first seed whose targets report limits.
	firstLimitSeed = 60_000
	// soakMaxLimitTenths bounds the limits that targets report, in tenths of a call a second.
	soakMaxLimitTenths = 60
	// limitOutageMargin is how long before a window an outage of a box still excuses its calls.
	limitOutageMargin = 7 * time.Second
)

// hasNotices reports whether the seed's targets ask for rest and announce leaving in their responses.
func (x *soak) hasNotices() bool { return x.seed >= firstNoticeSeed }

// outage is a time at which a process was frozen or down. It may have missed notices sent to it
// meanwhile.
type outage struct {
	affected     any
	since, until time.Time
}

// beginOutage starts an outage of a process; the function that it returns ends and records it.
func (x *soak) beginOutage(affected any) func() {
	since := time.Now()
	return func() {
		x.lock.Lock()
		defer x.lock.Unlock()
		x.outages = append(x.outages, outage{affected: affected, since: since, until: time.Now()})
	}
}

func (x *soak) hadOutage(affected any, since, until time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	for _, d := range x.outages {
		if d.affected == affected && !d.since.After(until) && !d.until.Before(since) {
			return true
		}
	}
	return false
}

// withMostTargets claims all targets but the first and calls a function with them.
func (x *soak) withMostTargets(do func(...*lab.TargetProcess)) bool {
	most := x.targets[1:]
	things := make([]any, 0, len(most))
	for _, t := range most {
		things = append(things, t)
	}
	return x.withClaim(func() { do(most...) }, things...)
}

// restOneTarget makes a target refuse calls and ask for rest.
func (x *soak) restOneTarget() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.withClaim(func() { x.requestRest(t) }, t)
}

// restMostTargets makes most targets of both services ask for rest at the same time.
func (x *soak) restMostTargets() bool {
	return x.withMostTargets(x.requestRest)
}

func (x *soak) requestRest(targets ...*lab.TargetProcess) {
	for _, t := range targets {
		x.setBehaviorUnlessDown(t, fmt.Sprintf("shed=1&rest_ms=%d", soakMinRestMs+x.draw(soakMaxRestMs-soakMinRestMs)))
	}
	x.pause(200, 1500)
	for _, t := range targets {
		x.setBehaviorUnlessDown(t, "shed=0")
	}
}

// announceLeaving makes a target announce in its responses, but not in its reports, that it leaves,
// and kills it some seconds later. It restarts under its id.
func (x *soak) announceLeaving() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.withClaim(func() {
		x.setBehaviorUnlessDown(t, "leaving=1")
		x.pause(2500, 4000)
		t.Process.Kill()
	}, t)
}

// limitOneTarget makes a target report a limit that may change and then ends.
func (x *soak) limitOneTarget() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.withClaim(func() { x.announceLimits(t) }, t)
}

// limitMostTargets makes most targets of both services report limits at the same time.
func (x *soak) limitMostTargets() bool {
	return x.withMostTargets(x.announceLimits)
}

func (x *soak) announceLimits(targets ...*lab.TargetProcess) {
	for range 1 + x.draw(2) {
		for _, t := range targets {
			x.setBehaviorUnlessDown(t, fmt.Sprintf("limit=%g", float64(x.draw(soakMaxLimitTenths))/10))
		}
		x.pause(2000, 4500)
	}
	for _, t := range targets {
		x.setBehaviorUnlessDown(t, "shed=0")
	}
}

// boxNamed returns the box that named itself to a target.
func (x *soak) boxNamed(name string) *lab.Node {
	for _, b := range x.cluster.Boxes {
		if b.Settings.Box == name {
			return b
		}
	}
	return nil
}

// checkNotices checks that boxes sent no calls to targets that had asked for rest or announced leaving, and
// kept to the limits of targets. Outages of the box or the target are excused.
func (x *soak) checkNotices() {
	for _, t := range x.targets {
		breaches, err := lab.ReadBreaches(t.Journal)
		x.must(err)
		for _, b := range breaches {
			if b.Limit != nil {
				x.checkLimit(t, b.Limit)
				continue
			}
			if x.hadOutage(x.boxNamed(b.Box), b.InformedAt, b.At) || x.hadOutage(t, b.InformedAt, b.At) {
				continue
			}
			x.Errorf("%s got a call from %s %s after it had told that box that it rests or leaves: %+v", t.Name, b.Box, b.At.Sub(b.InformedAt), b)
		}
	}
}

// countTargetRefusals counts the calls that were refused because all targets of a service had asked for rest or
// reported limits. Their callers retry at once, so there can be many of them although the other calls are served
// well. It is zero for seeds whose targets send no notices.
func (x *soak) countTargetRefusals(reasons map[string]int) int {
	if !x.hasNotices() {
		return 0
	}
	return reasons[routing.TargetsResting.String()] + reasons[routing.TargetsLimited.String()]
}

// checkLimit checks that boxes without an outage sent no more calls than a target's limit allows.
func (x *soak) checkLimit(t *lab.TargetProcess, b *lab.LimitBreach) {
	since := b.At.Add(-limitOutageMargin)
	if x.hadOutage(t, since, b.At) {
		return
	}
	n := 0
	for entry, calls := range b.Calls {
		if !x.hadOutage(x.boxNamed(entry), since, b.At) {
			n += calls
		}
	}
	if float64(n) > b.Allowed {
		x.Errorf("%s reported a limit of %g a second and got %d calls from boxes without an outage, allowed %.0f: %v", t.Name, b.Rate, n, b.Allowed, b.Calls)
	}
}
