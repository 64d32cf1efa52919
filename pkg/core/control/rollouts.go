package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// RolloutSettings say whether rollouts may be ordered, and their limits.
type RolloutSettings struct {
	// Enabled lets the replicas track which version of each service is in force, and accept orders.
	// It must be the same on all replicas.
	Enabled bool
	Limits  rollout.Limits
}

const (
	// exposureLease is how long after its request a box may send calls to a new version. It is
	// longer than two request intervals of the box, and short compared with the time within which a
	// bad version must get its last call.
	exposureLease = time.Second
	// persistPeriod is how often a leader replicates the elapsed time of a rollout, so that the
	// loss of all replicas' processes makes the rollout longer by at most this period.
	persistPeriod = 2 * time.Second
	// softwareCheckPeriod is how often a leader looks for services without a version in force. Each search
	// iterates over all registered targets; calls of a service whose version in force has no target
	// left are refused until another version is in force.
	softwareCheckPeriod = 500 * time.Millisecond
	// missingTargetsTimeout is how long no target of the version in force may be registered before
	// the most common registered version takes its place. Targets that are replaced one after the
	// other, or that restart together, are back sooner.
	missingTargetsTimeout = 5 * time.Second
)

// rolloutTracker is what a replica knows of rollouts in addition to the table.
type rolloutTracker struct {
	// started is when the last rollout of each service was ordered, on this replica's monotonic
	// clock.
	started map[units.ServiceName]startedRollout
	// monitors are the leader's monitors of the rollouts in progress.
	monitors map[units.ServiceName]*rolloutMonitor
	// softwareCheckAt is when the leader next looks for services without a version in force.
	// allInForceAt is the revision at which all services had one; targetsMissingSince is since when
	// no target of a service's version in force has been registered.
	softwareCheckAt     units.Instant
	allInForceAt        units.Revision
	targetsMissingSince map[units.ServiceName]units.Instant
}

type startedRollout struct {
	order units.Revision
	at    units.Instant
}

// rolloutMonitor is a leader's monitor of a rollout: it collects the boxes' evidence and decides the
// next step.
type rolloutMonitor struct {
	*rollout.Monitor
	// proposedAt is when the last step was proposed, persistAt is when the elapsed time is next
	// replicated.
	proposedAt, persistAt units.Instant
	// rollingBack is set once the leader has decided to roll back: from then on it grants no
	// exposure, however long the step takes to reach a quorum.
	rollingBack bool
}

func newRolloutTracker() rolloutTracker {
	t := rolloutTracker{started: map[units.ServiceName]startedRollout{}}
	t.clearLeaderState()
	return t
}

// clearLeaderState drops the state that only a leader has.
func (t *rolloutTracker) clearLeaderState() {
	t.monitors = map[units.ServiceName]*rolloutMonitor{}
	t.targetsMissingSince = map[units.ServiceName]units.Instant{}
	t.allInForceAt = 0
}

// busy reports whether this replica decides on a rollout in progress.
func (t *rolloutTracker) busy() bool { return len(t.monitors) > 0 }

// updateRecord updates the state of a rollout from its replicated record. Of the start times that
// its records imply, the earliest is kept, since each record arrives a little after the time that
// it states.
func (t *rolloutTracker) updateRecord(x *table.Rollout, now units.Instant) {
	at := now.Add(-x.Elapsed)
	if start, ok := t.started[x.Service]; ok && start.order == x.Order {
		at = min(at, start.at)
	}
	t.started[x.Service] = startedRollout{order: x.Order, at: at}
	if w := t.monitors[x.Service]; w != nil && w.Order() == x.Order {
		w.Update(*x)
		w.proposedAt = 0
	}
}

// elapsed returns the time since a rollout was ordered.
func (r *Replica) elapsed(x *table.Rollout) time.Duration {
	start, ok := r.rollouts.started[x.Service]
	if !ok || start.order != x.Order {
		r.rollouts.updateRecord(x, r.now)
		start = r.rollouts.started[x.Service]
	}
	return r.now.Sub(start.at)
}

// monitorOf returns the leader's monitor of a rollout in progress.
func (r *Replica) monitorOf(x *table.Rollout) *rolloutMonitor {
	w := r.rollouts.monitors[x.Service]
	if w == nil || w.Order() != x.Order {
		w = &rolloutMonitor{Monitor: rollout.NewMonitor(*x, r.settings.Rollouts.Limits), persistAt: r.now.Add(persistPeriod)}
		r.rollouts.monitors[x.Service] = w
	}
	return w
}

// eachActive calls f with every rollout in progress.
func (r *Replica) eachActive(f func(*table.Rollout, *rolloutMonitor)) {
	list := r.state.Table().Rollouts
	for i := range list {
		if list[i].Active() {
			f(&list[i], r.monitorOf(&list[i]))
		}
	}
}

// recordEvidence records the answers that a box has observed from each version.
func (r *Replica) recordEvidence(request *wire.RenewRequest) {
	if len(r.state.Table().Rollouts) == 0 {
		return
	}
	report := rollout.Report{
		Box: units.BoxID(request.Box.Id), Start: request.Start, Revision: units.Revision(request.Revision),
		Evidence: wire.ToEvidence(request.Evidence),
	}
	r.eachActive(func(x *table.Rollout, w *rolloutMonitor) { w.RecordReport(r.elapsed(x), report) })
}

// exposures returns the exposures that a grant carries: one for each rollout in progress whose new
// version may get calls.
func (r *Replica) exposures() []*wire.Exposure {
	var list []*wire.Exposure
	r.eachActive(func(x *table.Rollout, w *rolloutMonitor) {
		if w.rollingBack || x.Stage == table.RolloutTrial && len(x.Targets) == 0 {
			return
		}
		share := w.Share(r.elapsed(x), r.now.Sub(r.leaderSince), r.rolloutPlan(x))
		list = append(list, wire.FromExposure(rollout.Exposure{Service: x.Service, Order: x.Order, Since: x.Since, Share: share}, exposureLease))
	})
	return list
}

// advanceRollouts proposes the due steps of rollouts, on the leader.
func (r *Replica) advanceRollouts(log *replication.Effects) {
	if !r.settings.Rollouts.Enabled || !r.node.HasLease(r.now) {
		return
	}
	r.proposeSoftwareInForce(log)
	maps.DeleteFunc(r.rollouts.monitors, func(name units.ServiceName, w *rolloutMonitor) bool {
		x := r.state.Table().Rollout(name)
		return !x.Active() || x.Order != w.Order()
	})
	r.eachActive(func(x *table.Rollout, w *rolloutMonitor) {
		if r.now.Sub(w.proposedAt) >= retryPeriod {
			r.advanceRollout(x, w, log)
		}
	})
}

// advanceRollout proposes a rollout's next step if one is due, or else replicates its elapsed time.
func (r *Replica) advanceRollout(x *table.Rollout, w *rolloutMonitor, log *replication.Effects) {
	input := &rollout.DecisionInput{
		Elapsed: r.elapsed(x), LeaderFor: r.now.Sub(r.leaderSince), Plan: r.rolloutPlan(x), Boxes: boxIDs(r.liveBoxes()),
		Old: r.candidates(x.Service, x.From), New: r.candidates(x.Service, x.To),
	}
	step := w.Decide(input)
	if step == nil && r.now >= w.persistAt {
		step = &table.RolloutStep{Service: x.Service, Order: x.Order, Stage: x.Stage, Share: x.Share, Targets: x.Targets, Elapsed: input.Elapsed}
	}
	if step == nil {
		return
	}
	w.persistAt = r.now.Add(persistPeriod)
	w.proposedAt = r.now
	w.rollingBack = w.rollingBack || step.Stage == table.RolloutRolledBack
	r.proposeCommand(&wire.Command{At: int64(r.wall), Kind: &wire.Command_RolloutStep{RolloutStep: wire.FromRolloutStep(step)}}, log)
}

// rolloutPlan returns the plan of a rollout, based on the longest deadline of the service's calls.
func (r *Replica) rolloutPlan(x *table.Rollout) rollout.Plan {
	t := r.state.Table()
	longest := time.Duration(0)
	if entry := t.Services[x.Service]; entry != nil {
		longest = entry.Service.Deadline
	}
	for _, route := range t.Routes {
		if slices.ContainsFunc(route.Services, func(p table.WeightedService) bool { return p.Service == x.Service }) {
			longest = max(longest, route.Deadline)
		}
	}
	return rollout.NewPlan(x.Duration, longest)
}

// candidates returns the targets of a version that are available now.
func (r *Replica) candidates(service units.ServiceName, software units.SoftwareVersion) rollout.Candidates {
	var candidates rollout.Candidates
	r.state.EachRegistration(func(t *table.Registration) {
		if t.Service != service || t.Software != software || t.State != table.Active || t.Silent || r.state.Table().Evacuated(t.Domain) {
			return
		}
		candidates = append(candidates, rollout.Candidate{Target: t.Target, Domain: t.Domain, Slots: t.Slots, Cold: t.Cold > 0})
	})
	return candidates
}

func boxIDs(boxes []table.Box) []units.BoxID {
	ids := make([]units.BoxID, 0, len(boxes))
	for _, b := range boxes {
		ids = append(ids, b.ID)
	}
	return ids
}

// proposeSoftwareInForce proposes a version in force for services that have none, or whose version
// in force has had no registered target for a while.
func (r *Replica) proposeSoftwareInForce(log *replication.Effects) {
	tracker := &r.rollouts
	t := r.state.Table()
	if r.now < tracker.softwareCheckAt || tracker.allInForceAt == t.Revision {
		return
	}
	tracker.softwareCheckAt = r.now.Add(softwareCheckPeriod)
	tracker.allInForceAt = t.Revision
	registered := r.registeredSoftware()
	for _, service := range slices.Sorted(maps.Keys(registered)) {
		current := t.SoftwareInForce(service)
		if t.Services[service] == nil || registered[service][current] > 0 {
			delete(tracker.targetsMissingSince, service)
			continue
		}
		tracker.allInForceAt = 0
		if current != "" && !r.targetsMissingTooLong(service) {
			continue
		}
		o := &table.RolloutOrder{Service: service, To: mostCommon(registered[service])}
		r.proposeCommand(&wire.Command{At: int64(r.wall), Kind: &wire.Command_Rollout{Rollout: wire.FromRolloutOrder(o)}}, log)
	}
}

// targetsMissingTooLong reports whether no target of the version in force has been registered for
// missingTargetsTimeout.
func (r *Replica) targetsMissingTooLong(service units.ServiceName) bool {
	since, ok := r.rollouts.targetsMissingSince[service]
	if !ok {
		r.rollouts.targetsMissingSince[service] = r.now
		return false
	}
	return r.now.Sub(since) >= missingTargetsTimeout
}

// registeredSoftware counts the registered targets of each service by version. Targets that don't
// report a version aren't counted.
func (r *Replica) registeredSoftware() map[units.ServiceName]map[units.SoftwareVersion]int {
	counts := map[units.ServiceName]map[units.SoftwareVersion]int{}
	r.state.EachRegistration(func(t *table.Registration) {
		if t.Software == "" {
			return
		}
		if counts[t.Service] == nil {
			counts[t.Service] = map[units.SoftwareVersion]int{}
		}
		counts[t.Service][t.Software]++
	})
	return counts
}

// mostCommon returns the version that most targets run; ties go to the first by name.
func mostCommon(versions map[units.SoftwareVersion]int) units.SoftwareVersion {
	return slices.MaxFunc(slices.Sorted(maps.Keys(versions)), func(a, b units.SoftwareVersion) int {
		return cmp.Compare(versions[a], versions[b])
	})
}

// RolloutStatus is a rollout as a replica knows it; only the leader has the answer counts.
type RolloutStatus struct {
	table.Rollout
	// ElapsedNow is the time since the order, in ns; it no longer grows once the rollout has ended.
	ElapsedNow time.Duration `json:"elapsedNow"`
	// New and Old are the answer counts of both versions.
	New AnswerCounts `json:"new"`
	Old AnswerCounts `json:"old"`
}

// AnswerCounts are the numbers of a version's good and bad answers during a rollout.
type AnswerCounts struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (r *Replica) rolloutStatuses(now units.Instant) []RolloutStatus {
	var list []RolloutStatus
	for _, x := range r.state.Table().Rollouts {
		s := RolloutStatus{Rollout: x, ElapsedNow: x.Elapsed}
		if start, ok := r.rollouts.started[x.Service]; ok && start.order == x.Order && x.Active() {
			s.ElapsedNow = now.Sub(start.at)
		}
		if w := r.rollouts.monitors[x.Service]; w != nil && w.Order() == x.Order {
			total := w.Total()
			s.New = AnswerCounts{Good: total.New.Successes, Bad: total.New.Failures}
			s.Old = AnswerCounts{Good: total.Old.Successes, Bad: total.Old.Failures}
		}
		list = append(list, s)
	}
	return list
}
