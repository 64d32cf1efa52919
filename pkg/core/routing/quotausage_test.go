package routing

import (
	"testing"
	"time"
)

// The usage reports of all boxes add up to the calls that they admitted and refused, each counted
// once.
func TestBoxesTellWhatTheyLetIn(t *testing.T) {
	f := newQuotaFleet(9, 18, 40)
	w := f.workspaces[0]
	f.run(8 * time.Second)
	f.setCallRate(w, 100)
	admitted, refused := 0, 0
	collect := func() {
		for _, b := range f.boxes {
			for _, u := range b.router.DrainQuotaUsage(f.now) {
				admitted += u.Admitted
				refused += u.Refused
			}
		}
	}
	for range 100 {
		f.run(100 * time.Millisecond)
		collect()
	}
	w.perSecond = 1e-9
	f.run(quotaReportInterval)
	collect()
	if admitted != len(w.runs) || refused != w.refused {
		t.Errorf("boxes reported %d calls admitted and %d refused; %d ran and %d were refused", admitted, refused, len(w.runs), w.refused)
	}
}
