package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// The extra round trip is the difference between the minimum probe times of the domain and of the
// box's own domain over some seconds.
func TestTheWayIsLearntFromTheQuickestProbes(t *testing.T) {
	const ms = time.Millisecond
	scenarios := []struct {
		testName   string
		own, there []time.Duration
		sameRegion bool
		after      time.Duration
		want       time.Duration
		wantLater  time.Duration
	}{
		{"nothing measured in the region", nil, nil, true, 0, defaultSameRegionRoundTrip, defaultSameRegionRoundTrip},
		{"nothing measured elsewhere", nil, nil, false, 0, defaultOtherRegionRoundTrip, defaultOtherRegionRoundTrip},
		{"only there", nil, []time.Duration{17 * ms}, false, 0, defaultOtherRegionRoundTrip, defaultOtherRegionRoundTrip},
		{"slow answers don't count", []time.Duration{90 * ms, 7 * ms}, []time.Duration{23 * ms, 120 * ms}, false, 0, 16 * ms, 16 * ms},
		{"never negative", []time.Duration{9 * ms}, []time.Duration{8 * ms}, true, 0, 0, 0},
		{"a longer way is noticed", []time.Duration{7 * ms}, []time.Duration{9 * ms}, true, minTimeWindow + ms, 2 * ms, 33 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			own := &domainDistance{}
			there := &domainDistance{ownDomain: own, sameRegion: s.sameRegion}
			recordAll(own, testNow, s.own)
			recordAll(there, testNow, s.there)
			if extra := there.extraRoundTrip(); extra != s.want {
				t.Errorf("the extra round trip is %s, want %s", extra, s.want)
			}
			// Two windows later only the measurements since then are used.
			for i := range 2 {
				if now := testNow.Add(time.Duration(i+1) * s.after); s.after > 0 {
					recordAll(own, now, []time.Duration{7 * ms})
					recordAll(there, now, []time.Duration{40 * ms})
				}
			}
			if extra := there.extraRoundTrip(); extra != s.wantLater {
				t.Errorf("later the extra round trip is %s, want %s", extra, s.wantLater)
			}
			if extra := own.extraRoundTrip(); extra != 0 {
				t.Errorf("the extra round trip to the own domain is %s", extra)
			}
		})
	}
}

func recordAll(x *domainDistance, now units.Instant, took []time.Duration) {
	for _, d := range took {
		x.recordProbe(now, d)
	}
}
