package table

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/units"
)

var rolloutOutcomeNames = map[RolloutOutcome]string{
	RolloutAccepted: "taken", RolloutConflict: "conflicts", RolloutUnknownService: "unknown service", RolloutNoVersion: "no version in force",
	RolloutAlreadyInForce: "in force already", RolloutEnded: "over",
	RolloutSuperseded: "overtaken",
}

func orderRollout(t *testing.T, state *State, d *datadriven.TestData) string {
	o := &RolloutOrder{Service: units.ServiceName(d.CmdArgs[0].Key), Abort: d.Cmd == "abort", Operator: "test"}
	if !o.Abort {
		o.To = units.SoftwareVersion(d.CmdArgs[1].Key)
	}
	var duration, at int
	base := int(state.Table().Revision)
	d.MaybeScanArgs(t, "base", &base)
	o.Base = units.Revision(base)
	d.MaybeScanArgs(t, "seconds", &duration)
	d.MaybeScanArgs(t, "at", &at)
	o.Duration = time.Duration(duration) * time.Second
	if problems := CheckRolloutOrder(o); len(problems) > 0 {
		return problems[0].String() + "\n"
	}
	outcome, _ := state.ApplyRolloutOrder(o, units.WallTime(at))
	return fmt.Sprintf("%s, revision %d\n", rolloutOutcomeNames[outcome], state.Table().Revision)
}

func applyRolloutStep(t *testing.T, state *State, d *datadriven.TestData) string {
	x := &RolloutStep{Service: units.ServiceName(d.CmdArgs[0].Key), Share: 5, Reason: "step"}
	if _, err := fmt.Sscan(d.CmdArgs[1].Key, &x.Order); err != nil {
		d.Fatalf(t, "%v", err)
	}
	for stage, word := range stageNames {
		if word == d.CmdArgs[2].Key {
			x.Stage = stage
		}
	}
	var elapsed int
	var targets []string
	d.MaybeScanArgs(t, "elapsed", &elapsed)
	d.MaybeScanArgs(t, "targets", &targets)
	x.Elapsed = time.Duration(elapsed) * time.Millisecond
	for _, id := range targets {
		x.Targets = append(x.Targets, units.TargetID(id))
	}
	if state.ApplyRolloutStep(x) == nil {
		return "nothing changed\n"
	}
	return fmt.Sprintf("revision %d\n", state.Table().Revision)
}

func applyTargetCommand(t *testing.T, state *State, d *datadriven.TestData) string {
	id := units.TargetID(d.CmdArgs[0].Key)
	if d.Cmd == "depart" {
		state.ApplyDeparture(id, 0)
		return fmt.Sprintf("revision %d\n", state.Table().Revision)
	}
	var version string
	d.MaybeScanArgs(t, "version", &version)
	state.ApplyRegistration(&Registration{
		Target: id, Service: units.ServiceName(d.CmdArgs[1].Key), Software: units.SoftwareVersion(version),
		Address: fmt.Sprintf("10.0.0.%d:80", 1+state.RegistrationCount()), State: Active, Sequence: 1,
	})
	return fmt.Sprintf("revision %d\n", state.Table().Revision)
}
