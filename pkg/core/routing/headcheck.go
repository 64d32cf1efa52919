package routing

import "github.com/madderpond/madderpond/pkg/units"

// CheckHead returns the refusal that a call would get by its head alone, and false if there is none. A call with a
// long body is refused before that is read. It takes nothing: the call still has to arrive.
func (r *Router) CheckHead(now units.Instant, v *CallArrived) (Refusal, bool) {
	r.now = max(now, r.now)
	if v.Relayed != nil || r.tableIsEmpty() {
		return Refusal{}, false
	}
	if !r.leased() {
		return noLeaseRefusal, true
	}
	x, _, refusal := r.resolve(v)
	if refusal.Reason == 0 && r.mayOutlastBox(x, v.Deadline) {
		refusal = stoppingRefusal
	}
	return refusal, refusal.Reason != 0
}
