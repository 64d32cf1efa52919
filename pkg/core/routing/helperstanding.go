package routing

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/madderpond/madderpond/pkg/units"
)

// HelperStanding is what a box knows of another one as a helper for relayed calls. From HelperSilent
// on they are reasons to pass it over, HelperSilent and HelperAvoided while any better box is left.
type HelperStanding uint8

// The standings, best first.
const (
	// HelperReaches: it has reached the targets since the cut began.
	HelperReaches HelperStanding = iota
	// HelperPlausible: it doesn't take itself to be cut off, and hasn't heard the targets since.
	HelperPlausible
	// HelperUnknown: nothing is known of it.
	HelperUnknown
	// HelperSilent: it doesn't answer queries.
	HelperSilent
	// HelperAvoided: a relay to it failed, or it declined for a reason of its own.
	HelperAvoided
	// HelperFull: it accepts no more relayed calls for now.
	HelperFull
	// HelperCutOff: it can't reach the targets either.
	HelperCutOff
	// HelperOutsideRegions: the call may not leave its regions.
	HelperOutsideRegions

	helperStandings
)

var standingNames = [helperStandings]string{"reaches", "plausible", "unknown", "silent", "avoided", "full", "cut-off", "outside-regions"}

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

// UnmarshalJSON reads what MarshalJSON writes; unknown names are ignored.
func (n *StandingCounts) UnmarshalJSON(data []byte) error {
	var counts map[string]int
	if err := json.Unmarshal(data, &counts); err != nil {
		return err
	}
	for s := range n {
		n[s] = counts[HelperStanding(s).String()]
	}
	return nil
}

// HelperSurvey counts the other boxes by their standing as helpers for calls.
type HelperSurvey struct {
	OwnDomain    StandingCounts `json:"ownDomain"`
	OtherDomains StandingCounts `json:"otherDomains"`
}

func (v *HelperSurvey) count(standing HelperStanding) int {
	return v.OwnDomain[standing] + v.OtherDomains[standing]
}

// found is the number of boxes that are known to reach the targets, or likely to.
func (v *HelperSurvey) found() int { return v.count(HelperReaches) + v.count(HelperPlausible) }

// allowed is the number of boxes that calls may be relayed to.
func (v *HelperSurvey) allowed() int {
	n := 0
	for s := range HelperOutsideRegions {
		n += v.count(s)
	}
	return n
}

// helperDomain is a failure domain of other boxes, with the results of the last survey.
type helperDomain struct {
	name units.Domain
	// cutOff and unknown are the numbers of its boxes of these standings, declined that of those cut
	// off which this box chose to ask.
	cutOff, unknown, declined int
	// queried counts the queries to its boxes since the search began.
	queried int
}

// survey determines the standing of each other box as a helper for calls to some targets. Nothing
// leaves the regions that calls are restricted to, except within this box's own region, where they
// are already.
func (r *Router) survey(x *reach) *HelperSurvey {
	candidates := r.helperCandidates()
	for i := range r.relays.domains {
		d := &r.relays.domains[i]
		d.cutOff, d.unknown, d.declined = 0, 0, 0
	}
	v := &HelperSurvey{}
	wanted := r.evidenceQuery(x)
	for _, h := range candidates {
		h.standing = HelperOutsideRegions
		if r.mayRelayTo(x, h) {
			h.standing = h.standingFor(wanted)
		}
		d := &r.relays.domains[h.domain]
		switch h.standing {
		case HelperCutOff:
			d.cutOff++
			if h.answeredAt >= wanted.since {
				d.declined++
			}
		case HelperUnknown:
			d.unknown++
		}
		if h.box.Domain == r.settings.Domain {
			v.OwnDomain[h.standing]++
		} else {
			v.OtherDomains[h.standing]++
		}
	}
	return v
}

func (r *Router) mayRelayTo(x *reach, h *helper) bool {
	if x.regions == nil {
		return true
	}
	region := r.settings.Regions[h.box.Domain]
	return x.regions.Allows(region) || region != "" && region == r.settings.Regions[r.settings.Domain]
}

// samplesForVerdict is the number of boxes that must have said that they are cut off, with one of each
// failure domain among them, for targets to be taken as unreachable for all boxes. While a quarter of
// the boxes reaches them, one verdict in a thousand is wrong. Only those count that this box chose to
// ask: boxes that are cut off say so to many.
const samplesForVerdict = 24

// nobodyReaches reports whether no box seems to reach the targets of the last survey.
func (r *Router) nobodyReaches(v *HelperSurvey) bool {
	switch {
	case v.found() > 0 || v.count(HelperFull) > 0 || v.count(HelperCutOff) == 0:
		return false
	case v.count(HelperUnknown) == 0:
		return true
	}
	declined := 0
	for _, d := range r.relays.domains {
		if d.unknown > 0 && d.declined == 0 {
			return false
		}
		declined += d.declined
	}
	return declined >= samplesForVerdict
}
