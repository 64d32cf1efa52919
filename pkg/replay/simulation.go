package replay

import (
	"math/rand/v2"
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// simulation is one run of a trace with one variant.
type simulation struct {
	trace       *Trace
	variant     Variant
	arrivals    *rand.Rand
	network     *rand.Rand
	now         units.Instant
	events      *container.Heap[scheduled]
	sequence    int
	boxes       []*box
	targets     map[units.TargetID]*target
	targetOrder []*target
	table       *table.Table
	loadFactor  map[units.ServiceName]float64
	// usefulWork is the work of the calls that arrived and were answered during overloads, and
	// overloadCapacity the slot time of the overloads.
	usefulWork       time.Duration
	overloadCapacity time.Duration
	// entriesBySecond holds the services' rows at the beginning of each second, by second.
	entriesBySecond map[int]map[units.ServiceName]*table.Entry
	result          Result
	ended           bool
}

type scheduled struct {
	at       units.Instant
	sequence int
	run      func()
}

// box is a real routing core with its simulated environment.
type box struct {
	id      units.BoxID
	domain  units.Domain
	router  *routing.Router
	effects routing.Effects
	// idle counts the idle connections to each target.
	idle   map[units.TargetID]int
	dead   bool
	frozen bool
	cut    bool
	// cutControl is set while the box is cut off only from the control state.
	cutControl    bool
	pendingEvents []routing.Event
	wakeAt        units.Instant
	// renewedAt is when the box's lease was last renewed.
	renewedAt units.Instant
	// excluded is set while the platform's load balancer sends no calls to the box.
	excluded bool
}

// call is a caller's call with its sends.
type call struct {
	id      routing.CallID
	service *Service
	arrived units.Instant
	work    time.Duration
	jobs    []*job
	sends   int
	ended   bool
	box     *box
	// duringOverload is set if the call arrived during an overload.
	duringOverload bool
}

// startInstant is the instant at which a simulation starts; the zero instant means unset.
const startInstant = units.Instant(time.Second)

// The simulated control state's timing.
const (
	leaseTime   = 2 * time.Second
	renewPeriod = 250 * time.Millisecond
	shareDelay  = 2500 * time.Millisecond
	// settleTime is the time before the first call: a box isn't ready until its shares have
	// taken effect.
	settleTime = shareDelay + 100*time.Millisecond
	// editDelay is how long an accepted edit takes to reach a box.
	editDelay = 20 * time.Millisecond
	// boxLossDelay is how long after its loss a box is removed from the table.
	boxLossDelay = leaseTime + 500*time.Millisecond
)

// Run replays a trace with a variant. The error is that of an invalid routing setting.
func Run(t *Trace, v Variant) (*Result, error) {
	if v.Policy == "" {
		return runOracle(t), nil
	}
	s := &simulation{
		trace: t, variant: v, now: startInstant,
		arrivals: rand.New(rand.NewPCG(t.Seed, 1)), network: rand.New(rand.NewPCG(t.Seed, 2)),
		events:  container.NewHeap(func(a, b scheduled) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }),
		targets: map[units.TargetID]*target{}, loadFactor: map[units.ServiceName]float64{},
		entriesBySecond: map[int]map[units.ServiceName]*table.Entry{},
		result:          newResult(t.Name, v.Name),
	}
	if err := s.prepare(); err != nil {
		return nil, err
	}
	s.recordEntries()
	s.checkReadiness()
	s.run()
	s.computeResult()
	return &s.result, nil
}

func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	s.events.Push(scheduled{at: s.now.Add(d), sequence: s.sequence, run: run})
}

func (s *simulation) run() {
	end := startInstant.Add(s.trace.end())
	for {
		e, ok := s.events.Peek()
		if !ok || e.at > end.Add(drainTime) {
			return
		}
		s.events.Pop()
		s.now = e.at
		s.ended = s.now >= end
		e.run()
	}
}

// drainTime is the time after the end of a trace in which remaining calls may finish.
const drainTime = 2 * time.Second

// isMeasured reports whether an instant is in the measured part of the trace.
func (s *simulation) isMeasured(at units.Instant) bool {
	return at >= startInstant.Add(s.trace.warmup()) && at < startInstant.Add(s.trace.end())
}

func (s *simulation) networkDelay(a, b units.Domain) time.Duration {
	if a == b {
		return s.trace.Network.Same.Std()
	}
	return s.trace.Network.Cross.Std()
}

// reduce passes an event to a box's core and applies the effects; a frozen box gets it when it is unfrozen.
func (s *simulation) reduce(b *box, e routing.Event) {
	if b.dead || b.router == nil {
		return
	}
	if b.frozen {
		b.pendingEvents = append(b.pendingEvents, e)
		return
	}
	b.effects.Reset()
	b.router.Reduce(s.now, e, &b.effects)
	for i := range b.effects.List {
		s.applyEffect(b, b.effects.List[i])
	}
	s.scheduleWake(b)
}

func (s *simulation) scheduleWake(b *box) {
	if b.router == nil {
		return
	}
	next := max(b.router.NextWake(), s.now.Add(50*time.Microsecond))
	if b.wakeAt > s.now && b.wakeAt <= next {
		return
	}
	b.wakeAt = next
	s.after(next.Sub(s.now), func() {
		if b.wakeAt == next {
			b.wakeAt = 0
			s.reduce(b, &routing.Tick{})
		}
	})
}

func (s *simulation) applyEffect(b *box, x routing.Effect) {
	switch x.Kind {
	case routing.Send:
		s.send(b, x)
	case routing.Hold:
		x.Owner.(*call).id = x.Call
		s.result.incrementIf(s.isMeasured(x.Owner.(*call).arrived), &s.result.Held)
	case routing.Refuse:
		s.recordRefused(x.Owner.(*call), x.Refusal)
	case routing.Deliver:
		s.recordDelivered(x.Owner.(*call))
	case routing.Cancel:
		s.cancelAttempt(x)
	case routing.Probe:
		s.probe(b, x)
	case routing.SendLoanMessage:
		s.sendPeer(b, x)
	}
}

func (s *simulation) send(b *box, x routing.Effect) {
	c := x.Owner.(*call)
	c.id = x.Call
	c.sends++
	t := s.targets[x.Endpoint.Target]
	j := &job{box: b, call: c, attempt: x.Attempt, endpoint: x.Endpoint, work: c.work, target: t}
	c.jobs = append(c.jobs, j)
	d := s.networkDelay(b.domain, t.row.Domain)
	if b.idle[t.row.Target] > 0 {
		b.idle[t.row.Target]--
	} else {
		d += s.trace.Network.Connect.Std()
	}
	if s.isMeasured(c.arrived) {
		s.result.Sends++
	}
	s.after(d, func() { s.receiveJob(t, j) })
}

func (s *simulation) cancelAttempt(x routing.Effect) {
	for _, j := range x.Owner.(*call).jobs {
		if j.attempt == x.Attempt {
			s.cancel(j)
		}
	}
}

func (s *simulation) probe(b *box, x routing.Effect) {
	t := s.targets[x.Endpoint.Target]
	j := &job{box: b, endpoint: x.Endpoint, work: s.trace.Network.Probe.Std(), probe: true, target: t}
	s.after(s.networkDelay(b.domain, t.row.Domain), func() { s.receiveJob(t, j) })
}

func (s *simulation) sendPeer(b *box, x routing.Effect) {
	to := s.box(x.Peer)
	if to == nil || b.cut {
		return
	}
	s.result.PeerMessages++
	m := x.Loan
	s.after(s.networkDelay(b.domain, to.domain), func() {
		if !to.cut {
			s.reduce(to, &routing.PeerLoan{From: b.id, Message: m})
		}
	})
}

func (s *simulation) box(id units.BoxID) *box {
	for _, b := range s.boxes {
		if b.id == id {
			return b
		}
	}
	return nil
}

func (s *simulation) recordRefused(c *call, r routing.Refusal) {
	if c.ended {
		return
	}
	c.ended = true
	if s.isMeasured(c.arrived) {
		s.result.addRefusal(r.Reason.String(), s.now.Sub(c.arrived))
	}
}

func (s *simulation) recordDelivered(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	if s.isMeasured(c.arrived) {
		s.result.addAnswer(c.service.Name, s.now.Sub(c.arrived))
	}
	if c.duringOverload && s.loadFactor[c.service.Name] > 1 {
		s.usefulWork += c.work
	}
}

func (s *simulation) renewLease(b *box) {
	if b.dead {
		return
	}
	if !b.cut && !b.cutControl {
		b.renewedAt = s.now
		s.reduce(b, &routing.LeaseChanged{Until: s.now.Add(leaseTime)})
	}
	if !s.ended {
		s.after(renewPeriod, func() { s.renewLease(b) })
	}
}

// updateTable passes a table to a box's core.
func (s *simulation) updateTable(b *box, t *table.Table) {
	s.reduce(b, &routing.TableChanged{Table: t})
}

// computeResult computes the result from the state of the targets and the cores.
func (s *simulation) computeResult() {
	seconds := s.trace.end().Seconds()
	for _, t := range s.targetOrder {
		spec := s.spec(t.row.Service)
		over := 0
		if s.variant.Limits {
			over = max(0, t.peak-spec.Limit)
		}
		s.result.OverLimit = max(s.result.OverLimit, over)
		share := t.probeTime.Seconds() / (float64(t.slots) * seconds) * 100
		s.result.ProbeShare = max(s.result.ProbeShare, share)
	}
	for _, b := range s.boxes {
		for _, v := range b.router.Status(s.now).Services {
			s.result.Hedges += v.Hedges
			s.result.Retries += v.Retries
		}
	}
	s.result.WeightError = s.weightError()
	s.result.Goodput = s.goodput()
	s.result.computeQuantiles()
}

// goodput returns the work of the calls answered during overloads divided by the slot time of the
// overloads, in percent; zero without an overload.
func (s *simulation) goodput() float64 {
	if s.overloadCapacity == 0 {
		return 0
	}
	return 100 * s.usefulWork.Seconds() / s.overloadCapacity.Seconds()
}
