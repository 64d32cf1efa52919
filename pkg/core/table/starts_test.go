package table

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/units"
)

// registrationCommands are the commands of the files in testdata/starts, which apply reports, departures and
// silence of one service's registered targets.
var registrationCommands = map[string]func(t *testing.T, s *State, d *datadriven.TestData) string{
	// report TARGET born=N sequence=N [address=A] [service=S] [leaving]
	"report": func(t *testing.T, s *State, d *datadriven.TestData) string {
		r := &Registration{Target: units.TargetID(d.CmdArgs[0].Key), Service: "s", State: Active}
		address, service := "1", "s"
		d.ScanArgs(t, "born", (*int64)(&r.Born))
		d.ScanArgs(t, "sequence", &r.Sequence)
		d.MaybeScanArgs(t, "address", &address)
		d.MaybeScanArgs(t, "service", &service)
		r.Service = units.ServiceName(service)
		r.Address = "10.0.0." + address + ":80"
		if d.HasArg("leaving") {
			r.State = Leaving
		}
		isUpdate := s.IsUpdate(r)
		s.ApplyRegistration(r)
		return fmt.Sprintf("news=%t, %s", isUpdate, describeTargets(s))
	},
	// depart TARGET [born=N]
	"depart": func(t *testing.T, s *State, d *datadriven.TestData) string {
		var born units.WallTime
		d.MaybeScanArgs(t, "born", (*int64)(&born))
		s.ApplyDeparture(units.TargetID(d.CmdArgs[0].Key), born)
		return describeTargets(s)
	},
	"silent": func(_ *testing.T, s *State, d *datadriven.TestData) string {
		s.ApplySilence([]units.TargetID{units.TargetID(d.CmdArgs[0].Key)}, nil)
		return describeTargets(s)
	},
}

func describeTargets(s *State) string {
	var rows []string
	for r := range s.Table().Services["s"].Rows.All() {
		rows = append(rows, fmt.Sprintf("%s born=%d %s %s", r.Target, r.Born, r.Address, r.State))
	}
	if len(rows) == 0 {
		return "no targets\n"
	}
	return strings.Join(rows, ", ") + "\n"
}

func TestStarts(t *testing.T) {
	datadriven.Walk(t, "testdata/starts", func(t *testing.T, path string) {
		s := newStateWithService()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			command := registrationCommands[d.Cmd]
			if command == nil {
				d.Fatalf(t, "there is no command %s", d.Cmd)
			}
			return command(t, s, d)
		})
	})
}
