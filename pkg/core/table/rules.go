package table

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/madderpond/madderpond/pkg/units"
)

// Bounds of the table's values.
const (
	MaxNameLength = 64
	MaxWeight     = 1_000_000
	MaxOperations = 50_000
	maxHoldCount  = 1_000_000
	maxPercent    = 100
)

// rule is one check of a service or a row: a column, what must hold, and the
// remedy when it doesn't.
type rule[T any] struct {
	column string
	valid  func(*T) bool
	remedy string
}

var serviceRules = []rule[Service]{
	{"name", func(s *Service) bool { return validName(string(s.Name)) }, "use 1 to 64 of a-z, 0-9, '-', '.' and '_'"},
	{"work", func(s *Service) bool { return s.Work >= Repeatable && s.Work <= Patient }, "write repeatable, once or patient"},
	{"hosts", func(s *Service) bool { return len(s.Hosts) > 0 || s.PathPrefix != "" }, "give a host name or a path prefix"},
	{"hosts", func(s *Service) bool { return validHosts(s.Hosts) }, "write host names in lower case, without a port"},
	{"path_prefix", func(s *Service) bool { return s.PathPrefix == "" || strings.HasPrefix(s.PathPrefix, "/") }, "start it with a slash"},
	{"deadline", func(s *Service) bool { return s.Deadline > 0 }, "give a positive duration such as 2s"},
	{"hold_limit", func(s *Service) bool { return s.HoldLimit >= 0 }, "give a duration such as 500ms, or 0s to hold nothing"},
	{"hold_count", func(s *Service) bool { return s.HoldCount >= 0 && s.HoldCount <= maxHoldCount }, "give a number from 0 to 1000000"},
	{"retry_budget", func(s *Service) bool { return validPercent(s.RetryBudget) }, "give a percentage from 0 to 100"},
	{"hedge_budget", func(s *Service) bool { return validPercent(s.HedgeBudget) }, "give a percentage from 0 to 100"},
	{"extra_burst", func(s *Service) bool { return s.ExtraBurst >= 0 }, "give 0 for the boxes' own bound, or a positive number"},
	{"target_connections", func(s *Service) bool { return s.TargetConnections >= 0 }, "give 0 for no bound, or a positive number"},
	{"probe_targets", func(s *Service) bool { return s.ProbeTargets >= 0 }, "give 0 to probe none, or a positive number"},
	{"cold_rate", func(s *Service) bool { return s.ColdRate >= 0 }, "give 0 for no limit, or a positive number of calls a second"},
	{"measure_budget", func(s *Service) bool { return validPercent(s.MeasureBudget) }, "give a percentage from 0 to 100"},
}

var rowRules = []rule[Row]{
	{"target", func(r *Row) bool { return validName(string(r.Target)) }, "use 1 to 64 of a-z, 0-9, '-', '.' and '_'"},
	{"address", func(r *Row) bool { return validAddress(r.Address) }, "write an IP number and a port, such as 10.0.0.7:8080"},
	{"weight", func(r *Row) bool { return r.Weight >= 0 && r.Weight <= MaxWeight }, "give a number from 0 to 1000000"},
	{"max_in_flight", func(r *Row) bool { return r.MaxInFlight >= 0 }, "give 0 for no limit, or a positive number"},
	{"max_connections", func(r *Row) bool { return r.MaxConnections >= 0 }, "give 0 for no limit, or a positive number"},
	{"max_rate", func(r *Row) bool { return r.MaxRate >= 0 }, "give 0 for no limit, or a positive number of calls a second"},
	{"state", func(r *Row) bool { return r.State == Active || r.State == Leaving }, "write active or leaving"},
}

// Problem is a value that breaks a rule.
type Problem struct {
	Column string
	Remedy string
}

// String tells the problem as a person would want to read it.
func (p Problem) String() string {
	return fmt.Sprintf("column %s: %s", p.Column, p.Remedy)
}

func findProblems[T any](rules []rule[T], v *T) []Problem {
	var problems []Problem
	for _, r := range rules {
		if !r.valid(v) {
			problems = append(problems, Problem{Column: r.column, Remedy: r.remedy})
		}
	}
	return problems
}

// CheckService returns what is wrong with a service, or nothing.
func CheckService(s *Service) []Problem { return findProblems(serviceRules, s) }

// CheckRow returns what is wrong with a row, or nothing.
func CheckRow(r *Row) []Problem { return findProblems(rowRules, r) }

func validPercent(p units.Percent) bool { return p >= 0 && p <= maxPercent }

func validName(s string) bool {
	if s == "" || len(s) > MaxNameLength {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || strings.ContainsRune("-._", r))
	}) < 0
}

func validHosts(hosts []string) bool {
	for _, h := range hosts {
		if !validName(h) {
			return false
		}
	}
	return true
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}
