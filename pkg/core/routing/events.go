// Package routing is the decision logic of an entry box: which target serves
// each call, when to hold it, when to refuse it, when to send it again. It is
// pure: calls, answers, time and the table come in as events, sends and answers
// go out as effects. A routed call makes no garbage.
package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// CallID names a call inside a router.
type CallID = container.Handle

// AttemptNumber numbers the sends of one call, from 1.
type AttemptNumber uint32

// Event is something that happened outside of the core. Events are passed by
// pointer, and may be used again once Reduce has returned.
type Event interface{ routingEvent() }

// Tick says that time has passed; it is due at NextWake.
type Tick struct{}

// TableChanged puts a new table in force.
type TableChanged struct{ Table *table.Table }

// LeaseChanged says until when the table may be trusted, and that it was known to be in force
// At.
type LeaseChanged struct{ Until, At units.Instant }

// RegionsChanged gives the regions of the failure domains anew.
type RegionsChanged struct{ Regions map[units.Domain]units.Region }

// StopPlanned says when the box will have stopped. From half of the time until then a
// call is taken only if it is sure to end before.
type StopPlanned struct{ Until units.Instant }

// CallArrived is a caller's call.
type CallArrived struct {
	// Owner is handed back with every effect on the call; the core doesn't look
	// at it.
	Owner any
	Host  []byte
	Path  []byte
	// Credential is the key that the call presents, if any.
	Credential apikey.Credential
	// Deadline is how long the caller will wait; zero means it didn't say.
	Deadline time.Duration
	// Identity tells the call apart from others by its content, as long as the call lives.
	// A call without one is never held responsible for a crash.
	Identity crash.Identity
}

// CallerGone says that the caller has hung up.
type CallerGone struct{ Call CallID }

// AttemptEnded says how a send ended. A streamed answer ends when its last byte
// has gone to the caller.
type AttemptEnded struct {
	Call    CallID
	Attempt AttemptNumber
	// Endpoint is the one that the call was sent to: what it said counts though the call may be
	// over. It is nil for the end of a streamed answer.
	Endpoint *Endpoint
	Result   AttemptResult
	// Reading is what the target said of itself, if it said anything.
	Reading Reading
	// Refused is set when the target's host refused the connection: nobody listens there.
	Refused bool
}

// AttemptStarted says that the head of an answer has come whose body will be
// streamed; the call belongs to this attempt from now on.
type AttemptStarted struct {
	Call     CallID
	Attempt  AttemptNumber
	Endpoint *Endpoint
	Reading  Reading
	// Remaining is how many bytes of the body are still to come; negative when the answer
	// doesn't say how long it is.
	Remaining int
}

// ProbeEnded says how a probe ended.
type ProbeEnded struct {
	Target  *Endpoint
	Healthy bool
	Reading Reading
	// Call and Attempt are those of the Probe effect; zero for one that no call waits
	// for.
	Call    CallID
	Attempt AttemptNumber
	// Unreachable is set when no connection could be made.
	Unreachable bool
	// Refused is set when the target's host refused it: nobody listens there.
	Refused bool
	// Answered is set when a whole answer came, whatever it says.
	Answered bool
	// Misdirected is set when another target answered at the address.
	Misdirected bool
}

// PeerLoan is a message from another box.
type PeerLoan struct {
	From    units.BoxID
	Message LoanMessage
}

func (*Tick) routingEvent()           {}
func (*TableChanged) routingEvent()   {}
func (*LeaseChanged) routingEvent()   {}
func (*RegionsChanged) routingEvent() {}
func (*StopPlanned) routingEvent()    {}
func (*CallArrived) routingEvent()    {}
func (*CallerGone) routingEvent()     {}
func (*AttemptEnded) routingEvent()   {}
func (*AttemptStarted) routingEvent() {}
func (*ProbeEnded) routingEvent()     {}
func (*PeerLoan) routingEvent()    {}

// AttemptResult says how a send ended.
type AttemptResult uint8

// The ways in which a send can end.
const (
	// Answered: a whole answer came, and it isn't a server error.
	Answered AttemptResult = iota + 1
	// Failed: a whole answer came that reports a server error.
	Failed
	// Shed: the target said that it didn't run the call.
	Shed
	// Misdirected: another target is at the address; it didn't run the call.
	Misdirected
	// NotSent: no byte can have reached the target.
	NotSent
	// Broken: a byte may have reached the target, and no whole answer came.
	Broken
	// Canceled: the core itself had the attempt canceled.
	Canceled
	// Withheld: nothing was sent, since the target has asked for rest, said that it leaves or named a
	// limit after it was chosen.
	Withheld
)

var resultNames = map[AttemptResult]string{
	Answered: "answered", Failed: "failed", Shed: "shed", Misdirected: "misdirected", NotSent: "not-sent",
	Broken: "broken", Canceled: "canceled", Withheld: "withheld",
}

// String returns the word that logs show.
func (r AttemptResult) String() string { return resultNames[r] }

// Reading is what a target says of itself in an answer.
type Reading struct {
	// HasLoad is set where the answer reports the target's load: InFlight, Slots and Pace.
	HasLoad bool
	// InFlight is the number of calls that the target said it had.
	InFlight float64
	// Slots is how many calls it works on at a time; zero when it didn't say.
	Slots float64
	// Pace is how long work takes there now, over the usual; zero when it didn't say.
	Pace float64
	// Cold is for how long the target stays cold; zero when it didn't say, or is warm.
	Cold time.Duration
	// Rest is for how long the target wants nothing more from this box; zero when it didn't ask.
	Rest time.Duration
	// Leaving is set when the target says that it is about to end.
	Leaving bool
	// Limit is what the target says of the calls that it takes from all boxes together.
	Limit ReportedLimit
}

// ReportedLimit is what one answer says of a target's limit: that it names one, by Rate, or that it
// names something that can't be read, or nothing.
type ReportedLimit struct {
	Present, Malformed bool
	Rate          units.CallRate
}

// Endpoint is a target of a service as the shell needs to know it. It is never
// changed; an edit makes a new one.
type Endpoint struct {
	Service units.ServiceName
	Target  units.TargetID
	Address string
	Domain  units.Domain
	// Registered is set for a target that registered by itself under its id.
	Registered bool
	// Born is the birth of the target's start, as far as it was known when the endpoint was made.
	Born units.WallTime
}

// Notice is what a target has told the box of itself.
type Notice struct {
	// RestUntil is until when it wants nothing; Leaving is set where it wants nothing at all any more.
	RestUntil units.Instant
	Leaving   bool
	// Limited is set where the target names a limit: nothing may be sent without a permit. Rate is
	// the limit.
	Limited bool
	Rate    units.CallRate
	// RestBegins, LeaveBegins, LimitBegins and LimitEnds are set where that is news; they are for
	// the log.
	RestBegins, LeaveBegins, LimitBegins, LimitEnds bool
}

// Selection is what a choice of a target rested on.
type Selection struct {
	// Load is how many calls the target seemed to have, Pace how long work seemed to
	// take there over the usual, Slowdown how much longer than elsewhere calls took.
	Load, Pace, Slowdown float64
	// ReadingAge is how old the target's last load report was; negative for none.
	ReadingAge time.Duration
	Revision   units.Revision
}

// EffectKind says what the shell is to do.
type EffectKind uint8

// The kinds of effect.
const (
	// Send the call to Endpoint, unless NotAfter has passed by then.
	Send EffectKind = iota + 1
	// Hold the call until another effect on it comes.
	Hold
	// Refuse the call with Refusal; the call is over.
	Refuse
	// Deliver the answer of Attempt; the call is over.
	Deliver
	// Keep the answer of Attempt, which has just ended: it may be delivered later.
	Keep
	// Cancel Attempt: cut its connection.
	Cancel
	// Probe Endpoint.
	Probe
	// EjectionChanged tells that Endpoint has been taken out of the common path, or has
	// come back; it is for the log.
	EjectionChanged
	// ServiceHangs tells that targets of Endpoint's service are found not to answer calls that
	// they can't queue; it is for the log.
	ServiceHangs
	// TargetCrashed tells that the process at Endpoint has ended under the calls that Crash
	// names; it is for the log.
	TargetCrashed
	// CallQuarantined tells that the box keeps a call from targets by its own verdict; it is for the
	// log.
	CallQuarantined
	// TargetNotice tells what the target at Endpoint wants by Notice: nothing that hasn't been sent
	// yet may be sent there until then.
	TargetNotice
	// SendLoan sends Loan to the box Peer.
	SendLoan
	// SendLimit sends Limit to the box Peer.
	SendLimit
	// SendQuota sends Quota to the box Peer.
	SendQuota
	// SendCanaryMessage sends Canary to the box Peer.
	SendCanaryMessage
	// ExposureSwitched tells that the box's exposure to a new version began or ended, by Turn;
	// it is for the log.
	ExposureSwitched
	// RegionUnknown tells that the region of Endpoint's failure domain isn't known; it is for
	// the log, once for each domain.
	RegionUnknown
)

// Effect is one thing for the shell to do.
type Effect struct {
	Kind     EffectKind
	Call     CallID
	Owner    any
	Attempt  AttemptNumber
	Endpoint *Endpoint
	// PermitUntil is until when a Send or Probe may begin at a target that names a limit; zero where
	// it named none as the target was chosen.
	PermitUntil units.Instant
	// Deadline is when the call must be answered.
	Deadline units.Instant
	// NotAfter is when the table that the choice rests on may be out of date.
	NotAfter units.Instant
	// Connections is how many connections this box may have to the endpoint; zero
	// means no limit.
	Connections int
	// AtMostOnce is set for a Send of work that must not run twice.
	AtMostOnce bool
	// Workspace is the one whose key let a call in that is sent or refused; empty for none.
	Workspace units.WorkspaceName
	// Aim is the aim of the call's route, zero for none; LargeAnswer is set where the route's
	// answers are large. Both are set for a Send.
	Aim         time.Duration
	LargeAnswer bool
	// ProbePath is what a probe asks for; empty means the box's own setting.
	ProbePath string
	// Ejected is set for a TargetTurned that takes the target out; Failures is how many
	// failures in a row there were, or how many unanswered calls for a ServiceHangs.
	Ejected  bool
	Failures int
	// Purpose says what a Send is for, Evidence what was known of its target.
	Purpose  Purpose
	Selection Selection
	Refusal  Refusal
	Peer     units.BoxID
	Loan     LoanMessage
	Limit    *LimitMessage
	Quota    *QuotaMessage
	Canary   *CanaryMessage
	ExposureSwitch     *ExposureSwitch
	Crash    *crash.Note
	Verdict  *crash.Verdict
	Notice   *Notice
}

// Effects collects what the shell is to do; it may be used again after Reset.
type Effects struct{ List []Effect }

// Reset empties the list and keeps its room.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}

func (e *Effects) add(x Effect) { e.List = append(e.List, x) }
