package routing

// isSuitable reports whether a target would serve the call about as well as any other: work runs at
// its usual pace there, and a slot is free.
func (r *Router) isSuitable(c *call, t *target) bool {
	if !c.service.probesTargets() || t.notice.isLimited() {
		// A target that announces a rate limit is expected to serve each call that has a permit.
		return true
	}
	return r.isSuitableByReport(c, t) && (t.hasFreshReport(r.now) || !r.requiresKnownFreeSlot(c))
}

// isSuitableByReport reports whether a target is suitable for a call by its current load report. A
// nil call stands for one that may go to any target.
func (r *Router) isSuitableByReport(c *call, t *target) bool {
	if t.expectedPace(r.now) >= maxGoodPace || r.isTooSlow(c, t) {
		return false
	}
	if !r.enabled(Concurrency) {
		return t.load(r.now)+1 <= t.slots()
	}
	return t.load(r.now)+1 <= t.bestConcurrency()
}

// isTooSlow reports whether calls take much longer at a target than elsewhere. If that holds for
// all targets of the service that the call may use, none is too slow: refusing calls would not
// help.
func (r *Router) isTooSlow(c *call, t *target) bool {
	slowdown := t.currentSlowdown(r.now)
	if !r.enabled(SlowTargets) || slowdown < slowTargetThreshold {
		return false
	}
	least := slowdown
	for _, o := range t.service.targets {
		if o.role == t.role && c.mayUse(o) && o.isAvailable(r.now, t.service.mostlyEjected) {
			least = min(least, o.currentSlowdown(r.now))
		}
	}
	return slowdown > similarSlowdownFactor*least
}

// acceptsUnsuitable reports whether a call that can't wait any longer may go to an unsuitable
// target: either the call may have run already, so that a refusal can't state that it hasn't, or no
// target could be probed although the service isn't busy. While it is busy, such a call would meet
// others at a target without a load report, and both would be late.
func (r *Router) acceptsUnsuitable(c *call) bool {
	if c.probeRound.purpose == HedgeSend || r.requiresKnownFreeSlot(c) {
		return false
	}
	return c.mayHaveRun || c.probeRound.rounds == 0 && !c.service.isBusy(r.now)
}
