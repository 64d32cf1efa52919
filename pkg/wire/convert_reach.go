package wire

import (
	"math"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// FromReach returns the wire form of a message between boxes about the targets that they reach.
func FromReach(m *routing.ReachMessage) *Reach {
	return &Reach{
		Kind: int32(m.Kind), HeardAge: int64(m.HeardAge), HearsNothing: m.HearsNothing,
		Scopes:  mapSlice(m.Scopes, fromReachScope),
		Relayed: int32(min(m.Relayed, math.MaxInt32)), Full: m.Full,
		Helpers: mapSlice(m.Helpers, func(id units.BoxID) string { return string(id) }),
	}
}

// ToReach is the inverse of FromReach. Negative counts become zero, and an unknown kind zero.
func ToReach(m *Reach) routing.ReachMessage {
	x := routing.ReachMessage{
		HeardAge: time.Duration(m.HeardAge), HearsNothing: m.HearsNothing,
		Scopes:  mapSlice(m.Scopes, toReachScope),
		Relayed: max(0, int(m.Relayed)), Full: m.Full,
		Helpers: mapSlice(m.Helpers, func(id string) units.BoxID { return units.BoxID(id) }),
	}
	if m.Kind == int32(routing.ReachQuery) || m.Kind == int32(routing.ReachAnswer) {
		x.Kind = routing.ReachMessageKind(m.Kind)
	}
	return x
}

func fromReachScope(x routing.ReachScope) *ReachScope {
	return &ReachScope{
		Service: string(x.Service), Regions: mapSlice(x.Regions, func(name units.Region) string { return string(name) }),
		CutOff: x.CutOff, CutAge: int64(x.CutAge), HeardAge: int64(x.HeardAge),
	}
}

func toReachScope(x *ReachScope) routing.ReachScope {
	return routing.ReachScope{
		Service: units.ServiceName(x.Service), Regions: mapSlice(x.Regions, func(name string) units.Region { return units.Region(name) }),
		CutOff: x.CutOff, CutAge: max(0, time.Duration(x.CutAge)), HeardAge: time.Duration(x.HeardAge),
	}
}
