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
		return Refusal{Reason: NoLease, Outcome: NotRun, RetryAfter: noLeaseRetryAfter}, true
	}
	x := r.routes.find(v.Host, v.Path)
	if x == nil {
		return r.noRouteRefusal(), true
	}
	if _, refusal := r.findWorkspace(x, &v.Credential); refusal.Reason != 0 {
		return refusal, true
	}
	if r.mayOutlastBox(x, v.Deadline) {
		return stoppingRefusal, true
	}
	return Refusal{}, false
}
