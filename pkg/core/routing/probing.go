package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// healthProbeDelay is the time since the last call or health probe of an ejected target ended,
	// after which it is probed.
	healthProbeDelay = 200 * time.Millisecond
	// defaultSlots is the assumed capacity of a target without a limit, in calls.
	defaultSlots = 3
	// probeBurst is the number of probes that a box may save up, the size of the token bucket.
	probeBurst = 1
)

// probeRate is the rate at which this box may probe a target, in probes per second: its share of
// the target's measurement budget.
func (r *Router) probeRate(s *service, t *target) float64 {
	slots := float64(t.row.MaxInFlight)
	if slots == 0 {
		slots = defaultSlots
	}
	busy := s.row.MeasureBudget.Of(slots)
	return busy / r.settings.ProbeCost.Seconds() * t.probeShare.value
}

// probeIfDue probes a target that gets no calls. Targets that get calls are measured by these and
// need no probe, and those that the box is cut off from are checked otherwise.
func (r *Router) probeIfDue(s *service, t *target, e *Effects) {
	if !t.needsHealthProbe(r.now) || t.evacuated || t.role > trialVersion || t.healthProbeInFlight || r.now.Sub(t.lastObservedAt) < healthProbeDelay || !r.leased() {
		return
	}
	if s.isCutOffFrom(t) {
		return
	}
	if t.lacksPermit(r.now) {
		if t.notice.limit.mayRequest(r.now) {
			r.requestTargetPermits(t, 1, e)
		}
		return
	}
	if !t.probeBucket.take(r.now, r.probeRate(s, t), probeBurst) {
		return
	}
	t.healthProbeInFlight = true
	t.probesSent++
	x := r.newProbe(t)
	x.NotAfter = r.selectionExpiry()
	e.add(x)
}

// newProbe returns a probe of a target, which uses a permit where the target announces a limit.
func (r *Router) newProbe(t *target) Effect {
	return Effect{
		Kind: Probe, SentAt: r.now, PermitUntil: r.usePermit(t), Endpoint: t.endpoint, NotAfter: r.targetSelectionExpiry(t), Connections: t.maxConnections,
	}
}

func (r *Router) probeEnded(v *ProbeEnded, e *Effects) {
	r.handleNotice(v.Target, v.Report, v.Misdirected, unknownLimitVersion, e)
	t := r.findTarget(v.Target)
	switch {
	case t == nil || v.Withheld:
	case v.isHeard():
		r.recordHeard(t, v.Call == 0 && v.Attempt == reachProbe, e)
	default:
		r.recordContactFailed(t, v.SentAt, e)
	}
	if t != nil && v.Refused {
		r.recordConnectionRefused(t, e)
	}
	if v.Call == 0 && v.Attempt == crashProbeNumber {
		r.crashProbeEnded(t, v)
		return
	}
	if v.Call == 0 && v.Attempt == reachProbe {
		r.updateFromReachProbe(t, v, e)
		return
	}
	if v.Call != 0 {
		r.updateFromProbe(t, v, e)
		r.probeAnswered(v, t, e)
		return
	}
	if t == nil {
		return
	}
	t.healthProbeInFlight = false
	t.lastObservedAt = r.now
	r.detectSuccessor(t, v, e)
	t.recordReport(r.now, v.Report)
	if v.Healthy {
		r.updateColdState(t, v.Report.Cold)
	}
	if !v.Healthy {
		t.health.recordFailure(r.now)
		return
	}
	if t.health.recordSuccess(r.now) {
		r.healthChanged(t, e)
		r.freedServices = append(r.freedServices, t.service)
	}
}

// updateFromReachProbe updates a target's state from the answer to a check of the box's link to it.
func (r *Router) updateFromReachProbe(t *target, v *ProbeEnded, e *Effects) {
	if t != nil {
		t.reachCheckOpen = false
	}
	if t == nil || v.Withheld {
		return
	}
	if !v.isHeard() {
		r.recordCheckFailed(e)
		return
	}
	t.recordReport(r.now, v.Report)
	if v.Healthy {
		r.updateColdState(t, v.Report.Cold)
	}
}

// updateFromProbe updates a target's state from the answer to a probe for a call. The health that
// the target reports doesn't change its ejection: the results of calls are better evidence.
func (r *Router) updateFromProbe(t *target, v *ProbeEnded, e *Effects) {
	if t == nil {
		return
	}
	t.recordProbeEnd(r.now, v.Healthy)
	t.recordReport(r.now, v.Report)
	t.markMissing(r.now, v.Report, t.lastProbedAt)
	if v.Healthy {
		t.service.recordReport(v.Report)
		r.updateColdState(t, v.Report.Cold)
	}
	if v.Healthy && v.Report.HasLoad {
		t.service.recordRoom(r.now, r.isSuitableByReport(nil, t))
		t.service.traffic.record(r.now, float64(t.inFlight), v.Report.InFlight)
	}
	if v.Healthy || v.Unreachable {
		t.recordReachability(r.now, v.Healthy)
	}
	if v.Unreachable && t.health.recordUnreachable(r.now) {
		r.healthChanged(t, e)
	}
	if v.Misdirected && t.health.recordMisdirected(r.now) {
		r.healthChanged(t, e)
	}
}

// probeLostAfter is the time after which an unanswered probe is given up as lost, so that the
// target may be probed again. A probe behind a large answer, or one that was retransmitted after a
// packet loss, is answered within about 0.3 s.
const probeLostAfter = 500 * time.Millisecond

// hasProbeInFlight reports whether a probe of this box to the target is in flight. Another one
// would queue behind it, and cost the target as much as the first.
func (t *target) hasProbeInFlight(now units.Instant) bool {
	return t.probesInFlight > 0 && now.Sub(t.lastProbedAt) < probeLostAfter
}

// shareProbeAnswer makes a probe's answer available to the waiting calls if the call that probed no
// longer needs it.
func (r *Router) shareProbeAnswer(t *target) {
	if t != nil && len(t.service.waiting) > 0 && t.hasFreshReport(r.now) && r.isSuitableByReport(nil, t) {
		r.freedServices = append(r.freedServices, t.service)
	}
}

// isHeard reports whether the target answered.
func (v *ProbeEnded) isHeard() bool { return v.Answered || v.Healthy }

func (r *Router) findTarget(x *Endpoint) *target {
	s := r.services[x.Service]
	if s == nil {
		return nil
	}
	for _, t := range s.targets {
		if t.endpoint == x {
			return t
		}
	}
	return nil
}
