package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// A load report is out of date once other boxes have sent the target further calls; those that the box
// sends itself are known to it. So the larger a box's own share of a service's calls, the longer it may
// rely on a report. A box that gets most of the calls then knows the targets from the answers to them,
// however small its part of the probe budget is.

const (
	// freshReportAge is the age up to which a load report is as good as a new one where nearly all
	// calls are sent by other boxes, maxFreshReportAge where they are sent by this one: the load of
	// other processes on a target's machine changes in about that time.
	freshReportAge    = 30 * time.Millisecond
	maxFreshReportAge = 100 * time.Millisecond
	// trafficShareWindow is the time over which a box estimates its share of the calls.
	trafficShareWindow = time.Second
	// trafficSharePrior is the number of calls of other boxes that is added to those reported, so that
	// a few reports don't show that a box is alone.
	trafficSharePrior = 4
	// maxOthersShare is the share of the calls below which other boxes send few of them.
	maxOthersShare = 0.5
)

// trafficShare estimates a box's share of a service's calls in flight from the targets' reports.
type trafficShare struct {
	// own and all are the numbers of calls in recent reports.
	own, all float64
	at       units.Instant
}

// record adds a report of a target at which the box itself has own calls in flight.
func (x *trafficShare) record(now units.Instant, own, all float64) {
	weight := linearDecay(now.Sub(x.at), trafficShareWindow)
	x.own = x.own*weight + min(own, all)
	x.all = x.all*weight + all
	x.at = now
}

// ofOthers returns the estimated share of the calls that other boxes send.
func (x *trafficShare) ofOthers(now units.Instant) float64 {
	weight := linearDecay(now.Sub(x.at), trafficShareWindow)
	return 1 - x.own*weight/(x.all*weight+trafficSharePrior)
}

// isMostlyOwn reports whether the box sends most of the calls itself.
func (x *trafficShare) isMostlyOwn(now units.Instant) bool { return x.ofOthers(now) < maxOthersShare }

// freshReportAge returns the age up to which a load report of the service's targets is as good as a new
// one: until other boxes have sent as many calls as all of them send in freshReportAge.
func (s *service) freshReportAge(now units.Instant) time.Duration {
	age := time.Duration(float64(freshReportAge) / s.traffic.ofOthers(now))
	return min(maxFreshReportAge, age)
}

// hasFreshReport reports whether the target's last load report is as good as a new one.
func (t *target) hasFreshReport(now units.Instant) bool {
	return t.report.HasLoad && now.Sub(t.report.receivedAt) <= t.service.freshReportAge(now)
}
