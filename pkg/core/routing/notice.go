package routing

import (
	"maps"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may announce in an answer that it accepts no calls for some time (a rest), that it is
// about to shut down (leaving), or how many calls a second it accepts from all boxes together
// (targetlimit.go). Such a notice applies to everything that the box could send to the target:
// first sends, retries, hedges, calls that were held or are waiting, borrowed slots, attempts at an
// ejected target, probes and checks. A notice belongs to one incarnation of the target, which is
// one run of its process. It is kept apart from the target's row, so that neither a new row nor a
// load report ends it. It applies even if the target appears to have free slots: a target may shed
// calls while it reports some.

const (
	// noticeRetention is how long the notice of an incarnation without a row is kept: after a late
	// report the row reappears within seconds.
	noticeRetention = time.Minute
	// minRestExtension is by how much a rest must have been extended for the shell to be informed
	// again: each call that a target sheds extends its rest slightly.
	minRestExtension = 100 * time.Millisecond
)

// incarnation identifies one run of a target's process as precisely as the data allows: by id and
// start time if a registered target reports its start time, by id and address if it doesn't, and by
// address if operators configured the target.
type incarnation struct {
	target  units.TargetID
	address string
	born    units.WallTime
}

func newIncarnation(registered bool, id units.TargetID, address string, born units.WallTime) incarnation {
	switch {
	case registered && born != 0:
		return incarnation{target: id, born: born}
	case registered:
		return incarnation{target: id, address: address}
	}
	return incarnation{address: address}
}

func incarnationOfRow(row *table.Row) incarnation {
	return newIncarnation(row.Registered, row.Target, row.Address, row.Born)
}

func (x *Endpoint) incarnation() incarnation {
	return newIncarnation(x.Registered, x.Target, x.Address, x.Born)
}

// notice is what one incarnation of a target has announced to this box.
type notice struct {
	incarnation incarnation
	// restUntil is the latest end of the rests that it asked for; a later request for a shorter
	// rest doesn't end it earlier.
	restUntil units.Instant
	// leaving is set once the target has announced its shutdown.
	leaving bool
	// reportedRestUntil is the value of restUntil that the shell was last informed of.
	reportedRestUntil units.Instant
	// limit is the state of the limit that it announces; nil if it never announced one.
	limit *targetLimit
	// lastListedAt is when a row last referred to the incarnation.
	lastListedAt units.Instant
}

// noticeMap holds the notices in force, at most one for each incarnation that a row refers to or
// referred to within noticeRetention.
type noticeMap map[incarnation]*notice

// isResting reports whether the target is in a rest that it asked for.
func (n *notice) isResting(now units.Instant) bool { return n != nil && now < n.restUntil }

// isLeaving reports whether the target has announced its shutdown.
func (n *notice) isLeaving() bool { return n != nil && n.leaving }

// forbidsSending reports whether nothing may be sent to the target now.
func (n *notice) forbidsSending(now units.Instant) bool {
	return n != nil && (n.leaving || now < n.restUntil)
}

// isExpired reports whether the notice has no effect any more and may be discarded.
func (n *notice) isExpired(now units.Instant) bool {
	return !n.forbidsSending(now) && !n.isLimited() && (n.limit == nil || now.Sub(n.limit.changedAt) > endedLimitRetention)
}

// handleNotice processes the notices in an answer from a target, whatever the result of the call or
// probe. A misdirected answer comes from another target at the address. knownVersion is the version
// of the target's limit that was known when the call was sent.
func (r *Router) handleNotice(x *Endpoint, report TargetReport, misdirected bool, knownVersion uint64, e *Effects) {
	if x == nil || report.Rest <= 0 && !report.Leaving && !report.Limit.Present {
		return
	}
	o := x.incarnation()
	if misdirected {
		other := r.onlyOtherAtAddress(x)
		if other == nil {
			return
		}
		o, x, knownVersion = incarnationOfRow(&other.row), other.endpoint, unknownLimitVersion
	} else if t := r.findTarget(x); t != nil {
		// The start time may have become known after the endpoint was created.
		o = incarnationOfRow(&t.row)
	}
	r.updateNotice(o, x, report, knownVersion, e)
}

// onlyOtherAtAddress returns the only other target listed at an endpoint's address, or nil if there
// is none or more than one.
func (r *Router) onlyOtherAtAddress(x *Endpoint) *target {
	var other *target
	for _, s := range r.sortedServices {
		for _, t := range s.targets {
			if t.row.Address != x.Address || t.row.Target == x.Target {
				continue
			}
			if other != nil && other.row.Target != t.row.Target {
				return nil
			}
			other = t
		}
	}
	return other
}

// updateNotice stores what an incarnation announced and applies it to all targets of that
// incarnation.
func (r *Router) updateNotice(o incarnation, x *Endpoint, report TargetReport, knownVersion uint64, e *Effects) {
	n := r.ensureNotice(o)
	if report.Limit.Present {
		r.recordLimit(n, x, report.Limit.Rate, knownVersion, e)
	}
	restBegins := report.Rest > 0 && !n.isResting(r.now)
	leaveBegins := report.Leaving && !n.leaving
	if report.Rest > 0 {
		n.restUntil = max(n.restUntil, r.now.Add(report.Rest))
	}
	n.leaving = n.leaving || report.Leaving
	if !restBegins && !leaveBegins && n.restUntil.Sub(n.reportedRestUntil) < minRestExtension {
		return
	}
	n.reportedRestUntil = n.restUntil
	change := n.toShellNotice(r.now)
	change.RestBegins, change.LeaveBegins = restBegins, leaveBegins
	e.add(Effect{Kind: TargetNotice, Endpoint: x, Notice: change})
	for _, s := range r.applyToServices(n, x, e) {
		if restBegins {
			s.restRequests++
		}
	}
}

// ensureNotice returns the notice of an incarnation; it creates an empty one if there is none.
func (r *Router) ensureNotice(o incarnation) *notice {
	n := r.notices[o]
	if n == nil {
		n = &notice{incarnation: o, lastListedAt: r.now}
		r.notices[o] = n
	}
	return n
}

// toShellNotice returns the part of a notice that the shell needs to keep calls from the target.
func (n *notice) toShellNotice(now units.Instant) *Notice {
	x := &Notice{RestUntil: n.restUntil, Leaving: n.leaving}
	if n.isLimited() {
		x.Limited, x.Rate = true, n.limit.current.Rate
	}
	return x
}

// applyToServices applies a changed notice to all targets of its incarnation and returns their
// services.
func (r *Router) applyToServices(n *notice, x *Endpoint, e *Effects) []*service {
	var affected []*service
	for _, s := range r.sortedServices {
		// A registered target belongs to one service; a process configured by operators may serve
		// several.
		if (!x.Registered || s.row.Name == x.Service) && r.applyToService(s, n, x, e) {
			affected = append(affected, s)
		}
	}
	for _, s := range affected {
		r.updateAfterNotice(s, e)
	}
	return affected
}

// applyToService attaches a notice to a service's targets of its incarnation and reports whether
// there are any.
func (r *Router) applyToService(s *service, n *notice, x *Endpoint, e *Effects) bool {
	found := false
	for _, t := range s.targets {
		if incarnationOfRow(&t.row) != n.incarnation {
			continue
		}
		found = true
		t.notice = n
		if t.endpoint != x {
			e.add(Effect{Kind: TargetNotice, Endpoint: t.endpoint, Notice: n.toShellNotice(r.now)})
		}
	}
	return found
}

// updateAfterNotice updates a service after one of its targets started a rest, announced its
// shutdown, or began or ceased to announce a limit.
func (r *Router) updateAfterNotice(s *service, e *Effects) {
	s.updateWeights(r.now)
	r.scheduleSweep(s, r.now)
	r.refuseUnservable(s, e)
}

// attachNotices attaches the existing notices to the targets of a service that comes into force.
func (r *Router) attachNotices(s *service) {
	if len(r.notices) == 0 {
		return
	}
	for _, t := range s.targets {
		o := incarnationOfRow(&t.row)
		if t.notice != nil && t.notice.incarnation != o {
			// The incarnation's start time has become known.
			delete(r.notices, t.notice.incarnation)
			t.notice.incarnation = o
			r.notices[o] = t.notice
		}
		if n := r.notices[o]; n != nil {
			t.notice = n
			n.lastListedAt = r.now
		}
	}
}

// expireNotices discards notices that have expired, and those of incarnations that no row has
// referred to for a while.
func (r *Router) expireNotices() {
	if len(r.notices) == 0 {
		return
	}
	for _, s := range r.sortedServices {
		for _, t := range s.targets {
			if t.notice == nil {
				continue
			}
			t.notice.lastListedAt = r.now
			if t.notice.isExpired(r.now) {
				t.notice = nil
			}
		}
	}
	maps.DeleteFunc(r.notices, func(_ incarnation, n *notice) bool {
		return n.isExpired(r.now) || r.now.Sub(n.lastListedAt) > noticeRetention
	})
}

// removeNotice ends a notice early.
func (r *Router) removeNotice(n *notice) {
	delete(r.notices, n.incarnation)
	for _, s := range r.sortedServices {
		for _, t := range s.targets {
			if t.notice == n {
				t.notice = nil
			}
		}
	}
}

// lacksStartTime reports whether a restart of the target can be seen from its own answers only,
// since its rows contain no start time.
func (t *target) lacksStartTime() bool { return t.row.Born == 0 }

// needsHealthProbe reports whether a target without calls should be probed: if it is ejected, or if
// it announced its shutdown and only a probe can show that a new process has replaced it.
func (t *target) needsHealthProbe(now units.Instant) bool {
	switch {
	case t.notice.isResting(now):
		return false
	case t.notice.isLeaving():
		return t.lacksStartTime()
	}
	return t.health.ejected
}

// detectSuccessor processes the result of a probe of a target that announced its shutdown. Such a
// target repeats this in all its answers. An answer without it, or a refused connection, shows that
// the process has exited, and the notice is removed.
func (r *Router) detectSuccessor(t *target, v *ProbeEnded, e *Effects) {
	if !t.notice.isLeaving() || !t.lacksStartTime() || v.Report.Leaving || !v.Refused && (!v.Answered || v.Misdirected) {
		return
	}
	r.removeNotice(t.notice)
	t.service.updateWeights(r.now)
	r.freedServices = append(r.freedServices, t.service)
	e.add(Effect{Kind: TargetNotice, Endpoint: t.endpoint, Notice: &Notice{}})
}
