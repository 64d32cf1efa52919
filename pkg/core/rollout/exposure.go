package rollout

import "github.com/madderpond/madderpond/pkg/units"

// Exposure is a lease that lets a box send calls to the new version of a rollout until it expires.
type Exposure struct {
	Service units.ServiceName
	// Order is the revision that ordered the rollout, Since the revision at which the stage began
	// that the exposure is for.
	Order, Since units.Revision
	Share        units.Percent
	// RequestedAt is when the box sent the request that was answered with the exposure, ExpiresAt
	// when the exposure ends, both on the box's clock.
	RequestedAt, ExpiresAt units.Instant
}
