// Package units names the ids and measures that the rest of madderpond shares,
// so that a box can't be mistaken for a target, nor a revision for a version.
package units

import "time"

// BoxID names an entry box.
type BoxID string

// ReplicaID names a control replica.
type ReplicaID string

// Incarnation is the random name of one life of a replica's disk. A replica
// that lost its disk comes back under a new one.
type Incarnation string

// ServiceName names a service of the table.
type ServiceName string

// TargetID names a target; the same target may stand in several rows.
type TargetID string

// WorkspaceName names a workspace: a customer whose callers share keys and limits.
type WorkspaceName string

// Domain names a failure domain.
type Domain string

// Region names a group of failure domains that lie close together.
type Region string

// SoftwareVersion names a version of the software that a target runs.
type SoftwareVersion string

// EditID is an operator's own name for an edit; a resent edit carries it again.
type EditID string

// Revision counts the accepted changes of the whole replicated state.
type Revision uint64

// Version counts the accepted changes of one service and its rows.
type Version uint64

// DocumentVersion is an operator's own number for a whole table; the highest one
// holds.
type DocumentVersion uint64

// Term numbers the leaderships of the replicated log.
type Term uint64

// Index numbers the entries of the replicated log, from 1.
type Index uint64

// Instant is a point on a process's own monotonic clock, in nanoseconds since
// a start that only this process knows. Instants of two processes can't be
// compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time that passed from other to i.
func (i Instant) Sub(other Instant) time.Duration {
	return time.Duration(i - other)
}

// Before reports whether i comes before other.
func (i Instant) Before(other Instant) bool {
	return i < other
}

// WallTime is a wall-clock time in Unix milliseconds; it is used for display
// and for the age of remembered answers, never for leases.
type WallTime int64

// CallRate is a number of calls a second.
type CallRate float64

// Percent is a share in hundredths.
type Percent float64

// Of returns this share of a whole.
func (p Percent) Of(whole float64) float64 {
	return whole * float64(p) / 100
}
