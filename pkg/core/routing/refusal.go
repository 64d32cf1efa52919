package routing

import (
	"net/http"
	"time"
)

// Outcome says what a refused caller may know of its call.
type Outcome uint8

// The outcomes that a refusal can name.
const (
	// NotRun: no target has run the call, nor will.
	NotRun Outcome = iota + 1
	// Unknown: a target may have run the call, or may be running it.
	Unknown
)

// String returns the word that callers see.
func (o Outcome) String() string {
	if o == NotRun {
		return "not-run"
	}
	return "unknown"
}

// Reason says why a call was refused.
type Reason uint8

// The reasons for a refusal; reasonTable says what each one means.
const (
	NoLease Reason = iota + 1
	NoService
	NoTarget
	TooManyHeld
	WaitTooLong
	HoldExpired
	DeadlinePassed
	AttemptBroken
	TargetShed
	NoTargetReached
	CallerDisconnected
	NoTable
	Stopping
	TargetsBusy
	Evacuated
	TooLate
	OtherVersions
	RolloutUnsure
	RegionNotAllowed
	Quarantined
	TargetsResting
	TargetsLimited
	UnknownKey
	KeysInDoubt
	QuotaExceeded
	reasonCount
)

// reasonInfo are what callers and operators get to see of a reason.
type reasonInfo struct {
	word string
	// status is the HTTP status of the refusal.
	status int
	remedy string
}

var reasonTable = [reasonCount]reasonInfo{
	NoLease:            {"no-lease", 503, "try another box; this one has lost touch with the control replicas"},
	NoService:          {"no-service", 404, "check the host name and path against the table"},
	NoTarget:           {"no-target", 503, "come back later; no target of this service takes work now"},
	TooManyHeld:        {"too-many-held", 503, "come back later; this box holds as many calls as the table allows"},
	WaitTooLong:        {"wait-too-long", 503, "come back later; the wait would be longer than the call may take"},
	HoldExpired:        {"hold-expired", 503, "come back later; no target became free in time"},
	DeadlinePassed:     {"deadline", 504, "allow more time, and find out what became of the call before sending it again"},
	AttemptBroken:      {"broken-answer", 502, "find out what became of the call before sending it again"},
	TargetShed:         {"target-shed", 503, "come back later; the target refused the call before running it"},
	NoTargetReached:    {"not-sent", 502, "come back later; no target could be reached"},
	NoTable:            {"no-table", 503, "try another box; this one has no table yet"},
	Stopping:           {"stopping", 503, "open a new connection; this box is about to stop"},
	TargetsBusy:        {"targets-busy", 503, "come back after the time given; all targets that were asked are full or slowed"},
	Evacuated:          {"evacuated", 503, "come back later; the failure domains of all targets of this service are evacuated"},
	TooLate:            {"too-late", 503, "come back when fewer calls come; the answer would miss the aim, and callers who have just come go first"},
	OtherVersions:      {"other-versions", 503, "come back later; no target of this service runs the version of its software that takes calls"},
	RolloutUnsure:      {"rollout-unsure", 503, "try another box; this one can't tell now which version of the service's software takes calls"},
	RegionNotAllowed:   {"region-not-allowed", 503, "come back later, or allow more regions; no target of this service is in a region that the route allows"},
	Quarantined:        {"quarantined", 503, "change the request or find out why targets crash when they run it; it goes to none until an operator releases it or it stays away"},
	TargetsResting:     {"targets-rest", 503, "come back after the time given; all targets of this service have asked for rest until then"},
	TargetsLimited:     {"targets-limited", 503, "come back after the time given; all targets of this service name limits, and others' calls use up what they allow"},
	UnknownKey:         {"unknown-key", 401, "send one API key of a workspace, in the documented header"},
	KeysInDoubt:        {"keys-in-doubt", 503, "try another box; this one has lost touch with the control replicas and can't know which keys hold"},
	QuotaExceeded:      {"quota-spent", 429, "come back after the time given; the workspace's calls use up what it may send"},
	CallerDisconnected: {"caller-gone", 499, "nothing; the caller hung up"},
}

// String returns the word for a reason.
func (r Reason) String() string { return reasonTable[r].word }

// Status returns the HTTP status of a refusal for this reason.
func (r Reason) Status() int { return reasonTable[r].status }

// Status returns the HTTP status of the refusal. A call that hasn't run gets a status that
// says so, whatever kept it from running; one that may have run never does.
func (r Refusal) Status() int {
	status := r.Reason.Status()
	switch {
	case r.Outcome == NotRun && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout):
		return http.StatusServiceUnavailable
	case r.Outcome == Unknown && status == http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return status
}

// Remedy says what the caller can do.
func (r Reason) Remedy() string { return reasonTable[r].remedy }

// Reasons returns all reasons, in order.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := Reason(1); r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Refusal is a final answer of the box's own.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}
