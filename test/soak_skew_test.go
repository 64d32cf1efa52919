package test

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
)

const (
	// firstSkewSeed is the first seed in which most connections go to one box at times, which is
	// killed, stopped or frozen meanwhile like any other.
	firstSkewSeed = 100_000
	// soakSkewBoxes is how many boxes there are then.
	soakSkewBoxes = 12
	// soakToHot is how many of the callers' connections go to one box for each that goes to another.
	soakToHot = 9
)

func (x *soak) hasSkew() bool { return x.seed >= firstSkewSeed && !x.hasUploads() }

// skewConnections sends most connections to one box for a time, and then to all boxes alike.
func (x *soak) skewConnections() {
	hot := x.anyBox()
	x.lock.Lock()
	x.faults = append(x.faults, "most connections to "+hot.Settings.Box)
	x.lock.Unlock()
	addresses := slices.Repeat([]string{hot.Entry}, soakToHot)
	x.caller.SetAddresses(append(addresses, x.anyBox().Entry)...)
	x.pause(500, 2500)
	x.caller.SetAddresses(entriesOf(x.cluster.Boxes)...)
	x.pause(200, 1000)
}

// checkSkew checks that one box alone serves calls as well as all, once all faults have ended.
func (x *soak) checkSkew() {
	time.Sleep(soakMaxLeaveDelay)
	defer x.caller.SetAddresses(entriesOf(x.cluster.Boxes)...)
	served := func() int {
		n := 0
		for range soakLastCalls {
			if x.caller.Do(lab.CallSpec{Host: "shop.test"}).Verdict == lab.Complete {
				n++
			}
		}
		return n
	}
	spread := served()
	x.caller.SetAddresses(x.anyBox().Entry)
	if alone := served(); float64(alone) < skewServed*float64(spread) {
		x.Errorf("one box served %d of %d calls, all together %d", alone, soakLastCalls, spread)
	}
}
