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
	// quarantineRetryAfter is when the caller of a call in quarantine may come back. Until the target's
	// software is mended it will be refused again, so the pause is as long as callers heed.
	quarantineRetryAfter = time.Minute
	// localQuarantineTerm is how long a box that is out of touch keeps a call from targets by its own
	// verdict. Three more targets may crash after it, so it is long beside the seconds in which
	// a target starts, and short beside a mistake that nobody can correct meanwhile.
	localQuarantineTerm = time.Minute
	// trialTerm is how long a box may use a trial: a call that comes at all comes within it.
	trialTerm = 5 * time.Second
	// localWatchTerm is for how long a box notes answers to the calls that it has noted as suspects
	// itself. A call that is sent often is answered within seconds.
	localWatchTerm = time.Minute
	// maxRecordedAnswers bounds the answers that are noted between two grants, a few times a second.
	maxRecordedAnswers = 16
	// maxReportedRefusals bounds the calls that one request for a lease names as refused.
	maxReportedRefusals = 16
)

// WatchedCallsChanged is what a grant says of calls under which targets crash.
type WatchedCallsChanged struct {
	// Term is the leader's, Noted the last of the box's notes that it has.
	Term         units.Term
	Acknowledged uint64
	Calls        []crash.Watched
}

func (*WatchedCallsChanged) routingEvent() {}

// localVerdict is a call that the box keeps from targets by itself.
type localVerdict struct {
	call  crash.Fingerprint
	until units.Instant
}

// quarantineTrial lets the box send a call in quarantine once.
type quarantineTrial struct {
	call   crash.Fingerprint
	number int
	until  units.Instant
}

// crashState is what a box knows of crashes and of the calls to blame.
type crashState struct {
	notes    crashNotes
	canaries canaryState
	// ledger holds the box's own notes.
	ledger *crash.Ledger
	// watchedByLeader is what the last grant said, own the box's own verdicts.
	watchedByLeader []crash.Watched
	localVerdicts   []localVerdict
	// quarantined are the calls that go nowhere, suspects those that may be to blame, watched
	// those whose answers are noted, whoever sends them.
	quarantined, suspects, watched fingerprintSet
	// recordedAnswers are the calls whose answers were noted since watched last changed.
	recordedAnswers map[crash.Fingerprint]bool
	// refreshWatchAt is when the oldest of the box's own suspects need no longer be watched.
	refreshWatchAt units.Instant
	trials         []quarantineTrial
	// lastTrial numbers the last trial of each call that the box was given.
	lastTrial map[crash.Fingerprint]int
	// refused are the calls refused since the last request for a lease.
	refused []crash.Fingerprint
}

func newCrashState() crashState {
	return crashState{
		ledger: crash.NewLedger(crash.Enough), lastTrial: map[crash.Fingerprint]int{}, recordedAnswers: map[crash.Fingerprint]bool{},
	}
}

// isQuarantineTrial tells whether the call is in quarantine and let through once.
func (c *call) isQuarantineTrial() bool { return c.trial.number > 0 }

// isQuarantined tells whether a call may go to no target.
func (r *Router) isQuarantined(c *call) bool {
	if c.isQuarantineTrial() {
		return false
	}
	_, found := r.crashes.quarantined.match(c.identity)
	return found
}

// mayResend tells whether a call may be sent to one more target. A suspect that may have run
// isn't: if it is to blame, each send costs a target.
func (r *Router) mayResend(c *call) bool {
	if r.isQuarantined(c) {
		return false
	}
	if !c.mayHaveRun && c.inFlight() == 0 {
		return true
	}
	_, suspected := r.crashes.suspects.match(c.identity)
	_, oneAtATime := r.findSuspicion(c)
	return !suspected && !oneAtATime && !c.isQuarantineTrial()
}

// refuseIfQuarantined refuses a new call that may go to no target, unless it is the one call of
// a trial.
func (r *Router) refuseIfQuarantined(id CallID, c *call, e *Effects) bool {
	f, found := r.crashes.quarantined.match(c.identity)
	if !found {
		return false
	}
	if c.trial = r.crashes.takeTrial(f, r.now); c.isQuarantineTrial() {
		return false
	}
	r.crashes.recordRefused(f)
	r.refuse(id, c, Refusal{Reason: Quarantined, Outcome: c.outcome(), RetryAfter: quarantineRetryAfter}, e)
	return true
}

// takeTrial uses up a trial of a call, and returns it; zero for none.
func (b *crashState) takeTrial(f crash.Fingerprint, now units.Instant) quarantineTrial {
	i := slices.IndexFunc(b.trials, func(t quarantineTrial) bool { return t.call == f && now < t.until })
	if i < 0 {
		return quarantineTrial{}
	}
	used := b.trials[i]
	b.trials = slices.Delete(b.trials, i, i+1)
	return used
}

// returnTrial gives back the trial of a call that ends without having been sent: it has shown nothing, and
// the next one may come only minutes later.
func (r *Router) returnTrial(c *call) {
	if c.isQuarantineTrial() && c.sends == 0 {
		r.crashes.trials = append(r.crashes.trials, c.trial)
	}
}

func (b *crashState) recordRefused(f crash.Fingerprint) {
	if len(b.refused) < maxReportedRefusals && !slices.Contains(b.refused, f) {
		b.refused = append(b.refused, f)
	}
}

// DrainRefused returns the calls in quarantine that were refused since it was last called.
func (r *Router) DrainRefused() []crash.Fingerprint {
	list := r.crashes.refused
	r.crashes.refused = nil
	return list
}

// applyWatched takes what a grant says.
func (r *Router) applyWatched(v *WatchedCallsChanged, e *Effects) {
	b := &r.crashes
	b.notes.acknowledge(v.Term, v.Acknowledged)
	b.watchedByLeader = v.Calls
	for _, x := range v.Calls {
		if x.Trial > b.lastTrial[x.Call] {
			b.lastTrial[x.Call] = x.Trial
			b.trials = append(b.trials, quarantineTrial{call: x.Call, number: x.Trial, until: r.now.Add(trialTerm)})
		}
	}
	b.trials = slices.DeleteFunc(b.trials, func(t quarantineTrial) bool { return r.now >= t.until })
	r.enforceQuarantines(e)
}

// enforceQuarantines puts the quarantines that are known in force: calls that wait are refused,
// those under way end where they are.
func (r *Router) enforceQuarantines(e *Effects) {
	b := &r.crashes
	b.localVerdicts = slices.DeleteFunc(b.localVerdicts, func(v localVerdict) bool { return r.now >= v.until })
	b.quarantined.clear()
	b.suspects.clear()
	b.watched.clear()
	clear(b.recordedAnswers)
	if !r.enabled(CrashSuspects) {
		return
	}
	for i := range r.table.Quarantines {
		f := r.table.Quarantines[i].Call
		b.ledger.Explain(f)
		b.quarantined.add(f)
		b.watched.add(f.AnyCaller())
	}
	for _, x := range b.watchedByLeader {
		b.suspects.add(x.Call)
		b.watched.add(x.Call.AnyCaller())
		if x.Quarantined {
			b.quarantined.add(x.Call)
		}
	}
	for _, v := range b.localVerdicts {
		b.quarantined.add(v.call)
	}
	r.watchLocalSuspects()
	r.refuseWaitingQuarantined(e)
}

// watchLocalSuspects has answers noted to the calls under which targets have crashed here lately.
func (r *Router) watchLocalSuspects() {
	b := &r.crashes
	for _, f := range b.ledger.SuspectsSince(r.now.Add(-localWatchTerm)) {
		b.suspects.add(f)
		b.watched.add(f.AnyCaller())
	}
	b.refreshWatchAt = r.now.Add(localWatchTerm)
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
		r.refuse(id, c, Refusal{Reason: Quarantined, Outcome: c.outcome(), RetryAfter: quarantineRetryAfter}, e)
	}
}

// recordWatchedAnswer notes that a target has run a call to an answer which is a suspect or in
// quarantine. It is noted once until the next grant or change: one answer says all.
func (r *Router) recordWatchedAnswer(c *call, e *Effects) {
	b := &r.crashes
	if _, found := b.watched.match(c.identity); !found {
		return
	}
	f := crash.FingerprintOf(c.identity)
	if b.recordedAnswers[f] || len(b.recordedAnswers) >= maxRecordedAnswers {
		return
	}
	b.ledger.Take(b.notes.add(crash.Note{At: r.now, Suspects: []crash.Suspect{{Fingerprint: f}}}))
	r.requestNotesSend()
	b.localVerdicts = slices.DeleteFunc(b.localVerdicts, func(v localVerdict) bool { return v.call.Covers(f) })
	r.enforceQuarantines(e)
	b.recordedAnswers[f] = true
}

// judgeLocally has the box judge by its own notes while no leader can.
func (r *Router) judgeLocally(e *Effects) {
	b := &r.crashes
	if r.now < r.leaseUntil || !b.ledger.Undecided() {
		return
	}
	for _, v := range b.ledger.Judge(r.now) {
		b.localVerdicts = append(b.localVerdicts, localVerdict{call: v.Fingerprint, until: r.now.Add(localQuarantineTerm)})
		e.add(Effect{Kind: CallBlamed, Verdict: &v})
	}
	r.enforceQuarantines(e)
}

// expireQuarantines lets go of what has run out.
func (r *Router) expireQuarantines(e *Effects) {
	b := &r.crashes
	r.judgeLocally(e)
	expired := slices.ContainsFunc(b.localVerdicts, func(v localVerdict) bool { return r.now >= v.until })
	if expired || len(b.watched.byHead) > 0 && r.now >= b.refreshWatchAt {
		r.enforceQuarantines(e)
	}
}
