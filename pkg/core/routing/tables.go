package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/core/table"
)

// applyTable replaces the current table. Unchanged services cost nothing, so that an edit of one
// service is cheap however many there are.
func (r *Router) applyTable(t *table.Table, e *Effects) {
	tableRoutesChanged := t.Document != r.table.Document
	evacuationsChanged := r.updateEvacuations(r.table.Evacuations, t.Evacuations)
	rolloutsChanged := versionsChanged(r.table, t)
	quarantinesChanged := !sameQuarantines(r.table.Quarantines, t.Quarantines)
	r.table = t
	if t.Document != r.keys.document {
		r.keys = newKeyRing(t)
	}
	boxesChanged := r.applyBoxes(t.Boxes)
	routesChanged := r.dropMissingServices(t, e) || tableRoutesChanged
	r.changedServices = r.changedServices[:0]
	for _, n := range t.ServiceNames() {
		entry := t.Services[n]
		s := r.services[n]
		if s != nil && s.entry == entry && !boxesChanged && !evacuationsChanged && !rolloutsChanged {
			continue
		}
		if s == nil || !sameRoutes(&s.row, &entry.Service) {
			routesChanged = true
		}
		r.changedServices = append(r.changedServices, r.applyService(entry, e))
	}
	if routesChanged {
		slices.SortFunc(r.sortedServices, compareServices)
		r.indexRoutes()
		if r.rebindCalls() {
			r.changedServices = append(r.changedServices[:0], r.sortedServices...)
		}
	}
	if quarantinesChanged {
		r.enforceQuarantines(e)
	}
	if boxesChanged {
		r.updateCoordination(e)
	}
	r.updateQuotas(e)
	for _, s := range r.changedServices {
		r.recheckWaitingCalls(s, e)
	}
}

// sameQuarantines reports whether two lists quarantine the same calls.
func sameQuarantines(a, b []table.Quarantine) bool {
	return slices.EqualFunc(a, b, func(x, y table.Quarantine) bool { return x.Call == y.Call })
}

// recheckWaitingCalls refuses the waiting calls that no target can serve any more, and sends those
// that a target can serve now.
func (r *Router) recheckWaitingCalls(s *service, e *Effects) {
	r.refuseUnservable(s, e)
	r.serveHeld(s, e)
}

// applyBoxes applies a new list of boxes and reports whether it differs from the current one.
func (r *Router) applyBoxes(boxes []table.Box) bool {
	if slices.Equal(r.rank.boxes, boxes) {
		r.onlyBoxesLost = false
		r.boxChanges = boxListChange{}
		return false
	}
	rank := rankOf(r.settings.Box, boxes)
	r.recordReplacedBoxList()
	r.boxChanges = r.rank.changeTo(rank)
	r.onlyBoxesLost = r.boxChanges.onlyRemoves(r.rank, rank)
	if !r.rank.listed && rank.listed {
		r.servingFrom = r.now.Add(r.settings.ShareDelay)
	}
	r.rank = rank
	r.noBoxesSeen = r.noBoxesSeen && len(boxes) == 0
	r.boxListVersion++
	clear(r.domainBoxes)
	r.domainBoxCounts = nil
	r.dropUnlistedLoans(boxes)
	r.updateHelpers()
	return true
}

// dropMissingServices removes the services that aren't in the table any more, and reports whether
// there were any.
func (r *Router) dropMissingServices(t *table.Table, e *Effects) bool {
	kept := r.sortedServices[:0]
	for _, s := range r.sortedServices {
		if t.Services[s.row.Name] != nil {
			kept = append(kept, s)
			continue
		}
		r.dropService(s, e)
	}
	dropped := len(kept) < len(r.sortedServices)
	r.sortedServices = kept
	return dropped
}

func sameRoutes(a, b *table.Service) bool {
	return a.PathPrefix == b.PathPrefix && slices.Equal(a.Hosts, b.Hosts)
}

// applyService applies a service of a new table. Its waiting calls are rechecked once the table's
// routes have been applied too.
func (r *Router) applyService(entry *table.Entry, e *Effects) *service {
	s := r.services[entry.Service.Name]
	if s == nil {
		s = newService(entry.Service)
		s.domain = r.settings.Domain
		s.disabled = r.disabled
		s.borrowsSlots = r.settings.Loans
		r.services[entry.Service.Name] = s
		r.sortedServices = append(r.sortedServices, s)
	}
	if s.entry != entry {
		s.update(entry, r.now)
		r.attachNotices(s)
		r.applyColdRows(s)
	}
	s.dropStaleReaches()
	r.assignRegions(s, e)
	r.applyEvacuations(s)
	r.updateVersionRoles(s)
	r.scheduleSweep(s, r.now)
	r.divideExtraBurst(s)
	r.chooseSubset(s)
	for _, t := range s.targets {
		r.updateShares(t)
	}
	s.updateWeights(r.now)
	return s
}

// dropService removes a service and refuses its held calls; calls that have been sent continue.
func (r *Router) dropService(s *service, e *Effects) {
	delete(r.services, s.row.Name)
	for _, x := range s.reaches {
		r.removeCut(x)
	}
	r.updateRollout(s, nil)
	for _, id := range s.held.drain() {
		if c := r.calls.Get(id); c != nil && c.held {
			r.refuse(id, c, Refusal{Reason: NoService, Outcome: c.outcome()}, e)
		}
	}
}

// updateShares computes this box's shares of a target's limits.
func (r *Router) updateShares(t *target) {
	if t.isCold(r.now) {
		r.updateColdShare(t)
	}
	if t.row.Registered {
		r.shareRegistered(t)
		return
	}
	r.updateRank(t)
	limit := r.rank.integerShare(t.row.MaxInFlight, t.rank)
	connections := r.rank.integerShare(t.row.MaxConnections, t.rank)
	t.maxConnections = connections
	r.requestShare(&t.inFlightShare, float64(min(limit, connections)))
	r.requestShare(&t.rateShare, r.rank.rateShare(t.row.MaxRate))
	r.requestShare(&t.probeShare, r.rank.rateShare(1))
}

// shareRegistered computes this box's part of a registered target's connections. It applies without
// delay: the actual limit is enforced by the target, which sheds excess calls.
func (r *Router) shareRegistered(t *target) {
	sharers := r.maxSharers(t)
	t.maxConnections = 0
	if t.row.MaxConnections > 0 {
		t.maxConnections = max(1, t.row.MaxConnections/sharers)
	}
	limit := float64(unlimited)
	if t.row.MaxInFlight > 0 {
		limit = max(1, float64(t.row.MaxInFlight)/float64(sharers))
	}
	t.inFlightShare.setImmediately(limit)
	t.rateShare.setImmediately(unlimited)
	t.probeShare.setImmediately(1 / float64(sharers))
}

// maxSharers returns an upper bound on the number of boxes that use a registered target.
func (r *Router) maxSharers(t *target) int {
	all := max(1, r.rank.count)
	if len(t.service.entry.Division) == 0 {
		return all
	}
	step := t.service.entry.Division.Step(t.row.Domain)
	return r.boxCounts().MaxHolders(all, t.row.Domain, step)
}

// boxCounts returns the number of boxes in each failure domain.
func (r *Router) boxCounts() scope.BoxCounts {
	if r.domainBoxCounts == nil {
		r.domainBoxCounts = table.CountBoxes(r.rank.boxes)
	}
	return r.domainBoxCounts
}

// updateRank computes how many boxes rank before this one for a target. After the first time only
// the boxes that joined and left are counted.
func (r *Router) updateRank(t *target) {
	if !t.ranked {
		t.ranked = true
		t.rank = r.rank.countBefore(t.row.Target, r.rank.boxes)
		return
	}
	t.rank += r.rank.countBefore(t.row.Target, r.boxChanges.joined) - r.rank.countBefore(t.row.Target, r.boxChanges.left)
}

// requestShare requests a new value of a share. An increase is immediate if boxes were only lost.
func (r *Router) requestShare(s *delayedShare, value float64) {
	if r.onlyBoxesLost {
		s.raise(r.now, value, r.settings.ShareDelay)
		return
	}
	s.request(r.now, value, r.settings.ShareDelay)
}

// advanceShares applies due increases of a target's shares, and reports whether any increase is
// still pending.
func (r *Router) advanceShares(t *target) bool {
	unsettled := false
	for _, s := range []*delayedShare{&t.inFlightShare, &t.rateShare, &t.probeShare} {
		if s.advance(r.now, r.settings.ShareDelay) != 0 {
			unsettled = true
		}
	}
	return unsettled
}
