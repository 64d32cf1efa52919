package crash

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Suspect is a call that was under way at a target when the target crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// Sent is how long before the crash the call was sent to the target.
	Sent time.Duration
}

// Report is what one box knows of one crash of a target. Boxes that report the same crash
// name the calls that each of them had at the target.
type Report struct {
	Target units.TargetID
	// At is when the box's calls there broke off, by the clock of whoever holds the report.
	At       units.Instant
	Suspects []Suspect
}
