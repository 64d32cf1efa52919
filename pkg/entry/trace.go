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

// A call's decisions are kept while it is in this box, and written as log lines once it
// has ended: all of them for a call that didn't go as most do, and a sample of the rest.

const (
	// maxSteps bounds the decisions kept of one call.
	maxSteps = 32
	// usualSteps is how many an ordinary call has: two probes, a send, its end.
	usualSteps = 7
	// sampleEvery is one in how many ordinary calls is written.
	sampleEvery = 64
)

// step is one decision on a call, or what came of one.
type step struct {
	at       units.Instant
	what     string
	attempt  routing.AttemptNumber
	endpoint *routing.Endpoint
	purpose  routing.Purpose
	evidence routing.Selection
	// workspace is the one that a send goes out for, or a call is refused to; empty for none.
	workspace units.WorkspaceName
	result    routing.AttemptResult
	refusal   routing.Refusal
	probed    routing.ProbeEnded
	// said is what a target said of itself in an answer, unreadRest and unreadLimit what it wrote in place of
	// a time to rest and of a limit.
	said                    routing.TargetReport
	unreadRest, unreadLimit string
	// fingerprint is set for an attempt that broke off and for a call in quarantine; request and
	// caller, which operators need to find whoever sends it, for the latter only.
	fingerprint, request, caller string
}

// The words for the steps of a call.
const (
	stepArrived   = "call-arrived"
	stepProbing   = "probe-sent"
	stepProbed    = "probe-answered"
	stepSent      = "call-sent"
	stepEnded     = "attempt-ended"
	stepCanceled  = "attempt-canceled"
	stepDelivered = "call-delivered"
	stepRefused   = "call-refused"
)

func (c *call) note(s step) {
	if c.steps == nil {
		c.steps = make([]step, 0, usualSteps)
	}
	if len(c.steps) < maxSteps {
		c.steps = append(c.steps, s)
	}
}

// endStep is the step of an attempt's end. It is called under the entry's lock: until the call is
// answered its request is there.
func (c *call) endStep(now units.Instant, ended send, result routing.AttemptResult) step {
	a := ended.attempt
	s := step{
		at: now, what: stepEnded, attempt: ended.number, result: result,
		said: a.Reading, unreadRest: a.UnreadRest, unreadLimit: a.UnreadLimit,
	}
	if result == routing.Broken && !c.answered {
		s.fingerprint = crash.FingerprintOf(&c.identity).String()
	}
	return s
}

// noteEffect keeps what an effect decides about its call.
func (e *Entry) noteEffect(x *routing.Effect) {
	c, ok := x.Owner.(*call)
	if !ok {
		return
	}
	s := step{at: e.Clock.Now(), attempt: x.Attempt, endpoint: x.Endpoint}
	switch x.Kind {
	case routing.Send:
		s.what, s.purpose, s.evidence, s.workspace = stepSent, x.Purpose, x.Selection, x.Workspace
	case routing.Refuse:
		s.what, s.refusal, s.workspace = stepRefused, x.Refusal, x.Workspace
		if x.Refusal.Reason == routing.Quarantined && !c.answered {
			c.identify(&s)
		}
	case routing.Deliver:
		s.what = stepDelivered
	case routing.Cancel:
		s.what = stepCanceled
	case routing.Probe:
		s.what = stepProbing
	default:
		return
	}
	c.note(s)
}

// identify has a step say which request the call is. It is called before the call is answered.
func (c *call) identify(s *step) {
	i := &c.identity
	s.fingerprint = crash.FingerprintOf(i).String()
	s.request = fmt.Sprintf("%s %s%.*s", i.ctx.Method(), i.ctx.Host(), maxLoggedPath, i.ctx.RequestURI())
	s.caller = i.ctx.RemoteIP().String()
}

// maxLoggedPath bounds the bytes of a path that a log line carries.
const maxLoggedPath = 200

// noteProbe keeps what a target said when a call asked for its load.
func (e *Entry) noteProbe(x *routing.Effect, ended *routing.ProbeEnded) {
	c, ok := x.Owner.(*call)
	if !ok {
		return
	}
	s := step{what: stepProbed, endpoint: x.Endpoint, attempt: x.Attempt, probed: *ended}
	e.lock.Lock()
	defer e.lock.Unlock()
	s.at = e.Clock.Now()
	c.note(s)
}

// logTable tells that another table is in force here.
func (e *Entry) logTable() {
	t := e.core.Subscription().Table()
	if t.Revision == e.shown {
		return
	}
	e.shown = t.Revision
	e.Log.WithFields(logrus.Fields{
		"kind": "table-in-force", "revision": t.Revision, "document": t.Document, "services": len(t.Services),
		"routes": len(t.Routes), "boxes": len(t.Boxes), "evacuated": t.EvacuatedDomains(), "quarantines": len(t.Quarantines),
	}).Info("another table is in force")
}

// logTurn tells that a target was taken out of the common path, or has come back.
func (e *Entry) logTurn(x *routing.Effect) {
	kind := "target-back"
	if x.Ejected {
		kind = "target-ejected"
	}
	e.Log.WithFields(logrus.Fields{
		"kind": kind, "service": x.Endpoint.Service, "target": x.Endpoint.Target, "failures": x.Failures,
	}).Info("a target's health has turned")
}

// logCrash tells that a target has ended under calls of this box, and under which.
func (e *Entry) logCrash(x *routing.Effect) {
	suspects := make([]string, 0, len(x.Crash.Suspects))
	for _, s := range x.Crash.Suspects {
		suspects = append(suspects, s.Fingerprint.String())
	}
	e.Log.WithFields(logrus.Fields{
		"kind": "target-crashed", "service": x.Endpoint.Service, "target": x.Endpoint.Target, "suspects": suspects,
	}).Warning("a target's process has ended under calls of this box")
}

// takeNotice has sends that haven't begun kept from a target, and tells that it wants them to be.
func (e *Entry) takeNotice(x *routing.Effect) {
	n := x.Notice
	calls := n.RestUntil
	if n.Leaving {
		// No call that has been chosen by now is sent later than this.
		calls = max(calls, e.Clock.Now().Add(e.Settings.Entry.MaxDeadline.Std()))
	}
	e.pools.Withhold(x.Endpoint, target.Withholding{Calls: calls, Probes: n.RestUntil, Limited: n.Limited})
	f := logrus.Fields{"service": x.Endpoint.Service, "target": x.Endpoint.Target}
	if n.LeaveBegins {
		f["kind"] = "target-leaves"
		e.Log.WithFields(f).Info("a target says that it is about to end, and gets no more calls from this box")
	}
	if n.RestBegins {
		f["kind"], f["restMs"] = "target-rests", millis(e.Clock.Until(n.RestUntil))
		e.Log.WithFields(f).Info("a target has asked for rest, and gets nothing from this box until its end")
	}
	if n.LimitBegins {
		f["kind"], f["limit"] = "target-limited", round(float64(n.Rate))
		e.Log.WithFields(f).Info("a target names a limit for all boxes together, and gets nothing from this box without a permit")
	}
	if n.LimitEnds {
		f["kind"] = "target-unlimited"
		e.Log.WithFields(f).Info("a target no longer names a limit")
	}
}

// logBlamed tells that this box keeps a call from targets by its own notes, since it is out of
// touch with the leader.
func (e *Entry) logBlamed(x *routing.Effect) {
	e.Log.WithFields(logrus.Fields{
		"kind": "call-blamed", "service": x.Verdict.Service, "call": x.Verdict.Fingerprint.String(), "targets": x.Verdict.Targets,
	}).Warning("this box keeps a call from targets by itself, because targets crashed under it")
}

// logExposure logs that this box begins to send calls to a new version, or ends it.
func (e *Entry) logExposure(x *routing.ExposureSwitch) {
	kind, text := "exposure-ended", "calls may no longer be sent to the new version"
	switch {
	case x.Active:
		kind, text = "exposure-began", "calls may be sent to the new version"
	case x.Stopped:
		kind, text = "exposure-stopped", "this box sends the new version nothing after its bad answers"
	}
	e.Log.WithFields(logrus.Fields{
		"kind": kind, "service": x.Service, "software": x.Software, "order": x.Order, "share": x.Share, "good": x.Good, "bad": x.Bad,
	}).Info(text)
}

// logHangs tells that a service's targets don't answer what they can't queue, and by what
// call that was found.
func (e *Entry) logHangs(x *routing.Effect) {
	e.Log.WithFields(logrus.Fields{
		"kind": "service-hangs", "service": x.Endpoint.Service, "target": x.Endpoint.Target, "unanswered": x.Failures,
		"ahead": round(x.Selection.Load), "overPatience": round(x.Selection.Slowdown), "revision": x.Selection.Revision,
	}).Warning("targets of a service don't answer some calls although they serve others; they may hang when full")
}

// logTrace writes a call's steps to the log.
func (e *Entry) logTrace(c *call, ordinary bool) {
	if ordinary && e.traced.Add(1)%sampleEvery != 0 {
		return
	}
	id := string(c.request.Header.Peek(e.Settings.Entry.CallIDHeader))
	e.lock.Lock()
	steps := slices.Clone(c.steps)
	e.lock.Unlock()
	for i := range steps {
		s := &steps[i]
		e.Log.WithFields(s.fields(id, c.arrived)).Info("call")
	}
}

// fields are what a step's line says.
func (s *step) fields(id string, arrived units.Instant) logrus.Fields {
	f := logrus.Fields{"kind": s.what, "call": id, "afterMs": millis(s.at.Sub(arrived))}
	if s.endpoint != nil {
		f["service"], f["target"] = s.endpoint.Service, s.endpoint.Target
	}
	if s.attempt > 0 {
		f["attempt"] = s.attempt
	}
	if s.workspace != "" {
		f["workspace"] = s.workspace
	}
	switch s.what {
	case stepSent:
		f["purpose"] = s.purpose.String()
		f["load"], f["pace"], f["slowdown"] = round(s.evidence.Load), round(s.evidence.Pace), round(s.evidence.Slowdown)
		f["readingAgeMs"], f["revision"] = millis(s.evidence.ReportAge), s.evidence.Revision
	case stepProbed:
		f["known"], f["healthy"], f["unreachable"] = s.probed.Report.HasLoad, s.probed.Healthy, s.probed.Unreachable
		f["misdirected"], f["load"], f["pace"] = s.probed.Misdirected, s.probed.Report.InFlight, round(s.probed.Report.Pace)
		f["coldMs"] = millis(s.probed.Report.Cold)
		addNotice(f, &s.probed.Report)
	case stepEnded:
		f["result"] = s.result.String()
		addNotice(f, &s.said)
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
		if s.fingerprint != "" {
			f["fingerprint"], f["request"], f["caller"] = s.fingerprint, s.request, s.caller
		}
	}
	return f
}

// addNotice adds what a target said of itself to a line, where it said anything.
func addNotice(f logrus.Fields, said *routing.TargetReport) {
	if said.Rest > 0 {
		f["restMs"] = millis(said.Rest)
	}
	if said.Leaving {
		f["leaving"] = true
	}
	if said.Limit.Present {
		f["limit"] = round(float64(said.Limit.Rate))
	}
}

func millis(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }

// round keeps lines short: two digits behind the point say enough.
func round(x float64) float64 { return float64(int64(x*100)) / 100 }
