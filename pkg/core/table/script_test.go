package table

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/units"
)

// TestScripts drives a state with the commands of the files in testdata:
// "edit ID [at=MS]" with an edit's bases and operations as JSON, "boxes NAME[@DOMAIN]...",
// "evacuate DOMAIN [base=REVISION]", "restore DOMAIN [base=REVISION]" (without a base the
// present one), "rollout SERVICE VERSION [seconds=N] [at=MS] [base=N]" (without seconds the version is
// put in force at once), "abort SERVICE", "step SERVICE ORDER STAGE [elapsed=MS]
// [targets=(ID,...)]", "register TARGET SERVICE [version=V]", "depart TARGET", and "show".
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		state := NewState()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "edit":
				return applyEdit(t, state, d)
			case "boxes":
				var boxes []Box
				for _, a := range d.CmdArgs {
					id, domain, _ := strings.Cut(a.Key, "@")
					boxes = append(boxes, Box{ID: units.BoxID(id), Domain: units.Domain(domain)})
				}
				return fmt.Sprintf("revision %d\n", state.ApplyBoxes(BoxChange{Put: boxes}).Revision)
			case "evacuate", "restore":
				return orderEvacuation(t, state, d)
			case "rollout", "abort":
				return orderRollout(t, state, d)
			case "step":
				return applyRolloutStep(t, state, d)
			case "register", "depart":
				return applyTargetCommand(t, state, d)
			case "show":
				return show(state)
			}
			d.Fatalf(t, "there is no command %s", d.Cmd)
			return ""
		})
	})
}

func applyEdit(t *testing.T, state *State, d *datadriven.TestData) string {
	e := &Edit{ID: units.EditID(d.CmdArgs[0].Key), Operator: "test"}
	if err := json.Unmarshal([]byte(d.Input), e); err != nil {
		d.Fatalf(t, "%v", err)
	}
	var at int
	d.MaybeScanArgs(t, "at", &at)
	result, delta := state.ApplyEdit(e, units.WallTime(at))
	text := fmt.Sprintf("%s, revision %d", result.Outcome, result.Revision)
	if result.Detail != "" {
		text += ": " + result.Detail
	}
	if delta != nil {
		text += fmt.Sprintf(" (%d changed, %d removed)", len(delta.Changed), len(delta.Removed))
	}
	return text + "\n"
}

var evacuationOutcomeNames = map[EvacuationOutcome]string{
	EvacuationDone: "done", EvacuationSuperseded: "overtaken", EvacuationUnknown: "unknown domain",
}

func orderEvacuation(t *testing.T, state *State, d *datadriven.TestData) string {
	base := int(state.Table().Revision)
	d.MaybeScanArgs(t, "base", &base)
	o := &EvacuationOrder{Domain: units.Domain(d.CmdArgs[0].Key), Evacuate: d.Cmd == "evacuate", Base: units.Revision(base)}
	if problems := CheckEvacuation(o); len(problems) > 0 {
		return problems[0].String() + "\n"
	}
	outcome, _ := state.ApplyEvacuation(o, 0)
	return fmt.Sprintf("%s, revision %d\n", evacuationOutcomeNames[outcome], state.Table().Revision)
}

func show(state *State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d, %d results, %d in the history\n", state.Table().Revision, state.ResultCount(), len(state.History()))
	for _, n := range state.Table().ServiceNames() {
		entry := state.Table().Services[n]
		fmt.Fprintf(&b, "%s version %d:", n, entry.Version)
		for r := range entry.Rows.All() {
			fmt.Fprintf(&b, " %s=%d", r.Target, r.Weight)
		}
		b.WriteString("\n")
	}
	for _, x := range state.Table().InForce {
		fmt.Fprintf(&b, "%s has %s in force\n", x.Service, x.Software)
	}
	for _, x := range state.Table().Rollouts {
		fmt.Fprintf(&b, "%s from %s to %s: %s, order %d, since %d, share %g, targets %v, %s: %s\n",
			x.Service, x.From, x.To, x.Stage, x.Order, x.Since, float64(x.Share), x.Targets, x.Elapsed, x.Reason)
	}
	for _, x := range state.Table().Evacuations {
		fmt.Fprintf(&b, "%s evacuated=%t since %d\n", x.Domain, x.Active, x.Since)
	}
	return b.String()
}
