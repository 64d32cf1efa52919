package entry

import (
	"bytes"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/pacing"
	"github.com/madderpond/madderpond/pkg/target"
)

// loggedWait is from which time on the log tells that an answer waited for the link: its
// caller notices a tenth of a second.
const loggedWait = 100 * time.Millisecond

// writeAnswer passes a target's answer on, whole or as it comes.
func (e *Entry) writeAnswer(ctx *fasthttp.RequestCtx, a answer) {
	from := a.attempt.Response
	out := &ctx.Response
	closing := out.ConnectionClose()
	from.Header.CopyTo(&out.Header)
	removeHopByHop(&out.Header)
	if closing {
		out.SetConnectionClose()
	}
	out.Header.Set(targetHeader, string(a.endpoint.Target))
	if from.BodyStream() == nil || a.attempt.IsComplete() {
		out.SkipBody = from.SkipBody
		e.writeWhole(ctx, a)
		return
	}
	size := from.Header.ContentLength()
	out.SetBodyStream(e.pace(ctx, a, a.attempt.Stream(func(r routing.AttemptResult) {
		e.reduce(&routing.AttemptEnded{Call: a.id, Attempt: a.number, Result: r})
	})), size)
}

// writeWhole writes an answer that is whole, at once if it is small.
func (e *Entry) writeWhole(ctx *fasthttp.RequestCtx, a answer) {
	body := a.attempt.Body()
	if e.pacer.AdmitSmall(len(body)) {
		ctx.Response.SetBody(body)
	} else {
		ctx.Response.SetBodyStream(e.pace(ctx, a, io.NopCloser(bytes.NewReader(body))), len(body))
	}
	a.attempt.Release()
}

// pace has the body of a large answer take turns on the box's link.
func (e *Entry) pace(ctx *fasthttp.RequestCtx, a answer, body io.ReadCloser) io.ReadCloser {
	if e.pacer == nil {
		return body
	}
	conn := ctx.Conn()
	id := string(ctx.Request.Header.Peek(e.Settings.Entry.CallIDHeader))
	return e.pacer.Pace(pacing.Response{
		Body:               body,
		LatencyObjective:   a.attempt.LatencyObjective,
		CallerDisconnected: func() bool { return !target.IsOpen(conn) },
		OnEnd:              func(s pacing.Summary) { e.logPaced(id, a.endpoint, s) },
	})
}

// logPaced tells how the writing of a large answer went that was delayed or cut short.
func (e *Entry) logPaced(id string, x *routing.Endpoint, s pacing.Summary) {
	if s.Complete && s.WaitTime < loggedWait {
		return
	}
	e.Log.WithFields(logrus.Fields{
		"kind": "answer-paced", "call": id, "service": x.Service, "target": x.Target, "bytes": s.Bytes,
		"pieces": s.Pieces, "waitedMs": millis(s.WaitTime), "whole": s.Complete,
	}).Info("a large answer shared the box's link")
}
