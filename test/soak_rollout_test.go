package test

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// firstRolloutSeed is the first seed whose targets have versions, between which an operator
	// rolls out.
	firstRolloutSeed = 11_000
	// soakRolloutDuration is the duration that such a rollout is ordered for.
	soakRolloutDuration = 4 * time.Second
	// soakRolloutService is the service whose targets have two versions.
	soakRolloutService = units.ServiceName("shop")
)

func (x *soak) hasRollouts() bool { return x.seed >= firstRolloutSeed }

// softwareOf is the version of a target: every other target of the service, in both failure
// domains, has the new version.
func (x *soak) softwareOf(service string, t int) units.SoftwareVersion {
	switch {
	case !x.hasRollouts():
		return ""
	case units.ServiceName(service) == soakRolloutService && t/len(soakServices)%2 == 1:
		return newSoftware
	}
	return oldSoftware
}

// orderRollouts orders a rollout at any replica, or aborts the current one.
func (x *soak) orderRollouts() {
	o := table.RolloutOrder{Service: soakRolloutService, To: oldSoftware, Duration: soakRolloutDuration, Operator: "soak"}
	switch x.draw(5) {
	case 0:
		o.Abort = true
	case 1, 2:
		o.To = newSoftware
	}
	// Errors are ignored: most orders are sent during another rollout or while there is no leader.
	x.oneReplica(x.anyReplica()).SubmitRollout(o)
	x.pause(300, 2000)
}

// checkRollout orders a rollout, kills all replicas once it is acknowledged, and checks that
// it still ends, after which the version that isn't in force gets no calls.
func (x *soak) checkRollout() {
	var to units.SoftwareVersion
	x.must(lab.Eventually(waitTimeout, func() error {
		x.makeCalls()
		t, err := x.oneReplica(x.anyReplica()).Table()
		if err != nil {
			return err
		}
		to = newSoftware
		if t.SoftwareInForce(soakRolloutService) == newSoftware {
			to = oldSoftware
		}
		return x.oneReplica(x.anyReplica()).SubmitRollout(table.RolloutOrder{Service: soakRolloutService, To: to, Duration: soakRolloutDuration, Operator: "soak"})
	}))
	x.killAll()
	var end *table.Table
	x.must(lab.Eventually(waitTimeout, func() (err error) {
		x.makeCalls()
		end, err = x.endedRollout(to)
		return err
	}))
	inForce := end.SoftwareInForce(soakRolloutService)
	x.Logf("the rollout to %s ended in stage %d (%s)", to, end.Rollout(soakRolloutService).Stage, end.Rollout(soakRolloutService).Reason)
	time.Sleep(soakMaxLeaveDelay)
	before := x.countRunsOfOtherVersions(inForce)
	x.makeCalls()
	if n := x.countRunsOfOtherVersions(inForce) - before; n > 0 {
		x.Errorf("%d calls went to targets of another version than %s, which was in force", n, inForce)
	}
}

// makeCalls lets all targets report and makes some calls.
func (x *soak) makeCalls() {
	x.reportAll(x.cluster.Replicas[1])
	for range 10 {
		x.caller.Do(lab.CallSpec{Host: string(soakRolloutService) + ".test"})
	}
}

// endedRollout returns the table once every replica shows that the rollout has ended.
func (x *soak) endedRollout(to units.SoftwareVersion) (t *table.Table, err error) {
	for _, n := range x.cluster.Replicas {
		if t, err = x.oneReplica(n).Table(); err != nil {
			return nil, err
		}
		v := t.Rollout(soakRolloutService)
		if v == nil || v.To != to {
			return nil, fmt.Errorf("%s has lost the rollout to %s that was acknowledged: %+v", n.Settings.Box, to, v)
		}
		if v.Active() {
			return nil, fmt.Errorf("%s shows the rollout in stage %d", n.Settings.Box, v.Stage)
		}
	}
	return t, nil
}

// countRunsOfOtherVersions counts the calls that the service's targets of other versions have run.
func (x *soak) countRunsOfOtherVersions(inForce units.SoftwareVersion) int {
	n := 0
	for i, t := range x.targets {
		service := soakServices[i%len(soakServices)]
		if units.ServiceName(service) == soakRolloutService && x.softwareOf(service, i) != inForce {
			n += int(x.fetchStats(t).Runs)
		}
	}
	return n
}
