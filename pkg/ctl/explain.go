package ctl

import (
	"io"
	"os"

	"github.com/madderpond/madderpond/pkg/explain"
	"github.com/madderpond/madderpond/pkg/fault"
)

type explainCall struct {
	Args struct {
		Call  string   `positional-arg-name:"ID" required:"true"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute reconstructs what happened to a call from log files, or from standard input.
func (c *explainCall) Execute([]string) error {
	logs := []io.Reader{}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "name log files that can be read", "a log can't be read")
		}
		defer f.Close()
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	timeline, err := explain.Read(c.Args.Call, logs...)
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(timeline)
	}
	timeline.Write(c.tool.out)
	return nil
}
