package limit

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// burstWindow is for how long what the limit allows is saved up while nobody asks for it, so that
	// calls which come in clusters find some.
	burstWindow = 500 * time.Millisecond
	// minWait keeps whoever waits from asking again before the clock has moved.
	minWait = time.Millisecond
	// minBurst lets a call be permitted at any rate.
	minBurst = 1
)

// TokenBucket is a token bucket: what its box may still permit. What the box learns of others that kept
// the account before decides from when on it may do so.
type TokenBucket struct {
	rate       units.CallRate
	burst      float64
	tokens     float64
	refilledAt units.Instant
	notBefore  units.Instant
}

// NewTokenBucket begins the empty account of a target's limit, which permits nothing before an instant.
func NewTokenBucket(rate units.CallRate, now, notBefore units.Instant) *TokenBucket {
	b := &TokenBucket{refilledAt: now, notBefore: notBefore}
	b.SetRate(now, rate)
	return b
}

// NewShareBucket begins the account of a part of a rate, which saves up to burst, one call at the least. It holds
// some calls, or a part of one, from the start, and permits nothing before an instant.
func NewShareBucket(rate units.CallRate, burst, initial float64, now, notBefore units.Instant) *TokenBucket {
	b := &TokenBucket{refilledAt: now, notBefore: notBefore}
	b.SetRateAndBurst(now, rate, burst)
	b.tokens = min(initial, b.burst)
	return b
}

// SetRate takes another limit of a target from now on.
func (b *TokenBucket) SetRate(now units.Instant, rate units.CallRate) {
	rate = max(rate, MinRate)
	b.SetRateAndBurst(now, rate, minBurst+float64(rate)*burstWindow.Seconds())
}

// SetRateAndBurst takes another rate and burst from now on.
func (b *TokenBucket) SetRateAndBurst(now units.Instant, rate units.CallRate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, max(minBurst, burst)
	b.tokens = min(b.tokens, b.burst)
}

// SetNotBefore has the account permit nothing before an instant.
func (b *TokenBucket) SetNotBefore(now, notBefore units.Instant) {
	b.refill(now)
	b.notBefore = notBefore
}

// Permit permits up to n calls, and returns how many.
func (b *TokenBucket) Permit(now units.Instant, n int) int {
	b.refill(now)
	if now < b.notBefore {
		return 0
	}
	n = max(0, min(n, int(b.tokens)))
	b.tokens -= float64(n)
	return n
}

// Return takes permits back that weren't used.
func (b *TokenBucket) Return(now units.Instant, n int) {
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+float64(max(0, n)))
}

// WaitTime is how long it takes until a call may be permitted: at least leastWait where that isn't now.
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
