package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// Calls in quarantine go to no target, since targets crash when they run them. Most stand in the
// table, by the leader's verdict on the notes of all boxes. A verdict that hasn't reached a
// quorum's disks yet comes with the grants, and a box without a leader judges by its own notes.

const (
	// quarantineRetry is when the caller of a call in quarantine may come back. Until the target's
	// software is mended it will be refused again, so the pause is as long as callers heed.
	quarantineRetry = time.Minute
	// ownQuarantine is how long a box that is out of touch keeps a call from targets by its own
	// verdict. Three more targets may crash after it, so it is long beside the seconds in which
	// a target starts, and short beside a mistake that nobody can correct meanwhile.
	ownQuarantine = time.Minute
	// trialTime is how long a box may use a trial: a call that comes at all comes within it.
	trialTime = 5 * time.Second
	// ownWatch is for how long a box notes answers to the calls that it has noted as suspects
	// itself. A call that is sent often is answered within seconds.
	ownWatch = time.Minute
	// maxAnswered bounds the answers that are noted between two grants, a few times a second.
	maxAnswered = 16
	// maxRefused bounds the calls that one request for a lease names as refused.
	maxRefused = 16
)

// WatchedChanged is what a grant says of calls under which targets crash.
type WatchedChanged struct {
	// Term is the leader's, Noted the last of the box's notes that it has.
	Term  units.Term
	Noted uint64
	Calls []crash.WatchedCall
}

func (*WatchedChanged) routingEvent() {}

// ownVerdict is a call that the box keeps from targets by itself.
type ownVerdict struct {
	call  crash.Fingerprint
	until units.Instant
}

// trial lets the box send a call in quarantine once.
type trial struct {
	call   crash.Fingerprint
	number int
	until  units.Instant
}

// crashBook is what a box knows of crashes and of the calls to blame.
type crashBook struct {
	notes    crashNotes
	canaries canaryBook
	// ledger holds the box's own notes.
	ledger *crash.Tracker
	// granted is what the last grant said, own the box's own verdicts.
	granted []crash.WatchedCall
	own     []ownVerdict
	// quarantined are the calls that go nowhere, suspects those that may be to blame, watched
	// those whose answers are noted, whoever sends them.
	quarantined, suspects, watched fingerprintSet
	// answered are the calls whose answers were noted since watched last changed.
	answered map[crash.Fingerprint]bool
	// freshUntil is when the oldest of the box's own suspects need no longer be watched.
	freshUntil units.Instant
	trials     []trial
	// spent numbers the last trial of each call that the box was given.
	spent map[crash.Fingerprint]int
	// refused are the calls refused since the last request for a lease.
	refused []crash.Fingerprint
}

func newCrashBook() crashBook {
	return crashBook{
		ledger: crash.NewTracker(crash.CrashesToBlame), spent: map[crash.Fingerprint]int{}, answered: map[crash.Fingerprint]bool{},
	}
}

// isTrial tells whether the call is in quarantine and let through once.
func (c *call) isTrial() bool { return c.trial.number > 0 }

// isQuarantined tells whether a call may go to no target.
func (r *Router) isQuarantined(c *call) bool {
	if c.isTrial() {
		return false
	}
	_, found := r.crashes.quarantined.match(c.identity)
	return found
}

// mayRepeat tells whether a call may be sent to one more target. A suspect that may have run
// isn't: if it is to blame, each send costs a target.
func (r *Router) mayRepeat(c *call) bool {
	if r.isQuarantined(c) {
		return false
	}
	if !c.mayHaveRun && c.inFlight() == 0 {
		return true
	}
	_, suspected := r.crashes.suspects.match(c.identity)
	_, oneAtATime := r.suspectedCall(c)
	return !suspected && !oneAtATime && !c.isTrial()
}

// refuseIfQuarantined refuses a new call that may go to no target, unless it is the one call of
// a trial.
func (r *Router) refuseIfQuarantined(id CallID, c *call, e *Effects) bool {
	f, found := r.crashes.quarantined.match(c.identity)
	if !found {
		return false
	}
	if c.trial = r.crashes.useTrial(f, r.now); c.isTrial() {
		return false
	}
	r.crashes.noteRefused(f)
	r.refuse(id, c, Refusal{Reason: Quarantined, Outcome: c.outcome(), RetryAfter: quarantineRetry}, e)
	return true
}

// useTrial uses up a trial of a call, and returns it; zero for none.
func (b *crashBook) useTrial(f crash.Fingerprint, now units.Instant) trial {
	i := slices.IndexFunc(b.trials, func(t trial) bool { return t.call == f && now < t.until })
	if i < 0 {
		return trial{}
	}
	used := b.trials[i]
	b.trials = slices.Delete(b.trials, i, i+1)
	return used
}

// unuseTrial gives back the trial of a call that ends without having been sent: it has shown nothing, and
// the next one may come only minutes later.
func (r *Router) unuseTrial(c *call) {
	if c.isTrial() && c.sends == 0 {
		r.crashes.trials = append(r.crashes.trials, c.trial)
	}
}

func (b *crashBook) noteRefused(f crash.Fingerprint) {
	if len(b.refused) < maxRefused && !slices.Contains(b.refused, f) {
		b.refused = append(b.refused, f)
	}
}

// TakeRefused returns the calls in quarantine that were refused since it was last called.
func (r *Router) TakeRefused() []crash.Fingerprint {
	list := r.crashes.refused
	r.crashes.refused = nil
	return list
}

// takeWatched takes what a grant says.
func (r *Router) takeWatched(v *WatchedChanged, e *Effects) {
	b := &r.crashes
	b.notes.acknowledge(v.Term, v.Noted)
	b.granted = v.Calls
	for _, x := range v.Calls {
		if x.Trial > b.spent[x.Call] {
			b.spent[x.Call] = x.Trial
			b.trials = append(b.trials, trial{call: x.Call, number: x.Trial, until: r.now.Add(trialTime)})
		}
	}
	b.trials = slices.DeleteFunc(b.trials, func(t trial) bool { return r.now >= t.until })
	r.applyQuarantines(e)
}

// applyQuarantines puts the quarantines that are known in force: calls that wait are refused,
// those under way end where they are.
func (r *Router) applyQuarantines(e *Effects) {
	b := &r.crashes
	b.own = slices.DeleteFunc(b.own, func(v ownVerdict) bool { return r.now >= v.until })
	b.quarantined.clear()
	b.suspects.clear()
	b.watched.clear()
	clear(b.answered)
	if !r.enabled(CrashSuspects) {
		return
	}
	for i := range r.table.Quarantines {
		f := r.table.Quarantines[i].Call
		b.ledger.Attribute(f)
		b.quarantined.add(f)
		b.watched.add(f.AnyCaller())
	}
	for _, x := range b.granted {
		b.suspects.add(x.Call)
		b.watched.add(x.Call.AnyCaller())
		if x.Quarantined {
			b.quarantined.add(x.Call)
		}
	}
	for _, v := range b.own {
		b.quarantined.add(v.call)
	}
	r.watchOwnSuspects()
	r.refuseWaitingQuarantined(e)
}

// watchOwnSuspects has answers noted to the calls under which targets have crashed here lately.
func (r *Router) watchOwnSuspects() {
	b := &r.crashes
	for _, f := range b.ledger.SuspectsSince(r.now.Add(-ownWatch)) {
		b.suspects.add(f)
		b.watched.add(f.AnyCaller())
	}
	b.freshUntil = r.now.Add(ownWatch)
}

// refuseWaitingQuarantined refuses the calls in quarantine that wait, and ends the search for a
// second target of those under way.
func (r *Router) refuseWaitingQuarantined(e *Effects) {
	if len(r.crashes.quarantined.byHead) == 0 {
		return
	}
	var waiting []CallID
	r.calls.Each(func(id CallID, c *call) {
		if !r.isQuarantined(c) {
			return
		}
		if c.inFlight() > 0 {
			c.endProbing()
			return
		}
		waiting = append(waiting, id)
	})
	for _, id := range waiting {
		c := r.calls.Get(id)
		r.refuse(id, c, Refusal{Reason: Quarantined, Outcome: c.outcome(), RetryAfter: quarantineRetry}, e)
	}
}

// noteAnswered notes that a target has run a call to an answer which is a suspect or in
// quarantine. It is noted once until the next grant or change: one answer says all.
func (r *Router) noteAnswered(c *call, e *Effects) {
	b := &r.crashes
	if _, found := b.watched.match(c.identity); !found {
		return
	}
	f := crash.FingerprintOf(c.identity)
	if b.answered[f] || len(b.answered) >= maxAnswered {
		return
	}
	b.ledger.Record(b.notes.add(crash.Note{At: r.now, Suspects: []crash.Suspect{{Fingerprint: f}}}))
	r.sendNotesSoon()
	b.own = slices.DeleteFunc(b.own, func(v ownVerdict) bool { return v.call.Covers(f) })
	r.applyQuarantines(e)
	b.answered[f] = true
}

// judgeAlone has the box judge by its own notes while no leader can.
func (r *Router) judgeAlone(e *Effects) {
	b := &r.crashes
	if r.now < r.leaseUntil || !b.ledger.HasPendingVerdict() {
		return
	}
	for _, v := range b.ledger.Evaluate(r.now) {
		b.own = append(b.own, ownVerdict{call: v.Fingerprint, until: r.now.Add(ownQuarantine)})
		e.add(Effect{Kind: CallBlamed, Verdict: &v})
	}
	r.applyQuarantines(e)
}

// ageQuarantines lets go of what has run out.
func (r *Router) ageQuarantines(e *Effects) {
	b := &r.crashes
	r.judgeAlone(e)
	expired := slices.ContainsFunc(b.own, func(v ownVerdict) bool { return r.now >= v.until })
	if expired || len(b.watched.byHead) > 0 && r.now >= b.freshUntil {
		r.applyQuarantines(e)
	}
}
