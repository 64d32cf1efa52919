package routing

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/core/scope"
	"github.com/madderpond/madderpond/pkg/core/table"
)

// changeTable puts a table in force. What it doesn't change costs nothing, so
// that an edit of one service is cheap however many there are.
func (r *Router) changeTable(t *table.Table, e *Effects) {
	tableRoutesChanged := t.Document != r.table.Document
	evacuationsChanged := r.updateEvacuations(r.table.Evacuations, t.Evacuations)
	rolloutsChanged := versionsChanged(r.table, t)
	quarantinesChanged := !sameQuarantines(r.table.Quarantines, t.Quarantines)
	r.table = t
	if t.Document != r.keys.document {
		r.keys = newKeyRing(t)
	}
	boxesChanged := r.changeBoxes(t.Boxes)
	routesChanged := r.dropMissing(t, e) || tableRoutesChanged
	r.changed = r.changed[:0]
	for _, n := range t.ServiceNames() {
		entry := t.Services[n]
		s := r.services[n]
		if s != nil && s.entry == entry && !boxesChanged && !evacuationsChanged && !rolloutsChanged {
			continue
		}
		if s == nil || !sameRoutes(&s.row, &entry.Service) {
			routesChanged = true
		}
		r.changed = append(r.changed, r.putService(entry, e))
	}
	if routesChanged {
		slices.SortFunc(r.order, compareServices)
		r.indexRoutes()
		if r.bindCalls() {
			r.changed = append(r.changed[:0], r.order...)
		}
	}
	if quarantinesChanged {
		r.applyQuarantines(e)
	}
	if boxesChanged {
		r.updateCoordination(e)
	}
	r.reviewQuotas(e)
	for _, s := range r.changed {
		r.settleCalls(s, e)
	}
}

// sameQuarantines tells whether two lists keep the same calls from targets.
func sameQuarantines(a, b []table.Quarantine) bool {
	return slices.EqualFunc(a, b, func(x, y table.Quarantine) bool { return x.Call == y.Call })
}

// settleCalls refuses the calls that wait for a service without a target for them, and sends
// those that a target takes.
func (r *Router) settleCalls(s *service, e *Effects) {
	r.refuseUnservable(s, e)
	r.serveHeld(s, e)
}

// changeBoxes notes a new list of boxes, and tells whether it differs.
func (r *Router) changeBoxes(boxes []table.Box) bool {
	if slices.Equal(r.rank.boxes, boxes) {
		r.boxesLost = false
		r.moves = boxMoves{}
		return false
	}
	rank := rankOf(r.settings.Box, boxes)
	r.recordReplacedBoxList()
	r.moves = r.rank.movesTo(rank)
	r.boxesLost = r.moves.onlyLost(r.rank, rank)
	if !r.rank.listed && rank.listed {
		r.servesFrom = r.now.Add(r.settings.ShareDelay)
	}
	r.rank = rank
	r.noBoxesSeen = r.noBoxesSeen && len(boxes) == 0
	r.boxListVersion++
	clear(r.domainBoxes)
	r.domainBoxCounts = nil
	r.dropUnlistedLoans(boxes)
	return true
}

// dropMissing drops the services that the table no longer has, and tells whether
// there were any.
func (r *Router) dropMissing(t *table.Table, e *Effects) bool {
	kept := r.order[:0]
	for _, s := range r.order {
		if t.Services[s.row.Name] != nil {
			kept = append(kept, s)
			continue
		}
		r.dropService(s, e)
	}
	dropped := len(kept) < len(r.order)
	r.order = kept
	return dropped
}

func sameRoutes(a, b *table.Service) bool {
	return a.PathPrefix == b.PathPrefix && slices.Equal(a.Hosts, b.Hosts)
}

// putService takes a service of a new table. What waits for it is settled once the table's
// routes hold too.
func (r *Router) putService(entry *table.Entry, e *Effects) *service {
	s := r.services[entry.Service.Name]
	if s == nil {
		s = newService(entry.Service)
		s.domain = r.settings.Domain
		s.off = r.off
		r.services[entry.Service.Name] = s
		r.order = append(r.order, s)
	}
	if s.entry != entry {
		s.update(entry, r.now)
		r.attachNotices(s)
		r.applyColdRows(s)
	}
	r.markRegions(s, e)
	r.applyEvacuations(s)
	r.markVersions(s)
	r.sweepBy(s, r.now)
	r.divideExtraBurst(s)
	r.chooseSubset(s)
	for _, t := range s.targets {
		r.wantShare(t)
	}
	s.weigh(r.now)
	return s
}

// dropService refuses what the service still holds; calls that have been sent
// end as they would have.
func (r *Router) dropService(s *service, e *Effects) {
	delete(r.services, s.row.Name)
	r.followRollout(s, nil)
	for _, id := range s.held.drain() {
		if c := r.calls.Get(id); c != nil && c.held {
			r.refuse(id, c, Refusal{Reason: NoService, Outcome: c.outcome()}, e)
		}
	}
}

func (r *Router) wantShare(t *target) {
	if t.isCold(r.now) {
		r.updateColdShare(t)
	}
	if t.row.Registered {
		r.shareRegistered(t)
		return
	}
	r.placeTarget(t)
	limit := r.rank.wholeShare(t.row.MaxInFlight, t.rank)
	connections := r.rank.wholeShare(t.row.MaxConnections, t.rank)
	t.maxConnections = connections
	r.want(&t.inFlightShare, float64(min(limit, connections)))
	r.want(&t.rateShare, r.rank.rateShare(t.row.MaxRate))
	r.want(&t.probeShare, r.rank.rateShare(1))
}

// shareRegistered gives this box its part of a registered target's connections. It
// holds at once: the bound is the target's own, which sheds what is too much.
func (r *Router) shareRegistered(t *target) {
	sharers := r.sharersOf(t)
	t.maxConnections = 0
	if t.row.MaxConnections > 0 {
		t.maxConnections = max(1, t.row.MaxConnections/sharers)
	}
	limit := float64(unlimited)
	if t.row.MaxInFlight > 0 {
		limit = max(1, float64(t.row.MaxInFlight)/float64(sharers))
	}
	t.inFlightShare.fix(limit)
	t.rateShare.fix(unlimited)
	t.probeShare.fix(1 / float64(sharers))
}

// sharersOf bounds how many boxes may use a registered target.
func (r *Router) sharersOf(t *target) int {
	all := max(1, r.rank.count)
	if len(t.service.entry.Division) == 0 {
		return all
	}
	step := t.service.entry.Division.Step(t.row.Domain)
	return r.boxCounts().MaxHolders(all, t.row.Domain, step)
}

// boxCounts are how many boxes are in each failure domain.
func (r *Router) boxCounts() scope.BoxCounts {
	if r.domainBoxCounts == nil {
		r.domainBoxCounts = table.CountBoxes(r.rank.boxes)
	}
	return r.domainBoxCounts
}

// placeTarget works out how many boxes come before this one for a target, from the
// boxes that came and went where the others have been counted already.
func (r *Router) placeTarget(t *target) {
	if !t.ranked {
		t.ranked = true
		t.rank = r.rank.countBefore(t.row.Target, r.rank.boxes)
		return
	}
	t.rank += r.rank.countBefore(t.row.Target, r.moves.came) - r.rank.countBefore(t.row.Target, r.moves.went)
}

func (r *Router) want(s *settledValue, value float64) {
	if r.boxesLost {
		s.raise(r.now, value, r.settings.ShareDelay)
		return
	}
	s.want(r.now, value, r.settings.ShareDelay)
}

// settleShare lets a target's shares rise that have waited long enough, and
// tells whether any of them has still to wait.
func (r *Router) settleShare(t *target) bool {
	unsettled := false
	for _, s := range []*settledValue{&t.inFlightShare, &t.rateShare, &t.probeShare} {
		if s.settle(r.now, r.settings.ShareDelay) != 0 {
			unsettled = true
		}
	}
	return unsettled
}
