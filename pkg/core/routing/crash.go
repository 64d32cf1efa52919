package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target's process may crash while it runs a call. Its calls break off then, and its host refuses
// connections until the process has been restarted. Neither is conclusive alone: connections are
// also reset by targets that stay up, and hosts refuse connections after a planned stop. Both
// within a short time are recorded as a crash, and the calls that broke off are its suspects.

const (
	// crashWindow is the longest time between a target's calls breaking off and its host's first
	// refused connection: a round trip, and the delay of a box that is late. Targets take longer to
	// start.
	crashWindow = 500 * time.Millisecond
	// crashCheckInterval is the time between two probes of a target whose calls broke off: a round
	// trip within a region, so that two or three fit into the time in which a call is sent again.
	crashCheckInterval = 20 * time.Millisecond
	// maxSuspects bounds the calls of this box that are recorded as suspects of one crash. Few
	// targets run as many at a time, and the report of a crash stays below about 300 bytes.
	maxSuspects = 16
)

// crashProbeNumber is the attempt number of probes that check whether a target has crashed.
const crashProbeNumber AttemptNumber = 1

// brokenCall is a call that broke off at a target.
type brokenCall struct {
	fingerprint crash.Fingerprint
	sent, at    units.Instant
}

// crashEvidence is what a box has observed at a target until it can decide whether the target
// crashed.
type crashEvidence struct {
	broken []brokenCall
	// checking is set while a crash probe is in flight or scheduled.
	checking bool
	// refusedAt is when the target's host first refused a connection since the calls broke off;
	// zero for not yet.
	refusedAt units.Instant
}

// recordBrokenCall records a call that broke off. Calls at targets that are about to stop as
// planned, or are gone, are ignored: that they break off is no evidence about the call.
func (r *Router) recordBrokenCall(c *call, a *attempt, e *Effects) {
	t := a.target
	if !r.enabled(CrashSuspects) || c.identity == nil || !t.isActiveInTable() || t.notice.isLeaving() {
		return
	}
	w := &t.crash
	w.dropExpired(r.now)
	if len(w.broken) < maxSuspects {
		w.broken = append(w.broken, brokenCall{fingerprint: crash.FingerprintOf(c.identity), sent: a.sent, at: r.now})
	}
	if !w.checking {
		r.probeForCrash(t, e)
	}
}

// dropExpired removes the calls that broke off too long ago to belong to a crash that is detected
// now.
func (w *crashEvidence) dropExpired(now units.Instant) {
	w.broken = slices.DeleteFunc(w.broken, func(b brokenCall) bool { return now.Sub(b.at) > crashWindow })
	if len(w.broken) == 0 {
		w.refusedAt = 0
	}
}

// probeForCrash probes a target whose calls broke off. The probe is charged to the probe budget,
// but doesn't wait for it: while many targets are down the budget is used up, and after a crash
// that isn't detected the call that caused it would go on crashing targets.
func (r *Router) probeForCrash(t *target, e *Effects) {
	if r.probeBudgetRate(t.service) <= 0 || t.notice.forbidsSending(r.now) || t.lacksPermit(r.now) {
		t.crash.checking = false
		return
	}
	t.crash.checking = true
	if !r.leased() {
		r.scheduleCrashProbe(t)
		return
	}
	t.service.probeBudget.overdraw(1)
	x := r.newProbe(t)
	x.Attempt, x.ProbePath = crashProbeNumber, t.service.row.ProbePath
	e.add(x)
}

func (r *Router) scheduleCrashProbe(t *target) {
	r.timers.Push(timer{at: r.now.Add(crashCheckInterval), kind: crashTimer, target: t})
}

// crashTimerFired probes a target again, unless the question has been decided meanwhile.
func (r *Router) crashTimerFired(t *target, e *Effects) {
	t.crash.dropExpired(r.now)
	if len(t.crash.broken) == 0 || t.removed {
		t.crash = crashEvidence{}
		return
	}
	r.probeForCrash(t, e)
}

// crashProbeEnded handles the result of a crash probe. A target that answers anything hasn't
// crashed.
func (r *Router) crashProbeEnded(t *target, v *ProbeEnded) {
	if t != nil && v.Refused {
		// No process was there, so that the probe didn't cost the target anything.
		t.service.probeBudget.overdraw(-1)
	}
	switch {
	case t == nil:
	case v.Answered || len(t.crash.broken) == 0:
		t.crash = crashEvidence{}
	default:
		r.scheduleCrashProbe(t)
	}
}

// recordConnectionRefused records that a host refused a connection. A single refusal may come from
// a target that is full; after a second one at least crashCheckInterval later, with no answer
// between, the target has crashed.
func (r *Router) recordConnectionRefused(t *target, e *Effects) {
	w := &t.crash
	w.dropExpired(r.now)
	switch {
	case len(w.broken) == 0:
	case w.refusedAt == 0:
		w.refusedAt = r.now
		r.checkIfUnheard(t.service.reach(), w.broken[0].at, targetsToRejoin, e)
	case r.now.Sub(w.refusedAt) >= crashCheckInterval && !r.isBoxAtFault(t):
		r.recordCrash(t, e)
	}
}

// recordCrash records that a target has crashed while it ran the calls that broke off there.
func (r *Router) recordCrash(t *target, e *Effects) {
	broken := t.crash.broken
	t.crash = crashEvidence{}
	if !t.isActiveInTable() {
		return
	}
	n := crash.Note{Service: t.row.Service, Target: t.row.Target, At: broken[0].at}
	for _, b := range broken {
		n.Suspects = append(n.Suspects, crash.Suspect{Fingerprint: b.fingerprint, SentBefore: n.At.Sub(b.sent)})
	}
	n = r.crashes.notes.add(n)
	r.crashes.tracker.Record(n)
	t.service.crashes++
	e.add(Effect{Kind: TargetCrashed, Endpoint: t.endpoint, Crash: &n})
	r.judgeLocally(e)
	r.watchLocalSuspects()
	r.suspectCrashed(&n, e)
	r.requestNotesSend()
}

// recordAlive records an answer of a target, whatever its content: the target hasn't crashed. An
// answer that was in transit when the calls broke off proves nothing and is ignored.
func (t *target) recordAlive(now units.Instant) {
	w := &t.crash
	if n := len(w.broken); n > 0 && now.Sub(w.broken[n-1].at) >= crashCheckInterval {
		*w = crashEvidence{}
	}
}
