package routing

import (
	"maps"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A target may tell a box in an answer that it wants nothing for a time, that it is about to end, or
// how many calls it takes from all boxes together (namedlimit.go). Each binds every way on which this box
// could reach the target: first sends, retries, hedges, calls that were held or wait, borrowed slots, trials
// of an ejected target, probes and checks. It belongs to a start of the target and is kept apart from the
// target's row, so that neither a new row nor a report ends it. Whether a target seems to have room doesn't
// matter: one that reports free slots may turn calls away all the same.

const (
	// noticeMemory is for how long a notice is kept of a start that no row names: a late report
	// brings a row back within seconds.
	noticeMemory = time.Minute
	// toldStep is how much longer than last told the shell a rest must have become for it to be
	// told again: each call that a target turns away makes its rest a little longer.
	toldStep = 100 * time.Millisecond
)

// origin tells starts of targets apart as far as they can be: by id and birth where a registered
// target tells its birth, by id and address where it doesn't, and by address where operators
// entered it.
type origin struct {
	target  units.TargetID
	address string
	born    units.WallTime
}

func newOrigin(registered bool, id units.TargetID, address string, born units.WallTime) origin {
	switch {
	case registered && born != 0:
		return origin{target: id, born: born}
	case registered:
		return origin{target: id, address: address}
	}
	return origin{address: address}
}

func originOfRow(row *table.Row) origin {
	return newOrigin(row.Registered, row.Target, row.Address, row.Born)
}

func (x *Endpoint) origin() origin { return newOrigin(x.Registered, x.Target, x.Address, x.Born) }

// notice is what a start of a target has told this box.
type notice struct {
	origin origin
	// restUntil is when the last of the rests that it asked for ends; a later, shorter one
	// doesn't end it sooner.
	restUntil units.Instant
	// leaving is set once the target has said that it is about to end.
	leaving bool
	// told is the end that the shell was last told of.
	told units.Instant
	// limit is what is known of the limit that it names; nil where it never named one.
	limit *namedLimit
	// listedAt is when a row last named the start.
	listedAt units.Instant
}

// noticeBook holds the notices in force: one at the most for each start that a row names or has named
// within noticeMemory.
type noticeBook map[origin]*notice

// rests tells whether the target wants nothing for the time being.
func (n *notice) rests(now units.Instant) bool { return n != nil && now < n.restUntil }

// isLeaving tells whether the target has said that it is about to end.
func (n *notice) isLeaving() bool { return n != nil && n.leaving }

// forbids tells whether nothing may be sent to the target now.
func (n *notice) forbids(now units.Instant) bool {
	return n != nil && (n.leaving || now < n.restUntil)
}

// isOver tells whether nothing of a notice is worth keeping.
func (n *notice) isOver(now units.Instant) bool {
	return !n.forbids(now) && !n.limited() && (n.limit == nil || now.Sub(n.limit.changedAt) > limitMemory)
}

// hear takes what a target said of itself in an answer, whatever became of the call or probe. A
// misdirected answer comes from another target at the address. base is which word on the target's limit was
// known as the call was sent.
func (r *Router) hear(x *Endpoint, said Reading, misdirected bool, base uint64, e *Effects) {
	if x == nil || said.Rest <= 0 && !said.Leaving && !said.Limit.Present {
		return
	}
	o := x.origin()
	if misdirected {
		other := r.onlyOther(x)
		if other == nil {
			return
		}
		o, x, base = originOfRow(&other.row), other.endpoint, noBase
	} else if t := r.findTarget(x); t != nil {
		// Its birth may have become known since the endpoint was made.
		o = originOfRow(&t.row)
	}
	r.takeNotice(o, x, said, base, e)
}

// onlyOther returns the only other target that is listed at an endpoint's address; nil for none,
// and for several.
func (r *Router) onlyOther(x *Endpoint) *target {
	var other *target
	for _, s := range r.order {
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

// takeNotice keeps what a start of a target said, and has it bind all targets that are this start.
func (r *Router) takeNotice(o origin, x *Endpoint, said Reading, base uint64, e *Effects) {
	n := r.noticeOf(o)
	if said.Limit.Present {
		r.nameLimit(n, x, said.Limit.Rate, base, e)
	}
	restBegins := said.Rest > 0 && !n.rests(r.now)
	leaveBegins := said.Leaving && !n.leaving
	if said.Rest > 0 {
		n.restUntil = max(n.restUntil, r.now.Add(said.Rest))
	}
	n.leaving = n.leaving || said.Leaving
	if !restBegins && !leaveBegins && n.restUntil.Sub(n.told) < toldStep {
		return
	}
	n.told = n.restUntil
	news := n.forShell(r.now)
	news.RestBegins, news.LeaveBegins = restBegins, leaveBegins
	e.add(Effect{Kind: TargetNotice, Endpoint: x, Notice: news})
	for _, s := range r.bindEverywhere(n, x, e) {
		if restBegins {
			s.restRequests++
		}
	}
}

// noticeOf returns what is kept of a start of a target; empty where that is nothing.
func (r *Router) noticeOf(o origin) *notice {
	n := r.notices[o]
	if n == nil {
		n = &notice{origin: o, listedAt: r.now}
		r.notices[o] = n
	}
	return n
}

// forShell is what the shell has to know of a notice to keep calls from the target.
func (n *notice) forShell(now units.Instant) *Notice {
	x := &Notice{RestUntil: n.restUntil, Leaving: n.leaving}
	if n.limited() {
		x.Limited, x.Rate = true, n.limit.word.Rate
	}
	return x
}

// bindEverywhere has a notice that has changed bind all targets that are its start, and returns their
// services.
func (r *Router) bindEverywhere(n *notice, x *Endpoint, e *Effects) []*service {
	var bound []*service
	for _, s := range r.order {
		// A target that registers belongs to one service; a process that operators entered may serve
		// several.
		if (!x.Registered || s.row.Name == x.Service) && r.bindNotice(s, n, x, e) {
			bound = append(bound, s)
		}
	}
	for _, s := range bound {
		r.settleNotice(s, e)
	}
	return bound
}

// bindNotice gives a notice to a service's targets that are its start, and tells whether there
// are any.
func (r *Router) bindNotice(s *service, n *notice, x *Endpoint, e *Effects) bool {
	found := false
	for _, t := range s.targets {
		if originOfRow(&t.row) != n.origin {
			continue
		}
		found = true
		t.notice = n
		if t.endpoint != x {
			e.add(Effect{Kind: TargetNotice, Endpoint: t.endpoint, Notice: n.forShell(r.now)})
		}
	}
	return found
}

// settleNotice does what follows for a service when one of its targets rests, leaves, or names or no
// longer names a limit.
func (r *Router) settleNotice(s *service, e *Effects) {
	s.updateWeights(r.now)
	r.scheduleSweep(s, r.now)
	r.refuseUnservable(s, e)
}

// findNotices gives the targets of a service that is put in force the notices of their starts.
func (r *Router) findNotices(s *service) {
	if len(r.notices) == 0 {
		return
	}
	for _, t := range s.targets {
		o := originOfRow(&t.row)
		if t.notice != nil && t.notice.origin != o {
			// The start's birth has become known.
			delete(r.notices, t.notice.origin)
			t.notice.origin = o
			r.notices[o] = t.notice
		}
		if n := r.notices[o]; n != nil {
			t.notice = n
			n.listedAt = r.now
		}
	}
}

// ageNotices forgets the notices whose time is over, and those of starts that were no longer
// named for a while.
func (r *Router) ageNotices() {
	if len(r.notices) == 0 {
		return
	}
	for _, s := range r.order {
		for _, t := range s.targets {
			if t.notice == nil {
				continue
			}
			t.notice.listedAt = r.now
			if t.notice.isOver(r.now) {
				t.notice = nil
			}
		}
	}
	maps.DeleteFunc(r.notices, func(_ origin, n *notice) bool {
		return n.isOver(r.now) || r.now.Sub(n.listedAt) > noticeMemory
	})
}

// dropNotice ends a notice before its time.
func (r *Router) dropNotice(n *notice) {
	delete(r.notices, n.origin)
	for _, s := range r.order {
		for _, t := range s.targets {
			if t.notice == n {
				t.notice = nil
			}
		}
	}
}

// startUnknown tells whether nothing but the target's own answers can show that it has started
// again: its rows tell no birth.
func (t *target) startUnknown() bool { return t.row.Born == 0 }

// wantsProbe tells whether a target that gets no calls is worth a probe: one that is ejected, and one
// that said it leaves where a probe alone shows whether a new start has taken its place.
func (t *target) wantsProbe(now units.Instant) bool {
	switch {
	case t.notice.rests(now):
		return false
	case t.notice.isLeaving():
		return t.startUnknown()
	}
	return t.health.ejected
}

// noteSuccessor takes the end of a probe of a target that said it leaves. One that leaves says so in all
// its answers; one that answers without, or no longer listens, isn't the one that left.
func (r *Router) noteSuccessor(t *target, v *ProbeEnded, e *Effects) {
	if !t.notice.isLeaving() || !t.startUnknown() || v.Reading.Leaving || !v.Refused && (!v.Answered || v.Misdirected) {
		return
	}
	r.dropNotice(t.notice)
	t.service.updateWeights(r.now)
	r.freedServices = append(r.freedServices, t.service)
	e.add(Effect{Kind: TargetNotice, Endpoint: t.endpoint, Notice: &Notice{}})
}
