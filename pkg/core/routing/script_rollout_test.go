package routing

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/core/rollout"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

var stagesByName = map[string]table.RolloutStage{
	"trial": table.RolloutTrial, "shifted": table.RolloutShifted, "completed": table.RolloutCompleted,
	"rolled-back": table.RolloutRolledBack,
}

func (s *script) addInForce(t *table.Table, words []string) {
	t.InForce = append(t.InForce, table.SoftwareInForce{Service: units.ServiceName(words[0]), Software: units.SoftwareVersion(words[1])})
}

func (s *script) addRollout(t *table.Table, words []string) {
	x := table.Rollout{
		Service: units.ServiceName(words[0]), From: units.SoftwareVersion(words[1]), To: units.SoftwareVersion(words[2]), Stage: stagesByName[words[3]],
		Order: units.Revision(s.number(words[4])), Since: units.Revision(s.number(words[5])), Share: units.Percent(s.number(words[6])),
	}
	if len(words) > 7 {
		for _, id := range strings.Split(words[7], ",") {
			x.Targets = append(x.Targets, units.TargetID(id))
		}
	}
	t.Rollouts = append(t.Rollouts, x)
}

func (s *script) number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// expose service=S order=N since=N share=P for=D applies the newest grant's exposure, requested at
// the current time; expose alone applies a grant without exposures.
func (s *script) expose(d *datadriven.TestData) {
	if len(d.CmdArgs) == 0 {
		s.reduce(&ExposuresChanged{})
		return
	}
	x := rollout.Exposure{Service: units.ServiceName(s.word(d, "service")), RequestedAt: s.now, ExpiresAt: s.now.Add(s.duration(d, "for"))}
	var share int
	d.ScanArgs(s.t, "order", (*uint64)(&x.Order))
	d.ScanArgs(s.t, "since", (*uint64)(&x.Since))
	d.ScanArgs(s.t, "share", &share)
	x.Share = units.Percent(share)
	s.reduce(&ExposuresChanged{Exposures: []rollout.Exposure{x}})
}

// evidence prints the evidence for the leader, and whether it is due at once.
func (s *script) evidence(*datadriven.TestData) {}

func (s *script) listEvidence() string {
	lines := []string{}
	if s.router.EvidenceDue() {
		lines = append(lines, "due at once")
	}
	for _, x := range s.router.CollectEvidence() {
		lines = append(lines, fmt.Sprintf("%s order %d %s %q: %d good, %d bad, %d timed, %d under way",
			x.Service, x.Order, x.Software, x.Route, x.Successes, x.Failures, x.Times.Total(), x.InFlight))
	}
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

func describeSwitch(x *ExposureSwitch) string {
	word := "ended"
	switch {
	case x.Active:
		word = "began"
	case x.Stopped:
		word = fmt.Sprintf("stopped after %d bad of %d", x.Bad, x.Bad+x.Good)
	}
	return fmt.Sprintf("exposure of %s to %s %s", x.Service, x.Software, word)
}
