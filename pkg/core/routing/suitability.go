package routing

import "github.com/madderpond/madderpond/pkg/units"

// isSuitable tells whether a target would serve the call about as well as any could: work
// goes at its usual pace there, and a slot is free.
func (r *Router) isSuitable(c *call, t *target) bool {
	if !c.service.probesTargets() || t.notice.isLimited() {
		// A target that names a limit has room for what it permits.
		return true
	}
	return r.isSuitableByReading(c, t) && (t.hasFreshReading(r.now) || !r.requiresKnownFreeSlot(c))
}

// isSuitableByReading tells whether a target that has just been probed isSuitableByReading a call; nil stands for a call that
// any target may take.
func (r *Router) isSuitableByReading(c *call, t *target) bool {
	if t.expectedPace(r.now) >= maxGoodPace || r.isTooSlow(c, t) {
		return false
	}
	if !r.enabled(Concurrency) {
		return t.load(r.now)+1 <= t.slots()
	}
	return t.load(r.now)+1 <= t.bestConcurrency()
}

// isTooSlow tells whether calls take much longer at a target than elsewhere. Where they do
// at all targets of the service that the call may use, none is too slow: refusing calls would
// help nobody.
func (r *Router) isTooSlow(c *call, t *target) bool {
	slowdown := t.currentSlowdown(r.now)
	if !r.enabled(SlowTargets) || slowdown < slowTargetThreshold {
		return false
	}
	least := slowdown
	for _, o := range t.service.targets {
		if o.side == t.side && c.mayUse(o) && o.isAvailable(r.now, t.service.mostlyEjected) {
			least = min(least, o.currentSlowdown(r.now))
		}
	}
	return slowdown > similarSlowdownFactor*least
}

// acceptsUnsuitable tells whether a call that can't wait any longer may go to a target that
// doesn't suit: when the call may have run already and so can't be refused for good, or no
// target could be probed although the service isn't busy. While it is busy such a call would
// meet others at a target that nothing is known of, and both would be late.
func (r *Router) acceptsUnsuitable(c *call) bool {
	if c.probeRound.purpose == HedgeSend || r.requiresKnownFreeSlot(c) {
		return false
	}
	return c.mayHaveRun || c.probeRound.rounds == 0 && !c.service.isBusy(r.now)
}

// hasFreshReading tells whether the target's last reading is as good as a new one.
func (t *target) hasFreshReading(now units.Instant) bool {
	return t.report.Known && now.Sub(t.report.receivedAt) <= freshReadingAge
}
