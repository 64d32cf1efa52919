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

func (a *AllowedRegions) equal(o *AllowedRegions) bool {
	if a == nil || o == nil {
		return a == o
	}
	return slices.Equal(a.Names, o.Names)
}
