package target

import (
	"maps"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may ask for rest or announce a limit while a call that was assigned to it waits for a
// connection. So each send checks once more, right before its first byte.

// Withholding is until when, or under which condition, calls and probes must not be sent to a target.
type Withholding struct {
	// CallsUntil and ProbesUntil are until when calls and probes are withheld.
	CallsUntil, ProbesUntil units.Instant
	// Limited is set while the target announces a limit: sends without a valid permit are withheld.
	Limited bool
}

// isExpired reports whether nothing is withheld any more.
func (w *Withholding) isExpired(now units.Instant) bool {
	return !w.Limited && max(w.CallsUntil, w.ProbesUntil) <= now
}

// Withhold prevents unsent calls and probes from being sent to a target. It replaces the previous
// withholding of the target.
func (p *Pools) Withhold(x *routing.Endpoint, w Withholding) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.withheld[x] = w
	p.anyWithheld.Store(true)
}

// isWithheld reports whether the attempt must not be sent now.
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

// dropExpiredWithheld removes expired withholdings. It is called with the lock held.
func (p *Pools) dropExpiredWithheld() {
	now := p.clock.Now()
	maps.DeleteFunc(p.withheld, func(_ *routing.Endpoint, w Withholding) bool { return w.isExpired(now) })
	p.anyWithheld.Store(len(p.withheld) > 0)
}
