package cli

import (
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
)

type runControl struct {
	Program string        `long:"program" default:"bin/madderpond" description:"the daemon"`
	Edits   int           `long:"edits" default:"400" description:"how many edits each measurement makes"`
	Rest    time.Duration `long:"rest" default:"4s" description:"how long the cost at rest is watched"`
	Report  string        `long:"report" description:"write the page to this file"`
}

// Execute measures the control state with real replicas.
func (c *runControl) Execute([]string) error {
	return withTempFolder("control", func(folder, _ string) error {
		m := &lab.ControlBenchmark{Folder: folder, Program: c.Program, Edits: c.Edits, IdleTime: c.Rest}
		page, err := m.Run("make bench-control")
		if err != nil {
			return err
		}
		return writeReport(c.Report, page)
	})
}
