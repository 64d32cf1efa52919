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

// lease is a leader's record of a box's lease on the table, which permits the box to serve calls by
// its copy of the table until the lease expires.
type lease struct {
	box       table.Box
	renewedAt units.Instant
	revision  units.Revision
}

// leaseTracker holds what a leader knows of the boxes' leases. A new leader starts with an empty
// one and treats the listed boxes as renewed when its leadership began: the previous leader can't
// have granted anything later.
type leaseTracker struct {
	byBox map[units.BoxID]*lease
	// proposing is set while a change of the list of boxes is proposed and not yet applied.
	proposing bool
}

func newLeaseTracker() leaseTracker {
	return leaseTracker{byBox: map[units.BoxID]*lease{}}
}

// grantLease answers a box's lease request, if this replica is the leader and certain that there is
// no other one. The box's lease starts when it sent the request, so network delay doesn't extend it.
// The box uses the lease only once it has the revision that the grant names in force.
func (r *Replica) grantLease(request *wire.RenewRequest, e *Effects, send func(*wire.Envelope)) {
	if request.Box == nil || !r.node.HasLease(r.now) {
		return
	}
	box := wire.ToBox(request.Box)
	if r.leases.byBox[box.ID] == nil {
		// A new box is listed at once.
		r.tickAt = r.now
	}
	r.leases.byBox[box.ID] = &lease{box: box, renewedAt: r.now, revision: units.Revision(request.Revision)}
	r.recordEvidence(request)
	r.recordCrashNotes(request)
	r.recordUsage(request)
	m := r.envelope()
	m.Body = &wire.Envelope_RenewResponse{RenewResponse: &wire.RenewResponse{
		Box:       request.Box.Id,
		Nonce:     request.Nonce,
		Start:     request.Start,
		Revision:  uint64(r.state.Table().Revision),
		Duration:  int64(r.settings.Lease),
		Exposures: r.exposures(),
		Term:      uint64(r.node.Term()), Noted: lastNoteNumber(request), Watched: r.watchedFor(box.ID),
	}}
	r.addLiveReplicas(request, m.GetRenewResponse())
	send(m)
}

// liveReplicas returns the names of the replicas that boxes may attach to. In a cluster whose
// replicas are fixed in the settings it returns nil: boxes have the names from there.
func (r *Replica) liveReplicas() []string {
	if r.settings.Replication.Growth == nil {
		return nil
	}
	var names []string
	for _, id := range r.node.LiveMembers(r.now) {
		names = append(names, string(id))
	}
	return names
}

// addLiveReplicas adds the live replicas and their failure domains to a grant, unless the box
// already knows them.
func (r *Replica) addLiveReplicas(request *wire.RenewRequest, answer *wire.RenewResponse) {
	names := r.liveReplicas()
	domains := make([]string, 0, len(names))
	for _, n := range names {
		domains = append(domains, string(r.domains[units.ReplicaID(n)]))
	}
	if wire.ChecksumReplicas(names, domains) != request.Replicas {
		answer.Replicas, answer.ReplicaDomains = names, domains
	}
}

// leaseExpiry returns when a box's lease has certainly expired, including the margin.
func (r *Replica) leaseExpiry(id units.BoxID) units.Instant {
	renewedAt := r.leaderSince
	if l := r.leases.byBox[id]; l != nil {
		renewedAt = l.renewedAt
	}
	return renewedAt.Add(r.settings.Lease + r.settings.LeaseMargin)
}

// proposeBoxes proposes a new list of boxes when the current one is out of date.
func (r *Replica) proposeBoxes(log *replication.Effects) {
	if !r.node.HasLease(r.now) || r.leases.proposing {
		return
	}
	change := table.BoxDifference(r.state.Table().Boxes, r.liveBoxes())
	if change.Empty() {
		return
	}
	c := &wire.Command{At: int64(r.wall), Kind: &wire.Command_Boxes{Boxes: wire.FromBoxChange(change)}}
	r.leases.proposing = r.proposeCommand(c, log)
}

// liveBoxes returns the boxes whose lease may still be valid, sorted by id.
func (r *Replica) liveBoxes() []table.Box {
	boxes := map[units.BoxID]table.Box{}
	for _, b := range r.state.Table().Boxes {
		boxes[b.ID] = b
	}
	for id, l := range r.leases.byBox {
		boxes[id] = l.box
	}
	var live []table.Box
	for _, id := range slices.Sorted(maps.Keys(boxes)) {
		if r.now < r.leaseExpiry(id) {
			live = append(live, boxes[id])
		} else {
			delete(r.leases.byBox, id)
		}
	}
	return live
}

func (r *Replica) boxStatuses(now units.Instant) []BoxStatus {
	listed := map[units.BoxID]table.Box{}
	for _, b := range r.state.Table().Boxes {
		listed[b.ID] = b
	}
	ids := slices.Collect(maps.Keys(listed))
	for id := range r.leases.byBox {
		if _, ok := listed[id]; !ok {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	statuses := make([]BoxStatus, 0, len(ids))
	for _, id := range ids {
		statuses = append(statuses, r.boxStatus(id, listed, now))
	}
	return statuses
}

func (r *Replica) boxStatus(id units.BoxID, listed map[units.BoxID]table.Box, now units.Instant) BoxStatus {
	box, ok := listed[id]
	s := BoxStatus{Box: box, Listed: ok}
	l := r.leases.byBox[id]
	if l == nil {
		return s
	}
	s.Box = l.box
	s.Revision = l.revision
	s.InForce = l.revision == r.state.Table().Revision
	s.SilentFor = int64(now.Sub(l.renewedAt))
	s.StopsWithin = int64(max(0, l.renewedAt.Add(r.settings.Lease).Sub(now)))
	return s
}

// LeaseBound returns the longest time from the acceptance of an edit until every box either has it
// in force or has stopped serving calls; boxes with the setting serveStale continue to serve. It is
// the duration of a lease plus the election timeout: a leader that was cut off is certain for less
// than the election timeout that there is no other leader, and may grant leases until then.
func (s Settings) LeaseBound() time.Duration {
	return s.Lease + s.Replication.ElectionTimeout
}
