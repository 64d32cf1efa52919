package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target's process may end under a call. Its calls break off then, and its host refuses
// connections until the process is back. Either alone says little: connections are also reset
// by targets that live on, and hosts refuse connections after a planned end. Both within a
// short time are a crash, and the calls that broke off are its suspects.

const (
	// crashWindow is how long after its calls broke off a target's host may first refuse a
	// connection: the way there and back, and a box that is late. Targets take longer to start.
	crashWindow = 500 * time.Millisecond
	// crashCheckPause is the time between two checks of a target whose calls broke off: a
	// round trip within a region, so that two or three fit into the time in which a call is sent again.
	crashCheckPause = 20 * time.Millisecond
	// maxSuspects bounds the calls of this box that one crash is put down to. Few targets work
	// on as many, and the report of a crash stays below some 300 bytes.
	maxSuspects = 16
)

// crashCheck is the number of a probe that checks whether a target is still there.
const crashCheck AttemptNumber = 1

// brokenCall is a call that broke off at a target.
type brokenCall struct {
	fingerprint crash.Fingerprint
	sent, at    units.Instant
}

// crashWatch is what a box holds against a target until it knows whether the target crashed.
type crashWatch struct {
	broken []brokenCall
	// checking is set while a probe is under way that checks the target, or one is due.
	checking bool
	// refusedAt is when the target's host first refused a connection since; zero for not yet.
	refusedAt units.Instant
}

// noteBroken takes a call that broke off. Targets that are about to end as planned, or are gone,
// are left out: what breaks off there says nothing of the call.
func (r *Router) noteBroken(c *call, a *attempt, e *Effects) {
	t := a.target
	if !r.enabled(CrashSuspects) || c.identity == nil || !t.isActiveInTable() || t.notice.isLeaving() {
		return
	}
	w := &t.crash
	w.dropOld(r.now)
	if len(w.broken) < maxSuspects {
		w.broken = append(w.broken, brokenCall{fingerprint: crash.FingerprintOf(c.identity), sent: a.sent, at: r.now})
	}
	if !w.checking {
		r.checkCrash(t, e)
	}
}

// dropOld forgets the calls that broke off too long ago to belong to a crash that shows now.
func (w *crashWatch) dropOld(now units.Instant) {
	w.broken = slices.DeleteFunc(w.broken, func(b brokenCall) bool { return now.Sub(b.at) > crashWindow })
	if len(w.broken) == 0 {
		w.refusedAt = 0
	}
}

// checkCrash probes a target whose calls broke off. The probe draws on the measuring budget, but
// doesn't wait for it: while many targets are down it is spent, and a crash that isn't seen
// leaves its cause at large.
func (r *Router) checkCrash(t *target, e *Effects) {
	if r.probeBudgetRate(t.service) <= 0 || t.notice.forbidsSending(r.now) || t.lacksPermit(r.now) {
		t.crash.checking = false
		return
	}
	t.crash.checking = true
	if !r.leased() {
		r.checkCrashLater(t)
		return
	}
	t.service.probeBudget.overdraw(1)
	e.add(Effect{
		Kind: Probe, PermitUntil: r.usePermit(t), Attempt: crashCheck, Endpoint: t.endpoint, NotAfter: r.notAfterOf(t), Connections: t.maxConnections,
		ProbePath: t.service.row.ProbePath,
	})
}

func (r *Router) checkCrashLater(t *target) {
	r.timers.Push(timer{at: r.now.Add(crashCheckPause), kind: crashTimer, target: t})
}

// crashTimePassed checks a target again, unless it is known by now what became of it.
func (r *Router) crashTimePassed(t *target, e *Effects) {
	t.crash.dropOld(r.now)
	if len(t.crash.broken) == 0 || t.removed {
		t.crash = crashWatch{}
		return
	}
	r.checkCrash(t, e)
}

// crashChecked takes the end of a check. A target that answers, whatever it says, hasn't crashed.
func (r *Router) crashChecked(t *target, v *ProbeEnded) {
	if t != nil && v.Refused {
		// No process was there that the probe could have cost anything.
		t.service.probeBudget.overdraw(-1)
	}
	switch {
	case t == nil:
	case v.Answered || len(t.crash.broken) == 0:
		t.crash = crashWatch{}
	default:
		r.checkCrashLater(t)
	}
}

// noteConnectionRefused takes a host's refusal of a connection. One alone may come from a target
// that is full; after a second one, a moment later and with no answer between, the target crashed.
func (r *Router) noteConnectionRefused(t *target, e *Effects) {
	w := &t.crash
	w.dropOld(r.now)
	switch {
	case len(w.broken) == 0:
	case w.refusedAt == 0:
		w.refusedAt = r.now
	case r.now.Sub(w.refusedAt) >= crashCheckPause:
		r.noteCrash(t, e)
	}
}

// noteCrash notes that a target has crashed under the calls that broke off there.
func (r *Router) noteCrash(t *target, e *Effects) {
	broken := t.crash.broken
	t.crash = crashWatch{}
	if !t.isActiveInTable() {
		return
	}
	n := crash.Note{Service: t.row.Service, Target: t.row.Target, At: broken[0].at}
	for _, b := range broken {
		n.Suspects = append(n.Suspects, crash.Suspect{Fingerprint: b.fingerprint, SentBefore: n.At.Sub(b.sent)})
	}
	n = r.crashes.notes.add(n)
	r.crashes.ledger.Record(n)
	t.service.crashes++
	e.add(Effect{Kind: TargetCrashed, Endpoint: t.endpoint, Crash: &n})
	r.judgeAlone(e)
	r.watchOwnSuspects()
	r.suspectCrashed(&n, e)
	r.sendNotesSoon()
}

// noteAlive takes an answer of a target, whatever it says. One that was on its way when the
// target crashed says nothing.
func (t *target) noteAlive(now units.Instant) {
	w := &t.crash
	if n := len(w.broken); n > 0 && now.Sub(w.broken[n-1].at) >= crashCheckPause {
		*w = crashWatch{}
	}
}
