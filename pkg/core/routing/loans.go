package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Boxes lend each other slots. A limit is divided among the boxes, so that it
// holds whatever becomes of any of them; a box with calls to hold asks a few
// others for slots that they don't use. A loan is a lease: the borrower renews
// it, and the lender counts it as out until it is returned or has run out on
// both sides.

// LoanID names a loan of one lender.
type LoanID uint64

// LoanKind says what a message between boxes is about.
type LoanKind uint8

// The kinds of message.
const (
	// RequestSlots asks for up to Count slots of a service.
	RequestSlots LoanKind = iota + 1
	// OfferSlot lends one slot of a target.
	OfferSlot
	// ReturnSlot gives a slot back.
	ReturnSlot
	// RenewLoans names the loans that the borrower still holds.
	RenewLoans
	// ConfirmLoans answers RenewLoans.
	ConfirmLoans
	// RecallSlots asks for the slots of a service back.
	RecallSlots
)

// LoanMessage is a message between two boxes.
type LoanMessage struct {
	Kind    LoanKind
	Service units.ServiceName
	Target  units.TargetID
	Loan    LoanID
	Count   int
	// Nonce ties an answer to its question.
	Nonce uint64
	Loans []LoanID
	// Term is how long what is offered or confirmed may be used, counted from when
	// it was asked for.
	Term time.Duration
	// SpareSlots is how many slots of the service the sender has to spare.
	SpareSlots int
}

const (
	// maxLoanTerm is how long a borrower may use a loan after it asked for it or
	// last had it confirmed.
	maxLoanTerm = 2 * time.Second
	// loanReclaimTimeout is when a lender takes back a loan that it heard nothing of; it
	// is longer than the term, whatever the clocks' speeds.
	loanReclaimTimeout = maxLoanTerm + 500*time.Millisecond
	// loanRenewInterval is how often a borrower renews.
	loanRenewInterval = 500 * time.Millisecond
	// loanIdleTimeout is how long a borrower keeps a slot that it doesn't use.
	loanIdleTimeout = 20 * time.Millisecond
	// loanRequestInterval is how long a box waits before it asks for more.
	loanRequestInterval = time.Millisecond
	// lendersPerRequest is how many boxes are asked at a time, out of the best of
	// sampledBoxes drawn at random.
	lendersPerRequest   = 1
	lenderSampleSize = 6
	// loanRequestTTL is how long a lender remembers a request that it couldn't meet.
	loanRequestTTL = 10 * time.Millisecond
)

// loanState holds a box's loans in both directions.
type loanState struct {
	nextID   LoanID
	nonce    uint64
	requests    map[uint64]units.Instant
	renewals map[uint64]units.Instant
	borrowed []*loan
	lent     []*lentSlot
	renewAt  units.Instant

	// The totals are for the dump.
	requestTotal, lentTotal, borrowedTotal uint64
}

func newLoanState() loanState {
	return loanState{requests: map[uint64]units.Instant{}, renewals: map[uint64]units.Instant{}}
}

// active tells whether anything is lent or borrowed.
func (b *loanState) active() bool { return len(b.borrowed)+len(b.lent) > 0 }

// recordRequest notes when a question was asked and forgets an old one.
func (b *loanState) recordRequest(m map[uint64]units.Instant, now units.Instant) uint64 {
	b.nonce++
	m[b.nonce] = now
	for n, at := range m {
		if now.Sub(at) > maxLoanTerm {
			delete(m, n)
		}
	}
	return b.nonce
}

const (
	// defaultSpareSlots is what a box is taken to have that said nothing lately.
	defaultSpareSlots = 0.5
	// spareReportMaxAge is how long what a box said counts.
	spareReportMaxAge = 30 * time.Millisecond
)

func (s *service) unlimited() bool {
	for _, t := range s.targets {
		if t.row.MaxInFlight > 0 {
			return false
		}
	}
	return true
}

func (r *Router) sendLoan(to units.BoxID, m LoanMessage, e *Effects) {
	if s := r.services[m.Service]; s != nil {
		m.SpareSlots = s.spareSlots(r.now)
	}
	e.add(Effect{Kind: SendPeer, Peer: to, Loan: m})
}

func (r *Router) receiveLoan(from units.BoxID, m LoanMessage, e *Effects) {
	if !r.settings.Loans {
		return
	}
	if s := r.services[m.Service]; s != nil {
		s.loans.spareByPeer[from] = spareReport{slots: float64(m.SpareSlots), at: r.now}
	}
	switch m.Kind {
	case RequestSlots:
		r.handleLoanRequest(from, m, e)
	case OfferSlot:
		r.acceptOffer(from, m, e)
	case ReturnSlot:
		r.handleReturn(from, m.Loan)
	case RenewLoans:
		r.handleRenewal(from, m, e)
	case ConfirmLoans:
		r.extendLoans(from, m)
	case RecallSlots:
		r.handleRecall(from, m, e)
	}
}

func (s *service) target(id units.TargetID) *target {
	if s == nil {
		return nil
	}
	for _, t := range s.targets {
		if t.row.Target == id {
			return t
		}
	}
	return nil
}

// sweepLoans renews what is borrowed, gives back what lies idle, and takes back
// what nothing was heard of.
func (r *Router) sweepLoans(e *Effects) {
	for _, l := range slices.Clone(r.loans.borrowed) {
		idle := r.now.Sub(l.lastUsedAt) > loanIdleTimeout && r.now >= l.cooldownUntil
		if !l.inUse && (idle || l.mustReturn(r.now)) {
			r.returnLoan(l, e)
		}
	}
	for _, l := range slices.Clone(r.loans.lent) {
		if r.now.Sub(l.confirmedAt) > loanReclaimTimeout {
			r.reclaim(l)
		}
	}
	if r.now >= r.loans.renewAt {
		r.loans.renewAt = r.now.Add(loanRenewInterval)
		r.renewLoans(e)
	}
}

// dropUnlistedLoans forgets the loans with boxes that are no longer listed: their lease
// on the table has run out.
func (r *Router) dropUnlistedLoans(boxes []table.Box) {
	listed := func(id units.BoxID) bool {
		return slices.ContainsFunc(boxes, func(b table.Box) bool { return b.ID == id })
	}
	for _, l := range slices.Clone(r.loans.borrowed) {
		if !listed(l.lender) {
			l.recalled = true
			l.validUntil = r.now
		}
	}
	for _, l := range slices.Clone(r.loans.lent) {
		if !listed(l.borrower) {
			r.reclaim(l)
		}
	}
}
