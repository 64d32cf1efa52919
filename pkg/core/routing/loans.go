package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Boxes lend each other slots. A limit is divided among the boxes, so that it holds whatever fails;
// a box that holds calls requests slots that other boxes don't use. A loan is a lease: the borrower
// renews it, and the lender counts the slot as lent until it is returned or the loan has expired on
// both sides.

// LoanID identifies a loan of one lender.
type LoanID uint64

// LoanKind is the kind of a LoanMessage.
type LoanKind uint8

// The kinds of LoanMessage.
const (
	// RequestSlots requests up to Count slots of a service.
	RequestSlots LoanKind = iota + 1
	// OfferSlot lends one slot of a target.
	OfferSlot
	// ReturnSlot returns a slot.
	ReturnSlot
	// RenewLoans lists the loans that the borrower still holds.
	RenewLoans
	// ConfirmLoans answers RenewLoans.
	ConfirmLoans
	// RecallSlots asks the borrower to return the slots of a service.
	RecallSlots
)

// LoanMessage is a message between two boxes about loans.
type LoanMessage struct {
	Kind    LoanKind
	Service units.ServiceName
	Target  units.TargetID
	Loan    LoanID
	Count   int
	// Nonce matches an answer to its request.
	Nonce uint64
	Loans []LoanID
	// Term is how long an offered or confirmed loan may be used, counted from when the borrower
	// sent its request.
	Term time.Duration
	// SpareSlots is the number of slots of the service that the sender has to spare.
	SpareSlots int
}

const (
	// maxLoanTerm is the longest time for which a borrower may use a loan after its request or its
	// last confirmed renewal.
	maxLoanTerm = 2 * time.Second
	// loanReclaimTimeout is when a lender reclaims a loan that hasn't been renewed. It exceeds the
	// loan's term by enough to cover differences in clock speed.
	loanReclaimTimeout = maxLoanTerm + 500*time.Millisecond
	// loanRenewInterval is the time between two renewals by a borrower.
	loanRenewInterval = 500 * time.Millisecond
	// loanIdleTimeout is how long a borrower keeps a slot that it doesn't use.
	loanIdleTimeout = 20 * time.Millisecond
	// loanRequestInterval is the least time between two requests for slots of a service.
	loanRequestInterval = time.Millisecond
	// lendersPerRequest is the number of boxes that are sent a request, each the best of
	// lenderSampleSize boxes drawn at random.
	lendersPerRequest = 1
	lenderSampleSize  = 6
	// loanRequestTTL is how long a lender keeps a request that it couldn't meet.
	loanRequestTTL = 10 * time.Millisecond
)

// loanState holds a box's loans in both directions.
type loanState struct {
	nextID   LoanID
	nonce    uint64
	requests map[uint64]units.Instant
	renewals map[uint64]units.Instant
	borrowed []*loan
	lent     []*lentSlot
	renewAt  units.Instant

	// The totals are reported in the dump.
	requestTotal, lentTotal, borrowedTotal uint64
}

func newLoanState() loanState {
	return loanState{requests: map[uint64]units.Instant{}, renewals: map[uint64]units.Instant{}}
}

// active reports whether any slot is lent or borrowed.
func (b *loanState) active() bool { return len(b.borrowed)+len(b.lent) > 0 }

// recordRequest records when a request is sent, drops requests older than maxLoanTerm, and returns
// the new request's nonce.
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
	// defaultSpareSlots is the assumed number of spare slots of a box without a recent report.
	defaultSpareSlots = 0.5
	// spareReportMaxAge is how long a report of spare slots is used.
	spareReportMaxAge = 30 * time.Millisecond
)

// unlimited reports whether no target limits the calls in flight.
func (s *service) unlimited() bool {
	for _, t := range s.targets {
		if t.row.MaxInFlight > 0 {
			return false
		}
	}
	return true
}

func (r *Router) sendLoanMessage(to units.BoxID, m LoanMessage, e *Effects) {
	if s := r.services[m.Service]; s != nil {
		m.SpareSlots = s.spareSlots(r.now)
	}
	e.add(Effect{Kind: SendLoanMessage, Peer: to, Loan: m})
}

func (r *Router) receiveLoanMessage(from units.BoxID, m LoanMessage, e *Effects) {
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

// sweepLoans renews borrowed slots, returns idle ones, and reclaims lent ones that haven't been
// renewed.
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

// dropUnlistedLoans ends the loans with boxes that are no longer listed: their lease on the table
// has expired.
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
