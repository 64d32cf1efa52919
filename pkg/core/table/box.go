package table

import "github.com/madderpond/madderpond/pkg/units"

// Box is an entry box that the control state considers live. Each box's share of
// limits and of measuring budgets is computed from the list of boxes.
type Box struct {
	ID      units.BoxID  `json:"id"`
	Domain  units.Domain `json:"domain,omitempty"`
	Address string       `json:"address,omitempty"`
	// Leaving is set while the box shuts down: it finishes the calls that it has and gets no share.
	Leaving bool `json:"leaving,omitempty"`
}
