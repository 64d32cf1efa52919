package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

type listWorkspaces struct{ tool *Tool }

// Execute lists the workspaces.
func (c *listWorkspaces) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	list, err := api.Workspaces()
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(list)
	}
	var rows [][]string
	for _, w := range list {
		priority := ""
		if w.Ranked {
			priority = strconv.Itoa(w.Priority)
		}
		admitted, refused := "", ""
		if w.Use != nil {
			admitted, refused = formatRate(w.Use.Admitted), formatRate(w.Use.Refused)
		}
		rows = append(rows, []string{
			string(w.Name), priority, formatLimit(float64(w.Rate)), formatLimit(w.Burst), admitted, refused, strings.Join(w.Keys, " "),
		})
	}
	return c.tool.printTable([]string{"workspace", "priority", "calls a second", "burst", "let in a second", "refused a second", "keys"}, rows)
}

// formatRate formats a measured rate with one decimal; more digits would be noise.
func formatRate(x units.CallRate) string { return strconv.FormatFloat(float64(x), 'f', 1, 64) }

// formatLimit formats a limit; 0, which means no limit, becomes an empty cell.
func formatLimit(x float64) string {
	if x == 0 {
		return ""
	}
	return strconv.FormatFloat(x, 'g', -1, 64)
}

type printDigest struct{ tool *Tool }

// Execute prints the digest of the key on the first line of standard input.
func (c *printDigest) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && err != io.EOF {
		return fault.Wrap(err, fault.Invalid, "write the key to standard input", "the key can't be read")
	}
	d, err := apikey.NewDigest(strings.TrimRight(line, "\r\n"))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.tool.out, d.Text())
	return err
}
