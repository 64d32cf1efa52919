package test

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

// soakRegions places the two failure domains in a region each. Calls to soakRestrictedHost must
// stay in the first region.
var soakRegions = map[units.Domain]units.Region{soakDomain: "north", soakOtherDomain: "south"}

const (
	soakRestrictedHost = "eu.test"
	// One call in soakRestrictedInterval is restricted. Most calls are unrestricted so that they
	// show what is left to serve them while the first domain is evacuated.
	soakRestrictedInterval = 10
)

func restrictedRoute() *table.Route {
	return &table.Route{
		Name: "eu", Host: soakRestrictedHost, PathPrefix: "/", Work: table.Repeatable, Deadline: 5 * time.Second, LatencyObjective: time.Second,
		Services: []table.WeightedService{{Service: "shop", Weight: 1}}, Regions: &table.AllowedRegions{Names: []units.Region{"north"}},
	}
}

func (x *soak) callRestricted() {
	x.caller.Do(lab.CallSpec{Host: soakRestrictedHost, Work: time.Duration(x.draw(20)) * time.Millisecond})
	time.Sleep(soakCallPause)
}

// checkResidency checks that no target outside the allowed region ran a restricted call.
func (x *soak) checkResidency() {
	restricted := map[string]bool{}
	for _, c := range x.caller.Calls() {
		restricted[c.RequestID] = restricted[c.RequestID] || c.Host == soakRestrictedHost
	}
	ran := 0
	for i, t := range x.targets {
		runs, err := lab.ReadJournals(t.Journal)
		x.must(err)
		for request, n := range runs {
			if !restricted[request] {
				continue
			}
			ran += n
			if region := soakRegions[x.domainOf(i)]; region != "north" {
				x.Errorf("%s in region %s ran a call %d times that isn't allowed there", t.Name, region, n)
			}
		}
	}
	x.Logf("%d restricted calls ran", ran)
}
