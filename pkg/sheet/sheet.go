// Package sheet reads and writes the routing table as CSV sheets for operators: services, their
// rows, and routes. Every error is reported with its line and column.
package sheet

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// column is one column of a sheet, with the functions that parse and format its cells. If the
// column isn't required, the default stays where the column is missing or the cell is empty.
type column[T any] struct {
	name     string
	required bool
	parse    func(*T, string) error
	format   func(*T) string
}

// listSeparator separates the elements of a list in a cell, such as host names.
const listSeparator = " "

var serviceColumns = []column[table.Service]{
	{"service", true, func(s *table.Service, c string) error { s.Name = units.ServiceName(c); return nil },
		func(s *table.Service) string { return string(s.Name) }},
	{"work", true, func(s *table.Service, c string) error { return s.Work.UnmarshalText([]byte(c)) },
		func(s *table.Service) string { return s.Work.String() }},
	{"hosts", false, func(s *table.Service, c string) error { s.Hosts = strings.Fields(c); return nil },
		func(s *table.Service) string { return strings.Join(s.Hosts, listSeparator) }},
	{"path_prefix", false, func(s *table.Service, c string) error { s.PathPrefix = c; return nil },
		func(s *table.Service) string { return s.PathPrefix }},
	{"deadline", false, func(s *table.Service, c string) error { return parseDuration(&s.Deadline, c) },
		func(s *table.Service) string { return s.Deadline.String() }},
	{"hold_limit", false, func(s *table.Service, c string) error { return parseDuration(&s.HoldLimit, c) },
		func(s *table.Service) string { return s.HoldLimit.String() }},
	{"hold_count", false, func(s *table.Service, c string) error { return parseInt(&s.HoldCount, c) },
		func(s *table.Service) string { return strconv.Itoa(s.HoldCount) }},
	{"retry_budget", false, func(s *table.Service, c string) error { return parsePercent(&s.RetryBudget, c) },
		func(s *table.Service) string { return formatPercent(s.RetryBudget) }},
	{"hedge_budget", false, func(s *table.Service, c string) error { return parsePercent(&s.HedgeBudget, c) },
		func(s *table.Service) string { return formatPercent(s.HedgeBudget) }},
	{"measure_budget", false, func(s *table.Service, c string) error { return parsePercent(&s.MeasureBudget, c) },
		func(s *table.Service) string { return formatPercent(s.MeasureBudget) }},
	{"extra_burst", false, func(s *table.Service, c string) error { return parseInt(&s.ExtraBurst, c) },
		func(s *table.Service) string { return strconv.Itoa(s.ExtraBurst) }},
	{"target_connections", false, func(s *table.Service, c string) error { return parseInt(&s.TargetConnections, c) },
		func(s *table.Service) string { return strconv.Itoa(s.TargetConnections) }},
	{"probe_targets", false, func(s *table.Service, c string) error { return parseInt(&s.ProbeTargets, c) },
		func(s *table.Service) string { return strconv.Itoa(s.ProbeTargets) }},
	{"probe_path", false, func(s *table.Service, c string) error { s.ProbePath = c; return nil },
		func(s *table.Service) string { return s.ProbePath }},
	{"cold_rate", false, func(s *table.Service, c string) error { return parseFloat(&s.ColdRate, c) },
		func(s *table.Service) string { return strconv.FormatFloat(s.ColdRate, 'f', -1, 64) }},
}

var rowColumns = []column[table.Row]{
	{"service", true, func(r *table.Row, c string) error { r.Service = units.ServiceName(c); return nil },
		func(r *table.Row) string { return string(r.Service) }},
	{"target", true, func(r *table.Row, c string) error { r.Target = units.TargetID(c); return nil },
		func(r *table.Row) string { return string(r.Target) }},
	{"address", true, func(r *table.Row, c string) error { r.Address = c; return nil },
		func(r *table.Row) string { return r.Address }},
	{"domain", false, func(r *table.Row, c string) error { r.Domain = units.Domain(c); return nil },
		func(r *table.Row) string { return string(r.Domain) }},
	{"weight", false, func(r *table.Row, c string) error { return parseInt(&r.Weight, c) },
		func(r *table.Row) string { return strconv.Itoa(r.Weight) }},
	{"max_in_flight", false, func(r *table.Row, c string) error { return parseInt(&r.MaxInFlight, c) },
		func(r *table.Row) string { return strconv.Itoa(r.MaxInFlight) }},
	{"max_connections", false, func(r *table.Row, c string) error { return parseInt(&r.MaxConnections, c) },
		func(r *table.Row) string { return strconv.Itoa(r.MaxConnections) }},
	{"max_rate", false, func(r *table.Row, c string) error { return parseFloat(&r.MaxRate, c) },
		func(r *table.Row) string { return strconv.FormatFloat(r.MaxRate, 'g', -1, 64) }},
	{"state", false, func(r *table.Row, c string) error { return r.State.UnmarshalText([]byte(c)) },
		func(r *table.Row) string { return r.State.String() }},
}

// DefaultWeight is the weight of a row if its sheet gives none.
const DefaultWeight = 100

// NewService returns a service in which every field has its default.
func NewService() table.Service {
	return table.Service{
		Work: table.Repeatable, Deadline: table.DefaultDeadline, HoldLimit: table.DefaultHoldLimit,
		HoldCount: table.DefaultHoldCount, RetryBudget: table.DefaultRetryBudget,
		HedgeBudget: table.DefaultHedgeBudget, MeasureBudget: table.DefaultMeasureBudget,
	}
}

// NewRow returns a row in which every field has its default.
func NewRow() table.Row {
	return table.Row{Weight: DefaultWeight, State: table.Active}
}

// ReadServices reads a sheet of services. The error is an Invalid fault that lists the wrong
// cells and stops after about maxProblems of them.
func ReadServices(r io.Reader) ([]table.Service, error) {
	return read(r, serviceColumns, NewService, table.CheckService)
}

// ReadRows reads a sheet of rows. Its errors are those of ReadServices.
func ReadRows(r io.Reader) ([]table.Row, error) {
	return read(r, rowColumns, NewRow, table.CheckRow)
}

// WriteServices writes a sheet of services.
func WriteServices(w io.Writer, services []table.Service) error {
	return write(w, serviceColumns, services)
}

// WriteRows writes a sheet of rows.
func WriteRows(w io.Writer, rows []table.Row) error {
	return write(w, rowColumns, rows)
}

// SetRowCell parses a value as in a sheet and sets the named column of a row to it. The error
// is an Invalid fault.
func SetRowCell(r *table.Row, name, value string) error {
	return setCell(rowColumns, r, name, value)
}

// SetServiceCell does the same as SetRowCell for a service.
func SetServiceCell(s *table.Service, name, value string) error {
	return setCell(serviceColumns, s, name, value)
}

func setCell[T any](columns []column[T], v *T, name, value string) error {
	for _, c := range columns {
		if c.name == name {
			return c.parse(v, value)
		}
	}
	return fault.New(fault.Invalid, fmt.Sprintf("use one of %q", columnNames(columns)), "there is no column %q", name)
}

func columnNames[T any](columns []column[T]) []string {
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, c.name)
	}
	return names
}

// ServiceCells returns a service's cells in the order of ServiceHeader.
func ServiceCells(s *table.Service) []string { return formatCells(serviceColumns, s) }

// RowCells returns a row's cells in the order of RowHeader.
func RowCells(r *table.Row) []string { return formatCells(rowColumns, r) }

// ServiceHeader returns the names of a service's columns.
func ServiceHeader() []string { return columnNames(serviceColumns) }

// RowHeader returns the names of a row's columns.
func RowHeader() []string { return columnNames(rowColumns) }

func formatCells[T any](columns []column[T], v *T) []string {
	cells := make([]string, 0, len(columns))
	for _, c := range columns {
		cells = append(cells, c.format(v))
	}
	return cells
}

func write[T any](w io.Writer, columns []column[T], values []T) error {
	out := csv.NewWriter(w)
	out.Write(columnNames(columns))
	for i := range values {
		out.Write(formatCells(columns, &values[i]))
	}
	out.Flush()
	return out.Error()
}

// maxProblems is the number of problems after which reading a sheet stops.
const maxProblems = 50

// read reads a sheet into values that start from newValue, and checks each line whose cells
// can all be parsed.
func read[T any](r io.Reader, columns []column[T], newValue func() T, check func(*T) []table.Problem) ([]T, error) {
	in := csv.NewReader(r)
	in.Comment = '#'
	in.FieldsPerRecord = -1
	header, err := in.Read()
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, fmt.Sprintf("begin the sheet with a header of these columns: %q", columnNames(columns)), "the sheet has no header")
	}
	order, problems := matchHeader(header, columns)
	var values []T
	for len(problems) < maxProblems {
		cells, err := in.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			problems = append(problems, err.Error())
			break
		}
		line, _ := in.FieldPos(0)
		v := newValue()
		lineProblems := parseCells(&v, cells, order, line)
		if len(lineProblems) == 0 {
			for _, p := range check(&v) {
				lineProblems = append(lineProblems, fmt.Sprintf("line %d, %s", line, p))
			}
		}
		problems = append(problems, lineProblems...)
		values = append(values, v)
	}
	if len(problems) > 0 {
		return nil, fault.New(fault.Invalid, "correct these cells and apply the sheet again", "the sheet has faults:\n  %s\n", strings.Join(problems, "\n  "))
	}
	return values, nil
}

// matchHeader returns the column of each cell of the header, nil for an unknown one, and the
// problems of the header.
func matchHeader[T any](header []string, columns []column[T]) (order []*column[T], problems []string) {
	seen := map[string]bool{}
	for _, name := range header {
		name = strings.TrimSpace(name)
		c := findColumn(columns, name)
		switch {
		case c == nil:
			problems = append(problems, fmt.Sprintf("line 1, column %s: there is no such column; use %q", name, columnNames(columns)))
		case seen[name]:
			problems = append(problems, fmt.Sprintf("line 1, column %s: it stands there twice; remove one", name))
		}
		seen[name] = true
		order = append(order, c)
	}
	for _, c := range columns {
		if c.required && !seen[c.name] {
			problems = append(problems, fmt.Sprintf("line 1, column %s: it is missing; add it", c.name))
		}
	}
	return order, problems
}

func findColumn[T any](columns []column[T], name string) *column[T] {
	for i := range columns {
		if columns[i].name == name {
			return &columns[i]
		}
	}
	return nil
}

func parseCells[T any](v *T, cells []string, order []*column[T], line int) []string {
	if len(cells) != len(order) {
		return []string{fmt.Sprintf("line %d: it has %d cells, the header has %d; write one cell for each column", line, len(cells), len(order))}
	}
	var problems []string
	for i, c := range order {
		cell := strings.TrimSpace(cells[i])
		if c == nil || cell == "" && !c.required {
			continue
		}
		if err := c.parse(v, cell); err != nil {
			problems = append(problems, fmt.Sprintf("line %d, column %s: %v", line, c.name, err))
		}
	}
	return problems
}

func parseDuration(dst *time.Duration, cell string) error {
	d, err := time.ParseDuration(cell)
	if err != nil {
		return fault.New(fault.Invalid, "write it as in 250ms or 2s", "%q is no duration", cell)
	}
	*dst = d
	return nil
}

func parseInt(dst *int, cell string) error {
	n, err := strconv.Atoi(cell)
	if err != nil {
		return fault.New(fault.Invalid, "write it as in 120", "%q is no whole number", cell)
	}
	*dst = n
	return nil
}

func parseBool(dst *bool, cell string) error {
	b, err := strconv.ParseBool(cell)
	if err != nil {
		return fault.New(fault.Invalid, "write true or false", "%q is neither", cell)
	}
	*dst = b
	return nil
}

func parseFloat(dst *float64, cell string) error {
	x, err := strconv.ParseFloat(cell, 64)
	if err != nil {
		return fault.New(fault.Invalid, "write it as in 12.5", "%q is no number", cell)
	}
	*dst = x
	return nil
}

func parsePercent(dst *units.Percent, cell string) error {
	var x float64
	if err := parseFloat(&x, strings.TrimSuffix(cell, "%")); err != nil {
		return err
	}
	*dst = units.Percent(x)
	return nil
}

func formatPercent(p units.Percent) string {
	return strconv.FormatFloat(float64(p), 'g', -1, 64)
}
