// Package limit is about rates that hold for all boxes together. It keeps what was last said of the
// limits that targets name while they run, and the account of a box that permits calls up to a rate: a
// target's coordinator, or a holder of a workspace's quota. It is pure: time comes in as instants.
package limit

import "github.com/madderpond/madderpond/pkg/units"

const (
	// MinRate stands in for limits below it: a target that takes no calls at all gets one now
	// and then, since nothing but its answer to one shows that the limit is over.
	MinRate units.CallRate = 0.2
	// UnlimitedRate is the limit from which on it isn't one: permits for as many calls would cost boxes
	// more than the calls, and no target answers as many.
	UnlimitedRate units.CallRate = 10_000
)

// State is the newest that is known of a target's limit. Boxes' clocks can't be compared, and messages between
// them may take long; versions tell words apart: each change is made on top of the word that was known
// as the call was sent whose answer brought it.
type State struct {
	// Version numbers the changes; zero is the word of whoever has heard nothing.
	Version uint64
	// Limited is set while the target names a limit, of Rate calls a second.
	Limited bool
	Rate    units.CallRate
}

// WithRate is what follows on a word when an answer names a limit.
func (w State) WithRate(rate units.CallRate) State {
	if rate >= UnlimitedRate {
		return w.Cleared()
	}
	return State{Version: w.Version + 1, Limited: true, Rate: rate}
}

// Cleared is what follows on a word when an answer names no limit.
func (w State) Cleared() State { return State{Version: w.Version + 1} }

// SameLimit tells whether two words say the same, whatever their versions.
func (w State) SameLimit(o State) bool {
	return w.Limited == o.Limited && (!w.Limited || w.Rate == o.Rate)
}

// StricterThan tells whether the word allows less than another.
func (w State) StricterThan(o State) bool { return w.Limited && (!o.Limited || w.Rate < o.Rate) }

// Supersedes tells whether the word takes the place of another. Of two changes of the same word, which two boxes
// made by themselves, the tighter one holds.
func (w State) Supersedes(o State) bool {
	return w.Version > o.Version || w.Version == o.Version && w.StricterThan(o)
}
