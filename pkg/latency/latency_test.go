package latency

import (
	"testing"
	"time"
)

func TestSummariesTellQuantiles(t *testing.T) {
	h := NewHistogram(Fine)
	for i := range 1000 {
		h.Observe(time.Duration(i+1) * time.Millisecond)
	}
	h.Observe(time.Hour)
	s := h.Summary()
	if s.Count != 1001 || s.P50 < 490_000 || s.P50 > 510_000 || s.P99 < 980_000 || s.P99 > 1_000_000 {
		t.Errorf("the summary is %+v", s)
	}
	if s.Max < maxMicros*99/100 {
		t.Errorf("the maximum is %d", s.Max)
	}
}

// A box must hold a bounded number of histograms, however many targets come and go.
func TestABookForgetsWhatWasUsedLeastRecently(t *testing.T) {
	k := NewKeyedHistograms[int](Coarse, 3)
	for _, key := range []int{1, 2, 3, 1, 4} {
		k.Observe(key, time.Millisecond)
	}
	seen := map[int]int64{}
	k.Each(func(key int, s Summary) { seen[key] = s.Count })
	if len(seen) != 3 || seen[1] != 2 || seen[3] != 1 || seen[4] != 1 {
		t.Errorf("the histograms have %v", seen)
	}
}
