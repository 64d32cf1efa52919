// Package units defines named types for the ids and quantities that madderpond's
// packages share, so that the compiler rejects a box id where a target id is
// expected, or a revision where a version is expected.
package units

import "time"

// BoxID identifies an entry box: a machine that runs the program as a proxy.
type BoxID string

// ReplicaID identifies a control replica.
type ReplicaID string

// Incarnation is a random id that a replica stores on its disk. A replica that
// lost its disk rejoins with a new one.
type Incarnation string

// ServiceName identifies a service in the table.
type ServiceName string

// TargetID identifies a target (a back end); a target may have several rows.
type TargetID string

// WorkspaceName identifies a workspace: a customer whose callers share keys and limits.
type WorkspaceName string

// Domain identifies a failure domain.
type Domain string

// Region identifies a group of failure domains that are close together.
type Region string

// SoftwareVersion is the version of the software that a target runs.
type SoftwareVersion string

// EditID is an operator's idempotency key for an edit; a resent edit has the same one.
type EditID string

// Revision counts the accepted changes of the whole replicated state.
type Revision uint64

// Version is the version of one service and its rows: the revision of their last change.
type Version uint64

// DocumentVersion is an operator's version number for a whole table; the highest
// one is in force.
type DocumentVersion uint64

// Term numbers the leader terms of the replicated log.
type Term uint64

// Index numbers the entries of the replicated log, from 1.
type Index uint64

// Instant is a reading of the process's monotonic clock, in nanoseconds since an
// arbitrary origin. Instants of two processes can't be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time elapsed from other to i.
func (i Instant) Sub(other Instant) time.Duration {
	return time.Duration(i - other)
}

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool {
	return i < other
}

// WallTime is a wall-clock time in Unix milliseconds. It is used for display and
// for the age of stored results, never for leases.
type WallTime int64

// CallRate is a rate in calls per second.
type CallRate float64

// Percent is a fraction in hundredths.
type Percent float64

// Of returns this percentage of whole.
func (p Percent) Of(whole float64) float64 {
	return whole * float64(p) / 100
}
