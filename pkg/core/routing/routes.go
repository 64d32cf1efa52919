package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// routeIndex finds the route of a host name and a path.
type routeIndex struct {
	byHost map[string][]*route
	// byKey holds the table's routes, for what was learnt of them to outlast a change.
	byKey map[table.RouteKey]*route
	// restricts is set where a route, or a call in the box, may go to some regions only.
	restricts bool
}

// route is what a box knows of a route: one of the table's, or the one that a
// service's own hosts and prefix make.
type route struct {
	host   string
	prefix string
	work   table.WorkKind
	// deadline bounds what a caller may ask for; zero leaves that to the settings.
	deadline time.Duration
	// usual is the deadline of a caller that asks for none.
	usual       time.Duration
	aim         time.Duration
	maxAttempts int
	priority    int
	// largeAnswers is set where answers yield the box's link to others.
	largeAnswers bool
	// public is set where calls need no key.
	public bool
	// size is how many bytes of its answers come while they pass through, as a mean; sized
	// is set once one has come.
	size  float64
	sized bool
	// regions are where targets must be to take the route's calls; nil allows all.
	regions *table.AllowedRegions
	// typical is the median time of the route's calls at a target's usual pace, in
	// nanoseconds; zero before the first.
	typical float64
	// answers counts the answers that the typical time was learnt from.
	answers int
	// first are the first answers' times, which the typical time starts from.
	first [minTimeSamples]float64
	// asked is what the route's callers begin with.
	asked deadlineEstimate
	parts []routePart
}

// serviceRoute is the route that a service's own hosts and prefix make.
func serviceRoute(s *service, host string) *route {
	return &route{
		host: host, prefix: s.row.PathPrefix, work: s.row.Work, usual: s.row.Deadline, maxAttempts: maxSendsSinceHeld,
		parts: []routePart{{service: s, weight: 1}},
	}
}

// newRoute returns a route of the table. A part whose service the table lacks takes
// no calls.
func (r *Router) newRoute(row *table.Route) *route {
	x := &route{
		host: row.Host, prefix: row.PathPrefix, work: row.Work, deadline: row.Deadline, usual: row.Deadline, aim: row.LatencyObjective,
		maxAttempts: maxSendsSinceHeld, priority: row.Priority, largeAnswers: row.LargeResponses, public: row.Public, regions: row.Regions,
	}
	if row.MaxAttempts > 0 {
		x.maxAttempts = min(row.MaxAttempts, maxSendsSinceHeld)
	}
	for _, p := range row.Services {
		if s := r.services[p.Service]; s != nil && p.Weight > 0 {
			x.parts = append(x.parts, routePart{service: s, weight: p.Weight})
		}
	}
	return x
}

// learnFrom takes over what was learnt of the route before a change, if there was one.
func (x *route) learnFrom(old *route) {
	if old != nil {
		x.typical, x.answers, x.first = old.typical, old.answers, old.first
		x.asked = old.asked
		x.size, x.sized = old.size, old.sized
	}
}

// indexRoutes makes the index anew. The table's routes come before the services' own
// ones of the same host and prefix.
func (r *Router) indexRoutes() {
	x := routeIndex{byHost: map[string][]*route{}, byKey: map[table.RouteKey]*route{}}
	for key, row := range r.table.Routes {
		added := r.newRoute(row)
		old := r.routes.byKey[key]
		added.learnFrom(old)
		added.takeTurns(old, r.settings.Box)
		x.byKey[key] = added
		x.restricts = x.restricts || added.regions != nil
		x.byHost[row.Host] = append(x.byHost[row.Host], added)
	}
	for _, s := range r.order {
		for _, h := range ownHosts(&s.row) {
			x.byHost[h] = append(x.byHost[h], serviceRoute(s, h))
		}
	}
	for _, routes := range x.byHost {
		slices.SortStableFunc(routes, func(a, b *route) int { return len(b.prefix) - len(a.prefix) })
	}
	r.routes = x
}

// ownHosts are the hosts under which a service is reached without a route of the
// table; an empty one stands for any.
func ownHosts(s *table.Service) []string {
	if len(s.Hosts) == 0 && s.PathPrefix != "" {
		return []string{""}
	}
	return s.Hosts
}

// find returns the route for a host and a path: the longest prefix of the host's own
// routes, else of those for any host. It returns nil for none.
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

// deadlineOf is how long a call of the route may take.
func (x *route) deadlineOf(asked, most time.Duration) time.Duration {
	if asked <= 0 {
		return x.usual
	}
	if x.deadline > 0 {
		most = x.deadline
	}
	return min(asked, most)
}
