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

// shareExtras works out what this box may save up for a service's retries and hedges. A
// part of less than one token would never pay for a send, so small parts go into one pool
// for both; where even that is less than one, whole tokens go to some of the boxes.
func (r *Router) shareExtras(s *service) {
	boxes := float64(max(1, r.rank.count))
	s.pooled = false
	s.burst = budgetBurst
	if s.row.ExtraBurst == 0 {
		return
	}
	s.burst = float64(s.row.ExtraBurst) / boxes
	if s.burst >= 1 {
		return
	}
	s.pooled = true
	s.retries.tokens = 0
	both := extraKinds * s.row.ExtraBurst
	s.burst = float64(both) / boxes
	if s.burst < 1 {
		s.burst = float64(r.rank.wholeShare(both, r.rank.countBefore(units.TargetID(s.row.Name), r.rank.boxes)))
	}
}

// extraKinds is how many kinds of extra sends there are: retries and hedges.
const extraKinds = 2

// earnExtras takes what a call earns for retries and hedges.
func (s *service) earnExtras() {
	if !s.pooled {
		s.retries.earn(s.row.RetryBudget, s.burst)
		s.hedges.earn(s.row.HedgeBudget, s.burst)
		return
	}
	pool := &s.hedges
	if s.row.HedgeBudget == 0 {
		pool = &s.retries
	}
	pool.earn(s.row.RetryBudget+s.row.HedgeBudget, s.burst)
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

// owe takes tokens that may not be there yet; what comes next pays for them.
func (l *rateLimit) owe(n float64) { l.tokens -= n }

func (l *rateLimit) refill(now units.Instant, rate, burst float64) {
	passed := now.Sub(l.at).Seconds()
	l.at = now
	l.tokens = min(burst, l.tokens+passed*rate)
}
