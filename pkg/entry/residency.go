package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// regionRefusalLogInterval is the least time between two log lines on calls for which no allowed region
// has a target: if a route allows the wrong regions, all of its calls are refused.
const regionRefusalLogInterval = 10 * time.Second

// refusalLogState counts the calls refused since the last log line about them.
type refusalLogState struct {
	count     int
	nextLogAt units.Instant
}

// logRegionRefusal logs the calls for which no allowed region has a target, at most once in
// regionRefusalLogInterval.
func (e *Entry) logRegionRefusal(x *routing.Effect) {
	if x.Refusal.Reason != routing.RegionNotAllowed {
		return
	}
	e.regionRefusals.count++
	now := e.Clock.Now()
	if now < e.regionRefusals.nextLogAt {
		return
	}
	fields := logrus.Fields{"kind": "region-not-allowed", "refused": e.regionRefusals.count, "revision": e.core.Subscription().Table().Revision}
	if c, ok := x.Owner.(*call); ok {
		fields["call"] = string(c.request.Header.Peek(e.Settings.Entry.CallIDHeader))
		fields["host"] = string(c.request.Host())
	}
	e.Log.WithFields(fields).Warn("region not allowed: no target is in a region that the route of this call allows")
	e.regionRefusals = refusalLogState{nextLogAt: now.Add(regionRefusalLogInterval)}
}

// logUnknownRegion logs that the targets of a failure domain of unknown region get no calls of
// routes that allow some regions only.
func (e *Entry) logUnknownRegion(x *routing.Effect) {
	e.Log.WithFields(logrus.Fields{
		"kind": "region-unknown", "domain": x.Endpoint.Domain, "service": x.Endpoint.Service, "target": x.Endpoint.Target,
	}).Warn("the region of a failure domain is unknown; routes that allow only some regions don't use its targets")
}
