package control

import (
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// traffic has the boxes send calls to a service by the table that they hold and by the
// exposures that they were granted, and tell of the answers.
type traffic struct {
	world   *world
	service units.ServiceName
	// bad tells the share of a version's answers that fail at a time.
	bad     func(units.SoftwareVersion) float64
	callers map[*boxFake]*caller
	// sent counts the calls to each version.
	sent map[units.SoftwareVersion]int
	// replaced are the versions that completed rollouts have replaced.
	replaced map[units.SoftwareVersion]bool
}

// caller is what one start of a box has sent and been granted.
type caller struct {
	life    int
	asked   map[uint64]units.Instant
	granted map[units.Revision]rollout.Exposure
	counts  map[units.SoftwareVersion]*rollout.Evidence
	// underWay are the ends of calls by the version that they went to.
	underWay map[units.SoftwareVersion][]units.Instant
}

const (
	callEvery   = 10 * time.Millisecond
	longestCall = 300 * time.Millisecond
)

func newTraffic(w *world, service units.ServiceName, bad func(units.SoftwareVersion) float64) *traffic {
	x := &traffic{world: w, service: service, bad: bad, callers: map[*boxFake]*caller{}, sent: map[units.SoftwareVersion]int{}, replaced: map[units.SoftwareVersion]bool{}}
	w.traffic = x
	w.after(callEvery, x.tick)
	return x
}

func (x *traffic) caller(b *boxFake) *caller {
	c := x.callers[b]
	if c == nil || c.life != b.life {
		c = &caller{
			life: b.life, asked: map[uint64]units.Instant{}, granted: map[units.Revision]rollout.Exposure{},
			counts: map[units.SoftwareVersion]*rollout.Evidence{}, underWay: map[units.SoftwareVersion][]units.Instant{},
		}
		x.callers[b] = c
	}
	return c
}

func (x *traffic) tick() {
	for i, b := range x.world.boxes {
		for software, ends := range x.caller(b).underWay {
			x.caller(b).underWay[software] = slices.DeleteFunc(ends, func(at units.Instant) bool { return at <= x.world.now })
		}
		// Boxes with few calls have none under way most of the time.
		if b.up && x.world.random.IntN(1+i*i*10) == 0 {
			x.call(b, x.caller(b))
		}
	}
	x.world.after(callEvery, x.tick)
}

func (x *traffic) call(b *boxFake, c *caller) {
	w := x.world
	to := x.choose(b, c)
	if to == "" {
		return
	}
	if x.replaced[to] && w.now < b.core.LeaseUntil() {
		w.t.Fatalf("box %s sends a call to %s, whose targets have stopped", b.id, to)
	}
	x.sent[to]++
	c.underWay[to] = append(c.underWay[to], w.now.Add(time.Duration(w.random.Int64N(int64(longestCall)))))
	e := c.counts[to]
	if e == nil {
		e = &rollout.Evidence{Service: x.service, Software: to, Route: "h/"}
		c.counts[to] = e
	}
	if w.random.Float64() < x.bad(to) {
		e.Bad++
		return
	}
	e.Good++
	e.Times.Add(time.Duration(20+w.random.IntN(40)) * time.Millisecond)
}

// choose returns the version that a call goes to, as a box does.
func (x *traffic) choose(b *boxFake, c *caller) units.SoftwareVersion {
	t := b.core.Table()
	r := t.Rollout(x.service)
	if !r.Active() {
		return t.SoftwareInForce(x.service)
	}
	g := c.granted[r.Order]
	fresh := x.world.now < g.Until
	switch {
	case r.Stage == table.RolloutShifted && fresh:
		return r.To
	case r.Stage == table.RolloutShifted && x.world.now < b.core.LeaseUntil():
		return ""
	case fresh && g.Since == r.Since && x.world.random.Float64()*100 < float64(g.Share):
		return r.To
	}
	return r.From
}

// tell adds the evidence to a box's request.
func (x *traffic) tell(b *boxFake, m *wire.Envelope) {
	request, c := m.GetRenewRequest(), x.caller(b)
	if request == nil {
		return
	}
	c.asked[request.Nonce] = x.world.now
	r := b.core.Table().Rollout(x.service)
	if !r.Active() {
		return
	}
	for _, software := range slices.Sorted(maps.Keys(c.counts)) {
		e := *c.counts[software]
		e.Order = r.Order
		e.UnderWay = uint32(len(c.underWay[software]))
		request.Evidence = append(request.Evidence, wire.FromEvidence([]rollout.Evidence{e})...)
	}
}

// take takes the exposures that a box is granted.
func (x *traffic) take(b *boxFake, e subscription.Event) {
	v, received := e.(subscription.Received)
	if !received || v.Envelope.GetRenewResponse() == nil {
		return
	}
	c, m := x.caller(b), v.Envelope.GetRenewResponse()
	for _, g := range wire.ToExposures(m.Exposures, c.asked[m.Nonce]) {
		c.granted[g.Order] = g
	}
}

// checkCompletion makes sure that no box in touch has a call under way at the old version
// when a rollout is completed, or sends one there later.
func (x *traffic) checkCompletion(t *table.Table) {
	r := t.Rollout(x.service)
	if r == nil || r.Stage != table.RolloutCompleted || r.Since != t.Revision {
		return
	}
	x.replaced[r.From] = true
	for _, b := range x.world.boxes {
		if !b.up || b.side != 0 || x.world.now >= b.core.LeaseUntil() {
			continue
		}
		for _, end := range x.caller(b).underWay[r.From] {
			if end > x.world.now {
				x.world.t.Fatalf("box %s waits for a call at %s when %s completes", b.id, r.From, r.To)
			}
		}
	}
}
