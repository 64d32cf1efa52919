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

// traffic has the boxes send calls to a service according to the tables that they have and the
// exposures that they were granted, and report the answers as evidence.
type traffic struct {
	world   *world
	service units.ServiceName
	// failureRate returns the fraction of a version's answers that fail.
	failureRate func(units.SoftwareVersion) float64
	byBox       map[*fakeBox]*boxTraffic
	// sent counts the calls to each version.
	sent map[units.SoftwareVersion]int
	// replaced are the versions that completed rollouts have replaced.
	replaced map[units.SoftwareVersion]bool
}

// boxTraffic is the calls of one process of a box and the exposures that it was granted.
type boxTraffic struct {
	generation  int
	requestedAt map[uint64]units.Instant
	granted     map[units.Revision]rollout.Exposure
	counts      map[units.SoftwareVersion]*rollout.Evidence
	// inFlight has the end times of calls by the version that they were sent to.
	inFlight map[units.SoftwareVersion][]units.Instant
}

const (
	callInterval = 10 * time.Millisecond
	maxCallTime  = 300 * time.Millisecond
)

func newTraffic(w *world, service units.ServiceName, failureRate func(units.SoftwareVersion) float64) *traffic {
	x := &traffic{world: w, service: service, failureRate: failureRate, byBox: map[*fakeBox]*boxTraffic{}, sent: map[units.SoftwareVersion]int{}, replaced: map[units.SoftwareVersion]bool{}}
	w.traffic = x
	w.after(callInterval, x.tick)
	return x
}

func (x *traffic) trafficOf(b *fakeBox) *boxTraffic {
	c := x.byBox[b]
	if c == nil || c.generation != b.generation {
		c = &boxTraffic{
			generation: b.generation, requestedAt: map[uint64]units.Instant{}, granted: map[units.Revision]rollout.Exposure{},
			counts: map[units.SoftwareVersion]*rollout.Evidence{}, inFlight: map[units.SoftwareVersion][]units.Instant{},
		}
		x.byBox[b] = c
	}
	return c
}

func (x *traffic) tick() {
	for i, b := range x.world.boxes {
		for software, ends := range x.trafficOf(b).inFlight {
			x.trafficOf(b).inFlight[software] = slices.DeleteFunc(ends, func(at units.Instant) bool { return at <= x.world.now })
		}
		// Boxes with few calls have none in flight most of the time.
		if b.up && x.world.random.IntN(1+i*i*10) == 0 {
			x.call(b, x.trafficOf(b))
		}
	}
	x.world.after(callInterval, x.tick)
}

func (x *traffic) call(b *fakeBox, c *boxTraffic) {
	w := x.world
	to := x.chooseVersion(b, c)
	if to == "" {
		return
	}
	if x.replaced[to] && w.now < b.core.LeaseUntil() {
		w.t.Fatalf("box %s sends a call to %s, whose targets have stopped", b.id, to)
	}
	x.sent[to]++
	c.inFlight[to] = append(c.inFlight[to], w.now.Add(time.Duration(w.random.Int64N(int64(maxCallTime)))))
	e := c.counts[to]
	if e == nil {
		e = &rollout.Evidence{Service: x.service, Software: to, Route: "h/"}
		c.counts[to] = e
	}
	if w.random.Float64() < x.failureRate(to) {
		e.Failures++
		return
	}
	e.Successes++
	e.Times.Add(time.Duration(20+w.random.IntN(40)) * time.Millisecond)
}

// chooseVersion returns the version that a call is sent to, by the rules that a box follows.
func (x *traffic) chooseVersion(b *fakeBox, c *boxTraffic) units.SoftwareVersion {
	t := b.core.Table()
	r := t.Rollout(x.service)
	if !r.Active() {
		return t.SoftwareInForce(x.service)
	}
	g := c.granted[r.Order]
	fresh := x.world.now < g.ExpiresAt
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

// addEvidence adds the evidence to a box's lease request.
func (x *traffic) addEvidence(b *fakeBox, m *wire.Envelope) {
	request, c := m.GetRenewRequest(), x.trafficOf(b)
	if request == nil {
		return
	}
	c.requestedAt[request.Nonce] = x.world.now
	r := b.core.Table().Rollout(x.service)
	if !r.Active() {
		return
	}
	for _, software := range slices.Sorted(maps.Keys(c.counts)) {
		e := *c.counts[software]
		e.Order = r.Order
		e.InFlight = uint32(len(c.inFlight[software]))
		request.Evidence = append(request.Evidence, wire.FromEvidence([]rollout.Evidence{e})...)
	}
}

// recordExposures records the exposures that a box is granted.
func (x *traffic) recordExposures(b *fakeBox, e subscription.Event) {
	v, received := e.(subscription.Received)
	if !received || v.Envelope.GetRenewResponse() == nil {
		return
	}
	c, m := x.trafficOf(b), v.Envelope.GetRenewResponse()
	for _, g := range wire.ToExposures(m.Exposures, c.requestedAt[m.Nonce]) {
		c.granted[g.Order] = g
	}
}

// checkCompletion checks, when a rollout is completed, that no connected box has a call in flight
// to the old version, and marks that version so that a later call to it fails the test.
func (x *traffic) checkCompletion(t *table.Table) {
	r := t.Rollout(x.service)
	if r == nil || r.Stage != table.RolloutCompleted || r.Since != t.Revision {
		return
	}
	x.replaced[r.From] = true
	for _, b := range x.world.boxes {
		if !b.up || b.partition != 0 || x.world.now >= b.core.LeaseUntil() {
			continue
		}
		for _, end := range x.trafficOf(b).inFlight[r.From] {
			if end > x.world.now {
				x.world.t.Fatalf("box %s has a call in flight to %s when %s is completed", b.id, r.From, r.To)
			}
		}
	}
}
