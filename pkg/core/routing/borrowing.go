package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
)

// loan is a slot that this box has borrowed.
type loan struct {
	id         LoanID
	lender     units.BoxID
	target     *target
	validUntil units.Instant
	usedAt     units.Instant
	inUse      bool
	recalled   bool
	// coolUntil is when the target has surely let go of a canceled call.
	coolUntil units.Instant
}

// wantState is what a service's own requests and those of others come to.
type wantState struct {
	probedAt   units.Instant
	recalledAt units.Instant
	waiting    []waitingWant
	// peers is what the other boxes last said that they have to spare.
	peers map[units.BoxID]spare
}

// spare is what another box said that it has to spare.
type spare struct {
	slots float64
	at    units.Instant
}

// askForLoans asks other boxes for slots when calls are held here.
func (r *Router) askForLoans(s *service, e *Effects) {
	others := len(r.table.Boxes) - 1
	if !r.settings.Loans || others < 1 || !r.rank.listed || s.unlimited() {
		return
	}
	r.recallIfNeeded(s, e)
	if s.wants.probedAt != 0 && r.now.Sub(s.wants.probedAt) < askAgain {
		return
	}
	s.wants.probedAt = r.now
	nonce := r.loans.remember(r.loans.asked, r.now)
	r.loans.askedTotal++
	for range min(askedBoxes, others) {
		box := r.likelyLender(s, others)
		s.wants.peers[box] = spare{slots: s.wants.peers[box].slots - 1, at: r.now}
		r.sendLoan(box, LoanMessage{Kind: WantSlots, Service: s.row.Name, Count: s.held.length, Nonce: nonce}, e)
	}
}

// likelyLender draws a few boxes and returns the one that seems to have the most
// to spare.
func (r *Router) likelyLender(s *service, others int) units.BoxID {
	var best units.BoxID
	bestSpare := 0.0
	for range sampledBoxes {
		box := r.otherBox(r.random.IntN(others))
		if x := s.wants.expected(box, r.now); best == "" || x > bestSpare {
			best, bestSpare = box, x
		}
	}
	return best
}

func (w *wantState) expected(box units.BoxID, now units.Instant) float64 {
	x, known := w.peers[box]
	if !known || now.Sub(x.at) > spareAge {
		return unknownSpare
	}
	return x.slots
}

// otherBox returns the i-th of the boxes that aren't this one.
func (r *Router) otherBox(i int) units.BoxID {
	if i >= r.rank.rank {
		i++
	}
	return r.table.Boxes[i].ID
}

func (r *Router) takeOffer(from units.BoxID, m LoanMessage, e *Effects) {
	asked, known := r.loans.asked[m.Nonce]
	s := r.services[m.Service]
	t := s.target(m.Target)
	late := known && r.now >= asked.Add(min(m.Term, loanReclaim-loanTerm))
	if !known || t == nil || late {
		r.sendLoan(from, LoanMessage{Kind: ReturnSlot, Loan: m.Loan}, e)
		return
	}
	l := &loan{id: m.Loan, lender: from, target: t, validUntil: asked.Add(m.Term), usedAt: r.now}
	r.loans.borrowedTotal++
	r.sweepBy(s, r.now.Add(sweepPeriod))
	r.loans.borrowed = append(r.loans.borrowed, l)
	t.borrowedSlots = append(t.borrowedSlots, l)
	r.serveHeld(s, e)
}

// endLoanUse notes that a call on a borrowed slot has ended.
func (r *Router) endLoanUse(l *loan, e *Effects) {
	l.inUse = false
	l.usedAt = r.now
	if l.mustGoBack(r.now) {
		r.giveBack(l, e)
	}
}

// mustGoBack tells whether an unused loan has to be given back now.
func (l *loan) mustGoBack(now units.Instant) bool {
	return now >= l.coolUntil && (l.recalled || now >= l.validUntil)
}

func (r *Router) giveBack(l *loan, e *Effects) {
	r.forgetLoan(l)
	r.sendLoan(l.lender, LoanMessage{Kind: ReturnSlot, Service: l.target.row.Service, Loan: l.id}, e)
}

func (r *Router) forgetLoan(l *loan) {
	r.loans.borrowed = slices.DeleteFunc(r.loans.borrowed, func(o *loan) bool { return o == l })
	l.target.borrowedSlots = slices.DeleteFunc(l.target.borrowedSlots, func(o *loan) bool { return o == l })
}

func (r *Router) extendLoans(from units.BoxID, m LoanMessage) {
	asked, known := r.loans.renewals[m.Nonce]
	if !known {
		return
	}
	for _, l := range r.loans.borrowed {
		if l.lender == from && slices.Contains(m.Loans, l.id) {
			l.validUntil = max(l.validUntil, asked.Add(m.Term))
		}
	}
}

// recalled gives back the slots of a service that a lender needs itself.
func (r *Router) recalled(from units.BoxID, m LoanMessage, e *Effects) {
	for _, l := range slices.Clone(r.loans.borrowed) {
		if l.lender != from || l.target.row.Service != m.Service {
			continue
		}
		l.recalled = true
		if !l.inUse && l.mustGoBack(r.now) {
			r.giveBack(l, e)
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
		m := LoanMessage{Kind: RenewLoans, Nonce: r.loans.remember(r.loans.renewals, r.now)}
		for _, l := range r.loans.borrowed {
			if l.lender == box {
				m.Loans = append(m.Loans, l.id)
			}
		}
		r.sendLoan(box, m, e)
	}
}

// recallIfNeeded asks for lent slots back when calls are held here.
func (r *Router) recallIfNeeded(s *service, e *Effects) {
	if s.wants.recalledAt != 0 && r.now.Sub(s.wants.recalledAt) < askAgain {
		return
	}
	s.wants.recalledAt = r.now
	var borrowers []units.BoxID
	for _, l := range r.loans.lent {
		if l.target.service == s && !slices.Contains(borrowers, l.borrower) {
			borrowers = append(borrowers, l.borrower)
		}
	}
	for _, box := range borrowers {
		r.sendLoan(box, LoanMessage{Kind: RecallSlots, Service: s.row.Name}, e)
	}
}
