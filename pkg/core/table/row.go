package table

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// RowState is whether a target accepts new calls.
type RowState int32

// The states of a row.
const (
	Active RowState = iota + 1
	// Leaving targets finish the calls that they have and get no new ones.
	Leaving
)

// Row is one row of the targets sheet. Its limits apply to all boxes together;
// zero means no limit.
type Row struct {
	Service units.ServiceName `json:"service"`
	Target  units.TargetID    `json:"target"`
	// Address is an IP address and a port.
	Address        string       `json:"address"`
	Domain         units.Domain `json:"domain,omitempty"`
	Weight         int          `json:"weight"`
	MaxInFlight    int          `json:"maxInFlight"`
	MaxConnections int          `json:"maxConnections"`
	// MaxRate is in calls per second.
	MaxRate float64  `json:"maxRate"`
	State   RowState `json:"state"`
	// Registered is set for a target that registered by itself. Its connection limit
	// is divided among the boxes without a delay, since operators don't rely on it.
	Registered bool `json:"registered,omitempty"`
	// Slots is the concurrency that the target reports: how many calls it processes
	// at a time. Zero means that it reports none.
	Slots int `json:"slots,omitempty"`
	// Cold is the remaining time for which the target expects to be cold, as of the last change of
	// that; zero for a warm target.
	Cold time.Duration `json:"cold,omitempty"`
	// Silent is set while a registered target doesn't report.
	Silent bool `json:"silent,omitempty"`
	// Software is the software version that a registered target reports.
	Software units.SoftwareVersion `json:"software,omitempty"`
	// Born is the start time of a registered target, which distinguishes its incarnations; zero if
	// it isn't reported.
	Born units.WallTime `json:"born,omitempty"`
}
