package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// evacuationOperator alternately evacuates and restores a failure domain. It resends an order, to
// another replica each time, until it is acknowledged.
type evacuationOperator struct {
	world  *world
	domain units.Domain
	// wanted is what the current order asks for; acknowledged is set once it was acknowledged.
	wanted       bool
	acknowledged bool
	next         int
	number       int
}

// resendInterval is how long the operator waits for an answer. Replicas wait much longer for a quorum,
// so orders that the operator gave up on are still in flight.
const resendInterval = 120 * time.Millisecond

func newEvacuationOperator(w *world, d units.Domain) *evacuationOperator {
	return &evacuationOperator{world: w, domain: d, acknowledged: true}
}

// orderNext sends the opposite order, if the previous one was acknowledged.
func (o *evacuationOperator) orderNext() {
	if !o.acknowledged {
		return
	}
	o.wanted, o.acknowledged = !o.wanted, false
	o.number++
	o.send(o.number)
}

func (o *evacuationOperator) send(number int) {
	if o.acknowledged || number != o.number {
		return
	}
	w := o.world
	r := w.replicas[o.next%len(w.replicas)]
	o.next++
	order := table.EvacuationOrder{Domain: o.domain, Evacuate: o.wanted, Operator: "test"}
	w.order(r, func(id RequestID) Event { return EvacuationOrdered{Request: id, Order: order} }, func(a Answer) {
		if a.Err == nil && number == o.number {
			o.acknowledged = true
		}
		if k := fault.KindOf(a.Err); a.Err != nil && (k == fault.NotFound || k == fault.Invalid) {
			w.t.Fatalf("a valid order was refused: %v", a.Err)
		}
	})
	w.after(resendInterval, func() { o.send(number) })
}

// checkHeld checks that every replica and box shows what was acknowledged last.
func (o *evacuationOperator) checkHeld() {
	for _, r := range o.world.replicas {
		if got := r.core.Table().Evacuated(o.domain); got != o.wanted {
			o.world.t.Fatalf("%s shows %s evacuated=%t, %t was acknowledged", r.id, o.domain, got, o.wanted)
		}
	}
	for _, b := range o.world.boxes {
		if got := b.core.Table().Evacuated(o.domain); got != o.wanted {
			o.world.t.Fatalf("box %s shows %s evacuated=%t, %t was acknowledged", b.id, o.domain, got, o.wanted)
		}
	}
}

// registerInDomain has a target of the domain register.
func (w *world) registerInDomain(d units.Domain) {
	t := &table.Registration{Target: "g99", Service: "s", Address: "127.0.0.1:99", Domain: d, State: table.Active, Sequence: 1}
	w.order(w.leader(), func(id RequestID) Event { return TargetReported{Request: id, Registration: t} }, func(a Answer) {
		if a.Err != nil {
			w.t.Fatalf("a target couldn't register: %v", a.Err)
		}
	})
	w.run(time.Second)
}

// An order that is delayed at a partitioned replica must not undo a later one that was acknowledged
// elsewhere.
func TestADelayedEvacuationUndoesNothing(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3, 1)
		w.registerInDomain("d")
		cut := w.followers()[0]
		cut.partition = 1
		order := func(r *fakeReplica, evacuate bool, answered func(Answer)) {
			o := table.EvacuationOrder{Domain: "d", Evacuate: evacuate}
			w.order(r, func(id RequestID) Event { return EvacuationOrdered{Request: id, Order: o} }, answered)
		}
		order(cut, true, func(Answer) {})
		done := 0
		for _, evacuate := range []bool{true, false} {
			order(w.leader(), evacuate, func(a Answer) {
				if a.Err == nil {
					done++
				}
			})
			w.run(200 * time.Millisecond)
		}
		if done != 2 {
			t.Fatalf("seed %d: %d of 2 orders were acknowledged", seed, done)
		}
		cut.partition = 0
		w.run(2 * time.Second)
		if w.leader().core.Table().Evacuated("d") {
			t.Fatalf("seed %d: the delayed order evacuated the domain again", seed)
		}
	}
}

func TestAnUnknownDomainIsNotEvacuated(t *testing.T) {
	w := newWorld(t, 1, 3, 1)
	w.registerInDomain("d")
	var got Answer
	o := table.EvacuationOrder{Domain: "elsewhere", Evacuate: true}
	w.order(w.followers()[0], func(id RequestID) Event { return EvacuationOrdered{Request: id, Order: o} }, func(a Answer) { got = a })
	w.run(time.Second)
	if fault.KindOf(got.Err) != fault.NotFound {
		t.Fatalf("the answer is %v", got.Err)
	}
}

// Under any faults that the cluster tolerates, the last acknowledged order is in force on all
// replicas and boxes in the end, whatever becomes of the orders that were given up.
func TestAcknowledgedEvacuationsHold(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newGrowingWorld(t, rapid.Uint64().Draw(t, "seed"), 5, 5, 2)
		w.registerInDomain("d")
		o := newEvacuationOperator(w, "d")
		steps := rapid.SliceOfN(rapid.IntRange(0, len(growthFaults)*1000-1), 1, 30).Draw(t, "faults")
		for _, s := range steps {
			o.orderNext()
			growthFaults[s%len(growthFaults)].do(w, s/len(growthFaults))
			w.run(stepDuration(s))
		}
		w.checkRecovery()
		if !o.acknowledged {
			t.Fatalf("an order wasn't acknowledged after all faults had ended")
		}
		w.run(2 * time.Second)
		o.checkHeld()
	})
}
