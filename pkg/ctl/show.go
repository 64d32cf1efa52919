package ctl

import (
	"fmt"
	"strconv"
	"time"

	"github.com/madderpond/madderpond/pkg/client"
	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/reload"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

type listServices struct{ tool *Tool }

// Execute lists the services.
func (c *listServices) Execute([]string) error {
	t, err := c.tool.fetchTable()
	if err != nil {
		return err
	}
	services := sheet.FromTable(t).Services
	if c.tool.options.JSON {
		return c.tool.printJSON(services)
	}
	var rows [][]string
	for i := range services {
		entry := t.Services[services[i].Name]
		counts := []string{strconv.FormatUint(uint64(entry.Version), 10), strconv.Itoa(entry.Rows.Len())}
		rows = append(rows, append(sheet.ServiceCells(&services[i]), counts...))
	}
	return c.tool.printTable(append(sheet.ServiceHeader(), "version", "targets"), rows)
}

type showStatus struct{ tool *Tool }

// Execute shows the state of the control replicas and, if one of them has the lease as
// leader, its state of the boxes.
func (c *showStatus) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	statuses := api.Statuses()
	if c.tool.options.JSON {
		return c.tool.printJSON(statuses)
	}
	if err := c.tool.printReplicas(statuses); err != nil {
		return err
	}
	return c.tool.printBoxes(statuses)
}

func (t *Tool) printReplicas(statuses []client.ServerStatus) error {
	var rows [][]string
	for _, s := range statuses {
		if s.Status == nil {
			rows = append(rows, []string{s.Server, "-", "silent", "", "", "", s.Error})
			continue
		}
		l := s.Status.Log
		rows = append(rows, []string{
			s.Server, string(s.Status.Replica), l.Role, fmt.Sprint(l.Term), fmt.Sprint(s.Status.Revision),
			fmt.Sprint(l.Voter), "leader " + string(l.Leader),
		})
	}
	return t.printTable([]string{"server", "replica", "role", "term", "revision", "voter", "note"}, rows)
}

func (t *Tool) printBoxes(statuses []client.ServerStatus) error {
	for _, s := range statuses {
		if s.Status == nil || !s.Status.HasLease {
			continue
		}
		var rows [][]string
		for _, b := range s.Status.Boxes {
			rows = append(rows, boxCells(b))
		}
		for _, d := range s.Status.Evacuated {
			t.print("\nthe failure domain %s is evacuated\n", d)
		}
		t.print("\n")
		return t.printTable([]string{"box", "domain", "revision", "in force", "silent for", "stops within", "leaving"}, rows)
	}
	t.print("\nno leader speaks for the cluster now; boxes stop by themselves when their leases run out\n")
	return nil
}

func boxCells(b control.BoxStatus) []string {
	return []string{
		string(b.ID), string(b.Domain), fmt.Sprint(b.Revision), fmt.Sprint(b.InForce),
		time.Duration(b.SilentFor).Round(time.Millisecond).String(),
		time.Duration(b.StopsWithin).Round(time.Millisecond).String(), fmt.Sprint(b.Leaving),
	}
}

type showDump struct{ tool *Tool }

// Execute prints a process's state dump.
func (c *showDump) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	raw, err := api.Dump()
	if err != nil {
		return err
	}
	return c.tool.printJSON(raw)
}

type showSettings struct{ tool *Tool }

// Execute shows which parts of a process's settings file are in force. It returns an Invalid
// fault if the process refused the current content of the file.
func (c *showSettings) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	status, err := api.Settings()
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		err = c.tool.printJSON(status)
	} else {
		c.tool.printSettings(status)
	}
	if err == nil && status.Refused != "" {
		err = fault.New(fault.Invalid, "correct the file; until then the settings in force stay", "%s is refused: %s", status.File, status.Refused)
	}
	return err
}

func (t *Tool) printSettings(s *reload.Status) {
	t.print("%s, read at %s\n", s.File, s.ReadAt.Format(time.RFC3339))
	for _, path := range s.PendingRestart {
		t.print("%s has changed in the file and takes a restart\n", path)
	}
	if len(s.PendingRestart) == 0 && s.Refused == "" {
		t.print("all of the file is in force\n")
	}
}

type watchTable struct {
	Count int `long:"count" value-name:"N" description:"stop after N revisions; 0 goes on"`
	tool  *Tool
}

// Execute prints each new revision when it is reached.
func (c *watchTable) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	var lastRevision units.Revision
	for printed := 0; c.Count == 0 || printed < c.Count; {
		t, err := api.Watch(lastRevision)
		if err != nil {
			return err
		}
		if t.Revision <= lastRevision {
			continue
		}
		printed++
		lastRevision = t.Revision
		if err := c.printRevision(t); err != nil {
			return err
		}
	}
	return nil
}

func (c *watchTable) printRevision(t *table.Table) error {
	if c.tool.options.JSON {
		return c.tool.printJSON(t)
	}
	c.tool.print("revision %d: %d services, %d boxes\n", t.Revision, len(t.Services), len(t.Boxes))
	return nil
}

type formCluster struct {
	State string `long:"state" value-name:"FILE" description:"a file that folder export has written; the cluster starts with its state"`
	tool  *Tool
}

// Execute forms the cluster.
func (c *formCluster) Execute([]string) error {
	var state []byte
	if c.State != "" {
		var err error
		if state, err = readFile(c.State, "the state"); err != nil {
			return err
		}
	}
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	s, err := api.FormCluster(state)
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(s)
	}
	c.tool.print("cluster %s is formed\n", s.Log.Cluster)
	return nil
}

type printCompletion struct{ tool *Tool }

// completionScript makes bash run the tool itself to get the possible completions.
const completionScript = `_madderctl() {
	local arguments=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${arguments[@]}"))
}
complete -F _madderctl madderctl
`

// Execute prints the script.
func (c *printCompletion) Execute([]string) error {
	c.tool.print("%s", completionScript)
	return nil
}
