package control

import (
	"sort"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

func (w *world) recordEditAnswer(id units.EditID, a Answer) {
	if a.Err != nil {
		return
	}
	if known, ok := w.answers[id]; ok {
		if d := cmp.Diff(known, *a.Result); d != "" {
			w.t.Fatalf("edit %s got two different answers:\n%s", id, d)
		}
		return
	}
	w.answers[id] = *a.Result
	if a.Result.Outcome != table.Accepted {
		return
	}
	if other, taken := w.accepted[a.Result.Revision]; taken {
		w.t.Fatalf("edits %s and %s were both accepted as revision %d", other.id, id, a.Result.Revision)
	}
	w.accepted[a.Result.Revision] = acceptedEdit{id: id, at: w.now}
}

// checkReplicaTable compares a replica's table with what others showed at the same
// revision.
func (w *world) checkReplicaTable(r *fakeReplica) {
	w.checkTable("replica "+string(r.id), r.core.Table())
}

func (w *world) checkTable(who string, t *table.Table) {
	first, seen := w.tablesByRevision[t.Revision]
	if !seen {
		w.tablesByRevision[t.Revision] = t
		if w.traffic != nil {
			w.traffic.checkCompletion(t)
		}
		return
	}
	if d := cmp.Diff(first, t); d != "" {
		w.t.Fatalf("%s shows another revision %d:\n%s", who, t.Revision, d)
	}
}

// leaseBound is how long an accepted edit may be out of force on a box that
// still holds a lease.
const leaseBound = testLease + testElection

// check looks at what must hold at every moment.
func (w *world) check() {
	for _, r := range w.replicas {
		w.checkLeader(r)
	}
	w.checkLease()
	var latest units.Revision
	for revision, a := range w.accepted {
		if revision > latest && w.now.Sub(a.at) > leaseBound {
			latest = revision
		}
	}
	for _, b := range w.boxes {
		w.checkMonotonicRevision(b)
		if b.up && w.now < b.core.LeaseUntil() && b.core.Table().Revision < latest {
			w.t.Fatalf("box %s holds a lease at revision %d, %s after revision %d was accepted",
				b.id, b.core.Table().Revision, w.now.Sub(w.accepted[latest].at), latest)
		}
	}
}

// checkMonotonicRevision makes sure that a box never has an earlier revision in force than
// before, through its own restarts as well.
func (w *world) checkMonotonicRevision(b *fakeBox) {
	if !b.up || w.now >= b.core.LeaseUntil() {
		return
	}
	if revision := b.core.Table().Revision; revision < b.highestRevision {
		w.t.Fatalf("box %s went back from revision %d to %d", b.id, b.highestRevision, revision)
	}
	b.highestRevision = b.core.Table().Revision
}

func (w *world) checkLeader(r *fakeReplica) {
	if !r.up || r.halted != nil || !r.core.node.IsLeader() {
		return
	}
	term := r.core.node.Term()
	if other, taken := w.leaders[term]; taken && other != r.id {
		w.t.Fatalf("both %s and %s lead in term %d", other, r.id, term)
	}
	w.leaders[term] = r.id
}

// checkLease makes sure that no two replicas may speak for the cluster at once.
func (w *world) checkLease() {
	var holder *fakeReplica
	for _, r := range w.replicas {
		if !r.up || r.halted != nil || !r.core.node.HasLease(w.now) {
			continue
		}
		if holder != nil {
			w.t.Fatalf("both %s and %s hold the lease", holder.id, r.id)
		}
		holder = r
	}
}

// checkRecovery heals the world and makes sure that nothing accepted is missing and
// edits go on.
func (w *world) checkRecovery() {
	w.endFaults()
	w.run(3 * time.Second)
	last := newEdit("last", "end", 0, 1)
	for _, r := range w.replicas {
		w.submit(r, last)
	}
	w.run(3 * time.Second)
	result, ok := w.answers["last"]
	if !ok || result.Outcome != table.Accepted {
		w.t.Fatalf("after all faults have ended no edit is accepted: %+v", result)
	}
	w.checkHistory()
	for _, b := range w.boxes {
		if b.core.Table().Revision < result.Revision || w.now >= b.core.LeaseUntil() {
			w.t.Fatalf("box %s isn't in force at revision %d: %+v", b.id, result.Revision, b.core.Status(w.now))
		}
	}
}

func (w *world) checkHistory() {
	for _, r := range w.replicas {
		known := map[units.Revision]units.EditID{}
		for _, h := range r.core.History() {
			known[h.Revision] = h.Edit
		}
		for id, answer := range w.answers {
			if d := cmp.Diff(&answer, r.core.state.Lookup(id)); d != "" {
				w.t.Fatalf("%s remembers another answer to edit %s:\n%s", r.id, id, d)
			}
		}
		var revisions []int
		for revision := range w.accepted {
			revisions = append(revisions, int(revision))
		}
		sort.Ints(revisions)
		for _, n := range revisions {
			if revision := units.Revision(n); known[revision] != w.accepted[revision].id {
				w.t.Fatalf("%s lost edit %s, accepted as revision %d; it has %q there",
					r.id, w.accepted[revision].id, revision, known[revision])
			}
		}
	}
}
