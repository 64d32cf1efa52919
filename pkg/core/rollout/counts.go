package rollout

import (
	"math"
	"slices"
	"time"
)

// Counts counts the answers of one version on one route.
type Counts struct {
	Successes, Failures uint64
	Times               Histogram
}

// Answers returns how many answers were counted.
func (c *Counts) Answers() uint64 { return c.Successes + c.Failures }

// Add adds the answers of other counts.
func (c *Counts) Add(o *Counts) {
	c.Successes += o.Successes
	c.Failures += o.Failures
	for i, n := range o.Times {
		c.Times[i] += n
	}
}

// since returns what was counted after an earlier report. A count below the earlier one
// comes from a report that was overtaken by a later one, and yields zero.
func (c *Counts) since(earlier *Counts) Counts {
	d := Counts{Successes: c.Successes - min(c.Successes, earlier.Successes), Failures: c.Failures - min(c.Failures, earlier.Failures)}
	for i, n := range c.Times {
		d.Times[i] = n - min(n, earlier.Times[i])
	}
	return d
}

// countAbove returns how many answers took longer than a bucket's upper end.
func (h *Histogram) countAbove(bucket int) uint64 {
	total := uint64(0)
	for _, n := range h[min(Buckets, bucket+1):] {
		total += uint64(n)
	}
	return total
}

// quantile returns the first bucket up to whose upper end at least that share of the answers lies.
func (h *Histogram) quantile(share float64) int {
	wanted := share * float64(h.Total())
	counted := 0.0
	for i, n := range h {
		counted += float64(n)
		if counted >= wanted {
			return i
		}
	}
	return Buckets - 1
}

// Sample holds the answers of both versions on one route in the same time.
type Sample struct{ New, Old Counts }

// Window holds the samples of one window of time, by route.
type Window map[RouteID]*Sample

func (w Window) sample(route RouteID) *Sample {
	s := w[route]
	if s == nil {
		s = &Sample{}
		w[route] = s
	}
	return s
}

func (w Window) routes() []RouteID {
	routes := make([]RouteID, 0, len(w))
	for r := range w {
		routes = append(routes, r)
	}
	slices.Sort(routes)
	return routes
}

// median returns the upper end of the bucket in which the middle answer lies.
func (h *Histogram) median() time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(2, float64(h.quantile(0.5))/2)).Round(time.Millisecond)
}
