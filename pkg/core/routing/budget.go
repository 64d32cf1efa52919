package routing

import "github.com/madderpond/madderpond/pkg/units"

// budget lets a share of the calls do something extra: each call earns a part
// of a token, and each extra costs one.
type budget struct {
	tokens float64
	// spent counts what was taken, for the operators.
	spent uint64
}

// budgetBurst bounds the tokens that a box can save up where the table doesn't say
// how many all boxes may.
const budgetBurst = 10

// burstOf is how many tokens a box may save up for a service.
func (r *Router) burstOf(s *service) float64 {
	if s.row.ExtraBurst == 0 {
		return budgetBurst
	}
	return float64(s.row.ExtraBurst) / float64(max(1, r.rank.count))
}

func (b *budget) earn(share units.Percent, burst float64) {
	b.tokens = min(burst, b.tokens+share.Of(1))
}

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// refund gives back what was spent on an extra that wasn't done.
func (b *budget) refund() {
	b.tokens++
	b.spent--
}

// rateLimit is a token bucket over time.
type rateLimit struct {
	tokens float64
	at     units.Instant
}

// take takes a token if there is one at a rate per second with a burst.
func (l *rateLimit) take(now units.Instant, rate, burst float64) bool {
	l.refill(now, rate, burst)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// takeMany takes n tokens or none.
func (l *rateLimit) takeMany(now units.Instant, n, rate, burst float64) bool {
	l.refill(now, rate, burst)
	if l.tokens < n {
		return false
	}
	l.tokens -= n
	return true
}

func (l *rateLimit) refill(now units.Instant, rate, burst float64) {
	passed := now.Sub(l.at).Seconds()
	l.at = now
	l.tokens = min(burst, l.tokens+passed*rate)
}
