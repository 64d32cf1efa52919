package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// sheddingTargets are targets for quotaFleet with a limited number of slots, which shed calls while
// no slot is free.
type sheddingTargets struct {
	slots   int
	work    time.Duration
	running map[units.TargetID]int
}

const shedAfter = 2 * time.Millisecond

// handle runs or sheds a call at a target; done receives the result.
func (x *sheddingTargets) handle(f *quotaFleet, target units.TargetID, done func(AttemptResult, TargetReport)) {
	if x.running[target] >= x.slots {
		f.after(shedAfter, func() { done(Shed, x.report(target)) })
		return
	}
	x.running[target]++
	f.after(x.work, func() {
		x.running[target]--
		done(Answered, x.report(target))
	})
}

func (x *sheddingTargets) report(target units.TargetID) TargetReport {
	return TargetReport{HasLoad: true, InFlight: float64(x.running[target]), Slots: float64(x.slots), Pace: 1}
}

// row is a target's registration.
func (x *sheddingTargets) row(id units.TargetID) table.Row {
	return table.Row{Service: "s", Target: id, Address: "127.0.0.1:1", Weight: 100, State: table.Active, Registered: true, Slots: x.slots}
}

// zipf divides a total into n shares by Zipf's law: the k-th is a k-th of the first.
func zipf(n int, total float64) []float64 {
	sum := 0.0
	for k := range n {
		sum += 1 / float64(k+1)
	}
	shares := make([]float64, n)
	for k := range shares {
		shares[k] = total / sum / float64(k+1)
	}
	return shares
}

// The service receives half as many calls again as it can serve, from 78 workspaces, one of which
// sends eight times its usual rate. No other workspace has less than a quarter of the average
// fraction of its calls served.
func TestNoWorkspaceStarvesAtAFullService(t *testing.T) {
	const (
		workspaces, boxes, hotPlace = 78, 18, 3
		load, hotTimes, aboveUsual  = 1.5, 8, 1.6
		leastPart                   = 0.25
	)
	full := &sheddingTargets{slots: 2, work: 40 * time.Millisecond, running: map[units.TargetID]int{}}
	capacity := float64(quotaTargets*full.slots) / full.work.Seconds()
	usual := zipf(workspaces, load*capacity)
	rates := make([]float64, workspaces)
	for i := range rates {
		rates[i] = aboveUsual * usual[i]
	}
	f := newQuotaFleet(21, boxes, rates...)
	f.shedding = full
	f.changeTable()
	f.run(8 * time.Second)
	for i, w := range f.workspaces {
		f.setCallRate(w, usual[i])
	}
	f.run(3 * time.Second)
	hot := f.workspaces[hotPlace]
	f.setCallRate(hot, hotTimes*usual[hotPlace])
	for _, w := range f.workspaces {
		w.calls, w.served = 0, 0
	}
	f.run(60 * time.Second)
	calls, served := 0, 0
	for _, w := range f.workspaces {
		if w != hot {
			calls += w.calls
			served += w.served
		}
	}
	part := float64(served) / float64(calls)
	least := 1.0
	for _, w := range f.workspaces {
		got := float64(w.served) / float64(w.calls)
		if w != hot {
			least = min(least, got)
		}
		if w != hot && got < leastPart*part {
			t.Errorf("%s has %d of %d calls served, the average fraction is %.2f", w.workspace.Name, w.served, w.calls, part)
		}
	}
	t.Logf("served: %.2f of the calls of all workspaces but the hot one, at least %.2f of those of each, %d of %d of the hot one", part, least, hot.served, hot.calls)
	if served+hot.served > int(1.01*61*capacity) || part > 0.95 {
		t.Errorf("the service isn't saturated: %.2f of the calls are served", part)
	}
}
