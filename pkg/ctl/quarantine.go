package ctl

import (
	"strconv"
	"time"
)

type listQuarantines struct{ tool *Tool }

// Execute lists the quarantined calls, which no target receives.
func (c *listQuarantines) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	list, err := api.Quarantines()
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(list)
	}
	var rows [][]string
	for _, q := range list {
		lastRefused := "unknown"
		if q.SinceRefusal >= 0 {
			lastRefused = q.SinceRefusal.Round(time.Second).String() + " ago"
		}
		rows = append(rows, []string{
			q.Name, string(q.Service), joinNames(q.Targets, ","), time.UnixMilli(int64(q.At)).UTC().Format(time.RFC3339),
			strconv.FormatBool(q.Doubtful), strconv.Itoa(q.Trials), lastRefused,
		})
	}
	return c.tool.printTable([]string{"call", "service", "crashed targets", "since", "doubtful", "trials", "last refused"}, rows)
}

// releaseCall is the command that ends the quarantine of a call.
type releaseCall struct {
	Args struct {
		Call string `positional-arg-name:"CALL" required:"true"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute releases the call, so that targets receive it again.
func (c *releaseCall) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	if err := api.SubmitRelease(c.Args.Call, c.tool.options.Operator); err != nil {
		return err
	}
	c.tool.print("targets get the call %s again\n", c.Args.Call)
	return nil
}
