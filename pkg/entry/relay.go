package entry

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/target"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// ServeRelay serves the calls that another box relays on a connection, until that ends.
func (e *Entry) ServeRelay(hello *wire.Hello, c *transport.RelayConn) {
	if err := e.server.ServeConn(c); err != nil {
		e.Log.WithError(err).WithFields(logrus.Fields{"kind": "relay-ended", "from": hello.Box}).Debug("a connection of relayed calls ended with an error")
	}
}

// dialRelay connects to another box to relay calls to it.
func (e *Entry) dialRelay(ctx context.Context, address string) (net.Conn, error) {
	return transport.DialRelay(ctx, address, e.Security, e.hello())
}

// relayHeaders are the headers by which a box describes a relayed call; targets get none of them.
var relayHeaders = []string{target.RelayElapsedHeader, target.RelayAttemptsHeader, target.RelayRevisionHeader, target.RelayCallerHeader}

func removeRelayHeaders(h *fasthttp.RequestHeader) {
	for _, name := range relayHeaders {
		h.Del(name)
	}
}

// fillRelayed copies a caller's request into one that is relayed to another box, which checks the
// caller's key itself.
func (e *Entry) fillRelayed(out *fasthttp.Request, c *call, x *routing.RelayedCall) {
	copyRequest(out, c.request, c.body)
	out.Header.Set(target.RelayElapsedHeader, strconv.FormatInt(x.Elapsed.Microseconds(), 10))
	out.Header.Set(target.RelayAttemptsHeader, strconv.Itoa(x.Attempts))
	out.Header.Set(target.RelayRevisionHeader, strconv.FormatUint(uint64(x.Revision), 10))
	out.Header.Set(target.RelayCallerHeader, strconv.FormatUint(c.identity.Caller(), 16))
}

// relayedBy returns the box that relays a request; empty for a caller's own.
func relayedBy(ctx *fasthttp.RequestCtx) units.BoxID {
	if c, ok := ctx.Conn().(*transport.RelayConn); ok {
		return units.BoxID(c.Box)
	}
	return ""
}

// relayedCall reads what the relaying box tells about a call; nil for a caller's own.
func relayedCall(ctx *fasthttp.RequestCtx) *routing.RelayedCall {
	from := relayedBy(ctx)
	if from == "" {
		return nil
	}
	h := &ctx.Request.Header
	x := &routing.RelayedCall{From: from, Attempts: 1}
	if us, err := strconv.ParseInt(string(h.Peek(target.RelayElapsedHeader)), 10, 64); err == nil && us > 0 {
		x.Elapsed = time.Duration(min(us, maxDeadlineMillis)) * time.Microsecond
	}
	if n, err := strconv.Atoi(string(h.Peek(target.RelayAttemptsHeader))); err == nil && n > 0 {
		x.Attempts = n
	}
	if n, err := strconv.ParseUint(string(h.Peek(target.RelayRevisionHeader)), 10, 64); err == nil {
		x.Revision = units.Revision(n)
	}
	return x
}

// relayedCaller returns the digest of a relayed call's caller; zero if there is none, and for a
// caller's own call.
func relayedCaller(ctx *fasthttp.RequestCtx) uint64 {
	if relayedBy(ctx) == "" {
		return 0
	}
	digest, err := strconv.ParseUint(string(ctx.Request.Header.Peek(target.RelayCallerHeader)), 16, 64)
	if err != nil {
		return 0
	}
	return digest
}

// markDeclined marks the refusal of a relayed call for the box that relayed it.
func (e *Entry) markDeclined(ctx *fasthttp.RequestCtx, a answer) {
	h := &ctx.Response.Header
	h.Set(target.RelayResultHeader, target.RelayDeclined)
	h.Set(target.RelayAttemptsHeader, strconv.Itoa(a.refusal.Arrivals))
	setHelperLoad(h, a.relaysInFlight)
	if name := e.Settings.Entry.CallIDHeader; name != "" {
		h.SetBytesV(name, ctx.Request.Header.Peek(name))
	}
}

// setHelperLoad tells the relaying box how many calls of other boxes are in flight here, if that is
// known.
func setHelperLoad(h *fasthttp.ResponseHeader, relaysInFlight int) {
	if relaysInFlight > 0 {
		h.Set(target.RelayLoadHeader, strconv.Itoa(relaysInFlight))
	}
}

// isCallerConnected reports whether the caller hasn't closed its connection.
func (c *call) isCallerConnected() bool {
	relay, ok := c.conn.(*transport.RelayConn)
	if !ok {
		return target.IsOpen(c.conn)
	}
	raw, encrypted := relay.Raw()
	if !target.IsOpen(raw) {
		return false
	}
	// The end of an encrypted connection is announced by a message. Nothing else is sent while a call
	// is in flight, but for the rest of its body.
	return !encrypted || c.body.isStreamed() && !c.body.isRead() || !target.HasInput(raw)
}

// reachFields are the log fields that name the targets of a change.
func reachFields(x *routing.ReachChange) logrus.Fields {
	f := logrus.Fields{"service": x.Service}
	if x.Regions != nil {
		f["regions"] = x.Regions
	}
	return f
}

// logReach logs that this box lost or regained its links to a service's targets.
func (e *Entry) logReach(x *routing.ReachChange) {
	f := reachFields(x)
	if x.CutOff {
		f["kind"], f["lost"] = "targets-lost", x.Lost
		e.Log.WithFields(f).Warning("this box can't reach a service's targets; it relays the calls to other boxes")
		return
	}
	f["kind"], f["cutOffMs"], f["othersReach"] = "targets-regained", millis(x.Duration), x.OthersReach
	e.Log.WithFields(f).Info("this box reaches a service's targets again")
}

// logSearch logs which other boxes were found to reach targets that this one is cut off from, and why
// others were passed over.
func (e *Entry) logSearch(x *routing.ReachChange) {
	f := reachFields(x)
	f["cutOffMs"], f["boxes"] = millis(x.Duration), x.Boxes
	if x.Unreachable {
		f["kind"] = "no-helper"
		e.Log.WithFields(f).Warning("no box seems to reach a service's targets; calls are refused")
		return
	}
	f["kind"] = "helper-found"
	e.Log.WithFields(f).Info("another box has served a call to targets that this box can't reach")
}
