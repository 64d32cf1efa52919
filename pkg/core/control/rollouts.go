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

// RolloutSettings say whether and within what limits rollouts may be ordered.
type RolloutSettings struct {
	// Enabled has the replicas note which version of each service is in force, and take
	// orders. It must be the same on all of them.
	Enabled bool
	Limits  rollout.Limits
}

const (
	// exposureLease is how long a box may send calls to a new version after it asked. It is
	// more than two of the box's requests, and little beside the time in which a bad
	// version must get its last call.
	exposureLease = time.Second
	// elapsedPeriod is how often a leader writes down how much of a rollout's time is over,
	// so that a loss of all replicas' processes makes the rollout at most so much longer.
	elapsedPeriod = 2 * time.Second
	// adoptPeriod is how often a leader looks for services without a version in force.
	// Each look goes over all registered targets, and calls of a service whose version in force
	// has no target left are refused until it is done.
	adoptPeriod = 500 * time.Millisecond
	// emptyLimit is how long no target of the version in force may be registered until the
	// version of those that are there takes its place. Targets that are replaced one after
	// the other, or start again together, are back sooner.
	emptyLimit = 5 * time.Second
)

// rolloutBook is what a replica knows of rollouts beside the table.
type rolloutBook struct {
	// started is when each last rollout was ordered, by this replica's steady clock.
	started map[units.ServiceName]startedRollout
	// watches are the leader's, of the rollouts under way.
	watches map[units.ServiceName]*rolloutWatch
	// adoptAt is when the leader next looks for services without a version in force, adopted
	// the revision at which all had one; empty is since when no target of the one in force
	// has been registered.
	adoptAt units.Instant
	adopted units.Revision
	empty   map[units.ServiceName]units.Instant
}

type startedRollout struct {
	order units.Revision
	at    units.Instant
}

// rolloutWatch is a leader's watch of a rollout.
type rolloutWatch struct {
	*rollout.Watch
	// proposedAt is when the last step was proposed, persistAt when the time is next noted.
	proposedAt, persistAt units.Instant
	// rollingBack is set once the leader has decided to roll back: from then on it grants no
	// exposure, however long the step takes to reach a quorum.
	rollingBack bool
}

func newRolloutBook() rolloutBook {
	b := rolloutBook{started: map[units.ServiceName]startedRollout{}}
	b.forgetLeadership()
	return b
}

// forgetLeadership drops what only a leader knows.
func (b *rolloutBook) forgetLeadership() {
	b.watches = map[units.ServiceName]*rolloutWatch{}
	b.empty = map[units.ServiceName]units.Instant{}
	b.adopted = 0
}

// busy tells whether this replica decides on a rollout under way.
func (b *rolloutBook) busy() bool { return len(b.watches) > 0 }

// noteRecord takes a rollout's record. The earliest order that fits counts, since each
// record comes a little after the time that it tells.
func (b *rolloutBook) noteRecord(x *table.Rollout, now units.Instant) {
	at := now.Add(-x.Elapsed)
	if held, known := b.started[x.Service]; known && held.order == x.Order {
		at = min(at, held.at)
	}
	b.started[x.Service] = startedRollout{order: x.Order, at: at}
	if w := b.watches[x.Service]; w != nil && w.Order() == x.Order {
		w.Update(*x)
		w.proposedAt = 0
	}
}

// elapsed is how much time has passed since a rollout was ordered.
func (r *Replica) elapsed(x *table.Rollout) time.Duration {
	held, known := r.rollouts.started[x.Service]
	if !known || held.order != x.Order {
		r.rollouts.noteRecord(x, r.now)
		held = r.rollouts.started[x.Service]
	}
	return r.now.Sub(held.at)
}

// watched returns the leader's watch of a rollout under way.
func (r *Replica) watched(x *table.Rollout) *rolloutWatch {
	w := r.rollouts.watches[x.Service]
	if w == nil || w.Order() != x.Order {
		w = &rolloutWatch{Watch: rollout.NewWatch(*x, r.settings.Rollouts.Limits), persistAt: r.now.Add(elapsedPeriod)}
		r.rollouts.watches[x.Service] = w
	}
	return w
}

// eachActive calls f with every rollout under way.
func (r *Replica) eachActive(f func(*table.Rollout, *rolloutWatch)) {
	list := r.state.Table().Rollouts
	for i := range list {
		if list[i].Active() {
			f(&list[i], r.watched(&list[i]))
		}
	}
}

// takeEvidence takes what a box has seen of versions.
func (r *Replica) takeEvidence(request *wire.RenewRequest) {
	if len(r.state.Table().Rollouts) == 0 {
		return
	}
	report := rollout.Report{
		Box: units.BoxID(request.Box.Id), Start: request.Start, Revision: units.Revision(request.Revision),
		Evidence: wire.ToEvidence(request.Evidence),
	}
	r.eachActive(func(x *table.Rollout, w *rolloutWatch) { w.Take(r.elapsed(x), report) })
}

// exposures are what a grant says of each rollout under way whose new version takes calls.
func (r *Replica) exposures() []*wire.Exposure {
	var list []*wire.Exposure
	r.eachActive(func(x *table.Rollout, w *rolloutWatch) {
		if w.rollingBack || x.Stage == table.RolloutTrial && len(x.Targets) == 0 {
			return
		}
		share := w.Share(r.elapsed(x), r.now.Sub(r.ledSince), r.rolloutPlan(x))
		list = append(list, wire.FromExposure(rollout.Exposure{Service: x.Service, Order: x.Order, Since: x.Since, Share: share}, exposureLease))
	})
	return list
}

// advanceRollouts proposes the steps of rollouts that are due, on the leader.
func (r *Replica) advanceRollouts(log *replication.Effects) {
	if !r.settings.Rollouts.Enabled || !r.node.HasLease(r.now) {
		return
	}
	r.adoptSoftware(log)
	maps.DeleteFunc(r.rollouts.watches, func(name units.ServiceName, w *rolloutWatch) bool {
		x := r.state.Table().Rollout(name)
		return !x.Active() || x.Order != w.Order()
	})
	r.eachActive(func(x *table.Rollout, w *rolloutWatch) {
		if r.now.Sub(w.proposedAt) >= retryPeriod {
			r.advanceRollout(x, w, log)
		}
	})
}

// advanceRollout proposes a rollout's next step if one is due, or else notes how much of its time is over.
func (r *Replica) advanceRollout(x *table.Rollout, w *rolloutWatch, log *replication.Effects) {
	facts := &rollout.Facts{
		Elapsed: r.elapsed(x), InOffice: r.now.Sub(r.ledSince), Plan: r.rolloutPlan(x), Boxes: boxIDs(r.liveBoxes()),
		Old: r.side(x.Service, x.From), New: r.side(x.Service, x.To),
	}
	step := w.Decide(facts)
	if step == nil && r.now >= w.persistAt {
		step = &table.RolloutStep{Service: x.Service, Order: x.Order, Stage: x.Stage, Share: x.Share, Targets: x.Targets, Elapsed: facts.Elapsed}
	}
	if step == nil {
		return
	}
	w.persistAt = r.now.Add(elapsedPeriod)
	w.proposedAt = r.now
	w.rollingBack = w.rollingBack || step.Stage == table.RolloutRolledBack
	r.proposeCommand(&wire.Command{At: int64(r.wall), Kind: &wire.Command_RolloutStep{RolloutStep: wire.FromRolloutStep(step)}}, log)
}

// rolloutPlan plans a rollout by how long calls of the service may take.
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

// side returns the targets of a version that can take calls now.
func (r *Replica) side(service units.ServiceName, software units.SoftwareVersion) rollout.Side {
	var side rollout.Side
	r.state.EachRegistration(func(t *table.Registration) {
		if t.Service != service || t.Software != software || t.State != table.Active || t.Silent || r.state.Table().Evacuated(t.Domain) {
			return
		}
		side = append(side, rollout.Candidate{Target: t.Target, Domain: t.Domain, Slots: t.Slots, Cold: t.Cold > 0})
	})
	return side
}

func boxIDs(boxes []table.Box) []units.BoxID {
	ids := make([]units.BoxID, 0, len(boxes))
	for _, b := range boxes {
		ids = append(ids, b.ID)
	}
	return ids
}

// adoptSoftware proposes a version in force for services that have none, or none whose
// targets are still there.
func (r *Replica) adoptSoftware(log *replication.Effects) {
	b := &r.rollouts
	t := r.state.Table()
	if r.now < b.adoptAt || b.adopted == t.Revision {
		return
	}
	b.adoptAt = r.now.Add(adoptPeriod)
	b.adopted = t.Revision
	registered := r.registeredSoftware()
	for _, service := range slices.Sorted(maps.Keys(registered)) {
		present := t.SoftwareInForce(service)
		if t.Services[service] == nil || registered[service][present] > 0 {
			delete(b.empty, service)
			continue
		}
		b.adopted = 0
		if present != "" && !r.emptyForLong(service) {
			continue
		}
		o := &table.RolloutOrder{Service: service, To: commonest(registered[service])}
		r.proposeCommand(&wire.Command{At: int64(r.wall), Kind: &wire.Command_Rollout{Rollout: wire.FromRolloutOrder(o)}}, log)
	}
}

// emptyForLong tells whether no target of the version in force has been there for a while.
func (r *Replica) emptyForLong(service units.ServiceName) bool {
	since, known := r.rollouts.empty[service]
	if !known {
		r.rollouts.empty[service] = r.now
		return false
	}
	return r.now.Sub(since) >= emptyLimit
}

// registeredSoftware counts the registered targets of each service by version. Targets that
// don't say theirs have none to put in force.
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

// commonest is the version that most targets run; of equals the first by name.
func commonest(versions map[units.SoftwareVersion]int) units.SoftwareVersion {
	return slices.MaxFunc(slices.Sorted(maps.Keys(versions)), func(a, b units.SoftwareVersion) int {
		return cmp.Compare(versions[a], versions[b])
	})
}

// RolloutStatus is a rollout as a replica knows it; the answers are the leader's.
type RolloutStatus struct {
	table.Rollout
	// ElapsedNow is the time since the order, in ns; it stands still once the rollout ended.
	ElapsedNow time.Duration `json:"elapsedNow"`
	// New and Old are the answers of both versions.
	New AnswerCounts `json:"new"`
	Old AnswerCounts `json:"old"`
}

// AnswerCounts are a version's answers during a rollout.
type AnswerCounts struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (r *Replica) rolloutStatuses(now units.Instant) []RolloutStatus {
	var list []RolloutStatus
	for _, x := range r.state.Table().Rollouts {
		s := RolloutStatus{Rollout: x, ElapsedNow: x.Elapsed}
		if held, known := r.rollouts.started[x.Service]; known && held.order == x.Order && x.Active() {
			s.ElapsedNow = now.Sub(held.at)
		}
		if w := r.rollouts.watches[x.Service]; w != nil && w.Order() == x.Order {
			total := w.Total()
			s.New = AnswerCounts{Good: total.New.Good, Bad: total.New.Bad}
			s.Old = AnswerCounts{Good: total.Old.Good, Bad: total.Old.Bad}
		}
		list = append(list, s)
	}
	return list
}
