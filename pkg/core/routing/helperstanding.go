package routing

import (
	"encoding/json"
	"fmt"
	"strings"
)

// HelperStanding is what a box knows of another one as a helper for relayed calls. All but the
// first ones are reasons to pass it over.
type HelperStanding uint8

// The standings, best first.
const (
	// HelperReaches: it has reached the targets during the cut.
	HelperReaches HelperStanding = iota
	// HelperUnknown: nothing is known of it.
	HelperUnknown
	// HelperCutOff: it can't reach the targets either.
	HelperCutOff
	// HelperAvoided: a relay to it failed, or it declined for a reason of its own.
	HelperAvoided
	// HelperOutsideRegions: the call may not leave its regions.
	HelperOutsideRegions

	helperStandings
)

var standingNames = [helperStandings]string{"reaches", "unknown", "cut-off", "avoided", "outside-regions"}

// String returns the standing's name in logs and metrics.
func (s HelperStanding) String() string { return standingNames[s] }

// StandingCounts counts boxes by standing.
type StandingCounts [helperStandings]int

// String lists the counts that aren't zero.
func (n StandingCounts) String() string {
	var parts []string
	for s, count := range n {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", HelperStanding(s), count))
		}
	}
	return strings.Join(parts, " ")
}

// MarshalJSON writes the counts that aren't zero as an object.
func (n StandingCounts) MarshalJSON() ([]byte, error) {
	counts := map[string]int{}
	for s, count := range n {
		if count > 0 {
			counts[HelperStanding(s).String()] = count
		}
	}
	return json.Marshal(counts)
}

// HelperSurvey counts the other boxes by their standing as helpers for calls.
type HelperSurvey struct {
	OwnDomain    StandingCounts `json:"ownDomain"`
	OtherDomains StandingCounts `json:"otherDomains"`
}

// survey returns the standings of the other boxes for calls to some targets.
func (r *Router) survey(x *reach) *HelperSurvey {
	v := &HelperSurvey{}
	for _, b := range r.relays.ownDomain {
		v.OwnDomain[r.standing(x, b)]++
	}
	for _, b := range r.relays.otherDomains {
		v.OtherDomains[r.standing(x, b)]++
	}
	return v
}
