package scope

import (
	"fmt"
	"testing"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
)

// fleet is a service's targets and all boxes, evenly over some failure domains.
type fleet struct {
	domains, boxes, targets int
}

func (f fleet) domain(i int) units.Domain { return units.Domain(fmt.Sprintf("d%02d", i%f.domains)) }

func (f fleet) counts() []DomainCount {
	counts := make([]DomainCount, f.domains)
	for i := range f.targets {
		counts[i%f.domains].Domain = f.domain(i)
		counts[i%f.domains].N++
	}
	return counts
}

func (f fleet) boxCounts() BoxCounts {
	b := BoxCounts{}
	for i := range f.boxes {
		b[f.domain(i)]++
	}
	return b
}

// holding returns how many boxes hold each target, how many of those are in its own domain, and how
// many targets each box holds.
func (f fleet) holding(d Division) (holders, own, held []int) {
	holders, own, held = make([]int, f.targets), make([]int, f.targets), make([]int, f.boxes)
	ids := make([]units.TargetID, f.targets)
	for t := range ids {
		ids[t] = units.TargetID(fmt.Sprintf("i-%08x", t*2654435761%(1<<31)))
	}
	for b := range f.boxes {
		id := units.BoxID(fmt.Sprintf("box-%d", b))
		steps := make([]Step, f.domains)
		for i := range steps {
			steps[i] = d.StepOf(f.domain(b), f.domain(i))
		}
		for t := range ids {
			if !RankOf(id, ids[t]).Holds(steps[t%f.domains]) {
				continue
			}
			holders[t]++
			held[b]++
			if b%f.domains == t%f.domains {
				own[t]++
			}
		}
	}
	return holders, own, held
}

func minAndMax(list []int) (least, most int) {
	least = list[0]
	for _, n := range list {
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

// Every target is held by several boxes, some of them in its own domain. A box holds no more targets of
// a fleet of twice the size; where boxes are few beside targets it holds more.
func TestEveryTargetIsHeldAndNoBoxHoldsMany(t *testing.T) {
	const leastOwn, mostHeld = 2, 450
	for _, f := range []fleet{{6, 985, 2740}, {6, 985, 5772}, {6, 1970, 11544}, {3, 300, 1731}, {16, 1600, 16000}, {1, 100, 3000}} {
		d := NextDivision(nil, f.counts(), f.boxCounts())
		holders, own, held := f.holding(d)
		least, most := minAndMax(holders)
		ownLeast, _ := minAndMax(own)
		_, heldMost := minAndMax(held)
		t.Logf("%+v: steps %v; a target is held by %d to %d boxes, %d or more beside it; a box holds up to %d", f, d, least, most, ownLeast, heldMost)
		for i := range f.domains {
			if bound := f.boxCounts().MaxHolders(f.boxes, f.domain(i), d.Step(f.domain(i))); most > bound {
				t.Errorf("%+v: a target is held by %d boxes, its totals are divided by %d", f, most, bound)
			}
		}
		if ownLeast < leastOwn {
			t.Errorf("%+v: a target is held by %d boxes of its own domain", f, ownLeast)
		}
		if f.boxes >= f.targets/10 && f.domains <= 6 && heldMost > mostHeld {
			t.Errorf("%+v: a box holds %d targets", f, heldMost)
		}
	}
}

// A box holds at a larger step nothing that it doesn't hold at a smaller one, and the box that comes
// first for a target holds it as long as any.
func TestStepsTakeAndTheFirstHoldsLongest(t *testing.T) {
	for k := range 200 {
		target := units.TargetID(fmt.Sprint("t", k))
		var first units.BoxID
		for b := range 50 {
			id := units.BoxID(fmt.Sprint("b", b))
			if first == "" || rendezvous.Hash(id, target) > rendezvous.Hash(first, target) {
				first = id
			}
		}
		for s := range Step(8) {
			for b := range 50 {
				id := units.BoxID(fmt.Sprint("b", b))
				if !RankOf(id, target).Holds(s) {
					continue
				}
				if s > 0 && !RankOf(id, target).Holds(s-1) || !RankOf(first, target).Holds(s) {
					t.Fatalf("box %s holds target %s at step %d out of turn", id, target, s)
				}
			}
		}
	}
}

// Services of ordinary size, and large ones with few boxes, are told of whole.
func TestOrdinaryServicesAreWhole(t *testing.T) {
	for _, f := range []fleet{{6, 985, 250}, {6, 473, 415}, {3, 18, 10_000}, {1, 23, 5000}, {6, 0, 10_000}} {
		if d := NextDivision(nil, f.counts(), f.boxCounts()); d != nil {
			t.Errorf("%+v is divided: %v", f, d)
		}
	}
}

// While a fleet comes up, and while parts of it come and go, steps change a few times only.
func TestStepsChangeSeldom(t *testing.T) {
	const most = 12
	f := fleet{domains: 6, boxes: 985, targets: 10_000}
	var d Division
	changes := 0
	next := func(x fleet) {
		now := NextDivision(d, x.counts(), x.boxCounts())
		if fmt.Sprint(now) != fmt.Sprint(d) {
			changes++
		}
		d = now
	}
	for n := 0; n <= f.targets; n += 60 {
		next(fleet{f.domains, min(f.boxes, n), n})
	}
	if changes > most*f.domains {
		t.Errorf("%d changes while the fleet came up", changes)
	}
	changes = 0
	for i := range 100 {
		// A third of the boxes and a tenth of the targets go and come back.
		next(fleet{f.domains, f.boxes * (100 - 33*(i%2)) / 100, f.targets * (100 - 10*(i%2)) / 100})
	}
	if changes > 0 {
		t.Errorf("%d changes while boxes and targets came and went", changes)
	}
}
