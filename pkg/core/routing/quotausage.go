package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// quotaReportInterval is how often a box reports admitted and refused calls to the leader, for
// operators. A report with each lease request would cost several times the bytes.
const quotaReportInterval = 2 * time.Second

// QuotaUsage counts the calls of a workspace that a box has admitted and refused since its last
// report.
type QuotaUsage struct {
	Workspace units.WorkspaceName
	Admitted  int
	Refused   int
}

// DrainQuotaUsage returns the usage to report to the leader, if a report is due; the same calls
// aren't returned again. A report lost in transit isn't repeated.
func (r *Router) DrainQuotaUsage(now units.Instant) []QuotaUsage {
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
		// A call that was reported as admitted and ended unsent is subtracted from the next report.
		if use.Admitted > 0 || use.Refused > 0 {
			use.Admitted = max(0, use.Admitted)
			u.reported = u.status
			list = append(list, use)
		}
	}
	return list
}
