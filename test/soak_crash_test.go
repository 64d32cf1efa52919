package test

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// firstCrashSeed is the first seed with a request that crashes each target that runs it. Crashed
	// targets restart under the same id.
	firstCrashSeed = 40_000
	// soakRestartDelay is how long a crashed target is down.
	soakRestartDelay = 300 * time.Millisecond
	// soakCrashCalls calls are made with that request at the end, and soakMaxCrashRuns of them may reach
	// a target: three consecutive crashes, and calls made before all boxes have the quarantine. Without
	// quarantines all of them would, while targets are up.
	soakCrashCalls   = 60
	soakMaxCrashRuns = 12
)

// hasCrashes reports whether the seed has a request that crashes targets.
func (x *soak) hasCrashes() bool { return x.restartsTargets() && !x.hasCuts() }

// restartsTargets reports whether targets may go down and are restarted.
func (x *soak) restartsTargets() bool { return x.seed >= firstCrashSeed }

// targetArguments are the command-line arguments of the stand-in targets.
func (x *soak) targetArguments() []string {
	if x.hasCrashes() {
		return []string{"--crash-body", crashRequestBody}
	}
	return nil
}

// registeredAddress is the address that a target registers. A proxy would accept connections while
// the target is down, so that a crash would look like a response that was cut off.
func (x *soak) registeredAddress(t int) string {
	if x.hasCrashes() {
		return x.targets[t].Address
	}
	return x.targetProxies[t].Address()
}

// restartTargets restarts targets that have crashed.
func (x *soak) restartTargets() {
	for t, target := range x.targets {
		if !target.Process.Exited() {
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

// sendCrashing makes one call that crashes targets, and pauses.
func (x *soak) sendCrashing() {
	x.callCrashing()
	x.pause(50, 400)
}

func (x *soak) callCrashing() lab.Call {
	return x.caller.Do(lab.CallSpec{Host: "shop.test", Body: []byte(crashRequestBody)})
}

// checkCrashes checks, after all faults have ended, that the crashing request is kept from targets
// and other calls are served.
func (x *soak) checkCrashes() {
	x.must(lab.Eventually(waitTimeout, func() error {
		x.reportAll(x.cluster.Replicas[1])
		for _, target := range x.targets {
			if target.Process.Exited() {
				x.restartTargets()
				return fmt.Errorf("%s is down", target.Name)
			}
		}
		if c := x.caller.Do(lab.CallSpec{Host: "shop.test"}); c.Verdict != lab.Complete {
			return fmt.Errorf("a healthy call got %+v", c)
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
		x.Errorf("of %d calls of the crashing request %d weren't refused as quarantined", soakCrashCalls, reached)
	}
	x.must(lab.Eventually(waitTimeout, func() error {
		x.restartTargets()
		x.reportAll(x.cluster.Replicas[1])
		if c := x.caller.Do(lab.CallSpec{Host: "shop.test"}); c.Verdict != lab.Complete {
			return fmt.Errorf("a healthy call got %+v", c)
		}
		return nil
	}))
}
