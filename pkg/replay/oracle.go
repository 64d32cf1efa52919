package replay

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/units"
)

// runOracle runs the same calls with one queue per service and perfect knowledge without delay: a
// call starts as soon as a slot is free, on the target that finishes it first, and its latency
// includes the network delay in both directions.
func runOracle(t *Trace) *Result {
	s := &simulation{
		trace: t, now: startInstant, arrivals: rand.New(rand.NewPCG(t.Seed, 1)),
		events:  container.NewHeap(func(a, b scheduled) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }),
		targets: map[units.TargetID]*target{}, loadFactor: map[units.ServiceName]float64{},
		result: newResult(t.Name, "oracle"),
	}
	s.table = s.makeTable()
	o := &oracle{simulation: s, queues: map[units.ServiceName][]*call{}}
	for _, n := range s.table.ServiceNames() {
		for row := range s.table.Services[n].Rows.All() {
			tt := &target{row: *row, slots: s.spec(n).Slots, slow: 1, busy: map[*job]bool{}, perSecond: map[int]int{}}
			s.targets[row.Target] = tt
			s.targetOrder = append(s.targetOrder, tt)
		}
	}
	for i := range t.Boxes {
		s.boxes = append(s.boxes, &box{domain: t.Domains[i%len(t.Domains)]})
	}
	s.after(settleTime, func() {
		for i := range t.Services {
			o.scheduleArrival(&t.Services[i], o.receiveCall)
		}
	})
	for _, e := range t.Events {
		if strings.HasSuffix(e.Kind, "-box") || e.Kind == "cut-control" {
			continue
		}
		s.after(t.warmup()+e.At.Std(), func() { s.startEvent(e) })
	}
	s.run()
	s.result.computeQuantiles()
	return &s.result
}

type oracle struct {
	*simulation
	queues map[units.ServiceName][]*call
}

// receiveCall appends a call to its service's queue.
func (o *oracle) receiveCall(i int, spec *Service, work time.Duration) {
	c := &call{service: spec, arrived: o.now, work: work, box: o.boxes[i]}
	if o.isMeasured(o.now) {
		o.result.Offered++
	}
	o.queues[spec.Name] = append(o.queues[spec.Name], c)
	o.startQueued(spec.Name)
}

// startQueued starts queued calls while slots are free.
func (o *oracle) startQueued(service units.ServiceName) {
	for len(o.queues[service]) > 0 {
		c := o.queues[service][0]
		t := o.fastestTarget(c)
		if t == nil {
			return
		}
		o.queues[service] = o.queues[service][1:]
		j := &job{call: c, work: c.work}
		t.busy[j] = true
		if o.isMeasured(c.arrived) {
			o.result.Sends++
		}
		o.after(time.Duration(float64(c.work)*t.slow), func() { o.finishJob(t, j) })
	}
}

func (o *oracle) finishJob(t *target, j *job) {
	delete(t.busy, j)
	c := j.call
	if o.isMeasured(c.arrived) {
		o.result.addAnswer(c.service.Name, o.now.Sub(c.arrived)+2*o.networkDelay(c.box.domain, t.row.Domain))
	}
	o.startQueued(c.service.Name)
}

// fastestTarget returns the target with a free slot that finishes the call first, or nil.
func (o *oracle) fastestTarget(c *call) *target {
	var best *target
	var bestTime time.Duration
	for _, t := range o.targetOrder {
		if t.row.Service != c.service.Name || !t.usable() || len(t.busy) >= t.slots {
			continue
		}
		took := time.Duration(float64(c.work)*t.slow) + 2*o.networkDelay(c.box.domain, t.row.Domain)
		if best == nil || took < bestTime {
			best, bestTime = t, took
		}
	}
	return best
}

// usable reports whether the oracle may send calls to the target.
func (t *target) usable() bool {
	return t.row.State.String() == "active" && t.row.Weight > 0 && !t.fails && !t.sheds && !t.frozen
}
