package control

import (
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// The leader collects the boxes' crash notes, finds the calls that are to blame and quarantines them
// with a log entry, so that the verdict outlives its leadership. Notes that haven't led to a verdict
// are only in its memory; boxes keep their own notes and send them to its successor.

const (
	// quarantineIdleTimeout is how long a quarantined call must not have been sent before it is
	// released: its sender has stopped, and every entry costs memory on every box.
	quarantineIdleTimeout = time.Hour
	// maxWatchedSuspects bounds the suspects that each grant lists: about 30 bytes each, a few
	// times a second to each box.
	maxWatchedSuspects = 16
	// trialWindow is how long grants offer a trial to the box that may use it, and how recently a
	// box must have refused the call to get one.
	trialWindow = 5 * time.Second
)

// trialDelays are the delays from the beginning of a quarantine, and then from each trial, until
// one call is let through: if a target answers it, the verdict was wrong or the targets' software
// has been fixed. There are no further trials, since a call that is to blame costs a target each
// time. The first delay applies to doubtful verdicts only: it is long enough for targets to
// restart, and a frequent call that isn't to blame is blocked for no longer.
var trialDelays = []time.Duration{3 * time.Second, 2 * time.Minute, 20 * time.Minute}

// nextTrialDelay returns the index in trialDelays of a quarantine's next delay.
func nextTrialDelay(q *table.Quarantine) int {
	if q.Doubtful {
		return q.Trials
	}
	return q.Trials + 1
}

// quarantineTracker is what a leader knows of crashes and quarantines in addition to the table.
type quarantineTracker struct {
	// crashes are those that the boxes have reported.
	crashes *crash.Tracker
	// verdicts are those that aren't in the table yet.
	verdicts []pendingVerdict
	// observations are what boxes have reported of each quarantined call.
	observations map[crash.Fingerprint]*callObservation
	// trials are those in progress.
	trials []activeTrial
	// watched are the calls that every grant lists.
	watched []crash.WatchedCall
	// changed is set when there are new notes or quarantines to evaluate, hasPendingVerdict while a
	// verdict may follow without a new note.
	changed, hasPendingVerdict bool
}

// activeTrial lets one box send a quarantined call once.
type activeTrial struct {
	call   crash.Fingerprint
	number int
	box    units.BoxID
	until  units.Instant
}

// pendingVerdict is a verdict whose quarantine isn't in the table yet.
type pendingVerdict struct {
	crash.Verdict
	proposedAt units.Instant
}

// callObservation is what a leader knows of a quarantined call.
type callObservation struct {
	// quarantinedAt is the revision at which the quarantine began.
	quarantinedAt units.Revision
	// delayStart is when the delay before the next trial began: when this leader first knew of the
	// quarantine, or when the last trial began.
	delayStart units.Instant
	// refusedAt is when a box last reported that it refused the call, refusedBy is that box.
	refusedAt units.Instant
	refusedBy units.BoxID
	// answered is set once a target has answered the call.
	answered bool
	// proposedAt is when a step was last proposed.
	proposedAt units.Instant
}

func newQuarantineTracker() quarantineTracker {
	return quarantineTracker{crashes: crash.NewTracker(crash.CrashesToBlame), observations: map[crash.Fingerprint]*callObservation{}, changed: true}
}

// busy reports whether the leader may have something to decide soon.
func (t *quarantineTracker) busy() bool { return t.hasPendingVerdict || len(t.verdicts) > 0 }

// observationOf returns the observation of a quarantined call, a new one if there is none.
func (r *Replica) observationOf(q *table.Quarantine) *callObservation {
	s := r.quarantines.observations[q.Call]
	if s == nil || s.quarantinedAt != q.Since {
		s = &callObservation{quarantinedAt: q.Since, delayStart: r.now, refusedAt: r.now}
		r.quarantines.observations[q.Call] = s
	}
	return s
}

// recordCrashNotes records the crash notes and the refused calls that a box reports.
func (r *Replica) recordCrashNotes(request *wire.RenewRequest) {
	if len(request.CrashNotes)+len(request.Refused) == 0 {
		return
	}
	r.tickAt = r.now
	r.quarantines.changed = r.quarantines.changed || len(request.CrashNotes) > 0
	for _, n := range wire.ToCrashNotes(request, r.now) {
		r.quarantines.crashes.Record(n)
		if n.IsAnswer() {
			r.recordAnswered(n)
		}
	}
	for _, f := range wire.ToFingerprints(request.Refused) {
		if q := r.state.Table().Quarantine(f); q != nil {
			s := r.observationOf(q)
			s.refusedAt, s.refusedBy = r.now, units.BoxID(request.Box.Id)
		}
	}
}

// recordAnswered records that a target has answered a call: if that call is in quarantine, or about
// to be, it isn't to blame.
func (r *Replica) recordAnswered(n crash.Note) {
	for _, s := range n.Suspects {
		tracker := &r.quarantines
		tracker.verdicts = slices.DeleteFunc(tracker.verdicts, func(v pendingVerdict) bool { return v.Fingerprint.Covers(s.Fingerprint) })
		if q := r.state.Table().QuarantineCovering(s.Fingerprint); q != nil {
			r.observationOf(q).answered = true
		}
	}
}

// advanceQuarantines proposes the due steps of quarantines, on the leader.
func (r *Replica) advanceQuarantines(log *replication.Effects) {
	if !r.node.HasLease(r.now) {
		return
	}
	tracker := &r.quarantines
	if tracker.changed || tracker.busy() {
		tracker.changed = false
		r.proposeQuarantines(log)
		tracker.hasPendingVerdict = tracker.crashes.HasPendingVerdict()
		tracker.watched = tracker.watchedCalls()
	}
	list := r.state.Table().Quarantines
	for i := range list {
		r.advanceQuarantine(&list[i], log)
	}
	maps.DeleteFunc(tracker.observations, func(f crash.Fingerprint, _ *callObservation) bool { return r.state.Table().Quarantine(f) == nil })
	tracker.trials = slices.DeleteFunc(tracker.trials, func(x activeTrial) bool { return r.now >= x.until })
}

// proposeQuarantines finds the calls that are to blame for crashes, and proposes their quarantines
// until they are in the table.
func (r *Replica) proposeQuarantines(log *replication.Effects) {
	tracker := &r.quarantines
	t := r.state.Table()
	for i := range t.Quarantines {
		tracker.crashes.Attribute(t.Quarantines[i].Call)
	}
	tracker.verdicts = slices.DeleteFunc(tracker.verdicts, func(v pendingVerdict) bool { return t.Quarantine(v.Fingerprint) != nil })
	for i := range tracker.verdicts {
		tracker.crashes.Attribute(tracker.verdicts[i].Fingerprint)
	}
	for _, v := range tracker.crashes.Evaluate(r.now) {
		tracker.verdicts = append(tracker.verdicts, pendingVerdict{Verdict: v})
	}
	for i := range tracker.verdicts {
		v := &tracker.verdicts[i]
		if v.proposedAt != 0 && r.now.Sub(v.proposedAt) < retryPeriod {
			continue
		}
		v.proposedAt = r.now
		r.proposeQuarantineStep(table.QuarantineStep{
			Call: v.Fingerprint, Action: table.BeginQuarantine, Service: v.Service, Targets: v.Targets,
			Doubtful: v.Doubtful,
		}, log)
	}
}

// advanceQuarantine proposes the end of a quarantine or a trial, if one of them is due.
func (r *Replica) advanceQuarantine(q *table.Quarantine, log *replication.Effects) {
	s := r.observationOf(q)
	if s.proposedAt != 0 && r.now.Sub(s.proposedAt) < retryPeriod {
		return
	}
	step := table.QuarantineStep{Call: q.Call}
	switch {
	case s.answered, r.now.Sub(s.refusedAt) >= quarantineIdleTimeout:
		step.Action = table.EndQuarantine
	case s.trialIsDue(q, r.now):
		step.Action, step.Trial = table.RecordQuarantineTrial, q.Trials+1
		s.delayStart = r.now
		r.quarantines.trials = append(r.quarantines.trials, activeTrial{
			call: q.Call, number: step.Trial, box: s.refusedBy, until: r.now.Add(trialWindow),
		})
	default:
		return
	}
	s.proposedAt = r.now
	r.proposeQuarantineStep(step, log)
}

// trialIsDue reports whether one call may be let through at the box that has just refused it.
func (s *callObservation) trialIsDue(q *table.Quarantine, now units.Instant) bool {
	n := nextTrialDelay(q)
	return n < len(trialDelays) && now.Sub(s.delayStart) >= trialDelays[n] && now.Sub(s.refusedAt) < trialWindow && s.refusedBy != ""
}

func (r *Replica) proposeQuarantineStep(x table.QuarantineStep, log *replication.Effects) {
	x.Base = r.state.Table().Revision
	r.proposeCommand(&wire.Command{At: int64(r.wall), Kind: &wire.Command_Quarantine{Quarantine: wire.FromQuarantineStep(&x)}}, log)
}

// watchedCalls returns the calls that every grant lists. Verdicts are included, so that a stalled
// disk doesn't delay them.
func (t *quarantineTracker) watchedCalls() []crash.WatchedCall {
	var list []crash.WatchedCall
	for i := range t.verdicts {
		list = append(list, crash.WatchedCall{Call: t.verdicts[i].Fingerprint, Quarantined: true})
	}
	for _, f := range t.crashes.Suspects(maxWatchedSuspects) {
		list = append(list, crash.WatchedCall{Call: f})
	}
	return list
}

// watchedFor returns the calls that a grant to a box lists. A trial is listed once it is committed.
func (r *Replica) watchedFor(box units.BoxID) []*wire.WatchedCall {
	list := r.quarantines.watched
	for _, x := range r.quarantines.trials {
		q := r.state.Table().Quarantine(x.call)
		if x.box == box && r.now < x.until && q != nil && q.Trials == x.number {
			list = append(slices.Clip(list), crash.WatchedCall{Call: x.call, Quarantined: true, Trial: x.number})
		}
	}
	return wire.FromWatchedCalls(list)
}

// lastNoteNumber returns the number of the last crash note of a request, or 0.
func lastNoteNumber(request *wire.RenewRequest) uint64 {
	if n := len(request.CrashNotes); n > 0 {
		return request.CrashNotes[n-1].Number
	}
	return 0
}

// submitRelease accepts an operator's order to end a quarantine.
func (r *Replica) submitRelease(v ReleaseOrdered, log *replication.Effects, e *Effects) {
	x := table.QuarantineStep{Call: v.Call, Action: table.EndQuarantine, Operator: v.Operator, Base: r.state.Table().Revision}
	c := &wire.Command{Kind: &wire.Command_Quarantine{Quarantine: wire.FromQuarantineStep(&x)}}
	r.submitCommand(v.Request, c, "release of the call "+v.Call.String(), log, e)
}

// applyQuarantine applies a committed step of a quarantine; the error is the answer to an order
// that is refused.
func (r *Replica) applyQuarantine(x *table.QuarantineStep, at units.WallTime, e *Effects) (*table.Delta, error) {
	outcome, delta := r.state.ApplyQuarantine(x, at)
	if outcome == table.QuarantineSuperseded {
		return nil, fault.New(fault.Unavailable, "check its current state and send the order again if it is still wanted",
			"a new quarantine of %s has begun since", x.Call)
	}
	if delta == nil {
		return nil, nil
	}
	kinds := map[table.QuarantineAction]ChangeKind{
		table.BeginQuarantine: CallQuarantined, table.RecordQuarantineTrial: CallTried, table.EndQuarantine: CallReleased,
	}
	e.Changes = append(e.Changes, Change{
		Kind: kinds[x.Action], Call: x.Call, Targets: x.Targets, Trial: x.Trial, Operator: x.Operator, Revision: delta.Revision,
	})
	if x.Action == table.EndQuarantine {
		r.quarantines.crashes.Release(x.Call)
	}
	r.tickAt = r.now
	r.quarantines.changed = true
	return delta, nil
}

// QuarantineStatus is a quarantine as a replica knows it.
type QuarantineStatus struct {
	table.Quarantine
	// Name is the call's fingerprint as operators write it.
	Name string `json:"name"`
	// SinceRefusal is the time since a box last refused the call, in ns; negative where this
	// replica doesn't know it.
	SinceRefusal time.Duration `json:"refusedBefore"`
}

// QuarantineStatuses returns the quarantined calls as this replica knows them.
func (r *Replica) QuarantineStatuses(now units.Instant) []QuarantineStatus {
	list := []QuarantineStatus{}
	for _, q := range r.state.Table().Quarantines {
		x := QuarantineStatus{Quarantine: q, Name: q.Call.String(), SinceRefusal: -1}
		if s := r.quarantines.observations[q.Call]; s != nil && s.refusedBy != "" {
			x.SinceRefusal = now.Sub(s.refusedAt)
		}
		list = append(list, x)
	}
	return list
}
