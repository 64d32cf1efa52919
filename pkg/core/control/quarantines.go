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

// The leader collects what boxes note of crashes, finds the calls that are to blame and puts them
// into quarantine with a step of the log, so that the verdict outlives it. Notes that haven't
// led to a verdict live in its memory; boxes keep theirs and send them to its successor.

const (
	// quietLimit is for how long a call in quarantine must not have come until it is released:
	// whoever sent it has stopped, and an entry for it costs every box memory.
	quietLimit = time.Hour
	// maxSuspected bounds the suspects that grants name: some 30 bytes each, a few times a
	// second to each box.
	maxSuspected = 16
	// trialTime is how long grants name a trial to the box that may use it.
	trialTime = 5 * time.Second
)

// trialPauses are the times from the beginning of a quarantine, and from each trial, until one
// call is let through: if a target answers it, the verdict was wrong or the targets' software is
// mended. There are no more, since a call that is to blame costs a target each time. The first
// is for doubtful verdicts only: it is long enough for targets to start again, and a call
// that many send and that isn't to blame waits for no longer.
var trialPauses = []time.Duration{3 * time.Second, 2 * time.Minute, 20 * time.Minute}

// nextTrial returns which of the pauses comes next.
func nextTrial(q *table.Quarantine) int {
	if q.Doubtful {
		return q.Trials
	}
	return q.Trials + 1
}

// quarantineBook is what a leader knows of crashes and quarantines beside the table.
type quarantineBook struct {
	ledger *crash.Ledger
	// verdicts wait to stand in the table.
	verdicts []openVerdict
	// sightings tell of each quarantine how the call has come since.
	sightings map[crash.Fingerprint]*sighting
	// trials are those under way.
	trials []openTrial
	// watched are the calls that each grant names.
	watched []crash.Watched
	// changed is set when there is something new to judge, undecided while time alone may bring
	// a verdict.
	changed, undecided bool
}

// openTrial lets one box send a call in quarantine once.
type openTrial struct {
	call   crash.Fingerprint
	number int
	box    units.BoxID
	until  units.Instant
}

// openVerdict is a verdict that was proposed.
type openVerdict struct {
	crash.Verdict
	proposedAt units.Instant
}

// sighting is what a leader has seen of a call in quarantine.
type sighting struct {
	// record is the revision at which the quarantine began.
	record units.Revision
	// since is when this leader first knew of it, or the last trial began.
	since units.Instant
	// refusedAt is when a box last told that it refused the call, refusedBy that box.
	refusedAt units.Instant
	refusedBy units.BoxID
	// answered is set once a target has answered the call.
	answered bool
	// proposedAt is when a step was last proposed.
	proposedAt units.Instant
}

func newQuarantineBook() quarantineBook {
	return quarantineBook{ledger: crash.NewLedger(crash.Enough), sightings: map[crash.Fingerprint]*sighting{}, changed: true}
}

// busy tells whether the leader has something to decide soon.
func (b *quarantineBook) busy() bool { return b.undecided || len(b.verdicts) > 0 }

// sightingOf returns what is known of a quarantine.
func (r *Replica) sightingOf(q *table.Quarantine) *sighting {
	s := r.quarantines.sightings[q.Call]
	if s == nil || s.record != q.Since {
		s = &sighting{record: q.Since, since: r.now, refusedAt: r.now}
		r.quarantines.sightings[q.Call] = s
	}
	return s
}

// takeCrashNotes takes what a box has noted.
func (r *Replica) takeCrashNotes(request *wire.RenewRequest) {
	if len(request.CrashNotes)+len(request.Refused) == 0 {
		return
	}
	r.tickAt = r.now
	r.quarantines.changed = r.quarantines.changed || len(request.CrashNotes) > 0
	for _, n := range wire.ToCrashNotes(request, r.now) {
		r.quarantines.ledger.Take(n)
		if n.IsAnswer() {
			r.noteAnswered(n)
		}
	}
	for _, f := range wire.ToFingerprints(request.Refused) {
		if q := r.state.Table().Quarantine(f); q != nil {
			s := r.sightingOf(q)
			s.refusedAt, s.refusedBy = r.now, units.BoxID(request.Box.Id)
		}
	}
}

// noteAnswered takes that a target has answered a call: one that is in quarantine, or about to
// be, isn't to blame.
func (r *Replica) noteAnswered(n crash.Note) {
	for _, s := range n.Suspects {
		b := &r.quarantines
		b.verdicts = slices.DeleteFunc(b.verdicts, func(v openVerdict) bool { return v.Fingerprint.Covers(s.Fingerprint) })
		if q := r.state.Table().QuarantineCovering(s.Fingerprint); q != nil {
			r.sightingOf(q).answered = true
		}
	}
}

// advanceQuarantines proposes the steps that are due, on the leader.
func (r *Replica) advanceQuarantines(log *replication.Effects) {
	if !r.node.HasLease(r.now) {
		return
	}
	b := &r.quarantines
	if b.changed || b.busy() {
		b.changed = false
		r.judgeCalls(log)
		b.undecided = b.ledger.Undecided()
		b.watched = b.listWatched()
	}
	list := r.state.Table().Quarantines
	for i := range list {
		r.advanceQuarantine(&list[i], log)
	}
	maps.DeleteFunc(b.sightings, func(f crash.Fingerprint, _ *sighting) bool { return r.state.Table().Quarantine(f) == nil })
	b.trials = slices.DeleteFunc(b.trials, func(x openTrial) bool { return r.now >= x.until })
}

// judgeCalls finds calls that are to blame, and proposes their quarantines until they stand in
// the table.
func (r *Replica) judgeCalls(log *replication.Effects) {
	b := &r.quarantines
	t := r.state.Table()
	for i := range t.Quarantines {
		b.ledger.Explain(t.Quarantines[i].Call)
	}
	b.verdicts = slices.DeleteFunc(b.verdicts, func(v openVerdict) bool { return t.Quarantine(v.Fingerprint) != nil })
	for i := range b.verdicts {
		b.ledger.Explain(b.verdicts[i].Fingerprint)
	}
	for _, v := range b.ledger.Judge(r.now) {
		b.verdicts = append(b.verdicts, openVerdict{Verdict: v})
	}
	for i := range b.verdicts {
		v := &b.verdicts[i]
		if v.proposedAt != 0 && r.now.Sub(v.proposedAt) < retryPeriod {
			continue
		}
		v.proposedAt = r.now
		r.proposeQuarantine(table.QuarantineStep{
			Call: v.Fingerprint, Action: table.BeginQuarantine, Service: v.Service, Targets: v.Targets,
			Doubtful: v.Doubtful,
		}, log)
	}
}

// advanceQuarantine proposes the end of a quarantine or a trial, if one of them is due.
func (r *Replica) advanceQuarantine(q *table.Quarantine, log *replication.Effects) {
	s := r.sightingOf(q)
	if s.proposedAt != 0 && r.now.Sub(s.proposedAt) < retryPeriod {
		return
	}
	step := table.QuarantineStep{Call: q.Call}
	switch {
	case s.answered, r.now.Sub(s.refusedAt) >= quietLimit:
		step.Action = table.EndQuarantine
	case s.trialIsDue(q, r.now):
		step.Action, step.Trial = table.RecordQuarantineTrial, q.Trials+1
		s.since = r.now
		r.quarantines.trials = append(r.quarantines.trials, openTrial{
			call: q.Call, number: step.Trial, box: s.refusedBy, until: r.now.Add(trialTime),
		})
	default:
		return
	}
	s.proposedAt = r.now
	r.proposeQuarantine(step, log)
}

// trialIsDue tells whether a call may be let through at the box that has just refused it.
func (s *sighting) trialIsDue(q *table.Quarantine, now units.Instant) bool {
	n := nextTrial(q)
	return n < len(trialPauses) && now.Sub(s.since) >= trialPauses[n] && now.Sub(s.refusedAt) < trialTime && s.refusedBy != ""
}

func (r *Replica) proposeQuarantine(x table.QuarantineStep, log *replication.Effects) {
	x.Base = r.state.Table().Revision
	r.proposeCommand(&wire.Command{At: int64(r.wall), Kind: &wire.Command_Quarantine{Quarantine: wire.FromQuarantineStep(&x)}}, log)
}

// listWatched lists what every grant names. Verdicts are among it, so that a disk that stalls
// doesn't hold them up.
func (b *quarantineBook) listWatched() []crash.Watched {
	var list []crash.Watched
	for i := range b.verdicts {
		list = append(list, crash.Watched{Call: b.verdicts[i].Fingerprint, Quarantined: true})
	}
	for _, f := range b.ledger.Suspects(maxSuspected) {
		list = append(list, crash.Watched{Call: f})
	}
	return list
}

// watchedBy lists the calls that a grant to a box names. A trial is named once it is committed.
func (r *Replica) watchedBy(box units.BoxID) []*wire.WatchedCall {
	list := r.quarantines.watched
	for _, x := range r.quarantines.trials {
		q := r.state.Table().Quarantine(x.call)
		if x.box == box && r.now < x.until && q != nil && q.Trials == x.number {
			list = append(slices.Clip(list), crash.Watched{Call: x.call, Quarantined: true, Trial: x.number})
		}
	}
	return wire.FromWatched(list)
}

// lastNote is the number of the last note of a request.
func lastNote(request *wire.RenewRequest) uint64 {
	if n := len(request.CrashNotes); n > 0 {
		return request.CrashNotes[n-1].Number
	}
	return 0
}

// releaseCall takes an operator's order to end a quarantine.
func (r *Replica) releaseCall(v ReleaseOrdered, log *replication.Effects, e *Effects) {
	x := table.QuarantineStep{Call: v.Call, Action: table.EndQuarantine, Operator: v.Operator, Base: r.state.Table().Revision}
	c := &wire.Command{Kind: &wire.Command_Quarantine{Quarantine: wire.FromQuarantineStep(&x)}}
	r.submitCommand(v.Request, c, "release of the call "+v.Call.String(), log, e)
}

// applyQuarantine applies a step of the log; the error is the answer to an order that is refused.
func (r *Replica) applyQuarantine(x *table.QuarantineStep, at units.WallTime, e *Effects) (*table.Delta, error) {
	outcome, delta := r.state.ApplyQuarantine(x, at)
	if outcome == table.QuarantineSuperseded {
		return nil, fault.New(fault.Unavailable, "look at its present state and send the order again if it is still wanted",
			"the quarantine of %s began anew", x.Call)
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
		r.quarantines.ledger.Release(x.Call)
	}
	r.tickAt = r.now
	r.quarantines.changed = true
	return delta, nil
}

// QuarantineStatus is what a replica knows of a quarantine.
type QuarantineStatus struct {
	table.Quarantine
	// Name is the call's fingerprint as operators write it.
	Name string `json:"name"`
	// RefusedBefore is how long ago a box last refused the call, in ns; negative where this
	// replica doesn't know.
	RefusedBefore time.Duration `json:"refusedBefore"`
}

// QuarantineStatuses returns the calls in quarantine as this replica knows them.
func (r *Replica) QuarantineStatuses(now units.Instant) []QuarantineStatus {
	list := []QuarantineStatus{}
	for _, q := range r.state.Table().Quarantines {
		x := QuarantineStatus{Quarantine: q, Name: q.Call.String(), RefusedBefore: -1}
		if s := r.quarantines.sightings[q.Call]; s != nil && s.refusedBy != "" {
			x.RefusedBefore = now.Sub(s.refusedAt)
		}
		list = append(list, x)
	}
	return list
}
