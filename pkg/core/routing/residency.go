package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A route may be restricted to some regions. All sends of its calls, first sends, retries, hedges
// and the probes for them, then go to targets in these regions only. A target is in the region of
// its row's failure domain; a target whose region isn't known is never allowed on such a route. A
// new table also applies to the calls that are already in the box, except for attempts in flight.

const (
	// regionRetryAfter is the retry delay for a call whose allowed regions have no target. Such a
	// region has targets again once they have started or a table allows more, which takes seconds;
	// a caller that retries sooner is refused again.
	regionRetryAfter = 2 * time.Second
	// maxUnknownRegions bounds the failure domains of unknown region that are logged: a table may
	// name any number, and a box remembers each.
	maxUnknownRegions = 64
)

// bindRoute records a call's host and path and the regions that its route allows.
func (c *call) bindRoute(host, path []byte) {
	c.host = append(c.host[:0], host...)
	c.path = append(c.path[:0], path...)
	c.regions = c.route.regions
}

// mayUse reports whether the target's region is allowed for the call; a nil call stands for one
// without a restriction.
func (c *call) mayUse(t *target) bool { return c == nil || c.regions.Allows(t.region) }

// rebindCalls applies the present routes to the calls in the box, and reports whether that changes
// the allowed regions of any of them. A call that no route matches any more keeps its restriction.
func (r *Router) rebindCalls() bool {
	changed := false
	r.calls.Each(func(_ CallID, c *call) {
		if c.route == nil {
			return
		}
		if x := r.routes.find(c.host, c.path); x != nil {
			changed = changed || !c.regions.Equal(x.regions)
			c.regions = x.regions
		}
		r.routes.restrictsRegions = r.routes.restrictsRegions || c.regions != nil
	})
	return changed
}

// assignRegions sets the region and distance of a service's targets from their failure domains.
func (r *Router) assignRegions(s *service, e *Effects) {
	for _, t := range s.targets {
		t.region = r.settings.Regions[t.row.Domain]
		t.distance = r.distanceTo(t.row.Domain)
		if t.region == "" {
			r.logUnknownRegion(t, e)
		}
	}
}

// logUnknownRegion logs a failure domain whose region isn't known, if any regions are known at all.
func (r *Router) logUnknownRegion(t *target, e *Effects) {
	d := t.row.Domain
	if len(r.settings.Regions) == 0 || r.unknownRegions[d] || len(r.unknownRegions) >= maxUnknownRegions {
		return
	}
	r.unknownRegions[d] = true
	e.add(Effect{Kind: RegionUnknown, Endpoint: &Endpoint{Service: t.row.Service, Target: t.row.Target, Domain: d}})
}

// setRegions replaces the regions of the failure domains.
func (r *Router) setRegions(regions map[units.Domain]units.Region, e *Effects) {
	if maps.Equal(r.settings.Regions, regions) {
		return
	}
	r.settings.Regions = regions
	clear(r.unknownRegions)
	for d, x := range r.domainDistances {
		r.updateSameRegion(d, x)
	}
	for _, s := range r.sortedServices {
		r.assignRegions(s, e)
		r.recheckWaitingCalls(s, e)
	}
}

// pickService returns the next service of the route in weighted round-robin order, or nil when the
// route has none. If the service has targets only in regions that the call may not use, another
// service of the route with an allowed target is returned.
func (r *Router) pickService(c *call) *service {
	s := c.route.nextService()
	if s == nil || !s.isExcludedByRegion(c) {
		return s
	}
	for _, p := range c.route.parts {
		if p.service.hasEligibleTarget(c) {
			return p.service
		}
	}
	return s
}

// isExcludedByRegion reports whether the service has targets, but none in a region that the call
// may use.
func (s *service) isExcludedByRegion(c *call) bool {
	if c.regions == nil {
		return false
	}
	excluded := false
	for _, t := range s.targets {
		if !t.isActiveInTable() {
			continue
		}
		if c.mayUse(t) {
			return false
		}
		excluded = true
	}
	return excluded
}

// retryAfterFor is the retry delay of a refusal for a reason.
func (s *service) retryAfterFor(reason Reason, now units.Instant) time.Duration {
	if reason == RegionNotAllowed {
		return regionRetryAfter
	}
	return s.retryAfter(now)
}

// ignoresHealth reports whether more than half of the targets that a call may use are ejected;
// their health is ignored then.
func (r *Router) ignoresHealth(s *service, c *call) bool {
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

// isBehindHeld reports whether held calls come before this one. A held call that is restricted to
// regions blocks only calls with the same restriction: others may find free targets in other
// regions.
func (r *Router) isBehindHeld(s *service, c *call) bool {
	return slices.ContainsFunc(s.held.waiting(), func(id CallID) bool {
		h := r.calls.Get(id)
		return h != nil && h.held && (h.regions == nil || h.regions.Equal(c.regions))
	})
}

// RestrictedRoute is a route that is restricted to regions, as the dump shows it.
type RestrictedRoute struct {
	Host       string         `json:"host"`
	PathPrefix string         `json:"pathPrefix"`
	Regions    []units.Region `json:"regions"`
	// Targets is how many targets may serve its calls now, regardless of their health and limits.
	Targets int `json:"targets"`
}

// restrictedRoutes lists the restricted routes by host and prefix.
func (r *Router) restrictedRoutes() []RestrictedRoute {
	var all []RestrictedRoute
	for key, x := range r.routes.byKey {
		if x.regions == nil {
			continue
		}
		all = append(all, RestrictedRoute{
			Host: key.Host, PathPrefix: key.PathPrefix, Regions: x.regions.Names, Targets: x.countAllowedTargets(),
		})
	}
	slices.SortFunc(all, func(a, b RestrictedRoute) int {
		return table.RouteKey{Host: a.Host, PathPrefix: a.PathPrefix}.Compare(table.RouteKey{Host: b.Host, PathPrefix: b.PathPrefix})
	})
	return all
}

// countAllowedTargets is how many targets may serve the route's calls, regardless of their health
// and limits.
func (x *route) countAllowedTargets() int {
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
