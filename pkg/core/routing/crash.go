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
}

// noteBroken takes a call that broke off. Targets that are about to end as planned, or are gone,
// are left out: what breaks off there says nothing of the call.
func (r *Router) noteBroken(c *call, a *attempt, e *Effects) {
	t := a.target
	if !r.on(CrashSuspects) || c.identity == nil || !t.inTable() {
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
}

// checkCrash probes a target whose calls broke off. The probe draws on the measuring budget
// like any other; without budget it comes a little later, or another call's connection tells.
func (r *Router) checkCrash(t *target, e *Effects) {
	t.crash.checking = true
	if !r.leased() || !r.spendProbes(t.service, 1) {
		r.checkCrashLater(t)
		return
	}
	e.add(Effect{
		Kind: Probe, Attempt: crashCheck, Endpoint: t.endpoint, NotAfter: r.notAfterOf(t), Connections: t.connections,
		ProbePath: t.service.row.ProbePath,
	})
}

func (r *Router) checkCrashLater(t *target) {
	r.timers.Push(timer{at: r.now.Add(crashCheckPause), kind: crashTimer, target: t})
}

// crashTimePassed checks a target again, unless it is known by now what became of it.
func (r *Router) crashTimePassed(t *target, e *Effects) {
	t.crash.dropOld(r.now)
	if len(t.crash.broken) == 0 || t.gone {
		t.crash = crashWatch{}
		return
	}
	r.checkCrash(t, e)
}

// crashChecked takes the end of a check. A target that answers, whatever it says, hasn't crashed.
func (r *Router) crashChecked(t *target, v *ProbeEnded) {
	switch {
	case t == nil || len(t.crash.broken) == 0:
	case v.Answered:
		t.crash = crashWatch{}
	default:
		r.checkCrashLater(t)
	}
}

// noteConnectionRefused takes a host's refusal of a connection: the target crashed if calls have
// just broken off there.
func (r *Router) noteConnectionRefused(t *target, e *Effects) {
	t.crash.dropOld(r.now)
	broken := t.crash.broken
	t.crash = crashWatch{}
	if len(broken) == 0 || !t.inTable() {
		return
	}
	report := &crash.Report{Target: t.row.Target, At: broken[0].at}
	for _, b := range broken {
		report.Suspects = append(report.Suspects, crash.Suspect{Fingerprint: b.fingerprint, Sent: report.At.Sub(b.sent)})
	}
	t.service.crashes++
	e.add(Effect{Kind: TargetCrashed, Endpoint: t.endpoint, Crash: report})
}
