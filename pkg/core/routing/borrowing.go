package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
)

// loan is a slot borrowed from another box.
type loan struct {
	id         LoanID
	lender     units.BoxID
	target     *target
	validUntil units.Instant
	lastUsedAt units.Instant
	inUse      bool
	recalled   bool
	// cooldownUntil is when the target has certainly dropped a canceled call that used the slot.
	cooldownUntil units.Instant
}

// serviceLoans is the state of a service's loan requests: the box's own and those received from
// other boxes.
type serviceLoans struct {
	requestedAt units.Instant
	recalledAt  units.Instant
	pending     []pendingRequest
	// spareByPeer is the number of spare slots that each other box last reported.
	spareByPeer map[units.BoxID]spareReport
}

// spareReport is the number of spare slots that another box reported, and when. A request sent to
// the box since is already subtracted.
type spareReport struct {
	slots float64
	at    units.Instant
}

// requestLoans requests slots from other boxes while calls are held here.
func (r *Router) requestLoans(s *service, e *Effects) {
	others := len(r.table.Boxes) - 1
	if !r.settings.Loans || others < 1 || !r.rank.listed || s.unlimited() {
		return
	}
	r.recallLentSlots(s, e)
	if s.loans.requestedAt != 0 && r.now.Sub(s.loans.requestedAt) < loanRequestInterval {
		return
	}
	s.loans.requestedAt = r.now
	nonce := r.loans.recordRequest(r.loans.requests, r.now)
	r.loans.requestTotal++
	for range min(lendersPerRequest, others) {
		box := r.selectLender(s, others)
		s.loans.spareByPeer[box] = spareReport{slots: s.loans.spareByPeer[box].slots - 1, at: r.now}
		r.sendLoanMessage(box, LoanMessage{Kind: RequestSlots, Service: s.row.Name, Count: s.held.length, Nonce: nonce}, e)
	}
}

// selectLender samples other boxes at random and returns the one with the most expected spare
// slots.
func (r *Router) selectLender(s *service, others int) units.BoxID {
	var best units.BoxID
	bestSpare := 0.0
	for range lenderSampleSize {
		box := r.peerAt(r.random.IntN(others))
		if x := s.loans.expectedSpare(box, r.now); best == "" || x > bestSpare {
			best, bestSpare = box, x
		}
	}
	return best
}

func (w *serviceLoans) expectedSpare(box units.BoxID, now units.Instant) float64 {
	x, known := w.spareByPeer[box]
	if !known || now.Sub(x.at) > spareReportMaxAge {
		return defaultSpareSlots
	}
	return x.slots
}

// peerAt returns the i-th box of the list, leaving out this one.
func (r *Router) peerAt(i int) units.BoxID {
	if i >= r.rank.rank {
		i++
	}
	return r.table.Boxes[i].ID
}

// acceptOffer adds an offered slot to the borrowed ones. It returns the slot if the request is
// unknown or the offer arrives too late.
func (r *Router) acceptOffer(from units.BoxID, m LoanMessage, e *Effects) {
	sentAt, known := r.loans.requests[m.Nonce]
	s := r.services[m.Service]
	t := s.target(m.Target)
	late := known && r.now >= sentAt.Add(min(m.Term, loanReclaimTimeout-maxLoanTerm))
	if !known || t == nil || late {
		r.sendLoanMessage(from, LoanMessage{Kind: ReturnSlot, Loan: m.Loan}, e)
		return
	}
	l := &loan{id: m.Loan, lender: from, target: t, validUntil: sentAt.Add(m.Term), lastUsedAt: r.now}
	r.loans.borrowedTotal++
	r.scheduleSweep(s, r.now.Add(sweepPeriod))
	r.loans.borrowed = append(r.loans.borrowed, l)
	t.borrowedSlots = append(t.borrowedSlots, l)
	r.serveHeld(s, e)
}

// releaseLoan records that the call on a borrowed slot has ended.
func (r *Router) releaseLoan(l *loan, e *Effects) {
	l.inUse = false
	l.lastUsedAt = r.now
	if l.mustReturn(r.now) {
		r.returnLoan(l, e)
	}
}

// mustReturn reports whether an unused loan has to be returned now.
func (l *loan) mustReturn(now units.Instant) bool {
	return now >= l.cooldownUntil && (l.recalled || now >= l.validUntil)
}

func (r *Router) returnLoan(l *loan, e *Effects) {
	r.removeLoan(l)
	r.sendLoanMessage(l.lender, LoanMessage{Kind: ReturnSlot, Service: l.target.row.Service, Loan: l.id}, e)
}

func (r *Router) removeLoan(l *loan) {
	r.loans.borrowed = slices.DeleteFunc(r.loans.borrowed, func(o *loan) bool { return o == l })
	l.target.borrowedSlots = slices.DeleteFunc(l.target.borrowedSlots, func(o *loan) bool { return o == l })
}

// extendLoans extends the loans that a lender has confirmed, counted from when the renewal was
// sent.
func (r *Router) extendLoans(from units.BoxID, m LoanMessage) {
	sentAt, known := r.loans.renewals[m.Nonce]
	if !known {
		return
	}
	for _, l := range r.loans.borrowed {
		if l.lender == from && slices.Contains(m.Loans, l.id) {
			l.validUntil = max(l.validUntil, sentAt.Add(m.Term))
		}
	}
}

// handleRecall marks the service's slots borrowed from a lender as recalled and returns the unused
// ones.
func (r *Router) handleRecall(from units.BoxID, m LoanMessage, e *Effects) {
	for _, l := range slices.Clone(r.loans.borrowed) {
		if l.lender != from || l.target.row.Service != m.Service {
			continue
		}
		l.recalled = true
		if !l.inUse && l.mustReturn(r.now) {
			r.returnLoan(l, e)
		}
	}
}

func (r *Router) renewLoans(e *Effects) {
	var lenders []units.BoxID
	for _, l := range r.loans.borrowed {
		if !slices.Contains(lenders, l.lender) {
			lenders = append(lenders, l.lender)
		}
	}
	for _, box := range lenders {
		m := LoanMessage{Kind: RenewLoans, Nonce: r.loans.recordRequest(r.loans.renewals, r.now)}
		for _, l := range r.loans.borrowed {
			if l.lender == box {
				m.Loans = append(m.Loans, l.id)
			}
		}
		r.sendLoanMessage(box, m, e)
	}
}

// recallLentSlots asks borrowers to return the service's lent slots, since calls are held here.
func (r *Router) recallLentSlots(s *service, e *Effects) {
	if s.loans.recalledAt != 0 && r.now.Sub(s.loans.recalledAt) < loanRequestInterval {
		return
	}
	s.loans.recalledAt = r.now
	var borrowers []units.BoxID
	for _, l := range r.loans.lent {
		if l.target.service == s && !slices.Contains(borrowers, l.borrower) {
			borrowers = append(borrowers, l.borrower)
		}
	}
	for _, box := range borrowers {
		r.sendLoanMessage(box, LoanMessage{Kind: RecallSlots, Service: s.row.Name}, e)
	}
}
