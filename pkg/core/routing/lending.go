package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// lentSlot is a slot that this box has lent.
type lentSlot struct {
	id       LoanID
	borrower units.BoxID
	target   *target
	heard    units.Instant
	offered  units.Instant
}

// waitingWant is a request of another box that couldn't be met at once.
type waitingWant struct {
	box   units.BoxID
	nonce uint64
	until units.Instant
}

// spareSlots counts the free slots of this box's own that nobody waits for.
func (s *service) spareSlots(now units.Instant) int {
	n := -s.held.length
	for _, t := range s.targets {
		if t.mayLend(now) {
			n += t.concurrencyLimit() - t.lentSlots - t.cancelingSlots - (t.inFlight - t.loansInUse())
		}
	}
	return n
}

// meetWant lends what this box doesn't need now, and remembers the rest for a
// moment.
func (r *Router) meetWant(from units.BoxID, m LoanMessage, e *Effects) {
	s := r.services[m.Service]
	if s == nil || !r.leased() {
		return
	}
	w := waitingWant{box: from, nonce: m.Nonce, until: r.now.Add(wantAge)}
	if s.held.length == 0 && r.lendOne(s, w, e) {
		return
	}
	s.wants.dropOld(r.now)
	s.wants.waiting = append(s.wants.waiting, w)
}

// dropOld forgets the requests whose time is over; they stand in order.
func (w *wantState) dropOld(now units.Instant) {
	n := 0
	for n < len(w.waiting) && w.waiting[n].until <= now {
		n++
	}
	w.waiting = slices.Delete(w.waiting, 0, n)
}

// lendOne lends a free slot of the service, if there is one.
func (r *Router) lendOne(s *service, w waitingWant, e *Effects) bool {
	t := r.cheapestToLend(s)
	if t == nil {
		return false
	}
	r.loans.nextID++
	r.loans.lentTotal++
	t.lentSlots++
	r.sweepBy(s, r.now.Add(sweepPeriod))
	r.loans.lent = append(r.loans.lent, &lentSlot{
		id: r.loans.nextID, borrower: w.box, target: t, heard: r.now, offered: r.now,
	})
	r.sendLoan(w.box, LoanMessage{
		Kind: OfferSlot, Service: s.row.Name, Target: t.row.Target, Loan: r.loans.nextID, Nonce: w.nonce, Term: r.loanTerm(),
	}, e)
	return true
}

// cheapestToLend returns the target of the least cost that has a slot to lend, or
// nil.
func (r *Router) cheapestToLend(s *service) *target {
	var best *target
	var bestCost float64
	for _, t := range s.targets {
		if !t.mayLend(r.now) {
			continue
		}
		if cost := t.cost(r.now, nil); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// loanTerm is how long a loan may be used that is given now. It ends with this
// box's own lease at the latest, since its part of the limit goes to others then.
func (r *Router) loanTerm() time.Duration {
	if r.settings.ServeStale {
		return loanTerm
	}
	return min(loanTerm, r.leaseUntil.Sub(r.now))
}

// mayLend tells whether the target has a slot of this box's own that is free.
func (t *target) mayLend(now units.Instant) bool {
	return t.inFlightShare.value < unlimited && t.hasOwnFreeSlot() && t.takesIfPermitted(now, false)
}

// lendFreed lends a slot that has just become free, if nobody here wants it.
func (r *Router) lendFreed(s *service, e *Effects) {
	for len(s.wants.waiting) > 0 && s.held.length == 0 && r.leased() {
		w := s.wants.waiting[0]
		if r.now < w.until && !r.lendOne(s, w, e) {
			return
		}
		s.wants.waiting = s.wants.waiting[1:]
	}
}

func (r *Router) takeBack(from units.BoxID, id LoanID) {
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
	r.freed = append(r.freed, l.target.service)
}

// confirmLoans takes a borrower's list: what isn't on it has been given back,
// unless the offer may still be on its way.
func (r *Router) confirmLoans(from units.BoxID, m LoanMessage, e *Effects) {
	for _, l := range slices.Clone(r.loans.lent) {
		if l.borrower != from {
			continue
		}
		if slices.Contains(m.Loans, l.id) {
			if r.leased() {
				l.heard = r.now
			}
			continue
		}
		if r.now.Sub(l.offered) > loanReclaim-loanTerm {
			r.reclaim(l)
		}
	}
	if r.leased() {
		r.sendLoan(from, LoanMessage{Kind: ConfirmLoans, Nonce: m.Nonce, Loans: r.lentTo(from), Term: r.loanTerm()}, e)
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
