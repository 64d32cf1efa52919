package ctl

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

// sheetFiles are the flags for the paths of the two sheets.
type sheetFiles struct {
	Services string `long:"services" value-name:"FILE" description:"the CSV sheet of services"`
	Rows     string `long:"rows" value-name:"FILE" description:"the CSV sheet of rows"`
}

func (f *sheetFiles) read() (sheet.Sheets, error) {
	var s sheet.Sheets
	var err error
	if f.Services == "" && f.Rows == "" {
		return s, fault.New(fault.Invalid, "name at least one with --services or --rows", "no sheet is named")
	}
	if f.Services != "" {
		if s.Services, err = readSheet(f.Services, sheet.ReadServices); err != nil {
			return s, err
		}
	}
	if f.Rows != "" {
		s.Rows, err = readSheet(f.Rows, sheet.ReadRows)
	}
	return s, err
}

func readSheet[T any](path string, read func(io.Reader) ([]T, error)) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a file that you may read", "the sheet can't be read")
	}
	defer file.Close()
	values, err := read(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "see docs/TABLE.md for the columns", "%s", path)
	}
	return values, nil
}

func writeSheet[T any](path string, values []T, write func(io.Writer, []T) error) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that you may write", "the sheet can't be written")
	}
	if err := write(file, values); err != nil {
		file.Close()
		return fault.Wrap(err, fault.Invalid, "make room for the file", "the sheet can't be written")
	}
	return file.Close()
}

type tableGet struct {
	sheetFiles
	tool *Tool
}

// Execute prints the table, or writes the sheets whose files are given.
func (c *tableGet) Execute([]string) error {
	t, err := c.tool.fetchTable()
	if err != nil {
		return err
	}
	s := sheet.FromTable(t)
	if c.Services != "" {
		if err := writeSheet(c.Services, s.Services, sheet.WriteServices); err != nil {
			return err
		}
	}
	if c.Rows != "" {
		if err := writeSheet(c.Rows, s.Rows, sheet.WriteRows); err != nil {
			return err
		}
	}
	if c.Services != "" || c.Rows != "" {
		return nil
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(t)
	}
	c.tool.print("revision %d\n", t.Revision)
	return c.tool.printTable(sheet.RowHeader(), rowCells(s.Rows))
}

func rowCells(rows []table.Row) [][]string {
	cells := make([][]string, 0, len(rows))
	for i := range rows {
		cells = append(cells, sheet.RowCells(&rows[i]))
	}
	return cells
}

// fetchTable reads the table, and warns if it may not be the newest.
func (t *Tool) fetchTable() (*table.Table, error) {
	c, err := t.connect()
	if err != nil {
		return nil, err
	}
	read, err := c.ReadTable()
	if err != nil {
		return nil, err
	}
	if !read.Confirmed {
		fmt.Fprintf(t.errOut, "warning: no leader confirms that revision %d of the table is the newest\n", read.Table.Revision)
	}
	return read.Table, nil
}

// submitEdit sends operations as one edit that is based on the table from, and prints the
// outcome.
func (t *Tool) submitEdit(from *table.Table, operations []table.Operation) error {
	if len(operations) == 0 {
		t.print("nothing to change; the table is at revision %d\n", from.Revision)
		return nil
	}
	c, err := t.connect()
	if err != nil {
		return err
	}
	result, err := c.SubmitEdit(&table.Edit{
		ID: units.EditID(t.options.ID), Operator: t.options.Operator,
		Bases: sheet.Bases(from, operations), Operations: operations,
	})
	if err != nil {
		return err
	}
	if t.options.JSON {
		if err := t.printJSON(result); err != nil {
			return err
		}
	}
	return t.printResult(result)
}

func (t *Tool) printResult(r *table.Result) error {
	switch r.Outcome {
	case table.Conflicted:
		return fault.New(fault.Conflict, "inspect the table with madderctl table get, then redo the edit", "the edit conflicts with an earlier one: %s", r.Detail)
	case table.Rejected:
		return fault.New(fault.Invalid, "correct the edit and submit it again", "the edit breaks a rule: %s", r.Detail)
	}
	if !t.options.JSON {
		t.print("accepted: revision %d, edit %s, %d operations\n", r.Revision, r.Edit, r.Operations)
	}
	return nil
}

type tableApply struct {
	sheetFiles
	Prune bool `long:"prune" description:"delete what the sheets leave out"`
	tool  *Tool
}

// Execute changes the table to the content of the sheets.
func (c *tableApply) Execute([]string) error {
	t, operations, err := c.tool.diffSheets(&c.sheetFiles, c.Prune)
	if err != nil {
		return err
	}
	return c.tool.submitEdit(t, operations)
}

// diffSheets returns the current table and the operations that change it to the content of
// the sheets.
func (t *Tool) diffSheets(f *sheetFiles, prune bool) (*table.Table, []table.Operation, error) {
	s, err := f.read()
	if err != nil {
		return nil, nil, err
	}
	current, err := t.fetchTable()
	if err != nil {
		return nil, nil, err
	}
	return current, sheet.Diff(current, s, prune), nil
}

type tableDiff struct {
	sheetFiles
	Prune bool `long:"prune" description:"also show what apply --prune would delete"`
	tool  *Tool
}

// Execute shows what apply would change.
func (c *tableDiff) Execute([]string) error {
	t, operations, err := c.tool.diffSheets(&c.sheetFiles, c.Prune)
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		if err := c.tool.printJSON(operations); err != nil {
			return err
		}
	} else {
		c.tool.printOperations(t, operations)
	}
	if len(operations) > 0 {
		return errTableDiffers
	}
	return nil
}

func (t *Tool) printOperations(current *table.Table, operations []table.Operation) {
	for _, o := range operations {
		t.print("%s %s", o.Kind, o.ServiceName())
		if o.Row != nil {
			t.print(" %s", o.Row.Target)
		}
		t.print("%s\n", changedCells(current, o))
	}
}

// changedCells lists the cells that an operation would change, with old and new values.
func changedCells(current *table.Table, o table.Operation) string {
	entry := current.Services[o.ServiceName()]
	switch {
	case entry == nil:
		return " (new)"
	case o.Kind == table.PutService:
		return cellDiff(sheet.ServiceHeader(), sheet.ServiceCells(&entry.Service), sheet.ServiceCells(o.Service))
	case o.Kind == table.PutRow && entry.Row(o.Row.Target) != nil:
		return cellDiff(sheet.RowHeader(), sheet.RowCells(entry.Row(o.Row.Target)), sheet.RowCells(o.Row))
	case o.Kind == table.PutRow:
		return " (new)"
	}
	return ""
}

func cellDiff(header, before, after []string) string {
	var b strings.Builder
	for i, name := range header {
		if before[i] != after[i] {
			b.WriteString(" " + name + ": " + before[i] + " -> " + after[i])
		}
	}
	return b.String()
}

type tableHistory struct{ tool *Tool }

// Execute prints the last accepted edits.
func (c *tableHistory) Execute([]string) error {
	api, err := c.tool.connect()
	if err != nil {
		return err
	}
	results, err := api.History()
	if err != nil {
		return err
	}
	if c.tool.options.JSON {
		return c.tool.printJSON(results)
	}
	var rows [][]string
	for _, r := range results {
		rows = append(rows, []string{
			strconv.FormatUint(uint64(r.Revision), 10), time.UnixMilli(int64(r.At)).UTC().Format(time.RFC3339),
			r.Operator, strconv.Itoa(r.Operations), string(r.Edit),
		})
	}
	return c.tool.printTable([]string{"revision", "at", "operator", "operations", "edit"}, rows)
}

type tableEdit struct {
	Set  []string `long:"set" required:"true" value-name:"PLACE=VALUE" description:"SERVICE/TARGET.COLUMN=VALUE or SERVICE.COLUMN=VALUE; may be given several times, for one edit"`
	tool *Tool
}

// Execute changes single cells in one edit.
func (c *tableEdit) Execute([]string) error {
	t, err := c.tool.fetchTable()
	if err != nil {
		return err
	}
	s := sheet.FromTable(t)
	for _, assignment := range c.Set {
		if err := applyAssignment(&s, assignment); err != nil {
			return err
		}
	}
	return c.tool.submitEdit(t, sheet.Diff(t, s, false))
}

// applyAssignment applies one PLACE=VALUE of the flag --set to the sheets.
func applyAssignment(s *sheet.Sheets, assignment string) error {
	place, value, ok := strings.Cut(assignment, "=")
	dot := strings.LastIndex(place, ".")
	if !ok || dot < 0 {
		return fault.New(fault.Invalid, "write SERVICE/TARGET.COLUMN=VALUE or SERVICE.COLUMN=VALUE", "%q isn't an assignment to a cell", assignment)
	}
	column := place[dot+1:]
	service, target, isRow := strings.Cut(place[:dot], "/")
	if !isRow {
		return assignServiceCell(s, service, column, value)
	}
	for i := range s.Rows {
		if r := &s.Rows[i]; string(r.Service) == service && string(r.Target) == target {
			return sheet.SetRowCell(r, column, value)
		}
	}
	return rowNotFound(service, target)
}

func assignServiceCell(s *sheet.Sheets, service, column, value string) error {
	for i := range s.Services {
		if v := &s.Services[i]; string(v.Name) == service {
			return sheet.SetServiceCell(v, column, value)
		}
	}
	return fault.New(fault.NotFound, "see madderctl services", "there is no service %s", service)
}

func rowNotFound(service, target string) error {
	return fault.New(fault.NotFound, "see madderctl table get", "service %s has no target %s", service, target)
}
