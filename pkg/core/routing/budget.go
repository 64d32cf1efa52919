package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// budget limits extra sends to a share of the calls: each call earns a fraction of a token, and
// each extra send costs one token.
type budget struct {
	tokens float64
	// spent counts the tokens spent; it is reported in the dump.
	spent uint64
}

// defaultExtraBurst caps the tokens saved by one box if the table sets no total for all boxes.
const defaultExtraBurst = 10

// extraTokenAge is the age up to which the tokens of calls needn't be part of the tokens that boxes may
// save. So a box that gets many calls can spend what these earn, however small its part of the savings
// is; over a window of ten seconds all boxes together spend a tenth more than its calls earn, at most.
const extraTokenAge = time.Second

// divideExtraBurst computes this box's part of the tokens that all boxes may save for a service's
// retries and hedges. A part of less than one token would never allow a send, so small parts are
// pooled for both kinds. If even the pool is less than one token, whole tokens go to some of the
// boxes.
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
		s.extraBurst = float64(r.rank.integerShare(both, r.rank.countBefore(units.TargetID(s.row.Name), r.rank.boxes)))
	}
}

// extraKinds is the number of kinds of extra sends: retries and hedges.
const extraKinds = 2

// earnExtraTokens adds the tokens that one call earns for retries and hedges.
func (s *service) earnExtraTokens(now units.Instant) {
	s.ownCalls.record(now)
	recentCalls := s.ownCalls.perSecond(now) * extraTokenAge.Seconds()
	earn := func(b *budget, share units.Percent) { b.earn(share, s.extraBurst+share.Of(recentCalls)) }
	if !s.pooledBudget {
		earn(&s.retries, s.row.RetryBudget)
		earn(&s.hedges, s.row.HedgeBudget)
		return
	}
	pool := &s.hedges
	if s.row.HedgeBudget == 0 {
		pool = &s.retries
	}
	earn(pool, s.row.RetryBudget+s.row.HedgeBudget)
}

// spendRetry spends a token on a retry. Retrying a failed call matters more than hedging, so the
// hedge budget is used once the retry budget is empty.
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

// refund returns the token of an extra send that wasn't made.
func (b *budget) refund() {
	b.tokens++
	b.spent--
}

// tokenBucket limits a rate over time.
type tokenBucket struct {
	tokens     float64
	refilledAt units.Instant
}

// take spends one token if there is one. The rate is in tokens per second, the burst caps the
// tokens saved.
func (l *tokenBucket) take(now units.Instant, rate, burst float64) bool {
	l.refill(now, rate, burst)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// takeN spends n tokens, or none if there are fewer.
func (l *tokenBucket) takeN(now units.Instant, n, rate, burst float64) bool {
	l.refill(now, rate, burst)
	if l.tokens < n {
		return false
	}
	l.tokens -= n
	return true
}

// overdraw spends tokens even if there are fewer; later refills make up for them.
func (l *tokenBucket) overdraw(n float64) { l.tokens -= n }

func (l *tokenBucket) refill(now units.Instant, rate, burst float64) {
	passed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	l.tokens = min(burst, l.tokens+passed*rate)
}
