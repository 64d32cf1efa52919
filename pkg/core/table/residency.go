package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
)

// AllowedRegions are the regions whose targets may serve a route's calls. An empty list allows
// none; a nil pointer allows all.
type AllowedRegions struct {
	Names []units.Region `json:"names"`
}

// Allows reports whether a target in the region may serve the calls. A target whose region
// isn't known may not, unless every region is allowed.
func (a *AllowedRegions) Allows(region units.Region) bool {
	return a == nil || region != "" && slices.Contains(a.Names, region)
}

// valid reports whether the names are valid and unique.
func (a *AllowedRegions) valid() bool {
	if a == nil {
		return true
	}
	for i, n := range a.Names {
		if !validName(string(n)) || slices.Contains(a.Names[:i], n) {
			return false
		}
	}
	return true
}

// Equal reports whether two lists allow the same regions, in the same order.
func (a *AllowedRegions) Equal(o *AllowedRegions) bool {
	if a == nil || o == nil {
		return a == o
	}
	return slices.Equal(a.Names, o.Names)
}
