package wire

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/rollout"
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
		Service: units.ServiceName(r.Service), From: units.SoftwareVersion(r.From), To: units.SoftwareVersion(r.To),
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

func fromSoftwareInForce(x table.SoftwareInForce) *SoftwareInForce {
	return &SoftwareInForce{Service: string(x.Service), Software: string(x.Software)}
}

func toSoftwareInForce(x *SoftwareInForce) table.SoftwareInForce {
	return table.SoftwareInForce{Service: units.ServiceName(x.Service), Software: units.SoftwareVersion(x.Software)}
}

// FromRolloutOrder converts an operator's rollout order to a message.
func FromRolloutOrder(o *table.RolloutOrder) *RolloutOrder {
	return &RolloutOrder{
		Service: string(o.Service), To: string(o.To), Duration: int64(o.Duration), Abort: o.Abort, Operator: o.Operator,
		Base: uint64(o.Base),
	}
}

// ToRolloutOrder is the inverse of FromRolloutOrder.
func ToRolloutOrder(o *RolloutOrder) *table.RolloutOrder {
	return &table.RolloutOrder{
		Service: units.ServiceName(o.Service), To: units.SoftwareVersion(o.To), Duration: time.Duration(o.Duration),
		Abort: o.Abort, Operator: o.Operator, Base: units.Revision(o.Base),
	}
}

// FromRolloutStep converts the leader's decision on a rollout to a message.
func FromRolloutStep(x *table.RolloutStep) *RolloutStep {
	return &RolloutStep{
		Service: string(x.Service), Order: uint64(x.Order), Stage: int32(x.Stage), Share: float64(x.Share),
		Targets: fromTargets(x.Targets), Elapsed: int64(x.Elapsed), Reason: x.Reason,
	}
}

// ToRolloutStep is the inverse of FromRolloutStep.
func ToRolloutStep(x *RolloutStep) *table.RolloutStep {
	return &table.RolloutStep{
		Service: units.ServiceName(x.Service), Order: units.Revision(x.Order), Stage: table.RolloutStage(x.Stage),
		Share: units.Percent(x.Share), Targets: toTargets(x.Targets), Elapsed: time.Duration(x.Elapsed), Reason: x.Reason,
	}
}

// FromExposure converts an exposure that is granted for a duration.
func FromExposure(x rollout.Exposure, duration time.Duration) *Exposure {
	return &Exposure{
		Service: string(x.Service), Order: uint64(x.Order), Since: uint64(x.Since), Share: float64(x.Share),
		Duration: int64(duration),
	}
}
