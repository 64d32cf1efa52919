package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// A box that relied on old reports although others send the calls would send to full targets.
func TestReportsStayFreshForABoxThatSendsMostCalls(t *testing.T) {
	for _, x := range []struct {
		testName string
		own, all float64
		reports  int
		pause    time.Duration
		fresh    time.Duration
		isOwn    bool
	}{
		{testName: "no report", fresh: freshReportAge},
		{testName: "others send all calls", all: 2, reports: 100, fresh: freshReportAge},
		{testName: "one call of its own in four", own: 1, all: 4, reports: 100, fresh: 40 * time.Millisecond},
		{testName: "all calls are its own", own: 2, all: 2, reports: 100, fresh: maxFreshReportAge, isOwn: true},
		{testName: "all are, in too few reports", own: 2, all: 2, reports: 1, fresh: 45 * time.Millisecond},
		{testName: "all were, until a second ago", own: 2, all: 2, reports: 100, pause: trafficShareWindow, fresh: freshReportAge},
		{testName: "idle targets", reports: 100, fresh: freshReportAge},
		{testName: "its calls aren't reported", own: 3, all: 1, reports: 100, fresh: maxFreshReportAge, isOwn: true},
	} {
		now := units.Instant(time.Minute)
		s := &service{}
		for range x.reports {
			now = now.Add(time.Millisecond)
			s.traffic.record(now, x.own, x.all)
		}
		now = now.Add(x.pause)
		if got := s.freshReportAge(now).Round(5 * time.Millisecond); got != x.fresh {
			t.Errorf("%s: a report is fresh for %v, want %v", x.testName, got, x.fresh)
		}
		if got := s.traffic.isMostlyOwn(now); got != x.isOwn {
			t.Errorf("%s: calls are mostly the box's own: %v, want %v", x.testName, got, x.isOwn)
		}
	}
}
