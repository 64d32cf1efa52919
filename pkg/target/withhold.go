package target

import (
	"maps"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may ask for rest or name a limit while a call that has been chosen for it waits for a connection. So
// each send looks once more, right before its first byte.

// Withholding says what is kept from a target that hasn't been sent.
type Withholding struct {
	// CallsUntil and ProbesUntil are until when calls and probes are.
	CallsUntil, ProbesUntil units.Instant
	// Limited is set while the target names a limit: what goes without a permit is kept from it.
	Limited bool
}

// isExpired tells whether nothing is kept from the target any more.
func (w *Withholding) isExpired(now units.Instant) bool {
	return !w.Limited && max(w.CallsUntil, w.ProbesUntil) <= now
}

// Withhold keeps calls and probes that haven't been sent from a target. It takes the place of what was
// said before.
func (p *Pools) Withhold(x *routing.Endpoint, w Withholding) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.withheld[x] = w
	p.anyWithheld.Store(true)
}

// isWithheld tells whether nothing of an attempt may be sent now.
func (a *Attempt) isWithheld() bool {
	p := a.pools
	if !p.anyWithheld.Load() {
		return false
	}
	now := p.clock.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	w := p.withheld[a.endpoint]
	if w.Limited && now >= a.permitUntil {
		return true
	}
	if a.isProbe {
		return now < w.ProbesUntil
	}
	return now < w.CallsUntil
}

// dropExpiredWithheld forgets what is over. It is called with the lock held.
func (p *Pools) dropExpiredWithheld() {
	now := p.clock.Now()
	maps.DeleteFunc(p.withheld, func(_ *routing.Endpoint, w Withholding) bool { return w.isExpired(now) })
	p.anyWithheld.Store(len(p.withheld) > 0)
}
