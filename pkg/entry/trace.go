package entry

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/target"
	"github.com/madderpond/madderpond/pkg/units"
)

// The decisions on a call are kept while it is in this box, and logged once it
// has ended. Calls that were refused, or answered by a later attempt than the first, are always logged;
// of the others, the ordinary ones, one in traceSampleInterval.

const (
	// maxSteps bounds the steps kept per call.
	maxSteps = 32
	// typicalSteps is the initial capacity for a call's steps: two probes with their answers, a
	// send, its end and the delivery.
	typicalSteps = 7
	// traceSampleInterval is the number of ordinary calls per one that is logged.
	traceSampleInterval = 64
)

// step is one decision on a call, or its result.
type step struct {
	at        units.Instant
	kind      string
	attempt   routing.AttemptNumber
	endpoint  *routing.Endpoint
	purpose   routing.Purpose
	selection routing.Selection
	// workspace is the workspace that the call belongs to, for a send or a refusal; empty for none.
	workspace units.WorkspaceName
	result    routing.AttemptResult
	refusal   routing.Refusal
	probe     routing.ProbeEnded
	// box is the box that relayed the call to this one, declined the refusal of the box that it was
	// relayed to.
	box      units.BoxID
	declined routing.Refusal
	// helpers are the standings of the other boxes, for a relay and for a refusal as unreachable.
	helpers *routing.HelperSurvey
	// report is what the target reported in its answer. unreadRest and unreadLimit are the values it
	// sent for its rest and its limit if they couldn't be parsed.
	report                  routing.TargetReport
	unreadRest, unreadLimit string
	// breakErr is why the answer of an attempt that broke off couldn't be read; nil if that isn't known.
	breakErr error
	// fingerprint is set for an attempt that broke off and for a call in quarantine. request and
	// caller are set for the latter only; operators need them to find out who sends the call.
	fingerprint, request, caller string
}

// The kinds of steps, as they are logged.
const (
	stepArrived       = "call-arrived"
	stepProbeSent     = "probe-sent"
	stepProbeAnswered = "probe-answered"
	stepSent          = "call-sent"
	stepEnded         = "attempt-ended"
	stepCanceled      = "attempt-canceled"
	stepDelivered     = "call-delivered"
	stepRefused       = "call-refused"
	stepRelayed       = "call-relayed"
	stepRelayReceived = "relay-received"
)

func (c *call) recordStep(s step) {
	if c.steps == nil {
		c.steps = make([]step, 0, typicalSteps)
	}
	if len(c.steps) < maxSteps {
		c.steps = append(c.steps, s)
	}
}

// endStep returns the step for the end of an attempt. It must be called under the entry's lock,
// because it reads the request, which is valid only until the call is answered.
func (c *call) endStep(now units.Instant, finished send, result routing.AttemptResult) step {
	a := finished.attempt
	s := step{
		at: now, kind: stepEnded, attempt: finished.number, result: result,
		declined: a.Declined, report: a.Report, unreadRest: a.UnreadableRest, unreadLimit: a.UnreadableLimit,
		breakErr: a.BreakErr,
	}
	if result == routing.Broken && !c.answered {
		s.fingerprint = crash.FingerprintOf(&c.identity).String()
	}
	return s
}

// recordEffect adds a step for an effect to its call, if it belongs to one.
func (e *Entry) recordEffect(x *routing.Effect) {
	c, ok := x.Owner.(*call)
	if !ok {
		return
	}
	s := step{at: e.Clock.Now(), attempt: x.Attempt, endpoint: x.Endpoint}
	switch x.Kind {
	case routing.Send:
		s.kind, s.purpose, s.selection, s.workspace = stepSent, x.Purpose, x.Selection, x.Workspace
		if x.Endpoint.Relay != "" {
			s.kind, s.helpers = stepRelayed, x.Helpers
		}
	case routing.Refuse:
		s.kind, s.refusal, s.workspace, s.helpers = stepRefused, x.Refusal, x.Workspace, x.Refusal.Helpers
		if x.Refusal.Reason == routing.Quarantined && !c.answered {
			c.addRequestDetails(&s)
		}
	case routing.Deliver:
		s.kind = stepDelivered
	case routing.Cancel:
		s.kind = stepCanceled
	case routing.Probe:
		s.kind = stepProbeSent
	default:
		return
	}
	c.recordStep(s)
}

// addRequestDetails sets the step's fingerprint, request and caller. It must be called before the
// call is answered.
func (c *call) addRequestDetails(s *step) {
	i := &c.identity
	s.fingerprint = crash.FingerprintOf(i).String()
	s.request = fmt.Sprintf("%s %s%.*s", i.ctx.Method(), i.ctx.Host(), maxLoggedPath, i.ctx.RequestURI())
	s.caller = i.ctx.RemoteIP().String()
}

// maxLoggedPath bounds the bytes of a path in a log line.
const maxLoggedPath = 200

// recordProbe adds a step for the answer to a probe that was sent for a call.
func (e *Entry) recordProbe(x *routing.Effect, ended *routing.ProbeEnded) {
	c, ok := x.Owner.(*call)
	if !ok {
		return
	}
	s := step{kind: stepProbeAnswered, endpoint: x.Endpoint, attempt: x.Attempt, probe: *ended}
	e.lock.Lock()
	defer e.lock.Unlock()
	s.at = e.Clock.Now()
	c.recordStep(s)
}

// logTable logs the table that is in force here, once for each revision.
func (e *Entry) logTable() {
	t := e.core.Subscription().Table()
	if t.Revision == e.loggedRevision {
		return
	}
	e.loggedRevision = t.Revision
	e.Log.WithFields(logrus.Fields{
		"kind": "table-in-force", "revision": t.Revision, "document": t.Document, "services": len(t.Services),
		"routes": len(t.Routes), "boxes": len(t.Boxes), "evacuated": t.EvacuatedDomains(), "quarantines": len(t.Quarantines),
	}).Info("a new table is in force")
}

// logHealthChange logs that a target was ejected, or is back in use.
func (e *Entry) logHealthChange(x *routing.Effect) {
	kind := "target-back"
	if x.Ejected {
		kind = "target-ejected"
	}
	e.Log.WithFields(logrus.Fields{
		"kind": kind, "service": x.Endpoint.Service, "target": x.Endpoint.Target, "failures": x.Failures,
	}).Info("a target's health has changed")
}

// logCrash logs that a target crashed while calls of this box were in flight there, with the
// fingerprints of these calls.
func (e *Entry) logCrash(x *routing.Effect) {
	suspects := make([]string, 0, len(x.Crash.Suspects))
	for _, s := range x.Crash.Suspects {
		suspects = append(suspects, s.Fingerprint.String())
	}
	e.Log.WithFields(logrus.Fields{
		"kind": "target-crashed", "service": x.Endpoint.Service, "target": x.Endpoint.Target, "suspects": suspects,
	}).Warning("a target's process ended while calls of this box were in flight there")
}

// applyNotice withholds sends that haven't started yet from a target that leaves, rests or is
// limited, and logs the change.
func (e *Entry) applyNotice(x *routing.Effect) {
	n := x.Notice
	withholdCallsUntil := n.RestUntil
	if n.Leaving {
		// No call that was assigned to the target before this moment is sent later than this.
		withholdCallsUntil = max(withholdCallsUntil, e.Clock.Now().Add(e.Settings.Entry.MaxDeadline.Std()))
	}
	e.pools.Withhold(x.Endpoint, target.Withholding{CallsUntil: withholdCallsUntil, ProbesUntil: n.RestUntil, Limited: n.Limited})
	f := logrus.Fields{"service": x.Endpoint.Service, "target": x.Endpoint.Target}
	if n.LeaveBegins {
		f["kind"] = "target-leaves"
		e.Log.WithFields(f).Info("a target announced that it is about to stop; this box sends it no more calls")
	}
	if n.RestBegins {
		f["kind"], f["restMs"] = "target-rests", millis(e.Clock.Until(n.RestUntil))
		e.Log.WithFields(f).Info("a target asked for rest; this box sends it nothing until the rest ends")
	}
	if n.LimitBegins {
		f["kind"], f["limit"] = "target-limited", roundToHundredths(float64(n.Rate))
		e.Log.WithFields(f).Info("a target announced a limit for all boxes together; this box sends it nothing without a permit")
	}
	if n.LimitEnds {
		f["kind"] = "target-unlimited"
		e.Log.WithFields(f).Info("the limit of a target has ended")
	}
}

// logBlamedCall logs that this box quarantines a call on its own evidence, since it has lost contact
// with the leader.
func (e *Entry) logBlamedCall(x *routing.Effect) {
	e.Log.WithFields(logrus.Fields{
		"kind": "call-blamed", "service": x.Verdict.Service, "call": x.Verdict.Fingerprint.String(), "targets": x.Verdict.Targets,
	}).Warning("this box quarantined a call on its own evidence, because targets crashed while it was in flight")
}

// logExposure logs that this box begins or stops sending calls to a new version.
func (e *Entry) logExposure(x *routing.ExposureSwitch) {
	kind, text := "exposure-ended", "calls may no longer be sent to the new version"
	switch {
	case x.Active:
		kind, text = "exposure-began", "calls may be sent to the new version"
	case x.Stopped:
		kind, text = "exposure-stopped", "this box stopped sending calls to the new version after bad answers"
	}
	e.Log.WithFields(logrus.Fields{
		"kind": kind, "service": x.Service, "software": x.Software, "order": x.Order, "share": x.Share, "good": x.Good, "bad": x.Bad,
	}).Info(text)
}

// logHangingService logs that a service's targets seem not to answer calls that exceed their
// capacity, with the evidence for it.
func (e *Entry) logHangingService(x *routing.Effect) {
	e.Log.WithFields(logrus.Fields{
		"kind": "service-hangs", "service": x.Endpoint.Service, "target": x.Endpoint.Target, "unanswered": x.Failures,
		"ahead": roundToHundredths(x.Selection.Load), "overPatience": roundToHundredths(x.Selection.Slowdown), "revision": x.Selection.Revision,
	}).Warning("targets of a service don't answer some calls although they serve others; they may hang when at capacity")
}

// logTrace logs a call's steps; of ordinary calls only a sample.
func (e *Entry) logTrace(c *call, ordinary bool) {
	if ordinary && e.ordinaryCalls.Add(1)%traceSampleInterval != 0 {
		return
	}
	id := string(c.request.Header.Peek(e.Settings.Entry.CallIDHeader))
	e.lock.Lock()
	steps := slices.Clone(c.steps)
	e.lock.Unlock()
	for i := range steps {
		s := &steps[i]
		e.Log.WithFields(s.fields(id, c.arrivedAt)).Info("call")
	}
}

// fields returns the fields of a step's log line.
func (s *step) fields(id string, arrived units.Instant) logrus.Fields {
	f := logrus.Fields{"kind": s.kind, "call": id, "afterMs": millis(s.at.Sub(arrived))}
	if s.endpoint != nil {
		f["service"] = s.endpoint.Service
		if s.endpoint.Relay != "" {
			f["via"] = s.endpoint.Relay
		} else {
			f["target"] = s.endpoint.Target
		}
	}
	if s.box != "" {
		f["from"] = s.box
	}
	if s.attempt > 0 {
		f["attempt"] = s.attempt
	}
	if s.workspace != "" {
		f["workspace"] = s.workspace
	}
	if s.helpers != nil {
		f["ownDomain"], f["otherDomains"] = s.helpers.OwnDomain.String(), s.helpers.OtherDomains.String()
	}
	switch s.kind {
	case stepSent:
		f["purpose"] = s.purpose.String()
		f["load"], f["pace"], f["slowdown"] = roundToHundredths(s.selection.Load), roundToHundredths(s.selection.Pace), roundToHundredths(s.selection.Slowdown)
		f["readingAgeMs"], f["revision"] = millis(s.selection.ReportAge), s.selection.Revision
	case stepProbeAnswered:
		f["known"], f["healthy"], f["unreachable"] = s.probe.Report.HasLoad, s.probe.Healthy, s.probe.Unreachable
		f["misdirected"], f["load"], f["pace"] = s.probe.Misdirected, s.probe.Report.InFlight, roundToHundredths(s.probe.Report.Pace)
		f["coldMs"] = millis(s.probe.Report.Cold)
		addReportFields(f, &s.probe.Report)
	case stepEnded:
		f["result"] = s.result.String()
		if s.result == routing.Declined {
			f["reason"], f["outcome"] = s.declined.Reason.String(), s.declined.Outcome.String()
		}
		if s.breakErr != nil {
			f["error"] = s.breakErr.Error()
		}
		addReportFields(f, &s.report)
		if s.unreadRest != "" {
			f["unreadRest"] = s.unreadRest
		}
		if s.unreadLimit != "" {
			f["unreadLimit"] = s.unreadLimit
		}
		if s.fingerprint != "" {
			f["fingerprint"] = s.fingerprint
		}
	case stepRefused:
		f["reason"], f["outcome"], f["retryAfterMs"] = s.refusal.Reason.String(), s.refusal.Outcome.String(), millis(s.refusal.RetryAfter)
		if s.refusal.Search != nil {
			addSearchFields(f, s.refusal.Search)
		}
		if s.fingerprint != "" {
			f["fingerprint"], f["request"], f["caller"] = s.fingerprint, s.request, s.caller
		}
	}
	return f
}

// addReportFields adds the rest, the leaving and the limit that a target reported, if any, to a
// log line.
func addReportFields(f logrus.Fields, report *routing.TargetReport) {
	if report.Rest > 0 {
		f["restMs"] = millis(report.Rest)
	}
	if report.Leaving {
		f["leaving"] = true
	}
	if report.Limit.Present {
		f["limit"] = roundToHundredths(float64(report.Limit.Rate))
	}
}

func millis(d time.Duration) float64 {
	return roundToHundredths(float64(d) / float64(time.Millisecond))
}

// roundToHundredths truncates to two decimal places, to keep log lines short.
func roundToHundredths(x float64) float64 { return float64(int64(x*100)) / 100 }

// addSearchFields adds to a log line what was known about targets when a call was refused because
// they were busy.
func addSearchFields(f logrus.Fields, x *routing.TargetSearch) {
	f["probes"], f["searchLimit"] = x.Probes, x.Limit.String()
	f["probesLeft"], f["probeRate"] = roundToHundredths(x.ProbesLeft), roundToHundredths(x.ProbeRate)
	f["probesBorrowed"], f["fruitless"] = x.ProbesBorrowed, x.Fruitless
	f["busy"], f["busyFraction"] = x.Busy, roundToHundredths(x.BusyFraction)
	f["free"], f["full"], f["slow"], f["unknown"] = x.Free, x.Full, x.Slow, x.Unknown
	f["newestReportMs"], f["oldestReportMs"] = millis(x.NewestReport), millis(x.OldestReport)
}
