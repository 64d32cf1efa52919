package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// routeIndex finds the route for a host and a path.
type routeIndex struct {
	byHost map[string][]*route
	// byKey holds the table's routes, so that their estimates outlast a change of the table.
	byKey map[table.RouteKey]*route
	// restrictsRegions is set if a route, or a call in the box, is restricted to some regions.
	restrictsRegions bool
}

// route is a route of the table, or one derived from a service's own hosts and prefix, with the
// box's estimates.
type route struct {
	host   string
	prefix string
	work   table.WorkKind
	// maxDeadline caps the deadline that a caller may set; zero means the cap in the settings.
	maxDeadline time.Duration
	// defaultDeadline applies to calls without a deadline.
	defaultDeadline  time.Duration
	latencyObjective time.Duration
	maxAttempts      int
	priority         int
	// largeAnswers is set if answers are large, so that calls wait while the box's link is
	// occupied.
	largeAnswers bool
	// public is set if calls need no key.
	public bool
	// meanAnswerBytes is the mean number of answer bytes that are streamed; hasAnswerSize is set
	// after the first answer.
	meanAnswerBytes float64
	hasAnswerSize   bool
	// regions are the regions whose targets may receive the route's calls; nil allows all.
	regions *table.AllowedRegions
	// typicalLatency is the median latency of the route's calls at a target's usual pace, in
	// nanoseconds; zero before the first answer.
	typicalLatency float64
	// latencySamples counts the answers from which typicalLatency was estimated.
	latencySamples int
	// firstLatencies are the latencies of the first answers, from which typicalLatency is
	// initialized.
	firstLatencies [minTimeSamples]float64
	// callerDeadline estimates the usual deadline of the route's callers.
	callerDeadline deadlineEstimate
	parts          []routePart
}

// serviceRoute returns the route for a service's own hosts and prefix.
func serviceRoute(s *service, host string) *route {
	return &route{
		host: host, prefix: s.row.PathPrefix, work: s.row.Work, defaultDeadline: s.row.Deadline, maxAttempts: maxSends,
		parts: []routePart{{service: s, weight: 1}},
	}
}

// newRoute returns the route for a row of the table. Parts whose service isn't in the table receive
// no calls.
func (r *Router) newRoute(row *table.Route) *route {
	x := &route{
		host: row.Host, prefix: row.PathPrefix, work: row.Work, maxDeadline: row.Deadline, defaultDeadline: row.Deadline, latencyObjective: row.LatencyObjective,
		maxAttempts: maxSends, priority: row.Priority, largeAnswers: row.LargeResponses, public: row.Public, regions: row.Regions,
	}
	if row.MaxAttempts > 0 {
		x.maxAttempts = min(row.MaxAttempts, maxSends)
	}
	for _, p := range row.Services {
		if s := r.services[p.Service]; s != nil && p.Weight > 0 {
			x.parts = append(x.parts, routePart{service: s, weight: p.Weight})
		}
	}
	return x
}

// copyEstimates copies the estimates of the route's previous version, if there was one.
func (x *route) copyEstimates(old *route) {
	if old != nil {
		x.typicalLatency, x.latencySamples, x.firstLatencies = old.typicalLatency, old.latencySamples, old.firstLatencies
		x.callerDeadline = old.callerDeadline
		x.meanAnswerBytes, x.hasAnswerSize = old.meanAnswerBytes, old.hasAnswerSize
	}
}

// indexRoutes rebuilds the index. The table's routes take precedence over the services' own ones
// with the same host and prefix.
func (r *Router) indexRoutes() {
	x := routeIndex{byHost: map[string][]*route{}, byKey: map[table.RouteKey]*route{}}
	for key, row := range r.table.Routes {
		added := r.newRoute(row)
		old := r.routes.byKey[key]
		added.copyEstimates(old)
		added.carryOverTurns(old, r.settings.Box)
		x.byKey[key] = added
		x.restrictsRegions = x.restrictsRegions || added.regions != nil
		x.byHost[row.Host] = append(x.byHost[row.Host], added)
	}
	for _, s := range r.sortedServices {
		for _, h := range ownHosts(&s.row) {
			x.byHost[h] = append(x.byHost[h], serviceRoute(s, h))
		}
	}
	for _, routes := range x.byHost {
		slices.SortStableFunc(routes, func(a, b *route) int { return len(b.prefix) - len(a.prefix) })
	}
	r.routes = x
}

// ownHosts returns the hosts of a service that needs no route in the table; an empty host matches
// any.
func ownHosts(s *table.Service) []string {
	if len(s.Hosts) == 0 && s.PathPrefix != "" {
		return []string{""}
	}
	return s.Hosts
}

// find returns the route for a host and a path: the longest matching prefix among the host's own
// routes, otherwise among those for any host. It returns nil if there is none.
func (x *routeIndex) find(host, path []byte) *route {
	if found := longestPrefix(x.byHost[string(host)], path); found != nil {
		return found
	}
	return longestPrefix(x.byHost[""], path)
}

func longestPrefix(routes []*route, path []byte) *route {
	for _, r := range routes {
		if len(path) >= len(r.prefix) && string(path[:len(r.prefix)]) == r.prefix {
			return r
		}
	}
	return nil
}

// callDeadline returns how long a call of the route may take, given the deadline that its caller
// requested and the cap in the settings.
func (x *route) callDeadline(requested, maxDeadline time.Duration) time.Duration {
	if requested <= 0 {
		return x.defaultDeadline
	}
	if x.maxDeadline > 0 {
		maxDeadline = x.maxDeadline
	}
	return min(requested, maxDeadline)
}
