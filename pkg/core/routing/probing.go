package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// probeAfter is how long an ejected target must have been silent to be worth
	// a probe.
	probeAfter = 200 * time.Millisecond
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
	if !t.wantsProbe(r.now) || t.evacuated || t.side > trialVersion || t.probing || r.now.Sub(t.lastHeard) < probeAfter || !r.leased() {
		return
	}
	if t.lacksPermit(r.now) {
		if t.notice.limit.mayRequest(r.now) {
			r.requestTargetPermits(t, 1, e)
		}
		return
	}
	if !t.probes.take(r.now, r.probeRate(s, t), probeBurst) {
		return
	}
	t.probing = true
	t.probesSent++
	e.add(Effect{Kind: Probe, PermitUntil: r.usePermit(t), Endpoint: t.endpoint, NotAfter: r.selectionExpiry(), Connections: t.connections})
}

func (r *Router) probeEnded(v *ProbeEnded, e *Effects) {
	r.hear(v.Target, v.Reading, v.Misdirected, noBase, e)
	t := r.findTarget(v.Target)
	if t != nil && v.Refused {
		r.noteConnectionRefused(t, e)
	}
	if v.Call == 0 && v.Attempt == crashCheck {
		r.crashChecked(t, v)
		return
	}
	if v.Call != 0 {
		r.learnFromProbe(t, v, e)
		r.probeAnswered(v, t, e)
		return
	}
	if t == nil {
		return
	}
	t.probing = false
	t.lastHeard = r.now
	r.noteSuccessor(t, v, e)
	t.takeReading(r.now, v.Reading)
	if v.Healthy {
		r.noteWarmth(t, v.Reading.Cold)
	}
	if !v.Healthy {
		t.health.failed(r.now)
		return
	}
	if t.health.succeeded(r.now) {
		r.healthTurned(t, e)
		r.freedServices = append(r.freedServices, t.service)
	}
}

// learnFromProbe takes the answer to a call's probe. What a target reports of its health
// counts for no more than a reading: the results of calls are better evidence.
func (r *Router) learnFromProbe(t *target, v *ProbeEnded, e *Effects) {
	if t == nil {
		return
	}
	t.noteProbeTime(r.now, v.Healthy)
	t.takeReading(r.now, v.Reading)
	t.noteMissing(r.now, v.Reading, t.probedAt)
	if v.Healthy {
		t.service.noteReport(v.Reading)
		r.noteWarmth(t, v.Reading.Cold)
	}
	if v.Healthy || v.Unreachable {
		t.noteTrial(r.now, v.Healthy)
	}
	if v.Unreachable && t.health.unreachable(r.now) {
		r.healthTurned(t, e)
	}
	if v.Misdirected && t.health.misdirected(r.now) {
		r.healthTurned(t, e)
	}
}

// probeBound is after what time an unanswered probe counts as lost, so that the target may
// be probed again: a probe behind a large answer, or one whose packet was lost and sent
// again, is answered within some 0.3 s.
const probeBound = 500 * time.Millisecond

// awaitsProbe tells whether a probe of this box is on its way to the target. Another one
// would wait behind it, and cost the target as much as the first.
func (t *target) awaitsProbe(now units.Instant) bool {
	return t.probesOut > 0 && now.Sub(t.probedAt) < probeBound
}

// shareAnswer lets the calls that wait use an answer that the call which asked no longer
// waits for.
func (r *Router) shareAnswer(t *target) {
	if t != nil && len(t.service.waiting) > 0 && t.isFresh(r.now) && r.suits(nil, t) {
		r.freedServices = append(r.freedServices, t.service)
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
