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

// minLoggedWait is the least time that an answer has waited for the link before that is logged; a
// caller notices a tenth of a second.
const minLoggedWait = 100 * time.Millisecond

// ownProtocol is the version of the answers that a box writes.
var ownProtocol = []byte("HTTP/1.1")

// writeAnswer forwards a target's answer to the caller, whole or as a stream.
func (e *Entry) writeAnswer(ctx *fasthttp.RequestCtx, a answer) {
	from := a.attempt.Response
	out := &ctx.Response
	closing := out.ConnectionClose()
	from.Header.CopyTo(&out.Header)
	removeHopByHop(&out.Header)
	// The version is that of the connection to the caller, and a type that the target didn't name isn't known.
	out.Header.SetProtocol(ownProtocol)
	out.Header.SetNoDefaultContentType(true)
	if closing {
		out.SetConnectionClose()
	}
	if a.endpoint.Relay != "" {
		out.Header.Del(target.RelayResultHeader)
		out.Header.Del(target.RelayLoadHeader)
	} else {
		out.Header.Set(targetHeader, string(a.endpoint.Target))
	}
	if relayedBy(ctx) != "" {
		out.Header.Set(target.RelayResultHeader, target.RelayAnswered)
		setHelperLoad(&out.Header, a.relaysInFlight)
	}
	if a.attempt.IsComplete() {
		out.SkipBody = from.SkipBody
		e.writeWhole(ctx, a)
		return
	}
	size := from.Header.ContentLength()
	out.SetBodyStream(e.pace(ctx, a, a.attempt.Stream(func(r routing.AttemptResult) {
		e.reduce(&routing.AttemptEnded{Call: a.id, Attempt: a.number, Result: r})
	})), size)
}

// writeWhole writes an answer whose body is in memory; a small one isn't paced.
func (e *Entry) writeWhole(ctx *fasthttp.RequestCtx, a answer) {
	body := a.attempt.Body()
	if e.pacer.AdmitSmall(len(body)) {
		ctx.Response.SetBody(body)
	} else {
		ctx.Response.SetBodyStream(e.pace(ctx, a, io.NopCloser(bytes.NewReader(body))), len(body))
	}
	a.attempt.Release()
}

// pace returns a reader of a large answer's body that shares the box's link in turns with other
// large answers.
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
		OnEnd:              func(s pacing.Summary) { e.logPacedAnswer(id, a.endpoint, s) },
	})
}

// logPacedAnswer logs a large answer that was delayed by pacing or cut short.
func (e *Entry) logPacedAnswer(id string, x *routing.Endpoint, s pacing.Summary) {
	if s.Complete && s.WaitTime < minLoggedWait {
		return
	}
	e.Log.WithFields(logrus.Fields{
		"kind": "answer-paced", "call": id, "service": x.Service, "target": x.Target, "bytes": s.Bytes,
		"pieces": s.Pieces, "waitedMs": millis(s.WaitTime), "whole": s.Complete,
	}).Info("a large answer was paced on the box's link")
}
