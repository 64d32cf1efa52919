package ctl

import (
	"strconv"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// orderEvacuation is the command that evacuates a failure domain, or ends its evacuation.
type orderEvacuation struct {
	Args struct {
		Domain string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
	tool     *Tool
	evacuate bool
}

// Execute submits the order.
func (c *orderEvacuation) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	o := table.EvacuationOrder{Domain: units.Domain(c.Args.Domain), Evacuate: c.evacuate, Operator: c.tool.options.Operator}
	if err := api.SubmitEvacuation(o); err != nil {
		return err
	}
	state := "takes calls"
	if c.evacuate {
		state = "is evacuated"
	}
	c.tool.print("the failure domain %s %s\n", o.Domain, state)
	return nil
}

type listEvacuations struct{ tool *Tool }

// Execute lists the failure domains that are or were evacuated.
func (c *listEvacuations) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	list, err := api.Evacuations()
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(list)
	}
	var rows [][]string
	for _, x := range list {
		state := "restored"
		if x.Active {
			state = "evacuated"
		}
		rows = append(rows, []string{
			string(x.Domain), state, strconv.FormatUint(uint64(x.Since), 10),
			time.UnixMilli(int64(x.At)).UTC().Format(time.RFC3339), x.Operator,
		})
	}
	return c.tool.printTable([]string{"domain", "state", "since revision", "at", "operator"}, rows)
}
