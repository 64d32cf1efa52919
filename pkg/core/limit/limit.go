// Package limit is about limits that targets name while they run: how many calls a second one takes
// from all boxes together. It keeps what was last said of such a limit, and the account of the one
// box, the target's coordinator, that permits calls to it. It is pure: time comes in as instants.
package limit

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// LeastRate stands in for limits below it: a target that takes no calls at all gets one now
	// and then, since nothing but its answer to one shows that the limit is over.
	LeastRate units.CallRate = 0.2
	// MostRate is the limit from which on it isn't one: permits for as many calls would cost boxes
	// more than the calls, and no target answers as many.
	MostRate units.CallRate = 10_000
)

// Word is the newest that is known of a target's limit. Boxes' clocks can't be compared, and messages between
// them may take long; versions tell words apart: each change is made on top of the word that was known
// as the call was sent whose answer brought it.
type Word struct {
	// Version numbers the changes; zero is the word of whoever has heard nothing.
	Version uint64
	// Limited is set while the target names a limit, of Rate calls a second.
	Limited bool
	Rate    units.CallRate
}

// Naming is what follows on a word when an answer names a limit.
func (w Word) Naming(rate units.CallRate) Word {
	if rate >= MostRate {
		return w.Ending()
	}
	return Word{Version: w.Version + 1, Limited: true, Rate: rate}
}

// Ending is what follows on a word when an answer names no limit.
func (w Word) Ending() Word { return Word{Version: w.Version + 1} }

// Same tells whether two words say the same, whatever their versions.
func (w Word) Same(o Word) bool { return w.Limited == o.Limited && (!w.Limited || w.Rate == o.Rate) }

// Tighter tells whether the word allows less than another.
func (w Word) Tighter(o Word) bool { return w.Limited && (!o.Limited || w.Rate < o.Rate) }

// Replaces tells whether the word takes the place of another. Of two changes of the same word, which two boxes
// made by themselves, the tighter one holds.
func (w Word) Replaces(o Word) bool {
	return w.Version > o.Version || w.Version == o.Version && w.Tighter(o)
}

const (
	// saveUp is for how long what the limit allows is saved up while nobody asks for it, so that
	// calls which come in clusters find some.
	saveUp = 500 * time.Millisecond
	// leastWait keeps whoever waits from asking again before the clock has moved.
	leastWait = time.Millisecond
	// leastBurst lets a call be permitted at any rate.
	leastBurst = 1
)

// Account is what a coordinator may still permit. What its box learns of other coordinators
// decides from when on it may do so.
type Account struct {
	rate   units.CallRate
	tokens float64
	at     units.Instant
	from   units.Instant
}

// NewAccount begins an account that permits nothing before an instant.
func NewAccount(rate units.CallRate, now, from units.Instant) *Account {
	return &Account{rate: max(rate, LeastRate), at: now, from: from}
}

// SetRate takes another limit from now on.
func (a *Account) SetRate(now units.Instant, rate units.CallRate) {
	a.refill(now)
	a.rate = max(rate, LeastRate)
	a.tokens = min(a.tokens, a.burst())
}

// SetFrom has the account permit nothing before an instant.
func (a *Account) SetFrom(now, from units.Instant) {
	a.refill(now)
	a.from = from
}

// Permit permits up to n calls, and returns how many.
func (a *Account) Permit(now units.Instant, n int) int {
	a.refill(now)
	if now < a.from {
		return 0
	}
	n = max(0, min(n, int(a.tokens)))
	a.tokens -= float64(n)
	return n
}

// Return takes permits back that weren't used.
func (a *Account) Return(now units.Instant, n int) {
	a.refill(now)
	a.tokens = min(a.burst(), a.tokens+float64(max(0, n)))
}

// Wait is how long it takes until a call may be permitted: at least leastWait where that isn't now.
func (a *Account) Wait(now units.Instant) time.Duration {
	a.refill(now)
	wait := max(0, a.from.Sub(now))
	if a.tokens >= leastBurst {
		return wait
	}
	missing := (leastBurst - a.tokens) / float64(a.rate)
	return max(leastWait, wait+time.Duration(missing*float64(time.Second)))
}

func (a *Account) burst() float64 { return leastBurst + float64(a.rate)*saveUp.Seconds() }

func (a *Account) refill(now units.Instant) {
	since := max(a.at, a.from)
	a.at = max(a.at, now)
	if now > since {
		a.tokens = min(a.burst(), a.tokens+now.Sub(since).Seconds()*float64(a.rate))
	}
}
