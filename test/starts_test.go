package test

import (
	"testing"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target that registers itself is killed and restarts under the same id at another address,
// while a report from before the restart arrives late.
func TestATargetStartsAgainUnderItsID(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1, targets: 2, adjust: useShortLeases})
	x.must(lab.Eventually(waitTimeout, func() error { return x.api().PutDocument(rolloutDocument()) }))
	report := func(target *lab.TargetProcess, born units.WallTime, sequence uint64, state table.RowState) {
		t.Helper()
		x.must(lab.Eventually(waitTimeout, func() error {
			return x.api().SubmitReport(&table.Registration{
				Target: "pool-1", Service: rolloutService, Address: target.Address, Slots: 4, State: state, Sequence: sequence, Born: born,
			})
		}))
	}
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
	report(x.targets[0], 1000, 57, table.Active)
	x.awaitServed(shopCall)
	x.targets[0].Process.Kill()
	report(x.targets[1], 2000, 1, table.Active)
	x.awaitServed(shopCall)
	report(x.targets[0], 1000, 58, table.Leaving)
	for range 20 {
		if c := x.caller.Do(lab.CallSpec{Host: "shop.test"}); c.Verdict != lab.Complete {
			t.Errorf("a call after the late report got %+v", c)
		}
	}
	x.must(x.api().SubmitDeparture("pool-1"))
	report(x.targets[1], 2000, 2, table.Active)
	registered, err := x.api().Targets()
	x.must(err)
	if len(registered) != 0 {
		t.Errorf("the target that has left is registered again: %+v", registered)
	}
}
