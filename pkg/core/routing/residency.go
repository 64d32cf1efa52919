package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A route may allow some regions only. Its calls then go to targets in these regions alone,
// whether they are sent for the first time, retried, hedged or only probed for. The region of
// a target is that of its row's failure domain; a target whose region isn't known is allowed
// nowhere. A new table binds the calls that are in the box already, except for attempts that
// are under way.

const (
	// regionRetry is when the caller of a call may come back whose regions have no target.
	// Such a region gets targets again when they have started or a table allows more, which
	// takes seconds; a caller who comes back sooner is refused once more.
	regionRetry = 2 * time.Second
	// maxUnknown is how many failure domains of unknown region are logged at the most: a table may
	// name any number, and a box keeps each.
	maxUnknown = 64
)

// bind notes what a call asks for and where its targets must be.
func (c *call) bind(host, path []byte) {
	c.host = append(c.host[:0], host...)
	c.path = append(c.path[:0], path...)
	c.regions = c.route.regions
}

// mayUse tells whether the call may go to the target as far as regions go; nil stands for a
// call that may go anywhere.
func (c *call) mayUse(t *target) bool { return c == nil || c.regions.Allows(t.region) }

// bindCalls binds the calls in the box to the routes that hold now, and tells whether that
// changes where any of them may go. A call that no route matches any more stays bound as it
// was.
func (r *Router) bindCalls() bool {
	bound := false
	r.calls.Each(func(_ CallID, c *call) {
		if c.route == nil {
			return
		}
		if x := r.routes.find(c.host, c.path); x != nil {
			bound = bound || !c.regions.Equal(x.regions)
			c.regions = x.regions
		}
		r.routes.restricts = r.routes.restricts || c.regions != nil
	})
	return bound
}

// markRegions gives a service's targets the regions of their failure domains.
func (r *Router) markRegions(s *service, e *Effects) {
	for _, t := range s.targets {
		t.region = r.settings.Regions[t.row.Domain]
		t.distance = r.distanceTo(t.row.Domain)
		if t.region == "" {
			r.tellUnknown(t, e)
		}
	}
}

// tellUnknown logs a failure domain whose region isn't known, where regions are known at all.
func (r *Router) tellUnknown(t *target, e *Effects) {
	d := t.row.Domain
	if len(r.settings.Regions) == 0 || r.unknown[d] || len(r.unknown) >= maxUnknown {
		return
	}
	r.unknown[d] = true
	e.add(Effect{Kind: RegionUnknown, Endpoint: &Endpoint{Service: t.row.Service, Target: t.row.Target, Domain: d}})
}

// changeRegions puts other regions of the failure domains in force.
func (r *Router) changeRegions(regions map[units.Domain]units.Region, e *Effects) {
	if maps.Equal(r.settings.Regions, regions) {
		return
	}
	r.settings.Regions = regions
	clear(r.unknown)
	for d, x := range r.distances {
		r.updateSameRegion(d, x)
	}
	for _, s := range r.order {
		r.markRegions(s, e)
		r.settleCalls(s, e)
	}
}

// pickService returns the service whose turn it is among the route's, or nil when the route
// has none. Where that has no target for the call because of its regions, another one of the
// route takes it.
func (r *Router) pickService(c *call) *service {
	s := c.route.pick()
	if s == nil || !s.isBarred(c) {
		return s
	}
	for _, p := range c.route.parts {
		if p.service.hasActiveTarget(c) {
			return p.service
		}
	}
	return s
}

// isBarred tells whether the service has targets that could take the call, all of them in
// regions that it may not go to.
func (s *service) isBarred(c *call) bool {
	if c.regions == nil {
		return false
	}
	barred := false
	for _, t := range s.targets {
		if !t.isActiveInTable() {
			continue
		}
		if c.mayUse(t) {
			return false
		}
		barred = true
	}
	return barred
}

// retryAfterOf is when a caller may come back that was refused for a reason.
func (s *service) retryAfterOf(reason Reason, now units.Instant) time.Duration {
	if reason == RegionNotAllowed {
		return regionRetry
	}
	return s.retryAfter(now)
}

// anyHealth tells whether so many of the targets that a call may use are out of the common
// path that their health doesn't count.
func (r *Router) anyHealth(s *service, c *call) bool {
	if c.regions == nil {
		return s.mostlyEjected
	}
	active, ejected := 0, 0
	for _, t := range s.targets {
		if !t.isEligible() || !c.mayUse(t) {
			continue
		}
		active++
		if t.health.ejected {
			ejected++
		}
	}
	return 2*ejected > active
}

// isBehindHeld tells whether calls are held that come before this one. A call that waits for
// one region keeps only those behind it that may go to the same: others have room elsewhere.
func (r *Router) isBehindHeld(s *service, c *call) bool {
	return slices.ContainsFunc(s.held.waiting(), func(id CallID) bool {
		h := r.calls.Get(id)
		return h != nil && h.held && (h.regions == nil || h.regions.Equal(c.regions))
	})
}

// RestrictedRoute is a route whose calls may go to some regions only, as the dump shows it.
type RestrictedRoute struct {
	Host       string         `json:"host"`
	PathPrefix string         `json:"pathPrefix"`
	Regions    []units.Region `json:"regions"`
	// Targets is how many targets may take its calls now, but for their health and limits.
	Targets int `json:"targets"`
}

// restrictedRoutes lists them by host and prefix.
func (r *Router) restrictedRoutes() []RestrictedRoute {
	var all []RestrictedRoute
	for key, x := range r.routes.byKey {
		if x.regions == nil {
			continue
		}
		all = append(all, RestrictedRoute{
			Host: key.Host, PathPrefix: key.PathPrefix, Regions: x.regions.Names, Targets: x.allowedTargets(),
		})
	}
	slices.SortFunc(all, func(a, b RestrictedRoute) int {
		return table.RouteKey{Host: a.Host, PathPrefix: a.PathPrefix}.Compare(table.RouteKey{Host: b.Host, PathPrefix: b.PathPrefix})
	})
	return all
}

// allowedTargets is how many targets may take the route's calls, but for their health and limits.
func (x *route) allowedTargets() int {
	c := &call{regions: x.regions}
	n := 0
	for _, p := range x.parts {
		for _, t := range p.service.targets {
			if t.isEligible() && c.mayUse(t) {
				n++
			}
		}
	}
	return n
}
