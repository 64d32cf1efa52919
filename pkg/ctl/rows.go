package ctl

import (
	"strconv"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// changeRow applies change to the current state of one row and submits the result as an edit.
func (t *Tool) changeRow(service, target string, change func(*table.Row)) error {
	current, err := t.fetchTable()
	if err != nil {
		return err
	}
	entry := current.Services[units.ServiceName(service)]
	if entry == nil || entry.Row(units.TargetID(target)) == nil {
		return rowNotFound(service, target)
	}
	row := *entry.Row(units.TargetID(target))
	change(&row)
	return t.submitEdit(current, []table.Operation{{Kind: table.PutRow, Row: &row}})
}

type setWeight struct {
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
		Target  string `positional-arg-name:"TARGET" required:"true"`
		Weight  string `positional-arg-name:"WEIGHT" required:"true"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute sets a row's weight.
func (c *setWeight) Execute([]string) error {
	weight, err := strconv.Atoi(c.Args.Weight)
	if err != nil {
		return fault.New(fault.Invalid, "write a whole number such as 50", "%q is not a weight", c.Args.Weight)
	}
	return c.tool.changeRow(c.Args.Service, c.Args.Target, func(r *table.Row) { r.Weight = weight })
}

type setLimit struct {
	InFlight    *int     `long:"in-flight" value-name:"N" description:"calls at a time over all boxes; 0 for no limit"`
	Connections *int     `long:"connections" value-name:"N" description:"connections over all boxes; 0 for no limit"`
	Rate        *float64 `long:"rate" value-name:"N" description:"calls a second over all boxes; 0 for no limit"`
	Args        struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
		Target  string `positional-arg-name:"TARGET" required:"true"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute sets the limits of a row that the flags give and leaves the others unchanged.
func (c *setLimit) Execute([]string) error {
	return c.tool.changeRow(c.Args.Service, c.Args.Target, func(r *table.Row) {
		setIfGiven(&r.MaxInFlight, c.InFlight)
		setIfGiven(&r.MaxConnections, c.Connections)
		setIfGiven(&r.MaxRate, c.Rate)
	})
}

// setIfGiven copies value to dst unless value is nil, which means that the flag wasn't given.
func setIfGiven[T any](dst, value *T) {
	if value != nil {
		*dst = *value
	}
}

type setLeaving struct {
	Undo bool `long:"undo" description:"mark the row as active again"`
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
		Target  string `positional-arg-name:"TARGET" required:"true"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute marks a row as leaving or as active.
func (c *setLeaving) Execute([]string) error {
	state := table.Leaving
	if c.Undo {
		state = table.Active
	}
	return c.tool.changeRow(c.Args.Service, c.Args.Target, func(r *table.Row) { r.State = state })
}
