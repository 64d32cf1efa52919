// Package limit implements rate limits that apply to all boxes together: the versioned state of the
// limits that targets announce while they run, and the token bucket of a box that grants calls up to a
// rate, either as a target's coordinator or as a holder of a workspace's quota. It is pure: callers pass in
// the current time.
package limit

import "github.com/madderpond/madderpond/pkg/units"

const (
	// MinRate, in calls per second, replaces lower limits: even a target that accepts no calls gets one
	// occasionally, since only its response to a call shows that the limit has ended.
	MinRate units.CallRate = 0.2
	// UnlimitedRate, in calls per second, is the lowest limit that is treated as none: requesting permits
	// at that rate would cost boxes more than the calls themselves, and no target serves that many.
	UnlimitedRate units.CallRate = 10_000
)

// State is the latest known state of a target's announced limit. Boxes' clocks can't be compared and messages
// between boxes may be delayed, so states are ordered by version: each change increments the version that
// was known when the call was sent whose response announced the change.
type State struct {
	// Version numbers the changes; zero means that no announcement has been received.
	Version uint64
	// Limited is set while the target announces a limit, which is Rate.
	Limited bool
	Rate    units.CallRate
}

// WithRate returns the state that follows s when a response announces a limit.
func (s State) WithRate(rate units.CallRate) State {
	if rate >= UnlimitedRate {
		return s.Cleared()
	}
	return State{Version: s.Version + 1, Limited: true, Rate: rate}
}

// Cleared returns the state that follows s when a response announces no limit.
func (s State) Cleared() State { return State{Version: s.Version + 1} }

// SameLimit reports whether two states have the same limit, whatever their versions.
func (s State) SameLimit(o State) bool {
	return s.Limited == o.Limited && (!s.Limited || s.Rate == o.Rate)
}

// StricterThan reports whether s allows fewer calls than o.
func (s State) StricterThan(o State) bool { return s.Limited && (!o.Limited || s.Rate < o.Rate) }

// Supersedes reports whether s replaces o. When two boxes change the same version independently, the
// stricter limit wins.
func (s State) Supersedes(o State) bool {
	return s.Version > o.Version || s.Version == o.Version && s.StricterThan(o)
}
