// Package routing contains the routing decisions of an entry box: which target serves each call,
// and when to hold, refuse, retry or hedge it. It does no I/O: calls, answers, time and the table
// come in as events, and what is to be done goes out as effects, which the caller of Reduce, the
// shell, carries out. Routing a call allocates no memory.
package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// CallID identifies a call within a router.
type CallID = container.Handle

// AttemptNumber numbers the sends of one call, from 1.
type AttemptNumber uint32

// Event is something that happened outside of the router. Events are passed by pointer and may be
// reused once Reduce has returned.
type Event interface{ routingEvent() }

// Tick reports that time has passed; it is due at NextWake.
type Tick struct{}

// TableChanged replaces the current table.
type TableChanged struct{ Table *table.Table }

// LeaseChanged updates the lease on the table: the table may be used until Until, and was known to
// be current at At.
type LeaseChanged struct{ Until, At units.Instant }

// RegionsChanged replaces the regions of the failure domains.
type RegionsChanged struct{ Regions map[units.Domain]units.Region }

// StopPlanned announces when the box will have stopped. The router accepts work that must not run twice only if it is
// sure to end before, and in the second half of the time until then any work.
type StopPlanned struct{ Until units.Instant }

// CapacityChanged reports whether calls need more than the box's own link or processor can carry. Short
// is set until some time after it last refused connections for that.
type CapacityChanged struct{ Short bool }

// CallArrived is a new call of a caller.
type CallArrived struct {
	// Owner is passed back with every effect on the call; the router doesn't use it.
	Owner any
	Host  []byte
	Path  []byte
	// Credential is the key that the call presents, if any.
	Credential apikey.Credential
	// Deadline is how long the caller will wait; zero if it set no deadline.
	Deadline time.Duration
	// Identity distinguishes the call from others by its content for as long as the call lives. A
	// call without one is never held responsible for a crash.
	Identity crash.Identity
	// Relayed is set if another box relayed the call to this one.
	Relayed *RelayedCall
	// Streamed is set if the call's body is read while it is sent, so that it can be sent once only.
	Streamed bool
}

// CallerGone reports that the caller has closed its connection.
type CallerGone struct{ Call CallID }

// AttemptEnded reports how a send ended. A streamed answer ends once its last byte has gone to the
// caller.
type AttemptEnded struct {
	Call    CallID
	Attempt AttemptNumber
	// Endpoint is where the call was sent; the report is used even if the call is over. It is nil
	// for the end of a streamed answer.
	Endpoint *Endpoint
	Result   AttemptResult
	// Report is the target's report on itself, if the answer had one.
	Report TargetReport
	// Refused is set if the target's host refused the connection, so that no process listens there.
	Refused bool
	// Unreachable is set when no connection could be made.
	Unreachable bool
	// Declined is the refusal of the other box, for a relay that it declined.
	Declined Refusal
	// HelperLoad is the number of other boxes' calls in flight at the box that the call was relayed
	// to, by its answer; negative if it isn't known.
	HelperLoad int
	// BodyTime is how long a streamed body took to be sent.
	BodyTime time.Duration
}

// AttemptStarted reports that the headers of an answer have arrived whose body will be streamed;
// from then on no other attempt can answer the call.
type AttemptStarted struct {
	Call     CallID
	Attempt  AttemptNumber
	Endpoint *Endpoint
	Report   TargetReport
	// Remaining is the number of body bytes still to come; negative if the answer doesn't give its
	// length.
	Remaining int
	// BodyTime is how long a streamed body took to be sent so far.
	BodyTime time.Duration
}

// ProbeEnded reports how a probe ended.
type ProbeEnded struct {
	Target  *Endpoint
	Healthy bool
	Report  TargetReport
	// Call and Attempt are copied from the Probe effect; zero if no call waits for the probe.
	Call    CallID
	Attempt AttemptNumber
	// Unreachable is set when no connection could be made.
	Unreachable bool
	// Refused is set if the target's host refused the connection, so that no process listens there.
	Refused bool
	// Answered is set if a complete answer came, whatever its status.
	Answered bool
	// Misdirected is set when another target answered at the address.
	Misdirected bool
	// SentAt is copied from the Probe effect.
	SentAt units.Instant
	// Withheld is set if the probe wasn't sent for a reason of the box's own.
	Withheld bool
}

// PeerLoan is a LoanMessage received from another box.
type PeerLoan struct {
	From    units.BoxID
	Message LoanMessage
}

func (*Tick) routingEvent()            {}
func (*TableChanged) routingEvent()    {}
func (*LeaseChanged) routingEvent()    {}
func (*RegionsChanged) routingEvent()  {}
func (*StopPlanned) routingEvent()     {}
func (*CapacityChanged) routingEvent() {}
func (*CallArrived) routingEvent()     {}
func (*CallerGone) routingEvent()      {}
func (*AttemptEnded) routingEvent()    {}
func (*AttemptStarted) routingEvent()  {}
func (*ProbeEnded) routingEvent()      {}
func (*PeerLoan) routingEvent()        {}

// AttemptResult is the way a send ended.
type AttemptResult uint8

// The results of a send.
const (
	// Answered: a complete answer came that isn't a server error.
	Answered AttemptResult = iota + 1
	// Failed: a complete answer came that is a server error.
	Failed
	// Shed: the target answered that it didn't run the call.
	Shed
	// Misdirected: another target is at the address; it didn't run the call.
	Misdirected
	// NotSent: no byte can have reached the target.
	NotSent
	// Broken: a byte may have reached the target, and no complete answer came.
	Broken
	// Canceled: the router itself canceled the attempt.
	Canceled
	// Withheld: nothing was sent, because after its selection the target asked for a rest,
	// announced its shutdown or announced a limit.
	Withheld
	// Declined: the box that the call was relayed to refused it.
	Declined
)

var resultNames = map[AttemptResult]string{
	Answered: "answered", Failed: "failed", Shed: "shed", Misdirected: "misdirected", NotSent: "not-sent",
	Broken: "broken", Canceled: "canceled", Withheld: "withheld", Declined: "declined",
}

// String returns the result's name in the log.
func (r AttemptResult) String() string { return resultNames[r] }

// TargetReport is what a target reports about itself in an answer.
type TargetReport struct {
	// HasLoad is set if the answer has a load report: InFlight, Slots and Pace.
	HasLoad bool
	// InFlight is the number of calls in flight at the target.
	InFlight float64
	// Slots is the number of calls that the target runs at a time; zero if not reported.
	Slots float64
	// Pace is the target's current run time of calls divided by the usual one; zero if not
	// reported.
	Pace float64
	// Cold is how long the target will still be slow after its start; zero if it is warm or doesn't
	// report it.
	Cold time.Duration
	// Rest is how long this box should send the target nothing; zero if it doesn't ask for a rest.
	Rest time.Duration
	// Leaving is set if the target announces that it is about to shut down.
	Leaving bool
	// Limit is the target's rate limit for all boxes together.
	Limit ReportedLimit
}

// ReportedLimit is the rate limit in one answer of a target: Present is set if there is one, of
// Rate, Malformed if there is one that can't be parsed.
type ReportedLimit struct {
	Present, Malformed bool
	Rate               units.CallRate
}

// Endpoint identifies a target of a service to the shell. It is immutable; an edit of the target
// creates a new one.
type Endpoint struct {
	Service units.ServiceName
	Target  units.TargetID
	Address string
	Domain  units.Domain
	// Registered is set for a target that registered itself under its id.
	Registered bool
	// Born is when the target's process started, as far as that was known when the endpoint was
	// created.
	Born units.WallTime
	// Relay is the other box that a call is relayed to; empty for a target.
	Relay units.BoxID
}

// Notice is what a target has requested from the box or announced to it.
type Notice struct {
	// RestUntil is until when nothing may be sent to the target; Leaving is set if it is shutting
	// down and nothing may be sent any more.
	RestUntil units.Instant
	Leaving   bool
	// Limited is set if the target announces a limit, of Rate: nothing may be sent without a
	// permit.
	Limited bool
	Rate    units.CallRate
	// RestBegins, LeaveBegins, LimitBegins and LimitEnds mark what has changed, for the log.
	RestBegins, LeaveBegins, LimitBegins, LimitEnds bool
}

// Selection is the data on which the selection of a target was based.
type Selection struct {
	// Load is the estimated number of calls at the target. Pace is the estimated run time of calls
	// there divided by the usual one. Slowdown is the measured ratio of call times there to those
	// at other targets.
	Load, Pace, Slowdown float64
	// ReportAge is the age of the target's last load report; negative if there is none.
	ReportAge time.Duration
	Revision  units.Revision
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of Effect.
const (
	// Send the call to Endpoint, unless NotAfter has passed by then.
	Send EffectKind = iota + 1
	// Hold the call until the next effect on it.
	Hold
	// Refuse the call with Refusal; the call is over.
	Refuse
	// Deliver the answer of Attempt; the call is over.
	Deliver
	// Keep the answer of Attempt, which has just ended: it may be delivered later.
	Keep
	// Cancel Attempt: close its connection.
	Cancel
	// Probe Endpoint.
	Probe
	// EjectionChanged reports, for the log, that Endpoint was ejected or readmitted.
	EjectionChanged
	// ServiceHangs reports, for the log, that targets of Endpoint's service were found to leave
	// calls unanswered instead of queueing them.
	ServiceHangs
	// TargetCrashed reports, for the log, that the process at Endpoint ended while it ran the calls
	// that Crash names.
	TargetCrashed
	// CallQuarantined reports, for the log, that the box itself decided to keep a call from
	// targets; see Verdict.
	CallQuarantined
	// TargetNotice reports that the notice of the target at Endpoint is now Notice. It also applies
	// to calls that have been selected for the target and not yet sent.
	TargetNotice
	// SendLoanMessage sends Loan to the box Peer.
	SendLoanMessage
	// SendLimitMessage sends Limit to the box Peer.
	SendLimitMessage
	// SendQuotaMessage sends Quota to the box Peer.
	SendQuotaMessage
	// SendCanaryMessage sends Canary to the box Peer.
	SendCanaryMessage
	// SendReachMessage sends ReachMessage to the box Peer.
	SendReachMessage
	// SendTokenMessage sends Tokens to the box Peer.
	SendTokenMessage
	// ExposureSwitched reports, for the log, that the box's exposure to a new version began or
	// ended; see ExposureSwitch.
	ExposureSwitched
	// ReachChanged reports, for the log, that the box lost or regained its links to targets; see
	// Reach.
	ReachChanged
	// SearchEnded reports, for the log, that other boxes were found to reach targets that this one is
	// cut off from, or that none seems to; see Reach.
	SearchEnded
	// RegionUnknown reports, for the log and once for each failure domain, that the region of
	// Endpoint's failure domain isn't known.
	RegionUnknown
)

// Effect is one action for the shell to carry out.
type Effect struct {
	Kind     EffectKind
	Call     CallID
	Owner    any
	Attempt  AttemptNumber
	Endpoint *Endpoint
	// PermitUntil is when the permit of a Send or Probe expires; zero if the target announced no
	// limit when it was selected.
	PermitUntil units.Instant
	// Deadline is when the call must be answered.
	Deadline units.Instant
	// NotAfter is when the table on which the selection was based may be out of date.
	NotAfter units.Instant
	// Connections is the maximum number of connections from this box to the endpoint; zero means no
	// limit.
	Connections int
	// AtMostOnce is set for a Send of work that must not run twice.
	AtMostOnce bool
	// Workspace is the workspace whose key admitted the call that is sent or refused; empty if
	// there is none.
	Workspace units.WorkspaceName
	// LatencyObjective is that of the call's route, zero for none; LargeAnswer is set if the
	// route's answers are large. Both are set for a Send.
	LatencyObjective time.Duration
	LargeAnswer      bool
	// ProbePath is the path that a probe requests; empty means the box's default.
	ProbePath string
	// SentAt is the time of a Probe.
	SentAt units.Instant
	// NewConnection is set for a Probe that must not use an open connection, ConnectOnly for one that
	// only opens it.
	NewConnection, ConnectOnly bool
	// Relay describes the call to the box that a Send relays it to, Helpers are the standings of the
	// other boxes then.
	Relay   RelayedCall
	Helpers *HelperSurvey
	// RelaysInFlight is the number of other boxes' calls in flight here, with the answer or refusal of
	// one of them.
	RelaysInFlight int
	// Ejected is set for an EjectionChanged if the target was ejected. Failures is the number of
	// consecutive failures, or for a ServiceHangs the number of unanswered calls.
	Ejected  bool
	Failures int
	// Purpose is the reason for a Send, Selection the data on which the selection of its target was
	// based.
	Purpose        Purpose
	Selection      Selection
	Refusal        Refusal
	Peer           units.BoxID
	Loan           LoanMessage
	Limit          *LimitMessage
	Quota          *QuotaMessage
	Canary         *CanaryMessage
	ReachMessage   *ReachMessage
	Tokens         *TokenMessage
	ExposureSwitch *ExposureSwitch
	Crash          *crash.Note
	Verdict        *crash.Verdict
	Notice         *Notice
	Reach          *ReachChange
}

// Effects collects what the shell is to do; it may be reused after Reset.
type Effects struct{ List []Effect }

// Reset empties the list and keeps its capacity.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}

func (e *Effects) add(x Effect) { e.List = append(e.List, x) }
