package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// lentSlot is a slot of this box that another box has borrowed.
type lentSlot struct {
	id          LoanID
	borrower    units.BoxID
	target      *target
	confirmedAt units.Instant
	offeredAt   units.Instant
}

// pendingRequest is a request of another box for a slot that couldn't be met at once.
type pendingRequest struct {
	box       units.BoxID
	nonce     uint64
	expiresAt units.Instant
}

// spareSlots returns the number of this box's own free slots that no held call needs; negative if
// calls need more slots than are free.
func (s *service) spareSlots(now units.Instant) int {
	n := -s.held.length
	for _, t := range s.targets {
		if t.canLend(now) {
			n += t.concurrencyLimit() - t.lentSlots - t.cancelingSlots - (t.inFlight - t.loansInUse())
		}
	}
	return n
}

// handleLoanRequest lends a slot if this box has one to spare; otherwise it keeps the request for
// loanRequestTTL.
func (r *Router) handleLoanRequest(from units.BoxID, m LoanMessage, e *Effects) {
	s := r.services[m.Service]
	if s == nil || !r.leased() {
		return
	}
	w := pendingRequest{box: from, nonce: m.Nonce, expiresAt: r.now.Add(loanRequestTTL)}
	if s.held.length == 0 && r.lendSlot(s, w, e) {
		return
	}
	s.loans.dropExpired(r.now)
	s.loans.pending = append(s.loans.pending, w)
}

// dropExpired removes expired requests; they are sorted by expiry.
func (w *serviceLoans) dropExpired(now units.Instant) {
	n := 0
	for n < len(w.pending) && w.pending[n].expiresAt <= now {
		n++
	}
	w.pending = slices.Delete(w.pending, 0, n)
}

// lendSlot lends a free slot of the service, if there is one.
func (r *Router) lendSlot(s *service, w pendingRequest, e *Effects) bool {
	t := r.cheapestLendable(s)
	if t == nil {
		return false
	}
	r.loans.nextID++
	r.loans.lentTotal++
	t.lentSlots++
	r.scheduleSweep(s, r.now.Add(sweepPeriod))
	r.loans.lent = append(r.loans.lent, &lentSlot{
		id: r.loans.nextID, borrower: w.box, target: t, confirmedAt: r.now, offeredAt: r.now,
	})
	r.sendLoanMessage(w.box, LoanMessage{
		Kind: OfferSlot, Service: s.row.Name, Target: t.row.Target, Loan: r.loans.nextID, Nonce: w.nonce, Term: r.loanTerm(),
	}, e)
	return true
}

// cheapestLendable returns the target of the lowest cost that has a slot to lend, or nil.
func (r *Router) cheapestLendable(s *service) *target {
	var best *target
	var bestCost float64
	for _, t := range s.targets {
		if !t.canLend(r.now) {
			continue
		}
		if cost := t.cost(r.now, nil); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// loanTerm is how long a loan granted or confirmed now may be used. It ends no later than this
// box's own lease, because its share of the limit goes to other boxes then.
func (r *Router) loanTerm() time.Duration {
	if r.settings.ServeStale {
		return maxLoanTerm
	}
	return min(maxLoanTerm, r.leaseUntil.Sub(r.now))
}

// canLend reports whether the target has a free slot that belongs to this box.
func (t *target) canLend(now units.Instant) bool {
	return t.inFlightShare.value < unlimited && t.hasOwnFreeSlot() && t.isAvailableWithPermit(now, false)
}

// lendFreedSlots lends slots that have become free to boxes with pending requests, unless calls are
// held here.
func (r *Router) lendFreedSlots(s *service, e *Effects) {
	for len(s.loans.pending) > 0 && s.held.length == 0 && r.leased() {
		w := s.loans.pending[0]
		if r.now < w.expiresAt && !r.lendSlot(s, w, e) {
			return
		}
		s.loans.pending = s.loans.pending[1:]
	}
}

func (r *Router) handleReturn(from units.BoxID, id LoanID) {
	for _, l := range r.loans.lent {
		if l.id == id && l.borrower == from {
			r.reclaim(l)
			return
		}
	}
}

func (r *Router) reclaim(l *lentSlot) {
	l.target.lentSlots--
	r.loans.lent = slices.DeleteFunc(r.loans.lent, func(o *lentSlot) bool { return o == l })
	r.freedServices = append(r.freedServices, l.target.service)
}

// handleRenewal confirms the loans that a borrower lists. Loans missing from the list have been
// returned, unless the offer may still be in transit.
func (r *Router) handleRenewal(from units.BoxID, m LoanMessage, e *Effects) {
	for _, l := range slices.Clone(r.loans.lent) {
		if l.borrower != from {
			continue
		}
		if slices.Contains(m.Loans, l.id) {
			if r.leased() {
				l.confirmedAt = r.now
			}
			continue
		}
		if r.now.Sub(l.offeredAt) > loanReclaimTimeout-maxLoanTerm {
			r.reclaim(l)
		}
	}
	if r.leased() {
		r.sendLoanMessage(from, LoanMessage{Kind: ConfirmLoans, Nonce: m.Nonce, Loans: r.lentTo(from), Term: r.loanTerm()}, e)
	}
}

func (r *Router) lentTo(box units.BoxID) []LoanID {
	var ids []LoanID
	for _, l := range r.loans.lent {
		if l.borrower == box {
			ids = append(ids, l.id)
		}
	}
	return ids
}
