package ctl

import (
	"encoding/json"
	"strconv"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/fault"
)

type listRegions struct{ tool *Tool }

// regionsDump is the part of a box's state dump that listRegions reads.
type regionsDump struct {
	Entry *struct {
		Routing routing.Status `json:"routing"`
	} `json:"entry"`
}

// Execute lists the routes that allow some regions only, from the state of an entry box.
func (c *listRegions) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	raw, err := api.Dump()
	if err != nil {
		return err
	}
	d := regionsDump{}
	if err := json.Unmarshal(raw, &d); err != nil {
		return fault.Wrap(err, fault.Unavailable, "use a madderctl of the box's version", "the box's state can't be read")
	}
	if d.Entry == nil {
		return fault.New(fault.Invalid, "name an entry box with --server", "the process has no entry")
	}
	status := d.Entry.Routing
	if c.tool.options.JSON {
		return c.tool.printJSON(status.Restricted)
	}
	c.tool.print("%s\n", regionsHeadline(&status))
	var rows [][]string
	for _, x := range status.Restricted {
		rows = append(rows, []string{x.Host, x.PathPrefix, joinRegions(x), strconv.Itoa(x.Targets)})
	}
	return c.tool.printTable([]string{"host", "path prefix", "regions", "targets"}, rows)
}

func regionsHeadline(s *routing.Status) string {
	region := string(s.Region)
	if region == "" {
		region = "not known"
	}
	return "region of the box: " + region + "; calls refused since its start because of regions: " +
		strconv.FormatUint(s.Refusals[routing.RegionNotAllowed.String()], 10)
}

func joinRegions(x routing.RestrictedRoute) string {
	if len(x.Regions) == 0 {
		return "none"
	}
	return joinNames(x.Regions, " ")
}
