package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// acknowledgedOrders holds the pending requests of the world's operators and targets, and what was
// acknowledged to them and must hold.
type acknowledgedOrders struct {
	pending map[RequestID]func(Answer)
	// highestDocument is the highest document version that was acknowledged; sentSources holds the
	// source that was sent for each version, lastVersion is the last version that was sent.
	highestDocument units.DocumentVersion
	sentSources     map[units.DocumentVersion]string
	lastVersion     units.DocumentVersion
	// leaving and gone are the targets whose draining or departure was acknowledged.
	leaving map[units.TargetID]bool
	gone    map[units.TargetID]bool
}

func newAcknowledgedOrders() acknowledgedOrders {
	return acknowledgedOrders{
		pending: map[RequestID]func(Answer){}, sentSources: map[units.DocumentVersion]string{},
		leaving: map[units.TargetID]bool{}, gone: map[units.TargetID]bool{},
	}
}

// newGrowingWorld returns a world whose cluster formed by itself from three seeds and has grown to
// the maximum number of voters.
func newGrowingWorld(t fataler, seed uint64, replicas, voters, boxes int) *world {
	w := emptyWorld(t, seed, replicas, boxes)
	w.grow(w.replicas, replication.Growth{Voters: voters, ReplaceAfter: 2 * time.Second}, 3*time.Second)
	return w
}

// grow starts the first replicas, which form a cluster from three seeds, and all boxes, and lets the cluster grow for a
// time. Replicas that start later may form none.
func (w *world) grow(first []*fakeReplica, g replication.Growth, d time.Duration) {
	w.seeds = 3
	g.Bootstrap = true
	w.growth = &g
	for _, r := range first {
		w.startReplica(r)
	}
	for _, b := range w.boxes {
		w.startBox(b)
	}
	w.run(d)
	w.growth.Bootstrap = false
}

// setGrowth sets a replica's growth settings in a cluster that grows by itself.
func (w *world) setGrowth(r *fakeReplica, s *replication.Settings) {
	if w.growth == nil {
		return
	}
	g := *w.growth
	g.Seed = w.isSeed(r)
	s.Growth = &g
	s.MinCopies = g.Voters/2 + 1
}

// isSeed reports whether the settings name a replica as a seed, as they do the first ones that aren't gone.
func (w *world) isSeed(r *fakeReplica) bool {
	seeds := 0
	for _, o := range w.replicas {
		if slices.Contains(w.gone, o) {
			continue
		}
		if seeds++; seeds > w.seeds {
			return false
		}
		if o == r {
			return true
		}
	}
	return false
}

func (w *world) order(r *fakeReplica, event func(RequestID) Event, answered func(Answer)) {
	w.requests++
	w.orders.pending[w.requests] = answered
	w.deliver(r, event(w.requests))
}

func (w *world) dispatchAnswer(a Answer) {
	if answered := w.orders.pending[a.Request]; answered != nil {
		delete(w.orders.pending, a.Request)
		answered(a)
	}
}

// putDocument submits a new version, or the acknowledged version again with different content.
func (w *world) putDocument(r *fakeReplica, again bool) {
	version := w.orders.lastVersion + 1
	source := fmt.Sprintf("document %d", version)
	if again && w.orders.highestDocument > 0 {
		version = w.orders.highestDocument
		source += " with other content"
	} else {
		w.orders.lastVersion = version
		w.orders.sentSources[version] = source
	}
	d := &table.Document{Version: version, Source: []byte(source), Services: []table.Service{
		{Name: "s", Work: table.AtMostOnce, Deadline: time.Second},
	}, Routes: []*table.Route{{
		Name: "r", Host: "h", PathPrefix: fmt.Sprintf("/%d/", version%7), Work: table.AtMostOnce, Deadline: time.Second,
		Services: []table.WeightedService{{Service: "s", Weight: 1}},
	}}}
	w.order(r, func(id RequestID) Event { return DocumentSubmitted{Request: id, Document: d} }, func(a Answer) {
		if a.Err == nil {
			w.orders.highestDocument = max(w.orders.highestDocument, version)
		}
	})
}

// acknowledgeDocument sends documents until one is acknowledged. It returns false if none is within a time.
func (w *world) acknowledgeDocument(limit time.Duration) bool {
	before := w.orders.highestDocument
	for end := w.now.Add(limit); w.now < end; {
		if r := w.leader(); r != nil {
			w.putDocument(r, false)
		}
		for range 200 {
			w.run(time.Millisecond)
			if w.orders.highestDocument > before {
				return true
			}
		}
	}
	return false
}

// readDocument checks that a read returns a document that is no older than what was acknowledged
// when the read was sent, and that has the content first sent for its version.
func (w *world) readDocument(r *fakeReplica) {
	least := w.orders.highestDocument
	w.order(r, func(id RequestID) Event { return ReadRequested{Request: id} }, func(a Answer) {
		if a.Err != nil {
			return
		}
		if a.Document == nil {
			if least > 0 {
				w.t.Fatalf("%s read nothing, document %d was acknowledged", r.id, least)
			}
			return
		}
		if a.Document.Version < least {
			w.t.Fatalf("%s read document %d, document %d was acknowledged before", r.id, a.Document.Version, least)
		}
		w.checkDocument(r, a.Document)
	})
}

func (w *world) checkDocument(r *fakeReplica, d *table.Document) {
	if sent := w.orders.sentSources[d.Version]; string(d.Source) != sent {
		w.t.Fatalf("%s holds %q under version %d; first sent was %q", r.id, d.Source, d.Version, sent)
	}
}

func (w *world) report(r *fakeReplica, id units.TargetID, state table.RowState, sequence uint64) {
	t := &table.Registration{
		Target: id, Service: "s", Address: "127.0.0.1:" + string(id[1:]), State: state, Sequence: sequence, Slots: 3,
	}
	w.order(r, func(q RequestID) Event { return TargetReported{Request: q, Registration: t} }, func(a Answer) {
		if a.Err == nil && state == table.Leaving {
			w.orders.leaving[id] = true
		}
	})
}

func (w *world) depart(r *fakeReplica, id units.TargetID) {
	w.order(r, func(q RequestID) Event { return TargetDeparted{Request: q, Target: id} }, func(a Answer) {
		if a.Err == nil {
			w.orders.gone[id] = true
		}
	})
}

// changeTarget has a target report, drain, depart, or send an old report late.
func (w *world) changeTarget(n int) {
	r := w.replicas[n%len(w.replicas)]
	id := units.TargetID(fmt.Sprintf("g%d", 1+n/7%12))
	switch n % 4 {
	case 0:
		w.report(r, id, table.Active, 1)
	case 1:
		w.report(r, id, table.Leaving, 5)
	case 2:
		w.depart(r, id)
	case 3:
		w.report(r, id, table.Active, 3)
	}
}

// checkOrders checks that every replica holds what was acknowledged.
func (w *world) checkOrders() {
	for _, r := range w.replicas {
		if d := r.core.state.Document(); d != nil {
			w.checkDocument(r, d)
		}
		if have := r.core.Table().Document; have < w.orders.highestDocument {
			w.t.Fatalf("%s holds document %d, %d was acknowledged", r.id, have, w.orders.highestDocument)
		}
		for _, e := range r.core.Table().Services {
			for row := range e.Rows.All() {
				if w.orders.gone[row.Target] {
					w.t.Fatalf("%s has target %s again, whose departure was acknowledged", r.id, row.Target)
				}
				if w.orders.leaving[row.Target] && row.State != table.Leaving {
					w.t.Fatalf("%s keeps target %s active, whose draining was acknowledged", r.id, row.Target)
				}
			}
		}
	}
}
