package wire

import (
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// FromTokens converts a message between boxes about the tokens of a service's budgets.
func FromTokens(m *routing.TokenMessage) *Tokens {
	return &Tokens{
		Kind: int32(m.Kind), Service: string(m.Service), Nonce: m.Nonce, Probes: int32(m.Probes), MaxCalls: int32(m.MaxCalls), Cold: m.Cold,
		Calls: mapSlice(m.Calls, func(t units.TargetID) string { return string(t) }),
	}
}

// ToTokens is the inverse of FromTokens. A negative count becomes zero.
func ToTokens(m *Tokens) routing.TokenMessage {
	return routing.TokenMessage{
		Kind: routing.TokenKind(m.Kind), Service: units.ServiceName(m.Service), Nonce: m.Nonce, Probes: max(0, int(m.Probes)),
		MaxCalls: max(0, int(m.MaxCalls)), Cold: m.Cold,
		Calls: mapSlice(m.Calls, func(t string) units.TargetID { return units.TargetID(t) }),
	}
}
