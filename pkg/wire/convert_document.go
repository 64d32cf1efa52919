package wire

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// FromRoute converts a route to a message.
func FromRoute(r *table.Route) *Route {
	return &Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Work: int32(r.Work), Deadline: int64(r.Deadline),
		Aim: int64(r.LatencyObjective), MaxAttempts: int32(r.MaxAttempts), Priority: int32(r.Priority),
		LargeAnswers: r.LargeResponses, AllowedRegions: fromAllowedRegions(r.Regions), Restricted: r.Regions != nil,
		Public: r.Public,
		Parts:  mapSlice(r.Services, func(p table.WeightedService) *Part { return &Part{Service: string(p.Service), Weight: int32(p.Weight)} }),
	}
}

// ToRoute is the inverse of FromRoute.
func ToRoute(r *Route) *table.Route {
	return &table.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Work: table.WorkKind(r.Work), Deadline: time.Duration(r.Deadline),
		LatencyObjective: time.Duration(r.Aim), MaxAttempts: int(r.MaxAttempts), Priority: int(r.Priority),
		LargeResponses: r.LargeAnswers, Regions: toAllowedRegions(r), Public: r.Public,
		Services: mapSlice(r.Parts, func(p *Part) table.WeightedService {
			return table.WeightedService{Service: units.ServiceName(p.Service), Weight: int(p.Weight)}
		}),
	}
}

func fromAllowedRegions(a *table.AllowedRegions) []string {
	if a == nil {
		return nil
	}
	return mapSlice(a.Names, func(n units.Region) string { return string(n) })
}

func toAllowedRegions(r *Route) *table.AllowedRegions {
	if !r.Restricted {
		return nil
	}
	return &table.AllowedRegions{Names: mapSlice(r.AllowedRegions, func(n string) units.Region { return units.Region(n) })}
}

func fromRouteKey(k table.RouteKey) *RouteKey {
	return &RouteKey{Host: k.Host, PathPrefix: k.PathPrefix}
}

func toRouteKey(k *RouteKey) table.RouteKey {
	return table.RouteKey{Host: k.Host, PathPrefix: k.PathPrefix}
}

func fromRoutes(routes map[table.RouteKey]*table.Route) []*Route {
	sorted := slices.SortedFunc(maps.Values(routes), func(a, b *table.Route) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.PathPrefix, b.PathPrefix))
	})
	return mapSlice(sorted, FromRoute)
}

func toRoutes(routes []*Route) map[table.RouteKey]*table.Route {
	if len(routes) == 0 {
		return nil
	}
	out := make(map[table.RouteKey]*table.Route, len(routes))
	for _, r := range routes {
		route := ToRoute(r)
		out[route.Key()] = route
	}
	return out
}

// FromDocument converts a document to a message; nil stays nil.
func FromDocument(d *table.Document) *Document {
	if d == nil {
		return nil
	}
	return &Document{
		Version: uint64(d.Version), Source: d.Source, Routes: mapSlice(d.Routes, FromRoute),
		Services:   mapSlice(d.Services, func(s table.Service) *Service { return FromService(&s, 0) }),
		Workspaces: mapSlice(d.Workspaces, fromWorkspace), KeysRequired: d.Workspaces != nil,
	}
}

// ToDocument is the inverse of FromDocument; nil stays nil.
func ToDocument(d *Document) *table.Document {
	if d == nil {
		return nil
	}
	out := &table.Document{
		Version: units.DocumentVersion(d.Version), Source: d.Source, Routes: mapSlice(d.Routes, ToRoute),
		Services:   mapSlice(d.Services, func(s *Service) table.Service { return *ToService(s) }),
		Workspaces: mapSlice(d.Workspaces, toWorkspace),
	}
	if d.KeysRequired && out.Workspaces == nil {
		out.Workspaces = table.Workspaces{}
	}
	return out
}

// FromRegistration converts a target's registration to a message.
func FromRegistration(r *table.Registration) *Registration {
	return &Registration{
		Target: string(r.Target), Service: string(r.Service), Address: r.Address, Domain: string(r.Domain),
		Software: string(r.Software), Slots: int32(r.Slots), State: int32(r.State), Sequence: r.Sequence,
		Cold: int64(r.Cold), Silent: r.Silent, Born: int64(r.Born),
	}
}

// ToRegistration is the inverse of FromRegistration.
func ToRegistration(r *Registration) *table.Registration {
	return &table.Registration{
		Target: units.TargetID(r.Target), Service: units.ServiceName(r.Service), Address: r.Address,
		Domain: units.Domain(r.Domain), Software: units.SoftwareVersion(r.Software), Slots: int(r.Slots), State: table.RowState(r.State),
		Sequence: r.Sequence, Cold: time.Duration(r.Cold), Silent: r.Silent, Born: units.WallTime(r.Born),
	}
}

// fromPatch converts a patch to a message. The rows are sent without their service name, which
// is the patch's.
func fromPatch(p *table.EntryPatch) *EntryPatch {
	out := &EntryPatch{
		Service: string(p.Service), Version: uint64(p.Version),
		Removed:  mapSlice(p.Removed, func(id units.TargetID) string { return string(id) }),
		Division: mapSlice(p.Division, fromDomainStep), Redivided: p.Redivided,
	}
	for i := range p.Put {
		row := FromRow(&p.Put[i])
		row.Service = ""
		out.Put = append(out.Put, row)
	}
	return out
}

func toPatch(p *EntryPatch) *table.EntryPatch {
	out := &table.EntryPatch{
		Service: units.ServiceName(p.Service), Version: units.Version(p.Version),
		Removed:  mapSlice(p.Removed, func(id string) units.TargetID { return units.TargetID(id) }),
		Division: mapSlice(p.Division, toDomainStep), Redivided: p.Redivided,
	}
	for _, r := range p.Put {
		row := *ToRow(r)
		row.Service = out.Service
		out.Put = append(out.Put, row)
	}
	return out
}

func fromEvacuation(x table.Evacuation) *Evacuation {
	return &Evacuation{Domain: string(x.Domain), Active: x.Active, Since: uint64(x.Since), Operator: x.Operator, At: int64(x.At)}
}

func toEvacuation(x *Evacuation) table.Evacuation {
	return table.Evacuation{
		Domain: units.Domain(x.Domain), Active: x.Active, Since: units.Revision(x.Since), Operator: x.Operator, At: units.WallTime(x.At),
	}
}

// FromEvacuationOrder converts an operator's evacuation order to a message.
func FromEvacuationOrder(o *table.EvacuationOrder) *EvacuationOrder {
	return &EvacuationOrder{Domain: string(o.Domain), Evacuate: o.Evacuate, Base: uint64(o.Base), Operator: o.Operator}
}

// ToEvacuationOrder is the inverse of FromEvacuationOrder.
func ToEvacuationOrder(o *EvacuationOrder) *table.EvacuationOrder {
	return &table.EvacuationOrder{
		Domain: units.Domain(o.Domain), Evacuate: o.Evacuate, Base: units.Revision(o.Base), Operator: o.Operator,
	}
}
