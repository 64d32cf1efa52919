package target

import (
	"maps"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may ask for rest while a call that has been chosen for it waits for a connection. So
// each send looks once more, right before its first byte.

// withheld is until when calls and probes are kept from a target.
type withheld struct{ calls, probes units.Instant }

// Withhold keeps calls that haven't been sent from a target until an instant, and probes until
// another. It takes the place of what was said before.
func (p *Pools) Withhold(x *routing.Endpoint, calls, probes units.Instant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.withheld[x] = withheld{calls: calls, probes: probes}
	p.anyWithheld.Store(true)
}

// withheld tells whether nothing of an attempt may be sent now.
func (a *Attempt) withheld() bool {
	p := a.pools
	if !p.anyWithheld.Load() {
		return false
	}
	now := p.clock.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	if a.probe {
		return now < p.withheld[a.endpoint].probes
	}
	return now < p.withheld[a.endpoint].calls
}

// dropWithheld forgets what is over. It is called with the lock held.
func (p *Pools) dropWithheld() {
	now := p.clock.Now()
	maps.DeleteFunc(p.withheld, func(_ *routing.Endpoint, w withheld) bool { return max(w.calls, w.probes) <= now })
	p.anyWithheld.Store(len(p.withheld) > 0)
}
