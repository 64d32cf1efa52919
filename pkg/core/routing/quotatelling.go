package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// quotaTellEvery is how often a box reports to the leader what it has let in, for operators to see: a report with
// each request for a lease would cost several times the bytes.
const quotaTellEvery = 2 * time.Second

// QuotaUse counts the calls of a workspace that a box has let in and refused since it last told.
type QuotaUse struct {
	Workspace units.WorkspaceName
	Admitted  int
	Refused   int
}

// TakeQuotaUses returns what the leader is to be told now, once. What is lost on the way isn't told again.
func (r *Router) TakeQuotaUses(now units.Instant) []QuotaUse {
	b := &r.quotas
	if now < b.tellAt {
		return nil
	}
	b.tellAt = now.Add(quotaTellEvery)
	var list []QuotaUse
	for _, u := range b.order {
		use := QuotaUse{
			Workspace: u.name, Admitted: int(u.status.Admitted) - int(u.told.Admitted), Refused: int(u.status.Refused) - int(u.told.Refused),
		}
		// A call that was reported as let in and ended unsent is subtracted from the next report.
		if use.Admitted > 0 || use.Refused > 0 {
			use.Admitted = max(0, use.Admitted)
			u.told = u.status
			list = append(list, use)
		}
	}
	return list
}
