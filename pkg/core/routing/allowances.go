package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
)

// allowances are permits or credits that a box holds, stored as their expiry times in ascending
// order.
type allowances []units.Instant

// available reports whether at least one allowance is still valid.
func (a allowances) available(now units.Instant) bool { return len(a) > 0 && now < a[len(a)-1] }

// add stores n allowances that expire at until.
func (a *allowances) add(n int, until units.Instant) {
	i, _ := slices.BinarySearch(*a, until)
	*a = slices.Insert(*a, i, slices.Repeat([]units.Instant{until}, n)...)
}

// use removes the valid allowance that expires first and returns its expiry; ok is false if there
// is none.
func (a *allowances) use(now units.Instant) (until units.Instant, ok bool) {
	a.dropExpired(now)
	if len(*a) == 0 {
		return 0, false
	}
	until = (*a)[0]
	*a = slices.Delete(*a, 0, 1)
	return until, true
}

// dropExpired removes expired allowances and returns their number.
func (a *allowances) dropExpired(now units.Instant) int {
	n := 0
	for n < len(*a) && (*a)[n] <= now {
		n++
	}
	*a = slices.Delete(*a, 0, n)
	return n
}
