package lab

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Variation makes a target's work take different times, as on a machine that it shares with others.
type Variation struct {
	// SlowShare is the share of the spans of time, each of length Span, in which work takes SlowFactor
	// times as long; zero for none.
	SlowShare  float64
	SlowFactor float64
	Span       time.Duration
	// NearlyFull is the number of running calls from which on work takes NearlyFullFactor times as long;
	// zero for none.
	NearlyFull       int64
	NearlyFullFactor float64
}

// isSlow reports whether a target is slow at a time.
func (v *Variation) isSlow(name string, at time.Time) bool {
	if v.SlowShare == 0 {
		return false
	}
	span := strconv.FormatInt(at.UnixNano()/int64(v.Span), 10)
	return float64(xxhash.Sum64String(name+" "+span)) < v.SlowShare*math.MaxUint64
}

// factor returns how many times longer than usual work takes at a time, with a number of running calls.
func (v *Variation) factor(name string, at time.Time, running int64) float64 {
	x := 1.0
	if v.isSlow(name, at) {
		x *= v.SlowFactor
	}
	if v.NearlyFull > 0 && running >= v.NearlyFull {
		x *= v.NearlyFullFactor
	}
	return x
}

// work sleeps until an amount of work is done, counted in time at the usual speed.
func (v *Variation) work(name string, running *atomic.Int64, left time.Duration) {
	if v.SlowShare == 0 && v.NearlyFull == 0 {
		time.Sleep(left)
		return
	}
	for left > 0 {
		now := time.Now()
		factor := v.factor(name, now, running.Load())
		step := min(v.step(now), time.Duration(float64(left)*factor))
		time.Sleep(step)
		left -= time.Duration(float64(time.Since(now)) / factor)
	}
}

// maxWorkStep is how often work notices that the number of running calls has changed.
const maxWorkStep = 20 * time.Millisecond

// step returns how long the speed is assumed to stay the same.
func (v *Variation) step(now time.Time) time.Duration {
	if v.SlowShare == 0 {
		return maxWorkStep
	}
	return min(maxWorkStep, v.Span-time.Duration(now.UnixNano()%int64(v.Span)))
}
