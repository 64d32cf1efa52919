package table

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
)

// AllowedRegions are the only regions whose targets may take a route's calls. An empty list
// allows none.
type AllowedRegions struct {
	Names []units.Region `json:"names"`
}

// Allows tells whether a target in the region may take the calls. One whose region isn't
// known may not, unless every region is allowed.
func (a *AllowedRegions) Allows(region units.Region) bool {
	return a == nil || region != "" && slices.Contains(a.Names, region)
}

// valid tells whether the names can be those of regions, each given once.
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

// Equal tells whether two lists allow the same regions, in the same order.
func (a *AllowedRegions) Equal(o *AllowedRegions) bool {
	if a == nil || o == nil {
		return a == o
	}
	return slices.Equal(a.Names, o.Names)
}
