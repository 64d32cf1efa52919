package limit

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// burstWindow is the time for which unused tokens accumulate, so that bursts of calls find some.
	burstWindow = 500 * time.Millisecond
	// minWait keeps waiting callers from retrying before the clock has advanced.
	minWait = time.Millisecond
	// minBurst is the least capacity in calls, so that a call can be permitted at any rate.
	minBurst = 1
)

// TokenBucket counts the calls that its box may still permit. A box that takes over from another one
// permits none before notBefore, since the other box may still be permitting calls until then.
type TokenBucket struct {
	rate       units.CallRate
	burst      float64
	tokens     float64
	refilledAt units.Instant
	notBefore  units.Instant
}

// NewTokenBucket returns an empty bucket for a target's limit. It permits nothing before notBefore.
func NewTokenBucket(rate units.CallRate, now, notBefore units.Instant) *TokenBucket {
	b := &TokenBucket{refilledAt: now, notBefore: notBefore}
	b.SetRate(now, rate)
	return b
}

// NewShareBucket returns a bucket for a share of a rate, with a capacity of burst calls but at least one. It
// starts with initial tokens, which may be a fraction, and permits nothing before notBefore.
func NewShareBucket(rate units.CallRate, burst, initial float64, now, notBefore units.Instant) *TokenBucket {
	b := &TokenBucket{refilledAt: now, notBefore: notBefore}
	b.SetRateAndBurst(now, rate, burst)
	b.tokens = min(initial, b.burst)
	return b
}

// SetRate sets a target's limit as the rate from now on, and the capacity that goes with it.
func (b *TokenBucket) SetRate(now units.Instant, rate units.CallRate) {
	rate = max(rate, MinRate)
	b.SetRateAndBurst(now, rate, minBurst+float64(rate)*burstWindow.Seconds())
}

// SetRateAndBurst sets the rate and the capacity from now on.
func (b *TokenBucket) SetRateAndBurst(now units.Instant, rate units.CallRate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, max(minBurst, burst)
	b.tokens = min(b.tokens, b.burst)
}

// SetNotBefore sets the instant before which the bucket permits nothing.
func (b *TokenBucket) SetNotBefore(now, notBefore units.Instant) {
	b.refill(now)
	b.notBefore = notBefore
}

// Permit permits up to n calls and returns how many it permitted.
func (b *TokenBucket) Permit(now units.Instant, n int) int {
	b.refill(now)
	if now < b.notBefore {
		return 0
	}
	n = max(0, min(n, int(b.tokens)))
	b.tokens -= float64(n)
	return n
}

// Return gives back n unused permits.
func (b *TokenBucket) Return(now units.Instant, n int) {
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+float64(max(0, n)))
}

// WaitTime returns the time until a call can be permitted: at least minWait unless that is now.
func (b *TokenBucket) WaitTime(now units.Instant) time.Duration {
	b.refill(now)
	wait := max(0, b.notBefore.Sub(now))
	if b.tokens >= minBurst {
		return wait
	}
	missing := (minBurst - b.tokens) / float64(b.rate)
	return max(minWait, wait+time.Duration(missing*float64(time.Second)))
}

func (b *TokenBucket) refill(now units.Instant) {
	since := max(b.refilledAt, b.notBefore)
	b.refilledAt = max(b.refilledAt, now)
	if now > since {
		b.tokens = min(b.burst, b.tokens+now.Sub(since).Seconds()*float64(b.rate))
	}
}
