package ctl

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/tailscale/hujson"

	"github.com/madderpond/madderpond/pkg/fault"
)

type documentGet struct{ tool *Tool }

// Execute prints the newest document as it was uploaded.
func (c *documentGet) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	raw, err := api.Document()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.tool.out, "%s\n", raw)
	return err
}

type documentPut struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute uploads a document, which is in force once it is accepted. Comments and trailing
// commas in its file are allowed, and are removed before the upload.
func (c *documentPut) Execute([]string) error {
	data, err := readFile(c.Args.File, "the document")
	if err != nil {
		return err
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "write JSON; comments and trailing commas are allowed", "the document can't be read")
	}
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	if err := api.PutDocument(json.RawMessage(plain)); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.tool.out, "the document's version or a higher one is in force")
	return err
}

type listTargets struct{ tool *Tool }

// Execute lists the registered targets.
func (c *listTargets) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	targets, err := api.Targets()
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(targets)
	}
	var rows [][]string
	for _, t := range targets {
		sinceReport := "unknown"
		if t.SinceReport >= 0 {
			sinceReport = t.SinceReport.Round(time.Millisecond).String()
		}
		state := t.State.String()
		if t.Silent {
			state += ", silent"
		}
		rows = append(rows, []string{
			string(t.Target), string(t.Service), t.Address, string(t.Domain), state,
			strconv.FormatUint(t.Sequence, 10), sinceReport,
		})
	}
	return c.tool.printTable([]string{"target", "service", "address", "domain", "state", "sequence", "heard before"}, rows)
}
