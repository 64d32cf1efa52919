package wire

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

func fromRollout(r table.Rollout) *Rollout {
	return &Rollout{
		Service: string(r.Service), From: string(r.From), To: string(r.To), Stage: int32(r.Stage), Order: uint64(r.Order),
		Since: uint64(r.Since), Share: float64(r.Share), Targets: fromTargets(r.Targets), Duration: int64(r.Duration),
		Elapsed: int64(r.Elapsed), Operator: r.Operator, At: int64(r.At), Reason: r.Reason,
	}
}

func toRollout(r *Rollout) table.Rollout {
	return table.Rollout{
		Service: units.ServiceName(r.Service), From: units.Software(r.From), To: units.Software(r.To),
		Stage: table.RolloutStage(r.Stage), Order: units.Revision(r.Order), Since: units.Revision(r.Since),
		Share: units.Percent(r.Share), Targets: toTargets(r.Targets), Duration: time.Duration(r.Duration),
		Elapsed: time.Duration(r.Elapsed), Operator: r.Operator, At: units.WallTime(r.At), Reason: r.Reason,
	}
}

func fromTargets(ids []units.TargetID) []string {
	return mapSlice(ids, func(id units.TargetID) string { return string(id) })
}

func toTargets(ids []string) []units.TargetID {
	return mapSlice(ids, func(id string) units.TargetID { return units.TargetID(id) })
}

func fromInForce(x table.SoftwareInForce) *SoftwareInForce {
	return &SoftwareInForce{Service: string(x.Service), Software: string(x.Software)}
}

func toInForce(x *SoftwareInForce) table.SoftwareInForce {
	return table.SoftwareInForce{Service: units.ServiceName(x.Service), Software: units.Software(x.Software)}
}
