package wire

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// FromLoan converts a message between boxes about loans of slots.
func FromLoan(m routing.LoanMessage) *Loan {
	return &Loan{
		Kind: int32(m.Kind), Service: string(m.Service), Target: string(m.Target), Loan: uint64(m.Loan),
		Count: int32(m.Count), Nonce: m.Nonce, Free: int32(m.SpareSlots), Term: int64(m.Term),
		Loans: mapSlice(m.Loans, func(id routing.LoanID) uint64 { return uint64(id) }),
	}
}

// ToLoan is the inverse of FromLoan.
func ToLoan(m *Loan) routing.LoanMessage {
	return routing.LoanMessage{
		Kind: routing.LoanKind(m.Kind), Service: units.ServiceName(m.Service), Target: units.TargetID(m.Target),
		Loan: routing.LoanID(m.Loan), Count: int(m.Count), Nonce: m.Nonce, SpareSlots: int(m.Free), Term: time.Duration(m.Term),
		Loans: mapSlice(m.Loans, func(id uint64) routing.LoanID { return routing.LoanID(id) }),
	}
}
