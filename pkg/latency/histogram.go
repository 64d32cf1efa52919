// Package latency keeps histograms of durations.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms in microseconds. Values outside of them are clamped.
const (
	minMicros = 50
	maxMicros = int64(10 * time.Minute / time.Microsecond)
)

// Precision is the number of significant digits that a histogram keeps.
type Precision int

// The precisions. A fine histogram uses 17 KB of memory, a coarse one 2 KB.
const (
	Coarse Precision = 1
	Fine   Precision = 2
)

// Histogram counts durations; it is safe for concurrent use.
type Histogram struct {
	lock   sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram(p Precision) *Histogram {
	return &Histogram{counts: hdrhistogram.New(minMicros, maxMicros, int(p))}
}

// Observe records a duration.
func (h *Histogram) Observe(d time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	// The value is within the bounds, so there is no error.
	_ = h.counts.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Summary has the count and quantiles of a histogram, in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// Summary summarizes what was recorded so far.
func (h *Histogram) Summary() Summary {
	h.lock.Lock()
	defer h.lock.Unlock()
	return Summary{
		Count: h.counts.TotalCount(), P50: h.counts.ValueAtQuantile(50), P99: h.counts.ValueAtQuantile(99),
		P999: h.counts.ValueAtQuantile(99.9), Max: h.counts.Max(),
	}
}
