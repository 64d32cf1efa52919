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

// livenessTracker records when registered targets last reported. Reports without new content aren't
// replicated: each replica forwards to the leader which targets have reported to it, and only the
// leader decides which have fallen silent.
type livenessTracker struct {
	// reported are the targets that have reported here since the last message to the leader;
	// forwardAt is when the next one is due.
	reported  map[units.TargetID]bool
	forwardAt units.Instant
	// lastReport is when each target last reported to any replica, as the leader knows it.
	lastReport map[units.TargetID]units.Instant
	// lastAnyReport is when any target at all last reported.
	lastAnyReport units.Instant
	// checkAt is when the leader next checks for silent targets.
	checkAt   units.Instant
	proposing bool
}

const (
	// reportForwardPeriod is how often a replica forwards to the leader which targets have
	// reported.
	reportForwardPeriod = 250 * time.Millisecond
	// silenceCheckPeriod is how often the leader checks for silent targets.
	silenceCheckPeriod = 500 * time.Millisecond
)

func newLivenessTracker() livenessTracker {
	return livenessTracker{reported: map[units.TargetID]bool{}, lastReport: map[units.TargetID]units.Instant{}}
}

// recordReport records that a target has reported to this replica.
func (r *Replica) recordReport(id units.TargetID) {
	if r.node.IsLeader() {
		r.updateLastReport(id)
		return
	}
	r.liveness.reported[id] = true
}

func (r *Replica) updateLastReport(id units.TargetID) {
	r.liveness.lastReport[id] = r.now
	r.liveness.lastAnyReport = r.now
}

// forwardReports sends the leader the targets that have reported to this replica.
func (r *Replica) forwardReports(log *replication.Effects) {
	if r.now < r.liveness.forwardAt || len(r.liveness.reported) == 0 {
		return
	}
	r.liveness.forwardAt = r.now.Add(reportForwardPeriod)
	m := &wire.HeardRequest{}
	for _, id := range slices.Sorted(maps.Keys(r.liveness.reported)) {
		if r.node.IsLeader() {
			r.updateLastReport(id)
		}
		m.Targets = append(m.Targets, string(id))
	}
	clear(r.liveness.reported)
	r.sendToLeader(&wire.Envelope_HeardRequest{HeardRequest: m}, log)
}

func (r *Replica) receiveForwardedReports(m *wire.HeardRequest) {
	for _, id := range m.Targets {
		r.updateLastReport(units.TargetID(id))
	}
}

// proposeSilence proposes which targets have fallen silent, or have reported again. A new leader
// treats all targets as having reported when its leadership began. While no target at all reports,
// the fault is more likely on this side than with every target, so none is proposed as silent.
func (r *Replica) proposeSilence(log *replication.Effects) {
	h := &r.liveness
	if r.settings.SilentAfter == 0 || r.now < h.checkAt || h.proposing || !r.node.HasLease(r.now) {
		return
	}
	h.checkAt = r.now.Add(silenceCheckPeriod)
	if r.now.Sub(max(h.lastAnyReport, r.leaderSince)) > r.settings.SilentAfter/2 {
		return
	}
	m := &wire.Silence{}
	r.state.EachRegistration(func(t *table.Registration) {
		silent := r.now.Sub(max(h.lastReport[t.Target], r.leaderSince)) > r.settings.SilentAfter
		if silent && !t.Silent {
			m.Silent = append(m.Silent, string(t.Target))
		}
		if !silent && t.Silent && h.lastReport[t.Target] > r.leaderSince {
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

// EachTarget calls f with every registered target and the time since its last report as this leader
// knows it; that time is negative where there was none.
func (r *Replica) EachTarget(now units.Instant, f func(t *table.Registration, heard time.Duration)) {
	r.state.EachRegistration(func(t *table.Registration) {
		heard := time.Duration(-1)
		if last := r.liveness.lastReport[t.Target]; last != 0 && r.node.IsLeader() {
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
