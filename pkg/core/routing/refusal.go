package routing

import (
	"net/http"
	"time"
)

// Outcome is what a refused caller is informed of: whether its call may have been run.
type Outcome uint8

// The outcomes that a refusal can name.
const (
	// NotRun: no target has run the call, nor will.
	NotRun Outcome = iota + 1
	// Unknown: a target may have run the call, or may be running it.
	Unknown
)

// String returns the outcome as it is shown to callers.
func (o Outcome) String() string {
	if o == NotRun {
		return "not-run"
	}
	return "unknown"
}

// Reason is why a call was refused.
type Reason uint8

// The reasons for a refusal; reasonTable describes each of them.
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
	UnknownVersion
	RegionNotAllowed
	Quarantined
	TargetsResting
	TargetsLimited
	UnknownKey
	StaleKeys
	QuotaExceeded
	Unreachable
	RelayLimit
	StaleTable
	BodyMemory
	ConnectionClosed
	BodyTooLate
	BodyTooSlow
	reasonCount
)

// reasonInfo is what callers and operators see of a reason.
type reasonInfo struct {
	name string
	// status is the HTTP status of the refusal.
	status int
	remedy string
}

var reasonTable = [reasonCount]reasonInfo{
	NoLease:            {"no-lease", 503, "try another box; this one has lost contact with the control replicas"},
	NoService:          {"no-service", 404, "check the host name and path against the table"},
	NoTarget:           {"no-target", 503, "retry later; no target of this service accepts calls now"},
	TooManyHeld:        {"too-many-held", 503, "retry later; this box holds as many calls as the table allows"},
	WaitTooLong:        {"wait-too-long", 503, "retry later; the expected wait exceeds the time that the call may take"},
	HoldExpired:        {"hold-expired", 503, "retry later; no target became free in time"},
	DeadlinePassed:     {"deadline", 504, "allow more time, and find out whether the call was run before sending it again"},
	AttemptBroken:      {"broken-answer", 502, "find out whether the call was run before sending it again"},
	TargetShed:         {"target-shed", 503, "retry later; the target refused the call before running it"},
	NoTargetReached:    {"not-sent", 502, "retry later; no target could be reached"},
	NoTable:            {"no-table", 503, "try another box; this one has no table yet"},
	Stopping:           {"stopping", 503, "open a new connection; this box is about to stop"},
	TargetsBusy:        {"targets-busy", 503, "retry after the given time; all targets that were probed are full or slow"},
	Evacuated:          {"evacuated", 503, "retry later; the failure domains of all targets of this service are evacuated"},
	TooLate:            {"too-late", 503, "retry when the load is lower; the answer would miss the aim, and first tries of other callers take precedence"},
	OtherVersions:      {"other-versions", 503, "retry later; no target of this service runs the version of its software that is in force"},
	UnknownVersion:     {"rollout-unsure", 503, "try another box; this one doesn't know at present which version of the service's software is in force"},
	RegionNotAllowed:   {"region-not-allowed", 503, "retry later, or allow more regions; no target of this service is in a region that the route allows"},
	Quarantined:        {"quarantined", 503, "change the request or find out why targets crash when they run it; it is sent to none until an operator releases it or it hasn't been sent for some time"},
	TargetsResting:     {"targets-rest", 503, "retry after the given time; all targets of this service have asked for no calls until then"},
	TargetsLimited:     {"targets-limited", 503, "retry after the given time; all targets of this service have rate limits, which other calls use up"},
	UnknownKey:         {"unknown-key", 401, "send one API key of a workspace, in the documented header"},
	StaleKeys:          {"keys-in-doubt", 503, "try another box; this one has lost contact with the control replicas and can't know which keys are valid"},
	QuotaExceeded:      {"quota-spent", 429, "retry after the given time; the workspace's calls have used up its quota"},
	Unreachable:        {"unreachable", 503, "retry after the given time; neither this box nor others that it asked can reach a target of this service"},
	RelayLimit:         {"relay-limit", 503, "retry later; this box serves as many calls of other boxes as it may"},
	StaleTable:         {"stale-table", 503, "try another box; this one has an older table than the box that relayed the call"},
	BodyMemory:         {"body-memory", 503, "retry after the given time; other calls' bodies take the memory that this box has for them"},
	ConnectionClosed:   {"connection-closed", 503, "open a new connection; this box was closing this one, since it has too many calls, when the call came"},
	BodyTooLate:        {"body-too-late", 503, "retry after the given time, or allow more time; this box's link can't carry the body beside others until the deadline"},
	BodyTooSlow:        {"body-too-slow", 408, "allow more time, or send the body faster; at this rate it doesn't come before the deadline"},
	CallerDisconnected: {"caller-gone", 499, "none; the caller disconnected"},
}

// String returns the reason as it is shown to callers and operators.
func (r Reason) String() string { return reasonTable[r].name }

// Status returns the HTTP status of a refusal for this reason.
func (r Reason) Status() int { return reasonTable[r].status }

// Status returns the HTTP status of the refusal. Statuses that promise that the call hasn't run are
// used for those calls only, and always for them, whatever the reason.
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

// Remedy returns advice for the caller.
func (r Reason) Remedy() string { return reasonTable[r].remedy }

// Reasons returns all reasons, in order.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := Reason(1); r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// ReasonNamed returns the reason of a name; zero if there is none.
func ReasonNamed(name string) Reason {
	for _, r := range Reasons() {
		if r.String() == name {
			return r
		}
	}
	return 0
}

// Refusal is an answer of the box itself in place of one from a target. It is final.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Arrivals is the number of sends that may have reached a target.
	Arrivals int
	// Helpers are the standings of the other boxes, for a call that is refused as unreachable.
	Helpers *HelperSurvey
	// Search is what was known about the targets, for a call that is refused because they are busy.
	Search *TargetSearch
}
