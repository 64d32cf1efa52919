package rollout

import "github.com/madderpond/madderpond/pkg/units"

// Exposure lets a box send calls to the new version of a rollout for a time, as a lease does.
type Exposure struct {
	Service units.ServiceName
	// Order names the rollout, Since the stage that the exposure is for.
	Order, Since units.Revision
	Share        units.Percent
	// RequestedAt is when the box sent the request that the exposure answers, ExpiresAt when it ends,
	// both on the box's clock.
	RequestedAt, ExpiresAt units.Instant
}
