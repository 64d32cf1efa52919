package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// quotaReportInterval is how often a box reports to the leader what it has let in, for operators to see: a report with
// each request for a lease would cost several times the bytes.
const quotaReportInterval = 2 * time.Second

// QuotaUsage counts the calls of a workspace that a box has let in and refused since it last told.
type QuotaUsage struct {
	Workspace units.WorkspaceName
	Admitted  int
	Refused   int
}

// TakeQuotaUsage returns what the leader is to be told now, once. What is lost on the way isn't told again.
func (r *Router) TakeQuotaUsage(now units.Instant) []QuotaUsage {
	b := &r.quotas
	if now < b.reportAt {
		return nil
	}
	b.reportAt = now.Add(quotaReportInterval)
	var list []QuotaUsage
	for _, u := range b.order {
		use := QuotaUsage{
			Workspace: u.name, Admitted: int(u.status.Admitted) - int(u.reported.Admitted), Refused: int(u.status.Refused) - int(u.reported.Refused),
		}
		// A call that was reported as let in and ended unsent is subtracted from the next report.
		if use.Admitted > 0 || use.Refused > 0 {
			use.Admitted = max(0, use.Admitted)
			u.reported = u.status
			list = append(list, use)
		}
	}
	return list
}
