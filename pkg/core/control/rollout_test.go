package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	testService  = units.ServiceName("s")
	testDuration = 4 * time.Second
)

// registerSoftware has targets of a version of the service register and keep reporting.
func (w *world) registerSoftware(software units.SoftwareVersion, count int) {
	for i := range count {
		t := &table.Registration{
			Target: units.TargetID(fmt.Sprintf("%s-%d", software, i)), Service: testService, Software: software,
			Address: fmt.Sprintf("127.0.%d.%d:80", 1+len(software)%100+int(software[len(software)-1]), i+1), State: table.Active, Sequence: 1,
		}
		w.keepReporting(t)
	}
}

// keepReporting has a target report periodically, each time to a random replica, until its
// departure was acknowledged.
func (w *world) keepReporting(t *table.Registration) {
	next := *t
	next.Sequence++
	if w.orders.gone[t.Target] {
		return
	}
	r := w.replicas[w.random.IntN(len(w.replicas))]
	w.order(r, func(id RequestID) Event { return TargetReported{Request: id, Registration: t} }, func(Answer) {})
	w.after(200*time.Millisecond, func() { w.keepReporting(&next) })
}

// startTraffic registers targets of version v1, waits until that version is in force and starts
// calls to the service.
func startTraffic(t fataler, w *world, bad func(units.SoftwareVersion) float64) *traffic {
	w.putDocument(w.leader(), false)
	w.run(500 * time.Millisecond)
	w.registerSoftware("v1", 6)
	w.run(2 * time.Second)
	if got := w.leader().core.Table().SoftwareInForce(testService); got != "v1" {
		t.Fatalf("version %q is in force", got)
	}
	x := newTraffic(w, testService, bad)
	w.run(200 * time.Millisecond)
	return x
}

// badIfNamed returns the share of a version's answers that fail: all for versions whose name ends
// in "bad", none for others.
func badIfNamed(software units.SoftwareVersion) float64 {
	if strings.HasSuffix(string(software), "bad") {
		return 1
	}
	return 0
}

func (w *world) orderRollout(r *fakeReplica, o table.RolloutOrder, answered func(Answer)) {
	w.order(r, func(id RequestID) Event { return RolloutOrdered{Request: id, Order: o} }, answered)
}

// orderNow sends an order to the leader and returns its answer.
func (w *world) orderNow(o table.RolloutOrder) error {
	err := fault.New(fault.Unknown, "", "no answer")
	w.orderRollout(w.leader(), o, func(a Answer) { err = a.Err })
	w.run(100 * time.Millisecond)
	return err
}

func rolloutTo(to units.SoftwareVersion) table.RolloutOrder {
	return table.RolloutOrder{Service: testService, To: to, Duration: testDuration, Operator: "test"}
}

func (w *world) rollout() *table.Rollout { return w.leader().core.Table().Rollout(testService) }

func TestAGoodVersionIsCompleted(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 3, 4)
		x := startTraffic(t, w, badIfNamed)
		w.registerSoftware("v2", 6)
		if err := w.orderNow(rolloutTo("v2")); err != nil {
			t.Fatal(err)
		}
		w.run(testDuration - 100*time.Millisecond)
		if r := w.rollout(); r.Stage != table.RolloutCompleted {
			t.Fatalf("seed %d: the rollout is %+v", seed, r)
		}
		sent := x.sent["v1"]
		w.run(time.Second)
		if x.sent["v1"] != sent {
			t.Fatalf("seed %d: the old version got calls after the rollout was completed", seed)
		}
		w.checkRecovery()
	}
}

func TestABadVersionIsRolledBackSoon(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 3, 4)
		x := startTraffic(t, w, badIfNamed)
		w.registerSoftware("v2bad", 6)
		if err := w.orderNow(rolloutTo("v2bad")); err != nil {
			t.Fatal(err)
		}
		w.run(testDuration / 2)
		if r := w.rollout(); r.Stage != table.RolloutRolledBack {
			t.Fatalf("seed %d: the rollout is %+v", seed, r)
		}
		sent := x.sent["v2bad"]
		if sent > 60 {
			t.Fatalf("seed %d: the bad version got %d calls", seed, sent)
		}
		w.run(testDuration)
		if x.sent["v2bad"] != sent {
			t.Fatalf("seed %d: the bad version got calls after it was rolled back", seed)
		}
		w.checkRecovery()
	}
}

// The loss of a leader in the trial or the shift doesn't delay a rollout: its successor knows the
// elapsed time and what boxes have observed.
func TestARolloutOutlivesItsLeader(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 3, 4)
		startTraffic(t, w, badIfNamed)
		w.registerSoftware("v2", 6)
		o := rolloutTo("v2")
		o.Duration = 2 * testDuration
		if err := w.orderNow(o); err != nil {
			t.Fatal(err)
		}
		w.run(testDuration)
		old := w.leader()
		w.crash(old)
		w.run(testDuration - 100*time.Millisecond)
		if r := w.rollout(); r.Stage != table.RolloutCompleted {
			t.Fatalf("seed %d: the rollout is %+v", seed, r)
		}
		w.checkRecovery()
	}
}

func TestRolloutOrdersGetClearAnswers(t *testing.T) {
	w := newWorld(t, 1, 3, 2)
	startTraffic(t, w, badIfNamed)
	short, unknown, abort := rolloutTo("v2"), rolloutTo("v2"), rolloutTo("")
	short.Duration, unknown.Service, abort.Abort = time.Second, "elsewhere", true
	cases := []struct {
		what  string
		order table.RolloutOrder
		kind  fault.Kind
	}{
		{"too short", short, fault.Invalid},
		{"unknown service", unknown, fault.NotFound},
		{"in force already", rolloutTo("v1"), fault.Invalid},
		{"without a version", rolloutTo(""), fault.Invalid},
		{"nothing to end", abort, fault.NotFound},
		{"proper", rolloutTo("v2"), ""},
		{"the same again", rolloutTo("v2"), ""},
		{"another one", rolloutTo("v3"), fault.Conflict},
		{"end it", abort, ""},
		{"end it again", abort, ""},
		{"the same, late", rolloutTo("v2"), ""},
	}
	for _, c := range cases {
		err := w.orderNow(c.order)
		if err == nil && c.kind != "" || err != nil && fault.KindOf(err) != c.kind {
			t.Fatalf("%s: the answer is %v", c.what, err)
		}
	}
	if r := w.rollout(); r.Stage != table.RolloutRolledBack {
		t.Fatalf("a late order started another rollout: %+v", r)
	}
}

// rolloutOperator orders one rollout after the other and resends each order, to another replica
// each time, until it is acknowledged.
type rolloutOperator struct {
	world        *world
	number, next int
	to           units.SoftwareVersion
	acknowledged bool
}

// orderNext orders the next version once the current rollout has ended; every other version is bad.
func (o *rolloutOperator) orderNext() {
	leader := o.world.leader()
	if o.to != "" && (!o.acknowledged || leader == nil || leader.core.Table().Rollout(testService).Active()) {
		return
	}
	o.number++
	o.to, o.acknowledged = units.SoftwareVersion(fmt.Sprintf("n%d", o.number)), false
	if o.number%2 == 0 {
		o.to += "bad"
	}
	o.world.registerSoftware(o.to, 3)
	o.send(o.number)
}

func (o *rolloutOperator) send(number int) {
	if o.acknowledged || number != o.number {
		return
	}
	w := o.world
	r := w.replicas[o.next%len(w.replicas)]
	o.next++
	w.orderRollout(r, rolloutTo(o.to), func(a Answer) {
		if a.Err == nil && number == o.number {
			o.acknowledged = true
		}
		if k := fault.KindOf(a.Err); a.Err != nil && (k == fault.NotFound || k == fault.Invalid) {
			w.t.Fatalf("a valid order was refused: %v", a.Err)
		}
	})
	w.after(resendInterval, func() { o.send(number) })
}

// checkRollouts checks that the acknowledged rollout is known to all replicas and boxes, that no
// ended rollout continued, and that no bad version was completed. It returns the stages in which
// rollouts ended.
func (w *world) checkRollouts(acknowledged units.SoftwareVersion) map[units.Revision]table.RolloutStage {
	ended := map[units.Revision]table.RolloutStage{}
	for _, revision := range slices.Sorted(maps.Keys(w.tablesByRevision)) {
		r := w.tablesByRevision[revision].Rollout(testService)
		if r == nil {
			continue
		}
		if stage := ended[r.Order]; stage != 0 && stage != r.Stage {
			w.t.Fatalf("rollout %d ended in stage %d and is in stage %d at revision %d", r.Order, stage, r.Stage, revision)
		}
		if !r.Active() {
			ended[r.Order] = r.Stage
		}
		if r.Stage == table.RolloutCompleted && badIfNamed(r.To) > 0 {
			w.t.Fatalf("the bad version %s was completed: %s", r.To, r.Reason)
		}
	}
	for _, r := range w.replicas {
		if got := r.core.Table().Rollout(testService); got == nil || got.To != acknowledged {
			w.t.Fatalf("%s shows the rollout %+v, the one to %s was acknowledged", r.id, got, acknowledged)
		}
	}
	for _, b := range w.boxes {
		if got := b.core.Table().Rollout(testService); got == nil || got.To != acknowledged {
			w.t.Fatalf("box %s shows the rollout %+v, the one to %s was acknowledged", b.id, got, acknowledged)
		}
	}
	return ended
}

// rolloutFaults are the actions that concern rollouts, in addition to all others.
var rolloutFaults = append([]faultAction{
	{"abort", func(w *world, n int) {
		w.orderRollout(w.replicas[n%len(w.replicas)], table.RolloutOrder{Service: testService, Abort: true}, func(Answer) {})
	}},
	{"lose a new target", func(w *world, n int) {
		w.depart(w.replicas[n%len(w.replicas)], units.TargetID(fmt.Sprintf("n%d-%d", 1+n%5, n%3)))
	}},
	{"lose an old target", func(w *world, n int) {
		w.depart(w.replicas[n%len(w.replicas)], units.TargetID(fmt.Sprintf("v1-%d", n%6)))
	}},
}, growthFaults...)

// Under any faults that the cluster tolerates, along with documents, evacuations, edits and targets
// that come and go: acknowledged rollouts are known to all replicas and boxes in the end and have
// ended, none that was rolled back continues, and none completes while a connected box waits for an
// answer of the old version.
func TestAcknowledgedRolloutsHold(t *testing.T) {
	t.Parallel()
	ends := map[table.RolloutStage]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newGrowingWorld(t, rapid.Uint64().Draw(t, "seed"), 5, 5, 3)
		startTraffic(t, w, badIfNamed)
		evacuations := newEvacuationOperator(w, "d")
		w.registerInDomain("d")
		o := &rolloutOperator{world: w}
		steps := rapid.SliceOfN(rapid.IntRange(0, len(rolloutFaults)*1000-1), 1, 20).Draw(t, "faults")
		for _, s := range steps {
			o.orderNext()
			if s%5 == 0 {
				evacuations.orderNext()
			}
			rolloutFaults[s%len(rolloutFaults)].do(w, s/len(rolloutFaults))
			w.run(stepDuration(s) + time.Duration(s%7)*200*time.Millisecond)
		}
		w.checkRecovery()
		if !o.acknowledged {
			t.Fatalf("the order of %s wasn't acknowledged after all faults had ended", o.to)
		}
		w.run(testDuration)
		for _, stage := range w.checkRollouts(o.to) {
			ends[stage]++
		}
		if r := w.rollout(); r.Active() {
			t.Fatalf("the rollout is still in progress after its deadline: %+v", r)
		}
	})
	t.Logf("%d rollouts were completed, %d rolled back", ends[table.RolloutCompleted], ends[table.RolloutRolledBack])
}
