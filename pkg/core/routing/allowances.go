package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
)

// allowances are permits or credits that a box holds: until when each may be used, the first to end first.
type allowances []units.Instant

// available tells whether one is held that may be used now.
func (a allowances) available(now units.Instant) bool { return len(a) > 0 && now < a[len(a)-1] }

// add keeps some that may be used until an instant.
func (a *allowances) add(n int, until units.Instant) {
	i, _ := slices.BinarySearch(*a, until)
	*a = slices.Insert(*a, i, slices.Repeat([]units.Instant{until}, n)...)
}

// use takes the one that ends first; false means that there is none.
func (a *allowances) use(now units.Instant) (until units.Instant, ok bool) {
	a.dropExpired(now)
	if len(*a) == 0 {
		return 0, false
	}
	until = (*a)[0]
	*a = slices.Delete(*a, 0, 1)
	return until, true
}

// dropExpired drops those that may no longer be used, and returns how many there were.
func (a *allowances) dropExpired(now units.Instant) int {
	n := 0
	for n < len(*a) && (*a)[n] <= now {
		n++
	}
	*a = slices.Delete(*a, 0, n)
	return n
}
