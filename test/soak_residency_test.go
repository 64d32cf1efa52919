package test

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

// soakRegions has the two failure domains of the soak in a region each; calls of soakResident
// stay in the first.
var soakRegions = map[units.Domain]units.Region{soakDomain: "north", soakOtherDomain: "south"}

const (
	soakRestrictedHost = "eu.test"
	// soakResidentEvery is one in how many calls is restricted: the others must show what the
	// evacuation of the first domain leaves.
	soakRestrictedInterval = 10
)

func restrictedRoute() *table.Route {
	return &table.Route{
		Name: "eu", Host: soakRestrictedHost, PathPrefix: "/", Work: table.Repeatable, Deadline: 5 * time.Second, LatencyObjective: time.Second,
		Services: []table.WeightedService{{Service: "shop", Weight: 1}}, Regions: &table.AllowedRegions{Names: []units.Region{"north"}},
	}
}

func (x *soak) callRestricted() {
	x.caller.Do(lab.Plan{Host: soakRestrictedHost, Work: time.Duration(x.draw(20)) * time.Millisecond})
	time.Sleep(soakCallPause)
}

// checkResidency makes sure that no target outside the allowed region ran a restricted call.
func (x *soak) checkResidency() {
	restricted := map[string]bool{}
	for _, c := range x.caller.Calls() {
		restricted[c.Request] = restricted[c.Request] || c.Host == soakRestrictedHost
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
				x.Errorf("%s in region %s ran a call %d times that may not go there", t.Name, region, n)
			}
		}
	}
	x.Logf("%d restricted calls ran", ran)
}
