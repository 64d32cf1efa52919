package wire

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/units"
)

// FromEvidence converts a box's statistics of software versions to messages.
func FromEvidence(list []rollout.Evidence) []*VersionEvidence {
	return mapSlice(list, fromVersionEvidence)
}

// ToEvidence is the inverse of FromEvidence. Histogram buckets beyond the known ones are dropped.
func ToEvidence(list []*VersionEvidence) []rollout.Evidence {
	return mapSlice(list, toVersionEvidence)
}

// fromVersionEvidence leaves out trailing empty buckets of the histogram.
func fromVersionEvidence(x rollout.Evidence) *VersionEvidence {
	used := len(x.Times)
	for used > 0 && x.Times[used-1] == 0 {
		used--
	}
	times := x.Times
	return &VersionEvidence{
		Service: string(x.Service), Order: uint64(x.Order), Software: string(x.Software), Route: string(x.Route),
		Good: x.Successes, Bad: x.Failures, Times: times[:used], UnderWay: x.InFlight,
	}
}

func toVersionEvidence(x *VersionEvidence) rollout.Evidence {
	out := rollout.Evidence{
		Service: units.ServiceName(x.Service), Order: units.Revision(x.Order), Software: units.SoftwareVersion(x.Software),
		Route: rollout.RouteID(x.Route), Successes: x.Good, Failures: x.Bad, InFlight: x.UnderWay,
	}
	copy(out.Times[:], x.Times)
	return out
}

// ToExposures converts the exposures of a grant. They end a duration after the box sent the
// request, by the box's clock.
func ToExposures(list []*Exposure, requestedAt units.Instant) []rollout.Exposure {
	return mapSlice(list, func(x *Exposure) rollout.Exposure {
		return rollout.Exposure{
			Service: units.ServiceName(x.Service), Order: units.Revision(x.Order), Since: units.Revision(x.Since),
			Share: units.Percent(x.Share), RequestedAt: requestedAt, ExpiresAt: requestedAt.Add(time.Duration(x.Duration)),
		}
	})
}
