package test

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// crashesFrom is the first seed with a request that ends each target which runs it. Targets
	// that have ended start again under the ids that they had.
	firstCrashSeed = 40_000
	// soakCrashPause is how long a target is down then.
	soakRestartDelay = 300 * time.Millisecond
	// soakCrashCalls are made with that request in the end, and soakCrashBound is how many of them
	// may reach a target: three crashes in a row, and those that come before all boxes know. Without
	// quarantines all do, while targets are up.
	soakCrashCalls   = 60
	soakMaxCrashRuns = 12
)

// crashes tells whether the seed has a request that ends targets.
func (x *soak) hasCrashes() bool { return x.seed >= firstCrashSeed }

// targetArguments are those of the stand-in targets.
func (x *soak) targetArguments() []string {
	if x.hasCrashes() {
		return []string{"--crash-body", crashRequestBody}
	}
	return nil
}

// addressOf is where boxes reach a target. A proxy before it would take connections while the
// target is down, so that a crash looks like an answer that broke off.
func (x *soak) registeredAddress(t int) string {
	if x.hasCrashes() {
		return x.targets[t].Address
	}
	return x.targetProxies[t].Address()
}

// keepTargets starts targets again that have ended.
func (x *soak) restartTargets() {
	for t, target := range x.targets {
		if !target.Process.Ended() {
			continue
		}
		time.Sleep(soakRestartDelay)
		x.must(target.Start(programs.lab, x.targetArguments()...))
		x.lock.Lock()
		x.startedAt[t] = units.WallTime(time.Now().UnixMilli())
		x.lock.Unlock()
	}
	time.Sleep(soakCallPause)
}

// sendCrashing sends the request that ends targets, now and then.
func (x *soak) sendCrashing() {
	x.callCrashing()
	x.pause(50, 400)
}

func (x *soak) callCrashing() lab.Call {
	return x.caller.Do(lab.Plan{Host: "shop.test", Body: []byte(crashRequestBody)})
}

// checkCrashes makes sure that the request is kept from targets once all faults have ended, and
// other calls aren't.
func (x *soak) checkCrashes() {
	x.must(lab.Eventually(waitTimeout, func() error {
		x.reportAll(x.cluster.Replicas[1])
		for _, target := range x.targets {
			if target.Process.Ended() {
				x.restartTargets()
				return fmt.Errorf("%s is down", target.Name)
			}
		}
		if c := x.caller.Do(lab.Plan{Host: "shop.test"}); c.Verdict != lab.Whole {
			return fmt.Errorf("a call that is well was answered %+v", c)
		}
		return nil
	}))
	reached := 0
	for range soakCrashCalls {
		if c := x.callCrashing(); c.Reason != "quarantined" {
			reached++
		}
		x.restartTargets()
	}
	if reached > soakMaxCrashRuns {
		x.Errorf("of %d calls with the request that ends targets %d weren't kept from them", soakCrashCalls, reached)
	}
	x.must(lab.Eventually(waitTimeout, func() error {
		x.restartTargets()
		x.reportAll(x.cluster.Replicas[1])
		if c := x.caller.Do(lab.Plan{Host: "shop.test"}); c.Verdict != lab.Whole {
			return fmt.Errorf("a call that is well was answered %+v", c)
		}
		return nil
	}))
}
