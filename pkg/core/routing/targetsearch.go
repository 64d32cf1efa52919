package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// SearchLimit is what kept a waiting call from probing more targets.
type SearchLimit uint8

// The limits of a search.
const (
	// NoSearchLimit: the call probed whenever it was due.
	NoSearchLimit SearchLimit = iota
	// ProbeBudgetSpent: the box had used up its part of the probe budget.
	ProbeBudgetSpent
	// OthersProbe: enough other calls that wait for the service were probing.
	OthersProbe
	// ProbesInFlight: the targets without a fresh report had probes in flight, or just had one.
	ProbesInFlight
	// AllReported: each available target had a fresh report.
	AllReported
	searchLimits
)

var searchLimitNames = [searchLimits]string{"none", "probe-budget", "others-probe", "probes-in-flight", "all-reported"}

// String returns the limit as logs show it.
func (l SearchLimit) String() string { return searchLimitNames[l] }

// TargetSearch is what a box knew when it refused a call because targets were busy.
type TargetSearch struct {
	// Probes is the number of probes sent for the call, Limit what last kept it from sending more.
	Probes int
	Limit  SearchLimit
	// ProbesLeft is the number of probes that the box could still send for the service, ProbeRate how
	// many it gets a second. ProbesBorrowed is how many other boxes have lent it since its start,
	// Fruitless how many requests for them in a row brought none.
	ProbesLeft, ProbeRate float64
	ProbesBorrowed        uint64
	Fruitless             int
	// BusyFraction is the fraction of recent probe answers that showed no room. Busy is set if the
	// service counted as busy for that reason.
	BusyFraction float64
	Busy         bool
	// Free, Full and Slow count the targets by their last reports, Unknown those without a report that
	// is recent enough to tell.
	Free, Full, Slow, Unknown int
	// NewestReport and OldestReport are the ages of the reports that were counted; negative if none was.
	NewestReport, OldestReport time.Duration
}

// describeTargets returns what is known about the targets that a call could have been sent to.
func (r *Router) describeTargets(c *call) *TargetSearch {
	s := c.service
	x := &TargetSearch{
		Probes: c.probeRound.probes, Limit: c.probeRound.limit, ProbesLeft: s.availableProbes(r.now), ProbeRate: r.probeBudgetRate(s),
		ProbesBorrowed: s.borrowing.status.Probes, Fruitless: s.borrowing.fruitless,
		BusyFraction: s.busyFraction, Busy: s.isBusy(r.now), NewestReport: -1, OldestReport: -1,
	}
	for _, t := range s.targets {
		if t.isEligible() && c.mayUse(t) {
			x.add(r, c, t)
		}
	}
	return x
}

func (x *TargetSearch) add(r *Router, c *call, t *target) {
	if !t.hasUsableReport(r.now) {
		x.Unknown++
		return
	}
	age := r.now.Sub(t.report.receivedAt)
	if x.NewestReport < 0 || age < x.NewestReport {
		x.NewestReport = age
	}
	x.OldestReport = max(x.OldestReport, age)
	switch {
	case r.isSuitableByReport(c, t):
		x.Free++
	case t.expectedPace(r.now) >= maxGoodPace || r.isTooSlow(c, t):
		x.Slow++
	default:
		x.Full++
	}
}

// hasUsableReport reports whether the target's last report is recent enough to show its pace.
func (t *target) hasUsableReport(now units.Instant) bool {
	return t.report.HasLoad && now.Sub(t.report.receivedAt) < paceLifetime
}

// searchStatus returns how often calls weren't allowed to probe, by limit.
func (s *service) searchStatus() map[string]uint64 {
	counts := map[string]uint64{}
	for l, n := range s.limitedSearches {
		if n > 0 {
			counts[SearchLimit(l).String()] = n
		}
	}
	return counts
}
