package crash

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Suspect is a call that was under way at a target when the target crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// SentBefore is how long before the crash the call was sent to the target.
	SentBefore time.Duration
}

// Note is something that a box has seen: a crash of a target, or an answer to a call that is a
// suspect. Boxes that note the same crash name the calls that each of them had at the
// target.
type Note struct {
	// Box, Start and Number name the note: a box, one of its starts, and that one's count from 1.
	Box    units.BoxID
	Start  uint64
	Number uint64
	// At is when it happened, by the clock of whoever holds the note.
	At units.Instant
	// Service and Target are those of a crash; both are empty for an answer.
	Service units.ServiceName
	Target  units.TargetID
	// Suspects are the calls that were under way at the crash; of an answer it is the one call
	// that a target ran to an answer.
	Suspects []Suspect
}

// IsAnswer tells whether the note is of an answer.
func (n *Note) IsAnswer() bool { return n.Target == "" }

// Verdict says that targets crash because of a call.
type Verdict struct {
	Fingerprint Fingerprint
	Service     units.ServiceName
	// Targets are those that crashed under it, one after the other.
	Targets []units.TargetID
	// Doubtful is set where another call may be to blame as well, or none: one call should soon
	// be let through to see.
	Doubtful bool
}

// WatchedCall is a call that the leader has boxes watch.
type WatchedCall struct {
	Call Fingerprint
	// Quarantined is set where boxes must send it nowhere.
	Quarantined bool
	// Trial lets one box send the call to a target once; zero for no trial.
	Trial int
}
