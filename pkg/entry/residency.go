package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// regionRefusalLogInterval is the least time between two lines on calls whose regions have no target: a
// route that allows the wrong regions has all of its calls refused.
const regionRefusalLogInterval = 10 * time.Second

// refusalLogState counts refused calls between two lines of the log.
type refusalLogState struct {
	count     int
	nextLogAt units.Instant
}

// logRegionRefusal logs, once in barredLogEvery at the most, the calls that no target in an allowed
// region could take.
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

// logUnknownRegion tells that targets of a failure domain take no calls of restricted routes.
func (e *Entry) logUnknownRegion(x *routing.Effect) {
	e.Log.WithFields(logrus.Fields{
		"kind": "region-unknown", "domain": x.Endpoint.Domain, "service": x.Endpoint.Service, "target": x.Endpoint.Target,
	}).Warn("the region of a failure domain isn't known; routes that allow some regions only don't use its targets")
}
