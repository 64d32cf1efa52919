package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/units"
)

// maxEvidenceRoutes bounds the routes counted separately for one version, so that a lease request
// stays below about 4 KB. Answers on further routes are added up under an empty host and prefix.
const maxEvidenceRoutes = 16

// versionEvidence counts a box's results with the two versions of a rollout.
type versionEvidence struct {
	old, new []routeEvidence
}

// routeEvidence counts the results with one version on one route.
type routeEvidence struct {
	host, prefix        string
	successes, failures uint64
	durations           rollout.Histogram
	inFlight            uint32
}

// forRoute returns the counters of a version on a route.
func (v *versionEvidence) forRoute(isNew bool, host, prefix string) *routeEvidence {
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

// addSuccess counts an answer that isn't a failure.
func (x *routeEvidence) addSuccess(took time.Duration) {
	x.successes++
	x.durations.Add(took)
}

// runsNewVersion reports whether a target runs the version that the rollout moves calls to.
func (v *rolloutState) runsNewVersion(t *target) bool { return t.row.Software == v.record.To }

// recordResult records the result of an attempt as evidence about its version. A shed, misdirected
// or canceled call is none; the ejection of a target that can't be reached is.
func (r *Router) recordResult(c *call, t *target, result AttemptResult, took time.Duration, ejected bool, e *Effects) {
	v := t.service.rollout
	if v == nil {
		return
	}
	switch {
	case result == Answered:
		v.evidence.forRoute(v.runsNewVersion(t), c.route.host, c.route.prefix).addSuccess(took)
		if v.runsNewVersion(t) {
			r.recordNewVersionAnswer(v, false, e)
		}
	case result == Broken && !r.mayResend(c):
	// A call suspected of crashing targets breaks with any version.
	case result == Failed || result == Broken || ejected && result == NotSent:
		r.recordVersionFailure(v, c, t, result == Failed, e)
	}
}

// recordVersionFailure counts a failure of the target. One without an answer is counted only once
// another target is heard, as it may be the box's own.
func (r *Router) recordVersionFailure(v *rolloutState, c *call, t *target, isAnswer bool, e *Effects) {
	f := versionFailure{rollout: v, isNew: v.runsNewVersion(t), host: c.route.host, prefix: c.route.prefix}
	if isAnswer {
		r.countVersionFailure(f, e)
		return
	}
	r.deferFailure(t, f, e)
}

// countVersionFailure counts a failure as evidence about its version.
func (r *Router) countVersionFailure(f versionFailure, e *Effects) {
	f.rollout.evidence.forRoute(f.isNew, f.host, f.prefix).failures++
	if f.isNew {
		r.recordNewVersionAnswer(f.rollout, true, e)
	}
}

// recordVersionTimeout counts a failure for an attempt without an answer at its call's deadline, if
// it had at least half of the call's time: later attempts had too little time with any version.
func (r *Router) recordVersionTimeout(c *call, a *attempt, e *Effects) {
	v := a.target.service.rollout
	if v == nil || a.sent.Sub(c.arrived) > c.deadline.Sub(c.arrived)/2 {
		return
	}
	r.recordVersionFailure(v, c, a.target, false, e)
}

// recordVersionOvertaken records the elapsed time of a call's first attempt when another one was
// answered first. The actual time is at least as long. Without this a hedge would hide a slow
// version. An overtaken hedge isn't recorded: it started late, so that its elapsed time shows too
// little.
func (r *Router) recordVersionOvertaken(c *call, winner *attempt) {
	for i := range c.attempts {
		a := &c.attempts[i]
		if a == winner || a.target == nil || a.hedge {
			continue
		}
		if v := a.target.service.rollout; v != nil {
			v.evidence.forRoute(v.runsNewVersion(a.target), c.route.host, c.route.prefix).addSuccess(r.now.Sub(a.sent))
		}
	}
}

// CollectEvidence returns the evidence about the versions of all rollouts in progress, and a final
// time about those that have ended.
func (r *Router) CollectEvidence() []rollout.Evidence {
	var all []rollout.Evidence
	for _, v := range r.rollouts {
		r.countInFlight(v)
		all = v.appendEvidence(all, v.evidence.old, v.record.From)
		all = v.appendEvidence(all, v.evidence.new, v.record.To)
	}
	r.rollouts = slices.DeleteFunc(r.rollouts, r.isOver)
	return all
}

// countInFlight counts the calls in flight, including those sent before the rollout was ordered.
func (r *Router) countInFlight(v *rolloutState) {
	for _, list := range [][]routeEvidence{v.evidence.old, v.evidence.new} {
		for i := range list {
			list[i].inFlight = 0
		}
	}
	r.calls.Each(func(_ CallID, c *call) {
		for i := range c.attempts {
			if t := c.attempts[i].target; t != nil && t.row.Service == v.record.Service {
				v.evidence.forRoute(v.runsNewVersion(t), c.route.host, c.route.prefix).inFlight++
			}
		}
	})
}

// appendEvidence appends the evidence about one version, with one entry for each route.
func (v *rolloutState) appendEvidence(all []rollout.Evidence, list []routeEvidence, software units.SoftwareVersion) []rollout.Evidence {
	for i := range list {
		x := &list[i]
		all = append(all, rollout.Evidence{
			Service: v.record.Service, Order: v.record.Order, Software: software, Route: rollout.RouteID(x.host + x.prefix),
			Successes: x.successes, Failures: x.failures, Times: x.durations, InFlight: x.inFlight,
		})
	}
	return all
}
