package sheet

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

var routeColumns = []column[table.Route]{
	{"route", true, func(r *table.Route, c string) error { r.Name = c; return nil },
		func(r *table.Route) string { return r.Name }},
	{"host", true, func(r *table.Route, c string) error { r.Host = c; return nil },
		func(r *table.Route) string { return r.Host }},
	{"path_prefix", true, func(r *table.Route, c string) error { r.PathPrefix = c; return nil },
		func(r *table.Route) string { return r.PathPrefix }},
	{"work", true, func(r *table.Route, c string) error { return r.Work.UnmarshalText([]byte(c)) },
		func(r *table.Route) string { return r.Work.String() }},
	{"services", true, func(r *table.Route, c string) error { return parseWeightedServices(&r.Services, c) },
		func(r *table.Route) string { return formatWeightedServices(r.Services) }},
	{"deadline", false, func(r *table.Route, c string) error { return parseDuration(&r.Deadline, c) },
		func(r *table.Route) string { return r.Deadline.String() }},
	{"aim", false, func(r *table.Route, c string) error { return parseDuration(&r.LatencyObjective, c) },
		func(r *table.Route) string { return r.LatencyObjective.String() }},
	{"max_attempts", false, func(r *table.Route, c string) error { return parseInt(&r.MaxAttempts, c) },
		func(r *table.Route) string { return strconv.Itoa(r.MaxAttempts) }},
	{"large_answers", false, func(r *table.Route, c string) error { return parseBool(&r.LargeResponses, c) },
		func(r *table.Route) string { return strconv.FormatBool(r.LargeResponses) }},
	{"public", false, func(r *table.Route, c string) error { return parseBool(&r.Public, c) },
		func(r *table.Route) string { return strconv.FormatBool(r.Public) }},
	{"priority", false, func(r *table.Route, c string) error { return parseInt(&r.Priority, c) },
		func(r *table.Route) string { return strconv.Itoa(r.Priority) }},
	{"regions", false, parseRegions, formatRegions},
}

// noRegions is the cell of a list that allows no region; an empty cell allows all regions.
const noRegions = "none"

func parseRegions(r *table.Route, cell string) error {
	if cell == "" {
		r.Regions = nil
		return nil
	}
	r.Regions = &table.AllowedRegions{}
	if cell == noRegions {
		return nil
	}
	for _, name := range strings.Fields(cell) {
		r.Regions.Names = append(r.Regions.Names, units.Region(name))
	}
	return nil
}

func formatRegions(r *table.Route) string {
	if r.Regions == nil {
		return ""
	}
	if len(r.Regions.Names) == 0 {
		return noRegions
	}
	names := make([]string, 0, len(r.Regions.Names))
	for _, n := range r.Regions.Names {
		names = append(names, string(n))
	}
	return strings.Join(names, listSeparator)
}

// NewRoute returns a route in which every field has its default.
func NewRoute() table.Route {
	return table.Route{Work: table.Repeatable, Deadline: table.DefaultDeadline}
}

// ReadRoutes reads a sheet of routes. Its errors are those of ReadServices.
func ReadRoutes(r io.Reader) ([]table.Route, error) {
	return read(r, routeColumns, NewRoute, table.CheckRoute)
}

// WriteRoutes writes a sheet of routes.
func WriteRoutes(w io.Writer, routes []table.Route) error {
	return write(w, routeColumns, routes)
}

// SetRouteCell does the same as SetRowCell for a route.
func SetRouteCell(r *table.Route, name, value string) error {
	return setCell(routeColumns, r, name, value)
}

// weightSeparator separates a service from its weight.
const weightSeparator = ":"

// parseWeightedServices parses services with their weights, as in "old:90 new:10". A service
// without a weight has weight 1.
func parseWeightedServices(dst *[]table.WeightedService, cell string) error {
	var services []table.WeightedService
	for _, element := range strings.Fields(cell) {
		name, weight, weighted := strings.Cut(element, weightSeparator)
		p := table.WeightedService{Service: units.ServiceName(name), Weight: 1}
		if weighted {
			n, err := strconv.Atoi(weight)
			if err != nil {
				return fault.New(fault.Invalid, "write services as in old:90 new:10", "%q is no weight", weight)
			}
			p.Weight = n
		}
		services = append(services, p)
	}
	*dst = services
	return nil
}

func formatWeightedServices(services []table.WeightedService) string {
	elements := make([]string, 0, len(services))
	for _, p := range services {
		elements = append(elements, fmt.Sprintf("%s%s%d", p.Service, weightSeparator, p.Weight))
	}
	return strings.Join(elements, listSeparator)
}
