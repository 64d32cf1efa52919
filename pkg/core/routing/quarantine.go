package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/units"
)

// Calls in quarantine are sent to no target, since targets crash when they run them. Most
// quarantines are in the table, set by the leader from the notes of all boxes. Quarantines that
// haven't been committed by a quorum yet come with the grants, and a box without a leader decides
// by its own notes.

const (
	// quarantineRetryAfter is the retry delay for a call in quarantine. It will be refused again
	// until the target's software is fixed, so the delay is as long as callers honour.
	quarantineRetryAfter = time.Minute
	// localQuarantineDuration is how long a call stays in quarantine by the decision of a box that
	// is cut off from the leader. Up to three more targets may crash after it, so it is long
	// compared with the seconds in which a target starts; it is short compared with a wrong
	// decision that nobody can correct meanwhile.
	localQuarantineDuration = time.Minute
	// quarantineTrialDuration is how long a box may use a trial: if callers still send the call,
	// one arrives within that time.
	quarantineTrialDuration = 5 * time.Second
	// localWatchDuration is for how long a box records answers to the calls that it has itself
	// recorded as suspects. A call that is sent often is answered within seconds.
	localWatchDuration = time.Minute
	// maxRecordedAnswers bounds the answers that are recorded between two grants, which come a few
	// times a second.
	maxRecordedAnswers = 16
	// maxReportedRefusals bounds the refused calls that one lease request reports.
	maxReportedRefusals = 16
)

// WatchedCallsChanged carries what a grant reports about calls that may crash targets.
type WatchedCallsChanged struct {
	// Term is the term of the leader, Acknowledged the number of the last of the box's notes that
	// it has.
	Term         units.Term
	Acknowledged uint64
	Calls        []crash.WatchedCall
}

func (*WatchedCallsChanged) routingEvent() {}

// localVerdict is a quarantine that the box has decided on by itself.
type localVerdict struct {
	call  crash.Fingerprint
	until units.Instant
}

// quarantineTrial permits the box to send a call in quarantine once. It is unrelated to a rollout's
// trial.
type quarantineTrial struct {
	call   crash.Fingerprint
	number int
	until  units.Instant
}

// crashState is a box's state on crashes and the calls suspected to cause them.
type crashState struct {
	notes    crashNotes
	canaries canaryState
	// tracker holds the box's own notes.
	tracker *crash.Tracker
	// watchedByLeader are the calls of the last grant, localVerdicts the box's own quarantines.
	watchedByLeader []crash.WatchedCall
	localVerdicts   []localVerdict
	// quarantined are the calls that are sent to no target, suspects those that may have caused
	// crashes, watched those whose answers are recorded, regardless of the caller.
	quarantined, suspects, watched fingerprintSet
	// recordedAnswers are the calls whose answers were recorded since watched last changed.
	recordedAnswers map[crash.Fingerprint]bool
	// refreshWatchAt is when the box's own suspects in watched are next due to be recomputed, since
	// the oldest may be dropped by then.
	refreshWatchAt units.Instant
	trials         []quarantineTrial
	// lastTrial is the number of the last trial of each call that the box was granted.
	lastTrial map[crash.Fingerprint]int
	// refused are the calls refused since the last lease request.
	refused []crash.Fingerprint
}

func newCrashState() crashState {
	return crashState{
		tracker: crash.NewTracker(crash.CrashesToBlame), lastTrial: map[crash.Fingerprint]int{}, recordedAnswers: map[crash.Fingerprint]bool{},
	}
}

// isQuarantineTrial reports whether the call is in quarantine and may be sent once.
func (c *call) isQuarantineTrial() bool { return c.quarantineTrial.number > 0 }

// isQuarantined reports whether a call may be sent to no target.
func (r *Router) isQuarantined(c *call) bool {
	if c.isQuarantineTrial() {
		return false
	}
	_, found := r.crashes.quarantined.match(c.identity)
	return found
}

// mayResend reports whether a call may be sent to a further target. A suspect that may have run may
// not: if it causes the crashes, each send costs a target.
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

// refuseIfQuarantined refuses a new call in quarantine, unless it uses up a trial. It reports
// whether the call was refused.
func (r *Router) refuseIfQuarantined(id CallID, c *call, e *Effects) bool {
	f, found := r.crashes.quarantined.match(c.identity)
	if !found {
		return false
	}
	if c.quarantineTrial = r.crashes.takeQuarantineTrial(f, r.now); c.isQuarantineTrial() {
		return false
	}
	r.crashes.recordRefused(f)
	r.refuse(id, c, Refusal{Reason: Quarantined, Outcome: c.outcome(), RetryAfter: quarantineRetryAfter}, e)
	return true
}

// takeQuarantineTrial uses up a trial of a call and returns it; zero for none.
func (b *crashState) takeQuarantineTrial(f crash.Fingerprint, now units.Instant) quarantineTrial {
	i := slices.IndexFunc(b.trials, func(t quarantineTrial) bool { return t.call == f && now < t.until })
	if i < 0 {
		return quarantineTrial{}
	}
	used := b.trials[i]
	b.trials = slices.Delete(b.trials, i, i+1)
	return used
}

// returnQuarantineTrial returns the trial of a call that ends without having been sent: it gave no
// result, and the next trial may be granted only minutes later.
func (r *Router) returnQuarantineTrial(c *call) {
	if c.isQuarantineTrial() && c.sends == 0 {
		r.crashes.trials = append(r.crashes.trials, c.quarantineTrial)
	}
}

func (b *crashState) recordRefused(f crash.Fingerprint) {
	if len(b.refused) < maxReportedRefusals && !slices.Contains(b.refused, f) {
		b.refused = append(b.refused, f)
	}
}

// DrainRefused returns the calls in quarantine that were refused since the last call of
// DrainRefused.
func (r *Router) DrainRefused() []crash.Fingerprint {
	list := r.crashes.refused
	r.crashes.refused = nil
	return list
}

// applyWatched applies the calls and trials of a grant.
func (r *Router) applyWatched(v *WatchedCallsChanged, e *Effects) {
	b := &r.crashes
	b.notes.acknowledge(v.Term, v.Acknowledged)
	b.watchedByLeader = v.Calls
	for _, x := range v.Calls {
		if x.Trial > b.lastTrial[x.Call] {
			b.lastTrial[x.Call] = x.Trial
			b.trials = append(b.trials, quarantineTrial{call: x.Call, number: x.Trial, until: r.now.Add(quarantineTrialDuration)})
		}
	}
	b.trials = slices.DeleteFunc(b.trials, func(t quarantineTrial) bool { return r.now >= t.until })
	r.enforceQuarantines(e)
}

// enforceQuarantines recomputes and enforces the quarantines: waiting calls are refused, those in
// flight end where they are.
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
		b.tracker.Attribute(f)
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

// watchLocalSuspects records answers to the calls that were in flight at recent crashes seen by
// this box.
func (r *Router) watchLocalSuspects() {
	b := &r.crashes
	for _, f := range b.tracker.SuspectsSince(r.now.Add(-localWatchDuration)) {
		b.suspects.add(f)
		b.watched.add(f.AnyCaller())
	}
	b.refreshWatchAt = r.now.Add(localWatchDuration)
}

// refuseWaitingQuarantined refuses the waiting calls in quarantine, and ends the search for a
// second target for those in flight.
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

// recordWatchedAnswer records that a target has answered a call that is a suspect or in quarantine.
// It is recorded once until the next grant or change: further answers add no information.
func (r *Router) recordWatchedAnswer(c *call, e *Effects) {
	b := &r.crashes
	if _, found := b.watched.match(c.identity); !found {
		return
	}
	f := crash.FingerprintOf(c.identity)
	if b.recordedAnswers[f] || len(b.recordedAnswers) >= maxRecordedAnswers {
		return
	}
	b.tracker.Record(b.notes.add(crash.Note{At: r.now, Suspects: []crash.Suspect{{Fingerprint: f}}}))
	r.requestNotesSend()
	b.localVerdicts = slices.DeleteFunc(b.localVerdicts, func(v localVerdict) bool { return v.call.Covers(f) })
	r.enforceQuarantines(e)
	b.recordedAnswers[f] = true
}

// judgeLocally quarantines calls by the box's own notes while no leader can.
func (r *Router) judgeLocally(e *Effects) {
	b := &r.crashes
	if r.now < r.leaseUntil || !b.tracker.HasPendingVerdict() {
		return
	}
	for _, v := range b.tracker.Evaluate(r.now) {
		b.localVerdicts = append(b.localVerdicts, localVerdict{call: v.Fingerprint, until: r.now.Add(localQuarantineDuration)})
		e.add(Effect{Kind: CallQuarantined, Verdict: &v})
	}
	r.enforceQuarantines(e)
}

// expireQuarantines drops quarantines and suspects that have expired.
func (r *Router) expireQuarantines(e *Effects) {
	b := &r.crashes
	r.judgeLocally(e)
	expired := slices.ContainsFunc(b.localVerdicts, func(v localVerdict) bool { return r.now >= v.until })
	if expired || len(b.watched.byHead) > 0 && r.now >= b.refreshWatchAt {
		r.enforceQuarantines(e)
	}
}
