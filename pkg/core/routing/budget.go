package routing

import "github.com/madderpond/madderpond/pkg/units"

// budget lets a share of the calls do something extra: each call earns a part
// of a token, and each extra costs one.
type budget struct {
	tokens float64
	// spent counts what was taken, for the operators.
	spent uint64
}

// defaultExtraBurst bounds the tokens that a box can save up where the table doesn't say
// how many all boxes may.
const defaultExtraBurst = 10

// divideExtraBurst works out what this box may save up for a service's retries and hedges. A
// part of less than one token would never pay for a send, so small parts go into one pool
// for both; where even that is less than one, whole tokens go to some of the boxes.
func (r *Router) divideExtraBurst(s *service) {
	boxes := float64(max(1, r.rank.count))
	s.pooledBudget = false
	s.extraBurst = defaultExtraBurst
	if s.row.ExtraBurst == 0 {
		return
	}
	s.extraBurst = float64(s.row.ExtraBurst) / boxes
	if s.extraBurst >= 1 {
		return
	}
	s.pooledBudget = true
	s.retries.tokens = 0
	both := extraKinds * s.row.ExtraBurst
	s.extraBurst = float64(both) / boxes
	if s.extraBurst < 1 {
		s.extraBurst = float64(r.rank.wholeShare(both, r.rank.countBefore(units.TargetID(s.row.Name), r.rank.boxes)))
	}
}

// extraKinds is how many kinds of extra sends there are: retries and hedges.
const extraKinds = 2

// earnExtraTokens takes what a call earns for retries and hedges.
func (s *service) earnExtraTokens() {
	if !s.pooledBudget {
		s.retries.earn(s.row.RetryBudget, s.extraBurst)
		s.hedges.earn(s.row.HedgeBudget, s.extraBurst)
		return
	}
	pool := &s.hedges
	if s.row.HedgeBudget == 0 {
		pool = &s.retries
	}
	pool.earn(s.row.RetryBudget+s.row.HedgeBudget, s.extraBurst)
}

// spendRetry takes what a retry costs. A call that failed is worth more than a hedge, so
// the budget for hedges stands in when that for retries is spent.
func (s *service) spendRetry() bool {
	if s.retries.spend() {
		return true
	}
	if s.row.HedgeBudget == 0 || !s.hedges.spend() {
		return false
	}
	s.hedges.spent--
	s.retries.spent++
	return true
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

// tokenBucket is a token bucket over time.
type tokenBucket struct {
	tokens float64
	refilledAt     units.Instant
}

// take takes a token if there is one at a rate per second with a burst.
func (l *tokenBucket) take(now units.Instant, rate, burst float64) bool {
	l.refill(now, rate, burst)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// takeN takes n tokens or none.
func (l *tokenBucket) takeN(now units.Instant, n, rate, burst float64) bool {
	l.refill(now, rate, burst)
	if l.tokens < n {
		return false
	}
	l.tokens -= n
	return true
}

// overdraw takes tokens that may not be there yet; what comes next pays for them.
func (l *tokenBucket) overdraw(n float64) { l.tokens -= n }

func (l *tokenBucket) refill(now units.Instant, rate, burst float64) {
	passed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	l.tokens = min(burst, l.tokens+passed*rate)
}
