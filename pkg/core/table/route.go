package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Route sends the calls of a host and a path prefix to services. Where no route
// matches, the hosts and prefixes of the services themselves count.
type Route struct {
	Name       string   `json:"name"`
	Host       string   `json:"host"`
	PathPrefix string   `json:"pathPrefix"`
	Work       WorkKind `json:"work"`
	// Deadline is how long a call may be held at the most, whatever its caller
	// asks for.
	Deadline time.Duration `json:"deadline"`
	// LatencyObjective is the time within which an answer is worth its full value; zero means
	// that none is known.
	LatencyObjective time.Duration `json:"aim,omitempty"`
	// MaxAttempts is how many targets a call may be sent to; zero leaves it to the
	// box.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Priority ranks routes when not all calls can be served; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// LargeResponses is set where answers may be many times as long as those of other routes:
	// they yield the box's link to others.
	LargeResponses bool `json:"largeAnswers,omitempty"`
	// Public is set where calls need no key of a workspace.
	Public bool `json:"public,omitempty"`
	// Regions restricts where calls may be served; nil allows every region.
	Regions *AllowedRegions `json:"regions,omitempty"`
	// Services are the services that share the calls by weight.
	Services []WeightedService `json:"parts"`
}

// WeightedService is one service's part of a route's calls.
type WeightedService struct {
	Service units.ServiceName `json:"service"`
	Weight  int               `json:"weight"`
}

// RouteKey is what a route matches; no two routes have the same.
type RouteKey struct {
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
}

// Key returns what the route matches.
func (r *Route) Key() RouteKey { return RouteKey{Host: r.Host, PathPrefix: r.PathPrefix} }

// equal tells whether two routes say the same.
func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Key() == o.Key() && r.Work == o.Work && r.Deadline == o.Deadline && r.LatencyObjective == o.LatencyObjective &&
		r.MaxAttempts == o.MaxAttempts && r.Priority == o.Priority && r.LargeResponses == o.LargeResponses && r.Public == o.Public &&
		r.Regions.Equal(o.Regions) && slices.Equal(r.Services, o.Services)
}

// Compare orders routes by host and path prefix.
func (k RouteKey) Compare(o RouteKey) int {
	return cmp.Or(strings.Compare(k.Host, o.Host), strings.Compare(k.PathPrefix, o.PathPrefix))
}

// RouteChange is a change of the list of routes; it holds what differs only.
type RouteChange struct {
	Put     []*Route   `json:"put,omitempty"`
	Removed []RouteKey `json:"removed,omitempty"`
}

// Empty tells whether nothing changes.
func (c RouteChange) Empty() bool { return len(c.Put)+len(c.Removed) == 0 }

// routeDifference returns the change that leads from one set of routes to another.
func routeDifference(from, to map[RouteKey]*Route) RouteChange {
	var c RouteChange
	for k, r := range to {
		if old := from[k]; old == nil || !old.equal(r) {
			c.Put = append(c.Put, r)
		}
	}
	for k := range from {
		if to[k] == nil {
			c.Removed = append(c.Removed, k)
		}
	}
	slices.SortFunc(c.Put, func(a, b *Route) int { return a.Key().Compare(b.Key()) })
	slices.SortFunc(c.Removed, RouteKey.Compare)
	return c
}

// patchRoutes returns the routes after a change.
func patchRoutes(routes map[RouteKey]*Route, c RouteChange) map[RouteKey]*Route {
	if c.Empty() {
		return routes
	}
	next := make(map[RouteKey]*Route, len(routes)+len(c.Put))
	for k, r := range routes {
		next[k] = r
	}
	for _, k := range c.Removed {
		delete(next, k)
	}
	for _, r := range c.Put {
		next[r.Key()] = r
	}
	return next
}

var routeRules = []rule[Route]{
	{"path_prefix", func(r *Route) bool { return strings.HasPrefix(r.PathPrefix, "/") }, "start it with a slash"},
	{"work", func(r *Route) bool { return r.Work >= Repeatable && r.Work <= Patient }, "write repeatable, once or patient"},
	{"deadline", func(r *Route) bool { return r.Deadline > 0 }, "give a positive duration such as 2s"},
	{"aim", func(r *Route) bool { return r.LatencyObjective >= 0 }, "give a duration, or 0s for none"},
	{"max_attempts", func(r *Route) bool { return r.MaxAttempts >= 0 }, "give 0 for the box's own bound, or a positive number"},
	{"regions", func(r *Route) bool { return r.Regions.valid() }, "name each region once, with 1 to 64 of a-z, 0-9, '-', '.' and '_'"},
	{"parts", func(r *Route) bool { return totalWeight(r.Services) > 0 }, "give at least one service a positive weight, and none a negative one"},
}

// totalWeight adds up the weights; a negative one makes the sum zero.
func totalWeight(parts []WeightedService) int {
	sum := 0
	for _, p := range parts {
		if p.Weight < 0 || p.Weight > MaxWeight {
			return 0
		}
		sum += p.Weight
	}
	return sum
}

// CheckRoute returns what is wrong with a route, or nothing.
func CheckRoute(r *Route) []Problem { return findProblems(routeRules, r) }
