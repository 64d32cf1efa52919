package cli

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
)

type runSpeed struct {
	Program string        `long:"program" default:"bin/madderpond" description:"the daemon"`
	Rates   []int         `long:"rate" default:"100" default:"1000" description:"calls a second"`
	For     time.Duration `long:"for" default:"8s" description:"how long each measurement lasts"`
	Callers int           `long:"callers" default:"64" description:"callers without a pause"`
	Idle    int           `long:"idle" default:"5000" description:"idle callers for the memory"`
	Report  string        `long:"report" description:"write the page to this file"`
}

// Execute measures the latency, processor time and memory that a box adds.
func (c *runSpeed) Execute([]string) error {
	return withTempFolder("speed", func(folder, self string) error {
		result, err := lab.RunSpeed(lab.SpeedSettings{
			Folder: folder, Program: c.Program, LabProgram: self, Rates: c.Rates, Duration: c.For, Callers: c.Callers, IdleCallers: c.Idle,
		})
		if err != nil {
			return err
		}
		page := result.Page("make bench")
		fmt.Print(page)
		return writeReport(c.Report, page)
	})
}
