package wire

import (
	"math"
	"time"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// FromLimit returns the wire form of a LimitMessage, a message between boxes about a target's limit.
func FromLimit(m *routing.LimitMessage) *Limit {
	return &Limit{
		Kind: int32(m.Kind), Service: string(m.Service), Target: string(m.Target), Born: int64(m.Born), Nonce: m.Nonce,
		Count: int32(m.Count), Again: int64(m.RetryAfter),
		Version: m.LimitState.Version, Limited: m.LimitState.Limited, Rate: float64(m.LimitState.Rate),
	}
}

// ToLimit is the inverse of FromLimit. Invalid values become zero: a negative or NaN rate, which then
// is the strictest limit, a negative count and a negative delay.
func ToLimit(m *Limit) routing.LimitMessage {
	rate := m.Rate
	if math.IsNaN(rate) || rate < 0 {
		rate = 0
	}
	return routing.LimitMessage{
		Kind: routing.LimitKind(m.Kind), Service: units.ServiceName(m.Service), Target: units.TargetID(m.Target),
		Born: units.WallTime(m.Born), Nonce: m.Nonce, Count: max(0, int(m.Count)), RetryAfter: max(0, time.Duration(m.Again)),
		LimitState: limit.State{Version: m.Version, Limited: m.Limited, Rate: units.CallRate(rate)},
	}
}
