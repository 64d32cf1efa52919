package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// minSilenceBeforeProbe is how long an ejected target must have been silent to be worth
	// a probe.
	minSilenceBeforeProbe = 200 * time.Millisecond
	// defaultSlots stands in for the capacity of a target without a limit.
	defaultSlots = 3
	// probeBurst is how many probes a box may save up.
	probeBurst = 1
)

// probeRate is how many probes a second this box may send to a target: its part
// of the target's measuring budget.
func (r *Router) probeRate(s *service, t *target) float64 {
	slots := float64(t.row.MaxInFlight)
	if slots == 0 {
		slots = defaultSlots
	}
	busy := s.row.MeasureBudget.Of(slots)
	return busy / r.settings.ProbeCost.Seconds() * t.probeShare.value
}

// probeIfDue probes a target that is out of the common path. Calls are the
// first measurement; a target that has them needs no probe.
func (r *Router) probeIfDue(s *service, t *target, e *Effects) {
	if !t.needsHealthProbe(r.now) || t.evacuated || t.side > onTrial || t.healthProbeInFlight || r.now.Sub(t.lastObservedAt) < minSilenceBeforeProbe || !r.leased() {
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
	e.add(Effect{Kind: Probe, PermitUntil: r.usePermit(t), Endpoint: t.endpoint, NotAfter: r.notAfter(), Connections: t.maxConnections})
}

func (r *Router) probeEnded(v *ProbeEnded, e *Effects) {
	r.handleNotice(v.Target, v.Reading, v.Misdirected, unknownLimitVersion, e)
	t := r.findTarget(v.Target)
	if t != nil && v.Refused {
		r.noteConnectionRefused(t, e)
	}
	if v.Call == 0 && v.Attempt == crashCheck {
		r.crashChecked(t, v)
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
	t.recordReport(r.now, v.Reading)
	if v.Healthy {
		r.updateColdState(t, v.Reading.Cold)
	}
	if !v.Healthy {
		t.health.recordFailure(r.now)
		return
	}
	if t.health.recordSuccess(r.now) {
		r.healthChanged(t, e)
		r.freed = append(r.freed, t.service)
	}
}

// updateFromProbe takes the answer to a call's probe. What a target reports of its health
// counts for no more than a reading: the results of calls are better evidence.
func (r *Router) updateFromProbe(t *target, v *ProbeEnded, e *Effects) {
	if t == nil {
		return
	}
	t.recordProbeEnd(r.now, v.Healthy)
	t.recordReport(r.now, v.Reading)
	t.markMissing(r.now, v.Reading, t.lastProbedAt)
	if v.Healthy {
		t.service.recordReport(v.Reading)
		r.updateColdState(t, v.Reading.Cold)
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

// probeLostAfter is after what time an unanswered probe counts as lost, so that the target may
// be probed again: a probe behind a large answer, or one whose packet was lost and sent
// again, is answered within some 0.3 s.
const probeLostAfter = 500 * time.Millisecond

// hasProbeInFlight tells whether a probe of this box is on its way to the target. Another one
// would wait behind it, and cost the target as much as the first.
func (t *target) hasProbeInFlight(now units.Instant) bool {
	return t.probesInFlight > 0 && now.Sub(t.lastProbedAt) < probeLostAfter
}

// shareProbeAnswer lets the calls that wait use an answer that the call which asked no longer
// waits for.
func (r *Router) shareProbeAnswer(t *target) {
	if t != nil && len(t.service.waiting) > 0 && t.hasFreshReading(r.now) && r.isSuitableByReading(nil, t) {
		r.freed = append(r.freed, t.service)
	}
}

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
