package ctl

import (
	"fmt"
	"strconv"
	"time"

	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// startRollout is the command that starts a rollout.
type startRollout struct {
	Args struct {
		Service  string        `positional-arg-name:"SERVICE" required:"true"`
		Version  string        `positional-arg-name:"VERSION" required:"true"`
		Duration time.Duration `positional-arg-name:"DURATION" required:"true"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute submits the order.
func (c *startRollout) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	o := table.RolloutOrder{
		Service: units.ServiceName(c.Args.Service), To: units.SoftwareVersion(c.Args.Version), Duration: c.Args.Duration,
		Operator: c.tool.options.Operator,
	}
	if err := api.SubmitRollout(o); err != nil {
		return err
	}
	c.tool.print("the rollout of %s to %s is taken; see madderctl rollout show\n", o.Service, o.To)
	return nil
}

// abortRollout is the command that rolls back a rollout in progress.
type abortRollout struct {
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute submits the order.
func (c *abortRollout) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	o := table.RolloutOrder{Service: units.ServiceName(c.Args.Service), Abort: true, Operator: c.tool.options.Operator}
	if err := api.SubmitRollout(o); err != nil {
		return err
	}
	c.tool.print("the rollout of %s is rolled back\n", o.Service)
	return nil
}

type showRollouts struct{ tool *Tool }

// Execute lists the last rollout of each service.
func (c *showRollouts) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	list, err := api.Rollouts()
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(list)
	}
	var rows [][]string
	for _, r := range list {
		rows = append(rows, []string{
			string(r.Service), string(r.From), string(r.To), r.Stage.String(), fmt.Sprintf("%g %%", float64(r.Share)),
			r.ElapsedNow.Round(time.Second).String() + " of " + r.Duration.String(), formatCounts(r.New), formatCounts(r.Old), r.Operator, r.Reason,
		})
	}
	return c.tool.printTable([]string{"service", "from", "to", "stage", "share", "time", "new good/bad", "old good/bad", "operator", "reason"}, rows)
}

// formatCounts formats answer counts as successes/failures.
func formatCounts(c control.AnswerCounts) string {
	return strconv.FormatUint(c.Good, 10) + "/" + strconv.FormatUint(c.Bad, 10)
}
