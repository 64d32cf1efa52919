package control

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// acknowledgedOrders is what the world's operators and targets were told, and so may rely on.
type acknowledgedOrders struct {
	pending map[RequestID]func(Answer)
	// highestDocument is the highestDocument document that was acknowledged; sent holds what was sent
	// under each version.
	highestDocument units.DocumentVersion
	sentSources     map[units.DocumentVersion]string
	lastVersion     units.DocumentVersion
	// leaving and gone are the targets whose word to that effect was acknowledged.
	leaving map[units.TargetID]bool
	gone    map[units.TargetID]bool
}

func newAcknowledgedOrders() acknowledgedOrders {
	return acknowledgedOrders{
		pending: map[RequestID]func(Answer){}, sentSources: map[units.DocumentVersion]string{},
		leaving: map[units.TargetID]bool{}, gone: map[units.TargetID]bool{},
	}
}

// newGrowingWorld returns a world whose cluster forms by itself from three seeds and has
// grown to as many voters as it may.
func newGrowingWorld(t fataler, seed uint64, replicas, voters, boxes int) *world {
	w := emptyWorld(t, seed, replicas, boxes)
	w.seeds = 3
	w.growth = &replication.Growth{Bootstrap: true, Voters: voters, ReplaceAfter: 2 * time.Second}
	for _, r := range w.replicas {
		w.startReplica(r)
	}
	for _, b := range w.boxes {
		w.startBox(b)
	}
	w.run(3 * time.Second)
	w.growth.Bootstrap = false
	return w
}

// setGrowth gives a replica its part in a cluster that grows by itself.
func (w *world) setGrowth(r *fakeReplica, s *replication.Settings) {
	if w.growth == nil {
		return
	}
	g := *w.growth
	for i, o := range w.replicas {
		g.Seed = g.Seed || o == r && i < w.seeds
	}
	s.Growth = &g
	s.MinCopies = g.Voters/2 + 1
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

// putDocument puts a new version, or the one that is held again with other content.
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

// readDocument makes sure that what is read is no older than what was acknowledged when
// the question was put, and is what was sent under its version.
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

// changeTarget lets a target report, drain, leave, or send an old report late.
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

// checkOrders makes sure that every replica holds what was acknowledged.
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
					w.t.Fatalf("%s has target %s again, whose leaving was acknowledged", r.id, row.Target)
				}
				if w.orders.leaving[row.Target] && row.State != table.Leaving {
					w.t.Fatalf("%s gives work to target %s, whose draining was acknowledged", r.id, row.Target)
				}
			}
		}
	}
}
