package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/units"
)

// maxEvidenceRoutes is how many routes evidence of one version tells apart at the most, so that a
// request for a lease stays below some 4 KB. Answers on further routes are added up under an empty
// host and prefix.
const maxEvidenceRoutes = 16

// evidence is what a box has seen of the two versions of a rollout.
type evidence struct {
	old, new []routeEvidence
}

// routeEvidence is what was seen of one version on one route.
type routeEvidence struct {
	host, prefix string
	good, bad    uint64
	times        rollout.Histogram
	underWay     uint32
}

// of returns where answers of a version on a route are counted.
func (v *evidence) of(isNew bool, host, prefix string) *routeEvidence {
	list := &v.old
	if isNew {
		list = &v.new
	}
	if x := findEvidence(*list, host, prefix); x != nil {
		return x
	}
	if len(*list) >= maxEvidenceRoutes {
		host, prefix = "", ""
		if x := findEvidence(*list, host, prefix); x != nil {
			return x
		}
	}
	*list = append(*list, routeEvidence{host: host, prefix: prefix})
	return &(*list)[len(*list)-1]
}

func findEvidence(list []routeEvidence, host, prefix string) *routeEvidence {
	for i := range list {
		if list[i].host == host && list[i].prefix == prefix {
			return &list[i]
		}
	}
	return nil
}

// addGood counts an answer that isn't a failure.
func (x *routeEvidence) addGood(took time.Duration) {
	x.good++
	x.times.Add(took)
}

// isNew tells whether a target runs the version that the rollout moves calls to.
func (v *rolloutState) isNew(t *target) bool { return t.row.Software == v.record.To }

// noteResult takes how an attempt ended as evidence. A shed, misdirected or canceled call
// says nothing of the version; a target that is ejected because it can't be reached does.
func (r *Router) noteResult(c *call, t *target, result AttemptResult, took time.Duration, ejected bool, e *Effects) {
	v := t.service.rollout
	if v == nil {
		return
	}
	switch {
	case result == Answered:
		v.evidence.of(v.isNew(t), c.route.host, c.route.prefix).addGood(took)
		if v.isNew(t) {
			r.recordNewVersionAnswer(v, false, e)
		}
	case result == Broken && !r.mayRepeat(c):
		// A suspect breaks off whatever the version.
	case result == Failed || result == Broken || ejected && result == NotSent:
		r.noteBad(v, c, t, e)
	}
}

// noteBad counts a failure of the target.
func (r *Router) noteBad(v *rolloutState, c *call, t *target, e *Effects) {
	v.evidence.of(v.isNew(t), c.route.host, c.route.prefix).bad++
	if v.isNew(t) {
		r.recordNewVersionAnswer(v, true, e)
	}
}

// noteVersionSilent takes as evidence that an attempt got no answer by its call's deadline, if
// it had at least half of the call's time: others came too late for any version.
func (r *Router) noteVersionSilent(c *call, a *attempt, e *Effects) {
	v := a.target.service.rollout
	if v == nil || a.sent.Sub(c.arrived) > c.deadline.Sub(c.arrived)/2 {
		return
	}
	r.noteBad(v, c, a.target, e)
}

// noteVersionOvertaken takes as evidence that another target answered before the call's first one,
// which takes at least as long as it has taken. Without that a hedge would hide a slow
// version. A hedge that is overtaken began late, so that its time would say too little.
func (r *Router) noteVersionOvertaken(c *call, winner *attempt) {
	for i := range c.attempts {
		a := &c.attempts[i]
		if a == winner || a.target == nil || a.hedge {
			continue
		}
		if v := a.target.service.rollout; v != nil {
			v.evidence.of(v.isNew(a.target), c.route.host, c.route.prefix).addGood(r.now.Sub(a.sent))
		}
	}
}

// TakeEvidence returns what the box has seen of the versions of the rollouts that are under
// way, and for the last time of those that have ended.
func (r *Router) TakeEvidence() []rollout.Evidence {
	var all []rollout.Evidence
	for _, v := range r.rollouts {
		r.countUnderWay(v)
		all = v.appendEvidence(all, v.evidence.old, v.record.From)
		all = v.appendEvidence(all, v.evidence.new, v.record.To)
	}
	r.rollouts = slices.DeleteFunc(r.rollouts, r.isOver)
	return all
}

// countUnderWay counts the calls that the box waits for, those from before the order too.
func (r *Router) countUnderWay(v *rolloutState) {
	for _, list := range [][]routeEvidence{v.evidence.old, v.evidence.new} {
		for i := range list {
			list[i].underWay = 0
		}
	}
	r.calls.Each(func(_ CallID, c *call) {
		for i := range c.attempts {
			if t := c.attempts[i].target; t != nil && t.row.Service == v.record.Service {
				v.evidence.of(v.isNew(t), c.route.host, c.route.prefix).underWay++
			}
		}
	})
}

// appendEvidence appends what was seen of one version, an entry a route.
func (v *rolloutState) appendEvidence(all []rollout.Evidence, list []routeEvidence, software units.Software) []rollout.Evidence {
	for i := range list {
		x := &list[i]
		all = append(all, rollout.Evidence{
			Service: v.record.Service, Order: v.record.Order, Software: software, Route: rollout.RouteID(x.host + x.prefix),
			Good: x.good, Bad: x.bad, Times: x.times, UnderWay: x.underWay,
		})
	}
	return all
}
