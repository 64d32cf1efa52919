package crash

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Suspect is a call that was in flight at a target when the target crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// SentBefore is how long before the crash the call was sent to the target.
	SentBefore time.Duration
}

// Note is an observation of a box: a crash of a target, or an answer to a call that is a
// suspect. Several boxes may note the same crash; each lists the calls that it had in flight at the
// target.
type Note struct {
	// Box, Start and Number identify the note: the box, its process, and a sequence number
	// that counts from 1 in each process.
	Box    units.BoxID
	Start  uint64
	Number uint64
	// At is the time of the crash or answer, on the clock of the process that holds the note.
	At units.Instant
	// Service and Target identify the target that crashed; both are empty for an answer.
	Service units.ServiceName
	Target  units.TargetID
	// Suspects are the calls that were in flight at the crash; for an answer, the one call
	// that was answered.
	Suspects []Suspect
}

// IsAnswer reports whether the note is about an answer, not a crash.
func (n *Note) IsAnswer() bool { return n.Target == "" }

// Verdict is the finding that a call crashes targets.
type Verdict struct {
	Fingerprint Fingerprint
	Service     units.ServiceName
	// Targets are those that crashed with the call in flight, one after the other.
	Targets []units.TargetID
	// Doubtful is set if another call may be to blame, or none. One call should then
	// soon be let through as a trial.
	Doubtful bool
}

// WatchedCall is a call that the leader has boxes watch.
type WatchedCall struct {
	Call Fingerprint
	// Quarantined is set if boxes must not send the call to any target.
	Quarantined bool
	// Trial numbers a trial, for which one box may send the call to a target once; zero means no trial.
	Trial int
}
