package table

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// RowState says whether a target takes new work.
type RowState int32

// The states of a row.
const (
	Active RowState = iota + 1
	// Leaving targets finish what they have and receive no new work.
	Leaving
)

// Row is one row of the targets sheet. Its limits are totals over all boxes;
// zero means no limit.
type Row struct {
	Service units.ServiceName `json:"service"`
	Target  units.TargetID    `json:"target"`
	// Address is an IP number and a port.
	Address        string       `json:"address"`
	Domain         units.Domain `json:"domain,omitempty"`
	Weight         int          `json:"weight"`
	MaxInFlight    int          `json:"maxInFlight"`
	MaxConnections int          `json:"maxConnections"`
	// MaxRate is in calls per second.
	MaxRate float64  `json:"maxRate"`
	State   RowState `json:"state"`
	// Registered is set for a target that registered by itself. Its connections are
	// divided among the boxes without a delay, since its own bound is no limit that
	// an operator relies on.
	Registered bool `json:"registered,omitempty"`
	// Slots is how many calls the target says it works on at a time; zero means
	// that it didn't say.
	Slots int `json:"slots,omitempty"`
	// ColdRemaining is for how long the target stays cold, as of its last report of that; zero for a
	// warm one.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// Silent is set while a registered target doesn't report.
	Silent bool `json:"silent,omitempty"`
	// Software is the version of its software that a registered target named.
	Software units.SoftwareVersion `json:"software,omitempty"`
	// StartedAt tells the starts of a registered target apart; zero where it isn't told.
	StartedAt units.WallTime `json:"born,omitempty"`
}
