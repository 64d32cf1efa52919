package control

import (
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// hearingBook is what is known of when registered targets last reported. Reports
// that say nothing new are in no log: each replica passes on to the leader whom it
// has heard, and the leader alone says who has fallen silent.
type hearingBook struct {
	// heard are the targets heard here since the leader was last told.
	heard  map[units.TargetID]bool
	tellAt units.Instant
	// last is when each target was last heard by anybody, as the leader knows it.
	last map[units.TargetID]units.Instant
	// heardAny is when any target at all was last heard.
	heardAny units.Instant
	// checkAt is when the leader next looks for silent targets.
	checkAt   units.Instant
	proposing bool
}

const (
	// tellPeriod is how often a replica passes on whom it has heard.
	tellPeriod = 250 * time.Millisecond
	// silenceCheckPeriod is how often the leader looks for silent targets.
	silenceCheckPeriod = 500 * time.Millisecond
)

func newHearingBook() hearingBook {
	return hearingBook{heard: map[units.TargetID]bool{}, last: map[units.TargetID]units.Instant{}}
}

// hear notes that a target has reported here.
func (r *Replica) hear(id units.TargetID) {
	if r.node.IsLeader() {
		r.noteHeard(id)
		return
	}
	r.hearing.heard[id] = true
}

func (r *Replica) noteHeard(id units.TargetID) {
	r.hearing.last[id] = r.now
	r.hearing.heardAny = r.now
}

// tellHeard passes on to the leader whom this replica has heard.
func (r *Replica) tellHeard(log *replication.Effects) {
	if r.now < r.hearing.tellAt || len(r.hearing.heard) == 0 {
		return
	}
	r.hearing.tellAt = r.now.Add(tellPeriod)
	m := &wire.HeardRequest{}
	for _, id := range slices.Sorted(maps.Keys(r.hearing.heard)) {
		if r.node.IsLeader() {
			r.noteHeard(id)
		}
		m.Targets = append(m.Targets, string(id))
	}
	clear(r.hearing.heard)
	r.sendToLeader(&wire.Envelope_HeardRequest{HeardRequest: m}, log)
}

func (r *Replica) takeHeard(m *wire.HeardRequest) {
	for _, id := range m.Targets {
		r.noteHeard(units.TargetID(id))
	}
}

// noteSilence proposes which targets have fallen silent, or are heard again. A new
// leader takes all targets as heard when it began to lead. While no target at all is
// heard, the fault is more likely here than with all of them.
func (r *Replica) noteSilence(log *replication.Effects) {
	h := &r.hearing
	if r.settings.SilentAfter == 0 || r.now < h.checkAt || h.proposing || !r.node.HasLease(r.now) {
		return
	}
	h.checkAt = r.now.Add(silenceCheckPeriod)
	if r.now.Sub(max(h.heardAny, r.leaderSince)) > r.settings.SilentAfter/2 {
		return
	}
	m := &wire.Silence{}
	r.state.EachRegistration(func(t *table.Registration) {
		silent := r.now.Sub(max(h.last[t.Target], r.leaderSince)) > r.settings.SilentAfter
		if silent && !t.Silent {
			m.Silent = append(m.Silent, string(t.Target))
		}
		if !silent && t.Silent && h.last[t.Target] > r.leaderSince {
			m.Heard = append(m.Heard, string(t.Target))
		}
	})
	if len(m.Silent)+len(m.Heard) == 0 {
		return
	}
	slices.Sort(m.Silent)
	slices.Sort(m.Heard)
	h.proposing = r.proposeCommand(&wire.Command{At: int64(r.wall), Kind: &wire.Command_Silence{Silence: m}}, log)
}

// EachTarget calls f with every registered target and how long ago this leader last
// heard of it, which is negative where it hasn't.
func (r *Replica) EachTarget(now units.Instant, f func(t *table.Registration, heard time.Duration)) {
	r.state.EachRegistration(func(t *table.Registration) {
		heard := time.Duration(-1)
		if last := r.hearing.last[t.Target]; last != 0 && r.node.IsLeader() {
			heard = now.Sub(last)
		}
		f(t, heard)
	})
}

func targetIDs(ids []string) []units.TargetID {
	out := make([]units.TargetID, 0, len(ids))
	for _, id := range ids {
		out = append(out, units.TargetID(id))
	}
	return out
}
