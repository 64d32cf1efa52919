package routing

import (
	"fmt"
	"strings"

	"github.com/madderpond/madderpond/pkg/units"
)

// HelperStatus is what a box that is cut off knows of another one.
type HelperStatus struct {
	Box    units.BoxID  `json:"box"`
	Domain units.Domain `json:"domain"`
	// Standing is that for the services that it is worst for. CutOff are those whose targets it can't
	// reach either, of the ones that this box is cut off from.
	Standing string              `json:"standing"`
	CutOff   []units.ServiceName `json:"cutOff,omitempty"`
	// InFlight is the number of this box's calls there, Load that of all boxes by its last word.
	InFlight int `json:"inFlight"`
	Load     int `json:"load"`
	// AskedMs, AnsweredMs and HeardMs are the times since it was last asked, since it answered, and
	// since it heard a target, in milliseconds; negative for never.
	AskedMs    int64 `json:"askedMs"`
	AnsweredMs int64 `json:"answeredMs"`
	HeardMs    int64 `json:"heardMs"`
}

// helperStatuses returns what is known of the other boxes during a cut. The box must be cut off.
func (r *Router) helperStatuses() []HelperStatus {
	candidates := r.helperCandidates()
	statuses := make([]HelperStatus, len(candidates))
	worst := make([]HelperStanding, len(candidates))
	for _, x := range r.namedCuts() {
		r.survey(x)
		for i, h := range candidates {
			worst[i] = max(worst[i], h.standing)
			if h.standing == HelperCutOff {
				statuses[i].CutOff = append(statuses[i].CutOff, x.service.row.Name)
			}
		}
	}
	for i, h := range candidates {
		s := &statuses[i]
		s.Box, s.Domain, s.Standing, s.InFlight, s.Load = h.box.ID, h.box.Domain, worst[i].String(), h.inFlight, h.load
		s.AskedMs, s.AnsweredMs, s.HeardMs = r.ageMillis(h.queriedAt), r.ageMillis(h.answeredAt), r.ageMillis(h.heardAt)
	}
	return statuses
}

func (r *Router) ageMillis(at units.Instant) int64 {
	if at == 0 {
		return -1
	}
	return r.age(at).Milliseconds()
}

// recordPassedOver counts the boxes that a survey gives a reason to pass over.
func (r *Router) recordPassedOver(v *HelperSurvey) {
	for s := HelperSilent; s < helperStandings; s++ {
		r.relays.status.PassedOver[s] += v.count(s)
	}
}

// maxLoggedBoxes bounds the boxes named in a log line for each standing.
const maxLoggedBoxes = 8

// describeSearch describes the result of the last survey, with the names of some boxes.
func (r *Router) describeSearch(x *reach) *ReachChange {
	d := x.describe(r.now)
	d.Unreachable, d.Boxes = x.unreachable, map[string]string{}
	var names [helperStandings][]string
	var counts StandingCounts
	for _, h := range r.helperCandidates() {
		counts[h.standing]++
		if len(names[h.standing]) < maxLoggedBoxes {
			names[h.standing] = append(names[h.standing], string(h.box.ID))
		}
	}
	for s, count := range counts {
		if count > 0 {
			d.Boxes[HelperStanding(s).String()] = fmt.Sprintf("%d: %s", count, strings.Join(names[s], " "))
		}
	}
	return d
}
