package routing

import (
	"slices"
	"testing"
)

func TestAllowancesAreUsedInTheOrderInWhichTheyEnd(t *testing.T) {
	var a allowances
	a.add(2, 30)
	a.add(1, 20)
	if until, ok := a.use(10); !ok || until != 20 {
		t.Errorf("used the one until %d (%v), want the one until 20", until, ok)
	}
	a.add(1, 25)
	if !slices.Equal(a, allowances{25, 30, 30}) {
		t.Errorf("held are %v", a)
	}
	if n := a.dropExpired(25); n != 1 {
		t.Errorf("%d were dropped at 25, want 1", n)
	}
	if !a.available(29) || a.available(30) {
		t.Error("one until 30 may be used at 29, and not at 30")
	}
	if until, ok := a.use(30); ok || len(a) != 0 {
		t.Errorf("used one until %d at 30, %v are left", until, a)
	}
}
